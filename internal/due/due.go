// Package due keeps things by the time when something is due for them: a heap in which each thing stands once and can be
// moved. What is due at once comes in the order of the things' numbers, so that the same events give the same actions.
package due

import (
	"cmp"
	"slices"
	"time"
)

// Place is a thing's place in a queue, a part of the thing itself. The zero value stands in none.
type Place struct {
	Number uint64 // decides the order among things due together
	at     time.Duration
	index  int // from 1; 0: in no queue
}

// Thing is what a queue holds.
type Thing interface {
	comparable
	Due() *Place
}

// Queue is a heap of things by time, four children to a node. The zero value is empty.
type Queue[T Thing] struct {
	heap  []T
	ready []T
}

// Len counts what is queued.
func (q *Queue[T]) Len() int { return len(q.heap) }

// All is a copy of what is queued, in no order but the same for the same steps.
func (q *Queue[T]) All() []T { return slices.Clone(q.heap) }

// Set puts a thing in, or moves it.
func (q *Queue[T]) Set(t T, at time.Duration) {
	p := t.Due()
	if p.index == 0 {
		q.heap = append(q.heap, t)
		p.index, p.at = len(q.heap), at
		q.up(p.index - 1)
		return
	}
	earlier := at < p.at
	if p.at = at; earlier {
		q.up(p.index - 1)
	} else {
		q.down(p.index - 1)
	}
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
	k, last := p.index-1, len(q.heap)-1
	q.swap(k, last)
	var none T
	q.heap[last], q.heap = none, q.heap[:last]
	if p.index = 0; k < last {
		q.down(k)
		q.up(k)
	}
}

// Take takes out all that is due by now, in the order of numbers. The slice is good until the next call.
func (q *Queue[T]) Take(now time.Duration) []T {
	clear(q.ready)
	q.ready = q.ready[:0]
	for len(q.heap) > 0 && q.heap[0].Due().at <= now {
		t := q.heap[0]
		q.Remove(t)
		q.ready = append(q.ready, t)
	}
	slices.SortFunc(q.ready, func(a, b T) int { return cmp.Compare(a.Due().Number, b.Due().Number) })
	return q.ready
}

func (q *Queue[T]) swap(a, b int) {
	q.heap[a], q.heap[b] = q.heap[b], q.heap[a]
	q.heap[a].Due().index, q.heap[b].Due().index = a+1, b+1
}

func (q *Queue[T]) up(k int) {
	for k > 0 && q.heap[k].Due().at < q.heap[(k-1)/4].Due().at {
		q.swap(k, (k-1)/4)
		k = (k - 1) / 4
	}
}

func (q *Queue[T]) down(k int) {
	for {
		least := k
		for c := 4*k + 1; c <= 4*k+4 && c < len(q.heap); c++ {
			if q.heap[c].Due().at < q.heap[least].Due().at {
				least = c
			}
		}
		if least == k {
			return
		}
		q.swap(k, least)
		k = least
	}
}
