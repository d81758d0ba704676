// Package wire reads the bench's event frames and writes its action frames.
// It decides nothing.
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	cm "yardwharf"
)

const (
	batchHeader = 16
	replyHeader = 8
	recordHead  = 6
	maxFrame    = 1 << 30
	entrySize   = 25
	tables      = 16
)

// Handler takes the events of a frame, in order, already decoded.
type Handler interface {
	Launch(inst uint32, seed uint64, params []byte) error
	Halt(inst uint32)
	Members(inst uint32, kind cm.ListKind, list []cm.Member)
	Request(inst uint32, r cm.Request)
	Outcome(inst uint32, o cm.Outcome)
	Note(inst uint32, id cm.RequestID, attempt int, kind cm.NoteKind, value float64)
	First(inst uint32, id cm.RequestID, attempt int)
	Withdrawn(inst uint32, id cm.RequestID)
	Probed(inst uint32, worker cm.WorkerID, st cm.Status, latency time.Duration, load []float32)
	Peer(inst uint32, from int, data []byte)
	Timer(inst uint32)
}

// Decoder reads frames. Lists are kept between frames, as the wire says.
type Decoder struct {
	r     io.Reader
	head  [batchHeader]byte
	frame bytes.Buffer
	lists [tables][]cm.Member
	load  []float32
}

// NewDecoder returns a Decoder on r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// ms turns the wire's milliseconds into a Duration; what is no number or out of
// all bounds becomes the nearest bound.
func ms(v float64) time.Duration {
	const most = float64(1 << 62)
	ns := v * float64(time.Millisecond)
	switch {
	case ns != ns:
		return 0
	case ns > most:
		return 1 << 62
	case ns < -most:
		return -1 << 62
	}
	return time.Duration(math.Round(ns))
}

// Next reads one frame and hands its events to h; start is called first with
// the clock. It returns io.EOF where the input ends between two frames.
func (d *Decoder) Next(start func(now time.Duration), h Handler) error {
	if _, err := io.ReadFull(d.r, d.head[:]); err != nil {
		if err == io.EOF {
			return io.EOF
		}
		return fmt.Errorf("frame header: %w", err)
	}
	count := binary.LittleEndian.Uint32(d.head[0:])
	size := binary.LittleEndian.Uint32(d.head[4:])
	if size < batchHeader || size > maxFrame {
		return fmt.Errorf("frame header: impossible length %d", size)
	}
	// The buffer grows with what really arrives, not with what is announced.
	d.frame.Reset()
	if n, err := io.CopyN(&d.frame, d.r, int64(size-batchHeader)); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return fmt.Errorf("frame body, %d of %d bytes: %w", n, size-batchHeader, err)
	}
	body := d.frame.Bytes()
	start(ms(math.Float64frombits(binary.LittleEndian.Uint64(d.head[8:]))))
	for i := uint32(0); i < count; i++ {
		if len(body) < recordHead {
			return fmt.Errorf("record %d of %d: frame ends early", i, count)
		}
		code := binary.LittleEndian.Uint16(body)
		n := binary.LittleEndian.Uint32(body[2:])
		body = body[recordHead:]
		if uint64(n) > uint64(len(body)) {
			return fmt.Errorf("record %d (code %d): %d bytes announced, %d left", i, code, n, len(body))
		}
		if err := d.record(code, body[:n], h); err != nil {
			return fmt.Errorf("record %d (code %d): %w", i, code, err)
		}
		body = body[n:]
	}
	if len(body) != 0 {
		return fmt.Errorf("after record %d: %d bytes too many", count, len(body))
	}
	return nil
}

var errShort = errors.New("fields end early")

// fields reads the fields of one record; after the first lack all reads give 0.
type fields struct {
	b   []byte
	err error
}

func (f *fields) take(n int) []byte {
	if f.err != nil || n > len(f.b) {
		f.err = errShort
		return nil
	}
	v := f.b[:n]
	f.b = f.b[n:]
	return v
}

func (f *fields) u8() uint8 {
	if v := f.take(1); v != nil {
		return v[0]
	}
	return 0
}

func (f *fields) u16() uint16 {
	if v := f.take(2); v != nil {
		return binary.LittleEndian.Uint16(v)
	}
	return 0
}

func (f *fields) u32() uint32 {
	if v := f.take(4); v != nil {
		return binary.LittleEndian.Uint32(v)
	}
	return 0
}

func (f *fields) u64() uint64 {
	if v := f.take(8); v != nil {
		return binary.LittleEndian.Uint64(v)
	}
	return 0
}

func (f *fields) f32() float64 { return float64(math.Float32frombits(f.u32())) }
func (f *fields) ms() time.Duration {
	return ms(math.Float64frombits(f.u64()))
}

