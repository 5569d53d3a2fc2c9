// Package wire speaks the simulator's wire: it turns frames into events of package fleet and orders into
// frames. The wire's own names end here, and nothing here decides anything.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"cressknot/internal/fleet"
)

// Event codes.
const (
	codePong       = 256
	codeCrashNow   = 257
	codeTimer      = 258
	codeEnlist     = 259
	codeStoredLine = 260
	codeParted     = 261
	codeMessage    = 262
	codeAcked      = 263
	codeCustody    = 264
	codeAttached   = 265
	codeSync       = 266
	codeRoundup    = 267
	codeRegister   = 268
	codeRangeLoad  = 269
	codeProxyStats = 270
)

const (
	headerBytes = 16
	recordHead  = 6
	entryBytes  = 21
	pageCount   = 16
	frameMost   = 1 << 30
)

// Start is an instance's first event: the settings are still the wire's JSON text.
type Start struct {
	Seed    uint64
	Options []byte
}

// Stop kills an instance.
type Stop struct{}

// Item is one thing that befalls one instance: a Start, a Stop or a fleet.Event.
type Item struct {
	Governor fleet.ControllerID
	What     any
}

// Batch is one frame, its numbered lists already resolved.
type Batch struct {
	Now   fleet.Time
	Items []Item
}

// Reader reads batches. It keeps the numbered lists, which belong to the whole process.
type Reader struct {
	in    io.Reader
	at    int64 // bytes read before the current frame
	frame []byte
	pages [pageCount][]fleet.Endpoint
	known [pageCount]bool
	items []Item
}

