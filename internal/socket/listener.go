package socket

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// Listener takes connections for netpoll and can be closed while netpoll watches it. netpoll's own holds a copy of the
// descriptor that its Close closes twice, and the second time it may be another connection's.
type Listener struct {
	*net.TCPListener
	raw      syscall.RawConn
	fd       int
	accepted atomic.Int64
	errors   acceptErrors
	room     func() bool
}

// Room sets who says whether there is room for one more connection, the one just accepted included. Where there is none it
// is closed at once. Guards the descriptors: one that is refused later is closed only when its poller comes to it, and more are
// accepted meanwhile. It is called before the first Accept.
func (l *Listener) Room(room func() bool) { l.room = room }

// Listen opens the address.
func Listen(addr string) (*Listener, error) {
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp, err := RetryListen(func() (*net.TCPListener, error) { return net.ListenTCP("tcp", at) })
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

// Fd is the descriptor for netpoll to watch.
func (l *Listener) Fd() int { return l.fd }

// errOver must not say that the listener is closed: netpoll would take the number of its descriptor off its watch, which may
// be another connection's by then. The kernel has taken the listener off with the close.
var errOver = errors.New("the listener is over")

// Accept takes a connection that has come, and gives nil where there is none or where that fails: the poller asks again at once.
// Guards against netpoll's own pauses of up to a second, in which nobody is let in. After a close it fails: given nil, netpoll
// would go on watching the number.
func (l *Listener) Accept() (net.Conn, error) {
	var fd int
	var peer syscall.Sockaddr
	var err error
	// Control keeps a close out until it returns.
	if l.raw.Control(func(of uintptr) {
		if fd, peer, err = syscall.Accept4(int(of), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC); err == nil {
			l.accepted.Add(1)
		}
	}) != nil {
		return nil, errOver
	}
	switch err {
	case nil:
	case syscall.EAGAIN, syscall.EINTR:
		return nil, nil
	default:
		l.errors.pause(err)
		return nil, nil
	}
	if l.room != nil && !l.room() {
		l.accepted.Add(-1)
		_ = syscall.Close(fd)
		return nil, nil
	}
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1) // netpoll does it for its own kind alone
	return &accepted{fd: fd, local: l.Addr(), remote: address(peer)}, nil
}

// Accepted is how many connections have been taken. After a close it stays as it is.
func (l *Listener) Accepted() int { return int(l.accepted.Load()) }

// Waiting tells whether a connection waits to be accepted.
func (l *Listener) Waiting() (waits bool) {
	_ = l.raw.Control(func(fd uintptr) {
		events, err := poll(int(fd), unix.POLLIN)
		waits = err == nil && events&unix.POLLIN != 0
	})
	return waits
}

func address(s syscall.Sockaddr) net.Addr {
	switch s := s.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: s.Addr[:], Port: s.Port}
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: s.Addr[:], Port: s.Port}
	}
	return &net.TCPAddr{}
}

// accepted hands a descriptor to netpoll, which copies descriptor and addresses and reads, writes and closes by itself.
type accepted struct {
	netpoll.Conn // none: nothing else is asked
	fd           int
	local        net.Addr
	remote       net.Addr
}

func (a *accepted) Fd() int              { return a.fd }
func (a *accepted) LocalAddr() net.Addr  { return a.local }
func (a *accepted) RemoteAddr() net.Addr { return a.remote }
