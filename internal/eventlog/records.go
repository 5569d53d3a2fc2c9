// Package records writes what a governor heard and ordered, one step a line, and plays it again: the module must
// then give the same orders to the byte. The first line holds what the module was told at its start. Staff read
// the same lines after an incident.
package eventlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"cressknot/internal/balancer"
	"cressknot/internal/fleet"
)

// Format is the version of the lines' form.
const Format = 1

const lineMost = 256 << 20 // bytes of one step: a list of 100,000 servers takes some 15 MB

// Header is the first line.
type Header struct {
	Format     int        `json:"Format"`
	Controller string     `json:"Governor"`
	Site       fleet.Site `json:"Site"`
	Seed       uint64     `json:"Seed"`
}

// Step is each further line. Names tells the servers that became known since the step before.
type Step struct {
	Now    fleet.Time                `json:"Now"`
	Names  map[fleet.ServerID]string `json:"Names,omitempty"`
	Events []Item                    `json:"Events,omitempty"`
	Orders []Item                    `json:"Orders,omitempty"`
}

// Item is an event or an order with its kind.
type Item struct {
	Is string          `json:"Is"`
	V  json.RawMessage `json:"V"`
}

// eventDecoders reads the events that records may hold, by kind.
var eventDecoders = map[string]func([]byte) (fleet.Event, error){
	"List":       decodeEvent[fleet.EndpointList],
	"Alarm":      decodeEvent[fleet.TimerFired],
	"Probed":     decodeEvent[fleet.ProbeResult],
	"Message":    decodeEvent[fleet.PeerMessage],
	"Joined":     decodeEvent[fleet.ProxyJoined],
	"Left":       decodeEvent[fleet.ProxyLeft],
	"Heard":      decodeEvent[fleet.OutcomeReport],
	"Usage":      decodeEvent[fleet.DemandReport],
	"SliceUsage": decodeEvent[fleet.SliceDemandReport],
	"Charge":     decodeEvent[fleet.SliceAssigned],
	"StoredLine": decodeEvent[fleet.StoredEntry],
	"Applied":    decodeEvent[fleet.BarrierReached],
}

func decodeEvent[E fleet.Event](text []byte) (fleet.Event, error) {
	var event E
	err := json.Unmarshal(text, &event)
	return event, err
}

// eventKind gives the kind that an event has on disk, "" for none. Kinds never change: files outlast programs.
func eventKind(event fleet.Event) string {
	switch event.(type) {
	case fleet.EndpointList:
		return "List"
	case fleet.TimerFired:
		return "Alarm"
	case fleet.ProbeResult:
		return "Probed"
	case fleet.PeerMessage:
		return "Message"
	case fleet.ProxyJoined:
		return "Joined"
	case fleet.ProxyLeft:
		return "Left"
	case fleet.OutcomeReport:
		return "Heard"
	case fleet.DemandReport:
		return "Usage"
	case fleet.SliceDemandReport:
		return "SliceUsage"
	case fleet.SliceAssigned:
		return "Charge"
	case fleet.StoredEntry:
		return "StoredLine"
	case fleet.BarrierReached:
		return "Applied"
	case fleet.OrdersUnconfirmed:
		return "Unconfirmed"
	}
	return ""
}

// orderKind gives the kind that an order has on disk, "" for none.
func orderKind(order fleet.Order) string {
	switch order.(type) {
	case fleet.SetTimer:
		return "SetAlarm"
	case fleet.ProbeServer:
		return "Probe"
	case fleet.SendToPeer:
		return "Tell"
	case fleet.LogMessage:
		return "Log"
	case fleet.WatchEndpoints:
		return "Watch"
	case fleet.FetchEndpoints:
		return "Fetch"
	case fleet.SetWeight:
		return "Share"
	case fleet.ClearTable:
		return "Clear"
	case fleet.WithdrawServer:
		return "Withdraw"
	case fleet.AssignTable:
		return "Bind"
	case fleet.SetAdmission:
		return "Level"
	case fleet.Barrier:
		return "Mark"
	}
	return ""
}

func eventItem(event fleet.Event) (Item, error) { return item(eventKind(event), event) }

func orderItem(order fleet.Order) (Item, error) { return item(orderKind(order), order) }

func item(kind string, v any) (Item, error) {
	if kind == "" {
		return Item{}, fmt.Errorf("records: %T has no kind", v)
	}
	text, err := json.Marshal(v)
	if err != nil {
		return Item{}, fmt.Errorf("records: %T: %w", v, err)
	}
	return Item{kind, text}, nil
}

// Writer writes records. After an error it writes no more; Err tells it.
type Writer struct {
	out   *bufio.Writer
	under io.Writer
	known fleet.ServerID
	err   error
}

