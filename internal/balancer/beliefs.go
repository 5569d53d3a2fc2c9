package balancer

import "cressknot/internal/fleet"

// Estimates tells what the governor makes of each server that is ready.
func (g *Balancer) Estimates() (told []fleet.ServerEstimate) {
	for _, s := range g.ready {
		shares := []float64{}
		for t, b := range g.tables {
			if b.proxyCount > 0 {
				shares = append(shares, s.orderedWeight[t]/max(b.orderedWeight, negligible))
			}
		}
		told = append(told, fleet.ServerEstimate{Server: s.Server, State: s.State, WarmingUp: g.warmingUp(s), Withdrawn: s.withdrawn,
			Attempts: s.longWindow.attempts, Failures: s.longWindow.attempts - s.longWindow.successes, Utilization: s.longWindow.utilization, Latency: s.longWindow.latency,
			Capacity: s.capacity, RequestRate: s.requestRate, HealthFactor: s.healthFactor, Fractions: shares})
	}
	return told
}
