// Package model is the exchange in virtual time: the limiter's real reducer and module run in it unchanged, one for each
// modelled limiter, and nodes, halls, the counter, discovery and clients are modelled round them. It is deterministic by
// seed: one goroutine, one clock, and a random source for each part.
package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// begin is the virtual time at which every run starts: some Unix time, since limiters number their intervals by it.
const epoch = 1_800_000_000 * time.Second

// Sim is the clock and the events to come.
type Sim struct {
	now     time.Duration
	seq     uint64
	queue   eventQueue
	Handled uint64 // handled so far
}

type event struct {
	at       time.Duration
	seq      uint64 // of events at one instant the first asked for is the first
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

// Now is the instant of the event in hand.
func (s *Sim) Now() time.Duration { return s.now }

// At asks for do at an instant; one that has passed is now.
func (s *Sim) At(at time.Duration, callback func()) {
	s.seq++
	heap.Push(&s.queue, event{max(at, s.now), s.seq, callback})
}

// After asks for do after a while.
func (s *Sim) After(d time.Duration, callback func()) { s.At(s.now+max(d, 0), callback) }

// Run handles events until an instant.
func (s *Sim) Run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.Handled++
		e.callback()
	}
	s.now = until
}

// source is a random source of a part's own: what one part draws changes nothing for another.
func newRand(seed uint64, component string, index int) *rand.Rand {
	h := uint64(14695981039346656037)
	for _, b := range []byte(component) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return rand.New(rand.NewPCG(seed, h^uint64(index)*0x9e3779b97f4a7c15))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Range is drawn from evenly.
type Range [2]float64

func (r Range) draw(rng *rand.Rand) float64 { return r[0] + (r[1]-r[0])*rng.Float64() }

// work draws a request's work: gamma by its mean and the square of its coefficient of variation; 0: always the mean.
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

// gamma draws by Marsaglia and Tsang's method.
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
