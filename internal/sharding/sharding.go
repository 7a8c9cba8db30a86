// Package sharding deals the names of counts out to several quota counters, and hands them over when the list of counters changes.
// It is pure: no I/O and no clock.
//
// A name stands on the counter that rendezvous hashing finds for it, so one that comes or goes moves only its share. Limiters
// hear of a new list at different times, and what was added before stands on the former counter. So a name that may have been
// added to under a former list is added to on both: limiters with the former list and those with the new one all add there, so
// the former counter's total is the whole truth, and the larger of both is believed. Where the former counter is lost, what it
// told last is believed, and what has come to the new one since. A limiter that knows neither counts nothing under that name,
// and its firm falls back to the even part. Names that begin later than Slack after the change stand on the new counter alone.
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
	// Slack is how far apart limiters may hear of a new list.
	Slack = 15 * time.Second
	// ListRetention is how long a former list is: the longest life of a name that began while some had it.
	ListRetention = Slack + time.Minute

	maxCountersPerName = 3       // counters that one name is added to at once: a list that changes again and again must not multiply calls
	maxFormerLists     = 8       // former lists; of more, names are counted nowhere until the oldest is over
	maxTotalsPerHalf   = 1 << 16 // names in each half of what is remembered
	noCounter          = -1
)

// Ring is the list of counters and those before it.
type Ring struct {
	numbers       map[string]int // of the addresses that are known; never used again
	nextNumber    int
	current       counterList
	formerLists   []formerList // in the order in which they were first taken up
	unknownBefore time.Duration

	recentTotals, olderTotals map[uint64]knownTotal
	rotatedAt                 time.Duration
}

type counterList struct {
	addrs []string
	hash  *rendezvous.Rendezvous
}

type formerList struct {
	counterList
	replacedAt time.Duration // when it was left last
}

// knownTotal is what was last believed of a name, and what the newest counter had of it then.
type knownTotal struct {
	total, newTotal float64
	newCounter      int // that counter; none: it had nothing of the name
}

// Targets are the counters of a name: the newest list's first.
type Targets struct {
	To     []int // none: what stands under the name is not known, and cannot be
	Oldest int   // holds all that was added, as far as it has not been lost
}

// Answer is a counter's.
type Answer struct {
	Counter int
	OK      bool
	Total   float64
}

// New makes a ring of a list that has been in force for long.
func New(addrs []string) *Ring {
	r := &Ring{numbers: map[string]int{}, recentTotals: map[uint64]knownTotal{}}
	r.current = r.newList(addrs)
	return r
}

// Start makes a ring of a process that starts now and cannot know whether the list has just changed: names that may have been
// added to under another list are counted nowhere.
func Start(now time.Duration, addrs []string) *Ring {
	r := New(addrs)
	r.unknownBefore = now + Slack
	return r
}

func (r *Ring) newList(addrs []string) counterList {
	addrs = slices.Compact(slices.Sorted(slices.Values(addrs))) // the order in a file says nothing
	for _, a := range addrs {
		if _, ok := r.numbers[a]; !ok {
			r.numbers[a] = r.nextNumber
			r.nextNumber++
		}
	}
	return counterList{addrs, rendezvous.New(addrs, xxhash.Sum64String)}
}

func (r *Ring) lookup(t counterList, name uint64) int {
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], name)
	return r.numbers[t.hash.Lookup(string(key[:]))]
}

// Set takes a new list. It tells whether it is another one.
func (r *Ring) Set(now time.Duration, addrs []string) bool {
	next := r.newList(addrs)
	if slices.Equal(next.addrs, r.current.addrs) {
		return false
	}
	r.Advance(now)
	same := func(f formerList) bool { return slices.Equal(f.addrs, r.current.addrs) }
	if k := slices.IndexFunc(r.formerLists, same); k >= 0 { // a list that comes and goes is one former list
		r.formerLists[k].replacedAt = now
	} else if len(r.formerLists) < maxFormerLists {
		r.formerLists = append(r.formerLists, formerList{r.current, now})
	} else {
		r.unknownBefore = max(r.unknownBefore, now+Slack)
	}
	r.current = next
	return true
}

