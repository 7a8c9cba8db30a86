package rig

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"time"

	entriesv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/common/ratelimit/v3"
	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"
)

// callHeaders are the headers of a call of the rate limit service.
var callHeaders = [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit"},
	{":authority", "limiter"}, {"content-type", "application/grpc"}, {"te", "trailers"}}

// Proxy is a proxy's HTTP/2 connection to the gRPC front. As HTTP/2 allows, it sends its call right behind the preface of the
// connection and does not wait for the server's settings.
type Proxy struct {
	c      *Case
	name   string
	conn   net.Conn
	framer *http2.Framer
	stream uint32 // of the last call
}

// DialProxy connects a proxy to the gRPC front: it sends the preface and its settings.
func (c *Case) DialProxy(name, addr string) (*Proxy, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	p := &Proxy{c: c, name: name, conn: conn, framer: http2.NewFramer(conn, conn)}
	if _, err := conn.Write([]byte(http2.ClientPreface)); err != nil {
		return nil, err
	}
	return p, p.framer.WriteSettings()
}

// Close ends the connection.
func (p *Proxy) Close() { _ = p.conn.Close() }

// Rest reads what the front sends and acknowledges its settings and pings, as a proxy does that has no call to make. It returns
// when the connection has ended.
func (p *Proxy) Rest() {
	for {
		f, err := p.framer.ReadFrame()
		if err != nil || p.housekeeping(f) != nil {
			return
		}
	}
}

// housekeeping answers the frames that are no part of a call.
func (p *Proxy) housekeeping(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.SettingsFrame:
		if !f.IsAck() {
			return p.framer.WriteSettingsAck()
		}
	case *http2.PingFrame:
		if !f.IsAck() {
			return p.framer.WritePing(true, f.Data)
		}
	}
	return nil
}

// Call writes a call, behind the end of the one before, and waits for its end. answered tells whether the front gave any answer (a status, a reset of the stream or
// the end of the connection) within the time; the text says which.
func (p *Proxy) Call(firm, tier, class string, deadline, within time.Duration) (answered bool, text string) {
	p.stream = (p.stream + 1) | 1
	message, err := proto.Marshal(&rlsv3.RateLimitRequest{Domain: "pallet-exchange", Descriptors: []*entriesv3.RateLimitDescriptor{{
		Entries: []*entriesv3.RateLimitDescriptor_Entry{{Key: "firm", Value: firm}, {Key: "tier", Value: tier}, {Key: "class", Value: class}}}}})
	p.c.Check(err)
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, h := range append(callHeaders[:len(callHeaders):len(callHeaders)], [2]string{"grpc-timeout", fmt.Sprintf("%dm", deadline.Milliseconds())}) {
		p.c.Check(encoder.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]}))
	}
	if err := p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: p.stream, BlockFragment: block.Bytes(), EndHeaders: true}); err != nil {
		return true, "connection ended: " + err.Error()
	}
	data := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message)))
	if err := p.framer.WriteData(p.stream, true, append(data, message...)); err != nil {
		return true, "connection ended: " + err.Error()
	}
	began := time.Now()
	p.c.Note("%s: call of firm %s written whole, it waits for %v", p.name, firm, deadline)
	answered, text = p.await(began.Add(within))
	p.c.Note("%s: %s after %v", p.name, text, time.Since(began).Round(time.Millisecond))
	return answered, text
}

func (p *Proxy) await(until time.Time) (answered bool, text string) {
	_ = p.conn.SetReadDeadline(until)
	verdict := ""
	for {
		f, err := p.framer.ReadFrame()
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return false, "no answer, and the connection is still open"
		}
		if err != nil {
			return true, "connection ended: " + err.Error()
		}
		switch f := f.(type) {
		case *http2.RSTStreamFrame:
			return true, "stream reset: " + f.ErrCode.String()
		case *http2.DataFrame:
			if b := f.Data(); f.StreamID == p.stream && len(b) > 5 {
				var answer rlsv3.RateLimitResponse
				if proto.Unmarshal(b[5:], &answer) == nil {
					verdict = "verdict " + answer.GetOverallCode().String()
				}
			}
		case *http2.HeadersFrame:
			if f.StreamID == p.stream && f.StreamEnded() {
				return true, "answered, " + verdict
			}
		default:
			if err := p.housekeeping(f); err != nil {
				return true, "connection ended: " + err.Error()
			}
		}
	}
}
