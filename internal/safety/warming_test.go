package safety

import (
	"fmt"
	"math"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// TestEntriesOfRestartedServerAreLowered checks that the entries of a server that restarts while proxies send to it are
// lowered by the next message to each proxy, to no more than its new rate limit and no less than half of it. The
// refusal is reported once for all proxies.
func TestEntriesOfRestartedServerAreLowered(t *testing.T) {
	checker, reconciler := newCheckedReconciler(t, 3)
	list := startedList(2, now)
	checker.Observe(now, list)
	reconciler.SetEndpoints(now, list)
	if got := checker.otherProxiesRate(2, 99); math.Abs(got-8) > 0.2 {
		t.Errorf("its present entries count as %v requests/s, want 8", got)
	}
	limit := checker.rateLimit(now, 2)
	// This change alone lowers its fraction of the requests, but not enough.
	reconciler.Apply(now, []fleet.Order{fleet.SetWeight{Server: 1, Weight: 1.1}})
	acknowledgeAll(reconciler, now)
	if got := checker.otherProxiesRate(2, 99); got > limit || got < limit/2 {
		t.Errorf("%v requests/s after it was lowered, the limit is %v", got, limit)
	}
	refusals := reconciler.Refusals()
	if len(refusals) != 1 || refusals[0].Server != 2 || refusals[0].Reason != ReasonWarmingOverload ||
		refusals[0].Proxies != 3 {
		t.Errorf("refusals %+v; want one of server 2 for 3 proxies", refusals)
	}
	if notices := reconciler.Notices(); len(notices) != 1 {
		t.Errorf("%d notices of one refusal, want 1: %+v", len(notices), notices)
	}
}

// TestWarmingServerDoesNotBlockRemoval checks that the removal of a server passes though it would overload a warming
// one, whose entry is lowered instead.
func TestWarmingServerDoesNotBlockRemoval(t *testing.T) {
	checker, reconciler := newCheckedReconciler(t, 1)
	list := startedList(2, now)
	checker.Observe(now, list)
	reconciler.SetEndpoints(now, list)
	reconciler.Apply(now, []fleet.Order{fleet.SetWeight{Server: 2, Weight: 0.05}})
	acknowledgeAll(reconciler, now)
	reconciler.Apply(now, []fleet.Order{fleet.SetWeight{Server: 1, Weight: 0}})
	lowered, removed := false, false
	for _, change := range acknowledgeAll(reconciler, now+2*fleet.Second) {
		lowered = lowered || change.Server == 2 && change.Weight >= 0
		removed = removed || change.Server == 1 && change.Weight == 0
	}
	if !removed {
		t.Errorf("warming server lowered: %v; other server removed: %v, want true", lowered, removed)
	}
}

// TestAcknowledgedDecreaseFreesCapacity checks that a proxy that acknowledged the removal of an entry leaves its part
// of the server's rate limit to the other proxies, and that a proxy that disconnected is counted for the
// duration of a slow start.
func TestAcknowledgedDecreaseFreesCapacity(t *testing.T) {
	checker := New(testSite())
	checker.Observe(now, fleet.EndpointList{Endpoints: []fleet.Endpoint{{Server: 1}, {Server: 2, Started: now}}})
	checker.Observe(now, fleet.ProxyJoined{Proxy: 1, RequestRate: 20})
	plan := &reconcile.UpdatePlan{
		Proxy:           1,
		NothingInFlight: true,
		EntryCounts:     []int{2, 2},
		WeightSums:      []int{200, 200},
		Warming:         []reconcile.WarmingEntry{{Server: 2, State: readyEntry(100)}},
	}
	checker.ProxyJoined(now, plan)
	if got := checker.otherProxiesRate(2, 9); math.Abs(got-5) > 1e-9 {
		t.Errorf("the proxy counts as %v requests/s, want 5", got)
	}
	checker.Observe(now, fleet.ProxyLeft{Proxy: 1})
	restart := func(at fleet.Time) { checker.Observe(at, startedList(2, at)) }
	if restart(now + 5*fleet.Second); checker.otherProxiesRate(2, 9) == 0 {
		t.Error("a proxy that just left may still send requests, but is not counted")
	}
	if restart(now + 11*fleet.Second); checker.otherProxiesRate(2, 9) != 0 {
		t.Error("a proxy that disconnected longer ago than the duration of a slow start is counted")
	}
	checker.ProxyJoined(now, plan)
	plan.Warming = nil
	plan.WeightSums = []int{100, 100}
	checker.ProxyAcknowledged(now, plan)
	if got := checker.otherProxiesRate(2, 9); got != 0 {
		t.Errorf("the proxy counts as %v requests/s after the removal of its entry, want 0", got)
	}
}

// BenchmarkMessages checks the messages of one step to 930 proxies. Each changes one entry in each of three classes
// while some servers are warming up.
func BenchmarkMessages(b *testing.B) {
	for _, warming := range []int{0, 20, 200} {
		b.Run(fmt.Sprint("warming=", warming), func(b *testing.B) {
			checker, plan := newBenchmarkChecker(warming)
			have := readyEntry(100)
			want := readyEntry(90)
			b.ReportAllocs()
			for b.Loop() {
				for proxy := range 930 {
					plan.Proxy = fleet.ProxyID(proxy)
					plan.Proposals = plan.Proposals[:0]
					for class := range 3 {
						plan.Proposals = append(plan.Proposals, reconcile.Proposal{
							Change:  reconcile.Change{Class: fleet.ClassID(class), Server: 650, Weight: 90},
							Current: have,
							Desired: want,
							Ready:   true,
						})
					}
					checker.CheckPlan(now, plan)
				}
			}
		})
	}
}

// newBenchmarkChecker returns a checker with 700 servers and 930 proxies, and the plan of a message to them.
func newBenchmarkChecker(warming int) (*Checker, *reconcile.UpdatePlan) {
	site := testSite()
	site.Classes = append(site.Classes, fleet.RequestClass{})
	checker := New(site)
	list := fleet.EndpointList{}
	for i := range 700 {
		endpoint := fleet.Endpoint{Server: fleet.ServerID(i)}
		if i < warming {
			endpoint.Started = now - fleet.Second
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	checker.Observe(now, list)
	plan := &reconcile.UpdatePlan{EntryCounts: []int{700, 700, 700}, WeightSums: []int{70000, 70000, 70000}}
	for i := range warming {
		for class := range 3 {
			plan.Warming = append(plan.Warming, reconcile.WarmingEntry{
				Class:  fleet.ClassID(class),
				Server: fleet.ServerID(i),
				State:  readyEntry(10),
			})
		}
	}
	for proxy := range 930 {
		checker.Observe(now, fleet.ProxyJoined{Proxy: fleet.ProxyID(proxy), RequestRate: 3})
	}
	for i := 699; i > 600; i-- {
		checker.Observe(now, outcomeReport(fleet.ServerID(i), 1000, 0.5))
	}
	return checker, plan
}
