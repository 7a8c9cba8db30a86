package plans

import (
	"sync/atomic"

	"bramblefall/logic"
)

// Board publishes the tiers in force to the front ends. Only the reducer's owner writes it; any goroutine may read
// it.
type Board struct{ snapshot atomic.Pointer[Sheet] }

// Sheet is a snapshot of the tiers in force. It is immutable.
type Sheet struct {
	Version uint64
	Tiers   map[string]int // tier numbers by name
	Plans   []logic.Plan   // plans by tier number
}

// Show replaces the published snapshot.
func (b *Board) Show(s Sheet) { b.snapshot.Store(&s) }

// Sheet returns the published snapshot, or an empty one before the first call of Show.
func (b *Board) Sheet() Sheet {
	if s := b.snapshot.Load(); s != nil {
		return *s
	}
	return Sheet{}
}
