package rig

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const floodWriteBytes = 16 << 10 // some 400 calls

// BadCaller sends calls that cannot be read (their message is empty) over one connection at full speed, some hundreds with each
// write, and reads whatever it is sent, until the connection ends. sent counts the calls written.
func BadCaller(addr string, sent *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		time.Sleep(time.Millisecond)
		return
	}
	defer conn.Close()
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	var text, block bytes.Buffer
	out, encoder := http2.NewFramer(&text, nil), hpack.NewEncoder(&block)
	text.WriteString(http2.ClientPreface)
	_ = out.WriteSettings()
	_ = out.WriteWindowUpdate(0, 1<<30)
	calls := int64(0)
	for stream := uint32(1); stream < 1<<30; stream += 2 {
		block.Reset()
		for _, h := range callHeaders {
			_ = encoder.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]})
		}
		_ = out.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true})
		_ = out.WriteData(stream, true, make([]byte, 5))
		if calls++; text.Len() < floodWriteBytes {
			continue
		}
		if _, err := conn.Write(text.Bytes()); err != nil {
			return
		}
		sent.Add(calls)
		calls = 0
		text.Reset()
	}
}
