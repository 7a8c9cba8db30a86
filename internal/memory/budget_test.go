package memory

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testTimeout = 10 * time.Second

// acquire calls Acquire in a goroutine, waits until it is in the queue, and returns a channel with its result.
func acquire(t *testing.T, b *Budget, n int64, timeout time.Duration, done <-chan struct{}) <-chan bool {
	before := b.Waiting()
	result := make(chan bool, 1)
	go func() { result <- b.Acquire(n, timeout, done, nil) }()
	require.Eventually(t, func() bool { return b.Waiting() > before }, testTimeout, time.Millisecond)
	return result
}

func receive(t *testing.T, result <-chan bool) bool {
	select {
	case granted := <-result:
		return granted
	case <-time.After(testTimeout):
		require.Fail(t, "Acquire does not return")
		return false
	}
}

// A small request does not overtake a large one that came before it.
func TestAcquireGrantsInOrder(t *testing.T) {
	b := NewBudget("test", 10)
	require.True(t, b.Acquire(10, 0, nil, nil))
	large, small := acquire(t, b, 6, 0, nil), acquire(t, b, 1, 0, nil)
	b.Add(-5)
	require.Empty(t, small)
	require.Empty(t, large)
	b.Add(-5)
	require.True(t, receive(t, large))
	require.True(t, receive(t, small))
	require.Equal(t, int64(7), b.Used())
}

// A waiter that gives up holds nothing, and no longer holds up those behind it.
func TestAcquireThatGivesUpMakesWay(t *testing.T) {
	b := NewBudget("test", 10)
	require.True(t, b.Acquire(5, 0, nil, nil))
	done := make(chan struct{})
	leaves, expires, waits := acquire(t, b, 8, 0, done), acquire(t, b, 7, 100*time.Millisecond, nil), acquire(t, b, 5, 0, nil)
	close(done)
	require.False(t, receive(t, leaves))
	require.False(t, receive(t, expires))
	require.True(t, receive(t, waits))
	require.Equal(t, int64(10), b.Used())
	require.Zero(t, b.Waiting())
}

// A waiter is asked to make room, and gets what is freed so.
func TestAcquireAsksForRoom(t *testing.T) {
	b := NewBudget("test", 10)
	b.Add(10)
	require.True(t, b.Acquire(4, testTimeout, nil, func() { b.Add(-10) }))
	require.Equal(t, int64(4), b.Used())
}

// What is more than the limit is granted alone.
func TestAcquireBeyondLimitIsAlone(t *testing.T) {
	b := NewBudget("test", 10)
	b.Add(1)
	large := acquire(t, b, 20, 0, nil)
	b.Add(-1)
	require.True(t, receive(t, large))
	require.False(t, b.Acquire(1, time.Millisecond, nil, nil))
}

// One who holds little finds room beside holders of much.
func TestFitsLeavesRoomForNewHolders(t *testing.T) {
	b := NewBudget("test", 100)
	held := int64(0)
	for b.Fits(held, 1) && held < 100 {
		held++
		b.Add(1)
	}
	require.Less(t, held, int64(30))
	require.True(t, b.Fits(0, (100-held)/2))
	require.False(t, b.Fits(0, (100-held)/2+1))
}

// New holders who asked for much took all that was free, and those who asked for little found none.
func TestNewHoldersOfMuchLeaveRoomForThoseOfLittle(t *testing.T) {
	const limit, much, little = 1600, 64, 10
	b := NewBudget("test", limit)
	for b.Fits(0, much) {
		b.Add(much)
	}
	require.Greater(t, b.Used(), int64(limit-3*much))
	for range much / little / 2 {
		require.True(t, b.Fits(0, little))
		b.Add(little)
	}
}

// The log's peak counts what was granted after a wait, too.
func TestPeakCountsGrants(t *testing.T) {
	b := NewBudget("test", 10)
	require.True(t, b.Acquire(8, 0, nil, nil))
	b.Add(-8)
	require.Equal(t, int64(8), b.peak.Load())
}

// Whatever holders ask for, release and give up at once, no more than the limit is held, and nothing is left in the end.
func TestConcurrentHoldersStayWithinLimit(t *testing.T) {
	const limit, holders, rounds = 64, 32, 200
	b := NewBudget("test", limit)
	var all sync.WaitGroup
	for seed := range uint64(holders) {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 1))
			for range rounds {
				n := 1 + rng.Int64N(limit/2)
				if b.Acquire(n, time.Duration(1+rng.IntN(2000))*time.Microsecond, nil, nil) {
					assert.LessOrEqual(t, b.Used(), int64(limit))
					b.Add(-n)
				}
			}
		})
	}
	all.Wait()
	require.Zero(t, b.Used())
	require.Zero(t, b.Waiting())
}
