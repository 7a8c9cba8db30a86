// Package sharding assigns the names of counts to several quota counters, and moves them when the list of counters
// changes. It does no I/O and reads no clock.
//
// A name is assigned to one counter by rendezvous hashing, so a counter that is added or removed moves only its own
// share of the names. Limiters learn of a new list at different times, and what was added before is on the former
// counter. So a name that may have been added to under a former list is added to on both counters: limiters with the
// former list and those with the new one all add there, so the former counter's total is complete, and the larger of
// the two totals is used. If the former counter is lost, the total is the last one known from it plus what has been
// added to the new counter since. A limiter that knows neither does not count under that name, and its firm falls back
// to an even share of the quota. Names that begin later than MaxListSkew after the change are on the new counter only.
package sharding

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"bramblefall/logic"
)

const (
	// MaxListSkew is the longest time that may pass between two limiters learning of a new list.
	MaxListSkew = 15 * time.Second
	// ListRetention is how long a former list is kept: the longest life of a name that began while some limiters still
	// had that list.
	ListRetention = MaxListSkew + time.Minute

	// Counters that one name is added to at once. Bounded so that a list that changes again and again does not
	// multiply calls.
	maxCountersPerName = 3
	// Former lists that are kept. While there are so many, a further change does not keep the list that it replaces:
	// names that begin before all limiters have the new list (MaxListSkew) are then counted nowhere. This lasts until the
	// oldest former list expires.
	maxFormerLists = 8
	// Remembered totals in each of recentTotals and olderTotals; bounds memory.
	maxTotalsPerHalf = 1 << 16
	noCounter        = -1 // not a counter number
)

// Sharder holds the current list of counters and the former ones.
type Sharder struct {
	numbers       map[string]int // counter numbers by address; a number is never reused
	nextNumber    int            // number of the next new address
	current       counterList
	formerLists   []formerList  // in the order in which they were first replaced
	unknownBefore time.Duration // names that began before this time are not counted

	recentTotals, olderTotals map[uint64]knownTotal
	rotatedAt                 time.Duration // when recentTotals last became olderTotals
}

type counterList struct {
	addrs []string
	hash  *rendezvous.Rendezvous
}

type formerList struct {
	counterList
	replacedAt time.Duration // when it was last replaced
}

// knownTotal is the last known total of a name, and how much of it the new counter had reported by then.
type knownTotal struct {
	total, newTotal float64
	newCounter      int // the counter that reported newTotal; noCounter: it had nothing of the name
}

// Targets are the counters to which a name is added.
type Targets struct {
	Counters []int // the one of the newest list first; empty: the total of the name is not known and cannot be learnt
	Oldest   int   // the counter that holds everything that was added, unless it has lost it
}

// Answer is the answer of one counter to an addition.
type Answer struct {
	Counter int
	OK      bool
	Total   float64
}

// New creates a Sharder for a list that has been in force for a long time.
func New(addrs []string) *Sharder {
	r := &Sharder{numbers: map[string]int{}, recentTotals: map[uint64]knownTotal{}}
	r.current = r.newList(addrs)
	return r
}

// NewUnsynced creates a Sharder for a process that starts now and cannot know whether the list has just changed. Names that may
// have been added to under another list are not counted.
func NewUnsynced(now time.Duration, addrs []string) *Sharder {
	r := New(addrs)
	r.unknownBefore = now + MaxListSkew
	return r
}

func (r *Sharder) newList(addrs []string) counterList {
	addrs = slices.Compact(slices.Sorted(slices.Values(addrs))) // the order of the configuration file does not matter
	for _, a := range addrs {
		if _, ok := r.numbers[a]; !ok {
			r.numbers[a] = r.nextNumber
			r.nextNumber++
		}
	}
	return counterList{addrs, rendezvous.New(addrs, xxhash.Sum64String)}
}

func (r *Sharder) lookup(list counterList, name uint64) int {
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], name)
	return r.numbers[list.hash.Lookup(string(key[:]))]
}

// Set installs a new list. It reports whether it differs from the current one.
func (r *Sharder) Set(now time.Duration, addrs []string) bool {
	next := r.newList(addrs)
	if slices.Equal(next.addrs, r.current.addrs) {
		return false
	}
	r.Advance(now)
	same := func(f formerList) bool { return slices.Equal(f.addrs, r.current.addrs) }
	if k := slices.IndexFunc(r.formerLists, same); k >= 0 { // a list that is installed repeatedly takes one entry
		r.formerLists[k].replacedAt = now
	} else if len(r.formerLists) < maxFormerLists {
		r.formerLists = append(r.formerLists, formerList{r.current, now})
	} else {
		r.unknownBefore = max(r.unknownBefore, now+MaxListSkew)
	}
	r.current = next
	return true
}

