package fairqueue_test

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bramblefall/internal/fairqueue"
)

const testTimeout = 10 * time.Second

// waiters starts a flow for each of the given ones, and waits until all of them wait. The order in which they get turns is sent.
func waiters(t *testing.T, q *fairqueue.Queue, flows ...*fairqueue.Flow) <-chan int {
	granted := make(chan int, len(flows))
	for k, f := range flows {
		go func() {
			if q.Acquire(f, nil) {
				granted <- k
			}
		}()
		require.Eventually(t, func() bool { return q.Waiting() == k+1 }, testTimeout, time.Microsecond)
	}
	return granted
}

// A flow that has used little goes before all that have used more, however long those have waited.
func TestFlowThatUsedLittleGoesFirst(t *testing.T) {
	q := fairqueue.New(1, nil)
	var holder, heavy, light fairqueue.Flow
	for range 3 {
		require.True(t, q.TryAcquire(&heavy))
		q.Release(&heavy, 1000)
	}
	require.True(t, q.TryAcquire(&holder))
	granted := waiters(t, q, &heavy, &light)
	q.Release(&holder, 1)
	assert.Equal(t, 1, <-granted)
	q.Release(&light, 1)
	assert.Equal(t, 0, <-granted)
}

// awaitWaiting waits until so many flows wait, or until stop is closed.
func awaitWaiting(q *fairqueue.Queue, flows int, stop <-chan struct{}) {
	for q.Waiting() < flows {
		select {
		case <-stop:
			return
		default:
			runtime.Gosched()
		}
	}
}

// New flows that come without end do not keep a flow waiting that has used much.
func TestNewFlowsDoNotStarveOthers(t *testing.T) {
	const longWait, mostTurns = 250 * time.Millisecond, 20
	q := fairqueue.New(1, nil)
	var heavy fairqueue.Flow
	require.True(t, q.TryAcquire(&heavy))
	q.Release(&heavy, 1<<30)
	holder := &fairqueue.Flow{}
	require.True(t, q.TryAcquire(holder))
	heavyTurn := waiters(t, q, &heavy)
	began := time.Now()
	for turns := 0; ; {
		if time.Since(began) >= longWait {
			turns++
		}
		require.LessOrEqual(t, turns, mostTurns)
		newcomer, granted := &fairqueue.Flow{}, make(chan struct{})
		go func() {
			q.Acquire(newcomer, nil)
			close(granted)
		}()
		require.Eventually(t, func() bool { return q.Waiting() == 2 }, testTimeout, time.Microsecond)
		q.Release(holder, 1)
		select {
		case <-heavyTurn:
			return
		case <-granted:
			holder = newcomer
		}
	}
}

// Flows that always have more get turns by the inverse of what each of them costs, and none waits for ever.
func TestSharesAreEven(t *testing.T) {
	q := fairqueue.New(1, nil)
	costs := []int{100, 100, 400}
	var used [3]atomic.Int64
	stop := make(chan struct{})
	var flows sync.WaitGroup
	for k, cost := range costs {
		flows.Go(func() {
			for f := (&fairqueue.Flow{}); q.Acquire(f, stop); {
				used[k].Add(int64(cost))
				awaitWaiting(q, len(costs)-1, stop) // each flow always has more
				q.Release(f, cost)
			}
		})
	}
	require.Eventually(t, func() bool { return used[2].Load() >= 200*400 }, testTimeout, time.Millisecond)
	close(stop)
	flows.Wait()
	for k := range costs {
		assert.InEpsilon(t, used[2].Load(), used[k].Load(), 0.2, "flow %d", k)
	}
}

// Without room a turn is granted only after maxRoomWait, and with room at once.
func TestTurnsAwaitRoom(t *testing.T) {
	const maxRoomWait = 20 * time.Millisecond
	var room atomic.Bool
	q := fairqueue.New(1, room.Load)
	var first, second fairqueue.Flow
	require.False(t, q.TryAcquire(&first))
	began := time.Now()
	granted := waiters(t, q, &first)
	for len(granted) == 0 && time.Since(began) < testTimeout {
		q.Wake()
	}
	require.Equal(t, 0, <-granted, "a turn that is never granted")
	assert.GreaterOrEqual(t, time.Since(began), maxRoomWait)
	q.Release(&first, 1)
	granted = waiters(t, q, &second)
	room.Store(true)
	q.Wake()
	assert.Equal(t, 0, <-granted)
}

// A wait that is cancelled leaves its place to others, also where the turn is granted in the same moment.
func TestCancelledWaitLeavesTurnToOthers(t *testing.T) {
	q := fairqueue.New(1, nil)
	for range 200 {
		var holder, leaving, staying fairqueue.Flow
		require.True(t, q.TryAcquire(&holder))
		cancel := make(chan struct{})
		left := make(chan bool)
		go func() {
			got := q.Acquire(&leaving, cancel)
			if got {
				q.Release(&leaving, 1)
			}
			left <- got
		}()
		require.Eventually(t, func() bool { return q.Waiting() == 1 }, testTimeout, time.Microsecond)
		go close(cancel)
		q.Release(&holder, 1)
		<-left
		require.True(t, q.Acquire(&staying, nil))
		q.Release(&staying, 1)
	}
}
