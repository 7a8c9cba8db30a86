package sharding

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func addresses(n int) (all []string) {
	for k := range n {
		all = append(all, fmt.Sprintf("10.0.%d.%d:7000", k/256, k%256))
	}
	return all
}

// assignedAddress returns the address to which the current list assigns a name.
func assignedAddress(r *Sharder, now time.Duration, name uint64) string {
	return r.current.addrs[r.Targets(now, name, now).Counters[0]] // counters are numbered in the order of the list
}

// Guards against a hashing library that assigns names differently after an upgrade: limiters of two builds would count
// the same name on different counters.
func TestNameAssignmentIsStable(t *testing.T) {
	r := New(addresses(5))
	var got []int
	for name := range uint64(24) {
		got = append(got, r.Targets(0, name*0x9e3779b97f4a7c15, 0).Counters[0])
	}
	require.Equal(t, []int{0, 2, 1, 3, 4, 4, 4, 3, 2, 0, 0, 2, 4, 2, 4, 2, 3, 4, 3, 0, 0, 2, 2, 4}, got)
}

func TestListChangeMovesOnlyTheChangedCountersShare(t *testing.T) {
	const names = 20_000
	for _, n := range []int{2, 5, 16, 32, 1024} {
		all := addresses(n + 1)
		fewer, more := New(all[:n]), New(all)
		moved, perAddress := 0, map[string]int{}
		for name := range uint64(names) {
			a, b := assignedAddress(fewer, 0, name<<32|name), assignedAddress(more, 0, name<<32|name)
			if perAddress[b]++; a != b {
				moved++
				require.Equal(t, all[n], b, "a name moves to the added counter or stays where it was")
			}
		}
		share := 1 / float64(n+1)
		require.InDelta(t, share, float64(moved)/names, 5*share/10+0.001, "%d counters", n)
		require.Len(t, perAddress, n+1)
	}
}

// Checks that the order of addresses in the configuration file and a duplicate address change nothing.
func TestListOrderAndDuplicatesAreIgnored(t *testing.T) {
	a := addresses(4)
	r := New(a)
	require.False(t, r.Set(time.Second, []string{a[2], a[0], a[3], a[1], a[0]}))
	require.Equal(t, 4, r.Len())
	require.Equal(t, Targets{Counters: r.Targets(0, 7, 0).Counters, Oldest: r.Targets(0, 7, 0).Counters[0]}, r.Targets(time.Minute, 7, time.Second))
}

// Checks that a name that has moved is added to on both counters as long as any limiter may have added to it on the
// former one, and no longer.
func TestMovedNameUsesBothCountersUntilItExpires(t *testing.T) {
	r := New(addresses(4))
	const at = 100 * time.Second
	require.True(t, r.Set(at, addresses(5)))
	for name := range uint64(2000) {
		before, after := New(addresses(4)).Targets(0, name, 0).Counters[0], r.Targets(at, name, at+MaxListSkew).Counters
		require.Len(t, after, 1, "a name that begins once all limiters have the list is on one counter")
		got := r.Targets(at+time.Second, name, at+MaxListSkew-1)
		require.Equal(t, before, got.Oldest)
		if before == after[0] {
			require.Equal(t, after, got.Counters)
		} else {
			require.Equal(t, []int{after[0], before}, got.Counters)
		}
		require.Len(t, r.Targets(at+ListRetention, name, at).Counters, 1, "the retention of the former list has ended")
	}
	end, due := r.Next()
	require.True(t, due)
	require.Equal(t, at+ListRetention, end)
	require.False(t, r.Advance(end-1))
	require.True(t, r.Advance(end))
	require.Len(t, r.Addresses(), 5)
	r.Set(end, addresses(3))
	require.True(t, r.Advance(end+ListRetention))
	require.Len(t, r.Addresses(), 3, "removed counters are dropped")
}

// Checks that a list that changes every second, or alternates between two, does not multiply calls. What is given up
// shows as names without a counter; they are counted again once the list is stable.
func TestFrequentListChangesAreBounded(t *testing.T) {
	r := New(addresses(3))
	now := time.Hour
	all := addresses(400)
	for k := range 200 {
		now += time.Second
		r.Set(now, all[3*k%300:3*k%300+3]) // shares no counter with the list before
		require.LessOrEqual(t, len(r.formerLists), 8)
		for name := range uint64(50) {
			require.LessOrEqual(t, len(r.Targets(now, name, now).Counters), 3)
		}
	}
	require.Empty(t, r.Targets(now, 1, now).Counters)
	require.Len(t, r.Targets(now+MaxListSkew, 1, now+MaxListSkew).Counters, 1)
	r.Advance(now + ListRetention)
	require.Len(t, r.Addresses(), 3)

	r = New(addresses(3))
	for k := range 100 {
		now += time.Second
		r.Set(now, addresses(4-k%2))
		require.LessOrEqual(t, len(r.formerLists), 2)
		for name := range uint64(50) {
			require.Contains(t, []int{1, 2}, len(r.Targets(now, name, now).Counters), "a list that alternates takes at most one former counter")
		}
	}
}

