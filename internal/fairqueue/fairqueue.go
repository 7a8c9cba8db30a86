// Package fairqueue divides the processor among the flows of a program by start-time fair queueing: each flow, such as a connection,
// takes a turn before it works. A flow that has used less than its share goes before those that have used more, so that one with
// little to do does not wait behind many that always have more. Some of the turns go by the time of waiting, so that none waits for
// ever behind new flows.
package fairqueue

import (
	"container/heap"
	"container/list"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pause lets the scheduler look at the network, which it does only once it has nothing else to run.
	pause = 20 * time.Microsecond

	// maxRoomWait is how long no turn is granted for want of room, where flows wait: whoever else fills it must not stop them all.
	maxRoomWait = 20 * time.Millisecond

	// longWait is from when on a flow's wait counts: one in longWaitEvery turns goes to the flow that has waited longest.
	longWait      = 250 * time.Millisecond
	longWaitEvery = 4

	// workBeforePause is how long turns work, all together and while others wait, before one of them pauses.
	workBeforePause = 250 * time.Microsecond
)

// Queue grants turns. All of its methods may be called from any goroutine.
type Queue struct {
	slots   int         // turns that are held at once
	hasRoom func() bool // whether turns may be granted at all
	waiters atomic.Int64

	mu          sync.Mutex
	held        int
	virtualTime uint64 // start tag of the turn that was granted last in order
	lastArrival uint64
	waiting     waitHeap
	arrivals    list.List     // of *waiter: those that wait, in the order of their arrival
	granted     uint64        // turns, to flows that had waited
	waitedFrom  time.Time     // when a flow that waits could last have been granted a turn, or began to wait
	work        time.Duration // in turns since the last pause
}

// Flow is the state of one flow: how much it has used. A flow takes one turn at a time.
type Flow struct {
	finish    uint64 // the tag at which its last turn ended
	startedAt time.Time
}

// New returns a queue that grants so many turns at once, and while hasRoom, if not nil, returns false, only one each maxRoomWait.
// Wake must be called when that may have changed, and often enough for those.
func New(slots int, hasRoom func() bool) *Queue {
	if hasRoom == nil {
		hasRoom = func() bool { return true }
	}
	return &Queue{slots: slots, hasRoom: hasRoom}
}

// Waiting returns how many flows wait for a turn.
func (q *Queue) Waiting() int { return int(q.waiters.Load()) }

// TryAcquire takes a turn if one can be had at once, and reports whether it did.
func (q *Queue) TryAcquire(f *Flow) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.held >= q.slots || len(q.waiting) > 0 || !q.hasRoom() {
		return false
	}
	q.grant(q.startTag(f))
	f.startedAt = time.Time{}
	return true
}

// Acquire waits for a turn. It returns false, and the flow has none, once cancel is closed.
func (q *Queue) Acquire(f *Flow, cancel <-chan struct{}) bool {
	q.mu.Lock()
	q.waiters.Add(1) // before hasRoom is asked, so that a Wake that comes meanwhile does not miss it
	q.lastArrival++
	w := &waiter{start: q.startTag(f), arrival: q.lastArrival, since: time.Now(), granted: make(chan struct{})}
	if len(q.waiting) == 0 {
		q.waitedFrom = w.since
	}
	heap.Push(&q.waiting, w)
	w.place = q.arrivals.PushBack(w)
	q.grantNext()
	q.mu.Unlock()
	select {
	case <-w.granted:
		f.startedAt = time.Now()
		return true
	case <-cancel:
		q.withdraw(w)
		return false
	}
}

// withdraw takes back a flow's wait, or the turn that it has been granted meanwhile.
func (q *Queue) withdraw(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index < 0 {
		q.held--
		q.grantNext()
		return
	}
	q.remove(w)
}

// remove takes a flow off those that wait. It is called with q.mu held.
func (q *Queue) remove(w *waiter) {
	heap.Remove(&q.waiting, w.index)
	q.arrivals.Remove(w.place)
	q.waiters.Add(-1)
}

// Release ends a flow's turn, in which it has used cost.
func (q *Queue) Release(f *Flow, cost int) {
	if q.noteWork(f) {
		runtime.Gosched()
		time.Sleep(pause) // whoever is granted the turn is scheduled at once, ahead of goroutines that are ready and of the network
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	f.finish = max(f.finish, q.virtualTime) + uint64(cost)
	q.held--
	q.grantNext()
}

// noteWork adds up the time of turns and reports whether it is time for a pause.
func (q *Queue) noteWork(f *Flow) bool {
	if q.Waiting() == 0 || f.startedAt.IsZero() {
		return false
	}
	worked := time.Since(f.startedAt)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.work += worked
	if q.work < workBeforePause {
		return false
	}
	q.work = 0
	return true
}

// Wake grants the turns that can be granted now. It costs next to nothing where no flow waits.
func (q *Queue) Wake() {
	if q.Waiting() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grantNext()
}

// startTag returns the tag at which a flow's next turn begins. A flow that was idle has saved nothing up.
func (q *Queue) startTag(f *Flow) uint64 { return max(f.finish, q.virtualTime) }

// next returns the flow whose turn is next. It is called with q.mu held, while flows wait.
func (q *Queue) next() *waiter {
	q.granted++
	longest := q.arrivals.Front().Value.(*waiter)
	if q.granted%longWaitEvery == 0 && time.Since(longest.since) >= longWait {
		return longest
	}
	return q.waiting[0]
}

// grantNext grants the free turns. It is called with q.mu held.
func (q *Queue) grantNext() {
	for q.held < q.slots && len(q.waiting) > 0 && (q.hasRoom() || time.Since(q.waitedFrom) >= maxRoomWait) {
		w := q.next()
		q.remove(w)
		q.waitedFrom = time.Now()
		start := w.start
		if len(q.waiting) > 0 {
			start = min(start, q.waiting[0].start) // a turn out of order does not set back those that wait
		}
		q.grant(start)
		close(w.granted)
	}
}

func (q *Queue) grant(start uint64) {
	q.held++
	q.virtualTime = max(q.virtualTime, start)
}

// waiter is a flow that waits for a turn.
type waiter struct {
	start   uint64
	arrival uint64 // breaks ties
	index   int    // in the heap; -1 once it has been granted its turn
	place   *list.Element
	since   time.Time
	granted chan struct{}
}

// waitHeap is ordered by start tag.
type waitHeap []*waiter

func (h waitHeap) Len() int { return len(h) }

func (h waitHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].arrival < h[j].arrival
}

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waitHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waitHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
