package eventlog

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"math/rand"
	"os"
	"reflect"
	"strings"
	"testing"

	"cressknot/internal/balancer"
	"cressknot/internal/fleet"
)

var writeFixtures = flag.Bool("write-fixtures", false, "rewrite the recorded log in testdata")

const goldenLog = "testdata/records.jsonl"

func storedSite() fleet.Site {
	ms := fleet.Millisecond
	return fleet.Site{
		ControllerIndex: 1,
		Controllers:     2,
		Zone:            1,
		Zones:           []string{"a", "b"},
		Kinds:           []string{"m1", "m2"},
		Tick:            50 * ms,
		Classes: []fleet.RequestClass{
			{
				Name:              "look",
				PriorityWeight:    1,
				LatencyObjective:  fleet.Second,
				Deadline:          4 * fleet.Second,
				LateValueFraction: 0.25,
			},
			{
				Name:                "book",
				Idempotency:         fleet.IdempotentWithKey,
				DeduplicationScope:  fleet.DeduplicationZone,
				PriorityWeight:      5,
				DeduplicationWindow: 1500 * ms,
				LatencyObjective:    fleet.Second,
				Deadline:            3 * fleet.Second,
				ZoneLocal:           true,
				Writes:              true,
			},
		},
		ListOnRequest: true,
		ListWeight:    fleet.ListWeightNominal,
		LoadReports:   fleet.LoadReportOnProbe,
		LoadFields: []fleet.LoadField{
			fleet.LoadFieldInFlight,
			fleet.LoadFieldUtilization,
		},
		ProbesAllowed:        true,
		PeersAllowed:         true,
		Admission:            fleet.AdmissionRate,
		ProxyCount:           6,
		JoinByZone:           true,
		MaxStandingTableSize: 3,
		ExclusiveSlices:      true,
		WriteLeaseDuration:   7 * ms,
		MaxWriteDuration:     8 * ms,
		AttemptTimeoutFactor: 1.5,
		DefaultRetry:         fleet.RetryIfNotExecuted,
		ProxyOutlierFailures: 4,
		MinServerConnections: 100,
		ReportInterval:       500 * ms,
		ReportsPerSecond:     300,
		MeanUpdateDelay:      100 * ms,
		MaxUpdateDelay:       400 * ms,
		EntriesPerSecond:     2500,
		MessageOverhead:      4,
		MaxBacklog:           2500,
		MaxMessages:          20,
		MessageWindow:        10 * fleet.Second,
		MaxUnservedDuration:  5 * fleet.Second,
		ConnectTimeout:       250 * ms,
		SlowStart: fleet.SlowStart{
			InitialFraction: 0.2,
			Duration:        15 * fleet.Second,
		},
		RecoveryRamp: fleet.RecoveryRamp{
			OverloadFactor: 3,
			Duration:       1500 * ms,
		},
		DrainTimeout:              2 * fleet.Second,
		MaxPollInterval:           10 * fleet.Second,
		IgnoreRemoval:             true,
		ObjectiveWorstClassWeight: 0.3,
		ObjectiveOverallWeight:    0.7,
	}
}

