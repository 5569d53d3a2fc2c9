package safety

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "20000", "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const now = 1000 * fleet.Second

func site() fleet.Site {
	return fleet.Site{Zones: []string{"a"}, LoadFields: []fleet.LoadField{fleet.LoadFieldUtilization}, ProxyCount: 2, AttemptTimeoutFactor: 1,
		SlowStart: fleet.SlowStart{InitialFraction: 0.2, Duration: 10 * fleet.Second}, RecoveryRamp: fleet.RecoveryRamp{OverloadFactor: 2, Duration: 2 * fleet.Second},
		Classes: []fleet.RequestClass{{Idempotency: fleet.Idempotent, LatencyObjective: fleet.Second}, {Idempotency: fleet.NotIdempotent, LatencyObjective: fleet.Second}}}
}

// world is a small fleet of which the oracle knows all. A cell is known by proxy, class and server.
type world struct {
	g       *Guard
	states  [servers]fleet.ServerState
	started [servers]fleet.Time
	caps    [servers]float64
	demand  [proxies][classes]float64
	// instants of each proxy: what it holds for sure, then what it may hold after each change that is on its way.
	instants [proxies][]table
}

const (
	servers = 4
	proxies = 2
	classes = 2
)

type table [classes][servers]reconcile.EntryState

func (w *world) cold(s int) bool { return w.started[s] > 0 && now < w.started[s]+10*fleet.Second }

// draw makes a fleet and tells a guard of it.
func draw(t *rapid.T) *world {
	w := &world{g: New(site())}
	l := fleet.EndpointList{Scope: fleet.ListFull}
	for s := range servers {
		w.states[s] = fleet.ServerState(max(0, rapid.IntRange(-4, 2).Draw(t, "state")))
		if rapid.IntRange(0, 2).Draw(t, "cold") == 0 {
			w.started[s] = now - fleet.Time(rapid.IntRange(0, 12).Draw(t, "age"))*fleet.Second
		}
		l.Endpoints = append(l.Endpoints, fleet.Endpoint{Server: fleet.ServerID(s), State: w.states[s], Started: w.started[s]})
	}
	w.g.Hear(now, l)
	for s := range servers {
		w.caps[s] = float64(rapid.IntRange(2, 40).Draw(t, "capacity"))
		if !w.cold(s) { // it handles half of that at a busy share of a half
			w.g.Hear(now, fleet.OutcomeReport{Server: fleet.ServerID(s), Attempts: uint32(10 * w.caps[s]), Interval: 20 * fleet.Second, Load: []float32{0.5}})
		}
	}
	for p := range proxies {
		w.g.Hear(now, fleet.ProxyJoined{Proxy: fleet.ProxyID(p)})
		for c := range classes {
			n := rapid.IntRange(0, 30).Draw(t, "visits")
			w.demand[p][c] = float64(n) / 2
			w.g.Hear(now, fleet.DemandReport{Proxy: fleet.ProxyID(p), Class: fleet.ClassID(c), Requests: uint32(n), Interval: 2 * fleet.Second})
		}
	}
	return w
}

func drawCell(t *rapid.T) reconcile.EntryState {
	c := reconcile.EntryState{Present: rapid.IntRange(0, 4).Draw(t, "present") > 0}
	if c.Present {
		c.Weight = int16(rapid.SampledFrom([]int{0, 1, 20, 128, 256}).Draw(t, "weight"))
		c.State = reconcile.State(1 + max(0, rapid.IntRange(-3, 2).Draw(t, "out")))
	}
	return c
}

// draft makes the draft of a message to a proxy that wants some other cells.
func (w *world) draft(p int, proposals []reconcile.Proposal) *reconcile.UpdatePlan {
	last := w.instants[p][len(w.instants[p])-1]
	d := &reconcile.UpdatePlan{Proxy: fleet.ProxyID(p), EntryCounts: make([]int, classes), WeightSums: make([]int, classes), NothingInFlight: len(w.instants[p]) == 1,
		Proposals: proposals}
	for s := range servers {
		for c := range classes {
			if cell := last[c][s]; cell.Usable() && w.states[s] == fleet.ServerReady {
				d.EntryCounts[c]++
				d.WeightSums[c] += int(cell.Weight)
				if w.cold(s) {
					d.Warming = append(d.Warming, reconcile.WarmingEntry{Class: fleet.ClassID(c), Server: fleet.ServerID(s), State: cell})
				}
			}
		}
	}
	return d
}

