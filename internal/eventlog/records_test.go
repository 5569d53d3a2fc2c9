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

var writeFixtures = flag.Bool("write-fixtures", false, "write the stored data in testdata anew")

const storedRecords = "testdata/records.jsonl"

func storedSite() fleet.Site {
	ms := fleet.Millisecond
	return fleet.Site{
		Me: 1, Governors: 2, Zone: 1, Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}, Tick: 50 * ms,
		Classes: []fleet.VisitClass{
			{Name: "look", Value: 1, Expected: fleet.Second, HardStop: 4 * fleet.Second, LateShare: 0.25},
			{Name: "book", Effect: fleet.Keyed, Group: fleet.GroupZone, Value: 5, Window: 1500 * ms, Expected: fleet.Second,
				HardStop: 3 * fleet.Second, StaysLocal: true, Writes: true},
		},
		ListOnRequest: true, ListWeight: fleet.WeightNominal, Report: fleet.ReportOnProbe,
		LoadFields: []fleet.LoadField{fleet.FieldHeld, fleet.FieldBusy}, Probes: true, Peers: true,
		Admission: fleet.AdmitRate, Proxies: 6, JoinByZone: true, Standing: 3, Exclusive: true, Tenure: 7 * ms, InFlightMost: 8 * ms,
		PerTry: 1.5, RetryDefault: fleet.RetryIfNeverRan, OutlierAfter: 4, ConnLeast: 100, ReportEvery: 500 * ms, ReportsPerS: 300,
		Travel: 100 * ms, TravelMost: 400 * ms, LinesPerS: 2500, MessageHead: 4, BacklogMost: 2500, MessagesMost: 20,
		MessagesOver: 10 * fleet.Second, BareMost: 5 * fleet.Second, ConnectTimeout: 250 * ms, ColdFrom: 0.2, ColdFor: 15 * fleet.Second,
		FallFactor: 3, FallFor: 1500 * ms, DrainGrace: 2 * fleet.Second, AskWithin: 10 * fleet.Second, GoneDoesNot: true, WorstClassPay: 0.3,
		WholePay: 0.7,
	}
}

// storedEvents gives events of all kinds that records may hold, some of each.
func storedEvents(rng *rand.Rand, step int) []fleet.Event {
	var events []fleet.Event
	if step == 0 {
		l := fleet.List{Scope: fleet.ListFull, Rev: 7}
		for i := range fleet.ServerID(6) {
			l.Entries = append(l.Entries, fleet.Entry{Server: i, Zone: fleet.ZoneID(i % 2), Kind: 1, Cell: 3, Weight: 1})
		}
		events = append(events, l)
		for i := range fleet.ProxyID(6) {
			events = append(events, fleet.Joined{Proxy: i, Zone: fleet.ZoneID(i % 2), Weight: 6.5, Fresh: i%2 == 0})
		}
		return append(events, fleet.Message{From: 2, Data: []byte("hi 7")}, fleet.SliceUsage{Slice: 1, Class: 1, Visits: 3, NoAnswer: 1, Span: fleet.Second},
			fleet.Charge{Slice: 117, Given: true}, fleet.StoredLine{Slice: 117, Server: 2, Weight: 0.5})
	}
	switch step {
	case 30:
		events = append(events, fleet.List{Scope: fleet.ListDelta, Rev: 8, Entries: []fleet.Entry{{Server: 3, State: fleet.Draining, Zone: 1, Kind: 1},
			{Server: 6, Zone: 1, Started: 60 * fleet.Second}}})
	case 60:
		events = append(events, fleet.Left{Proxy: 4}, fleet.List{Scope: fleet.ListFailed})
	case 70:
		events = append(events, fleet.Joined{Proxy: 4, Weight: 2}, fleet.Alarm{ID: 5})
	}
	for i := range fleet.ServerID(6) {
		if step%2 == 0 {
			load := []float32{float32(rng.Intn(5)), rng.Float32() / 2}
			events = append(events, fleet.Heard{Server: i, Tries: 9, Failed: uint32(rng.Intn(2)), Latency: 90 * fleet.Millisecond, Span: fleet.Second / 2,
				Zone: fleet.ZoneID(i % 2), Load: load}, fleet.Probed{Server: i, Outcome: fleet.Outcome(rng.Intn(2)), Took: 3 * fleet.Millisecond, Load: load})
		}
	}
	for i := range fleet.ProxyID(6) {
		for c := range fleet.ClassID(2) {
			events = append(events, fleet.Usage{Proxy: i, Class: c, Visits: uint32(4 + rng.Intn(4)), NoAnswer: uint32(rng.Intn(2)), Span: fleet.Second / 2})
		}
		events = append(events, fleet.Applied{Proxy: i, Mark: fleet.MarkID(step / 8), Took: 120 * fleet.Millisecond})
	}
	return events
}

