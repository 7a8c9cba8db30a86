// Package loopback allocates addresses of the loopback network to tests, stand-ins and the lab, each address to one process
// of this machine only. The limiter does not link it.
//
// Once a listener on a kernel-chosen port of 127.0.0.1 has closed, the kernel may give the port to any other process.
// Clients that keep connecting to the old address then reach a foreign server, and foreign clients may reach a listener of
// ours. On an IP address with a single owner, a closed port refuses connections until that owner listens there again.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// ErrNoBlock reports that other processes have claimed every block of addresses.
var ErrNoBlock = errors.New("no block of loopback addresses is free")

const (
	// claimPort lies just below the kernel's default range of ephemeral ports, so that it is used for claims only.
	claimPort = 32767
	// firstNetwork and lastNetwork bound the second octet. 127.0.0.0/16 is left to users of 127.0.0.1.
	firstNetwork     = 1
	lastNetwork      = 254
	blocksPerNetwork = 256
	lastHost         = 254
)

// allocator hands out addresses from blocks 127.x.y.0/24. A block is claimed by binding a UDP socket to its first address:
// the kernel allows that to one process at a time and releases the socket when the process ends.
type allocator struct {
	mu           sync.Mutex
	claims       []net.PacketConn
	blockPrefix  string // first three octets of the block that was claimed last
	lastHostUsed int    // last octet of the address that was handed out last
}

var processAllocator allocator

// NewAddress returns an IP address that this package has given to no other process, a new one at each call. It remains
// reserved until this process ends.
func NewAddress() (string, error) { return processAllocator.next() }

// AnyPort returns a new address with port 0, for listening on a port that the kernel chooses.
func AnyPort() (string, error) {
	address, err := NewAddress()
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(address, "0"), nil
}

// Listen opens a TCP listener on a new address, on a port that the kernel chooses.
func Listen() (net.Listener, error) {
	address, err := AnyPort()
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp", address)
}

func (a *allocator) next() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.claims) == 0 || a.lastHostUsed == lastHost {
		if err := a.claimBlock(); err != nil {
			return "", err
		}
	}
	a.lastHostUsed++
	return fmt.Sprintf("%s.%d", a.blockPrefix, a.lastHostUsed), nil
}

// claimBlock claims a further block. It begins its search at a random block, most likely a free one.
func (a *allocator) claimBlock() error {
	blockCount := (lastNetwork - firstNetwork + 1) * blocksPerNetwork
	first := rand.IntN(blockCount)
	for k := range blockCount {
		block := (first + k) % blockCount
		prefix := fmt.Sprintf("127.%d.%d", firstNetwork+block/blocksPerNetwork, block%blocksPerNetwork)
		claim, err := net.ListenPacket("udp4", fmt.Sprintf("%s.0:%d", prefix, claimPort))
		if err != nil {
			continue // another process has claimed it
		}
		a.claims = append(a.claims, claim)
		a.blockPrefix, a.lastHostUsed = prefix, 0
		return nil
	}
	return ErrNoBlock
}
