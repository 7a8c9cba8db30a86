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
	activeRequestsPerSecond = 1000.0                  // of each limiter while the active firms are swept
	planChangeFirms         = 100                     // named by the change of plans while the limiters that get it are swept
	endpointsPerCluster     = 57                      // the target's servers divided by its services
	clusterReloadWait       = 1500 * time.Millisecond // from a new file until the limiter has taken it in
	clusterIdleTime         = time.Second             // over which the processor time without a change is measured
	freshLimiterTime        = 5 * time.Second         // for a limiter that starts beside the longest list to take it in
	longListBytes           = 2 << 20                 // from this length of its line on, a new limiter may refuse the whole list
	listTooLongText         = "list is too long"      // in the log of a limiter that refuses it
	clusterType             = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	limiterCluster          = "c-0" // the one cluster of the file that the limiter uses
)

// sweepTenants sweeps the firms that send requests. Each size is measured on a real limiter of its own, because a limiter
// remembers a firm for minutes and would still hold those of the size before.
func (r *run) sweepTenants() error {
	sizes := r.Sizes.ActiveFirms
	sizes = sizes[max(0, len(sizes)-len(r.realLimiters)):]
	r.measurements.heldConstant["tenants_active"] = fmt.Sprintf("each size on a real limiter of its own; %g requests a second of each, of a plan that bounds nothing; %d servers, no change; memory is what came on top", activeRequestsPerSecond, r.listedServers)
	var targets []LoadTarget
	var memoryBefore []float64
	for k := range sizes { // one firm each at first, so that the cost of the rate itself is not counted as that of the firms
		targets = append(targets, LoadTarget{Addr: r.realLimiters[k].addr, RequestsPerSecond: activeRequestsPerSecond, Firms: 1, FirstFirmID: uint64(k+100) << 20, LimitersPerFirm: limitersPerFirm, FirstLimiter: k, Tier: tiers[1].Name, RoundRobin: true})
	}
	if _, _, err := r.measureWindow(r.Sizes.Window, targets, nil); err != nil {
		return err
	}
	for k, n := range sizes {
		memoryBefore = append(memoryBefore, residentBytes(r.realLimiters[k].pid))
		targets[k].Firms = n
	}
	duration := max(r.Sizes.Window, time.Duration(1.1*float64(sizes[len(sizes)-1])/activeRequestsPerSecond*float64(time.Second))-r.Sizes.Settle)
	used, _, err := r.measureWindow(duration, targets, nil)
	if err != nil {
		return err
	}
	for k, n := range sizes {
		r.measurements.add("limiter", "memory", "tenants_active", float64(n), residentBytes(r.realLimiters[k].pid)-memoryBefore[k])
		r.measurements.add("limiter", "processor", "tenants_active", float64(n), used.limiterProcessor[k])
		r.measurements.add("limiter", "messages", "tenants_active", float64(n), used.limiterRates[k][0])
		r.measurements.add("limiter", "bytes", "tenants_active", float64(n), used.limiterRates[k][1])
	}
	return nil
}

