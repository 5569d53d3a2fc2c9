package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"cressknot/internal/fleet"
)

func decodeHex(t testing.TB, text string) []byte {
	t.Helper()
	data, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// frame returns a batch of records with a clock of 246145 ms.
func frame(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	size := batchHeaderBytes + len(body)
	header := []byte{
		byte(size), byte(size >> 8), byte(size >> 16), 0,
		0, 0, 0, 0, 0x20, 0x6e, 0xc0, 0x40,
		byte(len(records)), 0, 0, 0,
	}
	return append(header, body...)
}

// eventRecords are the examples in the protocol's specification, all for instance 3.
var eventRecords = []struct {
	record string
	event  fleet.Event
}{
	{"0201 06000000 0300 4d000000", fleet.TimerFired{ID: 77}},
	{"0001 1d000000 0300 f211902c 0000 666666666666f63f 03 52b81e3f0000e04000006841",
		fleet.ProbeResult{Server: 0x2c9011f2, Duration: 1_400_000, Load: []float32{0.62, 7, 14.5}}},
	{"0601 0a000000 0300 0200 0400 68692037", fleet.PeerMessage{From: 2, Data: []byte("hi 7")}},
	{"0901 0a000000 0300 0000d040 00 2900 01", fleet.ProxyJoined{Proxy: 41, RequestRate: 6.5, Fresh: true}},
	{"0501 04000000 0300 2900", fleet.ProxyLeft{Proxy: 41}},
	{"0b01 2c000000 0300 074a1203 01000000 0e000000 0000000000204840 0000000000408f40 00 03 52b81e3f0000e04000006841",
		fleet.OutcomeReport{Server: 0x03124a07, Failures: 1, Attempts: 14, Latency: 48_250_000,
			Interval: fleet.Second, Load: []float32{0.62, 7, 14.5}}},
	{"0e01 15000000 0300 2900 00 09000000 00000000 0000000000409f40",
		fleet.DemandReport{Proxy: 41, Requests: 9, Interval: 2 * fleet.Second}},
	{"0d01 15000000 0300 7500 00 17000000 02000000 0000000000408f40",
		fleet.SliceDemandReport{Slice: 117, Requests: 23, Unanswered: 2, Interval: fleet.Second}},
	{"0801 05000000 0300 7500 01", fleet.SliceAssigned{Slice: 117, Assigned: true}},
	{"0401 0c000000 0300 7500 f211902c 0000803f", fleet.StoredEntry{Slice: 117, Server: 0x2c9011f2, Weight: 1}},
	{"0701 14000000 0300 0000000000c87940 2900 0c00000000000000",
		fleet.BarrierReached{Proxy: 41, Barrier: 12, Delay: 412_500_000}},
}

const (
	stopRecord  = "0101 02000000 0300"
	startRecord = "0301 12000000 0300 0700000000000000 04000000 7b7d2020"
)

func TestReaderDecodesItems(t *testing.T) {
	type example struct {
		record string
		want   Item
	}
	examples := []example{
		{stopRecord, Item{Controller: 3, Kind: ItemStop}},
		{startRecord, Item{Controller: 3, Kind: ItemStart, Start: &Start{Seed: 7, Options: []byte("{}  ")}}},
	}
	for _, e := range eventRecords {
		examples = append(examples, example{e.record, Item{Controller: 3, Kind: ItemEvent, Event: e.event}})
	}
	for _, e := range examples {
		batch, err := NewReader(bytes.NewReader(frame(decodeHex(t, e.record)))).Next()
		if err != nil {
			t.Errorf("%s: %v", e.record, err)
			continue
		}
		if !reflect.DeepEqual(batch.Items, []Item{e.want}) {
			t.Errorf("%s: got %+v, want %+v", e.record, batch.Items, e.want)
		}
	}
}

const (
	registerTwoServers = `0c01 30000000 0000 02000000
		00 0000 0000000000000000 00 00 074a1203 0000803f 00 0000 0000000000d4b740 01 00 f211902c 0000c03f`
	registerOneServer = "0c01 1b000000 0000 01000000 01 0000 0000000000000000 00 00 074a1203 0000803f"
	listZeroRecord    = "0a01 0d000000 0300 00 0000 2900000000000000"
)

func TestReaderKeepsListsOfABatchApartWhenANumberIsReused(t *testing.T) {
	first := frame(
		decodeHex(t, registerTwoServers),
		decodeHex(t, listZeroRecord),
		decodeHex(t, registerOneServer),
		decodeHex(t, listZeroRecord),
	)
	reader := NewReader(bytes.NewReader(append(first, frame()...)))
	batch, err := reader.Next()
	if err != nil {
		t.Fatal(err)
	}
	two := batch.Items[0].Event.(fleet.EndpointList)
	if len(two.Endpoints) != 2 || two.Endpoints[1].Started != 6100*fleet.Millisecond || two.Revision != 41 {
		t.Errorf("first list is %+v", two)
	}
	one := batch.Items[1].Event.(fleet.EndpointList)
	if len(one.Endpoints) != 1 || one.Endpoints[0].State != fleet.ServerDraining {
		t.Errorf("second list is %+v", one)
	}
	if batch, err = reader.Next(); err != nil || len(batch.Items) != 0 {
		t.Fatalf("empty batch gives %+v, %v", batch, err)
	}
	if _, err = reader.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("end of input gives %v", err)
	}
}

