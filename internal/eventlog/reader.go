package eventlog

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"cressknot/internal/fleet"
)

// Reader reads a log. Its errors contain the file name and the line.
type Reader struct {
	Header Header
	in     *bufio.Scanner
	line   int
	name   string
}

// NewReader returns a reader after it has read and checked the header. The file name is for errors only. An empty log
// and one of an unknown format are errors.
func NewReader(name string, in io.Reader) (*Reader, error) {
	r := &Reader{in: bufio.NewScanner(in), name: name}
	r.in.Buffer(make([]byte, bufferBytes), maxLineBytes)
	if err := r.readLine(&r.Header); err != nil {
		if errors.Is(err, io.EOF) {
			err = fmt.Errorf("%s: event log is empty", name)
		}
		return nil, err
	}
	if r.Header.Format != Format {
		return nil, fmt.Errorf("%s:1: unsupported event log format %d, want %d", name, r.Header.Format, Format)
	}
	return r, nil
}

func (r *Reader) readLine(into any) error {
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

// Next returns the next step and its decoded events. It returns io.EOF after the last step. A truncated last line is an
// error with its line number.
func (r *Reader) Next() (Step, []fleet.Event, error) {
	var step Step
	if err := r.readLine(&step); err != nil {
		return step, nil, err
	}
	var events []fleet.Event
	for i, item := range step.Events {
		decode, ok := eventDecoders[item.Kind]
		if !ok {
			return step, nil, fmt.Errorf("%s:%d: event %d: unknown event kind %q", r.name, r.line, i, item.Kind)
		}
		event, err := decode(item.Value)
		if err != nil {
			return step, nil, fmt.Errorf("%s:%d: event %d: %w", r.name, r.line, i, err)
		}
		events = append(events, event)
	}
	return step, events, nil
}

// Line returns the number of the line that was read last, from 1 for the header.
func (r *Reader) Line() int { return r.line }
