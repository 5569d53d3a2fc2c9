package balancer

import (
	"math"
	"testing"

	"cressknot/internal/fleet"
)

// The expected weights are calculated by hand. 30 requests per second are sent to three equal entries. The measured
// capacities are 11.11, 22.22 and 22.22; with the prior, eight attempts at the median, the first is
// 28/(1.8+0.36) = 12.96, so the target utilization is 1.1*30/57.41 = 0.5748. The first server gets 10 requests per
// second, its target is 7.45: the excess is 0.2548 of its load, at a residence factor of 1.1. Its weight falls to
// 1-0.2803, and 5.606 attempts are spread, 2.803 to each other server, whose weights rise to 1+2.803/21.
func TestBalanceWeightsCutsSpreadsAndNormalizes(t *testing.T) {
	b := newMeasuredBalancer([]float64{10, 10, 10}, []float64{0.9, 0.45, 0.45})
	b.estimates.latestOutcomeAt = 1
	b.Step(2*fleet.Second, nil)
	for i, want := range []float64{0.7197 / (1 + 2.803/21), 1, 1} {
		if got := b.endpoints.all[i].orderedWeight[0]; math.Abs(got-want) > 1e-3 {
			t.Errorf("server %d has weight %.4f, want %.4f", i+1, got, want)
		}
	}
}

func TestWeightsSettleInQuietFleet(t *testing.T) {
	sim := newSimulatedFleet(3, 10, 5)
	sim.run(20, 0)
	before := sim.weightOrders
	sim.run(10, 0)
	if sim.violation != "" || sim.weightOrders > before+60 {
		t.Errorf("%d weights ordered in 10 quiet seconds; %s", sim.weightOrders-before, sim.violation)
	}
}
