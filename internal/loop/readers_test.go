package loop

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"bramblefall/internal/core"
)

// While the loop waits for what the readers post, it does not hold them back by the events that it has not handled.
func TestLoopThatWaitsForReadersHoldsNoneBack(t *testing.T) {
	const posted = 100
	l := New(nil)
	for range posted {
		l.Post(core.ClientGone{})
	}
	assert.Equal(t, posted, l.Backlog())
	var seen []int
	l.OnHandled(func() { seen = append(seen, l.Backlog()) })
	l.timers = timers{{At: Now() - 2*maxTimerDelay}}
	l.awaitReaders()
	assert.NotEmpty(t, seen)
	assert.Zero(t, seen[0])
	assert.Equal(t, posted, l.Backlog())
}
