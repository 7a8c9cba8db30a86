package loopback

import (
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Two allocators represent two processes: no address is allocated twice, even after their first blocks are used up.
func TestAllocatorsNeverShareAddress(t *testing.T) {
	var first, second allocator
	allocated := map[string]bool{}
	for range 2*lastHost + 10 {
		for _, a := range []*allocator{&first, &second} {
			address, err := a.next()
			require.NoError(t, err)
			require.False(t, allocated[address], address)
			allocated[address] = true
		}
	}
	for _, a := range []*allocator{&first, &second} {
		require.Len(t, a.claims, 3)
		for _, claim := range a.claims {
			require.NoError(t, claim.Close())
		}
	}
}

// A closed port keeps refusing connections while other listeners open on kernel-chosen ports of 127.0.0.1.
func TestClosedPortRefusesConnections(t *testing.T) {
	listener, err := Listen()
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	for range 200 {
		other, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer other.Close()
		_, err = net.Dial("tcp", address)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
}

// Except for the test above, no code of this repository listens on a kernel-chosen port of 127.0.0.1, where another process
// could get the port after the listener has closed.
func TestNoListenerOnKernelChosenPortOfSharedAddress(t *testing.T) {
	shared := regexp.MustCompile(`127\.0\.0\.1:0\b|localhost:0\b|httptest\.NewServer\(`)
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || filepath.Base(path) == "loopback_test.go" {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		assert.False(t, shared.Match(text), "%s listens on a kernel-chosen port of 127.0.0.1; use an address of internal/loopback instead", path)
		return nil
	})
	require.NoError(t, err)
}
