package balancer

import (
	"fmt"

	"cressknot/internal/fleet"
)

// updateHealth sets what health leaves each server of its weight. None is blamed for what the fleet does; who fails
// a part of its tries still helps, and is cut off only if the others can carry it.
func (g *Balancer) updateHealth() {
	zeroed, carry := 0.0, 0.0
	for _, s := range g.endpoints.ready {
		if carry += s.capacity * s.healthFactor; s.healthFactor == 0 {
			zeroed++
		}
	}
	// Reports take turns: only a server passed over several times, while others were heard, is silent.
	most, missed, asked := max(quarter, 2*g.estimates.failedFraction), few*g.estimates.reportCycle, g.estimates.meanUtilization*carry
	for _, s := range g.endpoints.ready {
		unheard, failed, had := g.estimates.latestOutcomeAt-s.lastSuccessAt, s.longWindow.attempts-s.longWindow.successes, s.capacity*s.healthFactor
		silent := unheard > missed && s.requestRate*unheard.Seconds() > enough
		sick := failed >= max(few, s.longWindow.attempts*most) &&
			(s.shortWindow.successes < third*s.shortWindow.attempts || asked < maxTargetUtilization*(carry-had))
		late := s.bestLatency > 0 && s.longWindow.latency > s.bestLatency.Scale(maxLatencyFactor/max(minMeaningfulUtilization, min(1, 1-s.longWindow.utilization)))
		switch {
		case s.healthFactor > 0 && s.longWindow.utilization < overloadedUtilization && (silent || sick):
			s.ejectionDuration = min(maxEjectionDuration, max(balanceInterval, 2*s.ejectionDuration))
			s.healthFactor, s.ejectedUntil, carry = quarter, g.now+s.ejectionDuration, carry-had
			if zeroed+1 <= float64(len(g.endpoints.ready))*third {
				s.healthFactor, zeroed = 0, zeroed+1
			}
			g.orders = append(g.orders, fleet.LogMessage{Text: fmt.Sprintf(
				"server %d cut off for %.0f s: silent %v, %.0f of %.0f tries failed",
				s.Server, s.ejectionDuration.Seconds(), silent, failed, s.longWindow.attempts)})
			s.samples = s.samples[:0]
		case s.healthFactor == 0 && g.now >= s.ejectedUntil:
			s.healthFactor, s.lastSuccessAt = quarter, g.now+balanceInterval
		case s.healthFactor == 0:
		case late:
			if !s.reducedForLatency && s.requestRate < s.capacity*g.estimates.targetUtilization {
				s.healthFactor, s.reducedForLatency = max(quarter, s.healthFactor/2), true
			}
		default:
			if s.healthFactor, s.reducedForLatency = min(1, s.healthFactor+quarter), false; s.healthFactor == 1 {
				s.ejectionDuration = 0
			}
		}
	}
}
