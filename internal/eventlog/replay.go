package eventlog

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"cressknot/internal/balancer"
	"cressknot/internal/fleet"
)

// DifferenceError says that the balancer gives another order than the log has. One of the two has kind "" where the
// other is one too many.
type DifferenceError struct {
	File     string
	Line     int
	Order    int // of the line, from 0
	Recorded Item
	Given    Item
}

func (e *DifferenceError) Error() string {
	return fmt.Sprintf("%s:%d: order %d: the records have %s %s, the module gives %s %s",
		e.File, e.Line, e.Order, e.Recorded.Kind, e.Recorded.Value, e.Given.Kind, e.Given.Value)
}

// Replay steps a new balancer through a log and compares its orders. It gives how many steps and orders were the same;
// the error names the first line that differs.
func Replay(name string, in io.Reader) (steps, orders int, err error) {
	r, err := NewReader(name, in)
	if err != nil {
		return 0, 0, err
	}
	b := balancer.New(r.Header.Site, r.Header.Seed)
	for {
		step, events, err := r.Next()
		if errors.Is(err, io.EOF) {
			return steps, orders, nil
		}
		if err != nil {
			return steps, orders, err
		}
		same, err := r.compare(b.Step(step.Now, events), step.Orders)
		orders += same
		if err != nil {
			return steps, orders, err
		}
		steps++
	}
}

// compare gives how many orders are the same as those of the line read last, up to the first that differs.
func (r *Reader) compare(given []fleet.Order, recorded []Item) (same int, err error) {
	for i := range max(len(given), len(recorded)) {
		var have, want Item
		if i < len(given) {
			have, err = orderItem(given[i])
			if err != nil {
				return i, err
			}
		}
		if i < len(recorded) {
			want = recorded[i]
		}
		if have.Kind != want.Kind || !bytes.Equal(have.Value, want.Value) {
			return i, &DifferenceError{File: r.name, Line: r.line, Order: i, Recorded: want, Given: have}
		}
	}
	return max(len(given), len(recorded)), nil
}
