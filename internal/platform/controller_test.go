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
	"cressknot/internal/testing/sites"
	"cressknot/internal/transport/relay"
)

const startTime = 1_700_000_000 * fleet.Second

// harness drives a controller with a simulated clock.
type harness struct {
	controller *Controller
	now        fleet.Time
	last       Effects // effects of the latest step
}

// newHarness returns a harness whose controller starts with the given servers.
func newHarness(servers ...string) *harness {
	known := discovery.EndpointList{Revision: 1}
	for _, name := range servers {
		known.Endpoints = append(known.Endpoints, testEndpoint(name, ""))
	}
	return &harness{controller: NewController(sites.Platform(), 1, known), now: startTime}
}

// run steps the controller with a batch, then once for each due timer until the duration has passed. It returns the
// operations of all steps.
func (h *harness) run(duration fleet.Time, batch Batch) []relay.Operation {
	var operations []relay.Operation
	end := h.now + duration
	for {
		h.last = h.controller.Step(h.now, batch)
		operations = append(operations, h.last.Operations...)
		if h.last.NextTimer == 0 || h.last.NextTimer >= end {
			h.now = end
			return operations
		}
		h.now = max(h.now+1, h.last.NextTimer)
		batch = Batch{}
	}
}

func messageBatch(list ...Message) Batch { return Batch{Messages: list} }

// testEndpoint returns an endpoint in zone a.
func testEndpoint(name, state string) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Zone: "a", Kind: "m", State: state}
}

// endpointDelta returns an incremental update of the endpoint list.
func endpointDelta(revision uint64, endpoints ...discovery.Endpoint) Message {
	list := discovery.EndpointList{Revision: revision, Delta: true, Endpoints: endpoints}
	return EndpointsChanged{discovery.Update{Scope: fleet.ListDelta, List: list}}
}

func unconfirmed(operations []relay.Operation) Message {
	return OperationsUnconfirmed{relay.Unconfirmed{Operations: operations}}
}

// Every unconfirmed operation other than a barrier must be sent again, since the relay may not have carried it out.
func TestUnconfirmedOrdersAreOrderedAgain(t *testing.T) {
	h := newHarness("s-1", "s-2")
	operations := h.run(15*fleet.Second, messageBatch(snapshot(1, false, 1, 2)...))
	repeated := map[string]bool{}
	for _, operation := range h.run(5*fleet.Second, messageBatch(unconfirmed(operations))) {
		repeated[operation.Text([]string{"look"})] = true
	}
	for _, operation := range operations {
		text := operation.Text([]string{"look"})
		if _, isBarrier := operation.Order.(fleet.Barrier); !isBarrier && !repeated[text] {
			t.Errorf("%s is not sent again; sent: %v", text, repeated)
		}
	}
}

// readmissions returns the operations that end the withdrawal of a server.
func readmissions(operations []relay.Operation, server string) []relay.Operation {
	var found []relay.Operation
	for _, operation := range operations {
		withdrawal, isWithdrawal := operation.Order.(fleet.WithdrawServer)
		if isWithdrawal && !withdrawal.Withdrawn && operation.Server == server {
			found = append(found, operation)
		}
	}
	return found
}

// A server is removed and its withdrawal ended, but the call that ends it is lost. A new server under the same name
// must be readmitted, or it would stay withdrawn at the relay.
func TestLostReadmissionOfForgottenServerIsOrderedForItsSuccessor(t *testing.T) {
	h := newHarness("s-1", "s-2")
	h.run(10*fleet.Second, messageBatch(snapshot(1, false, 1, 2)...))
	lost := readmissions(h.run(30*fleet.Second, messageBatch(endpointDelta(2, testEndpoint("s-2", "gone")))), "s-2")
	if len(lost) != 1 {
		t.Fatalf("%d operations readmit the removed server, want 1", len(lost))
	}
	h.run(fleet.Second, messageBatch(unconfirmed(lost), endpointDelta(3)))
	operations := h.run(5*fleet.Second, messageBatch(endpointDelta(4, testEndpoint("s-2", "ready"))))
	if len(readmissions(operations, "s-2")) == 0 {
		t.Error("no operation readmits the new server")
	}
}

