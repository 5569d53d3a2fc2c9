package service

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/tableversion"
	"cressknot/internal/transport"
)

type names struct{}

func (names) Server(name string) (fleet.ServerID, bool) {
	var id int
	_, err := fmt.Sscanf(name, "s%d", &id)
	return fleet.ServerID(id), err == nil && id < 1000
}
func (n names) Learn(name, _ string) fleet.ServerID { id, _ := n.Server(name); return id }
func (names) Of(id fleet.ServerID) (name, addr string) {
	return fmt.Sprint("s", id), fmt.Sprint("x:", id)
}

// yard is a hub on time of its own.
type yard struct {
	hub    *Hub
	now    fleet.Time
	events []transport.Event
	seq    uint64
}

func newYard() *yard {
	y := &yard{now: 1000 * fleet.Second}
	y.hub = NewHub(HubOptions{Controller: "g", Epoch: 7, Zones: []Zone{{Name: "a", Proxy: 3}}, Classes: []fleet.RequestClass{{Name: "look"}, {Name: "book"}}, Names: names{},
		Now: func() fleet.Time { return y.now }})
	y.hub.sink = func(e transport.Event) { y.events = append(y.events, e) }
	y.hub.connect(y.hub.zones[0])
	y.hub.Facts(PublishedState{ListRevision: 1, Open: []string{"s0"}})
	return y
}

func (y *yard) send(changes ...reconcile.Change) {
	y.seq++
	y.hub.Send(reconcile.Message{Proxy: 3, Sequence: y.seq, Changes: changes})
}

func (y *yard) answers() (seqs []uint64) {
	for _, e := range y.events {
		if a, is := e.(transport.Answered); is {
			seqs = append(seqs, a.Sequence)
		}
	}
	return seqs
}

func add(server int, weight int16) reconcile.Change {
	return reconcile.Change{Kind: reconcile.AddEntry, Server: fleet.ServerID(server), Weight: weight, State: reconcile.StateReady}
}

// TestMessagesAreAnsweredWhenTakenIn: whatever watchers come, leave, take in and fall asleep when, each message is answered once, in
// order, when all who were there and are not slow have taken it in and not before; who takes in nothing is ended after watcherTimeout, within
// which the governor has its answer in any case; who falls behind gets one change that has it all.
func TestMessagesAreAnsweredWhenTakenIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		y := newYard()
		type watch struct {
			*Watcher
			got    []tableversion.Version // not acknowledged
			acked  tableversion.Version
			since  fleet.Time // of the oldest of got
			asleep bool
		}
		var all []*watch
		sentAt := map[uint64]fleet.Time{}
		version := map[uint64]tableversion.Version{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch what := rapid.IntRange(0, 5).Draw(t, "what"); {
			case what == 0 && len(all) < 4:
				w, f := y.hub.Watch("a", tableversion.NoVersion, func() {})
				if f != nil {
					t.Fatal(f)
				}
				all = append(all, &watch{Watcher: w, asleep: rapid.IntRange(0, 3).Draw(t, "asleep") == 0})
			case what == 1 && len(all) > 0:
				i := rapid.IntRange(0, len(all)-1).Draw(t, "leaves")
				all[i].Close()
				all = append(all[:i], all[i+1:]...)
			case what == 2:
				y.send(add(int(y.seq), int16(1+y.seq%200)))
				sentAt[y.seq], version[y.seq] = y.now, y.hub.zones[0].view.Version()
			case what == 3:
				y.now += fleet.Time(rapid.IntRange(1, 900).Draw(t, "ms")) * fleet.Millisecond
				y.hub.Tick(y.now)
			default:
				for _, w := range all {
					for {
						u, f := w.Next()
						if f != nil || u == nil {
							break
						}
						if w.got = append(w.got, u.To); len(w.got) == 1 {
							w.since = y.now
						}
						if len(w.got) > maxUnacknowledged {
							t.Fatalf("%d updates without word", len(w.got))
						}
					}
					if !w.asleep && len(w.got) > 0 && rapid.Bool().Draw(t, "acks") {
						w.acked = w.got[len(w.got)-1]
						w.Ack(w.acked)
						w.got = w.got[:0]
					}
				}
			}
			seqs := y.answers()
			for i, s := range seqs {
				if s != uint64(i+1) {
					t.Fatalf("answered %v", seqs)
				}
			}
			next := uint64(len(seqs) + 1)
			if next <= y.seq { // somebody holds it up, rightly
				reason := false
				for _, w := range all {
					reason = reason || !w.lagging && w.acked.Compare(version[next]) < 0
				}
				if !reason {
					t.Fatalf("message %d waits for nobody", next)
				}
			}
			if len(seqs) > 0 {
				for _, w := range all {
					if w.ended == nil && !w.lagging && w.joinedAfter < uint64(len(seqs)) && w.acked.Compare(version[uint64(len(seqs))]) < 0 {
						t.Fatalf("message %d is answered, and %+v has not taken it in", len(seqs), w.acked)
					}
				}
			}
		}
		y.now += watcherTimeout + fleet.Millisecond
		y.hub.Tick(y.now)
		for _, w := range all {
			if w.asleep && len(w.got) > 0 && w.ended == nil {
				t.Fatal("one that takes in nothing goes on")
			}
		}
		if n := len(y.answers()); n != int(y.seq) {
			t.Fatalf("%d of %d messages are answered after %.0f s", n, y.seq, watcherTimeout.Seconds())
		}
	})
}

