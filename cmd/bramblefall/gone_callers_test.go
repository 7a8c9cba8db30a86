package main

import (
	"context"
	bigendian "encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

const (
	goneCallers      = 100
	goneCalls        = 300 // that a caller sends at once, whose messages are within its window
	goneHeaderBytes  = 1500
	goneCallersPause = 300 * time.Millisecond
)

// encodeCalls returns calls of firms that are used once, with large headers, and these firms.
func encodeCalls(t *testing.T, ids *floodEnvironment) (firms []string, text string) {
	w := newGRPCWriter()
	for k := range goneCalls {
		firm := fmt.Sprintf("%x", ids.ids.Add(1))
		firms = append(firms, firm)
		message, err := proto.Marshal(rateLimitRequest(firmDescriptor(firm)))
		require.NoError(t, err)
		prefixed := bigendian.BigEndian.AppendUint32([]byte{0}, uint32(len(message)))
		w.beginCall(checkPath, [2]string{"x-padding", fmt.Sprint(k) + strings.Repeat("h", goneHeaderBytes)})
		_ = w.framer.WriteData(w.stream, true, append(prefixed, message...))
	}
	return firms, w.text.String()
}

// Calls to other services began seconds after their callers had closed their connections: the library hears of the end of a connection
// only when it has read all before it, and nobody asked the kernel.
func TestNoCallForCallersThatSendMuchAndGo(t *testing.T) {
	d := newDepartures()
	service := &externalService{answer: func(_ context.Context, r *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
		d.noteTry(r.GetDescriptors()[0].GetEntries()[0].GetValue())
		time.Sleep(goneWorkTime)
		return respondWith(verdictOK)(nil, nil)
	}}
	l := start(t, fixture{rateLimitFile: rateLimitFile(t, service.listen(t)), maxDescriptors: largeDescriptors})
	var ids floodEnvironment
	encoding := make(chan struct{}, goneEncoders)
	began := time.Now()
	var callers sync.WaitGroup
	for range goneCallers {
		callers.Go(func() {
			for time.Since(began) < goneTime {
				if conn, err := net.Dial("tcp", l.grpcAddr); err == nil {
					encoding <- struct{}{}
					firms, text := encodeCalls(t, &ids)
					<-encoding
					_ = writeAll(conn, text)
					_ = conn.Close()
					d.noteEnd(firms)
				}
				time.Sleep(goneCallersPause)
			}
		})
	}
	late := machineLateness(t, began.Add(goneTime))
	callers.Wait()
	time.Sleep(goneAfterTime)
	t.Logf("%d MB at the highest", l.memoryMB("VmHWM"))
	d.check(t, late)
}
