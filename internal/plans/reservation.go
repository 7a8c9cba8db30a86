package plans

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// State is the state of a reservation.
type State string

// The states. The last three are final.
const (
	Granted State = "granted" // has not begun
	InUse   State = "in use"
	Spent   State = "spent"
	Expired State = "expired"
	Revoked State = "revoked"
)

// Over reports whether the state is final: nothing more can be drawn.
func (s State) Over() bool { return s == Spent || s == Expired || s == Revoked }

// Reservation is an allowance that a firm is granted in addition to its plan, for a limited time. Its units count as
// within the quota. The ceiling stays as it is.
type Reservation struct {
	ID     string        `json:"id"`
	Firm   uint64        `json:"firm"`
	Units  float64       `json:"units"`
	Rate   float64       `json:"rate,omitempty"` // maximum units per second; 0: no limit
	From   time.Duration `json:"from"`           // Unix time, nanoseconds
	Until  time.Duration `json:"until"`
	Note   string        `json:"note,omitempty"`
	Source Source        `json:"source"`
	State  State         `json:"state"`
	Ended  time.Duration `json:"ended,omitempty"`
}

// sameGrant reports whether two reservations were granted with the same content.
func (r Reservation) sameGrant(o Reservation) bool {
	return r.ID == o.ID && r.Firm == o.Firm && r.Units == o.Units && r.Rate == o.Rate && r.From == o.From &&
		r.Until == o.Until && r.Note == o.Note
}

// Grant adds a reservation. Granting the same one again changes nothing; the same id with other content is rejected.
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

// Revoke ends a reservation. Revoking it again changes nothing.
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

// MarkSpent records that a reservation is used up.
func (b *Book) MarkSpent(id string, now time.Duration) {
	if r, ok := b.reservations[id]; ok && !r.State.Over() {
		b.setState(r, Spent, now)
	}
}

func (b *Book) setState(r Reservation, s State, now time.Duration) {
	r.State, r.Ended = s, now
	b.reservations[r.ID] = r
}

// AdvanceReservations updates the states of the reservations to now and reports whether any has begun or ended.
func (b *Book) AdvanceReservations(now time.Duration) (changed bool) {
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

// NextReservationChange returns when AdvanceReservations is due; false if no reservation will change.
func (b *Book) NextReservationChange() (at time.Duration, ok bool) {
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

// Reservations returns all known reservations, ordered by start and id.
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

// Reservation returns the reservation with this id.
func (b *Book) Reservation(id string) (Reservation, bool) {
	r, ok := b.reservations[id]
	return r, ok
}

// evictOldestEnded makes room by deleting the reservation that ended first. It reports whether there was one.
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

// Snapshot is the content of the book as stored on disk.
type Snapshot struct {
	Current      Version        `json:"current"`
	Pending      []Version      `json:"pending"`
	History      []EndedVersion `json:"history"`
	Reservations []Reservation  `json:"reservations"`
	Passed       uint64         `json:"passed,omitempty"` // highest number of the ended versions that History no longer has
}

// Snapshot returns what must survive a restart.
func (b *Book) Snapshot() Snapshot {
	return Snapshot{b.current, b.Pending(), b.History(), b.Reservations(), b.highestPassed}
}

// Restore adds the versions and reservations of a snapshot to a new book that holds the platform's tiers. A current
// version that came from the platform is not restored: the platform's present configuration takes precedence. It keeps the instant,
// so that no version that had ended before comes back.
func (b *Book) Restore(s Snapshot) {
	for _, v := range append([]Version{s.Current}, s.Pending...) {
		b.highestNumber = max(b.highestNumber, v.Number)
		for _, t := range v.Tiers {
			b.tierNumber(t.Name)
		}
	}
	b.history, b.pending, b.highestPassed = s.History, s.Pending, s.Passed
	if s.Current.Source != Platform {
		b.activate(s.Current)
	}
	b.current.Effective = s.Current.Effective
	for _, r := range s.Reservations {
		b.reservations[r.ID] = r
	}
}
