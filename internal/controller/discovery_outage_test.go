package controller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cressknot/internal/discovery"
	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
	"cressknot/internal/gossip"
	"cressknot/internal/reconcile"
	"cressknot/internal/tableversion"
	"cressknot/internal/transport"
)

// dark is a core with two proxies that join fresh, on time of its own. Servers answer asks if they are up; proxies take what they
// are sent.
type dark struct {
	core *Core
	now  fleet.Time
	up   map[string]bool
	held [2]map[string]int16     // by proxy: weights of lines that may be picked
	doc  *discovery.EndpointList // kept last, and its time
	at   fleet.Time
	logs []string
}

func newDark(up map[string]bool) *dark {
	site := fleet.Site{Zones: []string{"a"}, Classes: []fleet.RequestClass{{Name: "look", LatencyObjective: fleet.Second, Deadline: 2 * fleet.Second, PriorityWeight: 1}},
		DrainTimeout: 3 * fleet.Second, EntriesPerSecond: 1e6, MaxBacklog: 1e6, ReportsPerSecond: 500, ReportInterval: fleet.Second, ProxyCount: 2, MaxUnservedDuration: 5 * fleet.Second,
		MeanUpdateDelay: fleet.Millisecond, MaxUpdateDelay: 10 * fleet.Millisecond, LoadFields: []fleet.LoadField{fleet.LoadFieldUtilization}, LoadReports: fleet.LoadReportInline}
	d := &dark{now: 1_000_000 * fleet.Second, up: up, held: [2]map[string]int16{{}, {}}}
	d.core = NewCore(CoreOptions{Site: site, Seed: 1, Proxies: []transport.Proxy{{ID: 0, Name: "p0"}, {ID: 1, Name: "p1"}}, Names: NewNames()})
	return d
}

func (d *dark) step(inputs ...Input) Output {
	out := d.core.Step(d.now, inputs)
	for _, l := range out.Log {
		d.logs = append(d.logs, l.Text)
	}
	if out.Endpoints != nil {
		d.doc, d.at = out.Endpoints, out.EndpointsConfirmedAt
	}
	return out
}

// run turns until a time, and answers all that is asked.
func (d *dark) run(until fleet.Time, each func()) {
	var next []Input
	for ; d.now < until; d.now += 50 * fleet.Millisecond {
		if each != nil {
			each()
		}
		out := d.step(next...)
		next = nil
		for _, m := range out.Messages {
			for _, c := range m.Changes {
				name, _ := d.core.names.Of(c.Server)
				if c.Kind == reconcile.UpdateEntry || c.Kind == reconcile.AddEntry {
					if c.Weight >= 0 {
						d.held[m.Proxy][name] = c.Weight
					}
					if c.State == reconcile.StateMaintenance || c.State == reconcile.StateDrain {
						d.held[m.Proxy][name] = 0
					}
				}
			}
			next = append(next, TransportEvent{transport.Answered{Proxy: m.Proxy, Stream: 1, Sequence: m.Sequence}})
		}
		for _, id := range out.Verifications {
			name, _ := d.core.names.Of(id)
			p := VerificationResult{Server: id}
			if d.up[name] {
				p.Evidence = verification.Someone
			}
			next = append(next, p)
		}
	}
}

func (d *dark) join() {
	fresh := reconcile.Snapshot{RequestRate: 5, Fresh: true}
	d.step(connected(0, fresh), connected(1, fresh))
}

// connected is the input by which a proxy connects with its first stream.
func connected(proxy fleet.ProxyID, snapshot reconcile.Snapshot) Input {
	return TransportEvent{transport.Connected{Proxy: proxy, Stream: 1, Snapshot: snapshot}}
}

func (d *dark) logged(text string) bool {
	return strings.Contains(strings.Join(d.logs, "\n"), text)
}

func docOf(rev uint64, names ...string) discovery.EndpointList {
	d := discovery.EndpointList{Revision: rev}
	for i, n := range names {
		d.Endpoints = append(d.Endpoints, discovery.Endpoint{Name: n, Addr: fmt.Sprint("x:", i), Zone: "a"})
	}
	return d
}