// storedEvents returns the events of a step. All steps together have every kind of event that a log may hold.
func storedEvents(rng *rand.Rand, step int) []fleet.Event {
	var events []fleet.Event
	if step == 0 {
		l := fleet.EndpointList{Scope: fleet.ListFull, Revision: 7}
		for i := range fleet.ServerID(6) {
			l.Endpoints = append(l.Endpoints, fleet.Endpoint{Server: i, Zone: fleet.ZoneID(i % 2), Kind: 1, Cell: 3, Weight: 1})
		}
		events = append(events, l)
		for i := range fleet.ProxyID(6) {
			events = append(events, fleet.ProxyJoined{Proxy: i, Zone: fleet.ZoneID(i % 2), RequestRate: 6.5, Fresh: i%2 == 0})
		}
		return append(events, fleet.PeerMessage{
			From: 2,
			Data: []byte("hi 7"),
		}, fleet.SliceDemandReport{Slice: 1, Class: 1, Requests: 3, Unanswered: 1, Interval: fleet.Second},
			fleet.SliceAssigned{Slice: 117, Assigned: true}, fleet.StoredEntry{Slice: 117, Server: 2, Weight: 0.5})
	}
	switch step {
	case 30:
		events = append(events, fleet.EndpointList{
			Scope:    fleet.ListDelta,
			Revision: 8,
			Endpoints: []fleet.Endpoint{{Server: 3, State: fleet.ServerDraining, Zone: 1, Kind: 1},
				{Server: 6, Zone: 1, Started: 60 * fleet.Second}},
		})
	case 60:
		events = append(events, fleet.ProxyLeft{Proxy: 4}, fleet.EndpointList{Scope: fleet.ListFailed})
	case 70:
		events = append(events, fleet.ProxyJoined{Proxy: 4, RequestRate: 2}, fleet.TimerFired{ID: 5})
	}
	for i := range fleet.ServerID(6) {
		if step%2 == 0 {
			load := []float32{float32(rng.Intn(5)), rng.Float32() / 2}
			events = append(events, fleet.OutcomeReport{
				Server:   i,
				Attempts: 9,
				Failures: uint32(rng.Intn(2)),
				Latency:  90 * fleet.Millisecond,
				Interval: fleet.Second / 2,
				Zone:     fleet.ZoneID(i % 2),
				Load:     load,
			}, fleet.ProbeResult{
				Server:   i,
				Outcome:  fleet.ProbeOutcome(rng.Intn(2)),
				Duration: 3 * fleet.Millisecond,
				Load:     load,
			})
		}
	}
	for i := range fleet.ProxyID(6) {
		for c := range fleet.ClassID(2) {
			events = append(events, fleet.DemandReport{
				Proxy:      i,
				Class:      c,
				Requests:   uint32(4 + rng.Intn(4)),
				Unanswered: uint32(rng.Intn(2)),
				Interval:   fleet.Second / 2,
			})
		}
		events = append(events, fleet.BarrierReached{
			Proxy:   i,
			Barrier: fleet.BarrierID(step / 8),
			Delay:   120 * fleet.Millisecond,
		})
	}
	return events
}