// sweepOperators measures what operators do, changing the plans and reading a plan book, against the firms that the change
// names and against the limiters that get it. Each number of firms is measured on a real limiter of its own, because a book
// keeps the plans it held before.
func (r *run) sweepOperators() error {
	const againstFirms, againstLimiters = "tenants_known", "limiters"
	r.measurements.heldConstant[againstFirms] = fmt.Sprintf("one change of plans told to one real limiter, each size to one of its own, %d servers on its list; limiter's memory is what came on top", r.listedServers)
	for k, n := range r.Sizes.KnownFirms[max(0, len(r.Sizes.KnownFirms)-len(r.realLimiters)):] {
		l := r.realLimiters[k]
		memoryBefore, processorBefore := residentBytes(l.pid), processorTime(l.pid)
		result, err := r.execute(Order{Sockets: []string{l.socket}, Firms: n, Tiers: tiers})
		if err != nil {
			return err
		}
		if result.Firms != n {
			return fmt.Errorf("the plan book names %d firms after a change that names %d", result.Firms, n)
		}
		r.measurements.addWithUnit("seconds/change", "limiter", "processor", againstFirms, float64(n), (processorTime(l.pid) - processorBefore).Seconds())
		r.measurements.add("limiter", "memory", againstFirms, float64(n), residentBytes(l.pid)-memoryBefore)
		if err := r.recordOrder("distribution", "/change", againstFirms, n, result); err != nil {
			return err
		}
		if result, err = r.execute(Order{Sockets: []string{l.socket}}); err != nil {
			return err
		}
		if err := r.recordOrder("tools", "/look", againstFirms, n, result); err != nil {
			return err
		}
	}
	p, err := r.children.startChild("books", hollowRole, r.ChildCommand)
	if err != nil {
		return err
	}
	defer r.children.kill(p)
	dir := filepath.Join(r.dir, "books")
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	var sockets []string
	for _, n := range r.Sizes.LimitersTold {
		var more []string
		if err := r.children.call(p, "Role.StartAdmins", AdminStart{dir, n - len(sockets), tiers}, &more); err != nil {
			return err
		}
		sockets = append(sockets, more...)
		result, err := r.execute(Order{Sockets: sockets, Firms: planChangeFirms, Tiers: tiers})
		if err != nil {
			return err
		}
		if err := r.recordOrder("distribution", "/change", againstLimiters, n, result); err != nil {
			return err
		}
		r.say("a change of plans that names %d firms is at all of %d limiters after %.0f ms", planChangeFirms, n, 1000*result.Elapsed.Seconds())
		if result, err = r.execute(Order{Sockets: sockets}); err != nil {
			return err
		}
		if err := r.recordOrder("tools", "/look", againstLimiters, n, result); err != nil {
			return err
		}
	}
	return nil
}

// execute has the operators' process carry out an order.
func (r *run) execute(o Order) (result OrderResult, err error) {
	err = r.children.call(r.operatorProcess, "Role.Execute", o, &result)
	return result, err
}

// recordOrder records what an order cost the operators' process; per is what the units are for, such as "/change".
func (r *run) recordOrder(role, per, against string, size int, result OrderResult) error {
	if err := r.children.call(r.operatorProcess, "Peer.FreeMemory", 0, new(int)); err != nil {
		return err
	}
	n := float64(size)
	r.measurements.add(role, "memory", against, n, residentBytes(r.operatorProcess.pid))
	r.measurements.addWithUnit("seconds"+per, role, "processor", against, n, result.Processor.Seconds())
	r.measurements.addWithUnit("1"+per, role, "messages", against, n, float64(result.Messages))
	r.measurements.addWithUnit("bytes"+per, role, "bytes", against, n, float64(result.Bytes))
	return nil
}

// clusterResult is what a limiter that follows a file of clusters used, by the number of clusters.
type clusterResult struct {
	points [][3]float64 // number of clusters, resident bytes, seconds of processor time for taking in a changed file
	err    error
}

// followClusters starts a separate real limiter that follows a file of clusters, and measures it while the file grows.
func (r *run) followClusters() (result clusterResult) {
	dir := filepath.Join(r.dir, "services")
	if result.err = os.Mkdir(dir, 0o700); result.err != nil {
		return result
	}
	file := filepath.Join(dir, "clusters.json")
	sizes := r.Sizes.Clusters
	if result.err = writeClusters(file, sizes[0]); result.err != nil {
		return result
	}
	l, err := r.startClusterLimiter(dir, file)
	if err != nil {
		result.err = err
		return result
	}
	if result.err = r.children.sleep(clusterIdleTime); result.err != nil {
		return result
	}
	processorBefore := processorTime(l.pid)
	if result.err = r.children.sleep(clusterIdleTime); result.err != nil {
		return result
	}
	idle := (processorTime(l.pid) - processorBefore).Seconds() / clusterIdleTime.Seconds()
	for _, n := range sizes {
		processorBefore := processorTime(l.pid)
		if result.err = writeClusters(file, n); result.err != nil {
			return result
		}
		if result.err = r.children.sleep(clusterReloadWait); result.err != nil {
			return result
		}
		result.points = append(result.points, [3]float64{float64(n), residentBytes(l.pid), max(0, (processorTime(l.pid)-processorBefore).Seconds()-idle*clusterReloadWait.Seconds())})
	}
	if text := l.stderr.String(); strings.Contains(text, "cannot be used") {
		result.err = fmt.Errorf("the limiter rejected its file of clusters; the last line of its log: %.300s", l.stderr.lastLine())
	}
	r.children.kill(l.process)
	return result
}

