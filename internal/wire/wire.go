// Package wire decodes the simulator's frames into events of the decision module (package logic) and encodes the module's
// actions into replies. It makes no decisions itself. It also reads the settings of instances.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"bramblefall/logic"
)

// Event codes of the simulator's protocol.
const (
	eventProbeResult   = 16
	eventTimer         = 17
	eventClientGone    = 18
	eventServerList    = 19
	eventPeerMessage   = 20
	eventOutcome       = 21
	eventInstanceStop  = 22
	eventRequest       = 23
	eventInstanceInit  = 24
	eventCountResult   = 25
	eventStreamStarted = 26
)

// Action codes of the simulator's protocol.
const (
	actionSend        = 80
	actionReject      = 81
	actionFail        = 82
	actionCancel      = 83
	actionSetTimer    = 84
	actionProbe       = 85
	actionCloseIdle   = 86
	actionPeerMessage = 87
	actionLog         = 88
	actionFault       = 89
	actionWatch       = 90
	actionFetchList   = 91
	actionCount       = 92
)

// serverEntryBytes is the length of one server in a server list.
const serverEntryBytes = 24

// InstanceInit starts an instance.
type InstanceInit struct {
	Seed     uint64
	Settings string
}

// InstanceStop ends an instance.
type InstanceStop struct{}

// Record is one event of a batch: Event is an InstanceInit, an InstanceStop or an event of package logic.
type Record struct {
	Instance uint32
	Event    any
}

// Batch is a decoded frame. Seq is the number that its reply repeats.
type Batch struct {
	Now     time.Duration
	Seq     uint32
	Records []Record
}

// ReadBatch reads one frame. It returns io.EOF if the input ends between two frames.
func ReadBatch(r io.Reader) (Batch, error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("frame header: %w", err)
	}
	count := binary.BigEndian.Uint32(head[0:])
	size := binary.BigEndian.Uint32(head[4:])
	if size < 12 {
		return Batch{}, fmt.Errorf("frame length %d is under the header's 12 bytes", size)
	}
	// ReadAll grows its buffer as bytes arrive, so that a huge length in a header allocates nothing by itself.
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return Batch{}, fmt.Errorf("frame body: %w", err)
	}
	if len(body) < int(size) {
		return Batch{}, fmt.Errorf("frame body: %d of %d bytes: %w", len(body), size, io.ErrUnexpectedEOF)
	}
	return decodeBatch(count, body)
}

func decodeBatch(count uint32, body []byte) (Batch, error) {
	d := decoder{buf: body}
	b := Batch{Now: d.seconds(), Seq: d.u32()}
	for k := uint32(0); k < count; k++ {
		rec, err := d.record()
		if err != nil {
			return Batch{}, fmt.Errorf("batch %d, record %d: %w", b.Seq, k, err)
		}
		b.Records = append(b.Records, rec)
	}
	if d.offset != len(d.buf) {
		return Batch{}, fmt.Errorf("batch %d: %d bytes behind the last record", b.Seq, len(d.buf)-d.offset)
	}
	return b, nil
}

type decoder struct {
	buf       []byte
	offset    int
	truncated bool
}

func (d *decoder) take(n int) []byte {
	if d.truncated || n < 0 || len(d.buf)-d.offset < n {
		d.truncated = true
		return nil
	}
	d.offset += n
	return d.buf[d.offset-n : d.offset]
}

