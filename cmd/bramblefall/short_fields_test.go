package main

import (
	"context"
	bigendian "encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

const (
	shortFieldsCallers = 300
	shortFieldsBytes   = 60000 // of one request's short fields
	shortFieldsCalls   = 4     // that a caller has out
	emptyField         = 2     // bytes on the wire: a tag, and a length of 0
)

// manyTerms returns terms of a request: those that it needs, and short ones with names that all differ.
func manyTerms(terms string) string {
	var all strings.Builder
	all.WriteString(terms)
	for n := 0; all.Len() < shortFieldsBytes; n++ {
		fmt.Fprintf(&all, ",x%x", n)
	}
	return all.String()
}

// shortTermsRequest is a request with very many short terms.
func shortTermsRequest(e *floodEnvironment) string {
	args := askArgs(fmt.Sprintf("%012x", e.ids.Add(1)))
	args[3] = manyTerms(args[3])
	return encodeCommand(args...)
}

// messageOfEmptyFields is a call's message with very many empty fields: descriptors, or the entries of one.
func messageOfEmptyFields(t *testing.T, inDescriptor bool) []byte {
	message, err := proto.Marshal(rateLimitRequest(firmDescriptor("a1")))
	require.NoError(t, err)
	number := (&rlsv3.RateLimitRequest{}).ProtoReflect().Descriptor().Fields().ByName("descriptors").Number()
	const entries = 1 // the number of the field in a descriptor
	if !inDescriptor {
		return append(message, repeatedEmpty(number)...)
	}
	return protowire.AppendBytes(protowire.AppendTag(message, number, protowire.BytesType), repeatedEmpty(entries))
}

func repeatedEmpty(number protowire.Number) []byte {
	one := protowire.AppendBytes(protowire.AppendTag(nil, number, protowire.BytesType), nil)
	return []byte(strings.Repeat(string(one), shortFieldsBytes/emptyField))
}

// sendMessages writes calls with this message, as many again once all are answered.
func sendMessages(message []byte) func(context.Context, *floodEnvironment, net.Conn) {
	prefixed := append(bigendian.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...)
	return func(ctx context.Context, _ *floodEnvironment, conn net.Conn) {
		w := newGRPCWriter()
		_ = w.framer.WriteSettings()
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for ctx.Err() == nil {
			for range shortFieldsCalls {
				w.beginCall(checkPath)
				for rest := prefixed; len(rest) > 0; {
					n := min(len(rest), 16<<10)
					_ = w.framer.WriteData(w.stream, n == len(rest), rest[:n])
					rest = rest[n:]
				}
			}
			if w.flush(conn) != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// Requests of very many short fields took many times their bytes where they were decoded, and much time, all at once.
func TestShortFieldsStayUnderMemoryLimit(t *testing.T) {
	callers := func(e *floodEnvironment) (string, string) { return "tcp", e.limiter.grpcAddr }
	floods := []flood{
		{name: "requests of many terms", attackers: floodRoom, attack: sendEndlessly(shortTermsRequest, true)},
		{name: "commands of many values, half of them sent", attackers: floodRoom, attack: func(ctx context.Context, _ *floodEnvironment, conn net.Conn) {
			_ = writeAll(conn, "*64\r\n"+strings.Repeat("$1\r\na\r\n", 32))
			_ = conn.SetReadDeadline(time.Now().Add(floodDuration))
			_, _ = io.Copy(io.Discard, conn)
		}},
		{name: "commands of many values", attackers: floodRoom,
			attack: sendEndlessly(repeated("*64\r\n"+strings.Repeat("$1\r\na\r\n", 64), 100), true)},
		{name: "calls of many descriptors", attackers: shortFieldsCallers, attack: sendMessages(messageOfEmptyFields(t, false)), setUp: withRateLimitFront, network: callers},
		{name: "calls of many entries", attackers: shortFieldsCallers, attack: sendMessages(messageOfEmptyFields(t, true)), setUp: withRateLimitFront, network: callers},
	}
	var runs []floodRun
	for _, f := range floods {
		runs = append(runs, floodRun{flood: f, memoryMB: smallMemoryCapMB})
	}
	playFloods(t, firstFloodSeed, runs)
}
