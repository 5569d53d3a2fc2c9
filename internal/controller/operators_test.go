package controller

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/discovery"
	"cressknot/internal/eventlog"
	"cressknot/internal/fleet"
	"cressknot/internal/ingest"
	"cressknot/internal/ingest/counters"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// fakeTransport records the messages sent, and has no proxies behind it.
type fakeTransport struct {
	mu   sync.Mutex
	sent []reconcile.Message
}

// acknowledge answers all messages that the loop has sent by its fakeTransport.
func (l *Loop) acknowledge() {
	s := l.transport.(*fakeTransport)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.sent {
		l.receiveTransport(transport.Answered{Proxy: m.Proxy, Stream: 1, Sequence: m.Sequence})
	}
	s.sent = nil
}

func (s *fakeTransport) Start(context.Context, transport.Sink) error { return nil }
func (s *fakeTransport) Send(m reconcile.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, m)
}
func (s *fakeTransport) Poll(fleet.ProxyID)         {}
func (s *fakeTransport) Drop(fleet.ProxyID)         {}
func (s *fakeTransport) Stop(context.Context) error { return nil }

type fakeSource struct{ list discovery.EndpointList }

func (f fakeSource) Start(_ context.Context, sink func(discovery.Update)) error {
	sink(discovery.Update{Scope: fleet.ListFull, List: f.list})
	return nil
}
func (fakeSource) Watch(bool) {}
func (fakeSource) Fetch()     {}

func testLoop(t *testing.T) *Loop {
	names := NewServerNames()
	site := fleet.Site{
		Zones:               []string{"a"},
		Classes:             []fleet.RequestClass{{Name: "look", PriorityWeight: 1, LatencyObjective: fleet.Second}},
		EntriesPerSecond:    1000,
		MaxBacklog:          2000,
		ReportInterval:      fleet.Second,
		ReportsPerSecond:    100,
		MaxUnservedDuration: 5 * fleet.Second,
	}
	list := discovery.EndpointList{
		Revision: 4,
		Endpoints: []discovery.Endpoint{{Name: "n1", Addr: "127.0.0.1:1", Zone: "a"},
			{Name: "n2", Addr: "127.0.0.1:2", Zone: "nowhere"}},
	}
	return NewLoop(Options{
		Core: NewCore(CoreOptions{
			Site:    site,
			Seed:    1,
			Proxies: []transport.Proxy{{ID: 0, Name: "p0"}, {ID: 1, Name: "p1"}},
			Names:   names,
		}),
		Names:     names,
		Transport: &fakeTransport{},
		Source:    fakeSource{list},
		Log:       zerolog.Nop(),
	})
}

// startLoop runs a loop until stop is called. Stop fails the test if the loop returned an error.
func startLoop(t *testing.T, loop *Loop) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- loop.Run(ctx, time.Second) }()
	return func() {
		t.Helper()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// askOperators sends a line to the operators' socket and returns all bytes until the connection is closed.
func askOperators(t *testing.T, path, line string, timeout time.Duration) string {
	t.Helper()
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout)) // if it fails, so does the read below
	if _, err := io.WriteString(conn, line); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(answer)
}

