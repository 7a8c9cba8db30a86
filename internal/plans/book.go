// Package plans holds the plan book: the numbered versions of the tiers' plans, the overrides for single firms, and
// the reservations. It does no I/O and reads no clock. The reducer owns the book and passes in the time.
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

// Source is where a version or a reservation was defined.
type Source string

// The sources. When the platform's configuration or the operators' file is read again, its contents replace what was
// read from it before.
const (
	Platform Source = "platform"
	File     Source = "file"
	Admin    Source = "admin"
)

// Version is a complete set of plans that applies from an instant on.
type Version struct {
	Number    uint64        `json:"number"`
	Effective time.Duration `json:"effective"` // Unix time, nanoseconds; 0: on receipt
	Note      string        `json:"note,omitempty"`
	Author    string        `json:"author,omitempty"`
	Source    Source        `json:"source"`
	Tiers     []logic.Plan  `json:"tiers"`
	Firms     []Firm        `json:"firms,omitempty"` // firms with other limits than their tier's
}

// Firm is an override for one firm: another tier, or a plan of its own.
type Firm struct {
	Firm uint64      `json:"firm"`
	Tier string      `json:"tier,omitempty"`
	Own  *logic.Plan `json:"own,omitempty"`
}

// Limits bound the versions and reservations that the book accepts. The JSON tags keep the names that the check command prints.
type Limits struct {
	MaxPastEffective time.Duration `json:"Late"`          // how far in the past an effective instant may lie
	MaxRequestUnits  float64       `json:"MostUnits"`     // units of the largest request; no burst may be smaller
	FleetRate        float64       `json:"FleetRate"`     // units per second that the fleet can serve; 0: not known
	ReservedShare    float64       `json:"ReservedShare"` // share of FleetRate that all reservations together may promise
}

// DefaultLimits apply where the operators' file sets none.
var DefaultLimits = Limits{MaxPastEffective: 5 * time.Second, MaxRequestUnits: 1, ReservedShare: 0.5}

// Upper bounds on what a book holds: ended versions (MaxHistory), versions not yet in force (MaxPending), tiers and
// firm overrides of one version, and reservations.
const (
	MaxHistory      = 32
	MaxPending      = 64
	MaxTiers        = 64
	MaxFirms        = 100_000
	MaxReservations = 4096
)

// Book holds the versions and reservations. The zero value is not usable; call New.
type Book struct {
	limits Limits
	// All tiers ever defined. The index is the tier's number and never changes, because requests in flight refer to it.
	tierNames     []string
	current       Version
	pending       []Version      // ordered by instant, then number
	history       []EndedVersion // oldest first
	tiers         []tierEntry    // the tiers in force, by number
	firmOverrides map[uint64]override
	highestNumber uint64
	highestPassed uint64 // highest number of the versions that have ended and left the history

	platformTiers []logic.Plan // the platform's tiers as last read

	reservations map[string]Reservation
}

// EndedVersion is a version that is no longer in force or was withdrawn, and when it began and ended.
type EndedVersion struct {
	Version
	Began     time.Duration `json:"began"`
	Until     time.Duration `json:"until"`
	Withdrawn bool          `json:"withdrawn,omitempty"` // before it came into force
}

type tierEntry struct {
	plan    logic.Plan
	inForce bool // the version in force has this tier
}

// override is a resolved Firm: a plan of its own, or the number of a tier.
type override struct {
	own  *logic.Plan
	tier int
}

// New creates a book whose first version, number 0, holds the platform's tiers. They are not checked, because the
// platform has been running on them.
func New(tiers []logic.Plan, limits Limits) *Book {
	b := &Book{limits: limits, platformTiers: tiers, reservations: map[string]Reservation{}}
	b.activate(Version{Source: Platform, Note: "the platform's settings at the start", Tiers: tiers})
	return b
}

// Clone returns a copy of the book on which a change can be tried.
func (b *Book) Clone() *Book {
	c := *b
	c.tierNames = slices.Clone(b.tierNames)
	c.pending, c.history = slices.Clone(b.pending), slices.Clone(b.history)
	c.tiers = slices.Clone(b.tiers)
	c.reservations = maps.Clone(b.reservations)
	return &c // versions are never changed in place, so the copies share their tiers and firms
}

// Plan implements logic.PlanSource.
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

// Current returns the version in force.
func (b *Book) Current() Version { return b.current }

