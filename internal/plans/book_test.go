package plans

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bramblefall/logic"
)

const start = 1_800_000_000 * time.Second

func tier(name string, rate float64) logic.Plan {
	return logic.Plan{Name: name, Rate: rate, Burst: 5 * rate, CeilingRate: 2 * rate, CeilingBurst: 10 * rate, CeilingSlack: 1}
}

func platform() []logic.Plan { return []logic.Plan{tier("associate", 1), tier("full", 10)} }

func TestInvalidFieldsAreReportedByName(t *testing.T) {
	for field, corrupt := range map[string]func(*Version){
		"tiers":                  func(v *Version) { v.Tiers = nil },
		"tiers[0].name":          func(v *Version) { v.Tiers[0].Name = "a b" },
		"tiers[1].name":          func(v *Version) { v.Tiers[1].Name = "associate" },
		"tiers[0].rate":          func(v *Version) { v.Tiers[0].Rate = math.NaN() },
		"tiers[1].burst":         func(v *Version) { v.Tiers[1].Burst = 0.5 },
		"tiers[0].open":          func(v *Version) { v.Tiers[0].Open = -1 },
		"tiers[0].ceiling_rate":  func(v *Version) { v.Tiers[0].CeilingRate = 0.5 },
		"tiers[0].ceiling_burst": func(v *Version) { v.Tiers[0].CeilingBurst = 4 },
		"tiers[1].ceiling_slack": func(v *Version) { v.Tiers[1].CeilingSlack = 1e308 },
		"tiers[1].price":         func(v *Version) { v.Tiers[1].Price = math.Inf(1) },
		"tiers[1].over_worth":    func(v *Version) { v.Tiers[1].OverWorth = -1 },
		"firms[0].tier":          func(v *Version) { v.Firms = []Firm{{Firm: 7, Tier: "none"}} },
		"firms[1].firm":          func(v *Version) { v.Firms = []Firm{{Firm: 7, Tier: "full"}, {Firm: 7, Tier: "full"}} },
		"firms[0]":               func(v *Version) { v.Firms = []Firm{{Firm: 7}} },
		"firms[0].own.rate":      func(v *Version) { v.Firms = []Firm{{Firm: 7, Own: &logic.Plan{Rate: -1}}} },
		"effective":              func(v *Version) { v.Effective = start - time.Minute },
		"number":                 func(v *Version) { v.Number = 2 },
		"tiers[associate]":       func(v *Version) { v.Tiers = v.Tiers[1:] },
		"firms":                  func(v *Version) { v.Firms = make([]Firm, MaxFirms+1) },
	} {
		b := New(platform(), DefaultLimits)
		require.NoError(t, b.Propose(Version{Number: 3, Effective: start, Source: Admin, Tiers: platform()}, start, nil))
		v := Version{Number: 4, Effective: start, Source: Admin, Tiers: platform()}
		corrupt(&v)
		err := b.Propose(v, start, func(string) int { return 1 })
		var all Problems
		require.ErrorAs(t, err, &all, field)
		named := slices.ContainsFunc(all, func(p Problem) bool { return p.Field == field })
		require.True(t, named, "%s: %v", field, err)
		require.Len(t, b.Pending(), 1, field)
	}
}

func TestHigherNumberWinsAtTheSameInstant(t *testing.T) {
	b := New(platform(), DefaultLimits)
	for n, rate := range map[uint64]float64{2: 3, 1: 2} {
		v := Version{Number: n, Effective: start + time.Second, Source: File, Tiers: []logic.Plan{tier("associate", rate), tier("full", 10)}}
		require.NoError(t, b.Propose(v, start, nil))
		require.NoError(t, b.Propose(v, start, nil), "proposing the same version again changes nothing")
	}
	require.False(t, b.Advance(start))
	require.True(t, b.Advance(start+time.Second))
	require.Equal(t, uint64(2), b.Current().Number)
	p, ok := b.Plan(99, b.Tiers()["associate"])
	require.True(t, ok)
	require.Equal(t, 3.0, p.Rate)
	require.Len(t, b.History(), 2)
}

func TestWithdrawnVersionNeverTakesEffect(t *testing.T) {
	b := New(platform(), DefaultLimits)
	require.NoError(t, b.Propose(Version{Number: 1, Effective: start + time.Second, Source: Admin, Tiers: platform()}, start, nil))
	require.NoError(t, b.Withdraw(1, start))
	require.Error(t, b.Withdraw(1, start))
	require.False(t, b.Advance(start+time.Hour))
	require.Equal(t, uint64(0), b.Current().Number)
	require.True(t, b.History()[0].Withdrawn)
}

