package safety

import (
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/testing/properties"
)

// TestMain fixes the seed of property tests, so that CI results are reproducible.
func TestMain(m *testing.M) { properties.RunFixed(m, 11, 20000) }

const now = 1000 * fleet.Second

func testSite() fleet.Site {
	return fleet.Site{
		Zones:                []string{"a"},
		LoadFields:           []fleet.LoadField{fleet.LoadFieldUtilization},
		ProxyCount:           2,
		AttemptTimeoutFactor: 1,
		SlowStart:            fleet.SlowStart{InitialFraction: 0.2, Duration: 10 * fleet.Second},
		RecoveryRamp:         fleet.RecoveryRamp{OverloadFactor: 2, Duration: 2 * fleet.Second},
		Classes: []fleet.RequestClass{
			{Idempotency: fleet.Idempotent, LatencyObjective: fleet.Second},
			{Idempotency: fleet.NotIdempotent, LatencyObjective: fleet.Second},
		},
	}
}

func readyEntry(weight int16) reconcile.EntryState {
	return reconcile.EntryState{Present: true, State: reconcile.StateReady, Weight: weight}
}

// outcomeReport returns a report on ten seconds of attempts without failures, at the given utilization.
func outcomeReport(server fleet.ServerID, attempts uint32, utilization float32) fleet.OutcomeReport {
	return fleet.OutcomeReport{
		Server:   server,
		Attempts: attempts,
		Interval: 10 * fleet.Second,
		Load:     []float32{utilization},
	}
}

// startedList returns an endpoint list delta that changes the start time of a server.
func startedList(server fleet.ServerID, at fleet.Time) fleet.EndpointList {
	return fleet.EndpointList{
		Scope:     fleet.ListDelta,
		Endpoints: []fleet.Endpoint{{Server: server, Started: at}},
	}
}

// newCheckedReconciler returns a checker and the reconciler that uses it. The proxies have one table with three
// servers of a capacity of 20 requests per second each, and a total demand of 24 requests per second.
func newCheckedReconciler(t *testing.T, proxies int) (*Checker, *reconcile.Reconciler) {
	t.Helper()
	site := testSite()
	site.Classes = site.Classes[:1]
	site.EntriesPerSecond = 1e6
	site.MaxBacklog = 1e6
	checker := New(site)
	reconciler := reconcile.New(site)
	reconciler.UseSafetyCheck(checker)
	list := fleet.EndpointList{Endpoints: []fleet.Endpoint{{Server: 1}, {Server: 2}, {Server: 3}}}
	checker.Observe(now, list)
	reconciler.SetEndpoints(now, list)
	var orders []fleet.Order
	for id := range fleet.ServerID(3) {
		checker.Observe(now, outcomeReport(id+1, 100, 0.5))
		orders = append(orders, fleet.SetWeight{Server: id + 1, Weight: 1})
	}
	for i := range proxies {
		id := fleet.ProxyID(i)
		reconciler.Join(now, id, reconcile.Snapshot{})
		checker.Observe(now, fleet.ProxyJoined{Proxy: id})
		checker.Observe(now, fleet.DemandReport{Proxy: id, Requests: uint32(2400 / proxies), Interval: 100 * fleet.Second})
		orders = append(orders, fleet.AssignTable{Proxy: id})
	}
	reconciler.Apply(now, orders)
	acknowledgeAll(reconciler, now)
	return checker, reconciler
}

// acknowledgeAll acknowledges all messages that are sent within 400 ms and returns their changes.
func acknowledgeAll(reconciler *reconcile.Reconciler, from fleet.Time) (changes []reconcile.Change) {
	for at := from; at < from+400*fleet.Millisecond; at += 50 * fleet.Millisecond {
		messages, _, _, _ := reconciler.NextMessages(at)
		for _, message := range messages {
			changes = append(changes, message.Changes...)
			reconciler.RecordAcknowledgement(at, message.Proxy, message.Sequence, nil)
		}
	}
	return changes
}
