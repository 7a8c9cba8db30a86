package rig

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"bramblefall/internal/resp"
)

var lastID atomic.Uint64

// NewID returns a new id for a request.
func NewID() string { return fmt.Sprintf("%016x", 0x9b1f03aa00000000+lastID.Add(1)) }

// Client is a connection of a client that asks one request at a time.
type Client struct {
	c      *Case
	conn   net.Conn
	parser resp.Parser
}

// Dial connects a client to a limiter.
func (c *Case) Dial(l *Limiter) (*Client, error) {
	conn, err := net.DialTimeout("tcp", l.Addr, time.Second)
	return &Client{c: c, conn: conn}, err
}

// Close closes the connection.
func (k *Client) Close() { _ = k.conn.Close() }

// Send sends a request.
func (k *Client) Send(name, firm, id, terms string, body ...string) error {
	args := [][]byte{[]byte(name), []byte(firm), []byte(id), []byte(terms)}
	for _, b := range body {
		args = append(args, []byte(b))
	}
	k.c.Note("client sends %s %s %s", name, id, terms)
	_, err := k.conn.Write(resp.AppendCommand(nil, args...))
	return err
}

// Read reads the next answer.
func (k *Client) Read(within time.Duration) (resp.Reply, error) {
	_ = k.conn.SetReadDeadline(time.Now().Add(within))
	buf := make([]byte, 16<<10)
	for {
		r, ok, err := k.parser.Reply()
		if ok || err != nil {
			return r, err
		}
		n, err := k.conn.Read(buf)
		k.parser.Feed(buf[:n])
		if err != nil && n == 0 {
			return r, err
		}
	}
}

// Ask sends a request and reads its answer.
func (k *Client) Ask(name, firm, id, terms string, within time.Duration, body ...string) (string, error) {
	if err := k.Send(name, firm, id, terms, body...); err != nil {
		return "", err
	}
	r, err := k.Read(within)
	text := fmt.Sprintf("%c%s", max(r.Kind, ' '), r.Text)
	if errors.Is(err, io.EOF) {
		text = "end"
	}
	k.c.Note("answer to %s: %s %v", id, text, err)
	return text, err
}
