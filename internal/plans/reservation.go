package plans

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// State is where a reservation stands.
type State string

// The states. The last three are final.
const (
	Granted State = "granted" // its time has not come
	InUse   State = "in use"
	Spent   State = "spent"
	Expired State = "expired"
	Revoked State = "revoked"
)

// Over tells whether nothing more can be drawn.
func (s State) Over() bool { return s == Spent || s == Expired || s == Revoked }

// Reservation is allowance that a firm is granted beside its plan, for a time. It counts as inside the quota. The
// ceiling stays as it is.
type Reservation struct {
	ID     string        `json:"id"`
	Firm   uint64        `json:"firm"`
	Units  float64       `json:"units"`
	Rate   float64       `json:"rate,omitempty"` // units a second at most; 0: any
	From   time.Duration `json:"from"`           // Unix time, nanoseconds
	Until  time.Duration `json:"until"`
	Note   string        `json:"note,omitempty"`
	Source Source        `json:"source"`
	State  State         `json:"state"`
	Ended  time.Duration `json:"ended,omitempty"`
}

// sameGrant tells whether two grants say the sameGrant.
func (r Reservation) sameGrant(o Reservation) bool {
	return r.ID == o.ID && r.Firm == o.Firm && r.Units == o.Units && r.Rate == o.Rate && r.From == o.From &&
		r.Until == o.Until && r.Note == o.Note
}

// Grant takes a reservation. Twice the same is one; the same id with other content is refused.
func (b *Book) Grant(r Reservation, now time.Duration) error {
	if known, ok := b.reservations[r.ID]; ok {
		if known.sameGrant(r) {
			return nil
		}
		return Problems{{"id", fmt.Sprintf("%q is granted with other content already", r.ID)}}
	}
	problems := b.checkReservation(r, now)
	if len(b.reservations) >= MaxReservations && !b.evictOldestEnded() {
		problems = append(problems, Problem{"id", fmt.Sprintf("%d reservations stand, no more are taken", MaxReservations)})
	}
	if len(problems) > 0 {
		return problems
	}
	r.State, r.Ended = Granted, 0
	if r.From <= now {
		r.State = InUse
	}
	b.reservations[r.ID] = r
	return nil
}

// Revoke ends a reservation. Twice is once.
func (b *Book) Revoke(id string, now time.Duration) error {
	r, ok := b.reservations[id]
	if !ok {
		return Problems{{"id", fmt.Sprintf("%q is not granted", id)}}
	}
	if r.State == Revoked {
		return nil
	}
	if r.State.Over() {
		return Problems{{"id", fmt.Sprintf("%q is %s already", id, r.State)}}
	}
	b.setState(r, Revoked, now)
	return nil
}

// Spend notes that a reservation is used up.
func (b *Book) Spend(id string, now time.Duration) {
	if r, ok := b.reservations[id]; ok && !r.State.Over() {
		b.setState(r, Spent, now)
	}
}

func (b *Book) setState(r Reservation, s State, now time.Duration) {
	r.State, r.Ended = s, now
	b.reservations[r.ID] = r
}

// Turn moves reservations on with time. It tells whether one has begun or ended.
func (b *Book) Turn(now time.Duration) (changed bool) {
	for _, r := range b.reservations {
		switch {
		case r.State.Over():
		case now >= r.Until:
			b.setState(r, Expired, now)
			changed = true
		case r.State == Granted && now >= r.From:
			b.setState(r, InUse, 0)
			changed = true
		}
	}
	return changed
}

// NextTurn is when Turn is due; false: at no time.
func (b *Book) NextTurn() (at time.Duration, ok bool) {
	for _, r := range b.reservations {
		due := r.Until
		if r.State == Granted {
			due = r.From
		}
		if !r.State.Over() && (!ok || due < at) {
			at, ok = due, true
		}
	}
	return at, ok
}

// Reservations is all that are known, by begin and id.
func (b *Book) Reservations() []Reservation {
	all := make([]Reservation, 0, len(b.reservations))
	for _, r := range b.reservations {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Reservation) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// Reservation finds one.
func (b *Book) Reservation(id string) (Reservation, bool) {
	r, ok := b.reservations[id]
	return r, ok
}

// evictOldestEnded makes room: the one that ended first goes. It tells whether there was one.
func (b *Book) evictOldestEnded() bool {
	var oldest *Reservation
	for _, r := range b.reservations {
		if r.State.Over() && (oldest == nil || r.Ended < oldest.Ended || r.Ended == oldest.Ended && r.ID < oldest.ID) {
			oldest = &r
		}
	}
	if oldest != nil {
		delete(b.reservations, oldest.ID)
	}
	return oldest != nil
}

// Snapshot is the book as it is kept on disk.
type Snapshot struct {
	Current      Version        `json:"current"`
	Pending      []Version      `json:"pending"`
	History      []EndedVersion `json:"history"`
	Reservations []Reservation  `json:"reservations"`
}

// Snapshot copies what must survive a restart.
func (b *Book) Snapshot() Snapshot {
	return Snapshot{b.current, b.Pending(), b.History(), b.Reservations()}
}

// Restore takes up a snapshot: its versions and reservations stand beside the platform's own. A current version that
// the platform had set is not taken up: the platform's settings of today go before it.
func (b *Book) Restore(s Snapshot) {
	for _, v := range append([]Version{s.Current}, s.Pending...) {
		b.highestNumber = max(b.highestNumber, v.Number)
		for _, t := range v.Tiers {
			b.tierNumber(t.Name)
		}
	}
	b.history, b.pending = s.History, s.Pending
	if s.Current.Source != Platform {
		b.activate(s.Current)
	}
	for _, r := range s.Reservations {
		b.reservations[r.ID] = r
	}
}
