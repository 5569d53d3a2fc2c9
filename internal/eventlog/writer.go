package eventlog

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"cressknot/internal/fleet"
)

// Writer writes a log. After an error, which Flush gives, it writes no more.
type Writer struct {
	out          *bufio.Writer
	namesWritten fleet.ServerID // servers whose names are written
	err          error
}

// NewWriter writes the header.
func NewWriter(out io.Writer, start Header) (*Writer, error) {
	w := &Writer{out: bufio.NewWriterSize(out, bufferBytes)}
	start.Format = Format
	w.writeLine(start)
	return w, w.Flush()
}

func (w *Writer) writeLine(value any) {
	if w.err != nil {
		return
	}
	text, err := json.Marshal(value)
	if err == nil {
		_, err = w.out.Write(append(text, '\n'))
	}
	w.err = err
}

// Step writes one step. There are count servers, whose names nameOf gives.
func (w *Writer) Step(
	now fleet.Time, events []fleet.Event, orders []fleet.Order, count int, nameOf func(fleet.ServerID) string,
) {
	step := Step{Now: now}
	for ; int(w.namesWritten) < count; w.namesWritten++ {
		if step.Names == nil {
			step.Names = map[fleet.ServerID]string{}
		}
		step.Names[w.namesWritten] = nameOf(w.namesWritten)
	}
	for _, event := range events {
		item, err := eventItem(event)
		w.err = errors.Join(w.err, err)
		step.Events = append(step.Events, item)
	}
	for _, order := range orders {
		item, err := orderItem(order)
		w.err = errors.Join(w.err, err)
		step.Orders = append(step.Orders, item)
	}
	w.writeLine(step)
}

// Flush hands what was written to the file. It gives the first error of all writes.
func (w *Writer) Flush() error {
	if err := w.out.Flush(); w.err == nil {
		w.err = err
	}
	return w.err
}
