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

// startServer starts a server that answers each command with an empty value and returns its address.
func startServer(t *testing.T) string {
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

// A full pool closes the connection that has been idle longest to make room for the next try. The cost must not grow with the
// number of servers listed, since it is paid in the reducer's loop.
func TestEvictionCostIsIndependentOfServerCount(t *testing.T) {
	const few, many, connections, tries = 100, 50000, 4, 300
	addr := startServer(t)
	timeInTry := func(servers int) (inTry time.Duration) {
		ended := make(chan core.Outcome, 1)
		pool := New(logic.Settings{}, connections, Memory{}, func(ev core.Event) {
			if o, ok := ev.(core.Outcome); ok {
				ended <- o
			}
		}, func() time.Duration { return reducerTime })
		for id := range servers {
			pool.SetAddress(logic.ServerID(id), addr)
		}
		for n := range tries {
			begun := time.Now()
			pool.Try(core.Try{Key: core.Key{ID: uint64(n)}, Server: logic.ServerID(n % servers), Deadline: reducerTime + time.Second, SendUntil: reducerTime + time.Second, Origin: command{}})
			inTry += time.Since(begun)
			require.Equal(t, logic.OK, (<-ended).Status, "try %d", n)
		}
		return inTry
	}
	least := timeInTry(few)
	most := timeInTry(many)
	for range 4 { // the minimum of several runs excludes other load on the machine
		least, most = min(least, timeInTry(few)), min(most, timeInTry(many))
	}
	t.Logf("%v with %d servers, %v with %d", least, few, most, many)
	require.Less(t, most, 10*least)
}