func TestFileThatDropsAnEntryWithdrawsIt(t *testing.T) {
	b := New(platform(), DefaultLimits)
	v := Version{Number: 1, Effective: start + time.Hour, Tiers: platform()}
	r := Reservation{ID: "r", Firm: 7, Units: 10, From: start - 1, Until: start + time.Hour}
	require.NoError(t, b.Replace(File, []Version{v}, []Reservation{r}, start, nil))
	require.NoError(t, b.Grant(Reservation{ID: "by-hand", Firm: 7, Units: 10, From: start, Until: start + time.Hour, Source: Admin}, start))
	invalid := v
	invalid.Number, invalid.Tiers = 2, nil
	require.Error(t, b.Replace(File, []Version{invalid}, nil, start, nil))
	require.Len(t, b.Pending(), 1, "nothing changes if any part is invalid")
	require.NoError(t, b.Replace(File, nil, nil, start, nil))
	require.Empty(t, b.Pending())
	dropped, _ := b.Reservation("r")
	kept, _ := b.Reservation("by-hand")
	require.Equal(t, Revoked, dropped.State)
	require.Equal(t, InUse, kept.State)
}

func TestReservationsStayWithinTheFleetsShare(t *testing.T) {
	b := New(platform(), Limits{MaxRequestUnits: 1, FleetRate: 100, ReservedShare: 0.5})
	hour := Reservation{ID: "a", Firm: 7, Units: 100 * 3600 * 0.4, From: start, Until: start + time.Hour}
	require.NoError(t, b.Grant(hour, start))
	require.NoError(t, b.Grant(hour, start), "granting the same reservation again changes nothing")
	other := hour
	other.Units++
	require.ErrorContains(t, b.Grant(other, start), "id: ")
	other.ID, other.Units = "b", 100*3600*0.2
	require.ErrorContains(t, b.Grant(other, start), "units: ")
	other.From, other.Until = hour.Until, hour.Until+time.Hour
	require.NoError(t, b.Grant(other, start), "reservations that do not overlap do not add up")
	require.NoError(t, b.Revoke("a", start))
	require.NoError(t, b.Revoke("a", start), "revoking again changes nothing")
	require.Error(t, b.Revoke("none", start))
}

// Checks that after any sequence of operations the version in force is valid and was proposed, sizes stay bounded, a
// version with a stale number never comes into force, and a book restored from its snapshot has the same content.
func TestBookInvariantsUnderRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(platform(), DefaultLimits)
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(t *rapid.T) {
				v := Version{Number: rapid.Uint64Range(0, 40).Draw(t, "number"), Source: Admin,
					Effective: now + time.Duration(rapid.IntRange(-8, 20).Draw(t, "in"))*time.Second,
					Tiers:     []logic.Plan{tier("associate", rapid.SampledFrom([]float64{0.01, 1, 2, math.NaN(), -1}).Draw(t, "rate")), tier("full", 10)}}
				before := b.Snapshot()
				if b.Propose(v, now, nil) != nil {
					require.Equal(t, before, b.Snapshot(), "a rejected version changes nothing")
				}
			},
			"withdraw": func(t *rapid.T) { _ = b.Withdraw(rapid.Uint64Range(0, 40).Draw(t, "number"), now) },
			"advance": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 5).Draw(t, "s")) * time.Second
				was := b.Current()
				if changed := b.Advance(now); !changed {
					require.Equal(t, was.Number, b.Current().Number)
				}
				b.AdvanceReservations(now)
			},
			"grant": func(t *rapid.T) {
				_ = b.Grant(Reservation{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), Firm: 1,
					Units: rapid.SampledFrom([]float64{0, 5, 50}).Draw(t, "units"), From: now, Until: now + 5*time.Second}, now)
			},
			"revoke": func(t *rapid.T) { _ = b.Revoke(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), now) },
			"": func(t *rapid.T) {
				if at, due := b.Next(); due && at <= now {
					b.Advance(now)
				}
				cur := b.Current()
				require.Empty(t, b.Check(cur))
				require.LessOrEqual(t, len(b.History()), MaxHistory)
				require.LessOrEqual(t, len(b.Pending()), MaxPending)
				for _, v := range b.Pending() {
					require.Greater(t, v.Effective, now)
				}
				for name, n := range b.Tiers() {
					p, ok := b.Plan(1<<32, n)
					require.True(t, ok)
					require.Equal(t, name, p.Name)
				}
				raw, err := json.Marshal(b.Snapshot())
				require.NoError(t, err)
				var s Snapshot
				require.NoError(t, json.Unmarshal(raw, &s))
				restored := New(platform(), DefaultLimits)
				restored.Restore(s)
				require.Equal(t, cur.Number, restored.Current().Number)
				require.Equal(t, len(b.Reservations()), len(restored.Reservations()))
			},
		})
	})
}

// bookModel says which version must be in force: that with the latest instant that is not in the future.
type bookModel struct {
	effective map[uint64]time.Duration // by number, of all versions received and not withdrawn
	platform  time.Duration            // when the platform's plans last changed
}

func (m *bookModel) inForce(now time.Duration) (number uint64, latest time.Duration) {
	latest = m.platform
	for n, at := range m.effective {
		if at <= now && (at > latest || at == latest && n > number) {
			number, latest = n, at
		}
	}
	return number, latest
}

