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
	// Kept is how long a former list is: the longest life of a name that began while some had it.
	Kept = Slack + time.Minute

	mostCalls   = 3       // counters that one name is added to at once: a list that changes again and again must not multiply calls
	mostFormers = 8       // former lists; of more, names are counted nowhere until the oldest is over
	mostTold    = 1 << 16 // names in each half of what is remembered
	none        = -1
)

// Ring is the list of counters and those before it.
type Ring struct {
	numbers map[string]int // of the addresses that are known; never used again
	next    int
	list    table
	formers []former // in the order in which they were first taken up
	blind   time.Duration

	told, older map[uint64]told
	turned      time.Duration
}

type table struct {
	addrs []string
	ring  *rendezvous.Rendezvous
}

type former struct {
	table
	left time.Duration // when it was left last
}

// told is what was last believed of a name, and what the newest counter had of it then.
type told struct {
	total, fresh float64
	newest       int // that counter; none: it had nothing of the name
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
	r := &Ring{numbers: map[string]int{}, told: map[uint64]told{}}
	r.list = r.table(addrs)
	return r
}

// Start makes a ring of a process that starts now and cannot know whether the list has just changed: names that may have been
// added to under another list are counted nowhere.
func Start(now time.Duration, addrs []string) *Ring {
	r := New(addrs)
	r.blind = now + Slack
	return r
}

func (r *Ring) table(addrs []string) table {
	addrs = slices.Compact(slices.Sorted(slices.Values(addrs))) // the order in a file says nothing
	for _, a := range addrs {
		if _, ok := r.numbers[a]; !ok {
			r.numbers[a] = r.next
			r.next++
		}
	}
	return table{addrs, rendezvous.New(addrs, xxhash.Sum64String)}
}

func (r *Ring) of(t table, name uint64) int {
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], name)
	return r.numbers[t.ring.Lookup(string(key[:]))]
}

// Set takes a new list. It tells whether it is another one.
func (r *Ring) Set(now time.Duration, addrs []string) bool {
	next := r.table(addrs)
	if slices.Equal(next.addrs, r.list.addrs) {
		return false
	}
	r.Advance(now)
	same := func(f former) bool { return slices.Equal(f.addrs, r.list.addrs) }
	if k := slices.IndexFunc(r.formers, same); k >= 0 { // a list that comes and goes is one former list
		r.formers[k].left = now
	} else if len(r.formers) < mostFormers {
		r.formers = append(r.formers, former{r.list, now})
	} else {
		r.blind = max(r.blind, now+Slack)
	}
	r.list = next
	return true
}

// Advance forgets lists whose time is over, and tells whether there were any.
func (r *Ring) Advance(now time.Duration) bool {
	before := len(r.formers)
	r.formers = slices.DeleteFunc(r.formers, func(f former) bool { return now >= f.left+Kept })
	if len(r.formers) == before {
		return false
	}
	kept := map[string]int{}
	for _, t := range r.tables() {
		for _, a := range t.addrs {
			kept[a] = r.numbers[a]
		}
	}
	r.numbers = kept
	return true
}

// Next is when a former list's time is over; false: there is none.
func (r *Ring) Next() (at time.Duration, due bool) {
	for _, f := range r.formers {
		if !due || f.left+Kept < at {
			at, due = f.left+Kept, true
		}
	}
	return at, due
}

func (r *Ring) tables() []table {
	all := []table{r.list}
	for _, f := range r.formers {
		all = append(all, f.table)
	}
	return all
}

// Fingerprint tells two lists apart: limiters of one fleet must show the same.
func Fingerprint(addrs []string) string {
	addrs = slices.Compact(slices.Sorted(slices.Values(addrs)))
	return fmt.Sprintf("%016x", xxhash.Sum64String(strings.Join(addrs, ",")))
}

// Fingerprint is the newest list's.
func (r *Ring) Fingerprint() string { return Fingerprint(r.list.addrs) }

// Len is how many counters the newest list has.
func (r *Ring) Len() int { return len(r.list.addrs) }

// Addresses is every counter that may be called, by its number.
func (r *Ring) Addresses() map[int]string {
	all := map[int]string{}
	for _, t := range r.tables() {
		for _, a := range t.addrs {
			all[r.numbers[a]] = a
		}
	}
	return all
}

// Of finds the counters of a name that limiters may have added to from a time on.
func (r *Ring) Of(now time.Duration, name uint64, began time.Duration) Targets {
	if began < r.blind {
		return Targets{}
	}
	t := Targets{To: []int{r.of(r.list, name)}}
	t.Oldest = t.To[0]
	for k := len(r.formers) - 1; k >= 0; k-- {
		f := r.formers[k]
		if began >= f.left+Slack || now >= f.left+Kept {
			continue
		}
		t.Oldest = r.of(f.table, name)
		if !slices.Contains(t.To, t.Oldest) {
			t.To = append(t.To, t.Oldest)
		}
	}
	if len(t.To) > mostCalls {
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
			r.remember(now, name, told{total: total, newest: none})
		}
		return total, known
	}
	last, seen := r.last(name)
	if last.newest != t.To[0] { // nothing had come to it then
		last.fresh = 0
	}
	switch { // guards against a former counter that is lost or wiped
	case seen && fresh != nil:
		total, known = max(total, last.total+fresh.Total-last.fresh), true
	case seen && known:
		total = max(total, last.total+amount)
	}
	switch {
	case known && fresh != nil:
		r.remember(now, name, told{total, fresh.Total, t.To[0]})
	case known && seen: // the new one has not told what came to it: only the own part is known to be missing there
		r.remember(now, name, told{last.total + amount, last.fresh, last.newest})
	}
	return total, known
}

func (r *Ring) last(name uint64) (told, bool) {
	t, ok := r.told[name]
	if !ok {
		t, ok = r.older[name]
	}
	return t, ok
}

// remember keeps what was told for one to two minutes.
func (r *Ring) remember(now time.Duration, name uint64, t told) {
	if now-r.turned >= time.Minute || len(r.told) >= mostTold {
		r.turned, r.older, r.told = now, r.told, map[uint64]told{}
	}
	r.told[name] = t
}

var _ logic.Counters = (*Ring)(nil)
