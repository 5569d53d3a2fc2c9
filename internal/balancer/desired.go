package balancer

import (
	"cmp"
	"math"
)

// updateWantedWeights works out the lines that should be out. Nobody goes bare: with no warm server left, all share.
func (g *Balancer) updateWantedWeights() {
	for t := range g.tables {
		b := &g.tables[t]
		for pass := 0; pass < 2 && b.wantedWarmWeight == 0; pass++ {
			b.wantedWeight = 0
			for _, s := range g.endpoints.all {
				right := pass == 1 || b.group > 1 || s.lowPriorityOnly == (b.group == 1)
				if s.wantedWeight[t] = 0; (b.proxyCount > 0 || b.classes != 0) && right && g.mayServe(s, t) {
					s.wantedWeight[t] = s.weight[t] * max(s.healthFactor, quarter*float64(pass))
				}
				if b.wantedWeight += s.wantedWeight[t]; !g.warmingUp(s) {
					b.wantedWarmWeight += s.wantedWeight[t]
				}
			}
		}
	}
	// Where most tries fail proxies crowd on the few that answer: a cold server must be out of the tables then.
	crowd := max(0, 1-math.Pow(g.estimates.failedFraction, cmp.Or(float64(g.site.ProxyOutlierFailures), huge))/tenth)
	for _, s := range g.endpoints.ready {
		if !g.warmingUp(s) || g.estimates.medianCapacity == 0 {
			continue
		}
		can, load := g.warmFraction(s)*g.estimates.lowCapacity*crowd, negligible
		for t, b := range g.tables {
			load += b.admittedRate * s.wantedWeight[t] / max(b.wantedWeight, negligible)
		}
		for t, b := range g.tables {
			if b.wantedWarmWeight > 0 {
				s.wantedWeight[t] = min(s.wantedWeight[t], s.wantedWeight[t]/b.wantedWeight*warmingLoadFraction*can/load*b.wantedWarmWeight)
			} else if load > can*g.site.RecoveryRamp.OverloadFactor*room {
				s.wantedWeight[t] = 0
			}
		}
	}
}