func (w *world) propose(t *rapid.T, p int) (proposals []reconcile.Proposal) {
	last := w.instants[p][len(w.instants[p])-1]
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		c, s := rapid.IntRange(0, classes-1).Draw(t, "class"), rapid.IntRange(0, servers-1).Draw(t, "server")
		want := drawCell(t)
		same := func(q reconcile.Proposal) bool { return int(q.Class) == c && int(q.Server) == s }
		if want.Present = true; want == last[c][s] || slices.ContainsFunc(proposals, same) {
			continue
		}
		if want.State == reconcile.StateUnchanged {
			want.State = reconcile.StateReady
		}
		proposals = append(proposals, reconcile.Proposal{Change: reconcile.Change{Class: fleet.ClassID(c), Server: fleet.ServerID(s), Weight: want.Weight},
			Have: last[c][s], Want: want, Ready: w.states[s] == fleet.ServerReady, Warming: w.cold(s), Urgent: want.State != reconcile.StateReady})
	}
	return proposals
}

// after gives what a proxy may hold after each of the proposals in their order.
func after(from table, proposals []reconcile.Proposal) (all []table) {
	for _, q := range proposals {
		if q.HoldReason == "" {
			from[q.Class][q.Server] = q.Want
			all = append(all, from)
		}
	}
	return all
}

func (w *world) lines(at table, c int) (n, sum int) {
	for s := range servers {
		if at[c][s].Usable() && w.states[s] == fleet.ServerReady {
			n, sum = n+1, sum+int(at[c][s].Weight)
		}
	}
	return n, sum
}

// harm tells what the oracle sees wrong: it plays out every order of arrival, from first principles.
func (w *world) harm(p int, proposals []reconcile.Proposal, tables []table) string {
	before := w.instants[p][len(w.instants[p])-1]
	for _, q := range proposals {
		if q.HoldReason == "" && w.states[q.Server] != fleet.ServerReady && q.Want.Usable() && !q.Have.Usable() {
			return ReasonServerNotReady
		}
	}
	for c := range classes {
		had, _ := w.lines(before, c)
		for _, at := range tables {
			if n, _ := w.lines(at, c); had > 0 && n == 0 {
				return ReasonNoEndpoints
			}
		}
	}
	var each [proxies][]table
	each = w.instants
	each[p] = append(slices.Clone(each[p]), tables...)
	for s := range servers {
		if !w.cold(s) || w.states[s] != fleet.ServerReady {
			continue
		}
		for _, a := range each[0] {
			for _, b := range each[1] {
				load := 0.0
				for proxy, at := range []table{a, b} {
					for c := range classes {
						if _, sum := w.lines(at, c); sum > 0 && at[c][s].Usable() {
							load += w.demand[proxy][c] * float64(at[c][s].Weight) / float64(sum)
						}
					}
				}
				if load > w.bears(s)+1e-9 {
					return ReasonWarmingOverload
				}
			}
		}
	}
	return ""
}

