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

// simulation is a core with two fresh proxies, in simulated time. Reachable servers answer verifications, and proxies
// apply all messages.
type simulation struct {
	core       *Core
	now        fleet.Time
	reachable  map[string]bool
	weights    [2]map[string]int16     // by proxy; 0 for servers in maintenance or draining
	cachedList *discovery.EndpointList // the last list that a step cached
	cachedAt   fleet.Time
	logs       []string
}

func newSimulation(reachable map[string]bool) *simulation {
	site := fleet.Site{
		Zones: []string{"a"},
		Classes: []fleet.RequestClass{{
			Name:             "look",
			LatencyObjective: fleet.Second,
			Deadline:         2 * fleet.Second,
			PriorityWeight:   1,
		}},
		DrainTimeout:        3 * fleet.Second,
		EntriesPerSecond:    1e6,
		MaxBacklog:          1e6,
		ReportsPerSecond:    500,
		ReportInterval:      fleet.Second,
		ProxyCount:          2,
		MaxUnservedDuration: 5 * fleet.Second,
		MeanUpdateDelay:     fleet.Millisecond,
		MaxUpdateDelay:      10 * fleet.Millisecond,
		LoadFields:          []fleet.LoadField{fleet.LoadFieldUtilization},
		LoadReports:         fleet.LoadReportInline,
	}
	sim := &simulation{now: 1_000_000 * fleet.Second, reachable: reachable, weights: [2]map[string]int16{{}, {}}}
	sim.core = NewCore(CoreOptions{
		Site:    site,
		Seed:    1,
		Proxies: []transport.Proxy{{ID: 0, Name: "p0"}, {ID: 1, Name: "p1"}},
		Names:   NewServerNames(),
	})
	return sim
}

func (sim *simulation) step(inputs ...Input) Output {
	out := sim.core.Step(sim.now, inputs)
	for _, l := range out.Log {
		sim.logs = append(sim.logs, l.Text)
	}
	if out.Endpoints != nil {
		sim.cachedList = out.Endpoints
		sim.cachedAt = out.EndpointsConfirmedAt
	}
	return out
}

// runUntil steps until a time, and answers messages and verifications. It calls each, if not nil, before each step.
func (sim *simulation) runUntil(until fleet.Time, each func()) {
	var next []Input
	for ; sim.now < until; sim.now += 50 * fleet.Millisecond {
		if each != nil {
			each()
		}
		out := sim.step(next...)
		next = nil
		for _, m := range out.Messages {
			for _, c := range m.Changes {
				name, _ := sim.core.names.Lookup(c.Server)
				if c.Kind == reconcile.UpdateEntry || c.Kind == reconcile.AddEntry {
					if c.Weight >= 0 {
						sim.weights[m.Proxy][name] = c.Weight
					}
					if c.State == reconcile.StateMaintenance || c.State == reconcile.StateDrain {
						sim.weights[m.Proxy][name] = 0
					}
				}
			}
			next = append(next, answered(m))
		}
		for _, id := range out.Verifications {
			name, _ := sim.core.names.Lookup(id)
			p := VerificationResult{Server: id}
			if sim.reachable[name] {
				p.Evidence = verification.EvidenceConnection
			}
			next = append(next, p)
		}
	}
}

func (sim *simulation) connectProxies() {
	fresh := reconcile.Snapshot{RequestRate: 5, Fresh: true}
	sim.step(connected(0, fresh), connected(1, fresh))
}

func (sim *simulation) logged(text string) bool {
	return strings.Contains(strings.Join(sim.logs, "\n"), text)
}

func listOf(rev uint64, names ...string) discovery.EndpointList {
	list := discovery.EndpointList{Revision: rev}
	for i, n := range names {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{Name: n, Addr: fmt.Sprint("x:", i), Zone: "a"})
	}
	return list
}

const day = 24 * 3600 * fleet.Second

