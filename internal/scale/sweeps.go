package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"bramblefall/internal/loopback"
)

const (
	activeRate   = 1000.0 // requests a second of a limiter while firms become active
	toldFirms    = 100    // that a change names while the limiters that are told grow
	ofEach       = 57     // endpoints of a cluster: the target's servers by its services
	clusterSeen  = 1500 * time.Millisecond
	clusterIdle  = time.Second
	freshAsks    = 5 * time.Second // of a limiter started beside the longest list
	mayBeTooLong = 2 << 20         // bytes of a line
	listTooLong  = "list is too long"
	clusterType  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	clusterNamed = "c-0"
)

// tenants sweeps the firms that ask and the firms that the plan book names, each size on a real limiter of its own: a book
// keeps what it held before, and a firm is remembered for minutes.
func (r *run) tenants() error {
	sizes := r.Sizes.Active
	sizes = sizes[max(0, len(sizes)-len(r.real)):]
	r.ledger.held["tenants_active"] = fmt.Sprintf("each size on a real limiter of its own; %g requests a second of each, of a plan that bounds nothing; %d servers, no change; memory is what came on top", activeRate, r.listed)
	var targets []LoadTarget
	var before []float64
	for k := range sizes { // at first one firm each: what the rate itself takes is not the firms'
		targets = append(targets, LoadTarget{Addr: r.real[k].addr, PerSecond: activeRate, Firms: 1, FirstFirm: uint64(k+100) << 20, Spread: firmSpread, First: k, Tier: tiers[1].Name, InTurn: true})
	}
	if _, _, err := r.window(r.Sizes.Window, targets, nil); err != nil {
		return err
	}
	for k, n := range sizes {
		before = append(before, resident(r.real[k].pid))
		targets[k].Firms = n
	}
	lasts := max(r.Sizes.Window, time.Duration(1.1*float64(sizes[len(sizes)-1])/activeRate*float64(time.Second))-r.Sizes.Settle)
	x, _, err := r.window(lasts, targets, nil)
	if err != nil {
		return err
	}
	for k, n := range sizes {
		r.ledger.note("limiter", "memory", "tenants_active", float64(n), resident(r.real[k].pid)-before[k])
		r.ledger.note("limiter", "processor", "tenants_active", float64(n), x.limiter[k])
		r.ledger.note("limiter", "messages", "tenants_active", float64(n), x.limiterTraffic[k][0])
		r.ledger.note("limiter", "bytes", "tenants_active", float64(n), x.limiterTraffic[k][1])
	}
	return nil
}