// Pending returns the versions not yet in force, in the order in which they take effect.
func (b *Book) Pending() []Version { return slices.Clone(b.pending) }

// History returns the versions that have ended, oldest first.
func (b *Book) History() []EndedVersion { return slices.Clone(b.history) }

// Tiers returns the numbers of the tiers in force by name. A number stays the same for as long as the process runs.
func (b *Book) Tiers() map[string]int {
	all := map[string]int{}
	for n, f := range b.tiers {
		if f.inForce {
			all[b.tierNames[n]] = n
		}
	}
	return all
}

// Plans returns the plans by tier number. Tiers that are not in force have zero plans.
func (b *Book) Plans() []logic.Plan {
	all := make([]logic.Plan, len(b.tiers))
	for n, f := range b.tiers {
		if f.inForce {
			all[n] = f.plan
		}
	}
	return all
}

// Next returns when Advance is due; false if no version is pending.
func (b *Book) Next() (time.Duration, bool) {
	if len(b.pending) == 0 {
		return 0, false
	}
	return b.pending[0].Effective, true
}

// Advance brings the due versions into force and reports whether the plans changed. Of several versions with the same
// instant, the one with the highest number is applied last and so stays in force.
func (b *Book) Advance(now time.Duration) (changed bool) {
	for len(b.pending) > 0 && b.pending[0].Effective <= b.onReceipt(now) {
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
	for len(b.history) > MaxHistory {
		b.highestPassed = max(b.highestPassed, b.history[0].Number)
		b.history = slices.Clone(b.history[1:])
	}
}

// activate makes v the version in force.
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

// tierNumber returns the number of a tier, assigning one to a name not seen before; -1 for the empty name.
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

// UpdatePlatform installs the tiers of the platform's configuration when it is read again. If they differ from those read
// before, they form a version that is effective on receipt. Such versions have no number, because each limiter reads
// the configuration by itself.
func (b *Book) UpdatePlatform(tiers []logic.Plan, now time.Duration, inUse func(string) int) error {
	if slices.Equal(tiers, b.platformTiers) {
		return nil
	}
	v := Version{Effective: b.onReceipt(now), Source: Platform, Note: "the platform's settings, read again", Tiers: tiers}
	problems := append(b.Check(v), b.checkRemovedTiers(v, inUse)...)
	if len(problems) > 0 {
		return problems
	}
	b.platformTiers = tiers
	b.insert(v)
	return nil
}

// Propose adds a version. Proposing the same version again changes nothing; a number that has been passed, or that
// belongs to another version, is rejected. inUse returns how many firms known to this limiter use a tier; nil means
// not known. A version that is already due takes effect at the next Advance, unless it precedes the one in force: then it has
// ended, and a file may go on listing it.
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
	if v.Number <= b.highestNumber && v.Source == Admin { // a file lists all its versions each time, in any order
		problems = append(problems, Problem{"number", fmt.Sprintf("%d is not above %d, the newest", v.Number, b.highestNumber)})
	}
	ended := b.hasEnded(v)
	if v.Effective == 0 {
		v.Effective = b.onReceipt(now)
	}
	if ended && v.Source == Admin {
		problems = append(problems, Problem{"effective", fmt.Sprintf("lies before that of version %d, which is in force", b.current.Number)})
	}
	if now-v.Effective > b.limits.MaxPastEffective && v.Source == Admin {
		problems = append(problems, Problem{"effective", fmt.Sprintf("lies %s in the past, %s at most",
			(now - v.Effective).Round(time.Millisecond), b.limits.MaxPastEffective)})
	}
	if !ended && len(b.pending) >= MaxPending {
		problems = append(problems, Problem{"number", fmt.Sprintf("%d versions to come, no more are taken", MaxPending)})
	}
	if !ended {
		problems = append(problems, b.checkRemovedTiers(v, inUse)...)
	}
	if len(problems) > 0 {
		return problems
	}
	if ended {
		b.highestNumber = max(b.highestNumber, v.Number)
		return nil
	}
	b.insert(v)
	return nil
}

// hasEnded reports whether a version that the book does not know has ended: it precedes the one in force. One that takes effect on
// receipt was received before if later ones have left the history.
func (b *Book) hasEnded(v Version) bool {
	if v.Effective == 0 {
		return v.Number <= b.highestPassed
	}
	return comparePrecedence(v, b.current) < 0
}

