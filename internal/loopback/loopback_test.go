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

// Two allocators stand for two processes: no address is given twice, in a block or beyond it.
func TestNoAddressIsGivenTwice(t *testing.T) {
	var first, second allocator
	given := map[string]bool{}
	for range 2*lastHost + 10 {
		for _, a := range []*allocator{&first, &second} {
			address, err := a.next()
			require.NoError(t, err)
			require.False(t, given[address], address)
			given[address] = true
		}
	}
	for _, a := range []*allocator{&first, &second} {
		require.Len(t, a.claims, 3)
		for _, claim := range a.claims {
			require.NoError(t, claim.Close())
		}
	}
}

// A closed port refuses connections, though listeners come and go on the address that all others use.
func TestAClosedPortRefuses(t *testing.T) {
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

// Nothing in this repository listens on a port that the kernel chooses on the address that all others use, but for the test
// above.
func TestNothingListensOnAnyPortOfTheSharedAddress(t *testing.T) {
	shared := regexp.MustCompile(`127\.0\.0\.1:0\b|localhost:0\b|httptest\.NewServer\(`)
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || filepath.Base(path) == "loopback_test.go" {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		assert.False(t, shared.Match(text), "%s: internal/loopback gives addresses to listen on", path)
		return nil
	})
	require.NoError(t, err)
}
