package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"bramblefall/logic"
)

func unhex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// frame encodes records as batch 7, at 1.5 s.
func frame(count uint32, records []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, count)
	b = binary.BigEndian.AppendUint32(b, uint32(12+len(records)))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(1.5))
	return append(binary.BigEndian.AppendUint32(b, 7), records...)
}

func TestReadBatch(t *testing.T) {
	in := unhex(t, `00000003 0000004a 4020d3126e978d50 0000000c
		17 00000003 5d3a91c4 0000 00000000 91f03b7c55d20a64 3fceb851eb851eb8 40000000 40400000 3f800000 01
		11 00000003 0000004d
		12 00000005 0e6f2b19`)
	b, err := ReadBatch(bytes.NewReader(in))
	if err != nil {
		t.Fatal(err)
	}
	if b.Seq != 12 || b.Now.Round(time.Millisecond) != 8412*time.Millisecond {
		t.Errorf("got batch %d at %v, want batch 12 at 8.412s", b.Seq, b.Now)
	}
	want := []Record{
		{3, logic.Request{ID: 0x5d3a91c4, Customer: 0x91f03b7c55d20a64, TTL: 240 * time.Millisecond, Units: 2,
			Spread: 3, FirstGateway: 1}},
		{3, logic.Timer{Token: 77}},
		{5, logic.ClientGone{ID: 0x0e6f2b19}},
	}
	for k := range want {
		if b.Records[k] != want[k] {
			t.Errorf("record %d: %+v, want %+v", k, b.Records[k], want[k])
		}
	}
}

func TestOutcomeAndLists(t *testing.T) {
	b, err := ReadBatch(bytes.NewReader(frame(2, unhex(t, `
		15 00000003 5d3a91c4 00 0a124a07 1f93 00c8 3f92f1a9fbe76c8b 01 0056 0003 01 3f000000
		13 00000003 0000000000000029 01 00000001 3fc00000 0a9011f2 1fbc 0002 0001 03 02 4018666666666666`))))
	if err != nil {
		t.Fatal(err)
	}
	o := b.Records[0].Event.(logic.Outcome)
	if o.Server != 0x0a124a071f93 || o.Status != logic.OK || !o.RequestOver || o.UsedPercentPlusOne != 86 || o.Units != 3 ||
		len(o.Load) != 1 || o.Load[0] != 0.5 {
		t.Errorf("outcome %+v", o)
	}
	l := b.Records[1].Event.(logic.ServerList)
	want := logic.Server{ID: 0x0a9011f21fbc, Weight: 1.5, Cell: 2, Kind: 1, Zone: 3, State: logic.Draining,
		Started: 6100 * time.Millisecond}
	if !l.Complete || !l.Cached || len(l.Servers) != 1 || l.Servers[0] != want {
		t.Errorf("list %+v", l)
	}
}

func TestBadFrames(t *testing.T) {
	huge := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 1), math.MaxUint32)
	good := frame(1, unhex(t, "11 00000003 0000004d"))
	cases := []struct {
		name string
		in   []byte
		want string
	}{
		{"half a header", good[:5], "frame header"},
		{"half a body", good[:15], "frame body"},
		{"length under the header", unhex(t, "00000000 00000004 00000000"), "under the header"},
		{"huge length", append(huge, 1, 2, 3), "frame body"},
		{"unknown code", frame(1, unhex(t, "63 00000003")), "batch 7, record 0: unknown event code 99"},
		{"short record", frame(2, unhex(t, "11 00000003 0000004d 11 00")), "batch 7, record 1: event code 17 is cut short"},
		{"bytes left", frame(0, []byte{1}), "behind the last record"},
		{"huge list", frame(1, unhex(t, "13 00000003 0000000000000029 01 ffffffff")), "cut short"},
		{"huge settings", frame(1, unhex(t, "18 00000003 0000000000000029 ffffffff")), "cut short"},
		{"unknown result", frame(1, unhex(t, "10 00000003 0a124a07 1f93 0001 3f92f1a9fbe76c8b 00")), "unknown result 1"},
		{"unknown list mode", frame(1, unhex(t, "13 00000003 0000000000000029 09 00000000")), "unknown list mode"},
	}
	for _, c := range cases {
		_, err := ReadBatch(bytes.NewReader(c.in))
		if err == nil || !strings.Contains(err.Error(), c.want) || errors.Is(err, io.EOF) {
			t.Errorf("%s: error %v, want one with %q", c.name, err, c.want)
		}
	}
	if _, err := ReadBatch(bytes.NewReader(nil)); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: got error %v, want io.EOF", err)
	}
}