// Advance forgets lists whose time is over, and tells whether there were any.
func (r *Ring) Advance(now time.Duration) bool {
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

// Next is when a former list's time is over; false: there is none.
func (r *Ring) Next() (at time.Duration, due bool) {
	for _, f := range r.formerLists {
		if !due || f.replacedAt+ListRetention < at {
			at, due = f.replacedAt+ListRetention, true
		}
	}
	return at, due
}

func (r *Ring) lists() []counterList {
	all := []counterList{r.current}
	for _, f := range r.formerLists {
		all = append(all, f.counterList)
	}
	return all
}

// Fingerprint tells two lists apart: limiters of one fleet must show the same.
func Fingerprint(addrs []string) string {
	addrs = slices.Compact(slices.Sorted(slices.Values(addrs)))
	return fmt.Sprintf("%016x", xxhash.Sum64String(strings.Join(addrs, ",")))
}

// Fingerprint is the newest list's.
func (r *Ring) Fingerprint() string { return Fingerprint(r.current.addrs) }

// Len is how many counters the newest list has.
func (r *Ring) Len() int { return len(r.current.addrs) }

// Addresses is every counter that may be called, by its number.
func (r *Ring) Addresses() map[int]string {
	all := map[int]string{}
	for _, t := range r.lists() {
		for _, a := range t.addrs {
			all[r.numbers[a]] = a
		}
	}
	return all
}

// Of finds the counters of a name that limiters may have added to from a time on.
func (r *Ring) Of(now time.Duration, name uint64, began time.Duration) Targets {
	if began < r.unknownBefore {
		return Targets{}
	}
	t := Targets{To: []int{r.lookup(r.current, name)}}
	t.Oldest = t.To[0]
	for k := len(r.formerLists) - 1; k >= 0; k-- {
		f := r.formerLists[k]
		if began >= f.replacedAt+Slack || now >= f.replacedAt+ListRetention {
			continue
		}
		t.Oldest = r.lookup(f.counterList, name)
		if !slices.Contains(t.To, t.Oldest) {
			t.To = append(t.To, t.Oldest)
		}
	}
	if len(t.To) > maxCountersPerName {
		return Targets{}
	}
	return t
}

// Counters implements logic.Counters.
func (r *Ring) Counters(now time.Duration, name uint64, began time.Duration) []int {
	return r.Of(now, name, began).To
}

// Join takes the answers to one call and tells the total that is believed; false: it is not known.
func (r *Ring) Join(now time.Duration, name uint64, amount float64, t Targets, answers []Answer) (total float64, known bool) {
	var fresh *Answer
	heard := false
	for k, a := range answers {
		if !a.OK {
			continue
		}
		if a.Counter == t.To[0] {
			fresh = &answers[k]
		}
		if !heard || a.Total > total {
			total = a.Total
		}
		heard, known = true, known || a.Counter == t.Oldest
	}
	if t.To[0] == t.Oldest { // as with one counter; a list that came back is among them
		if known {
			r.remember(now, name, knownTotal{total: total, newCounter: noCounter})
		}
		return total, known
	}
	last, seen := r.lastTotal(name)
	if last.newCounter != t.To[0] { // nothing had come to it then
		last.newTotal = 0
	}
	switch { // guards against a former counter that is lost or wiped
	case seen && fresh != nil:
		total, known = max(total, last.total+fresh.Total-last.newTotal), true
	case seen && known:
		total = max(total, last.total+amount)
	}
	switch {
	case known && fresh != nil:
		r.remember(now, name, knownTotal{total, fresh.Total, t.To[0]})
	case known && seen: // the new one has not told what came to it: only the own part is known to be missing there
		r.remember(now, name, knownTotal{last.total + amount, last.newTotal, last.newCounter})
	}
	return total, known
}

func (r *Ring) lastTotal(name uint64) (knownTotal, bool) {
	t, ok := r.recentTotals[name]
	if !ok {
		t, ok = r.olderTotals[name]
	}
	return t, ok
}

// remember keeps what was told for one to two minutes.
func (r *Ring) remember(now time.Duration, name uint64, t knownTotal) {
	if now-r.rotatedAt >= time.Minute || len(r.recentTotals) >= maxTotalsPerHalf {
		r.rotatedAt, r.olderTotals, r.recentTotals = now, r.recentTotals, map[uint64]knownTotal{}
	}
	r.recentTotals[name] = t
}

var _ logic.Counters = (*Ring)(nil)