// NewReader reads frames from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Next reads one batch; its items are good until the next call. It gives io.EOF at a clean end.
func (r *Reader) Next() (Batch, error) {
	var length [4]byte
	if n, err := io.ReadFull(r.in, length[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("byte %d: frame length cut short after %d bytes: %w", r.at, n, err)
	}
	size := binary.LittleEndian.Uint32(length[:])
	if size < headerBytes || size > frameMost {
		return Batch{}, fmt.Errorf("byte %d: frame length %d is not between %d and %d",
			r.at, size, headerBytes, frameMost)
	}
	if cap(r.frame) < int(size) {
		r.frame = make([]byte, size)
	}
	r.frame = r.frame[:size]
	copy(r.frame, length[:])
	if n, err := io.ReadFull(r.in, r.frame[4:]); err != nil {
		return Batch{}, fmt.Errorf("byte %d: frame of %d bytes ends after %d: %w", r.at, size, n+4, err)
	}
	batch, err := r.decode()
	if err != nil {
		return Batch{}, err
	}
	r.at += int64(size)
	return batch, nil
}

func (r *Reader) decode() (Batch, error) {
	c := cursor{data: r.frame, pos: 4, base: r.at}
	batch := Batch{Now: c.millis("clock")}
	records := c.u32("record count")
	if c.err == nil && uint64(records)*recordHead > uint64(c.left()) {
		c.fail("record count %d does not fit the frame", records)
	}
	clear(r.items) // drop what the last batch pointed at
	r.items = r.items[:0]
	for n := uint32(0); n < records && c.err == nil; n++ {
		r.record(&c)
	}
	if c.err == nil && c.left() > 0 {
		c.fail("%d bytes left over after the last record", c.left())
	}
	batch.Items = r.items
	return batch, c.err
}

func (r *Reader) record(c *cursor) {
	start := c.pos
	code := c.u16("event code")
	size := c.u32("record length")
	if c.err != nil {
		return
	}
	if int64(size) > int64(c.left()) {
		c.fail("record of code %d wants %d bytes, %d are left", code, size, c.left())
		return
	}
	end := c.pos + int(size)
	f := cursor{data: c.data[:end], pos: c.pos, base: c.base}
	if code == codeRegister {
		r.register(&f)
	} else {
		governor := fleet.ControllerID(f.u16("governor"))
		what := r.event(code, &f, start)
		if f.err == nil {
			r.items = append(r.items, Item{governor, what})
		}
	}
	if f.err == nil && f.left() > 0 {
		f.fail("record of code %d has %d bytes too many", code, f.left())
	}
	c.pos, c.err = end, f.err
}

func (r *Reader) register(c *cursor) {
	page := c.page()
	n := c.count32("entries", entryBytes)
	if c.err != nil {
		return
	}
	entries := make([]fleet.Endpoint, 0, n)
	for ; n > 0 && c.err == nil; n-- {
		e := fleet.Endpoint{}
		switch state := c.u8("state"); state {
		case 0:
			e.State = fleet.ServerReady
		case 1:
			e.State = fleet.ServerDraining
		case 2:
			e.State = fleet.ServerGone
		default:
			c.fail("server state %d is unknown", state)
		}
		e.Cell = fleet.CellID(c.u16("block"))
		e.Started = c.millis("launchedMs")
		e.Zone = fleet.ZoneID(c.u8("az"))
		e.Kind = fleet.KindID(c.u8("shape"))
		e.Server = fleet.ServerID(c.u32("replica"))
		e.Weight = c.f32("heft")
		entries = append(entries, e)
	}
	if c.err == nil {
		r.pages[page], r.known[page] = entries, true
	}
}

func (r *Reader) event(code uint16, c *cursor, start int) any {
	switch code {
	case codePong:
		return fleet.ProbeResult{
			Server: fleet.ServerID(c.u32("replica")), Outcome: outcome(c.u16("result")),
			Duration: c.millis("durationMs"), Load: c.load(),
		}
	case codeCrashNow:
		return Stop{}
	case codeTimer:
		return fleet.TimerFired{ID: fleet.TimerID(c.u32("token"))}
	case codeEnlist:
		seed := c.u64("randomSeed")
		return Start{Seed: seed, Options: c.bytes(c.count32("options", 1))}
	case codeStoredLine:
		return fleet.StoredEntry{
			Slice: fleet.TableID(c.u16("sheet")), Server: fleet.ServerID(c.u32("replica")), Weight: c.f32("heft"),
		}
	case codeParted:
		return fleet.ProxyLeft{Proxy: fleet.ProxyID(c.u16("agent"))}
	case codeMessage:
		from := fleet.ControllerID(c.u16("neighbour"))
		return fleet.PeerMessage{From: from, Data: c.bytes(int(c.u16("octets")))}
	case codeAcked:
		took := c.millis("durationMs")
		return fleet.BarrierReached{Delay: took, Proxy: fleet.ProxyID(c.u16("agent")), Barrier: fleet.BarrierID(c.u64("rev"))}
	case codeCustody:
		return fleet.SliceAssigned{Slice: fleet.TableID(c.u16("sheet")), Assigned: c.flag("active")}
	case codeAttached:
		weight, zone := c.f32("heft"), fleet.ZoneID(c.u8("az"))
		return fleet.ProxyJoined{
			RequestRate: weight, Zone: zone, Proxy: fleet.ProxyID(c.u16("agent")), Fresh: c.flag("active"),
		}
	case codeSync:
		return r.sync(c)
	case codeRoundup:
		e := fleet.OutcomeReport{Server: fleet.ServerID(c.u32("replica"))}
		e.Failures, e.Attempts = c.u32("unanswered"), c.u32("total")
		e.Latency, e.Interval = c.millis("durationMs"), c.millis("spanMs")
		e.Zone, e.Load = fleet.ZoneID(c.u8("az")), c.load()
		return e
	case codeRangeLoad:
		e := fleet.SliceDemandReport{Slice: fleet.TableID(c.u16("sheet")), Class: fleet.ClassID(c.u8("profile"))}
		e.Requests, e.Unanswered, e.Interval = c.u32("total"), c.u32("unanswered"), c.millis("spanMs")
		return e
	case codeProxyStats:
		e := fleet.DemandReport{Proxy: fleet.ProxyID(c.u16("agent")), Class: fleet.ClassID(c.u8("profile"))}
		e.Requests, e.Unanswered, e.Interval = c.u32("total"), c.u32("unanswered"), c.millis("spanMs")
		return e
	}
	c.pos = start
	c.fail("event code %d is unknown", code)
	return nil
}

func (r *Reader) sync(c *cursor) fleet.EndpointList {
	var list fleet.EndpointList
	scope := c.u8("scope")
	switch scope {
	case 0:
		list.Scope = fleet.ListFull
	case 1:
		list.Scope = fleet.ListDelta
	case 2:
		list.Scope = fleet.ListFailed
	case 3:
		list.Scope = fleet.ListCached
	default:
		c.fail("list scope %d is unknown", scope)
		return list
	}
	if list.Scope == fleet.ListFailed {
		c.u16("page")
	} else if page := c.page(); c.err == nil {
		if !r.known[page] {
			c.fail("list %d was never registered", page)
		}
		list.Endpoints = r.pages[page]
	}
	list.Revision = fleet.ListRevision(c.u64("rev"))
	return list
}

func outcome(code uint16) fleet.ProbeOutcome {
	switch code {
	case 0:
		return fleet.ProbeAnswered
	case 13:
		return fleet.ProbeFailed
	case 8:
		return fleet.ProbeRejected
	case 4:
		return fleet.ProbeTimedOut
	case 14:
		return fleet.ProbeUnreachable
	case 10:
		return fleet.ProbeConnectionBroken
	}
	return fleet.ProbeOtherOutcome
}

// cursor walks over the fields of one frame and keeps the first thing that went wrong.
type cursor struct {
	data []byte
	pos  int
	base int64
	err  error
}

func (c *cursor) left() int { return len(c.data) - c.pos }

func (c *cursor) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("byte %d: %s", c.base+int64(c.pos), fmt.Sprintf(format, args...))
	}
}

