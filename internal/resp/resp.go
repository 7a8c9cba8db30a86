// Package resp encodes and decodes RESP2, the Redis serialization protocol, version 2.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits on what a peer may send. A value is 64 KiB at most.
const (
	MaxBulkBytes    = 64 << 10
	maxMessageBytes = MaxBulkBytes + MaxBulkBytes/2 // bytes of a message: one value and its surroundings
	maxArgs         = 64                            // elements of one array
	usualArgs       = 8                             // elements for which room is made at once
	maxLineBytes    = 4 << 10                       // of a line that ends with CRLF
	maxDepth        = 4                             // nested arrays in a reply

	maxIdleBufferBytes = 1 << 10 // buffer capacity that a parser keeps between messages
	ownedMessageBytes  = 4 << 10 // a larger message that fills its buffer is returned in it, instead of in a copy
)

// ErrProtocol reports bytes that are not valid RESP2. The start of the next message is unknown after it.
var ErrProtocol = errors.New("Protocol error")

var errIncomplete = errors.New("resp: incomplete message: more bytes are needed")

// Reply is a decoded RESP2 message: a server's reply, one of its elements, or a client's command.
type Reply struct {
	Kind  byte // type byte: one of + - : $ *
	Null  bool
	Text  []byte // content of types + - : $
	Elems []Reply
}

// Parser decodes messages from a byte stream that arrives in pieces. It buffers bytes until the message that they
// belong to is complete.
type Parser struct {
	buf        []byte
	pos        int
	need       int  // bytes of the incomplete message, as far as its lengths are known
	discarding bool // the incomplete message is consumed without being kept
	skipped    skippedCommand
}

// Feed appends a copy of b to the buffer.
func (p *Parser) Feed(b []byte) {
	if p.pos > 0 {
		p.buf = append(p.buf[:0], p.buf[p.pos:]...)
		p.pos = 0
	}
	if size := max(p.need, len(p.buf)+len(b)); size > cap(p.buf) && size > maxIdleBufferBytes { // without the room that append would add
		p.buf = append(make([]byte, 0, size), p.buf...)
	}
	p.buf = append(p.buf, b...)
}

// Need returns how many bytes the incomplete message takes, as far as its lengths are known; 0 where no message has begun.
func (p *Parser) Need() int {
	if p.Buffered() == 0 {
		return 0
	}
	return max(p.need, p.Buffered())
}

// Discard drops the incomplete command: its bytes are no longer kept, and Skip consumes what follows of it as it comes. Command must
// not be called before Skip has found its end.
func (p *Parser) Discard() {
	p.discarding = true
	_, _, _ = p.Skip() // an error is found again by the next call
}

// Discarding reports whether an incomplete command is being dropped.
func (p *Parser) Discarding() bool { return p.discarding }

// Incomplete reports whether a message has begun and not all of it has come.
func (p *Parser) Incomplete() bool { return p.Buffered() > 0 || p.discarding }

// Buffered returns the number of buffered bytes that no returned message has consumed.
func (p *Parser) Buffered() int { return len(p.buf) - p.pos }

