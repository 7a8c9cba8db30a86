package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// Quiet tells whether a connection is open and has brought nothing that is not read yet. It asks the kernel, too:
// bytes or an end may have come that netpoll has not seen.
func Quiet(conn netpoll.Connection) bool {
	if !conn.IsActive() || conn.Reader().Len() > 0 {
		return false
	}
	c, ok := conn.(netpoll.Conn)
	if !ok {
		return true
	}
	var one [1]byte
	_, _, err := syscall.Recvfrom(c.Fd(), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// Dial connects through netpoll.
func Dial(addr string, limit time.Duration) (netpoll.Connection, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	to := &netpoll.TCPAddr{TCPAddr: *at}
	conn, err := netpoll.DialTCP(ctx, "tcp", nil, to)
	if err != nil {
		return nil, err
	}
	return conn, nil
}
