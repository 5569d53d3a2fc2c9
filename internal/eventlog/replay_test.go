package eventlog

import (
	"bytes"
	"errors"
	"os"
	"testing"
)

// TestReplayComparesValuesOfLogMessages changes a log message of a stored log: its wording may differ between versions,
// but a changed value and a message that is missing, moved or of another kind are differences.
func TestReplayComparesValuesOfLogMessages(t *testing.T) {
	const (
		message = `{"Is":"Log","V":{"Text":"server 6 cut off for 4 s: silent true, 0 of 0 tries failed"}}`
		other   = `{"Is":"Log","V":{"Text":"server 6 cut off for 2 s: silent true, 0 of 0 tries failed"}}`
		probe   = `{"Is":"Probe","V":{"Server":0}}`
	)
	stored, err := os.ReadFile(goldenLog)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Count(stored, []byte(message)) != 1 || bytes.Count(stored, []byte(other)) != 1 {
		t.Fatal("the stored log does not have each log message once")
	}
	for _, test := range []struct {
		name        string
		replacement string // of the item
		equal       bool
	}{
		{"other wording", logItem(`6 out 4, \u0022silent\u0022 is true: 0 from 0`), true},
		{"changed server", logItem(`server 5 cut off for 4 s: silent true, 0 of 0 tries failed`), false},
		{"changed number", logItem(`server 6 cut off for 4 s: silent true, 0 of 1 tries failed`), false},
		{"changed fraction", logItem(`server 6 cut off for 4.5 s: silent true, 0 of 0 tries failed`), false},
		{"changed sign", logItem(`server 6 cut off for -4 s: silent true, 0 of 0 tries failed`), false},
		{"changed boolean", logItem(`server 6 cut off for 4 s: silent false, 0 of 0 tries failed`), false},
		{"changed sequence", logItem(`server 6 silent true, cut off for 4 s: 0 of 0 tries failed`), false},
		{"missing value", logItem(`server 6 cut off for 4 s: silent true`), false},
		{"further value", logItem(`server 6 cut off for 4 s: silent true, 0 of 0 tries failed, 1`), false},
		{"no text", `{"Is":"Log","V":{}}`, false},
		{"other kind", `{"Is":"Watch","V":{"On":true}}`, false},
		{"message before another order", message + "," + probe, false},
		{"message after another order", probe + "," + message, false},
		{"message twice", message + "," + message, false},
		{"message missing", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			changed := replaceItem(stored, message, test.replacement)
			if bytes.Equal(changed, stored) {
				t.Fatal("the log was not changed")
			}
			_, _, err := Replay(goldenLog, bytes.NewReader(changed))
			var difference *DifferenceError
			if test.equal && err != nil || !test.equal && !errors.As(err, &difference) {
				t.Errorf("replayed with %v", err)
			}
		})
	}
}

// TestReplayComparesOtherOrdersByteByByte: the comparison by values is for log messages that can be decoded. Any other
// difference between two orders is reported.
func TestReplayComparesOtherOrdersByteByByte(t *testing.T) {
	for _, items := range [][2]Item{
		{{Kind: kindProbeServer, Value: []byte(`{"Server":4}`)}, {Kind: kindProbeServer, Value: []byte(`{"Server": 4}`)}},
		{{Kind: kindSendToPeer, Value: []byte(`{"Text":"a 1"}`)}, {Kind: kindSendToPeer, Value: []byte(`{"Text":"b 1"}`)}},
		{{Kind: kindLogMessage, Value: []byte(`{"Text":"a 1"}`)}, {Kind: kindLogMessage, Value: []byte(`broken 1`)}},
		{{Kind: kindLogMessage, Value: []byte(`{"Text":"a 1"}`)}, {}},
		{{}, {Kind: kindLogMessage, Value: []byte(`{"Text":""}`)}},
	} {
		if sameOrder(items[0], items[1]) {
			t.Errorf("%s %s equals %s %s", items[0].Kind, items[0].Value, items[1].Kind, items[1].Value)
		}
	}
}

// logItem returns a log message as it is stored. The text is escaped for JSON.
func logItem(text string) string { return `{"Is":"Log","V":{"Text":"` + text + `"}}` }

// replaceItem replaces an item of a list of orders; an empty replacement removes it with its comma.
func replaceItem(log []byte, item, replacement string) []byte {
	if replacement != "" {
		return bytes.Replace(log, []byte(item), []byte(replacement), 1)
	}
	for _, withComma := range []string{item + ",", "," + item} {
		if bytes.Contains(log, []byte(withComma)) {
			return bytes.Replace(log, []byte(withComma), nil, 1)
		}
	}
	return log
}
