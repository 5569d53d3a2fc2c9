package safety

import (
	"fmt"
	"math"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// TestEntriesOfRestartedServerAreLowered checks that a server that restarts while proxies have entries of it bears
// no more, and is lowered by the next message to each; after those it gets as much as it bears.
func TestEntriesOfRestartedServerAreLowered(t *testing.T) {
	checker, reconciler := newCheckedReconciler(t, 3)
	list := startedList(2, now)
	checker.Observe(now, list)
	reconciler.SetEndpoints(now, list)
	if got := checker.otherProxiesRate(2, 99); math.Abs(got-8) > 0.2 {
		t.Errorf("its present entries count as %v requests per second, not 8", got)
	}
	limit := checker.rateLimit(now, 2)
	// That alone would lower its part of the requests, but not enough.
	reconciler.Apply(now, []fleet.Order{fleet.SetWeight{Server: 1, Weight: 1.1}})
	acknowledgeAll(reconciler, now)
	if got := checker.otherProxiesRate(2, 99); got > limit || got < limit/2 {
		t.Errorf("%v requests per second after it was lowered, it bears %v", got, limit)
	}
	refusals := reconciler.Refusals()
	if len(refusals) != 1 || refusals[0].Server != 2 || refusals[0].Reason != ReasonWarmingOverload ||
		refusals[0].Proxies != 3 {
		t.Errorf("refusals %+v", refusals)
	}
	if notices := reconciler.Notices(); len(notices) != 1 {
		t.Errorf("%d notices for one refusal: %+v", len(notices), notices)
	}
}

// TestWarmingServerDoesNotBlockRemoval checks that the entry of a warming server that the removal of another one
// would overload is lowered, and that the removal passes.
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
		t.Errorf("lowered %v, removed %v", lowered, removed)
	}
}

// TestAcknowledgedDecreaseFreesCapacity checks that a proxy that acknowledged the removal of an entry leaves its
// part of what the server bears to the others, and that one that left counts until the server would have warmed up.
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
		t.Errorf("%v counted, not 5", got)
	}
	checker.Observe(now, fleet.ProxyLeft{Proxy: 1})
	restart := func(at fleet.Time) { checker.Observe(at, startedList(2, at)) }
	if restart(now + 5*fleet.Second); checker.otherProxiesRate(2, 9) == 0 {
		t.Error("a proxy that just left goes on with what it has, but is not counted")
	}
	if restart(now + 11*fleet.Second); checker.otherProxiesRate(2, 9) != 0 {
		t.Error("a proxy that left long ago is counted")
	}
	checker.ProxyJoined(now, plan)
	plan.Warming = nil
	plan.WeightSums = []int{100, 100}
	checker.ProxyAcknowledged(now, plan)
	if got := checker.otherProxiesRate(2, 9); got != 0 {
		t.Errorf("%v counted after the entry is gone", got)
	}
}

// BenchmarkMessages checks the messages of a step to 930 proxies, with one entry of three classes changed and some
// servers warming up.
func BenchmarkMessages(b *testing.B) {
	for _, warming := range []int{0, 20, 200} {
		b.Run(fmt.Sprint("cold=", warming), func(b *testing.B) {
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
							Change: reconcile.Change{Class: fleet.ClassID(class), Server: 650, Weight: 90},
							Have:   have,
							Want:   want,
							Ready:  true,
						})
					}
					checker.CheckPlan(now, plan)
				}
			}
		})
	}
}

// newBenchmarkChecker returns a guard of 700 servers and 930 proxies, and the plan of a message to them.
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