// TestSlowWatcherGetsOneChange: three messages while one watcher has the window full come to it as one change; two that hold the same
// version share it, form and all.
func TestSlowWatcherGetsOneChange(t *testing.T) {
	y := newYard()
	y.send(add(0, 10), add(1, 10))
	a, _ := y.hub.Watch("a", tableversion.NoVersion, func() {})
	b, _ := y.hub.Watch("a", tableversion.NoVersion, func() {})
	first, _ := a.Next()
	if second, _ := b.Next(); first != second || first.From != tableversion.NoVersion || len(first.Classes[0].Endpoints) != 2 {
		t.Fatalf("%+v", first)
	}
	for i := range 3 {
		y.send(add(2+i, 20))
		y.send(reconcile.Change{Kind: reconcile.UpdateEntry, Server: 0, Weight: int16(11 + i)})
	}
	ua, _ := a.Next()
	ub, _ := b.Next()
	if ua != ub || len(ua.Classes) != 1 || len(ua.Classes[0].Endpoints) != 4 || ua.Classes[0].Endpoints[0].Weight != 13 || ua.From != first.To {
		t.Errorf("%+v", ua)
	}
	made := 0
	for range 3 {
		ua.Encoded(TextEncoding, func(*Update) any { made++; return nil })
	}
	if made != 1 {
		t.Errorf("made %d times", made)
	}
	if len(y.answers()) != 7 {
		t.Errorf("answered %v: new watchers hold up nothing before they have taken in once", y.answers())
	}
	a.Ack(ua.To)
	y.send(add(9, 1))
	if len(y.answers()) != 7 {
		t.Error("one that has caught up is not waited for")
	}
	y.hub.Drop(3)
	if _, f := b.Next(); f == nil || f.Code != TooSlow {
		t.Errorf("%v", f)
	}
	if up := y.events[len(y.events)-1].(transport.Connected); up.Stream != 2 {
		t.Errorf("%+v", up)
	}
}

// TestFailuresAreToldAsAProxyWould: a line to be set that isn't there, one to be added that is.
func TestFailuresAreToldAsAProxyWould(t *testing.T) {
	y := newYard()
	y.send(add(0, 10), add(0, 20), reconcile.Change{Kind: reconcile.UpdateEntry, Server: 5, Weight: 3}, reconcile.Change{Class: 9})
	a := y.events[len(y.events)-1].(transport.Answered)
	if len(a.Failures) != 3 || a.Failures[0] != (reconcile.Failure{Index: 1, Kind: reconcile.FailureEntryExists, Text: "already exists"}) || a.Failures[1].Kind != reconcile.FailureEntryMissing {
		t.Errorf("%+v", a.Failures)
	}
}

// TestReportsCountOnce: a batch that comes twice counts once, one that makes no sense counts nothing of it, servers that nobody here knows
// are left out.
func TestReportsCountOnce(t *testing.T) {
	y := newYard()
	met := func(seq uint64, m ...ServerOutcome) *Report {
		return &Report{Zone: "a", Session: 5, Sequence: seq, Outcomes: m, Demands: []ClassDemand{{"look", 2, 1}}}
	}
	good := ServerOutcome{Server: "s1", Attempts: 3, Failures: 1, Successes: 2, SuccessMillis: 40, Load: []uint32{500}}
	for _, c := range []struct {
		r    *Report
		seq  uint64
		code Code
	}{{met(1, good), 1, ""}, {met(1, good), 1, ""}, {met(2, good, ServerOutcome{Server: "s2", Attempts: 1, Failures: 2}), 0, BadRequest}, {met(2, good, ServerOutcome{Server: "nobody", Attempts: 1}), 2, ""},
		{&Report{Zone: "z"}, 0, NoZone}, {&Report{Zone: "a", Sequence: 3, Demands: []ClassDemand{{Class: "none"}}}, 0, NoClass}, {met(3, make([]ServerOutcome, maxReportRows+1)...), 0, TooLarge},
		{&Report{Zone: "a", Sequence: 3, Demands: []ClassDemand{{"look", 1, 2}}}, 0, BadRequest}, {met(3, ServerOutcome{Server: "s1", Attempts: 1 << 40}), 0, BadRequest}} {
		seq, f := y.hub.Report(c.r)
		if seq != c.seq || (f == nil) != (c.code == "") || f != nil && f.Code != c.code {
			t.Errorf("%+v: %d %v", c.r, seq, f)
		}
	}
	y.hub.Poll(3)
	r := y.events[len(y.events)-1].(transport.CountersPolled).Reading
	if len(r.Rows) != 1 || r.Rows[0].Attempts != 6 || r.Rows[0].Load[0] != 0.5 || r.Classes[0].Requests != 4 || r.Classes[0].Unanswered != 2 {
		t.Errorf("%+v", r)
	}
	y.now += reportSessionRetention
	if y.hub.Tick(y.now); len(y.hub.sessions) != 0 {
		t.Error("a caller that left is remembered")
	}
	_ = y.hub.Stop(context.Background())
	if _, f := y.hub.Report(met(4, good)); f == nil || f.Code != Closing {
		t.Errorf("%v", f)
	}
}

