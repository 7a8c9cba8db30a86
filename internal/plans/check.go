package plans

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"bramblefall/logic"
)

// Problem is one value that cannot be used, with the field that holds it.
type Problem struct{ Field, Text string }

// Problems are all values that cannot be used in one proposal.
type Problems []Problem

// Error implements error. It returns every problem on one line.
func (p Problems) Error() string {
	all := make([]string, len(p))
	for k, x := range p {
		all[k] = x.Field + ": " + x.Text
	}
	return strings.Join(all, "; ")
}

// prefixFields converts err to problems and prepends path to their fields.
func prefixFields(path string, err error) (out Problems) {
	var list Problems
	if err == nil {
		return nil
	}
	if !errors.As(err, &list) {
		return Problems{{path, err.Error()}}
	}
	for _, p := range list {
		out = append(out, Problem{path + "." + p.Field, p.Text})
	}
	return out
}

// Upper bounds on the values and texts of a version or reservation.
const (
	maxPlanValue = 1e9 // units, or units per second
	maxNameBytes = 64  // of a tier's name or a reservation's id
	maxNoteBytes = 512
	maxPrice     = 1e6
)

// Check returns every problem of a version that can be found without looking at other versions.
func (b *Book) Check(v Version) (problems Problems) {
	report := func(field, text string, args ...any) {
		problems = append(problems, Problem{field, fmt.Sprintf(text, args...)})
	}
	if len(v.Tiers) == 0 || len(v.Tiers) > MaxTiers {
		report("tiers", "1 to %d are needed, %d are named", MaxTiers, len(v.Tiers))
	}
	if len(v.Note) > maxNoteBytes || len(v.Author) > maxNoteBytes {
		report("note", "note and author have %d bytes at most", maxNoteBytes)
	}
	if len(v.Firms) > MaxFirms {
		report("firms", "%d at most, %d are named", MaxFirms, len(v.Firms))
	}
	if v.Effective < 0 {
		report("effective", "lies before 1970")
	}
	names := map[string]bool{}
	for k, t := range v.Tiers {
		field := fmt.Sprintf("tiers[%d]", k)
		if !ValidName(t.Name) {
			report(field+".name", "%q is not 1 to %d letters, digits, '-', '_' or '.'", t.Name, maxNameBytes)
			continue
		}
		if names[t.Name] {
			report(field+".name", "%q stands twice", t.Name)
		}
		names[t.Name] = true
		problems = append(problems, b.checkPlan(field, t)...)
	}
	seen := map[uint64]bool{}
	for k, f := range v.Firms {
		field := fmt.Sprintf("firms[%d]", k)
		if f.Firm >= 1<<33 {
			report(field+".firm", "%x is not below 2^33", f.Firm)
		}
		if seen[f.Firm] {
			report(field+".firm", "%x stands twice", f.Firm)
		}
		seen[f.Firm] = true
		switch {
		case (f.Own == nil) == (f.Tier == ""):
			report(field, "either a tier or figures of its own are needed")
		case f.Own != nil:
			problems = append(problems, b.checkPlan(field+".own", *f.Own)...)
		case !names[f.Tier]:
			report(field+".tier", "unknown tier %q", f.Tier)
		}
	}
	return problems
}

