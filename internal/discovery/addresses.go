package discovery

import (
	"log/slog"

	"bramblefall/logic"
)

// addressBook keeps which server each address belongs to, by the lists. A process that comes up at the address of one that has gone
// is told of before the other's end at times: its name differs, and it started later.
type addressBook struct {
	ready  map[string]Server // the servers that take something new, by name, as last listed
	byAddr map[string]string // names by address; a name may have moved on since
}

func newAddressBook() addressBook {
	return addressBook{ready: map[string]Server{}, byAddr: map[string]string{}}
}

// owner returns the server that an address belongs to.
func (b addressBook) owner(addr string) (Server, bool) {
	s, ok := b.ready[b.byAddr[addr]]
	return s, ok && s.Addr == addr
}

// supersededBy returns the server that started later at the address of s, if there is one. Where start times are the same, the
// lists do not tell which of the two is there.
func (b addressBook) supersededBy(s Server) (Server, bool) {
	other, ok := b.owner(s.Addr)
	return other, ok && s.Addr != "" && other.ID != s.ID && other.StartedMS > s.StartedMS
}

// add takes note of a server that takes something new. It returns the server that was at its address before, if that has gone.
func (b addressBook) add(s Server) (gone Server, any bool) {
	other, ok := b.owner(s.Addr)
	if any = ok && s.Addr != "" && other.ID != s.ID && other.StartedMS < s.StartedMS; any {
		delete(b.ready, other.ID)
	}
	b.ready[s.ID] = s
	b.byAddr[s.Addr] = s.ID
	return other, any
}

// remove takes note of a server that takes nothing new.
func (b addressBook) remove(name string) {
	s, ok := b.ready[name]
	if !ok {
		return
	}
	delete(b.ready, name)
	if b.byAddr[s.Addr] == name {
		delete(b.byAddr, s.Addr)
	}
}

// restarted reports whether a server is a new process at the address that it had before.
func (b addressBook) restarted(s Server) bool {
	before, ok := b.ready[s.ID]
	return ok && before.Addr == s.Addr && before.StartedMS != s.StartedMS
}

// publishReady hands on a server that takes something new. It returns the entries for the module: its own, and that of a server
// whose address it has taken.
func (c *Client) publishReady(s Server, id logic.ServerID) []logic.Server {
	if c.book.restarted(s) {
		c.addresses.Withdraw(id) // what is connected is the process before
	}
	var entries []logic.Server
	if gone, any := c.book.add(s); any {
		slog.Info("a server that started later has the address of another, which is taken to have gone", "addr", s.Addr, "id", s.ID, "gone", gone.ID)
		goneID := c.ids[gone.ID]
		c.addresses.Withdraw(goneID)
		entries = append(entries, c.entry(gone, goneID, logic.Gone))
	}
	if s.Addr != "" {
		c.addresses.SetAddress(id, s.Addr)
	}
	return append(entries, c.entry(s, id, logic.Ready))
}
