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
	if g.now < g.sheddingUntil { // the others' lighter mix tells too little of the load to end it; new servers do
		if load = g.sheddingLoad / carry; load > overloadedUtilization {
			return
		}
		g.sheddingUntil = 0
	}
	// What was handled lags behind where servers go, and tells nothing where many servers or proxies just came.
	n, work, need, refuge := float64(len(g.ready)), 0.0, 0.0, 0
	if g.overloadedRounds++; g.observing || g.recentlyAddedFraction > quarter || min(load, g.meanUtilization) < sheddingUtilization {
		g.overloadedRounds = 0
	}
	fits := g.overloadedRounds >= sheddingDelayRounds || load > overloadedUtilization && g.now < g.sheddingUntil+balanceInterval
	for _, c := range g.classes {
		work += c.demand * c.workPerRequest
	}
	for i, id := range slices.Backward(g.classesByValue) {
		c := &g.classes[id]
		part := c.demand * c.workPerRequest / work * load / maxTargetUtilization
		if fits = fits && i > 0 && (need == 0 || need+part < 1-tenth); fits {
			need = min(need+part, 1-tenth)
		}
		if c.tableGroup < 2 && !fits && need > 0 {
			c.tableGroup, refuge, g.sheddingUntil = 1, int(n-math.Ceil(need*n)), g.now+maxEjectionDuration
			g.sheddingLoad = load * carry
			g.orders = append(g.orders, fleet.LogMessage{Text: fmt.Sprintf(
				"class %d is squeezed: load %.2f of %.1f servers' worth, %.2f by tables; %d take it",
				id, load, carry, g.meanUtilization, refuge)})
		} else if c.tableGroup < 2 {
			c.tableGroup = 0
		}
	}
	for _, s := range g.ready {
		if s.lowPriorityOnly = refuge > 0 && !g.warmingUp(s); s.lowPriorityOnly {
			refuge--
		}
	}
}
