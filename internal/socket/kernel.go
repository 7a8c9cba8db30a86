package socket

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Descriptor reads a connection that another package owns, and asks the kernel about it.
type Descriptor struct{ raw syscall.RawConn }

// DescriptorOf returns the descriptor of a TCP or Unix connection.
func DescriptorOf(conn net.Conn) (Descriptor, error) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return Descriptor{}, fmt.Errorf("a %T has no descriptor", conn)
	}
	raw, err := c.SyscallConn()
	return Descriptor{raw}, err
}

// Read waits for bytes and takes them from the kernel within take, which it calls with a function that reads what there is. take may
// hold a lock while it calls that, so that bytes are known to be taken as soon as they are. Read returns io.EOF at the end, and for
// take's false.
func (d Descriptor) Read(b []byte, take func(read func() int) bool) (n int, err error) {
	ended := false
	waited := d.raw.Read(func(fd uintptr) bool {
		ended = !take(func() int {
			n, err = readNow(int(fd), b)
			return n
		})
		return ended || !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case waited != nil:
		return 0, waited
	case ended || n == 0 && err == nil && len(b) > 0:
		return 0, io.EOF
	}
	return n, err
}

// readNow reads what the kernel has, without waiting.
func readNow(fd int, b []byte) (n int, err error) {
	for {
		n, err = syscall.Read(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}

// Drained reports whether the connection is open on both sides and the kernel has no unread bytes of it.
func (d Descriptor) Drained() bool {
	var err error
	closed := d.raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return closed == nil && errors.Is(err, syscall.EAGAIN)
}

// PeerClosed reports whether the peer has closed the connection or its sending side, or this side has closed it.
func (d Descriptor) PeerClosed() bool {
	var events int16
	var err error
	closed := d.raw.Control(func(fd uintptr) { events, err = pollNow(int(fd), unix.POLLRDHUP) })
	return closed != nil || err == nil && events != 0
}

// pollNow polls a descriptor without blocking, again if a signal interrupts the call.
func pollNow(fd int, events int16) (int16, error) {
	for {
		polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if _, err := unix.Poll(polled, 0); err != unix.EINTR {
			return polled[0].Revents, err
		}
	}
}
