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
	// fullConfidenceAge is the age up to which a measured capacity counts in full: two report intervals and their delay.
	fullConfidenceAge = 5 * fleet.Second
	// zeroConfidenceAge is the age from which only the rate counts that the server was seen to handle.
	zeroConfidenceAge = 60 * fleet.Second
	// minUtilization is the least utilization that says something about the capacity.
	minUtilization = 0.05
	// lowQuantile of the warm servers have less capacity than a warming server is assumed to reach.
	lowQuantile = 0.25
	// allowedDeviations is how many standard deviations of the number of requests in an interval are allowed for.
	allowedDeviations = 2.0
	// slackRequests may come on top in an interval: single requests weigh much for a small server.
	slackRequests = 2.0
	// anyKind means the servers of all kinds. No site has as many kinds.
	anyKind fleet.KindID = math.MaxUint8
)

// measure works out a server's capacity from its latest reports: the rate that it handled, divided by its
// utilization. It is at least the rate that was handled.
func (c *Checker) measure(now fleet.Time, server *server) {
	if c.isWarmingUp(now, server) {
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
	c.kindCapacitiesAt = -1
	if reports > 0 {
		server.capacity = max(handledRate, handledRate/max(minUtilization, utilization/reports))
	}
}

func (c *Checker) isWarmingUp(now fleet.Time, server *server) bool {
	return server.Started > 0 && now < server.Started+c.site.SlowStart.Duration
}

// trust returns how much a measured capacity counts at its age, 0 to 1.
func confidence(age fleet.Time) float64 {
	return max(0, min(1, float64(zeroConfidenceAge-age)/float64(zeroConfidenceAge-fullConfidenceAge)))
}

// effectiveCapacity returns the capacity that a warm server has for certain: the measured one while that is fresh,
// which falls with its age to the rate that was seen to be handled. Known is false if there was never a report. A
// clock that went back does not raise it.
func (s *server) effectiveCapacity(now fleet.Time) (capacity float64, known bool) {
	age := max(0, now-s.measuredAt)
	return s.handledRate + (s.capacity-s.handledRate)*confidence(age), s.measuredAt > 0
}

// fullCapacity returns the capacity that a warming server has for certain once it is warm: the low quartile of the
// warm servers of its kind, or of all kinds if its own is not known, or an even part of the usual rate if nothing
// is known.
func (c *Checker) fullCapacity(now fleet.Time, server *server) float64 {
	if c.kindCapacitiesAt != now {
		c.updateKindCapacities(now)
	}
	if capacity, known := c.kindCapacities[server.Kind]; known {
		return capacity
	}
	if capacity, known := c.kindCapacities[anyKind]; known {
		return capacity
	}
	usualRate := 0.0
	for _, proxy := range c.proxies {
		usualRate += proxy.usualRate
	}
	return usualRate / float64(max(1, c.readyServers))
}

func (c *Checker) updateKindCapacities(now fleet.Time) {
	c.kindCapacitiesAt = now
	c.kindCapacities = map[fleet.KindID]float64{}
	var all []float64
	byKind := map[fleet.KindID][]float64{}
	for _, server := range c.servers {
		capacity, known := server.effectiveCapacity(now)
		if known && server.State == fleet.ServerReady && !c.isWarmingUp(now, server) {
			byKind[server.Kind] = append(byKind[server.Kind], capacity)
			all = append(all, capacity)
		}
	}
	if len(all) > 0 {
		c.kindCapacities[anyKind] = lowQuartile(all)
	}
	for kind, capacities := range byKind {
		c.kindCapacities[kind] = lowQuartile(capacities)
	}
}

func lowQuartile(values []float64) float64 {
	slices.Sort(values)
	return values[int(lowQuantile*float64(len(values)))]
}

// rateLimit returns the rate that a server bears: infinite for a warm one. For a warming one, the number of
// requests in any interval that matters, with random deviations, stays below the stated multiple of its present
// capacity.
func (c *Checker) rateLimit(now fleet.Time, id fleet.ServerID) float64 {
	return c.rateLimitOf(now, c.servers[id])
}

func (c *Checker) rateLimitOf(now fleet.Time, server *server) float64 {
	if server == nil || !c.isWarmingUp(now, server) {
		return math.Inf(1)
	}
	if server.limitAt == now && c.kindCapacitiesAt == now {
		return server.limit
	}
	slowStart := &c.site.SlowStart
	warmedUp := max(0, min(1, (now-server.Started).Seconds()/max(epsilon, slowStart.Duration.Seconds())))
	fraction := slowStart.InitialFraction + (1-slowStart.InitialFraction)*warmedUp
	interval := max(epsilon, c.site.RecoveryRamp.Duration.Seconds())
	budget := c.site.OverloadFactor * fraction * c.fullCapacity(now, server) * interval
	server.limit = rateWithinBudget(budget, interval)
	server.limitAt = now
	return server.limit
}

// rateWithinBudget solves n + allowedDeviations * sqrt(n) = budget + slackRequests for the number n of requests in
// an interval of some seconds, and returns n per second.
func rateWithinBudget(budget, seconds float64) float64 {
	root := math.Sqrt(allowedDeviations*allowedDeviations/4+budget+slackRequests) - allowedDeviations/2
	return root * root / seconds
}
