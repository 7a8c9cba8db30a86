package plans

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"bramblefall/logic"
)

// Problem is one thing that cannot be used, with the field that holds it.
type Problem struct{ Field, Text string }

// Problems is all that cannot be used in one proposal.
type Problems []Problem

// Error implements error: every problem, on one line.
func (p Problems) Error() string {
	all := make([]string, len(p))
	for k, x := range p {
		all[k] = x.Field + ": " + x.Text
	}
	return strings.Join(all, "; ")
}

// prefixed puts the place of a part before its fields.
func prefixed(place string, err error) (out Problems) {
	var list Problems
	if err == nil {
		return nil
	}
	if !errors.As(err, &list) {
		return Problems{{place, err.Error()}}
	}
	for _, p := range list {
		out = append(out, Problem{place + "." + p.Field, p.Text})
	}
	return out
}

const (
	maxPlanValue = 1e9 // units, or units a second
	maxNameBytes = 64  // bytes of a tier's name or a reservation's id
	maxNoteBytes = 512
	maxPrice     = 1e6
)

// Check finds all that is wrong with a version by itself.
func (b *Book) Check(v Version) (all Problems) {
	bad := func(field, text string, args ...any) { all = append(all, Problem{field, fmt.Sprintf(text, args...)}) }
	if len(v.Tiers) == 0 || len(v.Tiers) > MaxTiers {
		bad("tiers", "1 to %d are needed, %d are named", MaxTiers, len(v.Tiers))
	}
	if len(v.Note) > maxNoteBytes || len(v.Author) > maxNoteBytes {
		bad("note", "note and author have %d bytes at most", maxNoteBytes)
	}
	if len(v.Firms) > MostFirms {
		bad("firms", "%d at most, %d are named", MostFirms, len(v.Firms))
	}
	if v.Effective < 0 {
		bad("effective", "lies before 1970")
	}
	names := map[string]bool{}
	for k, t := range v.Tiers {
		field := fmt.Sprintf("tiers[%d]", k)
		if !ValidName(t.Name) {
			bad(field+".name", "%q is not 1 to %d letters, digits, '-', '_' or '.'", t.Name, maxNameBytes)
			continue
		}
		if names[t.Name] {
			bad(field+".name", "%q stands twice", t.Name)
		}
		names[t.Name] = true
		all = append(all, b.checkPlan(field, t)...)
	}
	seen := map[uint64]bool{}
	for k, f := range v.Firms {
		field := fmt.Sprintf("firms[%d]", k)
		if f.Firm >= 1<<33 {
			bad(field+".firm", "%x is not below 2^33", f.Firm)
		}
		if seen[f.Firm] {
			bad(field+".firm", "%x stands twice", f.Firm)
		}
		seen[f.Firm] = true
		switch {
		case (f.Own == nil) == (f.Tier == ""):
			bad(field, "either a tier or figures of its own are needed")
		case f.Own != nil:
			all = append(all, b.checkPlan(field+".own", *f.Own)...)
		case !names[f.Tier]:
			bad(field+".tier", "unknown tier %q", f.Tier)
		}
	}
	return all
}