func recordedDay(t *testing.T) []byte {
	t.Helper()
	rng := rand.New(rand.NewSource(11))
	var out bytes.Buffer
	w, err := NewWriter(&out, Start{Governor: "g-1", Site: storedSite(), Seed: 77})
	if err != nil {
		t.Fatal(err)
	}
	module := balancer.New(storedSite(), 77)
	for i := range 90 {
		now := 50*fleet.Second + fleet.Time(i)*fleet.Second/4
		events := storedEvents(rng, i)
		orders := module.Step(now, events)
		w.Step(now, events, orders, 6+i/30, func(id fleet.ServerID) string { return "node-" + string(rune('a'+id)) })
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// TestRecordsOfAnEarlierProgramReplay: a file of records replays to the same orders, and the same day is written to the same bytes.
func TestRecordsOfAnEarlierProgramReplay(t *testing.T) {
	written := recordedDay(t)
	if *writeFixtures {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(storedRecords, written, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(storedRecords)
	if err != nil {
		t.Fatal(err)
	}
	steps, orders, err := Replay(storedRecords, bytes.NewReader(stored))
	if err != nil || steps != 90 || orders < 100 {
		t.Errorf("%d steps, %d orders: %v", steps, orders, err)
	}
	if !bytes.Equal(written, stored) {
		t.Error("the same day is written to other bytes")
	}
	for _, kind := range []string{"List", "Alarm", "Probed", "Message", "Joined", "Left", "Heard", "Usage", "SliceUsage", "Charge", "StoredLine", "Applied",
		"SetAlarm", "Probe", "Log", "Watch", "Share", "Withdraw", "Bind", "Level", "Mark"} {
		if !bytes.Contains(stored, []byte(`{"Is":"`+kind+`","V":{`)) {
			t.Errorf("no %s in the records", kind)
		}
	}
}

// TestOrdersKeepTheirForm holds the text of orders that the module gives seldom or never.
func TestOrdersKeepTheirForm(t *testing.T) {
	for want, order := range map[string]fleet.Order{
		`{"After":5,"ID":6}`:                  fleet.SetAlarm{After: 5, ID: 6},
		`{"Server":4}`:                        fleet.Probe{Server: 4},
		`{"To":4294967295,"Data":"aGk="}`:     fleet.Tell{To: fleet.EveryPeer, Data: []byte("hi")},
		`{"Text":"two servers"}`:              fleet.Log{Text: "two servers"},
		`{"On":true}`:                         fleet.Watch{On: true},
		`{}`:                                  fleet.Fetch{},
		`{"Table":3,"Server":4,"Weight":0.5}`: fleet.Share{Table: 3, Server: 4, Weight: 0.5},
		`{"Table":3}`:                         fleet.Clear{Table: 3},
		`{"Server":4,"Out":true}`:             fleet.Withdraw{Server: 4, Out: true},
		`{"Proxy":9,"Table":3,"Classes":5}`:   fleet.Bind{Proxy: 9, Table: 3, Classes: 5},
		`{"Table":65535,"Classes":2,"Amount":4,"Retry":3}`: fleet.Level{Table: fleet.EveryTable, Classes: 2, Amount: 4, Retry: fleet.RetryTwice},
		`{"ID":12,"All":true}`:                             fleet.Mark{ID: 12, All: true},
	} {
		it, err := orderItem(order)
		if err != nil || string(it.V) != want {
			t.Errorf("%T: %s, %v; want %s", order, it.V, err, want)
		}
	}
}

// TestRecordedTypesHaveTags: what is written by a field's Go name would change on disk when the field is renamed.
func TestRecordedTypesHaveTags(t *testing.T) {
	seen := map[reflect.Type]bool{}
	var look func(of reflect.Type)
	look = func(of reflect.Type) {
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
				t.Errorf("%s.%s has no tag", of, f.Name)
			}
			look(f.Type)
		}
	}
	for _, v := range []any{Start{}, Step{}, fleet.List{}, fleet.Alarm{}, fleet.Probed{}, fleet.Message{}, fleet.Joined{}, fleet.Left{}, fleet.Heard{},
		fleet.Usage{}, fleet.SliceUsage{}, fleet.Charge{}, fleet.StoredLine{}, fleet.Applied{}, fleet.Unconfirmed{}, fleet.SetAlarm{}, fleet.Probe{},
		fleet.Tell{}, fleet.Log{}, fleet.Watch{}, fleet.Fetch{}, fleet.Share{}, fleet.Clear{}, fleet.Withdraw{}, fleet.Bind{}, fleet.Level{}, fleet.Mark{}} {
		look(reflect.TypeOf(v))
	}
}

// TestReaderEndsAndNamesLines: the end is io.EOF; what can't be read is told with file and line.
func TestReaderEndsAndNamesLines(t *testing.T) {
	day := recordedDay(t)
	r, err := NewReader("day", bytes.NewReader(day))
	if err != nil || r.Start.Governor != "g-1" || r.Start.Seed != 77 || r.Line() != 1 {
		t.Fatalf("%+v, %v", r.Start, err)
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
		t.Errorf("%d lines, %d events", r.Line(), events)
	}
	if _, _, err := Replay("day", bytes.NewReader(day[:len(day)-9])); err == nil || !strings.HasPrefix(err.Error(), "day:91: ") {
		t.Errorf("a cut last line: %v", err)
	}
}

type brokenPipe struct{}

func (brokenPipe) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func TestWriterKeepsItsFirstError(t *testing.T) {
	if _, err := NewWriter(brokenPipe{}, Start{}); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("%v", err)
	}
}
