// Package schedule is a timing wheel: a queue of items by the time when they are due. Each item is in it once and can be moved,
// at a cost that does not grow with the number of items. Items that are due together come in the order that they define, so that
// the same events give the same actions.
package schedule

import (
	"cmp"
	"slices"
	"time"
)

const (
	slotCount = 1 << 13
	slotWidth = 10 * time.Millisecond // the wheel turns once in 82 s

	// maxKeptCapacity bounds the room that an emptied slot keeps, in items. A larger one is released, so that all slots together
	// keep at most 512 KB.
	maxKeptCapacity = 8
)

// Entry is an item's place in a queue. It is a part of the item itself. The zero value is in no queue.
type Entry struct {
	Order uint64 // decides the order of items that are due together
	at    time.Duration
	slot  int32 // of the wheel
	index int32 // in the slot, from 1; 0: in no queue
}

// Item is what a queue holds.
type Item interface {
	comparable
	ScheduleEntry() *Entry // the same one at each call
}

// Queue is a queue of items by the time when they are due. The zero value is empty. Time may jump ahead, but does not go back.
type Queue[T Item] struct {
	wheel    [][]T // nil until the first Set
	nextSlot int64 // the first slot, counted from time 0, that may hold items that are due
	count    int
	taken    []T // what TakeDue returned last, to be reused
}

// Len is the number of queued items.
func (q *Queue[T]) Len() int { return q.count }

// All is a copy of the queued items. The same sequence of calls always gives the same order.
func (q *Queue[T]) All() []T { return slices.Concat(q.wheel...) }

// Set puts an item in, or moves it.
func (q *Queue[T]) Set(t T, at time.Duration) {
	q.Remove(t)
	if q.wheel == nil {
		q.wheel = make([][]T, slotCount)
	}
	// An item of the past goes to the first slot, and one too far ahead to the last, from where it is moved on.
	k := min(max(int64(at/slotWidth), q.nextSlot), q.nextSlot+slotCount-1) % slotCount
	p := t.ScheduleEntry()
	q.wheel[k] = append(q.wheel[k], t)
	p.at, p.slot, p.index = at, int32(k), int32(len(q.wheel[k]))
	q.count++
}

// SetEarlier puts an item in, or moves it to a time unless it is due before that already.
func (q *Queue[T]) SetEarlier(t T, at time.Duration) {
	if p := t.ScheduleEntry(); p.index == 0 || at < p.at {
		q.Set(t, at)
	}
}

// Remove takes an item out, if it is in.
func (q *Queue[T]) Remove(t T) {
	p := t.ScheduleEntry()
	if p.index == 0 {
		return
	}
	slot := q.wheel[p.slot]
	last := len(slot) - 1
	moved := slot[last]
	slot[p.index-1] = moved
	moved.ScheduleEntry().index = p.index
	var none T
	slot[last] = none
	q.wheel[p.slot] = slot[:last]
	p.index = 0
	q.count--
}

// TakeDue takes out all items that are due by now, by their Order. The slice is valid until the next call.
func (q *Queue[T]) TakeDue(now time.Duration) []T {
	clear(q.taken)
	q.taken = q.taken[:0]
	end := int64(now / slotWidth)
	if q.count == 0 {
		q.nextSlot = max(q.nextSlot, end)
		return q.taken
	}
	var later []T
	for n := max(q.nextSlot, end-slotCount+1); n <= end; n++ {
		slot := q.wheel[n%slotCount]
		for _, t := range slot {
			p := t.ScheduleEntry()
			p.index = 0
			q.count--
			if p.at <= now {
				q.taken = append(q.taken, t)
			} else {
				later = append(later, t)
			}
		}
		clear(slot)
		if q.wheel[n%slotCount] = slot[:0]; cap(slot) > maxKeptCapacity {
			q.wheel[n%slotCount] = nil
		}
	}
	q.nextSlot = max(q.nextSlot, end)
	for _, t := range later {
		q.Set(t, t.ScheduleEntry().at)
	}
	slices.SortFunc(q.taken, func(a, b T) int { return cmp.Compare(a.ScheduleEntry().Order, b.ScheduleEntry().Order) })
	return q.taken
}
