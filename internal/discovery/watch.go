package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bramblefall/internal/crash"
)

// watchEvent is what a watch reports to Client.follow.
type watchEvent struct {
	watch      int
	kind       eventKind
	midMessage bool  // the watch stopped within a line, or within a list of several lines
	list       *List // messageReceived: the list, nil for an empty line; watchEnded: the complete entries of a truncated list
	err        error
}

type eventKind uint8

const (
	messageReceived eventKind = iota // a complete list, or an empty line between lists
	answerBegun                      // the header of the response has come
	watchStalled                     // nothing was received within the timeout
	watchEnded                       // the connection has ended
)

const (
	finalCheckDelay = 5 * time.Millisecond // lets bytes that are already on the connection be read before a stall is reported
	noTimeout       = time.Hour            // the timer is reset right after it is created
)

// Limits of one list. The largest expected list has 57,000 servers, of 127 bytes each on one line or 180 indented; the limits
// allow 4.6 times as many and entries 32 times as large. A response that exceeds them, for instance one that never ends, is
// rejected, and the servers known before are kept.
const (
	maxServers     = 1 << 18  // in a list, and with all changes to it
	minServerLimit = 1024     // servers that a limit by memory allows in any case
	serverBytes    = 1400     // that a listed server takes in all parts of the program
	textBytes      = 128      // of all strings in the servers' entries, for each server that is allowed; 57,000 usual entries have 2 MB
	maxValueBytes  = 4 << 10  // of one server's entry or any other key's value, with what precedes it, and of blanks between lists
	maxKeys        = 64       // of the list object, which has three
	maxHeaderBytes = 64 << 10 // of the response
)

// listLimits bound one list.
type listLimits struct{ servers int }

// limitsByMemory returns the limits of a list that may take so many bytes.
func limitsByMemory(bytes int64) listLimits {
	return listLimits{servers: int(min(max(bytes/serverBytes, minServerLimit), maxServers))}
}

var (
	errListRejected = errors.New("discovery's list is refused")
	errHTTPStatus   = errors.New("discovery did not answer with status 200")
)

// rejectList returns an errListRejected whose text has the limit that was exceeded.
func rejectList(text string, limit int) error { return fmt.Errorf("%w: "+text, errListRejected, limit) }

// watch reads one watch until it ends or ctx does, and sends its events until followCtx ends.
func (c *Client) watch(ctx, followCtx context.Context, n int, url string, events chan<- watchEvent) {
	send := func(w watchEvent) {
		w.watch = n
		select {
		case events <- w:
		case <-followCtx.Done():
		}
	}
	m := &activityMonitor{timing: c.timing, stalls: int(c.stalls.Load())}
	m.timer = crash.AfterFunc(noTimeout, func() {
		if m.isStalled() {
			send(watchEvent{kind: watchStalled, midMessage: m.midMessage()})
		}
	})
	defer m.timer.Stop()
	m.timer.Reset(c.timing.headerTimeout())
	l, err := readLists(ctx, url, m, c.limits, func() { send(watchEvent{kind: answerBegun}) },
		func(l *List) { send(watchEvent{kind: messageReceived, list: l}) })
	// The body of an HTTP error is not the start of a list, after which the next request would come sooner.
	midMessage := m.midMessage() && !errors.Is(err, errHTTPStatus)
	send(watchEvent{kind: watchEnded, midMessage: midMessage, list: l, err: err})
}

// readLists requests url, calls begin once the answer has begun, and handle for each list of the response, and with nil for an empty line between lists. With
// the error it returns the complete entries of a list that was truncated.
func readLists(ctx context.Context, url string, m *activityMonitor, limits listLimits, begin func(), handle func(*List)) (*List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	answer, err := (&http.Transport{DialContext: m.dial, DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes}).RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s", errHTTPStatus, answer.Status)
	}
	begin()
	in := newDecoder(&listReader{source: answer.Body, monitor: m, onEmptyLine: func() { handle(nil) }})
	for {
		l, err := readList(in, limits)
		if err != nil {
			return &l, errors.Join(err, ctx.Err())
		}
		handle(&l)
	}
}

// newDecoder returns a decoder of the lists that r delivers, and lets r limit the size of values by the decoder's offset.
func newDecoder(r *listReader) *json.Decoder {
	in := json.NewDecoder(r)
	r.consumed = in.InputOffset
	return in
}