// A file of more past versions than the book remembers, read again, brought an old one back into force. Checks that whatever is
// read, in whatever order and however often, and over restarts, the version in force has the latest instant that is not in the future.
func TestVersionInForceHasTheLatestInstant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const versions = 60
		instants := rapid.SliceOfN(rapid.IntRange(-400, 200), versions, versions).Draw(t, "instants")
		version := func(n uint64) Version {
			tiers := []logic.Plan{tier("associate", float64(n)), tier("full", 10)}
			return Version{Number: n, Effective: start + time.Duration(instants[n-1])*time.Second, Tiers: tiers}
		}
		now := start
		m := &bookModel{effective: map[uint64]time.Duration{}}
		b := New(platform(), DefaultLimits)
		var listed []Version
		reread := func(list []Version) {
			if b.Replace(File, list, nil, now, nil) != nil {
				return
			}
			for _, v := range listed {
				if v.Effective > now && !slices.ContainsFunc(list, func(l Version) bool { return l.Number == v.Number }) {
					delete(m.effective, v.Number) // withdrawn
				}
			}
			for _, v := range list {
				m.effective[v.Number] = v.Effective
			}
			listed = list
		}
		t.Repeat(map[string]func(*rapid.T){
			"longer file": func(t *rapid.T) {
				list := slices.Clone(listed)
				for range rapid.IntRange(1, 40).Draw(t, "more") {
					if n := uint64(len(list) + 1); n <= versions {
						list = append(list, version(n))
					}
				}
				reread(list)
			},
			"same file, other order": func(t *rapid.T) {
				list := slices.Clone(listed)
				if len(list) > 1 {
					list = rapid.Permutation(list).Draw(t, "order")
				}
				reread(list)
			},
			"platform's file": func(t *rapid.T) {
				rate := float64(rapid.IntRange(1, 1000).Draw(t, "rate"))
				tiers := []logic.Plan{tier("associate", rate), tier("full", 10)}
				if slices.Equal(tiers, b.platformTiers) || b.UpdatePlatform(tiers, now, nil) != nil {
					return
				}
				_, latest := m.inForce(now)
				m.platform = max(now, latest+1) // received after a version of the same instant
			},
			"restart with the state directory": func(t *rapid.T) {
				raw, err := json.Marshal(b.Snapshot())
				require.NoError(t, err)
				var s Snapshot
				require.NoError(t, json.Unmarshal(raw, &s))
				b = New(b.platformTiers, DefaultLimits)
				b.Restore(s)
				reread(listed)
			},
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 60).Draw(t, "s")) * time.Second },
			"": func(t *rapid.T) {
				b.Advance(now)
				number, _ := m.inForce(now)
				require.Equal(t, number, b.Current().Number)
			},
		})
	})
}

// Versions that take effect on receipt have no instant that would show that they have ended long ago.
func TestVersionOnReceiptTakesEffectOnce(t *testing.T) {
	b := New(platform(), DefaultLimits)
	var list []Version
	for n := range uint64(2 * MaxHistory) {
		list = append(list, Version{Number: n + 1, Tiers: []logic.Plan{tier("associate", float64(n+1)), tier("full", 10)}})
		at := start + time.Duration(n)*time.Minute
		require.NoError(t, b.Replace(File, list, nil, at, nil))
		b.Advance(at)
		require.Equal(t, n+1, b.Current().Number)
	}
	now := start + time.Hour*24
	require.NoError(t, b.Replace(File, list, nil, now, nil))
	b.Advance(now)
	require.Equal(t, uint64(2*MaxHistory), b.Current().Number)
	s := b.Snapshot()
	b = New(platform(), DefaultLimits)
	b.Restore(s)
	require.NoError(t, b.Replace(File, list, nil, now, nil))
	b.Advance(now)
	require.Equal(t, uint64(2*MaxHistory), b.Current().Number)
}

// A change on receipt takes effect at once, even where the wall clock has stepped back behind the version in force.
func TestVersionOnReceiptTakesEffectAfterAStepBack(t *testing.T) {
	b := New(platform(), DefaultLimits)
	require.NoError(t, b.Propose(Version{Number: 1, Effective: start, Source: Admin, Tiers: platform()}, start, nil))
	require.True(t, b.Advance(start))
	back := start - 3*time.Minute
	require.NoError(t, b.Propose(Version{Number: 2, Source: Admin, Tiers: platform()}, back, nil))
	require.True(t, b.Advance(back))
	require.Equal(t, uint64(2), b.Current().Number)
	require.NoError(t, b.UpdatePlatform([]logic.Plan{tier("associate", 2), tier("full", 10)}, back, nil))
	require.True(t, b.Advance(back))
	require.Equal(t, Platform, b.Current().Source)
	err := b.Propose(Version{Number: 3, Effective: back + time.Second, Source: Admin, Tiers: platform()}, back, nil)
	require.ErrorContains(t, err, "effective: lies before", "a version for an instant that others follow is not taken in silence")
}
