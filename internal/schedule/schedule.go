// Package schedule keeps things by the time when something is due for them: a timing wheel in which each thing stands once and
// can be moved, at a cost that does not grow with what stands in it. What is due at once comes in the order of the things'
// numbers, so that the same events give the same actions.
package schedule

import (
	"cmp"
	"slices"
	"time"
)

const (
	slots = 1 << 13
	width = 10 * time.Millisecond // of a slot: the wheel goes round in 82 s
	idle  = 8                     // of an emptied slot: more room than that is given back, so all hold 512 KB at most
)

// Place is a thing's place in a queue, a part of the thing itself. The zero value stands in none.
type Place struct {
	Number uint64 // decides the order among things due together
	at     time.Duration
	slot   int32
	index  int32 // from 1; 0: in no queue
}

// Thing is what a queue holds.
type Thing interface {
	comparable
	Due() *Place
}

// Queue is a wheel of things by time. The zero value is empty. Time may jump ahead, but does not go back.
type Queue[T Thing] struct {
	wheel [][]T // nil: nothing was put in yet
	next  int64 // the first slot, counted from time 0, that may hold what is due
	count int
	ready []T
}

// Len counts what is queued.
func (q *Queue[T]) Len() int { return q.count }

// All is a copy of what is queued, in an order that the same steps give again.
func (q *Queue[T]) All() []T { return slices.Concat(q.wheel...) }

// Set puts a thing in, or moves it.
func (q *Queue[T]) Set(t T, at time.Duration) {
	q.Remove(t)
	if q.wheel == nil {
		q.wheel = make([][]T, slots)
	}
	// What is past stands in the first slot, what is too far in the last one and is moved on from there.
	k := min(max(int64(at/width), q.next), q.next+slots-1) % slots
	p := t.Due()
	q.wheel[k] = append(q.wheel[k], t)
	p.at, p.slot, p.index = at, int32(k), int32(len(q.wheel[k]))
	q.count++
}

// Sooner moves a thing to a time unless it is due before.
func (q *Queue[T]) Sooner(t T, at time.Duration) {
	if p := t.Due(); p.index == 0 || at < p.at {
		q.Set(t, at)
	}
}

// Remove takes a thing out, if it is in.
func (q *Queue[T]) Remove(t T) {
	p := t.Due()
	if p.index == 0 {
		return
	}
	slot := q.wheel[p.slot]
	last := len(slot) - 1
	moved := slot[last]
	slot[p.index-1] = moved
	moved.Due().index = p.index
	var none T
	slot[last] = none
	q.wheel[p.slot] = slot[:last]
	p.index = 0
	q.count--
}

// Take takes out all that is due by now, in the order of numbers. The slice is good until the next call.
func (q *Queue[T]) Take(now time.Duration) []T {
	clear(q.ready)
	q.ready = q.ready[:0]
	end := int64(now / width)
	if q.count == 0 {
		q.next = max(q.next, end)
		return q.ready
	}
	var later []T
	for n := max(q.next, end-slots+1); n <= end; n++ {
		slot := q.wheel[n%slots]
		for _, t := range slot {
			p := t.Due()
			p.index = 0
			q.count--
			if p.at <= now {
				q.ready = append(q.ready, t)
			} else {
				later = append(later, t)
			}
		}
		clear(slot)
		if q.wheel[n%slots] = slot[:0]; cap(slot) > idle {
			q.wheel[n%slots] = nil
		}
	}
	q.next = max(q.next, end)
	for _, t := range later {
		q.Set(t, t.Due().at)
	}
	slices.SortFunc(q.ready, func(a, b T) int { return cmp.Compare(a.Due().Number, b.Due().Number) })
	return q.ready
}
