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

// book notes where endpoints listen.
type book struct {
	mu    sync.Mutex
	addrs map[logic.ServerID]string
}

func (b *book) SetAddress(id logic.ServerID, addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addrs[id] = addr
}

func (b *book) Remove(id logic.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.addrs, id)
}

func (b *book) Withdraw(logic.ServerID) {}

func (b *book) listed() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Values(b.addrs))
}

// writeCluster writes a cluster that holds its one endpoint.
func writeCluster(t *testing.T, path string, port int) {
	text := fmt.Sprintf(`{"resources": [{"@type": "type.googleapis.com/envoy.config.cluster.v3.Cluster", "name": "limits",
		"load_assignment": {"cluster_name": "limits", "endpoints": [{"lb_endpoints": [{"endpoint": {"address":
		{"socket_address": {"address": "127.0.0.1", "port_value": %d}}}}]}]}}]}`, port)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

// A file that is written twice in a row may look the same after both: the file system's clock stands for some milliseconds, and
// the size need not change.
func TestAFileThatIsWrittenTwiceInARowIsReadTwice(t *testing.T) {
	path := filepath.Join(t.TempDir(), "cds.json")
	writeCluster(t, path, 1001)
	info, err := os.Stat(path)
	require.NoError(t, err)
	listens := &book{addrs: map[logic.ServerID]string{}}
	group := New(Files{Cluster: "limits", Clusters: path}, 1, logic.Settings{DrainGrace: 500 * time.Millisecond}, listens, func(core.Event) {})
	require.NoError(t, group.Load())
	writeCluster(t, path, 1002)
	require.NoError(t, os.Chtimes(path, info.ModTime(), info.ModTime()))
	go group.Run(t.Context())
	require.Eventually(t, func() bool { return slices.Equal(listens.listed(), []string{"127.0.0.1:1002"}) }, 2*time.Second, 10*time.Millisecond)
}
