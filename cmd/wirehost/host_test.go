package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const testSettings = `{"discovery": "on_request",
	"grades": [{"effect": "read_like", "targetMs": 1500, "deadlineMs": 5000}],
	"familyInfo": {"mostWaiting": 30000, "egressPerS": 15000, "envelope": 6, "unservedMaxMs": 5800},
	"rules": {"coldFrom": 0.16, "coldMs": 18000, "drainGraceMs": 3500, "fallMs": 2000, "overloadFactor": 4}}`

// Record codes of the simulator protocol, as in its specification.
const (
	codeStop  = 257
	codeTimer = 258
	codeStart = 259
)

// record returns a record for an instance.
func record(code, instance uint16, fields ...byte) []byte {
	data := binary.LittleEndian.AppendUint16(nil, code)
	data = binary.LittleEndian.AppendUint32(data, uint32(2+len(fields)))
	data = binary.LittleEndian.AppendUint16(data, instance)
	return append(data, fields...)
}

func startRecord(instance uint16, settings string) []byte {
	fields := binary.LittleEndian.AppendUint64(nil, 7) // the seed
	fields = binary.LittleEndian.AppendUint32(fields, uint32(len(settings)))
	return record(codeStart, instance, append(fields, settings...)...)
}

func timerRecord(instance uint16) []byte {
	return record(codeTimer, instance, binary.LittleEndian.AppendUint32(nil, 1)...)
}

// batch returns a frame with a clock in milliseconds.
func batch(now float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	data := binary.LittleEndian.AppendUint32(nil, uint32(16+len(body)))
	data = binary.LittleEndian.AppendUint64(data, math.Float64bits(now))
	data = binary.LittleEndian.AppendUint32(data, uint32(len(records)))
	return append(data, body...)
}

// replyRecords serves the batches and returns the number of records in each reply.
func replyRecords(t *testing.T, batches ...[]byte) []uint32 {
	t.Helper()
	var out bytes.Buffer
	if err := serve(bytes.NewReader(bytes.Join(batches, nil)), &out); err != nil {
		t.Fatal(err)
	}
	var counts []uint32
	for replies := out.Bytes(); len(replies) > 0; {
		counts = append(counts, binary.LittleEndian.Uint32(replies[4:]))
		replies = replies[binary.LittleEndian.Uint32(replies):]
	}
	return counts
}

func TestServeAnswersEachBatch(t *testing.T) {
	counts := replyRecords(t, batch(1000, startRecord(3, testSettings)), batch(1001), batch(1002))
	if len(counts) != 3 {
		t.Fatalf("got %d replies, want 3", len(counts))
	}
	if counts[0] == 0 {
		t.Error("no orders from an instance that was just started")
	}
	if counts[1] != 0 || counts[2] != 0 {
		t.Errorf("replies to empty batches have %v records, want none", counts[1:])
	}
}

func TestStoppedInstanceOrdersNothing(t *testing.T) {
	counts := replyRecords(t, batch(1000, startRecord(3, testSettings), timerRecord(3), record(codeStop, 3)))
	if len(counts) != 1 || counts[0] != 0 {
		t.Errorf("replies have %v records, want a single empty reply", counts)
	}
}

func TestServeErrorsNameTheInstance(t *testing.T) {
	for _, test := range []struct {
		name, want string
		records    []byte
	}{
		{
			"event before start",
			"controller 3: received fleet.TimerFired before the enlist message, which starts an instance",
			timerRecord(3),
		},
		{"missing settings", "controller 3: settings: key discovery", startRecord(3, "{}")},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := serve(bytes.NewReader(batch(1000, test.records)), &bytes.Buffer{})
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %q", err, test.want)
			}
		})
	}
}
