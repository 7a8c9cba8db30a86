package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/internal/loopback"
	"bramblefall/internal/resp"
	"bramblefall/logic"
)

// answering is a server that answers each command with an empty value.
func answering(t *testing.T) string {
	l, err := loopback.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for buf := make([]byte, 64); ; {
					if _, err := conn.Read(buf); err != nil {
						return
					}
					_, _ = conn.Write(resp.AppendCommand(nil, nil, nil, nil))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// A pool whose connections are all in use or idle gives up the one that has been idle longest for the next try. That costs the
// same however many servers are listed: it happens within the reducer's loop.
func TestMakingRoomCostsTheSameWithManyServers(t *testing.T) {
	const few, many, connections, tries = 100, 50000, 4, 300
	addr := answering(t)
	spent := func(servers int) (inTry time.Duration) {
		ended := make(chan core.Outcome, 1)
		pool := New(logic.Settings{}, connections, func(ev core.Event) {
			if o, ok := ev.(core.Outcome); ok {
				ended <- o
			}
		}, func() time.Duration { return clock })
		for id := range servers {
			pool.SetAddress(logic.ServerID(id), addr)
		}
		for n := range tries {
			begun := time.Now()
			pool.Try(core.Try{Key: core.Key{ID: uint64(n)}, Server: logic.ServerID(n % servers), Ends: clock + time.Second, Until: clock + time.Second, Origin: command{}})
			inTry += time.Since(begun)
			require.Equal(t, logic.OK, (<-ended).Status, "try %d", n)
		}
		return inTry
	}
	least := spent(few)
	most := spent(many)
	for range 4 { // what else the machine does counts for neither
		least, most = min(least, spent(few)), min(most, spent(many))
	}
	t.Logf("%v with %d servers, %v with %d", least, few, most, many)
	require.Less(t, most, 10*least)
}
