package eventlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"

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
	return fmt.Sprintf("%s:%d: order %d: the log has %s, the replay emits %s",
		e.File, e.Line, e.Order, describe(e.Recorded), describe(e.Given))
}

// describe returns the kind and the value of an order for an error.
func describe(order Item) string {
	if order.Kind == "" {
		return "no order"
	}
	return fmt.Sprintf("%s %s", order.Kind, order.Value)
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
		if !sameOrder(have, want) {
			return i, &DifferenceError{File: r.name, Line: r.line, Order: i, Recorded: want, Given: have}
		}
	}
	return max(len(given), len(recorded)), nil
}

// logValues matches the numbers and booleans in the text of a log message.
var logValues = regexp.MustCompile(`\b(?:true|false|NaN)\b|[+-]Inf\b|-?\d+(?:\.\d+)?`)

// sameOrder reports whether two orders are equal. Log messages are equal if they have the same numbers and booleans in
// the same sequence, as their wording differs between versions.
func sameOrder(given, recorded Item) bool {
	if given.Kind != recorded.Kind {
		return false
	}
	if bytes.Equal(given.Value, recorded.Value) {
		return true
	}
	var givenMessage, recordedMessage fleet.LogMessage
	if given.Kind != kindLogMessage ||
		json.Unmarshal(given.Value, &givenMessage) != nil || json.Unmarshal(recorded.Value, &recordedMessage) != nil {
		return false
	}
	return slices.Equal(
		logValues.FindAllString(givenMessage.Text, -1), logValues.FindAllString(recordedMessage.Text, -1))
}
