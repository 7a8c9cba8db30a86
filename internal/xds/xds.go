// Package xds reads Envoy's clusters and endpoints, as CDS and EDS resources in files (Envoy's own form for a
// path_config_source), and follows the files: they make the upstream group of a rate limit service of others.
package xds

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/upstreams/http/v3" // clusters for gRPC name it
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"bramblefall/internal/core"
	"bramblefall/internal/wire"
	"bramblefall/logic"
)

const (
	looks     = 5 // at the files within the grace for drains: what they say counts as told when it is written
	leastLook = 20 * time.Millisecond
	mostLook  = 100 * time.Millisecond
	firstID   = 1 << 40               // apart from the ids of the platform's servers
	fileClock = 50 * time.Millisecond // two writes closer together may leave a file with the same time
)

// Files say where the resources stand and which cluster is meant.
type Files struct {
	Cluster   string `json:"cluster"`
	Clusters  string `json:"clusters"`  // CDS resources
	Endpoints string `json:"endpoints"` // EDS resources; not needed if the cluster holds its endpoints
}

// Addresses learns where endpoints listen, which of them take nothing new, and which are no longer named.
type Addresses interface {
	SetAddress(id logic.ServerID, addr string)
	Withdraw(id logic.ServerID)
	Remove(id logic.ServerID)
}

// Group follows one cluster.
type Group struct {
	files Files
	group int
	zones *wire.Names
	book  Addresses
	post  func(core.Event)
	every time.Duration // between two looks at the files

	ids   map[string]logic.ServerID // by address
	addrs map[logic.ServerID]string
	named map[string]bool
	seen  string // what the files looked like
}

// New makes the follower of a cluster, which becomes the upstream group of this number.
func New(files Files, group int, set logic.Settings, book Addresses, post func(core.Event)) *Group {
	return &Group{files: files, group: group, zones: wire.NewNames(set.ZoneNames), book: book, post: post,
		every: min(max(set.DrainGrace/looks, leastLook), mostLook), ids: map[string]logic.ServerID{}, addrs: map[logic.ServerID]string{}, named: map[string]bool{}}
}

// Load reads the files and passes their endpoints on as the whole group.
func (g *Group) Load() error {
	g.seen = g.look()
	assignment, err := g.assignment()
	if err != nil {
		return err
	}
	list := logic.ServerList{Group: g.group, Whole: true}
	named := map[string]bool{}
	for _, locality := range level(assignment.GetEndpoints()) {
		zone := g.zones.Number(locality.GetLocality().GetZone())
		for _, e := range locality.GetLbEndpoints() {
			addr, err := address(e)
			if err != nil {
				return err
			}
			if named[addr] {
				continue
			}
			named[addr] = true
			list.Servers = append(list.Servers, logic.Server{ID: g.id(addr), Zone: zone,
				Weight: float64(max(e.GetLoadBalancingWeight().GetValue(), 1)), State: state(e)})
		}
	}
	for _, s := range list.Servers { // before the module hears of it: from now on nothing new leaves for what drains
		g.book.SetAddress(s.ID, g.addrs[s.ID])
		if s.State != logic.Ready {
			g.book.Withdraw(s.ID)
		}
	}
	for addr := range g.named {
		if !named[addr] {
			g.book.Remove(g.ids[addr])
		}
	}
	g.named = named
	g.post(core.UpstreamGroup{ServerList: list})
	return nil
}

// Run follows the files until the context ends. What cannot be read changes nothing: the last good group stays.
func (g *Group) Run(ctx context.Context) {
	tick := time.NewTicker(g.every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if g.look() == g.seen {
				continue
			}
			if err := g.Load(); err != nil {
				slog.Warn("the cluster's files cannot be used, the last group stays", "err", err)
			}
		}
	}
}