func TestReply(t *testing.T) {
	var r Reply
	actions := []logic.Action{
		logic.Send{ID: 0x5d3a91c4, Server: 0x0a124a071f93, Timeout: 80 * time.Millisecond},
		logic.SetTimer{Token: 77, After: 500 * time.Millisecond},
	}
	for _, a := range actions {
		if err := r.Add(3, a); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Add(5, logic.Log{Text: "two servers unknown"}); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := r.WriteTo(&out, 12); err != nil {
		t.Fatal(err)
	}
	want := unhex(t, `00000003 0000004a 0000000c
		50 00000003 5d3a91c4 0a124a07 1f93 3fb47ae147ae147b
		54 00000003 0000004d 3fe0000000000000
		58 00000005 0013 74776f207365727665727320756e6b6e6f776e`)
	want[7] = byte(len(want) - 8)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
	if err := r.Add(1, 5); err == nil {
		t.Error("Add(5): got no error, want one for an unknown action")
	}
}

func TestDurations(t *testing.T) {
	for _, c := range []struct {
		in   float64
		want time.Duration
	}{{0.25, 250 * time.Millisecond}, {math.NaN(), 0}, {math.Inf(1), (1 << 33) * time.Second},
		{math.Inf(-1), -(1 << 33) * time.Second}} {
		if got := toDuration(c.in); got != c.want {
			t.Errorf("%v: %v, want %v", c.in, got, c.want)
		}
	}
}

const validSettings = `balancers=3
rank=1
zone=2
zones=a,b,c
discovery=subscribe
rules.askWithin=10.0
extra.hasCounter=true
extra.countLimit=0.03
extra.settles=false
extra.meter=1.0
extra.unitsTop=4
caps.probes=true
caps.cancelling=true
caps.peers=false
caps.retryAfter=true
caps.maxRetryAfter=2.0
caps.maxAttempts=5
resolution=0.002
rules.startCapacity=0.21
rules.cold=16.0
rules.fall=1.0
rules.fallMultiple=2.0
rules.drainGrace=0.25
report.how=pull
report.fields=outstanding,recent_ms,novelty
classes.count=2
classes.0.aim=0.6
classes.0.deadline=1.5
classes.0.worth=3.0
classes.0.lateValue=0.2
classes.0.streamed=false
classes.0.semantics=guarded
classes.0.keyScope=cell
classes.0.keyTtl=1.2
classes.1.aim=0.6
classes.1.deadline=1.5
classes.1.worth=3.0
classes.1.lateValue=0.2
classes.1.streamed=true
classes.1.semantics=single_shot
tariffs.count=1
tariffs.0.perSecond=55.0
tariffs.0.depth=140.0
tariffs.0.concurrency=2
tariffs.0.worthFactor=1.6
tariffs.0.extraWorth=0.2
tariffs.0.overCost=0.1
tariffs.0.hardRate=100.0
tariffs.0.hardBurst=270.0
tariffs.0.hardSlack=27.0
some.new.key=1
`

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings(validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if s.Gateways != 3 || s.Rank != 1 || s.Zones != 3 || !s.AskForList || s.CounterLimit != 30*time.Millisecond ||
		s.Meter != time.Second || s.Fall != time.Second || s.ReportsInAnswers {
		t.Errorf("settings %+v", s)
	}
	if c := s.Classes[0]; c.Effect != logic.Keyed || c.KeyGroup != logic.GroupCell || c.KeyTTL != 1200*time.Millisecond {
		t.Errorf("class %+v", c)
	}
	if c := s.Classes[1]; c.Effect != logic.Unsafe || !c.Streamed {
		t.Errorf("class %+v", c)
	}
	want := logic.Plan{Rate: 55, Burst: 140, Open: 2, Price: 1.6, OverWorth: 0.2, OverCost: 0.1, CeilingRate: 100,
		CeilingBurst: 270, CeilingSlack: 27}
	if s.Plans[0] != want {
		t.Errorf("plan %+v", s.Plans[0])
	}
	if f := s.ReportFields; len(f) != 3 || f[0] != logic.Inflight || f[1] != logic.ServiceMillis || f[2] != logic.OtherField {
		t.Errorf("report fields %v", f)
	}
}

func TestBadSettings(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"rules.fall=1.0\n", "", "rules.fall is missing"},
		{"rank=1", "rank=one", "rank"},
		{"perSecond=55.0", "perSecond=NaN", "tariffs.0.perSecond"},
		{"guarded", "sometimes", "classes.0.semantics"},
		{"caps.probes=true", "caps.probes=perhaps", "caps.probes"},
		{"classes.count=2", "classes.count=999999999", "classes.count"},
	} {
		_, err := ParseSettings(strings.Replace(validSettings, c.old, c.new, 1))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q in place of %q: got error %v, want one with %q", c.new, c.old, err, c.want)
		}
	}
}

func FuzzReadBatch(f *testing.F) {
	f.Add(frame(1, []byte{17, 0, 0, 0, 3, 0, 0, 0, 77}))
	f.Add(frame(1, []byte{19, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 1, 3, 0, 0, 0, 0}))
	f.Fuzz(func(t *testing.T, in []byte) {
		b, err := ReadBatch(bytes.NewReader(in))
		if err != nil && b.Records != nil {
			t.Errorf("got %d records beside error %v, want none", len(b.Records), err)
		}
	})
}
