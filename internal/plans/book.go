// Package plans holds the plan book: the numbered versions of the tiers' figures, the firms that are held to others,
// and the reservations. It is pure: no I/O and no clock. The reducer owns it and tells it the time.
package plans

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"bramblefall/logic"
)

// Source is where a version or a reservation comes from.
type Source string

// The sources. A later reading of the platform's configuration or of the operators' file replaces what came from it.
const (
	Platform Source = "platform"
	File     Source = "file"
	Admin    Source = "admin"
)

// Version is the whole set of figures from an instant on.
type Version struct {
	Number    uint64        `json:"number"`
	Effective time.Duration `json:"effective"` // Unix time, nanoseconds; 0: on receipt
	Note      string        `json:"note,omitempty"`
	Author    string        `json:"author,omitempty"`
	Source    Source        `json:"source"`
	Tiers     []logic.Plan  `json:"tiers"`
	Firms     []Firm        `json:"firms,omitempty"` // that are held to other figures than their tier's
}

// Firm is an override for one firm: moved to a tier, or on figures of its own.
type Firm struct {
	Firm uint64      `json:"firm"`
	Tier string      `json:"tier,omitempty"`
	Own  *logic.Plan `json:"own,omitempty"`
}

// Limits bound what the book takes.
type Limits struct {
	Late          time.Duration // an effective instant may lie so far in the past
	MostUnits     float64       // of one request: no burst is smaller
	FleetRate     float64       // units a second that the fleet can take; 0: not known
	ReservedShare float64       // of it that reservations may promise together
}

// DefaultLimits are used where the operators' file names none.
var DefaultLimits = Limits{Late: 5 * time.Second, MostUnits: 1, ReservedShare: 0.5}

// Sizes of what is kept: versions ended, to come, and reservations.
const (
	MaxHistory      = 32
	MaxPending      = 64
	MaxTiers        = 64
	MostFirms       = 100_000
	MaxReservations = 4096
)

// Book holds the versions and reservations. The zero value is not usable; New makes one.
type Book struct {
	limits        Limits
	tierNames     []string // tiers ever, a tier's number is its place: requests in hand hold it
	current       Version
	pending       []Version      // by instant, then number
	history       []EndedVersion // oldest first
	tiers         []tierEntry    // of the tiers in force, by number
	firmOverrides map[uint64]override
	highestNumber uint64

	platformTiers []logic.Plan // as last read

	reservations map[string]Reservation
}

// EndedVersion is a version that is no longer in force, and until when it was.
type EndedVersion struct {
	Version
	Began     time.Duration `json:"began"`
	Until     time.Duration `json:"until"`
	Withdrawn bool          `json:"withdrawn,omitempty"` // before its time
}

type tierEntry struct {
	plan    logic.Plan
	inForce bool // there is such a tier in the version in force
}

// override is a Firm, looked up: figures of its own, or a tier's number.
type override struct {
	own  *logic.Plan
	tier int
}

// New makes a book whose first version, number 0, is the platform's. It is taken as it is: the platform has been
// running on these figures.
func New(tiers []logic.Plan, limits Limits) *Book {
	b := &Book{limits: limits, platformTiers: tiers, reservations: map[string]Reservation{}}
	b.activate(Version{Source: Platform, Note: "the platform's settings at the start", Tiers: tiers})
	return b
}

// Clone copies the book, to try a change on.
func (b *Book) Clone() *Book {
	c := *b
	c.tierNames = slices.Clone(b.tierNames)
	c.pending, c.history = slices.Clone(b.pending), slices.Clone(b.history)
	c.tiers = slices.Clone(b.tiers)
	c.reservations = maps.Clone(b.reservations)
	return &c // versions are never changed in place, so their tiers and firms may be shared
}

// Plan implements logic.Book.
func (b *Book) Plan(firm uint64, tier int) (logic.Plan, bool) {
	if o, ok := b.firmOverrides[firm]; ok {
		if o.own != nil {
			return *o.own, tier >= 0 && tier < len(b.tierNames)
		}
		tier = o.tier
	}
	if tier < 0 || tier >= len(b.tiers) || !b.tiers[tier].inForce {
		return logic.Plan{}, false
	}
	return b.tiers[tier].plan, true
}

// Current is the version in force.
func (b *Book) Current() Version { return b.current }

// Pending is the versions to come, in the order in which they come into force.
func (b *Book) Pending() []Version { return slices.Clone(b.pending) }

// History is the versions that have ended, oldest first.
func (b *Book) History() []EndedVersion { return slices.Clone(b.history) }

