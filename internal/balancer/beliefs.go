package balancer

import "cressknot/internal/fleet"

// Estimates tells what the governor makes of each server that is ready.
func (g *Balancer) Estimates() (told []fleet.ServerEstimate) {
	for _, s := range g.ready {
		shares := []float64{}
		for t, b := range g.tables {
			if b.users > 0 {
				shares = append(shares, s.out[t]/max(b.total, none))
			}
		}
		told = append(told, fleet.ServerEstimate{Server: s.Server, State: s.State, WarmingUp: g.cold(s), Withdrawn: s.withdrawn,
			Attempts: s.long.tries, Failures: s.long.tries - s.long.good, Utilization: s.long.busy, Latency: s.long.latency,
			Capacity: s.capacity, RequestRate: s.rate, HealthFactor: s.held, Fractions: shares})
	}
	return told
}
