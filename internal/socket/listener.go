package socket

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// Listener accepts connections for netpoll and can be closed while netpoll watches it. netpoll's own listener holds a copy of
// the descriptor that its Close closes twice; by the second time the number may belong to another connection.
type Listener struct {
	*net.TCPListener
	raw      syscall.RawConn
	fd       int
	accepted atomic.Int64
	errors   acceptErrors
	hasRoom  func() bool
}

// SetRoomCheck sets the function that reports whether there is room for the connection just accepted. Where there is none the
// connection is closed at once. Guards the descriptors: a connection that is refused later is closed only when its poller gets to
// it, and more are accepted meanwhile. Call SetRoomCheck before the first Accept.
func (l *Listener) SetRoomCheck(hasRoom func() bool) { l.hasRoom = hasRoom }

// Listen opens a TCP listener on addr. Transient failures are retried.
func Listen(addr string) (*Listener, error) {
	local, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp, err := RetryListen(func() (*net.TCPListener, error) { return net.ListenTCP("tcp", local) })
	if err != nil {
		return nil, err
	}
	l := &Listener{TCPListener: tcp}
	if l.raw, err = tcp.SyscallConn(); err == nil {
		err = l.raw.Control(func(fd uintptr) { l.fd = int(fd) })
	}
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	return l, nil
}

// Fd returns the descriptor for netpoll to watch.
func (l *Listener) Fd() int { return l.fd }

// errListenerEnded must not contain the word "closed": netpoll would then remove the descriptor number from its poller, and that
// number may belong to another connection by then. The kernel has already removed the listener on close.
var errListenerEnded = errors.New("the listener has ended")

// Accept returns a pending connection, or nil if there is none or accepting fails: the poller calls again at once. Guards against
// netpoll's own pauses of up to a second after an error, during which no client is accepted. After Close it returns an error: for
// nil, netpoll would keep watching the descriptor number.
func (l *Listener) Accept() (net.Conn, error) {
	var fd int
	var peer syscall.Sockaddr
	var err error
	// Control blocks Close until it returns.
	if l.raw.Control(func(of uintptr) {
		if fd, peer, err = syscall.Accept4(int(of), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC); err == nil {
			l.accepted.Add(1)
		}
	}) != nil {
		return nil, errListenerEnded
	}
	switch err {
	case nil:
	case syscall.EAGAIN, syscall.EINTR:
		return nil, nil
	default:
		l.errors.logAndPause(err)
		return nil, nil
	}
	if l.hasRoom != nil && !l.hasRoom() {
		l.accepted.Add(-1)
		_ = syscall.Close(fd)
		return nil, nil
	}
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1) // netpoll sets it only on connections of its own type, not on an acceptedConn
	return &acceptedConn{fd: fd, local: l.Addr(), remote: tcpAddr(peer)}, nil
}

// AcceptedCount returns the number of connections accepted. It does not change after Close.
func (l *Listener) AcceptedCount() int { return int(l.accepted.Load()) }

// HasPending reports whether a connection is waiting to be accepted.
func (l *Listener) HasPending() (pending bool) {
	_ = l.raw.Control(func(fd uintptr) {
		events, err := pollNow(int(fd), unix.POLLIN)
		pending = err == nil && events&unix.POLLIN != 0
	})
	return pending
}

func tcpAddr(s syscall.Sockaddr) net.Addr {
	switch s := s.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: s.Addr[:], Port: s.Port}
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: s.Addr[:], Port: s.Port}
	}
	return &net.TCPAddr{}
}

// acceptedConn passes a descriptor to netpoll, which copies the descriptor and the addresses and does all I/O and the close
// itself.
type acceptedConn struct {
	netpoll.Conn // nil: netpoll calls none of its other methods
	fd           int
	local        net.Addr
	remote       net.Addr
}

func (a *acceptedConn) Fd() int              { return a.fd }
func (a *acceptedConn) LocalAddr() net.Addr  { return a.local }
func (a *acceptedConn) RemoteAddr() net.Addr { return a.remote }
