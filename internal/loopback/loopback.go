// Package loopback gives tests, stand-ins and the lab IP addresses of the loopback network that nobody else on the machine
// is given. The limiter links none of it.
//
// A port that the kernel chose on 127.0.0.1 belongs to whoever asks next once its listener has closed. Whoever goes on
// asking that address then talks to a stranger, and a stranger's clients talk to a listener of ours. On an IP address that
// only one owner listens on, a port that has closed refuses connections until that owner opens one again.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// ErrNoBlock says that other processes hold every block of addresses.
var ErrNoBlock = errors.New("no block of loopback addresses is left")

const (
	// claimPort lies below the ports that the kernel chooses by itself, so only claims are made on it.
	claimPort = 32767
	// firstNetwork leaves 127.0.0.0/16 to those who use the usual address.
	firstNetwork, lastNetwork = 1, 254
	blocksOfNetwork           = 256
	lastHost                  = 254
)

// allocator hands out the addresses of blocks 127.x.y.0/24. A block is claimed by a UDP socket on its first address, which
// the kernel gives to one process at a time and takes back when that process ends.
type allocator struct {
	mu     sync.Mutex
	claims []net.PacketConn
	prefix string // of the block that was claimed last
	host   int    // of it that was handed out last
}

var addresses allocator

// NewAddress returns an IP address that no other process was given, a new one at each call. It is this process's until the
// process ends.
func NewAddress() (string, error) { return addresses.next() }

// AnyPort returns a new address with port 0, to listen on.
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
	if len(a.claims) == 0 || a.host == lastHost {
		if err := a.claimBlock(); err != nil {
			return "", err
		}
	}
	a.host++
	return fmt.Sprintf("%s.%d", a.prefix, a.host), nil
}

// claimBlock claims a further block, beginning with one by chance.
func (a *allocator) claimBlock() error {
	blocks := (lastNetwork - firstNetwork + 1) * blocksOfNetwork
	first := rand.IntN(blocks)
	for k := range blocks {
		block := (first + k) % blocks
		prefix := fmt.Sprintf("127.%d.%d", firstNetwork+block/blocksOfNetwork, block%blocksOfNetwork)
		claim, err := net.ListenPacket("udp4", fmt.Sprintf("%s.0:%d", prefix, claimPort))
		if err != nil {
			continue // another process has it
		}
		a.claims = append(a.claims, claim)
		a.prefix, a.host = prefix, 0
		return nil
	}
	return ErrNoBlock
}
