package grpcserver

import (
	"bytes"

	"golang.org/x/net/http2"
)

const frameHeaderBytes = 9

// frameScanner follows the HTTP/2 frames that go one way on a connection, without keeping their payloads.
type frameScanner struct {
	prefaceLeft int // bytes that come before the first frame
	header      [frameHeaderBytes]byte
	headerBytes int // of the frame that has begun
	frame       http2.FrameHeader
	payloadLeft int
	inBlock     bool // a header block has begun and goes on in the next frame
	frames      int  // that have ended
	reader      bytes.Reader
}

// scan follows b and calls ended at the end of each frame.
func (s *frameScanner) scan(b []byte, ended func(http2.FrameHeader)) {
	n := min(s.prefaceLeft, len(b))
	s.prefaceLeft -= n
	for b = b[n:]; len(b) > 0; {
		if s.headerBytes < frameHeaderBytes {
			n := copy(s.header[s.headerBytes:], b)
			s.headerBytes += n
			b = b[n:]
			if s.headerBytes < frameHeaderBytes {
				return
			}
			s.begin()
		}
		n := min(s.payloadLeft, len(b))
		s.payloadLeft -= n
		b = b[n:]
		if s.payloadLeft == 0 {
			s.end()
			ended(s.frame)
		}
	}
}

func (s *frameScanner) begin() {
	s.reader.Reset(s.header[:])
	s.frame, _ = http2.ReadFrameHeader(&s.reader) // it fails only for want of bytes
	s.payloadLeft = int(s.frame.Length)
}

func (s *frameScanner) end() {
	s.headerBytes = 0
	s.frames++
	switch s.frame.Type {
	case http2.FrameHeaders:
		s.inBlock = !s.frame.Flags.Has(http2.FlagHeadersEndHeaders)
	case http2.FrameContinuation:
		s.inBlock = !s.frame.Flags.Has(http2.FlagContinuationEndHeaders)
	}
}

// atBoundary reports whether no frame and no header block has begun that has not ended.
func (s *frameScanner) atBoundary() bool {
	return s.prefaceLeft == 0 && s.headerBytes == 0 && !s.inBlock
}

// openStreams are the streams that a caller has opened on its connection and that have not ended.
type openStreams struct {
	whole  map[uint32]bool // by the stream's ID, whether all of its call has come
	latest uint32          // that the caller has opened
	opened int             // since they were last counted

	inHeaders bool     // of the latest stream
	unhandled []uint32 // IDs of streams whose headers the library may not have handled yet, in order
	refused   []uint32 // IDs of streams whose calls were not begun and whose ends are not written, in order
}

// received takes note of a frame of the caller.
func (o *openStreams) received(f http2.FrameHeader) {
	if f.Type == http2.FrameHeaders && f.StreamID > o.latest {
		if o.whole == nil {
			o.whole = map[uint32]bool{}
		}
		o.latest = f.StreamID
		o.opened++
		o.whole[f.StreamID] = false
		o.inHeaders = true
	}
	if o.inHeaders && endsHeaders(f) {
		o.inHeaders = false
		o.unhandled = append(o.unhandled, f.StreamID)
	}
	if _, open := o.whole[f.StreamID]; open && endsStream(f) {
		o.whole[f.StreamID] = true
	}
	if f.Type == http2.FrameRSTStream {
		delete(o.whole, f.StreamID)
	}
}

// sent takes note of a frame of the server.
func (o *openStreams) sent(f http2.FrameHeader) {
	if f.Type == http2.FrameRSTStream || endsStream(f) {
		delete(o.whole, f.StreamID)
		o.forgetRefused(f.StreamID)
	}
}

// begun takes note that the library has begun the next call, or refused it.
func (o *openStreams) begun(refused bool) {
	if len(o.unhandled) == 0 {
		return
	}
	if refused {
		o.refused = append(o.refused, o.unhandled[0])
	}
	o.unhandled = o.unhandled[1:]
}

// allHandled takes note that the library has handled all that has come: it has refused what was not begun.
func (o *openStreams) allHandled() {
	o.refused = append(o.refused, o.unhandled...)
	o.unhandled = o.unhandled[:0]
}

// forgetRefused drops the refused calls whose ends have been written with that of a stream: the library writes refusals in the order
// in which it has made them, and before the answers of calls that were begun later.
func (o *openStreams) forgetRefused(stream uint32) {
	for len(o.refused) > 0 && o.refused[0] <= stream {
		o.refused = o.refused[1:]
	}
}

// wholeCalls returns of how many open streams all of the call has come.
func (o *openStreams) wholeCalls() (n int) {
	for _, whole := range o.whole {
		if whole {
			n++
		}
	}
	return n
}

// endsHeaders reports whether a frame is the last of a header block.
func endsHeaders(f http2.FrameHeader) bool {
	return f.Type == http2.FrameHeaders && f.Flags.Has(http2.FlagHeadersEndHeaders) || f.Type == http2.FrameContinuation && f.Flags.Has(http2.FlagContinuationEndHeaders)
}

// endsStream reports whether a frame is the last that its sender sends on its stream.
func endsStream(f http2.FrameHeader) bool {
	return f.Type == http2.FrameData && f.Flags.Has(http2.FlagDataEndStream) || f.Type == http2.FrameHeaders && f.Flags.Has(http2.FlagHeadersEndStream)
}
