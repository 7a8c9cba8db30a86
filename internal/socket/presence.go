package socket

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// PeerState is what is known of whether the peer of a connection is still there.
type PeerState uint8

// States of a peer.
const (
	PeerPresent PeerState = iota
	PeerGone              // it has closed the connection or its sending side
	PeerUnknown           // its end may wait behind bytes that have not been read
)

const (
	// trustedBytes is less than the kernel's smallest receive window: where no more lies unread, the end of the stream is not held
	// back behind it.
	trustedBytes = 16 << 10

	// settleTime is how long nothing comes after many bytes before the peer is taken to have sent all. The peer's kernel sends on
	// within it when the window has opened a little: the last acknowledgment is delayed by 40 ms at the most.
	settleTime = 50 * time.Millisecond

	// presenceTime is how long a peer is taken to be there after it was known to be.
	presenceTime = 75 * time.Millisecond
)

// Presence follows what is read from a connection, to tell whether its peer is still there. A close is known to this side's kernel
// only once all bytes before it have come, which the receive window holds back while much lies unread.
type Presence struct {
	mu       sync.Mutex
	knownAt  time.Time // when the peer was last known to be there
	idleAt   time.Time // since when nothing was left to read; zero while something may be
	received int       // bytes since nothing was left to read
	settled  bool      // so few bytes had come by then that the window was not shut
}

// Start begins with a connection that has just been accepted. Its peer may have sent much and gone since it connected.
func (p *Presence) Start(d Descriptor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settled = true
	if d.Unread() < trustedBytes {
		p.knownAt = time.Now()
	}
}

// NoteRead takes note of n bytes that have been read, by a reader that had waited for its turn for so long.
func (p *Presence) NoteRead(n int, waited time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.idleAt.IsZero() {
		now := time.Now()
		if p.isSettled(now) {
			p.knownAt, p.settled = now.Add(-waited), true
		}
		p.idleAt = time.Time{}
	}
	p.received += n
}

// NoteDrained takes note that nothing was left to read.
func (p *Presence) NoteDrained() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.idleAt.IsZero() {
		return
	}
	p.idleAt = time.Now()
	if p.settled = p.received < trustedBytes; p.settled {
		p.knownAt = p.idleAt
	}
	p.received = 0
}

// isSettled reports whether all that the peer has sent was read when nothing was left to read. It is called with p.mu held.
func (p *Presence) isSettled(now time.Time) bool {
	return p.settled || !p.idleAt.IsZero() && now.Sub(p.idleAt) >= settleTime
}

// State returns the state of the peer of the connection with the given descriptor.
func (p *Presence) State(d Descriptor) PeerState {
	var events int16
	var unread int
	var err error
	closed := d.raw.Control(func(fd uintptr) {
		if events, err = pollNow(int(fd), unix.POLLIN|unix.POLLRDHUP); err == nil && events&unix.POLLIN != 0 {
			unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		}
	})
	if closed != nil || err == nil && events&^unix.POLLIN != 0 {
		return PeerGone
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.isSettled(now) && p.received+unread < trustedBytes || now.Sub(p.knownAt) < presenceTime {
		return PeerPresent
	}
	return PeerUnknown
}

// Behind reports whether what is read comes so late that the peer may have gone since, and more lies unread.
func (p *Presence) Behind(d Descriptor) bool {
	p.mu.Lock()
	late := p.received >= trustedBytes && time.Since(p.knownAt) >= presenceTime
	p.mu.Unlock()
	return late && d.Unread() >= trustedBytes
}

// Unread returns how many bytes of the connection the kernel holds that have not been read.
func (d Descriptor) Unread() (n int) {
	var err error
	closed := d.raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	if closed != nil || err != nil {
		return 0
	}
	return n
}