// take gives the next n bytes, or n zero bytes after a failure.
func (c *cursor) take(n int, what string) []byte {
	if c.err == nil && n > c.left() {
		c.fail("%s wants %d bytes, %d are left", what, n, c.left())
	}
	if c.err != nil {
		return make([]byte, min(n, 8))
	}
	c.pos += n
	return c.data[c.pos-n : c.pos]
}

func (c *cursor) u8(what string) uint8   { return c.take(1, what)[0] }
func (c *cursor) u16(what string) uint16 { return binary.LittleEndian.Uint16(c.take(2, what)) }
func (c *cursor) u32(what string) uint32 { return binary.LittleEndian.Uint32(c.take(4, what)) }
func (c *cursor) u64(what string) uint64 { return binary.LittleEndian.Uint64(c.take(8, what)) }

func (c *cursor) f32(what string) float64 {
	return c.finite(float64(math.Float32frombits(c.u32(what))), what)
}

func (c *cursor) finite(v float64, what string) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		c.fail("%s is not a finite number", what)
		return 0
	}
	return v
}

func (c *cursor) millis(what string) fleet.Time {
	ms := c.finite(math.Float64frombits(c.u64(what)), what)
	if math.Abs(ms) > 9e12 {
		c.fail("%s of %g ms is out of range", what, ms)
		return 0
	}
	return fleet.Time(math.Round(ms * float64(fleet.Millisecond)))
}

func (c *cursor) flag(what string) bool {
	v := c.u8(what)
	if v > 1 {
		c.fail("%s is %d, neither 0 nor 1", what, v)
	}
	return v == 1
}

func (c *cursor) page() uint16 {
	page := c.u16("page")
	if page >= pageCount {
		c.fail("list number %d is not below %d", page, pageCount)
		return 0
	}
	return page
}

func (c *cursor) count32(what string, each int) int {
	n := c.u32(what)
	if c.err == nil && uint64(n)*uint64(each) > uint64(c.left()) {
		c.fail("%s: count %d does not fit the %d bytes left", what, n, c.left())
		return 0
	}
	return int(n)
}

// bytes copies n bytes out of the frame, which is used again.
func (c *cursor) bytes(n int) []byte {
	if c.err != nil {
		return nil
	}
	part := c.take(n, "octets")
	if c.err != nil {
		return nil
	}
	return append([]byte(nil), part...)
}

func (c *cursor) load() []float32 {
	n := int(c.u8("feedback"))
	if n == 0 || c.err != nil {
		return nil
	}
	if n*4 > c.left() {
		c.fail("feedback: count %d does not fit the %d bytes left", n, c.left())
		return nil
	}
	load := make([]float32, n)
	for i := range load {
		load[i] = float32(c.f32("feedback"))
	}
	return load
}