const aDay = 24 * 3600 * fleet.Second

// TestOldListServes: from a list a day old tables stand within ten seconds, with the servers that answer and without the others; a
// truncated list on the source's return is measured against those that are left, and held.
func TestOldListServes(t *testing.T) {
	d := newDark(map[string]bool{"s0": true, "s1": true, "s2": true, "s3": true})
	u := EndpointUpdate{Scope: fleet.ListCached, List: docOf(4, "s0", "s1", "s2", "s3", "g0", "g1", "g2", "g3", "g4", "g5"), ConfirmedAt: d.now - aDay}
	d.step(u)
	d.join()
	d.run(d.now+10*fleet.Second, nil)
	for p, held := range d.held {
		for name, up := range map[string]bool{"s0": true, "s1": true, "s2": true, "s3": true, "g0": false, "g5": false} {
			if held[name] > 0 != up {
				t.Errorf("proxy %d holds %s at %d", p, name, held[name])
			}
		}
	}
	d.step(EndpointUpdate{Scope: fleet.ListFull, List: docOf(5, "s0", "s1", "s2")}) // over half of those that are left
	if len(d.core.endpoints.listed) != 3 || d.logged("asked for again") {
		t.Errorf("%d are listed: %v", len(d.core.endpoints.listed), d.logs)
	}
}

// TestSourceFlaps: a source that comes and goes each second, with the same list, moves no weight and withdraws nobody; what is kept says
// when it stood to its list last.
func TestSourceFlaps(t *testing.T) {
	d := newDark(map[string]bool{"s0": true, "s1": true, "s2": true})
	doc := docOf(4, "s0", "s1", "s2")
	d.step(EndpointUpdate{Scope: fleet.ListCached, List: doc, ConfirmedAt: d.now - 3600*fleet.Second})
	d.join()
	d.run(d.now+8*fleet.Second, nil)
	before := fmt.Sprint(d.held)
	for i := range 40 {
		switch i % 4 {
		case 0:
			d.step(EndpointUpdate{Scope: fleet.ListFull, List: doc})
		case 2:
			d.step(EndpointUpdate{Scope: fleet.ListDelta, List: discovery.EndpointList{Revision: 4, Delta: true}})
		default:
			d.step(EndpointUpdate{Scope: fleet.ListFailed, Err: fmt.Errorf("list: away")})
		}
		d.run(d.now+fleet.Second, nil)
	}
	if is := fmt.Sprint(d.held); is != before || strings.Count(strings.Join(d.logs, "\n"), "list: away") > 20 {
		t.Errorf("from %s to %s\n%v", before, is, d.logs)
	}
	if d.doc == nil || d.at < d.now-verification.ConfirmGap-4*fleet.Second {
		t.Errorf("kept %.0f s before", (d.now - d.at).Seconds())
	}
	kept := d.at
	d.run(d.now+2*verification.ConfirmGap, func() { d.core.handleEndpoints(d.now, discovery.Update{Unchanged: true}, &Output{}) })
	if d.at < kept+verification.ConfirmGap {
		t.Error("a source that says that nothing has changed does not count")
	}
}

// TestEmptyAndLateLists: an empty kept list takes nobody out, one that comes after the source's own is none.
func TestEmptyAndLateLists(t *testing.T) {
	d := newDark(nil)
	d.step(EndpointUpdate{Scope: fleet.ListCached, ConfirmedAt: d.now})
	if len(d.core.endpoints.listed) != 0 || !d.logged("the kept list is empty") || d.core.endpoints.revision != 0 {
		t.Error(d.logs)
	}
	d.step(EndpointUpdate{Scope: fleet.ListFull, List: docOf(4, "s0")})
	d.step(EndpointUpdate{Scope: fleet.ListCached, List: docOf(3, "s0", "s1"), ConfirmedAt: d.now})
	if len(d.core.endpoints.listed) != 1 || d.core.endpoints.revision != 4 {
		t.Errorf("%d are listed, rev %d", len(d.core.endpoints.listed), d.core.endpoints.revision)
	}
}