// checkPlan checks one set of checkPlan.
func (b *Book) checkPlan(field string, p logic.Plan) (all Problems) {
	bad := func(name, text string, args ...any) {
		all = append(all, Problem{field + "." + name, fmt.Sprintf(text, args...)})
	}
	for _, f := range []struct {
		name string
		v    float64
		most float64
	}{{"rate", p.Rate, maxPlanValue}, {"burst", p.Burst, maxPlanValue}, {"price", p.Price, maxPrice},
		{"over_worth", p.OverWorth, 1}, {"over_cost", p.OverCost, maxPrice}, {"ceiling_rate", p.CeilingRate, maxPlanValue},
		{"ceiling_burst", p.CeilingBurst, maxPlanValue}, {"ceiling_slack", p.CeilingSlack, maxPlanValue}} {
		if !(f.v >= 0 && f.v <= f.most) { // not a number is neither
			bad(f.name, "%v is not a number from 0 to %g", f.v, f.most)
		}
	}
	if len(all) > 0 {
		return all
	}
	largest := max(b.limits.MostUnits, 1)
	if p.Open < 0 || p.Open > maxPlanValue {
		bad("open", "%d is out of range", p.Open)
	}
	if p.Rate > 0 && p.Burst < largest {
		bad("burst", "%g is under the largest request, %g", p.Burst, largest)
	}
	if p.Rate == 0 && p.Open == 0 && p.CeilingRate == 0 {
		bad("rate", "neither a rate, nor open, nor a ceiling: nothing would be limited")
	}
	if p.CeilingRate > 0 && p.CeilingRate < p.Rate {
		bad("ceiling_rate", "%g is under the quota's rate, %g", p.CeilingRate, p.Rate)
	}
	if p.CeilingRate > 0 && p.CeilingBurst < p.Burst {
		bad("ceiling_burst", "%g is under the quota's burst, %g", p.CeilingBurst, p.Burst)
	}
	if p.CeilingRate == 0 && p.CeilingBurst+p.CeilingSlack > 0 {
		bad("ceiling_rate", "a ceiling's burst or slack without its rate")
	}
	return all
}

// checkRemovedTiers finds the tiers that a version removes while firms use them.
func (b *Book) checkRemovedTiers(v Version, inUse func(string) int) (all Problems) {
	if inUse == nil {
		return nil
	}
	kept := map[string]bool{}
	for _, t := range v.Tiers {
		kept[t.Name] = true
	}
	for name := range b.Tiers() {
		if n := inUse(name); n > 0 && !kept[name] {
			all = append(all, Problem{"tiers[" + name + "]", fmt.Sprintf("removed while %d firms use it", n)})
		}
	}
	return all
}

// ValidName tells whether a text may name a tier or a reservation.
func ValidName(s string) bool {
	return len(s) > 0 && len(s) <= maxNameBytes && strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == ""
}

// checkReservation checks a reservation by itself and beside the others.
func (b *Book) checkReservation(r Reservation, now time.Duration) (all Problems) {
	bad := func(field, text string, args ...any) { all = append(all, Problem{field, fmt.Sprintf(text, args...)}) }
	if !ValidName(r.ID) {
		bad("id", "%q is not 1 to %d letters, digits, '-', '_' or '.'", r.ID, maxNameBytes)
	}
	if r.Firm >= 1<<33 {
		bad("firm", "%x is not below 2^33", r.Firm)
	}
	if !(r.Units >= 1 && r.Units <= maxPlanValue) {
		bad("units", "%v is not a number from 1 to %g", r.Units, maxPlanValue)
	}
	if !(r.Rate >= 0 && r.Rate <= maxPlanValue) {
		bad("rate", "%v is not a number from 0 to %g", r.Rate, maxPlanValue)
	}
	if r.Until <= r.From {
		bad("until", "is not after from")
	} else if r.Until <= now {
		bad("until", "is over")
	}
	if len(r.Note) > maxNoteBytes {
		bad("note", "%d bytes at most", maxNoteBytes)
	}
	if len(all) > 0 || b.limits.FleetRate <= 0 {
		return all
	}
	promised := r.meanRate()
	for _, other := range b.reservations {
		if other.ID != r.ID && !other.State.Over() && other.From < r.Until && r.From < other.Until {
			promised += other.meanRate()
		}
	}
	if most := b.limits.ReservedShare * b.limits.FleetRate; promised > most {
		bad("units", "with the reservations of that time %.4g units a second are promised; %.4g are the share (%g of %g)",
			promised, most, b.limits.ReservedShare, b.limits.FleetRate)
	}
	return all
}

// meanRate is the units a second that a reservation promises.
func (r Reservation) meanRate() float64 {
	mean := math.Inf(1)
	if s := (r.Until - r.From).Seconds(); s > 0 {
		mean = r.Units / s
	}
	return mean
}
