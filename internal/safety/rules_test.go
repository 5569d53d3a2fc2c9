package safety

import (
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// TestRetriesNeverExecuteTwice checks that the retry mode of each class is lowered to what cannot execute a request
// twice, and that lower modes pass unchanged.
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
				t.Errorf("class %d, retry mode %d: %+v, limit %d", class, wanted, proposal, limit)
			}
		}
	}
}

// TestLastEndpointStays checks that a message that removes all entries of a class keeps the warm one with the largest
// weight, and that the refused removal is applied without a further order once it is safe.
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
		t.Errorf("%d entries, refusals %+v; want one entry and the refusal to remove server 3", entries, refusals)
	}
	reconciler.Apply(now, []fleet.Order{fleet.SetWeight{Server: 2, Weight: 1}})
	acknowledgeAll(reconciler, now)
	acknowledgeAll(reconciler, now+2*fleet.Second) // refused changes are proposed again
	entries = reconciler.Proxies()[0].Entries
	if entries != 1 || len(reconciler.Refusals()) != 0 {
		t.Errorf("after another entry was added: %d entries, refusals %+v; want 1 and none", entries, reconciler.Refusals())
	}
}