// Tiers is the tiers in force by name, with their numbers, which stay the same for as long as the program runs.
func (b *Book) Tiers() map[string]int {
	all := map[string]int{}
	for n, f := range b.tiers {
		if f.inForce {
			all[b.tierNames[n]] = n
		}
	}
	return all
}

// Plans is the tiers' figures by number. Those of tiers that are gone are zero.
func (b *Book) Plans() []logic.Plan {
	all := make([]logic.Plan, len(b.tiers))
	for n, f := range b.tiers {
		if f.inForce {
			all[n] = f.plan
		}
	}
	return all
}

// Next is when Advance is due; false: at no time.
func (b *Book) Next() (time.Duration, bool) {
	if len(b.pending) == 0 {
		return 0, false
	}
	return b.pending[0].Effective, true
}

// Advance brings into force what is due. It tells whether the figures are others now. Of versions with one instant the
// one with the highest number is the last, and so the one in force.
func (b *Book) Advance(now time.Duration) (changed bool) {
	for len(b.pending) > 0 && b.pending[0].Effective <= now {
		v := b.pending[0]
		b.pending = slices.Clone(b.pending[1:])
		b.appendHistory(EndedVersion{Version: b.current, Began: b.current.Effective, Until: now})
		b.activate(v)
		changed = true
	}
	return changed
}

func (b *Book) appendHistory(e EndedVersion) {
	b.history = append(b.history, e)
	if over := len(b.history) - MaxHistory; over > 0 {
		b.history = slices.Clone(b.history[over:])
	}
}

// activate makes a version the one in force.
func (b *Book) activate(v Version) {
	b.current = v
	b.highestNumber = max(b.highestNumber, v.Number)
	b.tiers = make([]tierEntry, len(b.tierNames))
	for _, t := range v.Tiers {
		n := b.tierNumber(t.Name)
		for len(b.tiers) <= n {
			b.tiers = append(b.tiers, tierEntry{})
		}
		b.tiers[n] = tierEntry{t, true}
	}
	b.firmOverrides = make(map[uint64]override, len(v.Firms))
	for _, f := range v.Firms {
		b.firmOverrides[f.Firm] = override{f.Own, b.tierNumber(f.Tier)}
	}
}

// tierNumber is a tier's, a new one for a name not seen before; -1 for none.
func (b *Book) tierNumber(name string) int {
	if name == "" {
		return -1
	}
	if n := slices.Index(b.tierNames, name); n >= 0 {
		return n
	}
	b.tierNames = append(b.tierNames, name)
	return len(b.tierNames) - 1
}

// Reread takes the tiers that the platform's configuration names when it is read again. They are a change, effective on
// receipt, if they differ from those read before. Such versions have no number: each limiter reads for itself.
func (b *Book) Reread(tiers []logic.Plan, now time.Duration, inUse func(string) int) error {
	if slices.Equal(tiers, b.platformTiers) {
		return nil
	}
	v := Version{Effective: now, Source: Platform, Note: "the platform's settings, read again", Tiers: tiers}
	problems := append(b.Check(v), b.checkRemovedTiers(v, inUse)...)
	if len(problems) > 0 {
		return problems
	}
	b.platformTiers = tiers
	b.insert(v)
	return nil
}

// Propose takes a version. The same one again changes nothing; a number that was passed, or that another version has,
// is refused. inUse tells how many firms known here name a tier; nil: not known. What is due comes into force with the
// next Advance.
func (b *Book) Propose(v Version, now time.Duration, inUse func(tier string) int) error {
	if known, ok := b.findVersion(v.Number); ok {
		if sameVersion(known, v) {
			return nil
		}
		return Problems{{"number", fmt.Sprintf("%d is another version's already", v.Number)}}
	}
	if v.Number == 0 {
		v.Number = b.highestNumber + 1
	}
	problems := b.Check(v)
	if v.Number <= b.highestNumber && v.Source == Admin { // a file names all its versions each time, in any order
		problems = append(problems, Problem{"number", fmt.Sprintf("%d is not above %d, the newest", v.Number, b.highestNumber)})
	}
	if v.Effective == 0 {
		v.Effective = now
	}
	if now-v.Effective > b.limits.Late && v.Source == Admin {
		problems = append(problems, Problem{"effective", fmt.Sprintf("lies %s in the past, %s at most",
			(now - v.Effective).Round(time.Millisecond), b.limits.Late)})
	}
	if len(b.pending) >= MaxPending {
		problems = append(problems, Problem{"number", fmt.Sprintf("%d versions to come, no more are taken", MaxPending)})
	}
	problems = append(problems, b.checkRemovedTiers(v, inUse)...)
	if len(problems) > 0 {
		return problems
	}
	b.insert(v)
	return nil
}