// TestOldCachedListServesAnsweringServers starts from a list that is a day old. Within ten seconds the proxies' tables
// must contain exactly the servers that answer. The source's first list is compared with the remaining servers only, so
// that the removed servers do not make it count as shrunk.
func TestOldCachedListServesAnsweringServers(t *testing.T) {
	sim := newSimulation(map[string]bool{"s0": true, "s1": true, "s2": true, "s3": true})
	u := EndpointUpdate{
		Scope:       fleet.ListCached,
		List:        listOf(4, "s0", "s1", "s2", "s3", "g0", "g1", "g2", "g3", "g4", "g5"),
		ConfirmedAt: sim.now - day,
	}
	sim.step(u)
	sim.connectProxies()
	sim.runUntil(sim.now+10*fleet.Second, nil)
	for p, weights := range sim.weights {
		for name, up := range map[string]bool{"s0": true, "s1": true, "s2": true, "s3": true, "g0": false, "g5": false} {
			if weights[name] > 0 != up {
				t.Errorf("proxy %d has %s at weight %d", p, name, weights[name])
			}
		}
	}
	sim.step(EndpointUpdate{
		Scope: fleet.ListFull,
		List:  listOf(5, "s0", "s1", "s2"),
	}) // more than half of the remaining servers
	if len(sim.core.endpoints.listed) != 3 || sim.logged("fetching the list again") {
		t.Errorf("%d servers are listed, want 3; log: %v", len(sim.core.endpoints.listed), sim.logs)
	}
}

// TestFlappingSourceMovesNoWeight lets a source fail and recover every second with the same list. No weight may change,
// no server may be withdrawn, and the cached list must record when the source last confirmed it.
func TestFlappingSourceMovesNoWeight(t *testing.T) {
	sim := newSimulation(map[string]bool{"s0": true, "s1": true, "s2": true})
	list := listOf(4, "s0", "s1", "s2")
	sim.step(EndpointUpdate{Scope: fleet.ListCached, List: list, ConfirmedAt: sim.now - 3600*fleet.Second})
	sim.connectProxies()
	sim.runUntil(sim.now+8*fleet.Second, nil)
	before := fmt.Sprint(sim.weights)
	for i := range 40 {
		switch i % 4 {
		case 0:
			sim.step(EndpointUpdate{Scope: fleet.ListFull, List: list})
		case 2:
			sim.step(EndpointUpdate{Scope: fleet.ListDelta, List: discovery.EndpointList{Revision: 4, Delta: true}})
		default:
			sim.step(EndpointUpdate{Scope: fleet.ListFailed, Err: fmt.Errorf("list: away")})
		}
		sim.runUntil(sim.now+fleet.Second, nil)
	}
	after := fmt.Sprint(sim.weights)
	errorsLogged := strings.Count(strings.Join(sim.logs, "\n"), "list: away")
	if after != before || errorsLogged > 20 {
		t.Errorf("weights changed from %s to %s, %d source errors logged\n%v", before, after, errorsLogged, sim.logs)
	}
	if sim.cachedList == nil || sim.cachedAt < sim.now-verification.ConfirmInterval-4*fleet.Second {
		t.Errorf("the cached list was confirmed %.0f s ago", (sim.now - sim.cachedAt).Seconds())
	}
	cachedBefore := sim.cachedAt
	sim.runUntil(sim.now+2*verification.ConfirmInterval,
		func() { sim.core.handleEndpoints(sim.now, discovery.Update{Unchanged: true}, &Output{}) })
	if sim.cachedAt < cachedBefore+verification.ConfirmInterval {
		t.Error("an unchanged answer of the source did not confirm the cached list")
	}
}

// TestEmptyOrLateCachedListIsIgnored checks that an empty cached list removes no server, and that a cached list that
// arrives after the source's own list changes nothing.
func TestEmptyOrLateCachedListIsIgnored(t *testing.T) {
	sim := newSimulation(nil)
	sim.step(EndpointUpdate{Scope: fleet.ListCached, ConfirmedAt: sim.now})
	endpoints := &sim.core.endpoints
	if len(endpoints.listed) != 0 || !sim.logged("the cached endpoint list is empty") || endpoints.revision != 0 {
		t.Errorf("an empty cached list was applied: %d servers, rev %d; log: %v",
			len(endpoints.listed), endpoints.revision, sim.logs)
	}
	sim.step(EndpointUpdate{Scope: fleet.ListFull, List: listOf(4, "s0")})
	sim.step(EndpointUpdate{Scope: fleet.ListCached, List: listOf(3, "s0", "s1"), ConfirmedAt: sim.now})
	if len(sim.core.endpoints.listed) != 1 || sim.core.endpoints.revision != 4 {
		t.Errorf("%d servers are listed at rev %d, want 1 at rev 4", len(endpoints.listed), endpoints.revision)
	}
}

