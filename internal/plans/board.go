package plans

import (
	"sync/atomic"

	"bramblefall/logic"
)

// TierStore publishes the tiers in force to the front ends. Only the reducer's owner writes it; any goroutine may read
// it.
type TierStore struct{ snapshot atomic.Pointer[TierSnapshot] }

// TierSnapshot is a snapshot of the tiers in force. It is immutable.
type TierSnapshot struct {
	Version uint64
	Tiers   map[string]int // tier numbers by name
	Plans   []logic.Plan   // plans by tier number
}

// Store replaces the published snapshot.
func (b *TierStore) Store(s TierSnapshot) { b.snapshot.Store(&s) }

// Load returns the published snapshot, or an empty one before the first call of Store.
func (b *TierStore) Load() TierSnapshot {
	if s := b.snapshot.Load(); s != nil {
		return *s
	}
	return TierSnapshot{}
}
