package platform

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/ingest/collector"
	"cressknot/internal/transport/relay"
)

func site() fleet.Site {
	return fleet.Site{Zones: []string{"a", "b"}, Kinds: []string{"m"}, Controllers: 1, ProxyCount: 8, ListOnRequest: true,
		Classes: []fleet.RequestClass{{Name: "look", LatencyObjective: fleet.Second, Deadline: 2 * fleet.Second, PriorityWeight: 1}}, LoadReports: fleet.LoadReportInline,
		LoadFields: []fleet.LoadField{fleet.LoadFieldUtilization}, ReportInterval: fleet.Second, ReportsPerSecond: 500, EntriesPerSecond: 15000, MessageOverhead: 6,
		MaxBacklog: 30000, MaxMessages: 20, MessageWindow: 10 * fleet.Second, MaxUnservedDuration: 5 * fleet.Second, SlowStart: fleet.SlowStart{InitialFraction: 0.2, Duration: 5 * fleet.Second}, RecoveryRamp: fleet.RecoveryRamp{OverloadFactor: 4, Duration: 2 * fleet.Second}, DrainTimeout: 3 * fleet.Second, MaxPollInterval: 10 * fleet.Second}
}

// day is a core played with scripted times.
type day struct {
	*testing.T
	core *Core
	now  fleet.Time
	last Effects
}

const start = 1_700_000_000 * fleet.Second

func newDay(t *testing.T, servers ...string) *day {
	d := discovery.EndpointList{Revision: 1}
	for _, s := range servers {
		d.Endpoints = append(d.Endpoints, discovery.Endpoint{Name: s, Zone: "a", Kind: "m"})
	}
	return &day{T: t, core: NewCore(site(), 1, d), now: start}
}

// turn goes on by a while with inputs at its start, and gives all orders.
func (d *day) turn(after fleet.Time, inputs ...Input) (orders []relay.Operation) {
	for end := d.now + after; ; inputs = nil {
		d.last = d.core.Turn(d.now, inputs)
		orders = append(orders, d.last.Orders...)
		if d.last.Alarm == 0 || d.last.Alarm >= end {
			d.now = end
			return orders
		}
		d.now = max(d.now+1, d.last.Alarm)
	}
}

func joined(stream uint64, ids ...fleet.ProxyID) (news []Input) {
	for _, id := range ids {
		news = append(news, relay.StreamEvent{Stream: stream, Kind: relay.ProxyEvent, Event: fleet.ProxyJoined{Proxy: id, RequestRate: 3}})
	}
	return news
}

func opened(stream uint64, whole bool) Input {
	return relay.StreamEvent{Stream: stream, Kind: relay.StreamOpened, Continuous: whole}
}

func settled(stream uint64) Input {
	return relay.StreamEvent{Stream: stream, Kind: relay.SnapshotComplete}
}

func binds(ops []relay.Operation) (ids []fleet.ProxyID) {
	for _, o := range ops {
		if b, is := o.Order.(fleet.AssignTable); is {
			ids = append(ids, b.Proxy)
		}
	}
	return ids
}

// After a break whoever is still there may have come back unseen: it is bound anew. Who isn't shown has left. Old streams count no more.
func TestOpeningIsReconciled(t *testing.T) {
	d := newDay(t, "s-1", "s-2")
	d.turn(fleet.Second, opened(1, false))
	if got := binds(d.turn(15*fleet.Second, append(joined(1, 1, 2), settled(1))...)); len(got) != 2 {
		t.Fatalf("bound %v", got)
	}
	got := binds(d.turn(15*fleet.Second, append([]Input{opened(2, false)}, append(joined(2, 2, 3), settled(2))...)...))
	if fmt.Sprint(got) != "[2 3]" || d.core.Joined() != 2 {
		t.Errorf("bound %v, %d joined", got, d.core.Joined())
	}
	if got := binds(d.turn(5*fleet.Second, joined(1, 5)...)); len(got) != 0 || d.core.Joined() != 2 {
		t.Errorf("an old stream counts: bound %v", got)
	}
	d.turn(0, relay.StreamEvent{Stream: 2, Kind: relay.ProxyEvent, Event: fleet.ProxyLeft{Proxy: 3}})
	if len(d.last.Left) != 1 {
		t.Errorf("left %v", d.last.Left)
	}
}