// worker reads an address and a port; the port is kept above the address.
func (f *fields) worker() cm.WorkerID {
	addr := f.u32()
	return cm.WorkerID(addr) | cm.WorkerID(f.u16())<<32
}

func (f *fields) report(into []float32) []float32 {
	n := int(f.u8())
	raw := f.take(4 * n)
	into = into[:0]
	for i := 0; i+4 <= len(raw); i += 4 {
		into = append(into, math.Float32frombits(binary.LittleEndian.Uint32(raw[i:])))
	}
	return into
}

// done reports what was wrong with a record: fields missing, or bytes left over.
func (f *fields) done() error {
	if f.err == nil && len(f.b) > 0 {
		return fmt.Errorf("%d bytes beyond the last field", len(f.b))
	}
	return f.err
}

func (d *Decoder) record(code uint16, b []byte, h Handler) error {
	f := &fields{b: b}
	if code == 8 {
		return d.catalog(f)
	}
	inst := f.u32()
	var id cm.RequestID
	switch code {
	case 2, 3, 4, 7, 12:
		id = cm.RequestID(f.u64())
	}
	var act func()
	switch code {
	case 1:
		act = func() { h.Halt(inst) }
	case 2:
		act = func() { h.Withdrawn(inst, id) }
	case 3:
		o := cm.Outcome{Request: id, Latency: f.ms(), Attempt: int(f.u8())}
		st := f.u16()
		o.Worker, o.Closed = f.worker(), f.u8() != 0
		f.u32()
		d.load = f.report(d.load)
		o.Status, o.Load = cm.Status(st), d.load
		if st > uint16(cm.NotRun) {
			return fmt.Errorf("unknown outcome %d", st)
		}
		if err := f.done(); err != nil {
			return err
		}
		h.Outcome(inst, o)
		return nil
	case 4:
		n := int(f.u8())
		f.worker()
		f.ms()
		act = func() { h.First(inst, id, n) }
	case 5:
		f.u64()
		kind, table := f.u8(), f.u32()
		if err := f.done(); err != nil {
			return err
		}
		if kind > uint8(cm.ListFailed) {
			return fmt.Errorf("unknown list kind %d", kind)
		}
		var list []cm.Member
		if cm.ListKind(kind) != cm.ListFailed {
			if table >= tables {
				return fmt.Errorf("list number %d is over %d", table, tables-1)
			}
			list = d.lists[table]
		}
		h.Members(inst, cm.ListKind(kind), list)
		return nil
	case 6:
		st := f.u16()
		w, took := f.worker(), f.ms()
		d.load = f.report(d.load)
		if st > uint16(cm.NotRun) {
			return fmt.Errorf("unknown outcome %d", st)
		}
		act = func() { h.Probed(inst, w, cm.Status(st), took, d.load) }
	case 7:
		f.u64() // the route key: jobs here have none that matters
		r := cm.Request{ID: id, Deadline: f.ms(), Slots: f.f32(), Memory: f.f32(), Class: int(f.u8())}
		marks := f.u8()
		r.Tenant, r.Retry = int(f.u16()), marks&2 != 0
		if r.Hint = f.ms(); marks&1 == 0 {
			r.Hint = 0
		}
		if err := f.done(); err != nil {
			return err
		}
		h.Request(inst, r)
		return nil
	case 9:
		from := int(f.u32())
		data := f.take(int(f.u16()))
		act = func() { h.Peer(inst, from, data) }
	case 10:
		seed := f.u64()
		params := f.take(int(f.u32()))
		if err := f.done(); err != nil {
			return err
		}
		return h.Launch(inst, seed, params)
	case 11:
		f.u32()
		act = func() { h.Timer(inst) }
	case 12:
		n := int(f.u8())
		f.worker()
		kind, v := f.u8(), f.f32()
		act = func() { h.Note(inst, id, n, cm.NoteKind(kind), v) }
	default:
		return errors.New("unknown code")
	}
	if err := f.done(); err != nil {
		return err
	}
	act()
	return nil
}

func (d *Decoder) catalog(f *fields) error {
	table, n := f.u32(), f.u32()
	if f.err == nil && table >= tables {
		return fmt.Errorf("list number %d is over %d", table, tables-1)
	}
	if f.err == nil && uint64(n)*entrySize != uint64(len(f.b)) {
		return fmt.Errorf("%d entries announced, %d bytes of them", n, len(f.b))
	}
	if f.err != nil {
		return f.err
	}
	list := make([]cm.Member, n)
	for i := range list {
		m := &list[i]
		m.ID = f.worker()
		m.Zone = int(f.u16())
		m.Started = f.ms()
		st := f.u8()
		if st > uint8(cm.Draining) {
			return fmt.Errorf("entry %d: unknown state %d", i, st)
		}
		m.State = cm.WorkerState(st)
		m.Kind = int(f.u16())
		m.Cell = int(f.u16())
		m.CapacityHint = f.f32()
	}
	d.lists[table] = list
	return f.done()
}

