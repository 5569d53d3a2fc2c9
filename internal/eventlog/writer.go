package eventlog

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"cressknot/internal/fleet"
)

// Writer writes a log through a buffer. After the first error it writes nothing more; Flush returns that error. It is
// not safe for concurrent use.
type Writer struct {
	out          *bufio.Writer
	namesWritten fleet.ServerID // number of servers whose names were written
	err          error
}

// NewWriter returns a writer after it has written the header, whose Format it sets.
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

// Step writes one step. There are count known servers, with ids from 0; nameOf returns their names, each of which is
// written once. An event or order without a kind is an error that Flush returns.
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

// Flush writes the buffer to the underlying writer and returns the first error of all writes.
func (w *Writer) Flush() error {
	if err := w.out.Flush(); w.err == nil {
		w.err = err
	}
	return w.err
}
