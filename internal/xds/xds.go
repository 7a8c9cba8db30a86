// Package xds reads Envoy clusters and endpoints from files of CDS and EDS resources, in the format of Envoy's
// path_config_source, and reloads the files when they change. They define the upstream group for an external rate limit
// service.
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
	pollsPerGrace    = 5 // checks of the files within the drain grace, which starts when a file is written
	minPollInterval  = 20 * time.Millisecond
	maxPollInterval  = 100 * time.Millisecond
	firstServerID    = 1 << 40               // above the ids of the platform's servers
	mtimeGranularity = 50 * time.Millisecond // two writes closer together may leave the same modification time
)

// Files names the resource files and the cluster to follow.
type Files struct {
	Cluster   string `json:"cluster"`
	Clusters  string `json:"clusters"`  // CDS resources
	Endpoints string `json:"endpoints"` // EDS resources; not needed if the cluster contains its endpoints
}

// Addresses receives the addresses of endpoints. Withdraw stops new requests to an endpoint; Remove is called for one that
// is no longer listed.
type Addresses interface {
	SetAddress(id logic.ServerID, addr string)
	Withdraw(id logic.ServerID)
	Remove(id logic.ServerID)
}

// Group follows one cluster and posts its endpoints as an upstream group.
type Group struct {
	files        Files
	group        int
	zones        *wire.NameIndex
	addresses    Addresses
	post         func(core.Event)
	pollInterval time.Duration // between two checks of the files

	idByAddr   map[string]logic.ServerID // ids are kept for addresses that are no longer listed
	addrByID   map[logic.ServerID]string
	listed     map[string]bool
	loadedMark string // fileMark at the last Load
}

// New returns a Group that follows a cluster and posts it as the upstream group of the given number.
func New(files Files, group int, set logic.Settings, addresses Addresses, post func(core.Event)) *Group {
	return &Group{files: files, group: group, zones: wire.NewNameIndex(set.ZoneNames), addresses: addresses, post: post,
		pollInterval: min(max(set.DrainGrace/pollsPerGrace, minPollInterval), maxPollInterval), idByAddr: map[string]logic.ServerID{}, addrByID: map[logic.ServerID]string{}, listed: map[string]bool{}}
}

// Load reads the files and posts their endpoints as the complete upstream group.
func (g *Group) Load() error {
	g.loadedMark = g.fileMark()
	assignment, err := g.assignment()
	if err != nil {
		return err
	}
	list := logic.ServerList{Group: g.group, Complete: true}
	listed := map[string]bool{}
	for _, locality := range activePriority(assignment.GetEndpoints()) {
		zone := g.zones.Index(locality.GetLocality().GetZone())
		for _, e := range locality.GetLbEndpoints() {
			addr, err := endpointAddress(e)
			if err != nil {
				return err
			}
			if listed[addr] {
				continue
			}
			listed[addr] = true
			list.Servers = append(list.Servers, logic.Server{ID: g.id(addr), Zone: zone,
				Weight: float64(max(e.GetLoadBalancingWeight().GetValue(), 1)), State: serverState(e)})
		}
	}
	for _, s := range list.Servers { // before the post, so that no new request leaves for a draining endpoint meanwhile
		g.addresses.SetAddress(s.ID, g.addrByID[s.ID])
		if s.State != logic.Ready {
			g.addresses.Withdraw(s.ID)
		}
	}
	for addr := range g.listed {
		if !listed[addr] {
			g.addresses.Remove(g.idByAddr[addr])
		}
	}
	g.listed = listed
	g.post(core.UpstreamGroup{ServerList: list})
	return nil
}

// Run reloads the files when they change, until the context ends. Files that cannot be used change nothing: the last good
// group stays in use.
func (g *Group) Run(ctx context.Context) {
	tick := time.NewTicker(g.pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if g.fileMark() == g.loadedMark {
				continue
			}
			if err := g.Load(); err != nil {
				slog.Warn("the cluster's files cannot be used, keeping the last good group", "err", err)
			}
		}
	}
}

