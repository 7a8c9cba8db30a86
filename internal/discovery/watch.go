package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"bramblefall/internal/crash"
	"bramblefall/internal/socket"
)

// word is what a watch has to say.
type word struct {
	watch int
	kind  kind
	mid   bool  // it stands in the middle of a line
	list  *List // of a whole line; of one that broke off, what had come
	err   error
}

type kind uint8

const (
	line  kind = iota // a whole list has come; without one: an empty line between lists
	doubt             // nothing has come for too long
	over              // the connection has ended
)

const (
	lastLook = 5 * time.Millisecond
	never    = time.Hour
)

// What one list may hold. The need is 57,000 servers, of 127 bytes each in a line and 180 indented. There is room for 4.6 times
// as many and for entries 32 times as large. Guards against a list, or something else, that never ends: it is refused, and the
// servers known stay.
const (
	mostServers = 1 << 18  // of one list, and of all changes to it
	mostText    = 32 << 20 // their names, addresses and words; 57,000 of the usual ones have 2 MB
	mostEntry   = 4 << 10  // in bytes, with what stands before it; so may any other key's value be, or blanks
	mostKeys    = 64       // of the list itself: it has three
	mostHeader  = 64 << 10 // of the answer
)

var (
	errRefused = errors.New("discovery's list is refused")
	errStatus  = errors.New("discovery refuses")
)

func refused(text string, most int) error { return fmt.Errorf("%w: "+text, errRefused, most) }

// watch reads one watch until it ends or here does. Words are said as long as the address is followed.
func (c *Client) watch(here, followed context.Context, n int, url string, words chan<- word) {
	say := func(w word) {
		w.watch = n
		select {
		case words <- w:
		case <-followed.Done():
		}
	}
	p := &pulse{terms: c.terms, stalls: int(c.stalls.Load())}
	p.timer = crash.AfterFunc(never, func() {
		if !p.late() {
			say(word{kind: doubt, mid: p.mid()})
		}
	})
	defer p.timer.Stop()
	p.timer.Reset(c.terms.head())
	l, err := lists(here, url, p, func(l *List) { say(word{kind: line, list: l}) })
	// Guards against the text of a refusal that is taken for the beginning of a list, and asked for again as soon.
	mid := p.mid() && !errors.Is(err, errStatus)
	say(word{kind: over, mid: mid, list: l, err: err})
}

// lists hands on the lists of an answer as they come, and nil for an empty line between them. With the error comes what had
// come of the last.
func lists(ctx context.Context, url string, p *pulse, take func(*List)) (*List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	answer, err := (&http.Transport{DialContext: p.dial, DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: mostHeader}).RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s", errStatus, answer.Status)
	}
	in := decoder(&body{from: answer.Body, pulse: p, empty: func() { take(nil) }})
	for {
		l, err := next(in)
		if err != nil {
			return &l, errors.Join(err, ctx.Err())
		}
		take(&l)
	}
}

func decoder(r *body) *json.Decoder {
	in := json.NewDecoder(r)
	r.used = in.InputOffset
	return in
}

// next reads one list, entry by entry: what came before it broke off is not lost.
func next(in *json.Decoder) (l List, err error) {
	if err = open(in, '{'); err != nil {
		return l, err
	}
	for keys := 0; in.More(); keys++ {
		key, err := in.Token()
		if err != nil {
			return l, cut(err)
		}
		if keys == mostKeys {
			return l, refused("more than %d keys", mostKeys)
		}
		switch key {
		case "version":
			err = in.Decode(&l.Version)
		case "full":
			err = in.Decode(&l.Full)
		case "servers":
			err = l.entries(in)
		default:
			var other json.RawMessage
			err = in.Decode(&other)
		}
		if err != nil {
			return l, cut(err)
		}
	}
	_, err = in.Token()
	return l, cut(err)
}

func (l *List) entries(in *json.Decoder) error {
	if err := open(in, '['); err != nil {
		return cut(err)
	}
	for text := 0; in.More(); {
		var s Server
		if err := in.Decode(&s); err != nil {
			return cut(err)
		}
		text += len(s.ID) + len(s.Addr) + len(s.Zone) + len(s.Kind) + len(s.State)
		if len(l.Servers) == mostServers {
			return refused("more than %d servers", mostServers)
		}
		if text > mostText {
			return refused("its servers have more than %d bytes of text", mostText)
		}
		l.Servers = append(l.Servers, s)
	}
	_, err := in.Token()
	return cut(err)
}

func open(in *json.Decoder, d json.Delim) error {
	t, err := in.Token()
	if err == nil && t != d {
		err = fmt.Errorf("discovery's list: %v where %v belongs", t, d)
	}
	return err
}