// onReceipt returns the instant of a version that takes effect on receipt: now, or just after the version in force where the wall
// clock has stepped back behind it.
func (b *Book) onReceipt(now time.Duration) time.Duration { return max(now, b.current.Effective+1) }

func (b *Book) insert(v Version) {
	b.highestNumber = max(b.highestNumber, v.Number)
	b.pending = append(slices.Clone(b.pending), v)
	slices.SortStableFunc(b.pending, comparePrecedence)
}

// comparePrecedence orders versions by instant, then by number. The last of those that are due is in force.
func comparePrecedence(a, b Version) int {
	return cmp.Or(cmp.Compare(a.Effective, b.Effective), cmp.Compare(a.Number, b.Number))
}

// Withdraw removes a version before it comes into force.
func (b *Book) Withdraw(number uint64, now time.Duration) error {
	at := slices.IndexFunc(b.pending, func(v Version) bool { return v.Number == number })
	if at < 0 {
		return Problems{{"number", fmt.Sprintf("%d is not to come", number)}}
	}
	b.appendHistory(EndedVersion{Version: b.pending[at], Began: now, Until: now, Withdrawn: true})
	b.pending = slices.Delete(slices.Clone(b.pending), at, at+1)
	return nil
}

// Replace installs everything that a source now lists. Pending versions of this source that it no longer lists are
// withdrawn, and its reservations that it no longer lists are revoked. If any of it cannot be used, nothing changes.
func (b *Book) Replace(source Source, versions []Version, reservations []Reservation, now time.Duration, inUse func(string) int) error {
	next := b.Clone()
	var problems Problems
	for k, v := range versions {
		v.Source = source
		problems = append(problems, prefixFields(fmt.Sprintf("plans[%d]", k), next.Propose(v, now, inUse))...)
	}
	for _, v := range b.pending {
		listed := slices.ContainsFunc(versions, func(n Version) bool { return n.Number == v.Number })
		if v.Source == source && !listed {
			problems = append(problems, prefixFields("plans", next.Withdraw(v.Number, now))...)
		}
	}
	for k, r := range reservations {
		if r.Source = source; r.Until <= now {
			continue // a source may keep listing a reservation that has ended
		}
		problems = append(problems, prefixFields(fmt.Sprintf("reservations[%d]", k), next.Grant(r, now))...)
	}
	for _, r := range b.reservations {
		listed := slices.ContainsFunc(reservations, func(n Reservation) bool { return n.ID == r.ID })
		if r.Source == source && !listed && !r.State.Over() {
			problems = append(problems, prefixFields("reservations", next.Revoke(r.ID, now))...)
		}
	}
	if len(problems) > 0 {
		return problems
	}
	*b = *next
	return nil
}

// findVersion returns the version with this number, whether it is in force, pending or ended.
func (b *Book) findVersion(number uint64) (Version, bool) {
	if number == 0 { // versions of the platform, of which there may be many
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

// sameVersion reports whether two versions have the same content. If b takes effect on receipt, its instant is not
// compared.
func sameVersion(a, b Version) bool {
	if b.Effective == 0 {
		b.Effective = a.Effective
	}
	a.Source, b.Source = "", ""
	return a.Number == b.Number && a.Effective == b.Effective && a.Note == b.Note && a.Author == b.Author &&
		slices.Equal(a.Tiers, b.Tiers) && reflect.DeepEqual(append([]Firm{}, a.Firms...), append([]Firm{}, b.Firms...))
}

// Effect is the change that a version would make to one tier.
type Effect struct {
	Tier  string     `json:"tier"`
	From  logic.Plan `json:"from"`
	To    logic.Plan `json:"to"`
	Kind  string     `json:"kind"`  // added, removed, changed
	Firms int        `json:"firms"` // firms known to this limiter that use the tier
}

// Diff returns the changes from one set of tiers to another.
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
	for _, previous := range from {
		next, kept := find(to, previous.Name)
		switch {
		case !kept:
			effects = append(effects, Effect{previous.Name, previous, logic.Plan{}, "removed", inUse(previous.Name)})
		case next != previous:
			effects = append(effects, Effect{previous.Name, previous, next, "changed", inUse(previous.Name)})
		}
	}
	for _, next := range to {
		if _, existed := find(from, next.Name); !existed {
			effects = append(effects, Effect{next.Name, logic.Plan{}, next, "added", 0})
		}
	}
	return effects
}