// fileMark returns a string that changes when a file is written or replaced. It also differs on each call while a file is
// younger than mtimeGranularity, since another write would not show in its modification time.
func (g *Group) fileMark() string {
	mark := ""
	for _, path := range []string{g.files.Clusters, g.files.Endpoints} {
		if info, err := os.Stat(path); err == nil {
			mark += fmt.Sprint(info.ModTime().UnixNano(), " ", info.Size(), " ")
			if age := time.Since(info.ModTime()).Abs(); age < mtimeGranularity {
				mark += fmt.Sprint("written just now: ", age, " ")
			}
		}
	}
	return mark
}

func (g *Group) id(addr string) logic.ServerID {
	if _, ok := g.idByAddr[addr]; !ok {
		id := logic.ServerID(firstServerID + len(g.idByAddr))
		g.idByAddr[addr], g.addrByID[id] = id, addr
	}
	return g.idByAddr[addr]
}

// assignment returns the endpoints of the cluster, from the cluster itself or from the EDS resources.
func (g *Group) assignment() (*endpointv3.ClusterLoadAssignment, error) {
	clusters, err := readResources(g.files.Clusters, func() *clusterv3.Cluster { return &clusterv3.Cluster{} })
	if err != nil {
		return nil, err
	}
	at := slices.IndexFunc(clusters, func(c *clusterv3.Cluster) bool { return c.GetName() == g.files.Cluster })
	if at < 0 {
		return nil, fmt.Errorf("%s: cluster %q not found", g.files.Clusters, g.files.Cluster)
	}
	c := clusters[at]
	if c.GetTransportSocket() != nil { // plaintext calls would not be what the operator configured
		return nil, fmt.Errorf("cluster %q: has a transport_socket, which is not supported", c.GetName())
	}
	if c.GetType() != clusterv3.Cluster_EDS {
		return c.GetLoadAssignment(), nil
	}
	name := c.GetEdsClusterConfig().GetServiceName()
	if name == "" {
		name = c.GetName()
	}
	all, err := readResources(g.files.Endpoints,
		func() *endpointv3.ClusterLoadAssignment { return &endpointv3.ClusterLoadAssignment{} })
	if err != nil {
		return nil, err
	}
	at = slices.IndexFunc(all, func(a *endpointv3.ClusterLoadAssignment) bool { return a.GetClusterName() == name })
	if at < 0 {
		return nil, fmt.Errorf("%s: no ClusterLoadAssignment for %q", g.files.Endpoints, name)
	}
	return all[at], nil
}

// readResources reads the resources of a file, which must all be of type M.
func readResources[M proto.Message](path string, empty func() M) ([]M, error) {
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

// activePriority returns the localities of the highest priority that has a ready endpoint, or of priority 0 if there is
// none. Lower priorities are only for failover.
func activePriority(all []*endpointv3.LocalityLbEndpoints) []*endpointv3.LocalityLbEndpoints {
	best := uint32(0)
	found := false
	for _, l := range all {
		usable := slices.ContainsFunc(l.GetLbEndpoints(), func(e *endpointv3.LbEndpoint) bool { return serverState(e) == logic.Ready })
		if usable && (!found || l.GetPriority() < best) {
			best, found = l.GetPriority(), true
		}
	}
	return slices.DeleteFunc(slices.Clone(all), func(l *endpointv3.LocalityLbEndpoints) bool { return l.GetPriority() != best })
}

func serverState(e *endpointv3.LbEndpoint) logic.ServerState {
	switch e.GetHealthStatus() {
	case corev3.HealthStatus_UNKNOWN, corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DEGRADED:
		return logic.Ready
	}
	return logic.Draining // requests in flight may finish, new ones go elsewhere
}

func endpointAddress(e *endpointv3.LbEndpoint) (string, error) {
	at := e.GetEndpoint().GetAddress().GetSocketAddress()
	if at.GetAddress() == "" || at.GetPortValue() == 0 {
		return "", errors.New("endpoint has no socket_address with both an address and a port_value")
	}
	return net.JoinHostPort(at.GetAddress(), strconv.FormatUint(uint64(at.GetPortValue()), 10)), nil
}