// TestLimits: a caller that asks too often is refused and told when to come again; what is worth least is refused first; the limit falls
// while answers take long, and rises again; one quick caller cannot take the place of all.
func TestLimits(t *testing.T) {
	l, now := NewQueryLimiter(), 100*fleet.Second
	taken := 0
	var f *Error
	for f = l.Admit(now, "a", HistoryQuery); f == nil; f = l.Admit(now, "a", HistoryQuery) {
		l.Release(now, fleet.Millisecond)
		taken++
	}
	if taken != 5 || f.RetryAfter != fleet.Second/2 || l.Admit(now, "b", HistoryQuery) != nil || l.Admit(now, "a", ServerQuery) != nil {
		t.Errorf("%d taken, then %+v", taken, f)
	}
	l.Release(now, 0)
	l.Release(now, 0)
	if now += f.RetryAfter; l.Admit(now, "a", HistoryQuery) != nil {
		t.Error("refused after the time it was told")
	}
	l.Release(now, 0)
	run := func(took fleet.Time) {
		for range 400 {
			n := 0
			for i := 0; i < 2000 && l.Admit(now, fmt.Sprint(i%300, "c"), WatchQuery) == nil; i++ {
				n++
			}
			for range n {
				l.Release(now+took, took)
			}
			now += 10 * fleet.Second
		}
	}
	run(fleet.Millisecond)
	quick, _ := l.Concurrency()
	run(100 * fleet.Millisecond)
	for range 3 {
		l.bestDuration = 0.001
		run(100 * fleet.Millisecond)
	}
	refused := map[QueryKind]int{}
	l.bestDuration, l.concurrency = 0.001, 20
	for i := 0; i < 40; i++ {
		for k := range queryKindCount {
			if l.Admit(now, fmt.Sprint(i, "d"), k) != nil {
				refused[k]++
			}
		}
	}
	if quick < 500 || refused[WatchQuery] > refused[TableQuery] || refused[TableQuery] >= refused[HistoryQuery] || refused[WatchQuery] == 0 {
		t.Errorf("limit %.0f while quick, refused %v", quick, refused)
	}
	idle := NewQueryLimiter()
	for range 200 {
		if idle.Admit(now, "one", ReportQuery) == nil {
			idle.Release(now, fleet.Millisecond)
		}
		now += fleet.Second
	}
	if limit, _ := idle.Concurrency(); limit > initialConcurrency {
		t.Errorf("limit %.0f of what was never tried", limit)
	}
	jitter := NewQueryLimiter()
	for i := range 3000 { // answers of microseconds, some ten times as long as others
		if f := jitter.Admit(now, fmt.Sprint(i), WatchQuery); f != nil {
			t.Fatalf("%v after %d quick answers", f, i)
		}
		jitter.Release(now, fleet.Time(1+10*(i%10/9))*1000)
		now += 10 * fleet.Millisecond
	}
	if limit, _ := jitter.Concurrency(); limit < initialConcurrency {
		t.Errorf("limit %.0f by the jitter of quick answers", limit)
	}
	slow := NewQueryLimiter()
	slow.bestDuration = 0.001
	for range 100 {
		taken := 0
		for i := range 20 {
			if slow.Admit(now, fmt.Sprint(i), ReportQuery) == nil {
				taken++
			}
		}
		for range taken {
			slow.Release(now, 50*fleet.Millisecond)
		}
		now += fleet.Second
		slow.bestDuration = 0.001 // somebody else is quick
	}
	if limit, flying := slow.Concurrency(); limit > initialConcurrency/2 || limit < minConcurrency || flying != 0 {
		t.Errorf("limit %.1f with answers that take long, %d flying", limit, flying)
	}
	for i := range maxCallers + 5 {
		if f := slow.Admit(now, fmt.Sprint("x", i), ReportQuery); f == nil {
			slow.Release(now, 0)
		}
	}
	if len(slow.callers) > maxCallers {
		t.Errorf("%d callers are remembered", len(slow.callers))
	}
	now += 2 * callerRetention
	if f := slow.Admit(now, "late", ReportQuery); f != nil || len(slow.callers) != 1 {
		t.Errorf("%v; %d callers are remembered", f, len(slow.callers))
	}
}
