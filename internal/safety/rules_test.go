package safety

import (
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// TestRetriesNeverExecuteTwice checks that no class is retried where that could execute a request twice.
func TestRetriesNeverExecuteTwice(t *testing.T) {
	site := testSite()
	keyed := fleet.RequestClass{
		Idempotency:         fleet.IdempotentWithKey,
		DeduplicationWindow: 20 * fleet.Second,
		LatencyObjective:    fleet.Second,
	}
	shortWindow := keyed
	shortWindow.DeduplicationWindow = 4 * fleet.Second
	zoneScope := keyed
	zoneScope.DeduplicationScope = fleet.DeduplicationZone
	site.Classes = append(site.Classes, keyed, shortWindow, zoneScope)
	checker := New(site)
	limits := []fleet.RetryMode{
		fleet.RetryTwice, fleet.RetryIfNotExecuted, fleet.RetryTwice, fleet.RetryOnce, fleet.RetryIfNotExecuted,
	}
	allModes := []fleet.RetryMode{fleet.RetryNever, fleet.RetryIfNotExecuted, fleet.RetryOnce, fleet.RetryTwice}
	for class, limit := range limits {
		for _, wanted := range allModes {
			plan := &reconcile.UpdatePlan{
				EntryCounts: make([]int, len(limits)),
				WeightSums:  make([]int, len(limits)),
				Proposals: []reconcile.Proposal{{Change: reconcile.Change{
					Kind:      reconcile.UpdateAdmission,
					Class:     fleet.ClassID(class),
					Admission: reconcile.Admission{Known: true, Retry: wanted},
				}}},
			}
			checker.CheckPlan(now, plan)
			proposal := plan.Proposals[0]
			lowered := proposal.LowerReason != ""
			if proposal.Admission.Retry != min(wanted, limit) || lowered != (wanted > limit) {
				t.Errorf("class %d, wanted %d: %+v, the limit is %d", class, wanted, proposal, limit)
			}
		}
	}
}

// TestLastEndpointStays checks that of several entries that a message takes the largest warm one stays, and that
// what the balancer wants is done by itself once it is safe.
func TestLastEndpointStays(t *testing.T) {
	_, reconciler := newCheckedReconciler(t, 1)
	for _, orders := range [][]fleet.Order{
		{fleet.SetWeight{Server: 1}, fleet.SetWeight{Server: 2, Weight: 0.5}, fleet.SetWeight{Server: 3}},
		{
			fleet.SetWeight{Server: 2},
			fleet.SetWeight{Server: 3, Weight: 0.6},
			fleet.SetWeight{Server: 1, Weight: 0.2},
		},
		{fleet.SetWeight{Server: 1}, fleet.SetWeight{Server: 3}},
	} {
		reconciler.Apply(now, orders)
		acknowledgeAll(reconciler, now)
	}
	entries := reconciler.Proxies()[0].Entries
	refusals := reconciler.Refusals()
	if entries != 1 || len(refusals) != 1 || refusals[0].Server != 3 || refusals[0].Reason != ReasonNoEndpoints {
		t.Errorf("%d entries, refusals %+v", entries, refusals)
	}
	reconciler.Apply(now, []fleet.Order{fleet.SetWeight{Server: 2, Weight: 1}})
	acknowledgeAll(reconciler, now)
	acknowledgeAll(reconciler, now+2*fleet.Second) // refused changes are proposed again
	entries = reconciler.Proxies()[0].Entries
	if entries != 1 || len(reconciler.Refusals()) != 0 {
		t.Errorf("once another entry is there: %d entries, refusals %+v", entries, reconciler.Refusals())
	}
}
