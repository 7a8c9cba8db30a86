// Package model simulates the exchange in virtual time. Each simulated limiter runs the real reducer and module unchanged;
// nodes, halls, the counters, discovery and clients are models. A run is deterministic for a seed: it has one goroutine, one
// clock, and a random source for each component.
package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// epoch is the virtual time at which every run starts. It is a Unix time, since limiters number their intervals by Unix time.
const epoch = 1_800_000_000 * time.Second

// Sim is a discrete-event simulation: a virtual clock and the queue of pending events.
type Sim struct {
	now     time.Duration
	seq     uint64
	queue   eventQueue
	Handled uint64 // events
}

type event struct {
	at       time.Duration
	seq      uint64 // events at the same instant run in the order in which they were scheduled
	callback func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].seq < e[b].seq
}
func (e eventQueue) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// Now is the instant of the event that is being handled.
func (s *Sim) Now() time.Duration { return s.now }

// At schedules callback for an instant. If that has passed, callback is scheduled for now.
func (s *Sim) At(at time.Duration, callback func()) {
	s.seq++
	heap.Push(&s.queue, event{max(at, s.now), s.seq, callback})
}

// After schedules callback after a duration.
func (s *Sim) After(d time.Duration, callback func()) { s.At(s.now+max(d, 0), callback) }

// Run handles the events up to and including an instant, and sets the clock to it.
func (s *Sim) Run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.Handled++
		e.callback()
	}
	s.now = until
}

// newRand is a random source for the index-th instance of a component. What one component draws does not change what
// another draws.
func newRand(seed uint64, component string, index int) *rand.Rand {
	h := uint64(14695981039346656037)
	for _, b := range []byte(component) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return rand.New(rand.NewPCG(seed, h^uint64(index)*0x9e3779b97f4a7c15))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Range is a uniform distribution.
type Range [2]float64

func (r Range) draw(rng *rand.Rand) float64 { return r[0] + (r[1]-r[0])*rng.Float64() }

// drawGamma draws from a gamma distribution, given its mean and the square of its coefficient of variation. For a cv2 of 0 it
// is always the mean.
func drawGamma(rng *rand.Rand, mean, cv2 float64) float64 {
	if cv2 <= 0 {
		return mean
	}
	if cv2 == 1 {
		return mean * rng.ExpFloat64()
	}
	shape := 1 / cv2
	return mean / shape * standardGamma(rng, shape)
}

// standardGamma draws from a gamma distribution of scale 1 by the method of Marsaglia and Tsang.
func standardGamma(rng *rand.Rand, shape float64) float64 {
	if shape < 1 {
		return standardGamma(rng, shape+1) * math.Pow(rng.Float64(), 1/shape)
	}
	d := shape - 1.0/3
	c := 1 / math.Sqrt(9*d)
	for {
		x := rng.NormFloat64()
		v := 1 + c*x
		if v <= 0 {
			continue
		}
		v = v * v * v
		if math.Log(rng.Float64()) < x*x/2+d-d*v+d*math.Log(v) {
			return d * v
		}
	}
}