func (d *decoder) u8() uint8 {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *decoder) u16() uint16 {
	if b := d.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (d *decoder) u32() uint32 {
	if b := d.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (d *decoder) u64() uint64 {
	if b := d.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (d *decoder) f32() float64 { return float64(math.Float32frombits(d.u32())) }

func (d *decoder) seconds() time.Duration { return toDuration(math.Float64frombits(d.u64())) }

func (d *decoder) bytes(n uint32) []byte {
	if int64(n) > int64(len(d.buf)) {
		d.truncated = true
		return nil
	}
	return append([]byte(nil), d.take(int(n))...)
}

func (d *decoder) server() logic.ServerID {
	a := d.u32()
	return logic.ServerID(uint64(a)<<16 | uint64(d.u16()))
}

func (d *decoder) load() []float64 {
	n := int(d.u8())
	if n == 0 {
		return nil
	}
	load := make([]float64, n)
	for k := range load {
		load[k] = d.f32()
	}
	return load
}

// toInt converts a count that is encoded as a float to an int. NaN and magnitudes of 1e9 or more become 0,
// so that an int holds every result.
func toInt(f float64) int {
	if !(f > -1e9 && f < 1e9) {
		return 0
	}
	return int(f)
}

// toDuration converts seconds to a duration and clamps them to 1<<33 s either way, which a duration can hold. NaN becomes 0.
func toDuration(s float64) time.Duration {
	const maxSeconds = float64(1 << 33)
	if math.IsNaN(s) {
		return 0
	}
	return time.Duration(math.Round(math.Max(-maxSeconds, math.Min(maxSeconds, s)) * float64(time.Second)))
}

func (d *decoder) record() (Record, error) {
	code := d.u8()
	rec := Record{Instance: d.u32()}
	var err error
	switch code {
	case eventInstanceInit:
		seed := d.u64()
		rec.Event = InstanceInit{Seed: seed, Settings: string(d.bytes(d.u32()))}
	case eventInstanceStop:
		rec.Event = InstanceStop{}
	case eventServerList:
		rec.Event, err = d.serverList()
	case eventRequest:
		q := logic.Request{ID: uint64(d.u32()), Class: int(d.u16()), Plan: int(d.u32()), Customer: d.u64(),
			TTL: d.seconds(), Units: d.f32(), Spread: toInt(d.f32()), FirstGateway: toInt(d.f32())}
		q.Repeat = d.u8()&2 != 0
		rec.Event = q
	case eventOutcome:
		o := logic.Outcome{ID: uint64(d.u32()), Attempt: int(d.u8()), Server: d.server()}
		o.Status, err = status(d.u16())
		o.Latency, o.RequestOver = d.seconds(), d.u8() != 0
		o.UsedPercentPlusOne, o.Units, o.Load = int(d.u16()), float64(d.u16()), d.load()
		rec.Event = o
	case eventStreamStarted:
		s := logic.Started{ID: uint64(d.u32()), Attempt: int(d.u8())}
		d.server()
		d.seconds()
		rec.Event = s
	case eventClientGone:
		rec.Event = logic.ClientGone{ID: uint64(d.u32())}
	case eventTimer:
		rec.Event = logic.Timer{Token: d.u32()}
	case eventProbeResult:
		p := logic.ProbeResult{Server: d.server()}
		p.Status, err = status(d.u16())
		d.seconds()
		p.Load = d.load()
		rec.Event = p
	case eventPeerMessage:
		from := int(d.u16())
		rec.Event = logic.Message{From: from, Data: d.bytes(uint32(d.u16()))}
	case eventCountResult:
		c := logic.CountResult{Name: d.u64()}
		c.Status, err = status(d.u16())
		c.Total, c.Latency = d.f32(), d.seconds()
		rec.Event = c
	default:
		return rec, fmt.Errorf("unknown event code %d", code)
	}
	if d.truncated {
		return rec, fmt.Errorf("event code %d is cut short", code)
	}
	return rec, err
}

func (d *decoder) serverList() (logic.ServerList, error) {
	var l logic.ServerList
	d.u64() // skip the version: lists arrive in order and none is left out
	mode := d.u8()
	switch mode {
	case 0:
		l.Failed = true
	case 1:
		l.Complete, l.Cached = true, true
	case 2:
	case 3:
		l.Complete = true
	default:
		return l, fmt.Errorf("unknown list mode %d, want 0 to 3", mode)
	}
	n := d.u32()
	if int64(n)*serverEntryBytes > int64(len(d.buf)-d.offset) {
		d.truncated = true
		return l, nil
	}
	for ; n > 0; n-- {
		s := logic.Server{Weight: d.f32(), ID: d.server(), Cell: int(d.u16()), Kind: int(d.u16()), Zone: int(d.u8())}
		health := d.u8()
		switch health {
		case 0:
			s.State = logic.Gone
		case 1:
			s.State = logic.Ready
		case 2:
			s.State = logic.Draining
		default:
			return l, fmt.Errorf("unknown server state %d, want 0 to 2", health)
		}
		s.Started = d.seconds()
		l.Servers = append(l.Servers, s)
	}
	return l, nil
}

var statuses = map[uint16]logic.Status{
	200: logic.OK, 502: logic.Error, 429: logic.Full, 408: logic.Timeout,
	521: logic.ConnectFailed, 520: logic.Reset, 444: logic.Cancelled, 409: logic.NotAttempted,
}

func status(code uint16) (logic.Status, error) {
	s, ok := statuses[code]
	if !ok {
		return 0, fmt.Errorf("unknown result %d", code)
	}
	return s, nil
}

// Reply collects the encoded actions that answer one batch.
type Reply struct {
	buf   []byte
	count uint32
}

func (r *Reply) begin(code uint8, inst uint32) {
	r.count++
	r.buf = binary.BigEndian.AppendUint32(append(r.buf, code), inst)
}

func (r *Reply) u32(v uint32) { r.buf = binary.BigEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64) { r.buf = binary.BigEndian.AppendUint64(r.buf, v) }

func (r *Reply) seconds(d time.Duration) { r.u64(math.Float64bits(d.Seconds())) }

func (r *Reply) server(s logic.ServerID) {
	r.u32(uint32(s >> 16))
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(s))
}

func (r *Reply) text(b []byte) {
	b = b[:min(len(b), math.MaxUint16)]
	r.buf = append(binary.BigEndian.AppendUint16(r.buf, uint16(len(b))), b...)
}

// Add appends an action of an instance. It returns an error if the protocol has no code for the action.
func (r *Reply) Add(inst uint32, a logic.Action) error {
	switch a := a.(type) {
	case logic.Send:
		r.begin(actionSend, inst)
		r.u32(uint32(a.ID))
		r.server(a.Server)
		r.seconds(a.Timeout)
	case logic.Refuse:
		r.begin(actionReject, inst)
		r.u32(uint32(a.ID))
		r.seconds(a.RetryAfter)
	case logic.Fail:
		r.begin(actionFail, inst)
		r.u32(uint32(a.ID))
	case logic.Cancel:
		r.begin(actionCancel, inst)
		r.u32(uint32(a.ID))
		r.buf = append(r.buf, uint8(a.Attempt))
	case logic.SetTimer:
		r.begin(actionSetTimer, inst)
		r.u32(a.Token)
		r.seconds(a.After)
	case logic.Probe:
		r.begin(actionProbe, inst)
		r.server(a.Server)
	case logic.CloseIdle:
		r.begin(actionCloseIdle, inst)
		r.server(a.Server)
	case logic.Tell:
		r.begin(actionPeerMessage, inst)
		r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(a.To)) // -1 becomes 0xffff, which addresses all peers
		r.text(a.Data)
	case logic.Log:
		r.begin(actionLog, inst)
		r.text([]byte(a.Text))
	case logic.Watch:
		r.begin(actionWatch, inst)
		if a.On {
			r.buf = append(r.buf, 1)
		} else {
			r.buf = append(r.buf, 0)
		}
	case logic.FetchList:
		r.begin(actionFetchList, inst)
	case logic.Count:
		r.begin(actionCount, inst)
		r.u64(a.Name)
		r.u32(math.Float32bits(float32(a.Amount)))
		r.seconds(a.TTL)
	default:
		return fmt.Errorf("action %T has no code in the protocol", a)
	}
	return nil
}

// Fault appends a report that an instance's decision code has failed.
func (r *Reply) Fault(inst uint32, text string) {
	r.begin(actionFault, inst)
	r.text([]byte(text))
}

// WriteTo writes the reply to batch seq as one frame and clears the reply for the next batch.
func (r *Reply) WriteTo(w io.Writer, seq uint32) error {
	head := binary.BigEndian.AppendUint32(nil, r.count)
	head = binary.BigEndian.AppendUint32(head, uint32(len(r.buf)+4))
	head = binary.BigEndian.AppendUint32(head, seq)
	_, err := w.Write(append(head, r.buf...))
	r.buf, r.count = r.buf[:0], 0
	if err != nil {
		return fmt.Errorf("write reply %d: %w", seq, err)
	}
	return nil
}