// cut names an end in the middle of a list for what it is.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// pulse notes whether an answer lives, on the bare connection: net/http hands on a chunk once it is whole, so that one
// which stops short looks to a reader of the body like none.
type pulse struct {
	terms  terms
	stalls int // of watches before
	timer  *time.Timer
	look   atomic.Bool // the time is over, and the connection is given a last look
	open   atomic.Bool // the last byte on the connection ended no line
	list   atomic.Bool // a list has begun in the body, and not ended
}

// mid tells whether the answer stands in the middle of a line, or of a list that goes over several. Guards against an
// indented list that stops at the end of one of its lines and is waited for as if it stood between two lists.
func (p *pulse) mid() bool { return p.open.Load() || p.list.Load() }

// late tells, where the time is over, whether the connection may have bytes that were not read yet. Guards against a limiter
// that stood still, or without its processor, and doubts an answer that came meanwhile: a long list would begin anew.
func (p *pulse) late() bool {
	if p.look.Swap(true) {
		return false
	}
	p.timer.Reset(lastLook)
	return true
}

func (p *pulse) beat() {
	p.look.Store(false)
	if p.mid() {
		p.timer.Reset(p.terms.patience(p.stalls))
	} else {
		p.timer.Reset(silence)
	}
}

// within notes whether the body stands in a list.
func (p *pulse) within(list bool) {
	if p.list.Swap(list) != list {
		p.beat()
	}
}

func (p *pulse) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	// The standard library's connections: net/http closes one while it reads from it, which netpoll's do not bear.
	// Guards against a failure of a moment that is taken for discovery's refusal: the next ask could be seconds away.
	conn, err := socket.RetryDial(ctx, dialLimit, func() (net.Conn, error) {
		return (&net.Dialer{Timeout: dialLimit}).DialContext(ctx, network, addr)
	})
	if err != nil {
		return nil, err
	}
	return beating{conn, p}, nil
}

type beating struct {
	net.Conn
	pulse *pulse
}

func (c beating) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.pulse.open.Store(b[n-1] != '\n')
		c.pulse.beat()
	}
	return n, err
}

// body hands on the lists of an answer, and tells of the empty lines between them in their turn: a read ends with a list,
// so that the next one comes when that list has been taken. Guards against the end of any line being heard as a whole word.
type body struct {
	from  io.Reader
	pulse *pulse
	empty func()
	used  func() int64 // bytes of what was handed on of which the decoder has made something

	buf  [4 << 10]byte
	left []byte // of buf: what is not handed on yet
	err  error  // behind left

	list   bool // one has begun
	depth  int  // of its objects and arrays that are open
	text   bool // a string is
	escape bool // and its next byte ends nothing
	words  bool // something stands on this line
	blanks int  // on this line, beside lists
	handed int64
}

func (r *body) Read(b []byte) (int, error) {
	for {
		switch {
		case len(r.left) > 0 && !r.list:
			r.between()
		case len(r.left) > 0:
			room := mostEntry - (r.handed - r.used())
			if room > 0 {
				return r.hand(b[:min(int64(len(b)), room)]), nil
			}
			r.left, r.err = nil, refused("a value of more than %d bytes", mostEntry)
		case r.err != nil:
			return 0, r.err // alone: json's decoder drops an error beside bytes that end a value
		default:
			r.pulse.within(r.list)
			n, err := r.from.Read(r.buf[:])
			r.left, r.err = r.buf[:n], err
		}
	}
}

// between passes over what stands between two lists, up to the next.
func (r *body) between() {
	empty := false
	defer func() {
		if empty {
			r.empty()
		}
	}()
	for len(r.left) > 0 {
		switch c := r.left[0]; c {
		case '\n':
			empty = empty || !r.words
			r.words, r.blanks = false, 0
		case ' ', '\t', '\r':
			if r.blanks++; r.blanks > mostEntry {
				r.left, r.err = nil, refused("more than %d blanks where a list belongs", mostEntry)
				return
			}
		case '{':
			r.list, r.words = true, true
			return
		default:
			r.left, r.err = nil, fmt.Errorf("discovery's list: %q where { belongs", c)
			return
		}
		r.left = r.left[1:]
	}
}

// hand copies what has come of a list, up to its end. Whether it is in order is the decoder's to say.
func (r *body) hand(b []byte) int {
	n := 0
	for r.list && n < min(len(b), len(r.left)) {
		c := r.left[n]
		n++
		switch {
		case r.escape:
			r.escape = false
		case r.text:
			r.text, r.escape = c != '"', c == '\\'
		case c == '"':
			r.text = true
		case c == '{' || c == '[':
			r.depth++
		case c == '}' || c == ']':
			r.depth--
			r.list = r.depth > 0
		}
	}
	copy(b, r.left[:n])
	r.left = r.left[n:]
	r.handed += int64(n)
	return n
}