// checkPlan returns the problems of one plan.
func (b *Book) checkPlan(field string, p logic.Plan) (problems Problems) {
	report := func(name, text string, args ...any) {
		problems = append(problems, Problem{field + "." + name, fmt.Sprintf(text, args...)})
	}
	for _, f := range []struct {
		name  string
		value float64
		most  float64
	}{{"rate", p.Rate, maxPlanValue}, {"burst", p.Burst, maxPlanValue}, {"price", p.Price, maxPrice},
		{"over_worth", p.OverWorth, 1}, {"over_cost", p.OverCost, maxPrice}, {"ceiling_rate", p.CeilingRate, maxPlanValue},
		{"ceiling_burst", p.CeilingBurst, maxPlanValue}, {"ceiling_slack", p.CeilingSlack, maxPlanValue}} {
		if !(f.value >= 0 && f.value <= f.most) { // also rejects NaN
			report(f.name, "%v is not a number from 0 to %g", f.value, f.most)
		}
	}
	if len(problems) > 0 {
		return problems
	}
	maxRequest := max(b.limits.MaxRequestUnits, 1)
	if p.Open < 0 || p.Open > maxPlanValue {
		report("open", "%d is out of range", p.Open)
	}
	if p.Rate > 0 && p.Burst < maxRequest {
		report("burst", "%g is under the largest request, %g", p.Burst, maxRequest)
	}
	if p.Rate == 0 && p.Open == 0 && p.CeilingRate == 0 {
		report("rate", "neither a rate, nor open, nor a ceiling: nothing would be limited")
	}
	if p.CeilingRate > 0 && p.CeilingRate < p.Rate {
		report("ceiling_rate", "%g is under the quota's rate, %g", p.CeilingRate, p.Rate)
	}
	if p.CeilingRate > 0 && p.CeilingBurst < p.Burst {
		report("ceiling_burst", "%g is under the quota's burst, %g", p.CeilingBurst, p.Burst)
	}
	if p.CeilingRate == 0 && p.CeilingBurst+p.CeilingSlack > 0 {
		report("ceiling_rate", "a ceiling's burst or slack without its rate")
	}
	return problems
}

// checkRemovedTiers returns a problem for each tier that v removes while firms use it.
func (b *Book) checkRemovedTiers(v Version, inUse func(string) int) (problems Problems) {
	if inUse == nil {
		return nil
	}
	kept := map[string]bool{}
	for _, t := range v.Tiers {
		kept[t.Name] = true
	}
	for name := range b.Tiers() {
		if n := inUse(name); n > 0 && !kept[name] {
			problems = append(problems, Problem{"tiers[" + name + "]", fmt.Sprintf("removed while %d firms use it", n)})
		}
	}
	return problems
}

// ValidName reports whether a string may name a tier or a reservation.
func ValidName(s string) bool {
	return len(s) > 0 && len(s) <= maxNameBytes && strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == ""
}

// checkReservation returns the problems of a reservation, by itself and together with the other reservations.
func (b *Book) checkReservation(r Reservation, now time.Duration) (problems Problems) {
	report := func(field, text string, args ...any) {
		problems = append(problems, Problem{field, fmt.Sprintf(text, args...)})
	}
	if !ValidName(r.ID) {
		report("id", "%q is not 1 to %d letters, digits, '-', '_' or '.'", r.ID, maxNameBytes)
	}
	if r.Firm >= 1<<33 {
		report("firm", "%x is not below 2^33", r.Firm)
	}
	if !(r.Units >= 1 && r.Units <= maxPlanValue) {
		report("units", "%v is not a number from 1 to %g", r.Units, maxPlanValue)
	}
	if !(r.Rate >= 0 && r.Rate <= maxPlanValue) {
		report("rate", "%v is not a number from 0 to %g", r.Rate, maxPlanValue)
	}
	if r.Until <= r.From {
		report("until", "is not after from")
	} else if r.Until <= now {
		report("until", "is over")
	}
	if len(r.Note) > maxNoteBytes {
		report("note", "%d bytes at most", maxNoteBytes)
	}
	if len(problems) > 0 || b.limits.FleetRate <= 0 {
		return problems
	}
	promised := r.meanRate()
	for _, other := range b.reservations {
		if other.ID != r.ID && !other.State.Over() && other.From < r.Until && r.From < other.Until {
			promised += other.meanRate()
		}
	}
	if maxPromised := b.limits.ReservedShare * b.limits.FleetRate; promised > maxPromised {
		report("units", "with the reservations of that time %.4g units a second are promised; %.4g are the share (%g of %g)",
			promised, maxPromised, b.limits.ReservedShare, b.limits.FleetRate)
	}
	return problems
}

// meanRate returns the average units per second that a reservation promises.
func (r Reservation) meanRate() float64 {
	rate := math.Inf(1)
	if s := (r.Until - r.From).Seconds(); s > 0 {
		rate = r.Units / s
	}
	return rate
}