// recordRun returns the log of a run of the balancer with the events of storedEvents.
func recordRun(t *testing.T) []byte {
	t.Helper()
	rng := rand.New(rand.NewSource(11))
	var out bytes.Buffer
	w, err := NewWriter(&out, Header{Controller: "g-1", Site: storedSite(), Seed: 77})
	if err != nil {
		t.Fatal(err)
	}
	b := balancer.New(storedSite(), 77)
	for i := range 90 {
		now := 50*fleet.Second + fleet.Time(i)*fleet.Second/4
		events := storedEvents(rng, i)
		orders := b.Step(now, events)
		w.Step(now, events, orders, 6+i/30, func(id fleet.ServerID) string { return "node-" + string(rune('a'+id)) })
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// withPresentLogTexts returns a log with the log texts of an earlier version in the present wording.
func withPresentLogTexts(log []byte) []byte {
	for _, seconds := range []string{"2", "4"} {
		earlier := "server 6 cut off for " + seconds + " s: silent true, 0 of 0 tries failed"
		present := "server 6 ejected for " + seconds + " s: unresponsive: true, failed attempts: 0 of 0"
		log = bytes.ReplaceAll(log, []byte(earlier), []byte(present))
	}
	return log
}

// TestLogOfEarlierVersionReplays checks that a log in testdata, which may be from an earlier version, replays to the
// same orders, and that the same run is still written to the same bytes but for the wording of log messages.
func TestLogOfEarlierVersionReplays(t *testing.T) {
	written := recordRun(t)
	if *writeFixtures {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenLog, written, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(goldenLog)
	if err != nil {
		t.Fatal(err)
	}
	steps, orders, err := Replay(goldenLog, bytes.NewReader(stored))
	if err != nil || steps != 90 || orders < 100 {
		t.Errorf("%d steps, %d orders: %v", steps, orders, err)
	}
	if !bytes.Equal(written, withPresentLogTexts(stored)) {
		t.Error("the log of the same run differs from the recorded one")
	}
	for _, kind := range []string{
		"List",
		"Alarm",
		"Probed",
		"Message",
		"Joined",
		"Left",
		"Heard",
		"Usage",
		"SliceUsage",
		"Charge",
		"StoredLine",
		"Applied",
		"SetAlarm",
		"Probe",
		"Log",
		"Watch",
		"Share",
		"Withdraw",
		"Bind",
		"Level",
		"Mark",
	} {
		if !bytes.Contains(stored, []byte(`{"Is":"`+kind+`","V":{`)) {
			t.Errorf("no event or order of kind %s in the log", kind)
		}
	}
}

// TestOrderFormIsStable checks the JSON of orders, among them those that the balancer returns seldom or never and that
// the recorded log may lack.
func TestOrderFormIsStable(t *testing.T) {
	for want, order := range map[string]fleet.Order{
		`{"After":5,"ID":6}`:                  fleet.SetTimer{Delay: 5, ID: 6},
		`{"Server":4}`:                        fleet.ProbeServer{Server: 4},
		`{"To":4294967295,"Data":"aGk="}`:     fleet.SendToPeer{To: fleet.AllPeers, Data: []byte("hi")},
		`{"Text":"two servers"}`:              fleet.LogMessage{Text: "two servers"},
		`{"On":true}`:                         fleet.WatchEndpoints{Enabled: true},
		`{}`:                                  fleet.FetchEndpoints{},
		`{"Table":3,"Server":4,"Weight":0.5}`: fleet.SetWeight{Table: 3, Server: 4, Weight: 0.5},
		`{"Table":3}`:                         fleet.ClearTable{Table: 3},
		`{"Server":4,"Out":true}`:             fleet.WithdrawServer{Server: 4, Withdrawn: true},
		`{"Proxy":9,"Table":3,"Classes":5}`:   fleet.AssignTable{Proxy: 9, Table: 3, Classes: 5},
		`{"Table":65535,"Classes":2,"Amount":4,"Retry":3}`: fleet.SetAdmission{
			Table:   fleet.AllTables,
			Classes: 2,
			Limit:   4,
			Retry:   fleet.RetryTwice,
		},
		`{"ID":12,"All":true}`: fleet.Barrier{ID: 12, AllProxies: true},
	} {
		item, err := orderItem(order)
		if err != nil || string(item.Value) != want {
			t.Errorf("%T: %s, %v; want %s", order, item.Value, err, want)
		}
	}
}

// TestRecordedTypesHaveTags checks that every recorded field has a JSON tag. Without one, renaming the field would
// change its name in the log, and earlier logs could no longer be read.
func TestRecordedTypesHaveTags(t *testing.T) {
	seen := map[reflect.Type]bool{}
	var checkTags func(of reflect.Type)
	checkTags = func(of reflect.Type) {
		for of.Kind() == reflect.Slice || of.Kind() == reflect.Pointer || of.Kind() == reflect.Map {
			of = of.Elem()
		}
		if of.Kind() != reflect.Struct || seen[of] {
			return
		}
		seen[of] = true
		for i := range of.NumField() {
			f := of.Field(i)
			if f.Tag.Get("json") == "" && !f.Anonymous {
				t.Errorf("%s.%s has no JSON tag", of, f.Name)
			}
			checkTags(f.Type)
		}
	}
	for _, v := range []any{
		Header{},
		Step{},
		fleet.EndpointList{},
		fleet.TimerFired{},
		fleet.ProbeResult{},
		fleet.PeerMessage{},
		fleet.ProxyJoined{},
		fleet.ProxyLeft{},
		fleet.OutcomeReport{},
		fleet.DemandReport{},
		fleet.SliceDemandReport{},
		fleet.SliceAssigned{},
		fleet.StoredEntry{},
		fleet.BarrierReached{},
		fleet.OrdersUnconfirmed{},
		fleet.SetTimer{},
		fleet.ProbeServer{},
		fleet.SendToPeer{},
		fleet.LogMessage{},
		fleet.WatchEndpoints{},
		fleet.FetchEndpoints{},
		fleet.SetWeight{},
		fleet.ClearTable{},
		fleet.WithdrawServer{},
		fleet.AssignTable{},
		fleet.SetAdmission{},
		fleet.Barrier{},
	} {
		checkTags(reflect.TypeOf(v))
	}
}

// TestReaderReportsLineOfError checks that the end of a log is io.EOF, and that a truncated line is reported with file
// and line.
func TestReaderReportsLineOfError(t *testing.T) {
	recorded := recordRun(t)
	r, err := NewReader("day", bytes.NewReader(recorded))
	if err != nil || r.Header.Controller != "g-1" || r.Header.Seed != 77 || r.Line() != 1 {
		t.Fatalf("%+v, %v", r.Header, err)
	}
	events := 0
	for {
		_, read, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		events += len(read)
	}
	if r.Line() != 91 || events < 1000 {
		t.Errorf("read %d lines and %d events, want 91 and at least 1000", r.Line(), events)
	}
	if _, _, err := Replay("day", bytes.NewReader(recorded[:len(recorded)-9])); err == nil ||
		!strings.HasPrefix(err.Error(), "day:91: ") {
		t.Errorf("truncated last line: error %v, want prefix day:91", err)
	}
}

// brokenPipe fails every write.
type brokenPipe struct{}

func (brokenPipe) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func TestWriterReturnsFirstError(t *testing.T) {
	if _, err := NewWriter(brokenPipe{}, Header{}); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("error %v, want %v", err, io.ErrClosedPipe)
	}
}
