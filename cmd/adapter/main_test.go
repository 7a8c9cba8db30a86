package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"bramblefall/internal/wire"
	"bramblefall/logic"
)

func batch(records ...byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, 1)
	b = binary.BigEndian.AppendUint32(b, uint32(12+len(records)))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(1))
	return append(binary.BigEndian.AppendUint32(b, 1), records...)
}

func TestRunEndsWithItsInput(t *testing.T) {
	var out bytes.Buffer
	empty := binary.BigEndian.AppendUint32(nil, 0)
	empty = append(empty, 0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 9)
	if err := run(bytes.NewReader(empty), &out); err != nil {
		t.Fatal(err)
	}
	want := []byte{0, 0, 0, 0, 0, 0, 0, 4, 0, 0, 0, 9}
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply %x, want %x", out.Bytes(), want)
	}
}

// A malformed frame must not get a partial reply: the simulator would take it for a complete one.
func TestRunWritesNothingForABadFrame(t *testing.T) {
	var out bytes.Buffer
	err := run(bytes.NewReader(batch(17, 0, 0)), &out)
	if err == nil || !strings.Contains(err.Error(), "record 0") || out.Len() != 0 {
		t.Errorf("error %v, %d bytes out", err, out.Len())
	}
}

func TestEventForUnknownInstanceIsIgnored(t *testing.T) {
	var out bytes.Buffer
	if err := run(bytes.NewReader(batch(17, 0, 0, 0, 3, 0, 0, 0, 0)), &out); err != nil || out.Len() != 12 {
		t.Errorf("error %v, %d bytes out", err, out.Len())
	}
}

func TestPanicBecomesFault(t *testing.T) {
	broken := new(logic.Gateway) // its maps are nil, so that handling an event panics
	gateways := map[uint32]*logic.Gateway{3: broken}
	var reply wire.Reply
	record := wire.Record{Instance: 3, Event: logic.Timer{Token: 5}}
	record.Event = logic.ServerList{Servers: []logic.Server{{ID: 1, State: logic.Ready}}}
	if err := applyRecord(gateways, 0, record, &reply); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := reply.WriteTo(&out, 1); err != nil {
		t.Fatal(err)
	}
	if out.Len() < 20 || out.Bytes()[12] != 89 || !strings.Contains(out.String(), "panic: ") {
		t.Errorf("reply %x", out.Bytes())
	}
	if gateways[3] != nil {
		t.Error("instance 3 still exists after its module panicked, want it removed")
	}
}
