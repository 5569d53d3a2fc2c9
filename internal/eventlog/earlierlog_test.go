package eventlog

import (
	"bytes"
	"errors"
	"io"
	"os"
	"reflect"
	"slices"
	"testing"

	"cressknot/internal/fleet"
)

// growingBackoffLog is the log of the same run as goldenLog by a version whose list requests backed off for longer with
// each failure. The run has one failure, before which the decisions are the same.
const (
	growingBackoffLog  = "testdata/records-with-growing-backoff.jsonl"
	failedListLine     = 62
	nextRequestLine    = 64
	formerRequestLine  = 65
	recordedStepsCount = 90
)

// loggedStep is a step of a log with its decoded events, without the orders that request the list and set timers.
type loggedStep struct {
	Step
	events []fleet.Event
}

// readWithoutListRequests returns the header and the steps of a log.
func readWithoutListRequests(t *testing.T, name string) (Header, []loggedStep) {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	reader, err := NewReader(name, bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	var steps []loggedStep
	for {
		step, events, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return reader.Header, steps
		}
		if err != nil {
			t.Fatal(err)
		}
		step.Orders = slices.DeleteFunc(step.Orders, func(order Item) bool {
			return order.Kind == kindSetTimer || order.Kind == kindWatchEndpoints
		})
		step.Events = nil // compared as decoded
		steps = append(steps, loggedStep{step, events})
	}
}

// TestLogWithGrowingBackoffIsRead guards against logs that a later version cannot read. All of a log by a version with
// other list requests is decoded, all decisions but those requests and timers are the same, and its replay ends at the
// first of these with the place.
func TestLogWithGrowingBackoffIsRead(t *testing.T) {
	header, steps := readWithoutListRequests(t, growingBackoffLog)
	presentHeader, presentSteps := readWithoutListRequests(t, goldenLog)
	if !reflect.DeepEqual(header, presentHeader) || len(steps) != recordedStepsCount || len(presentSteps) != len(steps) {
		t.Fatalf("headers %+v and %+v, %d and %d steps, want equal headers and %d steps",
			header, presentHeader, len(steps), len(presentSteps), recordedStepsCount)
	}
	for i := range steps {
		if !reflect.DeepEqual(steps[i], presentSteps[i]) {
			t.Errorf("step %d differs: %+v, present %+v", i, steps[i], presentSteps[i])
		}
	}
	text, err := os.ReadFile(growingBackoffLog)
	if err != nil {
		t.Fatal(err)
	}
	_, _, err = Replay(growingBackoffLog, bytes.NewReader(text))
	var difference *DifferenceError
	if !errors.As(err, &difference) || difference.Line != failedListLine || difference.Recorded.Kind != kindSetTimer {
		t.Errorf("replayed with %v, want a difference of a timer in line %d", err, failedListLine)
	}
}

// TestLogsDifferInListRequestsOnly checks where the two logs request the list after its failure.
func TestLogsDifferInListRequestsOnly(t *testing.T) {
	for name, want := range map[string]int{growingBackoffLog: formerRequestLine, goldenLog: nextRequestLine} {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range bytes.Split(text, []byte("\n"))[failedListLine:] {
			if bytes.Contains(line, []byte(`"Is":"`+kindWatchEndpoints+`"`)) {
				if got := failedListLine + i + 1; got != want {
					t.Errorf("%s: list requested in line %d, want %d", name, got, want)
				}
			}
		}
	}
}
