package balancer

import (
	"slices"

	"cressknot/internal/fleet"
)

// requestClass is what differs by class. Classes of a group share tables, one a zone: 0 is for all whose lines
// are alike, 1 for the squeezed, which go to the refuge only; a class that stays in its zone has its own.
type requestClass struct {
	valuePerWork, workPerRequest float64 // value for its work; expected time stands for work
	tableGroup                   int
	demand, admittedFraction     float64            // visits a second that come; part of them to let in
	sentAdmission                fleet.SetAdmission // as ordered
}

// updateAdmission lets in what the fleet can handle on time, least value cut first; strained, it gets no further tries.
func (g *Balancer) updateAdmission() {
	handled, busy, carry, coming, demand := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, s := range g.endpoints.ready {
		if can := min(1, s.healthFactor+quarter) * g.warmFraction(s); s.healthFactor > 0 && (s.requestRate > negligible || g.schedule.observing) {
			carry += can
		} else if s.healthFactor > 0 { // fresh, in no table yet
			coming += can
		}
		if g.takesAllClasses(s) && s.shortWindow.utilization >= 0 {
			part := 1.0
			if s.shortWindow.utilization < overloadedUtilization && g.site.Admission != fleet.AdmissionUnlimited { // fails while idle: no want of it
				part = s.shortWindow.attempts / max(1, s.shortWindow.successes)
			}
			handled, busy = handled+s.shortWindow.successRate*part, busy+s.shortWindow.utilization
		}
	}
	for _, c := range g.classes {
		demand += c.demand
	}
	if busy == 0 || handled == 0 || demand < negligible {
		return
	}
	load := demand / (handled / busy * carry) // busy share that would let all in
	g.shedLoad(load*carry/(carry+coming), carry+coming)
	over := demand * max(0, 1-maxTargetUtilization/load)
	if g.admission.retry = fleet.RetryNever; over == 0 {
		g.admission.retry = fleet.RetryIfNotExecuted
	}
	for _, id := range g.admission.classesByValue {
		c := &g.classes[id]
		cut := min(over, c.demand*(1-tenth))
		if over -= cut; g.site.Admission != fleet.AdmissionUnlimited {
			c.admittedFraction = min(1-cut/max(c.demand, negligible), c.admittedFraction+tenth)
		}
	}
}

func (g *Balancer) admissionLimit(class int) float64 { // its level: a share, or a rate at each proxy
	c, rates := g.classes[class], []float64{}
	if g.site.Admission == fleet.AdmissionFraction && c.admittedFraction < 1 {
		return c.admittedFraction
	}
	if c.admittedFraction >= 1 {
		return huge
	}
	for _, p := range g.proxies.all {
		rates = append(rates, g.requestRate(p, class))
	}
	slices.Sort(rates)
	left := c.admittedFraction * c.demand
	for i, r := range rates {
		if each := left / float64(len(rates)-i); r >= each {
			return each
		}
		left -= r
	}
	return huge
}
