package balancer

import "cressknot/internal/fleet"

// Beliefs tells what the governor makes of each server that is ready.
func (g *Governor) Beliefs() (told []fleet.Belief) {
	for _, s := range g.ready {
		shares := []float64{}
		for t, b := range g.tables {
			if b.users > 0 {
				shares = append(shares, s.out[t]/max(b.total, none))
			}
		}
		told = append(told, fleet.Belief{Server: s.Server, State: s.State, Cold: g.cold(s), Withdrawn: s.withdrawn,
			Tries: s.long.tries, Failed: s.long.tries - s.long.good, Busy: s.long.busy, Latency: s.long.latency,
			Capacity: s.capacity, Rate: s.rate, Held: s.held, Shares: shares})
	}
	return told
}