func (b *Book) insert(v Version) {
	b.highestNumber = max(b.highestNumber, v.Number)
	b.pending = append(slices.Clone(b.pending), v)
	slices.SortStableFunc(b.pending, func(a, b Version) int {
		return cmp.Or(cmp.Compare(a.Effective, b.Effective), cmp.Compare(a.Number, b.Number))
	})
}

// Withdraw takes back a version before its time.
func (b *Book) Withdraw(number uint64, now time.Duration) error {
	at := slices.IndexFunc(b.pending, func(v Version) bool { return v.Number == number })
	if at < 0 {
		return Problems{{"number", fmt.Sprintf("%d is not to come", number)}}
	}
	b.appendHistory(EndedVersion{Version: b.pending[at], Began: now, Until: now, Withdrawn: true})
	b.pending = slices.Delete(slices.Clone(b.pending), at, at+1)
	return nil
}

// Replace takes all that a source names now: its versions to come that it no longer names are withdrawn, and so are its
// reservations. Nothing changes if one of them cannot be used.
func (b *Book) Replace(source Source, versions []Version, reservations []Reservation, now time.Duration, inUse func(string) int) error {
	next := b.Clone()
	var problems Problems
	for k, v := range versions {
		v.Source = source
		problems = append(problems, prefixed(fmt.Sprintf("plans[%d]", k), next.Propose(v, now, inUse))...)
	}
	for _, v := range b.pending {
		named := slices.ContainsFunc(versions, func(n Version) bool { return n.Number == v.Number })
		if v.Source == source && !named {
			problems = append(problems, prefixed("plans", next.Withdraw(v.Number, now))...)
		}
	}
	for k, r := range reservations {
		if r.Source = source; r.Until <= now {
			continue // a source may name it for longer than it lasts
		}
		problems = append(problems, prefixed(fmt.Sprintf("reservations[%d]", k), next.Grant(r, now))...)
	}
	for _, r := range b.reservations {
		named := slices.ContainsFunc(reservations, func(n Reservation) bool { return n.ID == r.ID })
		if r.Source == source && !named && !r.State.Over() {
			problems = append(problems, prefixed("reservations", next.Revoke(r.ID, now))...)
		}
	}
	if len(problems) > 0 {
		return problems
	}
	*b = *next
	return nil
}

// findVersion finds a findVersion by its number wherever it stands.
func (b *Book) findVersion(number uint64) (Version, bool) {
	if number == 0 { // the platform's, of which there may be many
		return Version{}, false
	}
	if b.current.Number == number {
		return b.current, true
	}
	for _, v := range b.pending {
		if v.Number == number {
			return v, true
		}
	}
	for _, e := range b.history {
		if e.Number == number {
			return e.Version, true
		}
	}
	return Version{}, false
}

// sameVersion tells whether two versions say the sameVersion. One that comes into force on receipt is the sameVersion whenever it came.
func sameVersion(a, b Version) bool {
	if b.Effective == 0 {
		b.Effective = a.Effective
	}
	a.Source, b.Source = "", ""
	return a.Number == b.Number && a.Effective == b.Effective && a.Note == b.Note && a.Author == b.Author &&
		slices.Equal(a.Tiers, b.Tiers) && reflect.DeepEqual(append([]Firm{}, a.Firms...), append([]Firm{}, b.Firms...))
}

// Effect is what a version would change for a tier.
type Effect struct {
	Tier  string     `json:"tier"`
	From  logic.Plan `json:"from"`
	To    logic.Plan `json:"to"`
	Kind  string     `json:"kind"`  // added, removed, changed
	Firms int        `json:"firms"` // known here that name it
}

// Diff tells what would change from one set of tiers to another.
func Diff(from, to []logic.Plan, inUse func(string) int) (effects []Effect) {
	if inUse == nil {
		inUse = func(string) int { return 0 }
	}
	find := func(list []logic.Plan, name string) (logic.Plan, bool) {
		at := slices.IndexFunc(list, func(p logic.Plan) bool { return p.Name == name })
		if at < 0 {
			return logic.Plan{}, false
		}
		return list[at], true
	}
	for _, old := range from {
		now, still := find(to, old.Name)
		switch {
		case !still:
			effects = append(effects, Effect{old.Name, old, logic.Plan{}, "removed", inUse(old.Name)})
		case now != old:
			effects = append(effects, Effect{old.Name, old, now, "changed", inUse(old.Name)})
		}
	}
	for _, now := range to {
		if _, was := find(from, now.Name); !was {
			effects = append(effects, Effect{now.Name, logic.Plan{}, now, "added", 0})
		}
	}
	return effects
}