// tools sweeps what operators do: a change of plans against the firms that it names and the limiters that are told, and a look.
func (r *run) tools() error {
	const known, told = "tenants_known", "limiters"
	r.ledger.held[known] = fmt.Sprintf("one change of plans told to one real limiter, each size to one of its own, %d servers on its list; limiter's memory is what came on top", r.listed)
	for k, n := range r.Sizes.Known[max(0, len(r.Sizes.Known)-len(r.real)):] {
		l := r.real[k]
		memory, used := resident(l.pid), processor(l.pid)
		done, err := r.order(Order{Sockets: []string{l.socket}, Firms: n, Tiers: tiers})
		if err != nil {
			return err
		}
		if done.Firms != n {
			return fmt.Errorf("a book names %d firms, it was told %d", done.Firms, n)
		}
		r.ledger.notePer("seconds/change", "limiter", "processor", known, float64(n), (processor(l.pid) - used).Seconds())
		r.ledger.note("limiter", "memory", known, float64(n), resident(l.pid)-memory)
		if err := r.orderPoint("distribution", "/change", known, n, done); err != nil {
			return err
		}
		if done, err = r.order(Order{Sockets: []string{l.socket}}); err != nil {
			return err
		}
		if err := r.orderPoint("tools", "/look", known, n, done); err != nil {
			return err
		}
	}
	p, err := r.f.child("books", hollowRole, r.Child)
	if err != nil {
		return err
	}
	defer r.f.kill(p)
	dir := filepath.Join(r.dir, "books")
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	var sockets []string
	for _, n := range r.Sizes.Told {
		var more []string
		if err := r.f.call(p, "Role.Admin", Admins{dir, n - len(sockets), tiers}, &more); err != nil {
			return err
		}
		sockets = append(sockets, more...)
		done, err := r.order(Order{Sockets: sockets, Firms: toldFirms, Tiers: tiers})
		if err != nil {
			return err
		}
		if err := r.orderPoint("distribution", "/change", told, n, done); err != nil {
			return err
		}
		r.say("a change of plans that names %d firms is with %d limiters after %.0f ms", toldFirms, n, 1000*done.Took.Seconds())
		if done, err = r.order(Order{Sockets: sockets}); err != nil {
			return err
		}
		if err := r.orderPoint("tools", "/look", told, n, done); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) order(o Order) (done Done, err error) {
	err = r.f.call(r.operators, "Role.Do", o, &done)
	return done, err
}

func (r *run) orderPoint(role, per, against string, size int, done Done) error {
	if err := r.f.call(r.operators, "Peer.Collect", 0, new(int)); err != nil {
		return err
	}
	n := float64(size)
	r.ledger.note(role, "memory", against, n, resident(r.operators.pid))
	r.ledger.notePer("seconds"+per, role, "processor", against, n, done.Processor.Seconds())
	r.ledger.notePer("1"+per, role, "messages", against, n, float64(done.Messages))
	r.ledger.notePer("bytes"+per, role, "bytes", against, n, float64(done.Bytes))
	return nil
}

// clustersDone is what a limiter used that follows a file of clusters, by their number.
type clustersDone struct {
	points [][3]float64 // clusters, memory, seconds for a change
	err    error
}

// followClusters has a real limiter of its own follow a file of clusters that grows.
func (r *run) followClusters() (done clustersDone) {
	dir := filepath.Join(r.dir, "services")
	if done.err = os.Mkdir(dir, 0o700); done.err != nil {
		return done
	}
	file := filepath.Join(dir, "clusters.json")
	sizes := r.Sizes.Services
	if done.err = writeClusters(file, sizes[0]); done.err != nil {
		return done
	}
	l, err := r.followed(dir, file)
	if err != nil {
		done.err = err
		return done
	}
	if done.err = r.f.wait(clusterIdle); done.err != nil {
		return done
	}
	from := processor(l.pid)
	if done.err = r.f.wait(clusterIdle); done.err != nil {
		return done
	}
	idle := (processor(l.pid) - from).Seconds() / clusterIdle.Seconds()
	for _, n := range sizes {
		used := processor(l.pid)
		if done.err = writeClusters(file, n); done.err != nil {
			return done
		}
		if done.err = r.f.wait(clusterSeen); done.err != nil {
			return done
		}
		done.points = append(done.points, [3]float64{float64(n), resident(l.pid), max(0, (processor(l.pid)-used).Seconds()-idle*clusterSeen.Seconds())})
	}
	if text := l.said.all(); strings.Contains(text, "cannot be used") {
		done.err = fmt.Errorf("the limiter cannot use its clusters: %.300s", l.said.last())
	}
	r.f.kill(l.process)
	return done
}

func (r *run) followed(dir, file string) (*limiter, error) {
	listen, err := loopback.AnyPort()
	if err != nil {
		return nil, err
	}
	script := fmt.Sprintf(`bramblefall(ratelimit = ratelimit(listen = %q, others = others(cluster = %q, clusters = %q, endpoints = %q)))`+"\n", listen, clusterNamed, file, file)
	return r.f.limiter(r.binary, filepath.Join(dir, "limiter"), "limiter-services", map[string]any{"name": "services", "listen": listen,
		"seed": "1", "limits": map[string]any{"cores": 1.0, "memory_mb": 512, "sockets": 1024}, "settings": r.Sizes.settings(1, 0)}, script)
}

// writeClusters puts a file of so many clusters in the place of the one before.
func writeClusters(path string, n int) error {
	type object = map[string]any
	var list []object
	for k := range n {
		var ends []object
		for e := range ofEach {
			ends = append(ends, object{"endpoint": object{"address": object{"socket_address": object{"address": fmt.Sprintf("127.%d.%d.%d", 1+k>>8, k&255, 1+e), "port_value": 9}}}})
		}
		list = append(list, object{"@type": clusterType, "name": fmt.Sprintf("c-%d", k), "type": "STATIC",
			"load_assignment": object{"cluster_name": fmt.Sprintf("c-%d", k), "endpoints": []object{{"lb_endpoints": ends}}}})
	}
	raw, err := json.Marshal(object{"resources": list})
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// services takes in what the limiter that follows clusters used.
func (r *run) services() error {
	r.ledger.held["services"] = fmt.Sprintf("Envoy's clusters in a file, %d endpoints each, of which the limiter uses one; messages do not arise", ofEach)
	done := <-r.clusters
	if done.err != nil {
		return done.err
	}
	for _, p := range done.points {
		r.ledger.note("limiter", "memory", "services", p[0], p[1])
		r.ledger.notePer("seconds/change", "limiter", "processor", "services", p[0], p[2])
	}
	return nil
}

// fresh starts a limiter beside the longest list and sees whether it takes it in at the first ask.
func (r *run) fresh() error {
	before, err := r.sample()
	if err != nil {
		return err
	}
	l, err := r.limiter(len(r.real), r.believed(), "") // it asks where the first one does, which has its list
	if err != nil {
		return err
	}
	defer r.f.kill(l.process)
	if err := r.f.wait(freshAsks); err != nil {
		return err
	}
	after, err := r.sample()
	if err != nil {
		return err
	}
	var size [2]int
	if err := r.f.call(r.discovery, "Role.Size", 0, &size); err != nil {
		return err
	}
	told := after.discovery.Real[0].Wholes - before.discovery.Real[0].Wholes
	r.say("a limiter that starts beside %d servers asked for the whole list, a line of %d bytes, %d times in %s", size[1], size[0], told, freshAsks)
	if told != 1 {
		why := "its log does not say why"
		if strings.Contains(l.said.all(), listTooLong) {
			why = "its log says: " + listTooLong
		}
		r.figures.Missing = append(r.figures.Missing, Missing{"limiter", "start", "servers", fmt.Sprintf(
			"a limiter that starts beside %d servers does not take the whole list, one line of %d bytes, at the first ask: it asked %d times in %s; %s. Those measured here grew into it by changes", size[1], size[0], told, freshAsks, why)})
	}
	return nil
}

// missing is what today's program has no notion of.
func missing() []Missing {
	return []Missing{
		{"limiter", "all", "routes", "the program has no routes: what it is told of a request is its firm, tier and class"},
		{"discovery", "all", "services", "the list has no services: all servers are one group; a limiter's other group is read from a file, which is measured"},
		{"discovery", "all", "tenants_known", "discovery tells nothing of tenants"},
		{"counter", "all", "servers", "the counter hears nothing of servers"},
		{"counter", "processor", "tenants_active", "its cost goes by its calls, which are measured: see the limiter's messages against tenants_active and the counter's against requests"},
		{"distribution", "all", "servers", "what operators distribute names no servers: those are discovery's"},
		{"distribution", "all", "requests", "a change of plans is told to a limiter whatever it serves"},
		{"tools", "all", "servers", "the operators' service shows plans and reservations, no servers"},
		{"limiter", "all", "tenants_known above 100000", "the plan book takes 100,000 firms at most, the target has 510,000 tenants"},
	}
}