// NewWriter writes the first line.
func NewWriter(out io.Writer, start Header) (*Writer, error) {
	w := &Writer{out: bufio.NewWriterSize(out, 1<<16), under: out}
	start.Format = Format
	w.line(start)
	return w, w.Flush()
}

func (w *Writer) line(v any) {
	if w.err != nil {
		return
	}
	text, err := json.Marshal(v)
	if err == nil {
		_, err = w.out.Write(append(text, '\n'))
	}
	w.err = err
}

// Step writes one step. Name gives the name of a server below count.
func (w *Writer) Step(now fleet.Time, events []fleet.Event, orders []fleet.Order, count int, name func(fleet.ServerID) string) {
	s := Step{Now: now}
	for ; int(w.known) < count; w.known++ {
		if s.Names == nil {
			s.Names = map[fleet.ServerID]string{}
		}
		s.Names[w.known] = name(w.known)
	}
	for _, e := range events {
		it, err := eventItem(e)
		w.err = errors.Join(w.err, err)
		s.Events = append(s.Events, it)
	}
	for _, o := range orders {
		it, err := orderItem(o)
		w.err = errors.Join(w.err, err)
		s.Orders = append(s.Orders, it)
	}
	w.line(s)
}

// Flush hands what was written to the file.
func (w *Writer) Flush() error {
	if err := w.out.Flush(); w.err == nil {
		w.err = err
	}
	return w.err
}

// Err tells what kept records from being written.
func (w *Writer) Err() error { return w.err }

// Reader reads records.
type Reader struct {
	Header Header
	in     *bufio.Scanner
	line   int
	name   string
}

// NewReader reads the first line; name is the file's, for errors.
func NewReader(name string, in io.Reader) (*Reader, error) {
	r := &Reader{in: bufio.NewScanner(in), name: name}
	r.in.Buffer(make([]byte, 1<<16), lineMost)
	if err := r.next(&r.Header); err != nil {
		if errors.Is(err, io.EOF) {
			err = fmt.Errorf("%s: is empty", name)
		}
		return nil, err
	}
	if r.Header.Format != Format {
		return nil, fmt.Errorf("%s:1: format %d is not known, only %d is", name, r.Header.Format, Format)
	}
	return r, nil
}

func (r *Reader) next(into any) error {
	if !r.in.Scan() {
		if err := r.in.Err(); err != nil {
			return fmt.Errorf("%s:%d: %w", r.name, r.line+1, err)
		}
		return io.EOF
	}
	r.line++
	if err := json.Unmarshal(r.in.Bytes(), into); err != nil {
		return fmt.Errorf("%s:%d: %w", r.name, r.line, err)
	}
	return nil
}

// Next reads a step, with its events as the module takes them; io.EOF after the last. A last line that a cut left
// unfinished is an error that names it.
func (r *Reader) Next() (Step, []fleet.Event, error) {
	var s Step
	if err := r.next(&s); err != nil {
		return s, nil, err
	}
	var events []fleet.Event
	for i, it := range s.Events {
		decode, ok := eventDecoders[it.Is]
		if !ok {
			return s, nil, fmt.Errorf("%s:%d: event %d: %q is no event", r.name, r.line, i, it.Is)
		}
		event, err := decode(it.V)
		if err != nil {
			return s, nil, fmt.Errorf("%s:%d: event %d: %w", r.name, r.line, i, err)
		}
		events = append(events, event)
	}
	return s, events, nil
}

// Line is the number of the line read last.
func (r *Reader) Line() int { return r.line }

// Replay steps a new module through all records and compares its orders. It returns how many steps and orders were
// the same; the error names the first line that differs.
func Replay(name string, in io.Reader) (steps, orders int, err error) {
	r, err := NewReader(name, in)
	if err != nil {
		return 0, 0, err
	}
	module := balancer.New(r.Header.Site, r.Header.Seed)
	for {
		s, events, err := r.Next()
		if errors.Is(err, io.EOF) {
			return steps, orders, nil
		}
		if err != nil {
			return steps, orders, err
		}
		got := module.Step(s.Now, events)
		for i := range max(len(got), len(s.Orders)) {
			var have, want Item
			if i < len(got) {
				if have, err = orderItem(got[i]); err != nil {
					return steps, orders, err
				}
			}
			if i < len(s.Orders) {
				want = s.Orders[i]
			}
			if have.Is != want.Is || !bytes.Equal(have.V, want.V) {
				return steps, orders, fmt.Errorf("%s:%d: order %d: the records have %s %s, the module gives %s %s",
					name, r.line, i, want.Is, want.V, have.Is, have.V)
			}
			orders++
		}
		steps++
	}
}
