package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/internal/socket"
	"bramblefall/logic"
)

const reducerTime = 5 * time.Second // the reducer's clock; any value well above 0

// command is a try's origin whose client is still waiting.
type command struct{ core.Origin }

func (command) AppendCommand(b []byte, _ time.Duration) []byte { return append(b, "PING\r\n"...) }
func (command) Client() socket.PeerState                       { return socket.PeerPresent }

// A try that expires before it can be sent must not be reported as LocalShortage, which means a shortage of descriptors, ports
// or buffers: the module would then hold back requests beyond the number of tries that happen to be in flight.
func TestExpiredTryIsNotReportedAsShortage(t *testing.T) {
	var outcomes []core.Outcome
	pool := New(logic.Settings{}, 1, Memory{}, func(ev core.Event) {
		if o, ok := ev.(core.Outcome); ok {
			outcomes = append(outcomes, o)
		}
	}, func() time.Duration { return reducerTime })
	pool.SetAddress(1, "127.0.0.1:1")
	for try, until := range []time.Duration{reducerTime - time.Second, reducerTime} {
		pool.Try(core.Try{Key: core.Key{ID: 7, Try: try}, Server: 1, Deadline: until, SendUntil: until, Origin: command{}})
	}
	require.Len(t, outcomes, 2)
	for _, o := range outcomes {
		require.NotEqual(t, logic.LocalShortage, o.Status)
		require.NotEqual(t, logic.ConnectFailed, o.Status, "no server is to blame")
	}
}