// TestOperatorsSocketAnswersCommands checks the answers and the socket: its mode keeps other users out, the socket file
// that a killed controller left behind does not prevent the start, and that of a running controller is not replaced.
func TestOperatorsSocketAnswersCommands(t *testing.T) {
	path := filepath.Join(t.TempDir(), "g.sock")
	abandoned, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	abandoned.(*net.UnixListener).SetUnlinkOnClose(false)
	_ = abandoned.Close() // leaves the socket file behind, as kill -9 does
	loop := testLoop(t)
	o, err := ServeOperators(loop, path, "1.2")
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v", info.Mode(), err)
	}
	if _, err := ServeOperators(loop, path, "1.2"); err == nil {
		t.Error("a second controller took over the socket of a running one")
	}
	stop := startLoop(t, loop)
	loop.receiveTransport(transport.Connected{
		Proxy:  0,
		Stream: 1,
		Snapshot: reconcile.Snapshot{Entries: []reconcile.SnapshotEntry{
			{
				Server: loop.names.GetOrAssign("n9", "127.0.0.1:9"),
				State:  reconcile.EntryState{Weight: 3, State: reconcile.StateReady},
			}}},
	})
	ask := func(text string) string {
		t.Helper()
		return askOperators(t, path, text, 10*time.Second)
	}
	for end := time.Now().Add(10 * time.Second); !strings.Contains(ask("show proxies\n"), "p0 a  up"); {
		if time.Now().After(end) {
			t.Fatalf("proxy p0 is not connected after 10 s: %s", ask("show proxies\n"))
		}
	}
	// Versions of a table: content, differences, pinning and unpinning, refused rollbacks.
	for end := time.Now().Add(20 * time.Second); !strings.Contains(ask("table proxies\n"), "/"); {
		if time.Now().After(end) {
			t.Fatalf("no proxy has a table version after 20 s: %s", ask("table proxies\n"))
		}
		loop.acknowledge()
	}
	history := strings.Fields(strings.Split(ask("table history 0\n"), "\n")[1])
	for _, c := range [][2]string{
		{"table show 0\n", "n1 128"},
		{"table show 0 " + history[1] + "\n", "# table 0 version " + history[1]},
		{"table diff 0 " + history[1] + "\n", "server before after"},
		{"table show 0 x.y\n", `invalid version "x.y"`},
		{"table show 0 zz.9\n", "is not in the history"},
		{"table pin 0 nonsense\n", "is not a duration"},
		{"table pin 0 1m\n", "is pinned at version "},
		{"table history 0\n", "# pinned until"},
		{"table unpin 0\n", "follows the balancer again, as version "},
		{"table unpin 0\n", "is not pinned"},
		{"table rollback 0 " + history[1] + "\n", "Refused: the table already has this content"},
		{"table rollback 0 zz.9\n", "Refused: version zz.9 is not in the history"},
		{"table history 9\n", "Table 9 has no versions"},
		{"table\n", "'table' expects"},
		{"table pin 0 1m 2m\n", "'table' expects"},
	} {
		if answer := ask(c[0]); !strings.Contains(answer, c[1]) {
			t.Errorf("%q: no %q in %q", c[0], c[1], answer)
		}
	}
	for text, wants := range map[string][]string{
		"show info\n":                   {"Version: 1.2\n", "List_rev: 4\n", "Proxies_up: 1\n", "Servers: 1\n"},
		"show servers\n":                {"n1 127.0.0.1:1 a ready - false"},
		"show proxies\n":                {"p1 a  down"},
		"show log\n":                    {"proxy p0 connected: 1 entries,", `server n2: zone "nowhere" is not configured`},
		"show tables;explain n1\n":      {"# table server", "n1 (127.0.0.1:1) is listed as ready in a."},
		"explain n9\n":                  {"is not listed"},
		"explain n7\n":                  {"No such server."},
		"explain\n":                     {"expects one server name"},
		"set server look/n1 weight 3\n": {"Unknown command: 'set server look/n1 weight 3'", "show orders"},
		"prompt\nhelp\nquit\n":          {"> ", "explain"},
		"show \x01\n":                   {"byte 5: invalid control character 0x01"},
		"show orders;get weight n9\n":   {"It is in no weight table."},
	} {
		answer := ask(text)
		for _, want := range wants {
			if !strings.Contains(answer, want) {
				t.Errorf("%q: no %q in %q", text, want, answer)
			}
		}
	}
	stop()
}