// Encoder collects the actions of one reply.
type Encoder struct {
	buf   []byte
	count uint32
}

// Reset starts a new reply.
func (e *Encoder) Reset() {
	e.buf, e.count = append(e.buf[:0], make([]byte, replyHeader)...), 0
}

// Bytes finishes the reply.
func (e *Encoder) Bytes() []byte {
	binary.LittleEndian.PutUint32(e.buf[0:], e.count)
	binary.LittleEndian.PutUint32(e.buf[4:], uint32(len(e.buf)))
	return e.buf
}

func (e *Encoder) begin(code uint16, size int, inst uint32) {
	e.count++
	e.buf = binary.LittleEndian.AppendUint16(e.buf, code)
	e.buf = binary.LittleEndian.AppendUint32(e.buf, uint32(size)+4)
	e.buf = binary.LittleEndian.AppendUint32(e.buf, inst)
}

func (e *Encoder) id(v cm.RequestID) { e.buf = binary.LittleEndian.AppendUint64(e.buf, uint64(v)) }

func (e *Encoder) worker(w cm.WorkerID) {
	e.buf = binary.LittleEndian.AppendUint32(e.buf, uint32(w))
	e.buf = binary.LittleEndian.AppendUint16(e.buf, uint16(w>>32))
}

func (e *Encoder) span(v time.Duration) {
	bits := math.Float64bits(float64(v) / float64(time.Millisecond))
	e.buf = binary.LittleEndian.AppendUint64(e.buf, bits)
}

// Crash writes that an instance's decision code has failed.
func (e *Encoder) Crash(inst uint32, text string) {
	if len(text) > math.MaxUint16 {
		text = text[:math.MaxUint16]
	}
	e.begin(10, 2+len(text), inst)
	e.buf = binary.LittleEndian.AppendUint16(e.buf, uint16(len(text)))
	e.buf = append(e.buf, text...)
}

// Instance writes the actions of one instance; it implements yardwharf.Actions.
type Instance struct {
	Enc *Encoder
	ID  uint32
}

var _ cm.Actions = Instance{}

// Send implements yardwharf.Actions.
func (i Instance) Send(id cm.RequestID, w cm.WorkerID, timeout time.Duration) {
	i.Enc.begin(1, 22, i.ID)
	i.Enc.id(id)
	i.Enc.worker(w)
	i.Enc.span(timeout)
}

// Refuse implements yardwharf.Actions.
func (i Instance) Refuse(id cm.RequestID, after time.Duration) {
	i.Enc.begin(2, 16, i.ID)
	i.Enc.id(id)
	i.Enc.span(after)
}

// Fail implements yardwharf.Actions.
func (i Instance) Fail(id cm.RequestID) {
	i.Enc.begin(3, 8, i.ID)
	i.Enc.id(id)
}

// Cancel implements yardwharf.Actions.
func (i Instance) Cancel(id cm.RequestID, attempt int) {
	i.Enc.begin(4, 9, i.ID)
	i.Enc.id(id)
	i.Enc.buf = append(i.Enc.buf, byte(attempt))
}

// SetTimer implements yardwharf.Actions.
func (i Instance) SetTimer(after time.Duration) {
	i.Enc.begin(5, 12, i.ID)
	i.Enc.span(after)
	i.Enc.buf = binary.LittleEndian.AppendUint32(i.Enc.buf, 0)
}

// Probe implements yardwharf.Actions.
func (i Instance) Probe(w cm.WorkerID) {
	i.Enc.begin(6, 6, i.ID)
	i.Enc.worker(w)
}

// Broadcast implements yardwharf.Actions.
func (i Instance) Broadcast(data []byte) {
	i.Enc.begin(8, 4+len(data), i.ID)
	i.Enc.buf = binary.LittleEndian.AppendUint16(i.Enc.buf, math.MaxUint16)
	i.Enc.buf = binary.LittleEndian.AppendUint16(i.Enc.buf, uint16(len(data)))
	i.Enc.buf = append(i.Enc.buf, data...)
}

// Watch implements yardwharf.Actions.
func (i Instance) Watch() {
	i.Enc.begin(11, 1, i.ID)
	i.Enc.buf = append(i.Enc.buf, 1)
}
