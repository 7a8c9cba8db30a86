package model

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

// rejectionTracker measures for how long a decider rejects or fails everything, fifteen requests or more, without an attempt in
// between. Four seconds or more count as rejecting everything.
type rejectionTracker struct {
	Decider
	rejectingSince time.Duration // first rejection since the last attempt
	rejected       int
	longest        time.Duration // longest such time with fifteen rejections or more
	attempts       int
}

func (d *rejectionTracker) Reduce(now time.Duration, ev core.Event, effects []core.Effect) []core.Effect {
	before := len(effects)
	effects = d.Decider.Reduce(now, ev, effects)
	for _, e := range effects[before:] {
		switch e.(type) {
		case core.Try:
			d.rejected = 0
			d.attempts++
		case core.Reject, core.Fail:
			if d.rejected++; d.rejected == 1 {
				d.rejectingSince = now
			}
			if d.rejected >= 15 {
				d.longest = max(d.longest, now-d.rejectingSince)
			}
		}
	}
	return effects
}

// Under normal load, during releases, and while half of the nodes are down and the counter is silent, at most one limiter in ten may
// reject everything for four seconds.
func TestFewLimitersRejectEverything(t *testing.T) {
	for name, faults := range map[string][]Fault{
		"calm":    {{Kind: FaultHot, At: 8, For: 8, Size: 0.5}},
		"release": {{Kind: FaultDrain, At: 4, Part: 0.5}, {Kind: FaultLimiters, At: 5, For: 0.2, Part: 0.5}, {Kind: FaultPause, At: 10, For: 3, Part: 0.1}, {Kind: FaultLimiters, At: 14, For: 0.2, Part: 0.5}},
		"cut":     {{Kind: FaultSilent, At: 5, For: 6}, {Kind: FaultCrash, At: 5, For: 4, Part: 0.5}},
	} {
		for _, limiters := range []int{6, 30, 80} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprint(name, limiters, seed), func(t *testing.T) {
					t.Parallel()
					s := ScaledScenario(limiters, max(6, limiters/2), 10*limiters, 0)
					s.Name, s.Seconds, s.Faults = name, 24, faults
					s.Firms.QuotaUse = Range{0.5, 0.95}
					var trackers []*rejectionTracker
					own := ProjectPolicy()
					w := New(s, seed, Policy{own.Name, func(set logic.Settings, seed uint64) Decider {
						d := &rejectionTracker{Decider: own.New(set, seed)}
						trackers = append(trackers, d)
						return d
					}}, false)
					r := w.Run()
					rejecting, attempts := 0, 0
					for _, d := range trackers {
						if attempts += d.attempts; d.longest >= 4*time.Second {
							rejecting++
						}
					}
					t.Logf("%s: %d of %d limiters rejected everything; %d attempts, worth %.2f", t.Name(), rejecting, len(trackers), attempts, r.WorthShare())
					require.LessOrEqual(t, 10*rejecting, len(trackers))
				})
			}
		}
	}
}
