package safety

import (
	"math"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// outcomeWindow is the age of the oldest reports that a measured capacity is made of: some 30 attempts at a low
	// rate.
	outcomeWindow = 10 * fleet.Second
	// fullTrustAge is the age up to which a measured capacity counts in full: two report intervals and their delay.
	fullTrustAge = 5 * fleet.Second
	// noTrustAge is the age from which only the rate counts that the server was seen to handle.
	noTrustAge = 60 * fleet.Second
	// minUtilization is the least utilization that says something about the capacity.
	minUtilization = 0.05
	// lowQuantile of the warm servers have less capacity than a warming server is assumed to reach.
	lowQuantile = 0.25
	// randomDeviations is how many standard deviations of the number of requests in an interval are allowed for.
	randomDeviations = 2.0
	// slackRequests may come on top in an interval: single requests weigh much for a small server.
	slackRequests = 2.0
	// anyKind means the servers of all kinds. No site has as many kinds.
	anyKind fleet.KindID = math.MaxUint8
)

// measure works out a server's capacity from its latest reports: the rate that it handled, divided by its
// utilization. It is at least the rate that was handled.
func (g *Checker) measure(now fleet.Time, server *server) {
	if g.isWarmingUp(now, server) {
		return // its capacity is not yet the full one
	}
	successes := map[fleet.ZoneID]float64{}
	seconds := map[fleet.ZoneID]float64{}
	utilization, reports := 0.0, 0.0
	for _, outcome := range server.outcomes {
		if outcome.at < now-outcomeWindow {
			continue
		}
		successes[outcome.zone] += outcome.successes
		seconds[outcome.zone] += outcome.interval.Seconds()
		if outcome.utilization >= 0 {
			utilization += outcome.utilization
			reports++
		}
	}
	handledRate := 0.0
	for zone, count := range successes { // the order of the sum changes its last bits only
		handledRate += count / max(epsilon, seconds[zone])
	}
	server.handledRate = handledRate
	server.capacity = handledRate
	server.measuredAt = now
	g.kindCapacitiesAt = -1
	if reports > 0 {
		server.capacity = max(handledRate, handledRate/max(minUtilization, utilization/reports))
	}
}

func (g *Checker) isWarmingUp(now fleet.Time, server *server) bool {
	return server.Started > 0 && now < server.Started+g.site.SlowStart.Duration
}

// trust returns how much a measured capacity counts at its age, 0 to 1.
func trust(age fleet.Time) float64 {
	return max(0, min(1, float64(noTrustAge-age)/float64(noTrustAge-fullTrustAge)))
}

// trustedCapacity returns the capacity that a warm server has for certain: the measured one while that is fresh,
// which falls with its age to the rate that was seen to be handled. Known is false if there was never a report. A
// clock that went back does not raise it.
func (s *server) trustedCapacity(now fleet.Time) (capacity float64, known bool) {
	age := max(0, now-s.measuredAt)
	return s.handledRate + (s.capacity-s.handledRate)*trust(age), s.measuredAt > 0
}

// fullCapacity returns the capacity that a warming server has for certain once it is warm: the low quartile of the
// warm servers of its kind, or of all kinds if its own is not known, or an even part of the usual rate if nothing
// is known.
func (g *Checker) fullCapacity(now fleet.Time, server *server) float64 {
	if g.kindCapacitiesAt != now {
		g.updateKindCapacities(now)
	}
	if capacity, known := g.kindCapacities[server.Kind]; known {
		return capacity
	}
	if capacity, known := g.kindCapacities[anyKind]; known {
		return capacity
	}
	usualRate := 0.0
	for _, proxy := range g.proxies {
		usualRate += proxy.usualRate
	}
	return usualRate / float64(max(1, g.readyServers))
}

func (g *Checker) updateKindCapacities(now fleet.Time) {
	g.kindCapacitiesAt = now
	g.kindCapacities = map[fleet.KindID]float64{}
	var all []float64
	byKind := map[fleet.KindID][]float64{}
	for _, server := range g.servers {
		capacity, known := server.trustedCapacity(now)
		if known && server.State == fleet.ServerReady && !g.isWarmingUp(now, server) {
			byKind[server.Kind] = append(byKind[server.Kind], capacity)
			all = append(all, capacity)
		}
	}
	if len(all) > 0 {
		g.kindCapacities[anyKind] = lowQuartile(all)
	}
	for kind, capacities := range byKind {
		g.kindCapacities[kind] = lowQuartile(capacities)
	}
}

func lowQuartile(values []float64) float64 {
	slices.Sort(values)
	return values[int(lowQuantile*float64(len(values)))]
}

// bearableRate returns the rate that a server bears: infinite for a warm one. For a warming one, the number of
// requests in any interval that matters, with random deviations, stays below the stated multiple of its present
// capacity.
func (g *Checker) bearableRate(now fleet.Time, id fleet.ServerID) float64 {
	return g.bearableRateOf(now, g.servers[id])
}

func (g *Checker) bearableRateOf(now fleet.Time, server *server) float64 {
	if server == nil || !g.isWarmingUp(now, server) {
		return math.Inf(1)
	}
	if server.bearableFrom == now && g.kindCapacitiesAt == now {
		return server.bearable
	}
	slowStart := &g.site.SlowStart
	warmedUp := max(0, min(1, (now-server.Started).Seconds()/max(epsilon, slowStart.Duration.Seconds())))
	fraction := slowStart.InitialFraction + (1-slowStart.InitialFraction)*warmedUp
	interval := max(epsilon, g.site.RecoveryRamp.Duration.Seconds())
	budget := g.site.OverloadFactor * fraction * g.fullCapacity(now, server) * interval
	server.bearable = rateWithinBudget(budget, interval)
	server.bearableFrom = now
	return server.bearable
}

// rateWithinBudget solves n + randomDeviations * sqrt(n) = budget + slackRequests for the number n of requests in
// an interval of some seconds, and returns n per second.
func rateWithinBudget(budget, seconds float64) float64 {
	root := math.Sqrt(randomDeviations*randomDeviations/4+budget+slackRequests) - randomDeviations/2
	return root * root / seconds
}
