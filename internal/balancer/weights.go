package balancer

import (
	"math"
)

// balanceWeights is the design's ordinary path: cut by saturation overload, spread the cut evenly and normalise.
func (g *Balancer) balanceWeights() {
	density, agreed := make([]float64, len(g.endpoints.ready)), make([]float64, len(g.endpoints.ready))
	stay := func(s *serverState) float64 { return 1 + s.longWindow.latency.Seconds()/balanceInterval.Seconds() }
	for i, s := range g.endpoints.ready {
		if s.healthFactor > 0 && !s.lowPriorityOnly {
			density[i], agreed[i] = s.requestRate*stay(s), s.capacity*g.estimates.targetUtilization*stay(s)
		}
	}
	for t, b := range g.tables {
		begun := func(s *serverState) float64 {
			return b.admittedRate * s.orderedWeight[t] / max(b.orderedWeight, negligible) * balanceInterval.Seconds()
		}
		room := func(i int) float64 { // tries that a server at full weight can take up to saturation 1
			if s := g.endpoints.ready[i]; g.mayServe(s, t) && s.healthFactor == 1 && !g.warmingUp(s) && density[i] < agreed[i] {
				return (agreed[i] - density[i]) / stay(s) * balanceInterval.Seconds()
			}
			return 0
		}
		cut, most := 0.0, negligible
		for i, s := range g.endpoints.ready {
			if g.mayServe(s, t) && density[i] > agreed[i] {
				part := min(1, (density[i]-agreed[i])/density[i]*stay(s)) // Δ over tries begun
				s.weight[t] *= 1 - part
				cut += part * begun(s)
			}
		}
		for range 3 { // receivers fill up, so what is left is spread again
			part := 0.0
			for i := range g.endpoints.ready {
				part += math.Ceil(min(1, room(i)))
			}
			part = cut / max(1, part)
			for i, s := range g.endpoints.ready {
				share := min(part, room(i))
				s.weight[t] *= 1 + share/(begun(s)+1)
				density[i] += share * stay(s) / balanceInterval.Seconds()
				cut -= share
			}
		}
		for _, s := range g.endpoints.ready {
			if g.mayServe(s, t) && s.healthFactor == 1 && !g.warmingUp(s) {
				most = max(most, s.weight[t])
			}
		}
		for _, s := range g.endpoints.ready {
			s.weight[t] = min(1, max(minWeight, s.weight[t]/most))
		}
	}
}