// bears finds what a cold server bears by trying.
func (w *world) bears(s int) float64 {
	var known []float64
	for o := range servers {
		if !w.cold(o) && w.states[o] == fleet.ServerReady {
			known = append(known, w.caps[o])
		}
	}
	capacity := 0.0
	if slices.Sort(known); len(known) > 0 {
		capacity = known[len(known)/4]
	}
	grown := (now - w.started[s]).Seconds() / 10
	budget := 2 * (0.2 + 0.8*math.Min(1, grown)) * capacity * 2
	low, high := 0.0, 1e6
	for range 200 {
		if mid := (low + high) / 2; mid*2+2*math.Sqrt(mid*2) <= budget+2 {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// endsBare tells whether a class that was bare has cold lines only.
func (w *world) endsBare(before, at table) bool {
	for c := range classes {
		had, _ := w.lines(before, c)
		other := at
		for o := range classes {
			if o != c {
				other[o] = table{}[o]
			}
		}
		if had == 0 && w.allCold(other) {
			return true
		}
	}
	return false
}

// allCold tells whether a class has cold lines only: then nobody bare goes before cold.
func (w *world) allCold(at table) bool {
	for c := range classes {
		n, warm := 0, 0
		for s := range servers {
			if at[c][s].Usable() && w.states[s] == fleet.ServerReady {
				if n++; !w.cold(s) {
					warm++
				}
			}
		}
		if n > 0 && warm == 0 {
			return true
		}
	}
	return false
}

// TestAgainstAnOracle: of thousands of drawn messages, with others on their way, each that is stopped is truly
// harmful, each safe one passes as it is, and what is let pass of a harmful one does no harm.
func TestAgainstAnOracle(t *testing.T) {
	judged, stopped, wronglyStopped, wronglyPassed, leftHarm := 0, 0, 0, 0, 0
	why := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := draw(t)
		for p := range proxies {
			var first table
			for c := range classes {
				for s := range servers {
					first[c][s] = drawCell(t)
				}
			}
			w.instants[p] = []table{first}
		}
		if w.harm(0, nil, nil) != "" {
			return // it begins harmful: no message's doing
		}
		for p := range proxies {
			w.g.ProxyJoined(now, w.draft(p, nil))
		}
		for range rapid.IntRange(1, 4).Draw(t, "messages") {
			p := rapid.IntRange(0, proxies-1).Draw(t, "proxy")
			if rapid.IntRange(0, 3).Draw(t, "answered") == 0 { // all on its way has arrived
				w.instants[p] = w.instants[p][len(w.instants[p])-1:]
				w.g.ProxyAcknowledged(now, w.draft(p, nil))
			}
			plain := w.draft(p, w.propose(t, p))
			judgedDraft := w.draft(p, slices.Clone(plain.Proposals))
			last := w.instants[p][len(w.instants[p])-1]
			reconcile.Arrange(plain)
			harm := w.harm(p, plain.Proposals, after(last, plain.Proposals))
			if harm == ReasonWarmingOverload && slices.ContainsFunc(after(last, plain.Proposals), func(at table) bool { return w.endsBare(last, at) }) {
				return // a class that was bare gets lines, cold ones only: nobody bare goes before cold
			}
			w.g.CheckPlan(now, judgedDraft)
			is := slices.ContainsFunc(judgedDraft.Proposals, func(q reconcile.Proposal) bool { return q.HoldReason != "" || q.LowerReason != "" })
			judged++
			if why[harm]++; is {
				stopped++
			}
			switch {
			case is && harm == "":
				wronglyStopped++
				t.Errorf("stopped, though safe: %+v", judgedDraft.Proposals)
			case !is && harm != "":
				wronglyPassed++
				t.Errorf("passed, though %s: %+v", harm, judgedDraft.Proposals)
			}
			reconcile.Arrange(judgedDraft)
			tables := after(last, judgedDraft.Proposals)
			if left := w.harm(p, judgedDraft.Proposals, tables); left != "" {
				if left == ReasonWarmingOverload && slices.ContainsFunc(append(tables, last), w.allCold) {
					return // nobody bare goes before cold
				}
				leftHarm++
				t.Errorf("what was let pass: %s: %+v", left, judgedDraft.Proposals)
			}
			w.instants[p] = append(w.instants[p], tables...)
		}
	})
	t.Logf("%d messages judged, %d stopped; stopped though safe %d, passed though harmful %d, harm in what was let pass %d; by the oracle %v",
		judged, stopped, wronglyStopped, wronglyPassed, leftHarm, why)
	for _, harm := range []string{"", ReasonServerNotReady, ReasonNoEndpoints, ReasonWarmingOverload} {
		if why[harm] < judged/100 {
			t.Errorf("%q was drawn %d times of %d only", harm, why[harm], judged)
		}
	}
}

// TestTrustFallsWithAge: a capacity counts in full while fresh, as what was carried when old, evenly between; a
// clock that goes back makes nothing younger.
func TestTrustFallsWithAge(t *testing.T) {
	g := New(site())
	g.Hear(now, fleet.EndpointList{Endpoints: []fleet.Endpoint{{Server: 1}}})
	g.Hear(now, fleet.OutcomeReport{Server: 1, Attempts: 100, Interval: 10 * fleet.Second, Load: []float32{0.25}})
	for age, want := range map[fleet.Time]float64{-fleet.Second: 40, 0: 40, fullTrustAge: 40, (fullTrustAge + noTrustAge) / 2: 25, noTrustAge: 10, 10 * noTrustAge: 10} {
		if got, known := g.servers[1].trustedCapacity(now + age); math.Abs(got-want) > 1e-6 || !known {
			t.Errorf("at an age of %v s: %v, not %v", age.Seconds(), got, want)
		}
	}
}

// TestStartedAgainWhileWarming: a second start makes a server as cold as the first did, whatever was counted
// between.
func TestStartedAgainWhileWarming(t *testing.T) {
	g := New(site())
	g.Hear(now, fleet.EndpointList{Endpoints: []fleet.Endpoint{{Server: 1}, {Server: 2, Started: now - 9*fleet.Second}}})
	g.Hear(now, fleet.OutcomeReport{Server: 1, Attempts: 200, Interval: 10 * fleet.Second, Load: []float32{0.5}})
	before := g.bearableRate(now, 2)
	g.Hear(now, fleet.EndpointList{Scope: fleet.ListDelta, Endpoints: []fleet.Endpoint{{Server: 2, Started: now}}})
	if after := g.bearableRate(now, 2); after > before/2 {
		t.Errorf("it bears %v after its second start, %v before", after, before)
	}
	if back := g.bearableRate(now-fleet.Second, 2); back > before/2 || back <= 0 { // the clock went back over the start
		t.Errorf("with the clock gone back it bears %v", back)
	}
}

// TestRetryModes: no class is tried again where that could run it twice.
func TestRetryModes(t *testing.T) {
	s := site()
	keyed := fleet.RequestClass{Idempotency: fleet.IdempotentWithKey, DeduplicationWindow: 20 * fleet.Second, LatencyObjective: fleet.Second}
	short, zone := keyed, keyed
	short.DeduplicationWindow, zone.DeduplicationScope = 4*fleet.Second, fleet.DeduplicationZone
	s.Classes = append(s.Classes, keyed, short, zone)
	g := New(s)
	for class, want := range []fleet.RetryMode{fleet.RetryTwice, fleet.RetryIfNotExecuted, fleet.RetryTwice, fleet.RetryOnce, fleet.RetryIfNotExecuted} {
		for _, asked := range []fleet.RetryMode{fleet.RetryNever, fleet.RetryIfNotExecuted, fleet.RetryOnce, fleet.RetryTwice} {
			d := &reconcile.UpdatePlan{EntryCounts: make([]int, 5), WeightSums: make([]int, 5), Proposals: []reconcile.Proposal{{Change: reconcile.Change{
				Kind: reconcile.UpdateAdmission, Class: fleet.ClassID(class), Admission: reconcile.Admission{Known: true, Retry: asked}}}}}
			if g.CheckPlan(now, d); d.Proposals[0].Admission.Retry != min(asked, want) || (asked > want) != (d.Proposals[0].LowerReason != "") {
				t.Errorf("class %d asked for %d: %+v, the most is %d", class, asked, d.Proposals[0], want)
			}
		}
	}
}

// fleetOf makes a guard and a plane that asks it, with so many proxies bound to one table over three servers that
// can do 20 visits a second each; 24 come in all.
func fleetOf(t *testing.T, proxies int) (*Guard, *reconcile.Reconciler) {
	t.Helper()
	s := site()
	s.Classes, s.EntriesPerSecond, s.MaxBacklog = s.Classes[:1], 1e6, 1e6
	g, p := New(s), reconcile.New(s)
	p.UseSafetyCheck(g)
	l := fleet.EndpointList{Endpoints: []fleet.Endpoint{{Server: 1}, {Server: 2}, {Server: 3}}}
	g.Hear(now, l)
	p.SetEndpoints(now, l)
	for id := range fleet.ServerID(3) {
		g.Hear(now, fleet.OutcomeReport{Server: id + 1, Attempts: 100, Interval: 10 * fleet.Second, Load: []float32{0.5}})
	}
	orders := []fleet.Order{fleet.SetWeight{Server: 1, Weight: 1}, fleet.SetWeight{Server: 2, Weight: 1}, fleet.SetWeight{Server: 3, Weight: 1}}
	for i := range proxies {
		p.Join(now, fleet.ProxyID(i), reconcile.Snapshot{})
		g.Hear(now, fleet.ProxyJoined{Proxy: fleet.ProxyID(i)})
		g.Hear(now, fleet.DemandReport{Proxy: fleet.ProxyID(i), Requests: uint32(2400 / proxies), Interval: 100 * fleet.Second})
		orders = append(orders, fleet.AssignTable{Proxy: fleet.ProxyID(i)})
	}
	p.Apply(now, orders)
	settle(p, now)
	return g, p
}

// settle lets all that may leave arrive, for 400 ms.
func settle(p *reconcile.Reconciler, from fleet.Time) (changes []reconcile.Change) {
	for at := from; at < from+400*fleet.Millisecond; at += 50 * fleet.Millisecond {
		out, _, _, _ := p.Next(at)
		for _, m := range out {
			changes = append(changes, m.Changes...)
			p.Acknowledge(at, m.Proxy, m.Sequence, nil)
		}
	}
	return changes
}

// TestLinesOfARestartedServer: a server that starts anew while proxies hold its lines has no room for more, and is
// cut at the next message to each; when those are answered there is room for as much as it bears.
func TestLinesOfARestartedServer(t *testing.T) {
	g, p := fleetOf(t, 3)
	l := fleet.EndpointList{Scope: fleet.ListDelta, Endpoints: []fleet.Endpoint{{Server: 2, Started: now}}}
	g.Hear(now, l)
	p.SetEndpoints(now, l)
	if got := g.otherProxiesRate(2, 99); math.Abs(got-8) > 0.2 {
		t.Errorf("its standing lines count as %v visits a second, not 8", got)
	}
	bears := g.bearableRate(now, 2)
	p.Apply(now, []fleet.Order{fleet.SetWeight{Server: 1, Weight: 1.1}}) // that alone would lower its share, but not enough
	settle(p, now)
	if got := g.otherProxiesRate(2, 99); got > bears || got < bears/2 {
		t.Errorf("%v visits a second after the cut, it bears %v", got, bears)
	}
	if len(p.Refusals()) != 1 || p.Refusals()[0].Server != 2 || p.Refusals()[0].Reason != ReasonWarmingOverload || p.Refusals()[0].Proxies != 3 {
		t.Errorf("refusals %+v", p.Refusals())
	}
	if alarms := p.Notices(); len(alarms) != 1 {
		t.Errorf("%d alarms for one refusal: %+v", len(alarms), alarms)
	}
}

// TestLeastChange: of several lines taken the largest warm one stays; a cold line that others' leaving would crowd
// is cut and the rest passes; what the module wants comes by itself once it is safe.
func TestLeastChange(t *testing.T) {
	_, p := fleetOf(t, 1)
	p.Apply(now, []fleet.Order{fleet.SetWeight{Server: 1}, fleet.SetWeight{Server: 2, Weight: 0.5}, fleet.SetWeight{Server: 3}})
	settle(p, now)
	p.Apply(now, []fleet.Order{fleet.SetWeight{Server: 2}, fleet.SetWeight{Server: 3, Weight: 0.6}, fleet.SetWeight{Server: 1, Weight: 0.2}})
	settle(p, now)
	p.Apply(now, []fleet.Order{fleet.SetWeight{Server: 1}, fleet.SetWeight{Server: 3}})
	settle(p, now)
	if v := p.Proxies()[0]; v.Entries != 1 || len(p.Refusals()) != 1 || p.Refusals()[0].Server != 3 || p.Refusals()[0].Reason != ReasonNoEndpoints {
		t.Errorf("%d lines, refusals %+v", v.Entries, p.Refusals())
	}
	p.Apply(now, []fleet.Order{fleet.SetWeight{Server: 2, Weight: 1}})
	settle(p, now)
	settle(p, now+2*fleet.Second) // held back lines are proposed again
	if v := p.Proxies()[0]; v.Entries != 1 || len(p.Refusals()) != 0 {
		t.Errorf("once another line is there: %d lines, refusals %+v", v.Entries, p.Refusals())
	}
	g, p := fleetOf(t, 1)
	l := fleet.EndpointList{Scope: fleet.ListDelta, Endpoints: []fleet.Endpoint{{Server: 2, Started: now}}}
	g.Hear(now, l)
	p.SetEndpoints(now, l)
	p.Apply(now, []fleet.Order{fleet.SetWeight{Server: 2, Weight: 0.05}})
	settle(p, now)
	p.Apply(now, []fleet.Order{fleet.SetWeight{Server: 1, Weight: 0}})
	cut, took := false, false
	for _, c := range settle(p, now+2*fleet.Second) {
		cut = cut || c.Server == 2 && c.Weight >= 0
		took = took || c.Server == 1 && c.Weight == 0
	}
	if !took {
		t.Errorf("cut %v, took %v", cut, took)
	}
}

// TestColdReportsTellNothing: what a server handles while it is cold is no capacity.
func TestColdReportsTellNothing(t *testing.T) {
	g := New(site())
	g.Hear(now, fleet.EndpointList{Endpoints: []fleet.Endpoint{{Server: 1, Started: now}}})
	g.Hear(now, fleet.OutcomeReport{Server: 1, Attempts: 100, Interval: 10 * fleet.Second, Load: []float32{0.5}})
	if _, known := g.servers[1].trustedCapacity(now); known {
		t.Error("a cold server's reports were taken as its capacity")
	}
}

// TestAnsweredFreesRoom: a proxy that has answered a cut leaves its room to the others.
func TestAnsweredFreesRoom(t *testing.T) {
	g := New(site())
	g.Hear(now, fleet.EndpointList{Endpoints: []fleet.Endpoint{{Server: 1}, {Server: 2, Started: now}}})
	g.Hear(now, fleet.ProxyJoined{Proxy: 1, RequestRate: 20})
	in := func(w int16) reconcile.EntryState {
		return reconcile.EntryState{Present: true, State: reconcile.StateReady, Weight: w}
	}
	d := &reconcile.UpdatePlan{Proxy: 1, NothingInFlight: true, EntryCounts: []int{2, 2}, WeightSums: []int{200, 200}, Warming: []reconcile.WarmingEntry{{Server: 2, State: in(100)}}}
	g.ProxyJoined(now, d)
	if got := g.otherProxiesRate(2, 9); math.Abs(got-5) > 1e-9 {
		t.Errorf("%v counted, not 5", got)
	}
	g.Hear(now, fleet.ProxyLeft{Proxy: 1})
	again := func(at fleet.Time) {
		g.Hear(at, fleet.EndpointList{Scope: fleet.ListDelta, Endpoints: []fleet.Endpoint{{Server: 2, Started: at}}})
	}
	if again(now + 5*fleet.Second); g.otherProxiesRate(2, 9) == 0 {
		t.Error("a proxy that just left goes on with what it holds, but is not counted")
	}
	if again(now + 11*fleet.Second); g.otherProxiesRate(2, 9) != 0 {
		t.Error("a proxy gone for long is counted")
	}
	g.ProxyJoined(now, d)
	d.Warming, d.WeightSums = nil, []int{100, 100}
	g.ProxyAcknowledged(now, d)
	if got := g.otherProxiesRate(2, 9); got != 0 {
		t.Errorf("%v counted after the line is gone", got)
	}
}

// TestTables: whole tables as staff push them.
func TestTables(t *testing.T) {
	g := New(site())
	g.Hear(now, fleet.EndpointList{Endpoints: []fleet.Endpoint{{Server: 1}, {Server: 2}, {Server: 3, State: fleet.ServerDraining}, {Server: 4, Started: now - fleet.Second}}})
	for id := range fleet.ServerID(2) {
		g.Hear(now, fleet.OutcomeReport{Server: id + 1, Attempts: 100, Interval: 10 * fleet.Second, Load: []float32{0.5}})
	}
	g.Hear(now, fleet.OutcomeReport{Server: 4, Attempts: 10, Interval: 10 * fleet.Second})
	g.servers[4].measuredAt = now // it was heard of, though cold
	for _, c := range []struct {
		weights map[fleet.ServerID]float64
		demand  float64
		want    []string
	}{
		{map[fleet.ServerID]float64{1: 1, 2: 1}, 30, nil},
		{map[fleet.ServerID]float64{1: 1, 2: 1, 4: 0.05}, 30, nil},
		{map[fleet.ServerID]float64{1: 1, 2: 1, 3: 1}, 30, []string{ReasonServerNotReady}},
		{map[fleet.ServerID]float64{1: 0, 2: 0}, 30, []string{ReasonNoEndpoints}},
		{map[fleet.ServerID]float64{1: 1, 2: 1, 4: 2}, 35, []string{ReasonWarmingOverload}},
		{map[fleet.ServerID]float64{1: 1, 9: 1}, 35, []string{ReasonServerNotReady, ReasonInsufficientCapacity}},
	} {
		var lines []TableLine
		for id := range fleet.ServerID(10) {
			if w, ok := c.weights[id]; ok {
				lines = append(lines, TableLine{Server: id, Weight: w})
			}
		}
		var got []string
		for _, h := range g.Table(now, lines, c.demand) {
			got = append(got, h.Why)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%v at %v a second: %q, not %q", c.weights, c.demand, got, c.want)
		}
	}
}

// TestCheckFiles: a table judged offline, in words; bad files name the place.
func TestCheckFiles(t *testing.T) {
	state := `{"now": "2026-12-01T12:00:10Z", "demand": 40, "cold": {"from": 0.2, "for_s": 15, "fall_factor": 3, "fall_for_s": 2},
		"servers": [{"name": "a", "capacity": 30}, {"name": "b", "capacity": 30, "state": "draining"},
		{"name": "c", "started": "2026-12-01T12:00:08Z"}, {"name": "d", "capacity": 30}]}`
	for table, want := range map[string]string{
		`{"lines": [{"server": "a", "weight": 1}, {"server": "d", "weight": 1}]}`: "[]",
		`{"lines": [{"server": "a", "weight": 1}, {"server": "b", "weight": 1}, {"server": "c", "weight": 5}]}`: "[server b: " + ReasonServerNotReady +
			": visits would go to a server that is draining, gone or not listed server c: " + ReasonWarmingOverload,
		`{"lines": [{"server": "x", "weight": 0}]}`:  "[" + ReasonNoEndpoints,
		`{"lines": [{"server": "a", "weight": -1}]}`: "t: lines[0].weight: -1 is negative",
		`{"lines": [{"sever": "a"}]}`:                `t: byte 27: json: unknown field "sever"`,
	} {
		words, err := Check("t", []byte(table), "s", []byte(state))
		got := fmt.Sprint(words)
		if err != nil {
			got = err.Error()
		}
		if !strings.HasPrefix(got, want) {
			t.Errorf("%s: %s, want %s", table, got, want)
		}
	}
	if _, err := Check("t", []byte("{}"), "s", []byte(`{"servers": [{"state": "up"}], "now": "2026-12-01T12:00:10Z"}`)); err == nil || !strings.Contains(err.Error(), "s: servers[0].state") {
		t.Error(err)
	}
}

func BenchmarkMessages(b *testing.B) { // a step's messages to 930 proxies, one line of three classes changed, some servers cold
	for _, colds := range []int{0, 20, 200} {
		b.Run(fmt.Sprint("cold=", colds), func(b *testing.B) {
			s := site()
			s.Classes = append(s.Classes, fleet.RequestClass{})
			g := New(s)
			l := fleet.EndpointList{}
			for i := range 700 {
				e := fleet.Endpoint{Server: fleet.ServerID(i)}
				if i < colds {
					e.Started = now - fleet.Second
				}
				l.Endpoints = append(l.Endpoints, e)
			}
			g.Hear(now, l)
			d := &reconcile.UpdatePlan{EntryCounts: []int{700, 700, 700}, WeightSums: []int{70000, 70000, 70000}}
			for i := range colds {
				for c := range 3 {
					d.Warming = append(d.Warming, reconcile.WarmingEntry{Class: fleet.ClassID(c), Server: fleet.ServerID(i), State: reconcile.EntryState{Present: true, State: reconcile.StateReady, Weight: 10}})
				}
			}
			for p := range 930 {
				g.Hear(now, fleet.ProxyJoined{Proxy: fleet.ProxyID(p), RequestRate: 3})
			}
			for i := 699; i > 600; i-- {
				g.Hear(now, fleet.OutcomeReport{Server: fleet.ServerID(i), Attempts: 1000, Interval: 10 * fleet.Second, Load: []float32{0.5}})
			}
			b.ReportAllocs()
			for b.Loop() {
				for p := range 930 {
					d.Proxy, d.Proposals = fleet.ProxyID(p), d.Proposals[:0]
					for c := range 3 {
						have := reconcile.EntryState{Present: true, State: reconcile.StateReady, Weight: 100}
						want := have
						want.Weight = 90
						d.Proposals = append(d.Proposals, reconcile.Proposal{Change: reconcile.Change{Class: fleet.ClassID(c), Server: 650, Weight: 90}, Have: have, Want: want, Ready: true})
					}
					g.CheckPlan(now, d)
				}
			}
		})
	}
}
