package simwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"cressknot/internal/fleet"
)

// Writer encodes replies, one at a time. It is not safe for concurrent use.
type Writer struct {
	frame       []byte
	records     uint32
	recordStart int // offset of the current record in frame
}

// Begin starts a new reply.
func (w *Writer) Begin() {
	w.frame = append(w.frame[:0], make([]byte, replyHeaderBytes)...)
	w.records = 0
}

// Frame completes the reply and returns its bytes, which are valid until the next Begin.
func (w *Writer) Frame() []byte {
	binary.LittleEndian.PutUint32(w.frame, uint32(len(w.frame)))
	binary.LittleEndian.PutUint32(w.frame[lengthBytes:], w.records)
	return w.frame
}

// AppendCrash adds a record that reports the crash of an instance. The text is its cause.
func (w *Writer) AppendCrash(controller fleet.ControllerID, text string) {
	w.beginRecord(codeCrash, controller)
	w.text(text)
	w.endRecord()
}

// AppendOrder adds an order of an instance. It returns an error for an order that the protocol does not have.
func (w *Writer) AppendOrder(controller fleet.ControllerID, order fleet.Order) error {
	switch o := order.(type) {
	case fleet.SetTimer:
		w.beginRecord(codeSetTimer, controller)
		w.milliseconds(o.Delay)
		w.uint32(uint32(o.ID))
	case fleet.ProbeServer:
		w.beginRecord(codeProbeServer, controller)
		w.uint32(uint32(o.Server))
	case fleet.SendToPeer:
		w.beginRecord(codeSendToPeer, controller)
		w.uint32(uint32(o.To))
		w.text(string(o.Data))
	case fleet.LogMessage:
		w.beginRecord(codeLogMessage, controller)
		w.text(o.Text)
	case fleet.WatchEndpoints:
		w.beginRecord(codeWatchEndpoints, controller)
		w.flag(o.Enabled)
	case fleet.FetchEndpoints:
		w.beginRecord(codeFetchEndpoints, controller)
	case fleet.SetWeight:
		w.beginRecord(codeSetWeight, controller)
		w.uint16(uint16(o.Table))
		w.uint32(uint32(o.Server))
		w.float32(o.Weight)
	case fleet.ClearTable:
		w.beginRecord(codeClearTable, controller)
		w.uint16(uint16(o.Table))
	case fleet.WithdrawServer:
		w.beginRecord(codeWithdrawServer, controller)
		w.uint32(uint32(o.Server))
		w.flag(o.Withdrawn)
	case fleet.AssignTable:
		w.beginRecord(codeAssignTable, controller)
		w.uint16(uint16(o.Proxy))
		w.uint16(uint16(o.Table))
		w.uint16(uint16(o.Classes))
	case fleet.SetAdmission:
		w.beginRecord(codeSetAdmission, controller)
		w.uint8(uint8(o.Retry))
		w.float32(o.Limit)
		w.uint16(uint16(o.Classes))
		w.uint16(uint16(o.Table))
	case fleet.Barrier:
		w.beginRecord(codeBarrier, controller)
		w.uint64(uint64(o.ID))
		w.flag(o.AllProxies)
	default:
		return fmt.Errorf("order %T has no encoding in the simulator protocol", order)
	}
	w.endRecord()
	return nil
}

// beginRecord writes the header of a record and the ID of the controller that the record is from.
func (w *Writer) beginRecord(code uint16, controller fleet.ControllerID) {
	w.recordStart = len(w.frame)
	w.uint16(code)
	w.uint32(0) // the length is filled in by endRecord
	w.uint16(uint16(controller))
}

// endRecord fills in the length of the current record.
func (w *Writer) endRecord() {
	length := len(w.frame) - w.recordStart - recordHeaderBytes
	binary.LittleEndian.PutUint32(w.frame[w.recordStart+codeBytes:], uint32(length))
	w.records++
}

func (w *Writer) uint8(v uint8)     { w.frame = append(w.frame, v) }
func (w *Writer) uint16(v uint16)   { w.frame = binary.LittleEndian.AppendUint16(w.frame, v) }
func (w *Writer) uint32(v uint32)   { w.frame = binary.LittleEndian.AppendUint32(w.frame, v) }
func (w *Writer) uint64(v uint64)   { w.frame = binary.LittleEndian.AppendUint64(w.frame, v) }
func (w *Writer) float32(v float32) { w.uint32(math.Float32bits(v)) }

func (w *Writer) milliseconds(t fleet.Time) {
	w.uint64(math.Float64bits(float64(t) / float64(fleet.Millisecond)))
}

func (w *Writer) flag(value bool) {
	if value {
		w.uint8(1)
	} else {
		w.uint8(0)
	}
}

// text writes a text after its length, truncated to 65535 bytes, the maximum of the length field.
func (w *Writer) text(text string) {
	text = text[:min(len(text), math.MaxUint16)]
	w.uint16(uint16(len(text)))
	w.frame = append(w.frame, text...)
}
