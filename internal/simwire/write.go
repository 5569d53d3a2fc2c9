package simwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"cressknot/internal/fleet"
)

// Action codes.
const (
	codeSetAlarm = 256
	codeProbe    = 257
	codePublish  = 258
	codeLog      = 259
	codeCrash    = 260
	codeTrack    = 261
	codeSnapshot = 262
	codeWeigh    = 263
	codeEmpty    = 264
	codeMask     = 265
	codePin      = 266
	codeLevel    = 267
	codeBarrier  = 268
)

const replyHead = 8

// Writer builds one reply at a time.
type Writer struct {
	buf     []byte
	records uint32
}

// Begin starts a new reply.
func (w *Writer) Begin() {
	w.buf = append(w.buf[:0], make([]byte, replyHead)...)
	w.records = 0
}

// Frame ends the reply and gives its bytes, good until the next Begin.
func (w *Writer) Frame() []byte {
	binary.LittleEndian.PutUint32(w.buf, uint32(len(w.buf)))
	binary.LittleEndian.PutUint32(w.buf[4:], w.records)
	return w.buf
}

// Crash says that an instance's decision code has failed.
func (w *Writer) Crash(governor fleet.ControllerID, text string) {
	w.open(codeCrash, governor, func() { w.text(text) })
}

// Order adds one order of an instance.
func (w *Writer) Order(governor fleet.ControllerID, order fleet.Order) error {
	switch o := order.(type) {
	case fleet.SetTimer:
		w.open(codeSetAlarm, governor, func() { w.millis(o.Delay); w.u32(uint32(o.ID)) })
	case fleet.ProbeServer:
		w.open(codeProbe, governor, func() { w.u32(uint32(o.Server)) })
	case fleet.SendToPeer:
		w.open(codePublish, governor, func() { w.u32(uint32(o.To)); w.text(string(o.Data)) })
	case fleet.LogMessage:
		w.open(codeLog, governor, func() { w.text(o.Text) })
	case fleet.WatchEndpoints:
		w.open(codeTrack, governor, func() { w.flag(o.Enabled) })
	case fleet.FetchEndpoints:
		w.open(codeSnapshot, governor, func() {})
	case fleet.SetWeight:
		w.open(codeWeigh, governor, func() { w.u16(uint16(o.Table)); w.u32(uint32(o.Server)); w.f32(o.Weight) })
	case fleet.ClearTable:
		w.open(codeEmpty, governor, func() { w.u16(uint16(o.Table)) })
	case fleet.WithdrawServer:
		w.open(codeMask, governor, func() { w.u32(uint32(o.Server)); w.flag(o.Withdrawn) })
	case fleet.AssignTable:
		w.open(codePin, governor, func() { w.u16(uint16(o.Proxy)); w.u16(uint16(o.Table)); w.u16(uint16(o.Classes)) })
	case fleet.SetAdmission:
		w.open(codeLevel, governor, func() {
			w.u8(uint8(o.Retry))
			w.f32(o.Limit)
			w.u16(uint16(o.Classes))
			w.u16(uint16(o.Table))
		})
	case fleet.Barrier:
		w.open(codeBarrier, governor, func() { w.u64(uint64(o.ID)); w.flag(o.AllProxies) })
	default:
		return fmt.Errorf("order %T has no form on this wire", order)
	}
	return nil
}

// open writes a record's head, lets fields write the rest and fills in the length.
func (w *Writer) open(code uint16, governor fleet.ControllerID, fields func()) {
	start := len(w.buf)
	w.u16(code)
	w.u32(0)
	w.u16(uint16(governor))
	fields()
	binary.LittleEndian.PutUint32(w.buf[start+2:], uint32(len(w.buf)-start-recordHead))
	w.records++
}

func (w *Writer) u8(v uint8)    { w.buf = append(w.buf, v) }
func (w *Writer) u16(v uint16)  { w.buf = binary.LittleEndian.AppendUint16(w.buf, v) }
func (w *Writer) u32(v uint32)  { w.buf = binary.LittleEndian.AppendUint32(w.buf, v) }
func (w *Writer) u64(v uint64)  { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }
func (w *Writer) f32(v float32) { w.u32(math.Float32bits(v)) }
func (w *Writer) millis(t fleet.Time) {
	w.u64(math.Float64bits(float64(t) / float64(fleet.Millisecond)))
}

func (w *Writer) flag(on bool) {
	if on {
		w.u8(1)
	} else {
		w.u8(0)
	}
}

func (w *Writer) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	w.u16(uint16(len(s)))
	w.buf = append(w.buf, s...)
}