// Advance drops former lists whose retention has ended, and reports whether there were any.
func (r *Sharder) Advance(now time.Duration) bool {
	before := len(r.formerLists)
	r.formerLists = slices.DeleteFunc(r.formerLists, func(f formerList) bool { return now >= f.replacedAt+ListRetention })
	if len(r.formerLists) == before {
		return false
	}
	kept := map[string]int{}
	for _, t := range r.lists() {
		for _, a := range t.addrs {
			kept[a] = r.numbers[a]
		}
	}
	r.numbers = kept
	return true
}

// Next returns when the retention of a former list ends next; due is false if there is none.
func (r *Sharder) Next() (at time.Duration, due bool) {
	for _, f := range r.formerLists {
		if !due || f.replacedAt+ListRetention < at {
			at, due = f.replacedAt+ListRetention, true
		}
	}
	return at, due
}

func (r *Sharder) lists() []counterList {
	all := []counterList{r.current}
	for _, f := range r.formerLists {
		all = append(all, f.counterList)
	}
	return all
}

// Fingerprint returns a hash that identifies a list: all limiters of a fleet must show the same one.
func Fingerprint(addrs []string) string {
	addrs = slices.Compact(slices.Sorted(slices.Values(addrs)))
	return fmt.Sprintf("%016x", xxhash.Sum64String(strings.Join(addrs, ",")))
}

// Fingerprint returns the fingerprint of the current list.
func (r *Sharder) Fingerprint() string { return Fingerprint(r.current.addrs) }

// Len returns the number of counters in the current list.
func (r *Sharder) Len() int { return len(r.current.addrs) }

// Addresses returns the address of every counter that may be called, by its number.
func (r *Sharder) Addresses() map[int]string {
	all := map[int]string{}
	for _, t := range r.lists() {
		for _, a := range t.addrs {
			all[r.numbers[a]] = a
		}
	}
	return all
}

// Targets returns the counters of a name that limiters may have added to since began.
func (r *Sharder) Targets(now time.Duration, name uint64, began time.Duration) Targets {
	if began < r.unknownBefore {
		return Targets{}
	}
	t := Targets{Counters: []int{r.lookup(r.current, name)}}
	t.Oldest = t.Counters[0]
	for k := len(r.formerLists) - 1; k >= 0; k-- {
		f := r.formerLists[k]
		if began >= f.replacedAt+MaxListSkew || now >= f.replacedAt+ListRetention {
			continue
		}
		t.Oldest = r.lookup(f.counterList, name)
		if !slices.Contains(t.Counters, t.Oldest) {
			t.Counters = append(t.Counters, t.Oldest)
		}
	}
	if len(t.Counters) > maxCountersPerName {
		return Targets{}
	}
	return t
}

// Holders implements logic.CounterMap.
func (r *Sharder) Holders(now time.Duration, name uint64, began time.Duration) []int {
	return r.Targets(now, name, began).Counters
}

// Merge combines the answers to one addition into the total to use; known is false if the total is not known.
func (r *Sharder) Merge(now time.Duration, name uint64, amount float64, t Targets, answers []Answer) (total float64, known bool) {
	var newAnswer *Answer
	answered := false
	for k, a := range answers {
		if !a.OK {
			continue
		}
		if a.Counter == t.Counters[0] {
			newAnswer = &answers[k]
		}
		if !answered || a.Total > total {
			total = a.Total
		}
		answered, known = true, known || a.Counter == t.Oldest
	}
	if t.Counters[0] == t.Oldest { // as with a single counter; includes a list that was reinstalled
		if known {
			r.remember(now, name, knownTotal{total: total, newCounter: noCounter})
		}
		return total, known
	}
	last, seen := r.lastTotal(name)
	if last.newCounter != t.Counters[0] { // this counter had received nothing at that time
		last.newTotal = 0
	}
	switch { // guards against a former counter that is unreachable or has lost its data
	case seen && newAnswer != nil:
		total, known = max(total, last.total+newAnswer.Total-last.newTotal), true
	case seen && known:
		total = max(total, last.total+amount)
	}
	switch {
	case known && newAnswer != nil:
		r.remember(now, name, knownTotal{total, newAnswer.Total, t.Counters[0]})
	// The new counter has not reported its total. Of what is missing there, only this limiter's own addition is known.
	case known && seen:
		r.remember(now, name, knownTotal{last.total + amount, last.newTotal, last.newCounter})
	}
	return total, known
}

func (r *Sharder) lastTotal(name uint64) (knownTotal, bool) {
	t, ok := r.recentTotals[name]
	if !ok {
		t, ok = r.olderTotals[name]
	}
	return t, ok
}

// remember stores a total for one to two minutes.
func (r *Sharder) remember(now time.Duration, name uint64, t knownTotal) {
	if now-r.rotatedAt >= time.Minute || len(r.recentTotals) >= maxTotalsPerHalf {
		r.rotatedAt, r.olderTotals, r.recentTotals = now, r.recentTotals, map[uint64]knownTotal{}
	}
	r.recentTotals[name] = t
}

var _ logic.CounterMap = (*Sharder)(nil)