// TestMailboxDropsNothingUrgent checks what a mailbox drops when inputs arrive faster than steps take them: only
// counter readings and pushed records, each replaced by a newer one of the same stream or source. Inputs beyond the
// limits of a step wait for the next one.
func TestMailboxDropsNothingUrgent(t *testing.T) {
	loop := testLoop(t)
	const inputCount = 5000
	for i := range inputCount {
		r := counters.NewReading(1)
		r.Row(3).Attempts, r.Classes[0].Requests = 1, uint64(i)
		loop.receiveTransport(transport.CountersPolled{Proxy: fleet.ProxyID(i % 2), Stream: 1, Reading: r})
		loop.receiveTransport(transport.Progress{Proxy: 0, Stream: 1})
		loop.Push([]ingest.Record{{Server: fleet.ServerID(i % 3), Attempts: uint64(i)}})
	}
	loop.receiveTransport(transport.CountersPolled{
		Proxy:   0,
		Stream:  2,
		Reading: counters.NewReading(0),
	}) // of another stream, so it replaces no other reading
	progress := 0
	streams := 0
	pushed := 0
	steps := 0
	last := map[fleet.ProxyID]uint64{}
	for more := true; more; steps++ {
		var inputs []Input
		inputs, more = loop.mailbox.collect(1, 1)
		for _, in := range inputs {
			switch in := in.(type) {
			case TransportEvent:
				if _, ok := in.Event.(transport.Progress); ok {
					progress++
				}
			case PushedRecords:
				pushed += len(in)
			case CountersPolled:
				if in.Stream == 2 {
					streams++
				} else {
					last[in.Proxy] = in.Reading.Classes[0].Requests
				}
			}
		}
		if steps == 0 && progress != inputCount {
			t.Errorf("%d of %d urgent inputs in the first step", progress, inputCount)
		}
	}
	if streams != 1 || last[1] != inputCount-1 || last[0] != inputCount-2 ||
		loop.mailbox.replaced() != inputCount-2 || pushed != 3 ||
		steps != 3 {
		t.Errorf("newest readings %v, %d of the other stream, %d replaced, %d pushed, %d steps", last, streams,
			loop.mailbox.replaced(), pushed, steps)
	}
}

// TestReplayReportsFirstDifference checks that the replay of an intact event log succeeds, and that a changed order, an
// unknown event, a truncated last line, an unknown format and an empty file are reported with their place.
func TestReplayReportsFirstDifference(t *testing.T) {
	loop := testLoop(t)
	var text bytes.Buffer
	w, err := eventlog.NewWriter(&text, eventlog.Header{Controller: "g", Site: loop.core.site, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	now := fleet.Second
	in := []Input{
		EndpointUpdate{Scope: fleet.ListFull, List: loop.source.(fakeSource).list},
		connected(0, reconcile.Snapshot{RequestRate: 5}),
	}
	for range 400 {
		out := loop.core.Step(now, in)
		in = nil
		if out.BalancerStepped {
			w.Step(now, out.Events, out.Orders, loop.names.Count(),
				func(id fleet.ServerID) string { n, _ := loop.names.Lookup(id); return n })
		}
		for _, m := range out.Messages {
			in = append(in, answered(m))
		}
		now += 50 * fleet.Millisecond
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	recorded := text.String()
	steps, orders, err := eventlog.Replay("r", strings.NewReader(recorded))
	if err != nil || steps < 50 || orders < 50 {
		t.Fatalf("%d steps, %d orders: %v", steps, orders, err)
	}
	lines := strings.SplitAfter(recorded, "\n")
	changed := strings.Replace(recorded, `"Is":"Share","V":{"Table":0,"Server":0,"Weight":`,
		`"Is":"Share","V":{"Table":0,"Server":0,"Weight":1`, 1)
	for bad, want := range map[string]string{
		changed:                     "the replay emits Share",
		recorded[:len(recorded)-20]: "unexpected end of JSON",
		strings.Join(lines[:1], "") + `{"Now":1,"Events":[{"Is":"Odd","V":{}}]}`: `r:2: event 0: unknown event kind "Odd"`,
		strings.Replace(recorded, `"Format":1`, `"Format":9`, 1):                 "r:1: unsupported event log format 9",
		"": "r: event log is empty",
	} {
		if _, _, err := eventlog.Replay("r", strings.NewReader(bad)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}
