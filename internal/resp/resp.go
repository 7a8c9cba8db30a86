// Package resp reads and writes RESP2.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits on what a peer may send. A value holds 64 KiB at most.
const (
	MaxBulk  = 64 << 10
	maxWhole = MaxBulk + MaxBulk/2 // of a message: one value and what goes with it
	maxArgs  = 64
	maxLine  = 4 << 10
	maxDepth = 4

	mostKept = 16 << 10 // bytes that a parser without a message holds on to for the next
)

// ErrProtocol says that the bytes are no RESP2: where the next message begins is not known any more.
var ErrProtocol = errors.New("Protocol error")

var errShort = errors.New("resp: more bytes are needed")

// Reply is a message from a server.
type Reply struct {
	Kind  byte // one of + - : $ *
	Null  bool
	Text  []byte // of + - : $
	Elems []Reply
}

// Parser takes bytes as they come and gives whole messages. It keeps what it is given until it is read.
type Parser struct {
	buf []byte
	at  int
}

// Feed appends bytes, which are copied.
func (p *Parser) Feed(b []byte) {
	if p.at > 0 {
		p.buf = append(p.buf[:0], p.buf[p.at:]...)
		p.at = 0
	}
	p.buf = append(p.buf, b...)
}

// Buffered is how many bytes are not read yet.
func (p *Parser) Buffered() int { return len(p.buf) - p.at }

// Command reads a command, an array of bulk strings. ok is false when more bytes are needed.
func (p *Parser) Command() (args [][]byte, ok bool, err error) {
	r, ok, err := p.next(func(c *cursor) (Reply, error) {
		if c.at < len(c.buf) && c.buf[c.at] != '*' {
			return Reply{}, ErrProtocol
		}
		return c.reply(1)
	})
	if !ok || err != nil {
		return nil, false, err
	}
	for _, e := range r.Elems {
		if e.Kind != '$' || e.Null {
			return nil, false, ErrProtocol
		}
		args = append(args, e.Text)
	}
	return args, true, nil
}

// Skip reads over a command and keeps nothing of it but how many words it has. ok is false when more bytes are needed.
func (p *Parser) Skip() (words int, ok bool, err error) {
	c := cursor{buf: p.buf, at: p.at}
	words, err = c.skip()
	if ok, err := p.whole(err); !ok {
		return 0, false, err
	}
	p.advance(c.at)
	return words, true, nil
}

// Reply reads a server's answer. ok is false when more bytes are needed.
func (p *Parser) Reply() (r Reply, ok bool, err error) {
	return p.next(func(c *cursor) (Reply, error) { return c.reply(maxDepth) })
}

func (p *Parser) next(read func(*cursor) (Reply, error)) (Reply, bool, error) {
	c := cursor{buf: p.buf, at: p.at}
	r, err := read(&c)
	if ok, err := p.whole(err); !ok {
		return Reply{}, false, err
	}
	own := bytes.Clone(p.buf[p.at:c.at]) // the buffer is used again, the message lives on
	p.advance(c.at)
	c = cursor{buf: own}
	r, _ = read(&c)
	return r, true, nil
}

// whole tells by what reading a message came to whether it is there.
func (p *Parser) whole(err error) (bool, error) {
	if errors.Is(err, errShort) && p.Buffered() > maxWhole {
		return false, ErrProtocol // a message without an end must not fill the memory
	}
	if errors.Is(err, errShort) {
		return false, nil
	}
	return err == nil, err
}

// advance goes on behind a message.
func (p *Parser) advance(to int) {
	if p.at = to; p.at < len(p.buf) {
		return
	}
	p.buf, p.at = p.buf[:0], 0
	if cap(p.buf) > mostKept { // a flood that is over must not fill the memory for as long as its connection lives
		p.buf = nil
	}
}

type cursor struct {
	buf []byte
	at  int
}

func (c *cursor) line() ([]byte, error) {
	end := bytes.IndexByte(c.buf[c.at:], '\n')
	if end < 0 && len(c.buf)-c.at > maxLine || end > maxLine {
		return nil, ErrProtocol // a line without an end must not fill the memory
	}
	if end < 0 {
		return nil, errShort
	}
	if end < 1 || c.buf[c.at+end-1] != '\r' {
		return nil, ErrProtocol
	}
	line := c.buf[c.at : c.at+end-1]
	c.at += end + 1
	return line, nil
}

// length reads a count of at least -1 and at most most.
func length(line []byte, most int) (int, error) {
	n, err := strconv.Atoi(string(line))
	if err != nil || n < -1 || n > most {
		return 0, ErrProtocol
	}
	return n, nil
}

func (c *cursor) reply(depth int) (Reply, error) {
	line, err := c.line()
	if err != nil {
		return Reply{}, err
	}
	if len(line) == 0 {
		return Reply{}, ErrProtocol
	}
	r := Reply{Kind: line[0], Text: line[1:]}
	switch r.Kind {
	case '+', '-', ':':
		return r, nil
	case '$':
		return c.bulk(r)
	case '*':
		return c.array(r, depth)
	}
	return Reply{}, ErrProtocol
}

// skip goes over a command, an array of bulk strings.
func (c *cursor) skip() (words int, err error) {
	if c.at < len(c.buf) && c.buf[c.at] != '*' {
		return 0, ErrProtocol
	}
	line, err := c.line()
	if err != nil {
		return 0, err
	}
	if words, err = length(line[1:], maxArgs); err != nil {
		return 0, ErrProtocol
	}
	for range words {
		e, err := c.reply(0)
		if err != nil {
			return 0, err
		}
		if e.Kind != '$' || e.Null {
			return 0, ErrProtocol
		}
	}
	return max(words, 0), nil
}

func (c *cursor) bulk(r Reply) (Reply, error) {
	n, err := length(r.Text, MaxBulk)
	if err != nil {
		return Reply{}, err
	}
	if r.Text = nil; n < 0 {
		r.Null = true
		return r, nil
	}
	if len(c.buf)-c.at < n+2 {
		return Reply{}, errShort
	}
	if c.buf[c.at+n] != '\r' || c.buf[c.at+n+1] != '\n' {
		return Reply{}, ErrProtocol
	}
	r.Text = c.buf[c.at : c.at+n : c.at+n]
	c.at += n + 2
	return r, nil
}

func (c *cursor) array(r Reply, depth int) (Reply, error) {
	n, err := length(r.Text, maxArgs)
	if err != nil || depth == 0 {
		return Reply{}, ErrProtocol
	}
	if r.Text = nil; n < 0 {
		r.Null = true
		return r, nil
	}
	for range n {
		e, err := c.reply(depth - 1)
		if err != nil {
			return Reply{}, err
		}
		r.Elems = append(r.Elems, e)
	}
	return r, nil
}

// AppendCommand appends a command.
func AppendCommand(b []byte, args ...[]byte) []byte {
	b = append(strconv.AppendInt(append(b, '*'), int64(len(args)), 10), "\r\n"...)
	for _, a := range args {
		b = AppendBulk(b, a)
	}
	return b
}

// AppendBulk appends a bulk string.
func AppendBulk(b, value []byte) []byte {
	b = append(strconv.AppendInt(append(b, '$'), int64(len(value)), 10), "\r\n"...)
	return append(append(b, value...), "\r\n"...)
}
