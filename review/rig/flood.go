package rig

import (
	"bufio"
	"bytes"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// BadCaller sends calls that cannot be read (their message is empty) over one connection: so many at once with one write, and as
// many again once all have been turned away. It reads whatever it is sent and keeps to HTTP/2; atOnce must not be more than the
// streams that the front allows. It returns when the connection ends. sent counts the calls written.
func BadCaller(addr string, atOnce int, sent *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		time.Sleep(time.Millisecond)
		return
	}
	defer conn.Close()
	in := http2.NewFramer(nil, bufio.NewReaderSize(conn, 32<<10))
	var text, block bytes.Buffer
	out, encoder := http2.NewFramer(&text, nil), hpack.NewEncoder(&block)
	text.WriteString(http2.ClientPreface)
	_ = out.WriteSettings()
	_ = out.WriteWindowUpdate(0, 1<<30)
	stream, open, written := uint32(1), 0, int64(0)
	for {
		for open == 0 && written < int64(atOnce) {
			block.Reset()
			for _, h := range callHeaders {
				_ = encoder.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]})
			}
			_ = out.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true})
			_ = out.WriteData(stream, true, make([]byte, 5))
			stream += 2
			written++
		}
		if text.Len() > 0 {
			if _, err := conn.Write(text.Bytes()); err != nil {
				return
			}
			text.Reset()
			open += int(written)
			sent.Add(written)
			written = 0
		}
		f, err := in.ReadFrame()
		if err != nil {
			return
		}
		switch f := f.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				_ = out.WriteSettingsAck()
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				_ = out.WritePing(true, f.Data)
			}
		case *http2.HeadersFrame:
			if f.StreamEnded() {
				open--
			}
		case *http2.RSTStreamFrame:
			open--
		case *http2.GoAwayFrame:
			return
		}
	}
}