// Command decodes a command, an array of bulk strings. ok is false when more bytes are needed.
func (p *Parser) Command() (args [][]byte, ok bool, err error) {
	r, ok, err := p.nextMessage(func(c *cursor) (Reply, error) {
		if c.pos < len(c.buf) && c.buf[c.pos] != '*' {
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

// Skip consumes a command without keeping its arguments and returns their number. ok is false when more bytes are needed.
func (p *Parser) Skip() (argCount int, ok bool, err error) {
	c := cursor{buf: p.buf, pos: p.pos}
	s := p.skipped
	err = s.consume(&c)
	if p.discarding && errors.Is(err, errIncomplete) {
		p.advance(c.pos)
		p.need, p.skipped = 0, s
		if s.bytes+s.valueLeft > maxMessageBytes {
			return 0, false, ErrProtocol
		}
		return 0, false, nil
	}
	if ok, err := p.complete(&c, err); !ok {
		return 0, false, err
	}
	p.advance(c.pos)
	p.discarding, p.skipped = false, skippedCommand{}
	return max(s.argCount, 0), true, nil
}

// Reply decodes a server's reply. ok is false when more bytes are needed.
func (p *Parser) Reply() (r Reply, ok bool, err error) {
	return p.nextMessage(func(c *cursor) (Reply, error) { return c.reply(maxDepth) })
}

func (p *Parser) nextMessage(read func(*cursor) (Reply, error)) (Reply, bool, error) {
	c := cursor{buf: p.buf, pos: p.pos}
	r, err := read(&c)
	if ok, err := p.complete(&c, err); !ok {
		return Reply{}, false, err
	}
	c = cursor{buf: p.take(c.pos)}
	r, _ = read(&c)
	return r, true, nil
}

// complete reports whether a read that returned err has found a whole message. An incomplete message that already exceeds
// maxMessageBytes is a protocol error.
func (p *Parser) complete(c *cursor, err error) (bool, error) {
	p.need = 0
	if errors.Is(err, errIncomplete) && (p.Buffered() > maxMessageBytes || c.need-p.pos > maxMessageBytes) {
		return false, ErrProtocol // an endless message must not exhaust memory
	}
	if errors.Is(err, errIncomplete) {
		p.need = max(c.need-p.pos, 0)
		return false, nil
	}
	return err == nil, err
}

// take returns the bytes of the message that ends at end and moves the read position behind it. The caller keeps the message while
// the buffer is reused, so it is a copy, or, of a large message, the buffer itself: the parser goes on with a copy of what is behind
// it, which is at most what the last Feed brought.
func (p *Parser) take(end int) []byte {
	message := p.buf[p.pos:end:end]
	if len(message) > ownedMessageBytes {
		p.buf, p.pos = bytes.Clone(p.buf[end:]), 0
		return message
	}
	message = bytes.Clone(message)
	p.advance(end)
	return message
}

// advance moves the read position to the end of a message.
func (p *Parser) advance(end int) {
	if p.pos = end; p.pos < len(p.buf) {
		return
	}
	p.buf, p.pos = p.buf[:0], 0
	if cap(p.buf) > maxIdleBufferBytes { // a burst must not pin its memory for the connection's lifetime
		p.buf = nil
	}
}

type cursor struct {
	buf  []byte
	pos  int
	need int // position at which the incomplete message ends at the earliest; 0: not known
}

func (c *cursor) line() ([]byte, error) {
	end := bytes.IndexByte(c.buf[c.pos:], '\n')
	if end < 0 && len(c.buf)-c.pos > maxLineBytes || end > maxLineBytes {
		return nil, ErrProtocol // an endless line must not exhaust memory
	}
	if end < 0 {
		return nil, errIncomplete
	}
	if end < 1 || c.buf[c.pos+end-1] != '\r' {
		return nil, ErrProtocol
	}
	line := c.buf[c.pos : c.pos+end-1]
	c.pos += end + 1
	return line, nil
}

// length parses a length or count from -1, which stands for null, to limit.
func length(line []byte, limit int) (int, error) {
	n, err := strconv.Atoi(string(line))
	if err != nil || n < -1 || n > limit {
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

// skippedCommand is how much of a command has been consumed without being kept.
type skippedCommand struct {
	begun     bool // the number of its arguments is known
	argCount  int
	argsLeft  int
	valueLeft int // bytes of the argument that has begun, with its CRLF
	bytes     int // consumed so far
}

// consume moves the cursor behind what has come of the command.
func (s *skippedCommand) consume(c *cursor) error {
	from := c.pos
	defer func() { s.bytes += c.pos - from }()
	if !s.begun {
		if err := s.begin(c); err != nil {
			return err
		}
	}
	for ; s.argsLeft > 0; s.argsLeft-- {
		if err := s.argument(c); err != nil {
			return err
		}
	}
	return nil
}

func (s *skippedCommand) begin(c *cursor) error {
	if c.pos < len(c.buf) && c.buf[c.pos] != '*' {
		return ErrProtocol
	}
	line, err := c.line()
	if err != nil {
		return err
	}
	if s.argCount, err = length(line[1:], maxArgs); err != nil {
		return err
	}
	s.argsLeft, s.begun = max(s.argCount, 0), true
	return nil
}

const crlfBytes = 2

func (s *skippedCommand) argument(c *cursor) error {
	if s.valueLeft == 0 {
		line, err := c.line()
		if err != nil {
			return err
		}
		if len(line) == 0 || line[0] != '$' {
			return ErrProtocol
		}
		n, err := length(line[1:], MaxBulkBytes)
		if err != nil || n < 0 {
			return ErrProtocol
		}
		s.valueLeft = n + crlfBytes
	}
	if came := len(c.buf) - c.pos; came < s.valueLeft {
		c.need = c.pos + s.valueLeft
		n := min(came, s.valueLeft-crlfBytes)
		c.pos, s.valueLeft = c.pos+n, s.valueLeft-n
		return errIncomplete
	}
	end := c.pos + s.valueLeft
	if c.buf[end-2] != '\r' || c.buf[end-1] != '\n' {
		return ErrProtocol
	}
	c.pos, s.valueLeft = end, 0
	return nil
}

func (c *cursor) bulk(r Reply) (Reply, error) {
	n, err := length(r.Text, MaxBulkBytes)
	if err != nil {
		return Reply{}, err
	}
	if r.Text = nil; n < 0 {
		r.Null = true
		return r, nil
	}
	if len(c.buf)-c.pos < n+2 {
		c.need = c.pos + n + 2
		return Reply{}, errIncomplete
	}
	if c.buf[c.pos+n] != '\r' || c.buf[c.pos+n+1] != '\n' {
		return Reply{}, ErrProtocol
	}
	r.Text = c.buf[c.pos : c.pos+n : c.pos+n]
	c.pos += n + 2
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
	if n > 0 {
		r.Elems = make([]Reply, 0, min(n, usualArgs))
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

// AppendCommand appends args to b as a command, an array of bulk strings.
func AppendCommand(b []byte, args ...[]byte) []byte {
	b = append(strconv.AppendInt(append(b, '*'), int64(len(args)), 10), "\r\n"...)
	for _, a := range args {
		b = AppendBulk(b, a)
	}
	return b
}

// AppendBulk appends value to b as a bulk string.
func AppendBulk(b, value []byte) []byte {
	b = append(strconv.AppendInt(append(b, '$'), int64(len(value)), 10), "\r\n"...)
	return append(append(b, value...), "\r\n"...)
}