// TestVerificationTellsWhoAnswers verifies servers by a connection and by a probe: a server that reports the expected
// name, one that reports another name, one that reports none, and one that is down.
func TestVerificationTellsWhoAnswers(t *testing.T) {
	const name = "a"
	for _, c := range []struct {
		reportedName string // in the response to a probe
		down         bool
		byConnection verification.Evidence
		byProbe      verification.Evidence
	}{
		{reportedName: name, byConnection: verification.EvidenceConnection, byProbe: verification.EvidenceConfirmed},
		{reportedName: "b", byConnection: verification.EvidenceConnection, byProbe: verification.EvidenceOtherServer},
		{reportedName: "", byConnection: verification.EvidenceConnection, byProbe: verification.EvidenceConnection},
		{reportedName: "nobody", down: true},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Server", c.reportedName)
		}))
		names := NewServerNames()
		id, _ := names.SetAddress(name, strings.TrimPrefix(server.URL, "http://"))
		if c.down {
			server.Close()
		}
		for mode, want := range map[string]verification.Evidence{
			VerifyByConnection: c.byConnection,
			VerifyByProbe:      c.byProbe,
		} {
			p := prober{names: names, path: "/probe", verificationMode: mode}
			if got := p.verify(context.Background(), id); got != (VerificationResult{id, want}) {
				t.Errorf("%q by %s: %+v, want evidence %v", c.reportedName, mode, got, want)
			}
		}
		server.Close()
	}
}

// TestGossipFloodKeepsNewestOfEachController checks that a step handles only the newest message of each controller, for
// at most gossip.MaxControllers controllers, however many messages arrive between two steps.
func TestGossipFloodKeepsNewestOfEachController(t *testing.T) {
	loop := NewLoop(Options{Core: newSimulation(nil).core, Names: NewServerNames()})
	for seq := range uint64(1000) {
		for g := range 200 {
			loop.ReceiveGossip(gossip.Message{Controller: fmt.Sprint("g", g), Epoch: 1, Sequence: (seq*7)%1000 + 1})
		}
	}
	inputs, _ := loop.mailbox.collect(0, 0)
	if len(inputs) != gossip.MaxControllers {
		t.Errorf("a step takes %d messages, want %d", len(inputs), gossip.MaxControllers)
	}
	for _, in := range inputs {
		if in.(GossipMessage).Sequence != 1000 {
			t.Errorf("%+v is not the newest message of its controller", in)
		}
	}
	inputs, _ = loop.mailbox.collect(0, 0)
	if len(inputs) != 0 {
		t.Errorf("%d messages were taken twice", len(inputs))
	}
}

// TestVersionsNeverGoBackAfterTakeover takes over a proxy that holds a version of a controller that started later. All
// proxies must get newer versions from then on. A version with an epoch that no clock could have given is ignored.
func TestVersionsNeverGoBackAfterTakeover(t *testing.T) {
	sim := newSimulation(nil)
	sim.step(EndpointUpdate{Scope: fleet.ListFull, List: listOf(1, "s0", "s1")})
	sim.connectProxies()
	sim.runUntil(sim.now+8*fleet.Second, nil)
	before := sim.core.reconciler.TableVersions(0).Version()
	later := tableversion.Version{Epoch: before.Epoch + 5_000_000_000, Count: 7}
	sim.step(connected(1, reconcile.Snapshot{RequestRate: 5, VersionStamps: []string{later.String() + "/00"}}))
	if v := sim.core.reconciler.TableVersions(0).Version(); v.Compare(later) <= 0 {
		t.Errorf("the proxy is sent version %s, which is not newer than the held %s", v, later)
	}
	sim.core.reconciler.SetManualWeight(sim.now, 0, 0, 9, sim.now+fleet.Second)
	if v := sim.core.reconciler.TableVersions(0).Version(); v.Compare(later) <= 0 {
		t.Errorf("a manual weight makes version %s, which is not newer than %s at the proxy", v, later)
	}
	epoch := sim.core.epoch
	sim.step(connected(1, reconcile.Snapshot{
		RequestRate:   5,
		VersionStamps: []string{tableversion.Version{Epoch: 1<<64 - 1, Count: 7}.String() + "/00", "x"},
	}))
	if sim.core.epoch != epoch {
		t.Errorf("an impossible epoch at a proxy raised the epoch to %d", sim.core.epoch)
	}
}
