// Case 3: a new configuration brings a plan version back into force that ended long ago, and a firm passes its ceiling.
package main

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramblefall/review/rig"
)

const (
	limiters   = 2
	versions   = 40               // of the operators' file
	every      = 10 * time.Second // from one version's instant to the next; the last lies this long before the start
	hupAfter   = 4 * time.Second  // from the first request to SIGHUP
	flood      = 12 * time.Second
	perLimiter = 30.0 // requests a second of the firm

	// The plan of the last version, which is the settings' plan, too.
	quotaRate, quotaBurst                = 10.0, 20.0
	ceilingRate, ceilingBurst, hardSlack = 20.0, 40.0, 4.0
	socketSlack                          = 0.150 // seconds of the ceiling's rate by which the slack is wider on sockets
)

// operatorFile names all versions, as the operators' file has to: in the first twenty the tier full has ten times the figures of
// the later ones.
func operatorFile(start time.Time) string {
	var b strings.Builder
	b.WriteString("def pool(full):\n    return [\n" +
		"        tier(name = \"regular\", rate = 50, burst = 250, price = 1.1, over_cost = 0.5),\n" +
		"        tier(name = \"full\", rate = full, burst = 2 * full, price = 1.8, over_cost = 0.5,\n" +
		"             ceiling_rate = 2 * full, ceiling_burst = 4 * full, ceiling_slack = 0.4 * full),\n    ]\n\nbramblefall(plans = [\n")
	for n := 1; n <= versions; n++ {
		full := quotaRate
		if n <= versions/2 {
			full *= 10
		}
		at := start.Add(time.Duration(n-versions-1) * every)
		fmt.Fprintf(&b, "    plan(number = %d, effective = time(%q), tiers = pool(full = %g)),\n", n, at.UTC().Format(time.RFC3339), full)
	}
	b.WriteString("])\n")
	return b.String()
}

func main() {
	c := rig.Start()
	servers := []*rig.Server{c.AddServer("s-1", "hall-a", 20*time.Millisecond), c.AddServer("s-2", "hall-b", 20*time.Millisecond)}
	discovery, next, counter := c.AddAgent(servers...), c.AddAgent(servers...), c.AddCounter()
	file := filepath.Join(c.Dir, "operators.star")
	text := operatorFile(time.Now().Truncate(time.Second))
	c.Check(os.WriteFile(file, []byte(text), 0o600))
	c.Note("operators' file:\n%s", text)
	var all []*rig.Limiter
	var configs []rig.Object
	for n := range limiters {
		config := rig.Config(fmt.Sprintf("n%d", n), c.FreeAddress(), discovery.Addr, counter.Addr, discovery.Known(), rig.Settings(limiters, n))
		configs = append(configs, config)
		all = append(all, c.StartLimiter(config, "-operator", file))
	}
	for _, l := range all {
		c.AwaitReady(l)
	}

	began := time.Now()
	var clients sync.WaitGroup
	const connections = 12
	for _, l := range all {
		for n := range connections {
			k, err := c.Dial(l)
			c.Check(err)
			clients.Go(func() {
				defer k.Close()
				pause := time.Duration(connections / perLimiter * float64(time.Second))
				for at := began.Add(pause * time.Duration(n) / connections); at.Before(began.Add(flood)); at = at.Add(pause) {
					if time.Since(at) > pause {
						continue // the answer before it came late
					}
					time.Sleep(time.Until(at))
					if _, err := k.Ask("Q.ASK", "00000000b4d65521", rig.NewID(), "c=balance-read,t=full,d=4000,units=1,spread=2,first=0", 5*time.Second); err != nil {
						c.Abort(err)
					}
				}
			})
		}
	}
	time.Sleep(time.Until(began.Add(hupAfter)))
	if c.Trouble {
		for n, l := range all {
			configs[n]["discovery"] = next.Addr
			c.WriteJSON(filepath.Join(c.Dir, l.Name+".json"), configs[n])
			c.Check(l.Signal(syscall.SIGHUP))
			c.Note("limiter %s got a configuration that names another address of discovery, and SIGHUP", l.Name)
		}
	}
	clients.Wait()

	var sends []rig.Send
	for _, s := range servers {
		sends = append(sends, s.Sends()...)
	}
	slices.SortFunc(sends, func(a, b rig.Send) int { return cmp.Compare(a.Whole, b.Whole) })
	breaks, seen := []string{}, map[string]bool{}
	level, at := ceilingBurst, time.Duration(0)
	for _, s := range sends {
		if seen[s.ID] {
			continue // further attempts draw nothing
		}
		seen[s.ID] = true
		level = min(ceilingBurst, level+ceilingRate*(s.Whole-at).Seconds()) - 1
		at = s.Whole
		if level < -(hardSlack + ceilingRate*socketSlack) {
			breaks = append(breaks, fmt.Sprintf("at %.3f s request %s leaves the store of the ceiling at %.1f units, want %.1f or more",
				s.Whole.Seconds(), s.ID, level, -(hardSlack+ceilingRate*socketSlack)))
		}
	}
	c.Note("%d requests of the firm were sent on in %v; the store of its ceiling ends at %.1f units", len(seen), flood, level)
	c.Verdict(breaks)
}