// readList reads one list entry by entry, so that the entries before a truncation are kept.
func readList(in *json.Decoder, limits listLimits) (l List, err error) {
	if err = expectDelim(in, '{'); err != nil {
		return l, err
	}
	for keys := 0; in.More(); keys++ {
		key, err := in.Token()
		if err != nil {
			return l, truncated(err)
		}
		if keys == maxKeys {
			return l, rejectList("more than %d keys", maxKeys)
		}
		switch key {
		case "version":
			err = in.Decode(&l.Version)
		case "full":
			err = in.Decode(&l.Full)
		case "servers":
			err = l.readServers(in, limits)
		default:
			var other json.RawMessage
			err = in.Decode(&other)
		}
		if err != nil {
			return l, truncated(err)
		}
	}
	_, err = in.Token()
	return l, truncated(err)
}

func (l *List) readServers(in *json.Decoder, limits listLimits) error {
	if err := expectDelim(in, '['); err != nil {
		return truncated(err)
	}
	text := 0
	for entries := 0; in.More(); entries++ {
		var s Server
		if err := in.Decode(&s); err != nil {
			return truncated(err)
		}
		text += len(s.ID) + len(s.Addr) + len(s.Zone) + len(s.Kind) + len(s.State)
		if entries == limits.servers {
			return rejectList("more than %d servers", limits.servers)
		}
		if most := limits.servers * textBytes; text > most {
			return rejectList("its servers have more than %d bytes of text", most)
		}
		if s.ID != "" { // an entry without an id names no server
			l.Servers = append(l.Servers, s)
		}
	}
	_, err := in.Token()
	return truncated(err)
}

// expectDelim reads the next token and returns an error unless it is d.
func expectDelim(in *json.Decoder, d json.Delim) error {
	t, err := in.Token()
	if err == nil && t != d {
		err = fmt.Errorf("discovery's list: got %v, want %v", t, d)
	}
	return err
}

// truncated turns io.EOF within a list into io.ErrUnexpectedEOF.
func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// listReader passes on the lists of a response body and calls onEmptyLine for the empty lines between them, in order: a Read
// returns at the end of a list, so that the next one starts only after that list has been handled. The end of a line that
// holds part of a list is not a message.
type listReader struct {
	source      io.Reader
	monitor     *activityMonitor
	onEmptyLine func()
	consumed    func() int64 // bytes that the decoder has consumed of those delivered

	buf    [4 << 10]byte
	unread []byte // the part of buf that was not delivered yet
	err    error  // returned after unread

	inList      bool // within a list
	depth       int  // objects and arrays that are open in the list
	inString    bool
	escaped     bool  // the next byte of the string follows a backslash
	lineHasText bool  // the current line is not empty
	blanks      int   // on the current line, outside of lists
	delivered   int64 // bytes passed on by Read
}

func (r *listReader) Read(b []byte) (int, error) {
	for {
		switch {
		case len(r.unread) > 0 && !r.inList:
			r.skipToList()
		case len(r.unread) > 0:
			room := maxValueBytes - (r.delivered - r.consumed())
			if room > 0 {
				return r.copyList(b[:min(int64(len(b)), room)]), nil
			}
			r.unread, r.err = nil, rejectList("a value of more than %d bytes", maxValueBytes)
		case r.err != nil:
			return 0, r.err // without bytes: json.Decoder drops an error that comes with the bytes that end a value
		default:
			r.monitor.setInList(r.inList)
			n, err := r.source.Read(r.buf[:])
			r.unread, r.err = r.buf[:n], err
		}
	}
}

// skipToList consumes what is between two lists, up to the start of the next.
func (r *listReader) skipToList() {
	empty := false
	defer func() {
		if empty {
			r.onEmptyLine()
		}
	}()
	for len(r.unread) > 0 {
		switch c := r.unread[0]; c {
		case '\n':
			empty = empty || !r.lineHasText
			r.lineHasText, r.blanks = false, 0
		case ' ', '\t', '\r':
			if r.blanks++; r.blanks > maxValueBytes {
				r.unread, r.err = nil, rejectList("more than %d blanks before a list", maxValueBytes)
				return
			}
		case '{':
			r.inList, r.lineHasText = true, true
			return
		default:
			r.unread, r.err = nil, fmt.Errorf("discovery's list: got %q, want {", c)
			return
		}
		r.unread = r.unread[1:]
	}
}

// copyList copies the unread part of a list, up to its end. Whether the list is valid JSON is left to the decoder.
func (r *listReader) copyList(b []byte) int {
	n := 0
	for r.inList && n < min(len(b), len(r.unread)) {
		c := r.unread[n]
		n++
		switch {
		case r.escaped:
			r.escaped = false
		case r.inString:
			r.inString, r.escaped = c != '"', c == '\\'
		case c == '"':
			r.inString = true
		case c == '{' || c == '[':
			r.depth++
		case c == '}' || c == ']':
			r.depth--
			r.inList = r.depth > 0
		}
	}
	copy(b, r.unread[:n])
	r.unread = r.unread[n:]
	r.delivered += int64(n)
	return n
}