// look is a mark of the files as they are: it changes when one is written or replaced, and while one may still be written again
// without a sign of it.
func (g *Group) look() string {
	mark := ""
	for _, path := range []string{g.files.Clusters, g.files.Endpoints} {
		if info, err := os.Stat(path); err == nil {
			mark += fmt.Sprint(info.ModTime().UnixNano(), " ", info.Size(), " ")
			if age := time.Since(info.ModTime()).Abs(); age < fileClock {
				mark += fmt.Sprint("written just now: ", age, " ")
			}
		}
	}
	return mark
}

func (g *Group) id(addr string) logic.ServerID {
	if _, ok := g.ids[addr]; !ok {
		id := logic.ServerID(firstID + len(g.ids))
		g.ids[addr], g.addrs[id] = id, addr
	}
	return g.ids[addr]
}

// assignment finds the cluster and its endpoints, in the cluster itself or among the EDS resources.
func (g *Group) assignment() (*endpointv3.ClusterLoadAssignment, error) {
	clusters, err := resources(g.files.Clusters, func() *clusterv3.Cluster { return &clusterv3.Cluster{} })
	if err != nil {
		return nil, err
	}
	at := slices.IndexFunc(clusters, func(c *clusterv3.Cluster) bool { return c.GetName() == g.files.Cluster })
	if at < 0 {
		return nil, fmt.Errorf("%s: no cluster %q", g.files.Clusters, g.files.Cluster)
	}
	c := clusters[at]
	if c.GetTransportSocket() != nil { // in the clear, the calls would not be what the operator asked for
		return nil, fmt.Errorf("cluster %q: transport sockets are not supported", c.GetName())
	}
	if c.GetType() != clusterv3.Cluster_EDS {
		return c.GetLoadAssignment(), nil
	}
	name := c.GetEdsClusterConfig().GetServiceName()
	if name == "" {
		name = c.GetName()
	}
	all, err := resources(g.files.Endpoints,
		func() *endpointv3.ClusterLoadAssignment { return &endpointv3.ClusterLoadAssignment{} })
	if err != nil {
		return nil, err
	}
	at = slices.IndexFunc(all, func(a *endpointv3.ClusterLoadAssignment) bool { return a.GetClusterName() == name })
	if at < 0 {
		return nil, fmt.Errorf("%s: no endpoints of %q", g.files.Endpoints, name)
	}
	return all[at], nil
}

// resources reads a file's resources, all of one type.
func resources[M proto.Message](path string, empty func() M) ([]M, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var file discoveryv3.DiscoveryResponse
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(raw, &file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var all []M
	for _, r := range file.GetResources() {
		m := empty()
		if err := r.UnmarshalTo(m); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, m)
	}
	return all, nil
}

// level is the first priority that has a usable endpoint: the ones behind it are for its failure.
func level(all []*endpointv3.LocalityLbEndpoints) []*endpointv3.LocalityLbEndpoints {
	best := uint32(0)
	found := false
	for _, l := range all {
		usable := slices.ContainsFunc(l.GetLbEndpoints(), func(e *endpointv3.LbEndpoint) bool { return state(e) == logic.Ready })
		if usable && (!found || l.GetPriority() < best) {
			best, found = l.GetPriority(), true
		}
	}
	return slices.DeleteFunc(slices.Clone(all), func(l *endpointv3.LocalityLbEndpoints) bool { return l.GetPriority() != best })
}

func state(e *endpointv3.LbEndpoint) logic.ServerState {
	switch e.GetHealthStatus() {
	case corev3.HealthStatus_UNKNOWN, corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DEGRADED:
		return logic.Ready
	}
	return logic.Draining // what it has may finish, nothing new goes there
}

func address(e *endpointv3.LbEndpoint) (string, error) {
	at := e.GetEndpoint().GetAddress().GetSocketAddress()
	if at.GetAddress() == "" || at.GetPortValue() == 0 {
		return "", errors.New("an endpoint without an address and port")
	}
	return net.JoinHostPort(at.GetAddress(), strconv.FormatUint(uint64(at.GetPortValue()), 10)), nil
}