// Weights are set for listed servers only: an endpoint first listed as gone gets none, and a report of an unknown
// server is dropped and counted.
func TestWeightsNameListedServersOnly(t *testing.T) {
	h := newHarness("s-1")
	operations := h.run(fleet.Second, messageBatch(append([]Message{streamOpened(1, false)}, proxiesJoined(1, 1)...)...))
	added := discovery.Endpoint{Name: "s-2", Zone: "b", Kind: "m", Started: time.Unix(0, int64(h.now))}
	neverListed := discovery.Endpoint{Name: "s-9", State: "gone"}
	operations = append(operations, h.run(20*fleet.Second, messageBatch(endpointDelta(2, added, neverListed)))...)
	weighted := map[string]bool{}
	for _, operation := range operations {
		if _, isWeight := operation.Order.(fleet.SetWeight); isWeight {
			weighted[operation.Server] = true
		}
	}
	if !weighted["s-1"] || !weighted["s-2"] || len(weighted) != 2 {
		t.Errorf("weights set for servers %v, want s-1 and s-2", weighted)
	}
	effects := h.controller.Step(h.now, Batch{Reports: []collector.Report{
		{Server: "s-9"},
		{Server: "s-2", Outcome: fleet.OutcomeReport{Attempts: 1, Interval: fleet.Second}},
	}})
	if effects.UnknownServerReports != 1 {
		t.Errorf("%d reports of unknown servers, want 1", effects.UnknownServerReports)
	}
}

// Operators must see in the log which server was withdrawn and why: a withdrawal moves its requests to other servers.
func TestWithdrawalsNameServerAndCause(t *testing.T) {
	h := newHarness("s-1", "s-2")
	h.run(10*fleet.Second, messageBatch(snapshot(1, false, 1, 2)...))
	effects := h.controller.Step(h.now, messageBatch(endpointDelta(2, testEndpoint("s-2", "draining"))))
	want := Withdrawal{Server: "s-2", Withdrawn: true, Cause: fleet.CauseNotReady}
	if len(effects.Withdrawals) != 1 || effects.Withdrawals[0] != want {
		t.Errorf("withdrawals %+v, want %+v", effects.Withdrawals, want)
	}
}

func TestFirstStepWatchesEndpoints(t *testing.T) {
	h := newHarness("s-1")
	h.run(0, Batch{})
	if len(h.last.WatchRequests) != 1 || !h.last.WatchRequests[0] {
		t.Errorf("watch requests %v, want [true]", h.last.WatchRequests)
	}
}

func TestTimersFireInOrderOfDueTimes(t *testing.T) {
	h := newHarness("s-1")
	h.run(0, Batch{})
	timers := &h.controller.timers
	timers.timers = nil
	for _, delay := range []fleet.Time{30, 10, 20} {
		h.controller.applyOrder(startTime, fleet.SetTimer{Delay: delay, ID: fleet.TimerID(delay)}, &h.last)
	}
	for _, want := range []fleet.Time{10, 20, 30} {
		if timers.next() != startTime+want {
			t.Fatalf("next timer is due at %d, want %d", timers.next()-startTime, want)
		}
		timers.timers = append(timerHeap{}, timers.timers...)
		h.controller.Step(startTime+want, Batch{})
	}
}

// liveHeap returns the size of the live heap objects in bytes.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// replaceServer adds server s-i, drains s-(i-1) and removes it from the list.
func (h *harness) replaceServer(i int, random *rand.Rand) {
	name, predecessor := fmt.Sprint("s-", i), fmt.Sprint("s-", i-1)
	added := testEndpoint(name, "")
	added.Started = time.Unix(0, int64(h.now))
	revision := uint64(2 * i)
	report := collector.Report{Server: predecessor, Outcome: fleet.OutcomeReport{
		Attempts: uint32(10 + random.Intn(9)),
		Interval: fleet.Second,
		Latency:  fleet.Second / 5,
		Load:     []float32{0.5},
	}}
	batch := messageBatch(endpointDelta(revision+1, added, testEndpoint(predecessor, "draining")))
	batch.Reports = []collector.Report{report}
	h.run(8*fleet.Second, batch)
	h.run(2*fleet.Second, messageBatch(endpointDelta(revision+2, discovery.Endpoint{Name: predecessor, State: "gone"})))
}

// Continuous replacement of servers must not leak names, IDs or heap memory.
func TestMemoryStaysBoundedWhileServersAreReplaced(t *testing.T) {
	h := newHarness("s-0")
	h.run(fleet.Second, messageBatch(snapshot(1, false, 1, 2)...))
	random := rand.New(rand.NewSource(1))
	for i := 1; i < 300; i++ {
		h.replaceServer(i, random)
	}
	servers := &h.controller.servers
	namesBefore, heapBefore := len(servers.names), liveHeap()
	for i := 300; i < 3000; i++ {
		h.replaceServer(i, random)
	}
	if n := len(servers.names); n > namesBefore+2 || n > 12 || len(servers.ids) != n {
		t.Errorf("registry holds %d names and %d IDs, %d names before", n, len(servers.ids), namesBefore)
	}
	if heapAfter := liveHeap(); heapAfter > heapBefore+heapBefore/4 {
		t.Errorf("heap is %d bytes, was %d bytes before", heapAfter, heapBefore)
	}
}
