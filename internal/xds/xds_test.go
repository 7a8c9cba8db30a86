package xds

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/core"
	"bramblefall/logic"
)

// addressBook records the addresses of the listed endpoints.
type addressBook struct {
	mu    sync.Mutex
	addrs map[logic.ServerID]string
}

func (b *addressBook) SetAddress(id logic.ServerID, addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addrs[id] = addr
}

func (b *addressBook) Remove(id logic.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.addrs, id)
}

func (b *addressBook) Withdraw(logic.ServerID) {}

func (b *addressBook) listed() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Values(b.addrs))
}

// writeCluster writes a CDS file with one cluster that contains its only endpoint.
func writeCluster(t *testing.T, path string, port int) {
	text := fmt.Sprintf(`{"resources": [{"@type": "type.googleapis.com/envoy.config.cluster.v3.Cluster", "name": "limits",
		"load_assignment": {"cluster_name": "limits", "endpoints": [{"lb_endpoints": [{"endpoint": {"address":
		{"socket_address": {"address": "127.0.0.1", "port_value": %d}}}}]}]}}]}`, port)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

// Two writes in quick succession are both read, though the second may leave the same modification time (the file system's
// clock advances in steps of some milliseconds) and the same size.
func TestFileRewrittenWithinMtimeGranularityIsReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "cds.json")
	writeCluster(t, path, 1001)
	info, err := os.Stat(path)
	require.NoError(t, err)
	addresses := &addressBook{addrs: map[logic.ServerID]string{}}
	group := New(Files{Cluster: "limits", Clusters: path}, 1, logic.Settings{DrainGrace: 500 * time.Millisecond}, addresses, func(core.Event) {})
	require.NoError(t, group.Load())
	writeCluster(t, path, 1002)
	require.NoError(t, os.Chtimes(path, info.ModTime(), info.ModTime()))
	go group.Run(t.Context())
	require.Eventually(t, func() bool { return slices.Equal(addresses.listed(), []string{"127.0.0.1:1002"}) }, 2*time.Second, 10*time.Millisecond)
}
