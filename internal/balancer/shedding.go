package balancer

import (
	"fmt"
	"math"
	"slices"

	"cressknot/internal/fleet"
)

// shedLoad, where all is let in, gives the classes of least value a few servers to share, as a last resort.
func (g *Balancer) shedLoad(load, carry float64) {
	if g.site.Admission != fleet.AdmissionUnlimited {
		return
	}
	if g.now < g.shedding.activeUntil { // the others' lighter mix tells too little of the load to end it; new servers do
		if load = g.shedding.load / carry; load > overloadedUtilization {
			return
		}
		g.shedding.activeUntil = 0
	}
	// What was handled lags behind where servers go, and tells nothing where many servers or proxies just came.
	n, work, need, refuge := float64(len(g.endpoints.ready)), 0.0, 0.0, 0
	if g.shedding.overloadedRounds++; g.schedule.observing || g.estimates.recentlyAddedFraction > quarter || min(load, g.estimates.meanUtilization) < sheddingUtilization {
		g.shedding.overloadedRounds = 0
	}
	fits := g.shedding.overloadedRounds >= sheddingDelayRounds || load > overloadedUtilization && g.now < g.shedding.activeUntil+balanceInterval
	for _, c := range g.classes {
		work += c.demand * c.workPerRequest
	}
	for i, id := range slices.Backward(g.admission.classesByValue) {
		c := &g.classes[id]
		part := c.demand * c.workPerRequest / work * load / maxTargetUtilization
		if fits = fits && i > 0 && (need == 0 || need+part < 1-tenth); fits {
			need = min(need+part, 1-tenth)
		}
		if c.tableGroup < 2 && !fits && need > 0 {
			c.tableGroup, refuge, g.shedding.activeUntil = 1, int(n-math.Ceil(need*n)), g.now+maxEjectionDuration
			g.shedding.load = load * carry
			g.orders = append(g.orders, fleet.LogMessage{Text: fmt.Sprintf(
				"class %d is squeezed: load %.2f of %.1f servers' worth, %.2f by tables; %d take it",
				id, load, carry, g.estimates.meanUtilization, refuge)})
		} else if c.tableGroup < 2 {
			c.tableGroup = 0
		}
	}
	for _, s := range g.endpoints.ready {
		if s.lowPriorityOnly = refuge > 0 && !g.warmingUp(s); s.lowPriorityOnly {
			refuge--
		}
	}
}
