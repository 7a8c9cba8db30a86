package discovery

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

// addressLog records what a client of discovery tells the pool, in order.
type addressLog struct {
	addrs    map[logic.ServerID]string
	replaced []logic.ServerID // withdrawn while they had an address
}

func (a *addressLog) SetAddress(id logic.ServerID, addr string) { a.addrs[id] = addr }

func (a *addressLog) Withdraw(id logic.ServerID) {
	if _, ok := a.addrs[id]; ok {
		delete(a.addrs, id)
		a.replaced = append(a.replaced, id)
	}
}

// addressFixture is a client of discovery, the state of each server as the module has it, and the pool's addresses.
type addressFixture struct {
	*Client
	addressLog
	states map[logic.ServerID]logic.ServerState
}

func newAddressFixture() *addressFixture {
	x := &addressFixture{addressLog: addressLog{addrs: map[logic.ServerID]string{}}, states: map[logic.ServerID]logic.ServerState{}}
	x.Client = New("", logic.Settings{ZoneNames: []string{"a", "b"}}, &x.addressLog, func(ev core.Event) {
		for _, s := range ev.(core.UpstreamGroup).Servers {
			x.states[s.ID] = s.State
		}
	})
	return x
}

func ready(id, addr string, startedMS int64) Server {
	return Server{ID: id, Addr: addr, Zone: "a", State: "ready", StartedMS: startedMS}
}

// A process that came up at the address of one that had gone was taken for the old one, too, until a list dropped that: what was meant
// for a warm server went to a cold one.
func TestLaterStartAtAnAddressEndsTheServerBefore(t *testing.T) {
	const first, second = 1, 2
	for name, lists := range map[string][]List{
		"a change": {{Version: 1, Full: true, Servers: []Server{ready("s-1", "h:1", 100)}}, {Version: 2, Servers: []Server{ready("s-2", "h:1", 200)}}},
		"a whole list with both": {{Version: 1, Full: true, Servers: []Server{ready("s-1", "h:1", 100)}},
			{Version: 2, Full: true, Servers: []Server{ready("s-1", "h:1", 100), ready("s-2", "h:1", 200)}}},
		"the old one named again": {{Version: 1, Full: true, Servers: []Server{ready("s-1", "h:1", 100)}},
			{Version: 2, Servers: []Server{ready("s-2", "h:1", 200)}}, {Version: 3, Servers: []Server{ready("s-1", "h:1", 100)}}},
	} {
		x := newAddressFixture()
		for _, l := range lists {
			x.apply(l, false)
		}
		assert.Equal(t, map[logic.ServerID]string{second: "h:1"}, x.addrs, name)
		assert.NotEqual(t, logic.Ready, x.states[first], name)
		assert.Equal(t, logic.Ready, x.states[second], name)
	}
}

// Nothing changes where the lists do not tell which process is at an address, or where one has moved away before.
func TestSharedAddressWithoutLaterStartIsKept(t *testing.T) {
	x := newAddressFixture()
	x.apply(List{Version: 1, Full: true, Servers: []Server{ready("s-1", "h:1", 0), ready("s-2", "h:1", 0)}}, false)
	assert.Len(t, x.addrs, 2)
	x = newAddressFixture()
	x.apply(List{Version: 1, Full: true, Servers: []Server{ready("s-1", "h:1", 100)}}, false)
	x.apply(List{Version: 2, Servers: []Server{ready("s-1", "h:2", 100), ready("s-2", "h:1", 200)}}, false)
	assert.Equal(t, map[logic.ServerID]string{1: "h:2", 2: "h:1"}, x.addrs)
}

// A server that has been restarted is reached on new connections only: what is connected is the process before.
func TestRestartedServerIsConnectedAnew(t *testing.T) {
	x := newAddressFixture()
	x.apply(List{Version: 1, Full: true, Servers: []Server{ready("s-1", "h:1", 100)}}, false)
	x.apply(List{Version: 2, Servers: []Server{ready("s-1", "h:1", 100)}}, false)
	assert.Empty(t, x.replaced, "nothing has changed")
	x.apply(List{Version: 3, Servers: []Server{ready("s-1", "h:1", 200)}}, false)
	assert.Equal(t, []logic.ServerID{1}, x.replaced)
	assert.Equal(t, map[logic.ServerID]string{1: "h:1"}, x.addrs)
}
