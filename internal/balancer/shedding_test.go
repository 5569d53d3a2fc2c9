package balancer

import (
	"testing"

	"cressknot/internal/fleet"
)

// With more requests than a fleet can handle and no way to reject any, all of them would exceed their latency
// objective. The class of the lowest value per work must be restricted to a few servers, and the other classes must
// avoid these.
func TestSheddingSeparatesClasses(t *testing.T) {
	sim := newSimulatedFleet(12, 10, 5)
	sim.site.Admission = fleet.AdmissionUnlimited
	sim.site.Classes[1].ZoneLocal = false
	sim.site.Classes[2].LatencyObjective = fleet.Second / 2
	for _, proxy := range sim.proxies {
		proxy.demand *= 3
	}
	sim.startBalancer(fleet.ListCached)
	sim.run(20, 0)
	sharedWeight := 0.0
	lowPriorityWeight := 0.0
	for _, server := range sim.balancer.endpoints.all {
		shared := server.orderedWeight[0]
		lowPriority := server.orderedWeight[2]
		sharedWeight += shared
		lowPriorityWeight += lowPriority
		if shared > 0 && lowPriority > 0 {
			t.Errorf("server %d serves both groups of classes", server.Server)
		}
	}
	if sharedWeight == 0 || lowPriorityWeight == 0 || sim.violation != "" {
		t.Errorf("shared weight %.2f, low-priority weight %.2f; %s", sharedWeight, lowPriorityWeight, sim.violation)
	}
}

// newOverloadedBalancer returns a balancer with two classes of equal demand, which together cause twice the load that
// the fleet can handle.
func newOverloadedBalancer() *Balancer {
	b := newMeasuredBalancer([]float64{10, 10, 10}, []float64{0.5, 0.5, 0.5})
	b.classes = append(b.classes, requestClass{workPerRequest: 1, demand: 5})
	b.classes[0].workPerRequest = 1
	b.classes[0].demand = 5
	b.admission.classesByValue = []int{0, 1}
	b.estimates.medianCapacity = 20
	b.estimates.meanUtilization = 2
	b.now = simulationStart
	return b
}

// Guards against shedding load during a rolling restart, which drains many servers at once and replaces them:
// measurements lag behind while it lasts.
func TestSheddingIgnoresTransientLoad(t *testing.T) {
	for rounds := range 2 * sheddingDelayRounds {
		for _, recentlyAdded := range []float64{0, 1} {
			b := newOverloadedBalancer()
			b.estimates.recentlyAddedFraction = recentlyAdded
			for range rounds {
				b.now += fleet.Second
				b.updateShedding(2, 3)
			}
			active := b.shedding.activeUntil > 0
			if want := rounds >= sheddingDelayRounds && recentlyAdded == 0; active != want {
				t.Errorf("after %d rounds, %.0f recently added: active %v, want %v", rounds, recentlyAdded, active, want)
			}
			sufficientCapacity := 3*2/maxRestoredUtilization + epsilon
			b.updateShedding(2, sufficientCapacity)
			if b.shedding.activeUntil != 0 && rounds >= sheddingDelayRounds {
				t.Error("load is shed although enough servers were added")
			}
		}
	}
}

func TestRecentlyAddedProxiesCountForAWhile(t *testing.T) {
	b := newMeasuredBalancer([]float64{10}, []float64{0.5})
	for _, now := range []fleet.Time{fleet.Second, 2 * recentlyAddedDuration} {
		b.now = now
		b.updateFleet()
		added := b.estimates.recentlyAddedFraction > maxRecentlyAddedFraction
		if want := now < recentlyAddedDuration; added != want {
			t.Errorf("recently added fraction %.2f at %.0f s", b.estimates.recentlyAddedFraction, now.Seconds())
		}
	}
}
