package socket

import (
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"bramblefall/internal/fairqueue"
)

// turnCost is what a turn costs beside the bytes that are handled in it.
const turnCost = 512

// bulkTurns are held by readers whose owner names no queue while they handle what came behind a full piece. Readers of peers that
// send much would otherwise fill the processor's queue, and each step of a small request would wait behind all of them.
var bulkTurns = sync.OnceValue(func() *fairqueue.Queue { return fairqueue.New(runtime.GOMAXPROCS(0), nil) })

// turns are the turns of one reader.
type turns struct {
	queue  *fairqueue.Queue
	always bool // not only behind a full piece
	flow   fairqueue.Flow
	held   bool
	waited time.Duration // for the last turn, where it was not to be had at once
}

func newTurns(queue *fairqueue.Queue) turns {
	if queue == nil {
		return turns{queue: bulkTurns()}
	}
	return turns{queue: queue, always: true}
}

// begin takes the turn for a read. It reports false if there is nothing to read, so that no turn is needed, and ended if the
// connection has been closed here meanwhile.
func (t *turns) begin(fd int, bulk bool, done <-chan struct{}) (begun, ended bool) {
	if t.held || !bulk && !t.always {
		return true, false
	}
	t.waited = 0
	if t.queue.TryAcquire(&t.flow) {
		t.held = true
		return true, false
	}
	if events, err := pollNow(fd, unix.POLLIN|unix.POLLRDHUP); err == nil && events == 0 {
		return false, false
	}
	began := time.Now()
	if !t.queue.Acquire(&t.flow, done) {
		return false, true
	}
	t.held, t.waited = true, time.Since(began)
	return true, false
}

// end ends the turn, if there is one, in which n bytes have been handled.
func (t *turns) end(n int) {
	if !t.held {
		return
	}
	t.held = false
	cost := 0
	if n > 0 {
		cost = turnCost + n
	}
	t.queue.Release(&t.flow, cost)
}
