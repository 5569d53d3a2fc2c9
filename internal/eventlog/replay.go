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

// DifferenceError reports an order of the balancer that differs from the recorded one. If only one of the two exists,
// the other has the kind "".
type DifferenceError struct {
	File     string
	Line     int // from 1; the header is line 1
	Order    int // index in the orders of the line
	Recorded Item
	Emitted  Item
}

func (e *DifferenceError) Error() string {
	return fmt.Sprintf("%s:%d: order %d: the log has %s, the replay emits %s",
		e.File, e.Line, e.Order, describe(e.Recorded), describe(e.Emitted))
}

// describe returns the kind and value of an order, for errors.
func describe(order Item) string {
	if order.Kind == "" {
		return "no order"
	}
	return fmt.Sprintf("%s %s", order.Kind, order.Value)
}

// Replay steps a new balancer through the events of a log and compares its orders with the recorded ones. It returns
// the number of steps and orders that were equal. The first difference is returned as a *DifferenceError. Errors refer
// to the log by name.
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

// compare returns the number of equal orders up to the first difference, for the line that was read last.
func (r *Reader) compare(given []fleet.Order, recorded []Item) (same int, err error) {
	for i := range max(len(given), len(recorded)) {
		var givenItem, recordedItem Item
		if i < len(given) {
			givenItem, err = orderItem(given[i])
			if err != nil {
				return i, err
			}
		}
		if i < len(recorded) {
			recordedItem = recorded[i]
		}
		if !sameOrder(givenItem, recordedItem) {
			return i, &DifferenceError{File: r.name, Line: r.line, Order: i, Recorded: recordedItem, Emitted: givenItem}
		}
	}
	return max(len(given), len(recorded)), nil
}

// logValues matches the numbers and booleans in the text of a log message.
var logValues = regexp.MustCompile(`\b(?:true|false|NaN)\b|[+-]Inf\b|-?\d+(?:\.\d+)?`)

// sameOrder reports whether two orders are equal. Log messages are equal if they have the same numbers and booleans in
// the same sequence, because their wording differs between versions.
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
