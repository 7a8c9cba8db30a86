package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

const clock = 5 * time.Second // of a reducer that has run for a while

// command is one whose client waits.
type command struct{ core.Origin }

func (command) AppendCommand(b []byte, _ time.Duration) []byte { return append(b, "PING\r\n"...) }
func (command) Gone() bool                                     { return false }

// A try whose time was over before it could leave tells nothing of descriptors, ports or buffers: Unsent would make the module
// hold back what is beyond the attempts that happen to be out.
func TestALateTryIsNoShortage(t *testing.T) {
	var outcomes []core.Outcome
	pool := New(logic.Settings{}, 1, func(ev core.Event) {
		if o, ok := ev.(core.Outcome); ok {
			outcomes = append(outcomes, o)
		}
	}, func() time.Duration { return clock })
	pool.SetAddress(1, "127.0.0.1:1")
	for try, until := range []time.Duration{clock - time.Second, clock} {
		pool.Try(core.Try{Key: core.Key{ID: 7, Try: try}, Server: 1, Ends: until, Until: until, Origin: command{}})
	}
	require.Len(t, outcomes, 2)
	for _, o := range outcomes {
		require.NotEqual(t, logic.Unsent, o.Status)
		require.NotEqual(t, logic.ConnectFailed, o.Status, "no server is to blame")
	}
}