// startClusterLimiter starts a limiter with the front for rate limit calls and an external rate limit service, the servers of
// which are a cluster read from file.
func (r *run) startClusterLimiter(dir, file string) (*limiter, error) {
	listen, err := loopback.AnyPort()
	if err != nil {
		return nil, err
	}
	script := fmt.Sprintf(`bramblefall(ratelimit = ratelimit(listen = %q, others = others(cluster = %q, clusters = %q, endpoints = %q)))`+"\n", listen, limiterCluster, file, file)
	return r.children.startLimiter(r.binary, filepath.Join(dir, "limiter"), "limiter-services", map[string]any{"name": "services", "listen": listen,
		"seed": "1", "limits": map[string]any{"cores": 1.0, "memory_mb": 512, "sockets": 1024}, "settings": r.Sizes.limiterSettings(1, 0)}, script)
}

// writeClusters replaces the file at path atomically by one with n clusters.
func writeClusters(path string, n int) error {
	type object = map[string]any
	var list []object
	for k := range n {
		var ends []object
		for e := range endpointsPerCluster {
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

// collectClusters waits for followClusters and records what it measured.
func (r *run) collectClusters() error {
	r.measurements.heldConstant["services"] = fmt.Sprintf("Envoy's clusters in a file, %d endpoints each, of which the limiter uses one; messages do not arise", endpointsPerCluster)
	result := <-r.clusterResults
	if result.err != nil {
		return result.err
	}
	for _, p := range result.points {
		r.measurements.add("limiter", "memory", "services", p[0], p[1])
		r.measurements.addWithUnit("seconds/change", "limiter", "processor", "services", p[0], p[2])
	}
	return nil
}

// startBesideLongestList starts a limiter beside the longest list and checks whether it takes in the whole list at its first
// request for it; where it does not, that is noted as Missing.
func (r *run) startBesideLongestList() error {
	before, err := r.takeSample()
	if err != nil {
		return err
	}
	// The new limiter shares the discovery address of the first one, which has its list and does not ask for it again.
	l, err := r.startLimiter(len(r.realLimiters), r.configuredFleetSize(), "")
	if err != nil {
		return err
	}
	defer r.children.kill(l.process)
	if err := r.children.sleep(freshLimiterTime); err != nil {
		return err
	}
	after, err := r.takeSample()
	if err != nil {
		return err
	}
	var listSize [2]int
	if err := r.children.call(r.discoveryProcess, "Role.ListSize", 0, &listSize); err != nil {
		return err
	}
	wholeLists := after.discovery.Real[0].WholeLists - before.discovery.Real[0].WholeLists
	r.say("a limiter that started beside %d listed servers requested the whole list, a line of %d bytes, %d times in %s", listSize[1], listSize[0], wholeLists, freshLimiterTime)
	if wholeLists != 1 {
		why := "its log does not say why"
		if strings.Contains(l.stderr.String(), listTooLongText) {
			why = "its log says: " + listTooLongText
		}
		r.figures.Missing = append(r.figures.Missing, Missing{"limiter", "start", "servers", fmt.Sprintf(
			"a limiter that starts beside %d servers does not take the whole list, one line of %d bytes, at the first ask: it asked %d times in %s; %s. Those measured here grew into it by changes", listSize[1], listSize[0], wholeLists, freshLimiterTime, why)})
	}
	return nil
}

// knownMissing lists the slopes that cannot be measured because the program has nothing that they would depend on.
func knownMissing() []Missing {
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