// At a planned move nothing is missed, so a proxy that the new stream shows is where it was; unless it holds nothing of ours.
func TestWholeOpeningKeepsProxies(t *testing.T) {
	d := newDay(t, "s-1", "s-2")
	d.turn(15*fleet.Second, append([]Input{opened(1, false)}, append(joined(1, 1, 2, 3), settled(1))...)...)
	fresh := relay.StreamEvent{Stream: 2, Kind: relay.ProxyEvent, Event: fleet.ProxyJoined{Proxy: 2, RequestRate: 3, Fresh: true}}
	got := binds(d.turn(15*fleet.Second, append([]Input{opened(2, true)}, append(joined(2, 1), fresh, settled(2))...)...))
	if fmt.Sprint(got) != "[2]" || d.core.Joined() != 2 {
		t.Errorf("bound %v, %d joined", got, d.core.Joined())
	}
}

// What nobody knows of is ordered again by the module, within its pace.
func TestUnconfirmedOrdersAreOrderedAgain(t *testing.T) {
	d := newDay(t, "s-1", "s-2")
	ops := d.turn(15*fleet.Second, append([]Input{opened(1, false)}, append(joined(1, 1, 2), settled(1))...)...)
	again := map[string]bool{}
	for _, o := range d.turn(5*fleet.Second, relay.Unconfirmed{Operations: ops}) {
		again[o.Text([]string{"look"})] = true
	}
	for _, o := range ops {
		if _, is := o.Order.(fleet.Barrier); !is && !again[o.Text([]string{"look"})] {
			t.Errorf("%s is not ordered again, but %v", o.Text([]string{"look"}), again)
		}
	}
}

// The call that lets a forgotten server in again is lost, and the server comes back under its name: it is let in by its new id.
func TestForgottenServerComesBackUnderItsName(t *testing.T) {
	d := newDay(t, "s-1", "s-2")
	d.turn(10*fleet.Second, append([]Input{opened(1, false)}, append(joined(1, 1, 2), settled(1))...)...)
	told := func(state string, rev uint64) discovery.Update {
		return discovery.Update{Scope: fleet.ListDelta, List: discovery.EndpointList{Revision: rev, Delta: true, Endpoints: []discovery.Endpoint{{Name: "s-2", Zone: "a", Kind: "m", State: state}}}}
	}
	var lost []relay.Operation
	for _, o := range d.turn(30*fleet.Second, told("gone", 2)) {
		if w, is := o.Order.(fleet.WithdrawServer); is && !w.Withdrawn && o.Server == "s-2" {
			lost = append(lost, o)
		}
	}
	if len(lost) != 1 {
		t.Fatalf("%d orders let it in again as it is forgotten", len(lost))
	}
	d.turn(fleet.Second, relay.Unconfirmed{Operations: lost}, discovery.Update{Scope: fleet.ListDelta, List: discovery.EndpointList{Revision: 3, Delta: true}})
	for _, o := range d.turn(5*fleet.Second, told("ready", 4)) {
		if w, is := o.Order.(fleet.WithdrawServer); is && o.Server == "s-2" && !w.Withdrawn {
			return
		}
	}
	t.Error("it is not let in again")
}

// Names become ids that never mean two servers; reports of unknown ones are counted, and gone ones that never were ours are no order.
func TestNamesAndIds(t *testing.T) {
	d := newDay(t, "s-1")
	ops := d.turn(fleet.Second, append([]Input{opened(1, false)}, joined(1, 1)...)...)
	ops = append(ops, d.turn(20*fleet.Second, discovery.Update{Scope: fleet.ListDelta, List: discovery.EndpointList{Revision: 2, Delta: true, Endpoints: []discovery.Endpoint{
		{Name: "s-2", Zone: "b", Kind: "m", Started: time.Unix(0, int64(d.now))}, {Name: "s-9", State: "gone"}}}})...)
	named := map[string]bool{}
	for _, o := range ops {
		if _, is := o.Order.(fleet.SetWeight); is {
			named[o.Server] = true
		}
	}
	if !named["s-1"] || !named["s-2"] || len(named) != 2 {
		t.Errorf("shares of %v", named)
	}
	fx := d.core.Turn(d.now, []Input{collector.Report{Server: "s-9"}, collector.Report{Server: "s-2", Outcome: fleet.OutcomeReport{Attempts: 1, Interval: fleet.Second}}})
	if fx.Unknown != 1 {
		t.Errorf("%d unknown", fx.Unknown)
	}
}