func TestReaderErrorsNameTheByte(t *testing.T) {
	stop := frame(decodeHex(t, stopRecord))
	wrongCount := append([]byte(nil), stop...)
	wrongCount[12] = 9
	for want, input := range map[string][]byte{
		"byte 0: input ends after 2 of 4 bytes of the frame length": {3, 0},
		"byte 0: input ends after 20 of 24 bytes of the frame":      stop[:20],
		"byte 16: record count 9 needs at least 54 bytes, 8 remain": wrongCount,
		"byte 16: unknown event code 511":                           frame(decodeHex(t, "ff01 02000000 0300")),
		"byte 22: record of code 257: need 9 bytes, 2 remain":       frame(decodeHex(t, "0101 09000000 0300")),
		"byte 27: page: endpoint list 0 is not registered":          frame(decodeHex(t, listZeroRecord)),
		"byte 28: entries: count 9 needs 189 bytes, 0 remain":       frame(decodeHex(t, "0c01 06000000 0000 09000000")),
	} {
		_, err := NewReader(bytes.NewReader(input)).Next()
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

func TestWriterEncodesOrders(t *testing.T) {
	for want, order := range map[string]fleet.Order{
		"0001 0e000000 0300 0000000000407f40 4d000000": fleet.SetTimer{Delay: 500 * fleet.Millisecond, ID: 77},
		"0101 06000000 0300 f211902c":                  fleet.ProbeServer{Server: 0x2c9011f2},
		"0201 0c000000 0300 ffffffff 0400 68692037":    fleet.SendToPeer{To: fleet.AllPeers, Data: []byte("hi 7")},
		"0501 03000000 0300 01":                        fleet.WatchEndpoints{Enabled: true},
		"0601 02000000 0300":                           fleet.FetchEndpoints{},
		"0701 0c000000 0300 7500 f211902c 0000403f":    fleet.SetWeight{Table: 117, Server: 0x2c9011f2, Weight: 0.75},
		"0801 04000000 0300 7500":                      fleet.ClearTable{Table: 117},
		"0a01 08000000 0300 2900 7500 0000":            fleet.AssignTable{Proxy: 41, Table: 117},
		"0901 07000000 0300 f211902c 01":               fleet.WithdrawServer{Server: 0x2c9011f2, Withdrawn: true},
		"0b01 0b000000 0300 01 0000403f 0200 7500": fleet.SetAdmission{
			Table: 117, Classes: 2, Limit: 0.75, Retry: fleet.RetryIfNotExecuted},
		"0c01 0b000000 0300 0c00000000000000 00":                     fleet.Barrier{ID: 12},
		"0301 15000000 0300 1100 74776f2073657276657273206b6e6f776e": fleet.LogMessage{Text: "two servers known"},
	} {
		var w Writer
		w.Begin()
		if err := w.AppendOrder(3, order); err != nil {
			t.Fatal(err)
		}
		reply, record := w.Frame(), decodeHex(t, want)
		if !bytes.Equal(reply[replyHeaderBytes:], record) || reply[0] != byte(len(reply)) || reply[4] != 1 {
			t.Errorf("%T: got %x, want %x", order, reply, record)
		}
	}
}

const settings = `{"discovery": "on_request", "unheardOf": [1], "weightSource": "live",
	"dcs": ["a", "b"], "report": {"how": "inline", "fields": ["busy", "new"]},
	"grades": [{"effect": "idempotency_key", "group": "zone", "targetMs": 1500, "deadlineMs": 5000, "worth": 3}],
	"familyInfo": {"admission": "rps", "mostWaiting": 30000, "egressPerS": 15000, "envelope": 6,
		"unservedMaxMs": 5800, "staysLocal": [true]},
	"rules": {"coldFrom": 0.16, "coldMs": 18000, "drainGraceMs": 3500.5, "fallMs": 2000, "overloadFactor": 4}}`

func TestParseSiteConvertsSettings(t *testing.T) {
	site, err := ParseSite([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	if !site.ListOnRequest || site.ListWeight != fleet.ListWeightLive || site.Admission != fleet.AdmissionRate ||
		site.DrainTimeout != 3500500*fleet.Millisecond/1000 || site.LoadFields[0] != fleet.LoadFieldUtilization {
		t.Errorf("site %+v", site)
	}
	class := site.Classes[0]
	if class.Idempotency != fleet.IdempotentWithKey || class.DeduplicationScope != fleet.DeduplicationZone ||
		!class.ZoneLocal || class.LatencyObjective != 1500*fleet.Millisecond {
		t.Errorf("class %+v", class)
	}
}

func TestParseSiteNamesTheMissingKey(t *testing.T) {
	for _, key := range []string{"mostWaiting", "coldFrom", "drainGraceMs", "overloadFactor", "targetMs", "effect"} {
		_, err := ParseSite([]byte(strings.Replace(settings, key, key+"X", 1)))
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("without %s: %v", key, err)
		}
	}
}