// A process that starts cannot know whether the list has just changed, so it must not count names that began before.
func TestStartSkipsEarlierNames(t *testing.T) {
	r := NewUnsynced(time.Hour, addresses(3))
	require.Empty(t, r.Targets(time.Hour, 1, time.Hour+MaxListSkew-1).Counters)
	require.Len(t, r.Targets(time.Hour, 1, time.Hour+MaxListSkew).Counters, 1)
}

// Limiters learn of a list change at different times and add to one name all the while; at some moment the former
// counter is lost. The total that each uses is never below what was added, except for what other limiters added to the
// former counter alone after both counters had last answered this limiter.
func TestMergedTotalsKeepKnownAdditionsDuringMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, list := addresses(3), addresses(4)
		name := uint64(0)
		for ring := New(list); assignedAddress(ring, 0, name) != list[3]; name++ {
			continue
		}
		seed := rapid.Uint64().Draw(t, "seed")
		rng := rand.New(rand.NewPCG(seed, 1))
		n := 1 + rng.IntN(5)
		rings, heardAt := make([]*Sharder, n), make([]time.Duration, n)
		missed := make([]float64, n) // added to the former counter alone since this limiter last got both totals
		for k := range rings {
			rings[k], heardAt[k] = New(old), time.Minute+time.Duration(rng.Int64N(int64(MaxListSkew)))
		}
		lostAt := time.Minute + time.Duration(rng.Int64N(int64(2*MaxListSkew)))
		totals, truth := map[string]float64{}, 0.0
		for now := time.Minute - 5*time.Second; now < time.Minute+3*MaxListSkew; now += time.Duration(rng.Int64N(int64(300 * time.Millisecond))) {
			k := rng.IntN(n)
			r := rings[k]
			if now >= heardAt[k] && r.Len() == len(old) {
				r.Set(heardAt[k], list)
			}
			at := r.Addresses()
			amount := float64(1 + rng.IntN(3))
			targets := r.Targets(now, name, time.Minute-5*time.Second)
			var answers []Answer
			added := false
			for _, c := range targets.Counters {
				addr := at[c]
				if addr != list[3] && now >= lostAt || rng.IntN(20) == 0 && addr == list[3] { // the new counter fails now and then
					answers = append(answers, Answer{Counter: c})
					continue
				}
				added = true
				totals[addr] += amount
				answers = append(answers, Answer{c, true, totals[addr]})
			}
			if !added {
				continue
			}
			truth += amount
			if !answers[0].OK || len(targets.Counters) == 1 {
				for m := range missed {
					if m != k {
						missed[m] += amount
					}
				}
			}
			total, known := r.Merge(now, name, amount, targets, answers)
			if !known {
				continue
			}
			if answers[len(answers)-1].OK {
				if len(targets.Counters) == 1 || answers[0].OK {
					missed[k] = 0
				}
				require.GreaterOrEqual(t, total, truth-1e-9)
			}
			require.GreaterOrEqual(t, total, truth-missed[k]-1e-9, "limiter %d at %v", k, now)
		}
	})
}

// Checks the total without a usable former counter: one that has lost its data, one that does not answer, and one that
// does not answer a limiter without an earlier total for the name.
func TestMergeWithoutFormerCounter(t *testing.T) {
	r := New(addresses(3))
	single := r.Targets(0, 0, 0)
	_, known := r.Merge(0, 0, 1, single, []Answer{{single.Counters[0], true, 40}})
	require.True(t, known)
	both := Targets{Counters: []int{9, single.Counters[0]}, Oldest: single.Counters[0]}
	total, known := r.Merge(0, 0, 1, both, []Answer{{9, true, 3}, {single.Counters[0], true, 5}})
	require.True(t, known)
	require.Equal(t, 43.0, total, "former counter lost its data: its last known total plus what the new counter received")
	total, known = r.Merge(0, 0, 1, both, []Answer{{9, true, 5}, {single.Counters[0], false, 0}})
	require.True(t, known)
	require.Equal(t, 45.0, total, "former counter does not answer")
	total, known = r.Merge(0, 0, 2, both, []Answer{{9, false, 0}, {single.Counters[0], true, 44}})
	require.True(t, known)
	require.Equal(t, 47.0, total, "new counter does not answer")
	_, known = r.Merge(0, 0, 1, both, []Answer{{9, false, 0}, {single.Counters[0], false, 0}})
	require.False(t, known)
	_, known = r.Merge(0, 5, 1, both, []Answer{{9, true, 1}, {single.Counters[0], false, 0}})
	require.False(t, known, "a limiter without an earlier total cannot know what was added before")
	total, known = r.Merge(0, 6, -1, both, []Answer{{9, true, -1}, {single.Counters[0], true, 3}})
	require.True(t, known)
	require.Equal(t, 3.0, total, "a returned slot that the new counter never counted")
}

func TestRememberedTotalsExpire(t *testing.T) {
	r := New(addresses(2))
	for k := range 10 {
		now := time.Duration(k) * time.Minute
		for name := range uint64(1000) {
			n := uint64(k)<<32 | name
			targets := r.Targets(now, n, now)
			r.Merge(now, n, 1, targets, []Answer{{targets.Counters[0], true, 1}})
		}
		require.LessOrEqual(t, len(r.recentTotals)+len(r.olderTotals), 2000)
	}
}