// Alarms come in the order of their times, not before; and the module asks for the list at its start.
func TestAlarmsAndAsking(t *testing.T) {
	d := newDay(t, "s-1")
	d.turn(0)
	if len(d.last.Watches) != 1 || !d.last.Watches[0] {
		t.Errorf("asked %v", d.last.Watches)
	}
	d.core.alarms = nil
	for _, after := range []fleet.Time{30, 10, 20} {
		d.core.order(start, fleet.SetTimer{Delay: after, ID: fleet.TimerID(after)}, &d.last)
	}
	for _, want := range []fleet.Time{10, 20, 30} {
		if d.core.alarms[0].at != start+want {
			t.Fatalf("next at %d, not %d", d.core.alarms[0].at-start, want)
		}
		d.core.alarms = append(alarms{}, d.core.alarms...)
		d.core.Turn(start+want, nil)
	}
}

// Live memory does not follow ids ever seen: thousands of servers come and go, and names, ids and heap stay as they were.
func TestServersComeAndGoWithoutEnd(t *testing.T) {
	d := newDay(t, "s-0")
	d.turn(fleet.Second, append([]Input{opened(1, false)}, append(joined(1, 1, 2), settled(1))...)...)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	rng, rev := rand.New(rand.NewSource(1)), uint64(2)
	replace := func(from, to int) {
		for i := from; i < to; i++ {
			rev++
			name, old := fmt.Sprint("s-", i), fmt.Sprint("s-", i-1)
			d.turn(8*fleet.Second, discovery.Update{Scope: fleet.ListDelta, List: discovery.EndpointList{Revision: rev, Delta: true, Endpoints: []discovery.Endpoint{
				{Name: name, Zone: "a", Kind: "m", Started: time.Unix(0, int64(d.now))}, {Name: old, Zone: "a", Kind: "m", State: "draining"}}}},
				collector.Report{Server: old, Outcome: fleet.OutcomeReport{Attempts: uint32(10 + rng.Intn(9)), Interval: fleet.Second, Latency: fleet.Second / 5, Load: []float32{0.5}}})
			rev++
			d.turn(2*fleet.Second, discovery.Update{Scope: fleet.ListDelta, List: discovery.EndpointList{Revision: rev, Delta: true, Endpoints: []discovery.Endpoint{{Name: old, State: "gone"}}}})
		}
	}
	replace(1, 300)
	names, before := len(d.core.names), heap()
	replace(300, 3000)
	if n := len(d.core.names); n > names+2 || n > 12 || len(d.core.ids) != n {
		t.Errorf("%d names, %d before", n, names)
	}
	if after := heap(); after > before+before/4 {
		t.Errorf("heap of %d bytes, %d before", after, before)
	}
}

// Late reports are added up once too many wait; lists, joins and leaves are all there.
func TestMailboxFoldsReportsOnly(t *testing.T) {
	m := NewMailbox()
	for range 3 * reportMost {
		m.Report(collector.Report{Server: "s", Outcome: fleet.OutcomeReport{Attempts: 1, Interval: 1}})
	}
	for i := range 100 {
		m.Post(relay.StreamEvent{Stream: uint64(i)})
	}
	tries, news := 0, 0
	in := m.Take(nil)
	for _, x := range in {
		switch v := x.(type) {
		case collector.Report:
			tries += int(v.Outcome.Attempts)
		case relay.StreamEvent:
			if v.Stream != uint64(news) {
				t.Fatalf("out of order at %d", news)
			}
			news++
		}
	}
	if tries != 3*reportMost || news != 100 || len(in) > reportMost+200 || m.folded == 0 {
		t.Errorf("%d tries, %d news in %d inputs", tries, news, len(in))
	}
}

// A full mailbox keeps its bringers waiting and loses nothing; at the end nobody waits any more.
func TestFullMailboxLetsGo(t *testing.T) {
	m := NewMailbox()
	in := make(chan int, 10)
	go func() {
		for i := range 2*urgentMost + 1 {
			m.Post(relay.StreamEvent{Stream: uint64(i)})
		}
		in <- 1
	}()
	got := 0
	for got < urgentMost { // all that go in before it is full
		<-m.notify
		got += len(m.Take(nil))
	}
	for got < 2*urgentMost+1 {
		<-m.notify
		got += len(m.Take(nil))
	}
	<-in
	for range urgentMost {
		m.Post(relay.StreamEvent{})
	}
	go func() { m.Post(relay.StreamEvent{}); in <- 2 }()
	m.Close()
	select {
	case <-in:
	case <-time.After(20 * time.Second):
		t.Fatal("a bringer waits after the end")
	}
}