// TestVerificationTellsWhoAnswers asks servers on loopback by a connection and by a probe: one that says its name, one
// that says another's, one that says none, and nobody.
func TestVerificationTellsWhoAnswers(t *testing.T) {
	const name = "a"
	for _, c := range []struct {
		says         string // in the answer to a probe
		down         bool
		byConnection verification.Evidence
		byProbe      verification.Evidence
	}{
		{says: name, byConnection: verification.Someone, byProbe: verification.Itself},
		{says: "b", byConnection: verification.Someone, byProbe: verification.Another},
		{says: "", byConnection: verification.Someone, byProbe: verification.Someone},
		{says: "nobody", down: true},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Server", c.says)
		}))
		names := NewNames()
		id, _ := names.Listed(name, strings.TrimPrefix(server.URL, "http://"))
		if c.down {
			server.Close()
		}
		for mode, want := range map[string]verification.Evidence{
			VerifyByConnection: c.byConnection,
			VerifyByProbe:      c.byProbe,
		} {
			p := prober{names: names, path: "/probe", verificationMode: mode}
			if got := p.verify(context.Background(), id); got != (VerificationResult{id, want}) {
				t.Errorf("%q by %s: %+v, want evidence %v", c.says, mode, got, want)
			}
		}
		server.Close()
	}
}

// TestFloodOfNews: however many news come between two turns, of however many names, a turn takes the newest of each, of so many governors.
func TestFloodOfNews(t *testing.T) {
	l := NewLoop(Options{Core: newDark(nil).core, Names: NewNames()})
	for seq := range uint64(1000) {
		for g := range 200 {
			l.ReceiveGossip(gossip.Message{Controller: fmt.Sprint("g", g), Epoch: 1, Sequence: (seq*7)%1000 + 1})
		}
	}
	inputs, _ := l.mailbox.collect(0, 0)
	if len(inputs) != gossip.MaxControllers {
		t.Errorf("a turn takes %d", len(inputs))
	}
	for _, in := range inputs {
		if in.(GossipMessage).Sequence != 1000 {
			t.Errorf("%+v is not the newest", in)
		}
	}
	if inputs, _ = l.mailbox.collect(0, 0); len(inputs) != 0 {
		t.Error("taken twice")
	}
}

// TestVersionsNeverGoBack: a proxy that is taken over holds a version of a governor that started later: what it is told next is newer still,
// and so is all that other proxies are told from then on. A version that no clock could have made changes nothing.
func TestVersionsNeverGoBack(t *testing.T) {
	d := newDark(nil)
	d.step(EndpointUpdate{Scope: fleet.ListFull, List: docOf(1, "s0", "s1")})
	d.join()
	d.run(d.now+8*fleet.Second, nil)
	before := d.core.reconciler.TableVersions(0).Version()
	later := tableversion.Version{Epoch: before.Epoch + 5_000_000_000, Count: 7}
	d.step(connected(1, reconcile.Snapshot{RequestRate: 5, VersionStamps: []string{later.String() + "/00"}}))
	if v := d.core.reconciler.TableVersions(0).Version(); v.Compare(later) <= 0 {
		t.Errorf("%s is what the proxy is told, %s is what it holds", v, later)
	}
	d.core.reconciler.SetManualWeight(d.now, 0, 0, 9, d.now+fleet.Second)
	if v := d.core.reconciler.TableVersions(0).Version(); v.Compare(later) <= 0 {
		t.Errorf("%s follows %s at the proxy", v, later)
	}
	epoch := d.core.epoch
	d.step(connected(1, reconcile.Snapshot{RequestRate: 5, VersionStamps: []string{tableversion.Version{Epoch: 1<<64 - 1, Count: 7}.String() + "/00", "x"}}))
	if d.core.epoch != epoch {
		t.Errorf("epoch %d by a version that nobody made", d.core.epoch)
	}
}
