package plans

import (
	"sync/atomic"

	"bramblefall/logic"
)

// Board shows the fronts the tiers in force. The reducer's owner writes it, any goroutine may read it.
type Board struct{ snapshot atomic.Pointer[Sheet] }

// Sheet is what the board shows. It is never changed.
type Sheet struct {
	Version uint64
	Tiers   map[string]int // numbers by name
	Plans   []logic.Plan   // by number
}

// Show puts up a sheet.
func (b *Board) Show(s Sheet) { b.snapshot.Store(&s) }

// Sheet is the one that is up; empty before the first.
func (b *Board) Sheet() Sheet {
	if s := b.snapshot.Load(); s != nil {
		return *s
	}
	return Sheet{}
}
