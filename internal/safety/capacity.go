package safety

import (
	"math"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// outcomeWindow is the maximum age of the reports in a capacity measurement. At a low request rate it holds some
	// 30 attempts.
	outcomeWindow = 10 * fleet.Second
	// fullConfidenceAge is the age up to which a measured capacity counts in full: two report intervals plus their
	// delay.
	fullConfidenceAge = 5 * fleet.Second
	// zeroConfidenceAge is the age from which a measured capacity is no longer extrapolated: only the rate that the
	// server handled at the measurement counts.
	zeroConfidenceAge = 60 * fleet.Second
	// minUtilization is the lower bound of the utilization by which a rate is divided: a lower utilization says little
	// about the capacity.
	minUtilization = 0.05
	// lowQuantile is the quantile of the warm servers' capacities that a warming server is assumed to reach.
	lowQuantile = 0.25
	// allowedDeviations is the number of standard deviations by which the request count of an interval may exceed its
	// mean.
	allowedDeviations = 2.0
	// slackRequests is added to the budget of an interval, because for a small server a single request is a large part
	// of the budget.
	slackRequests = 2.0
	// anyKind is the key for servers of all kinds together. No site has so many kinds that it is a real one.
	anyKind fleet.KindID = math.MaxUint8
)

// measure updates a server's capacity from its latest reports: the rate that it handled divided by its mean
// utilization, and at least the rate that it handled. Warming servers are skipped.
func (c *Checker) measure(now fleet.Time, server *server) {
	if c.isWarmingUp(now, server) {
		return // it has not reached its full capacity yet
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
	for zone, count := range successes { // the iteration order only affects rounding
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

// confidence returns the weight, 0 to 1, of a capacity measurement of the given age.
func confidence(age fleet.Time) float64 {
	return max(0, min(1, float64(zeroConfidenceAge-age)/float64(zeroConfidenceAge-fullConfidenceAge)))
}

// effectiveCapacity returns the capacity to assume for a warm server in requests per second: the measured one while
// the measurement is fresh, falling with its age to the rate that the server handled. Known is false if there was
// never a report. A clock that is set back does not raise the result.
func (s *server) effectiveCapacity(now fleet.Time) (capacity float64, known bool) {
	age := max(0, now-s.measuredAt)
	return s.handledRate + (s.capacity-s.handledRate)*confidence(age), s.measuredAt > 0
}

// fullCapacity returns the capacity to assume for a warming server after its slow start: the lower quartile of the
// warm servers of its kind, or of all kinds if none of its own kind was measured. Without any measurement it is the
// usual request rate divided evenly among the ready servers.
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

// rateLimit returns the maximum rate in requests per second that may be sent to a server. It is infinite for a warm
// one. For a warming one, the requests in an interval of RecoveryRamp.Duration, including random deviations, stay
// within OverloadFactor times the capacity that the server has reached.
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

// rateWithinBudget solves n + allowedDeviations * sqrt(n) = budget + slackRequests for the mean number n of requests
// in an interval of the given seconds, and returns n per second.
func rateWithinBudget(budget, seconds float64) float64 {
	root := math.Sqrt(allowedDeviations*allowedDeviations/4+budget+slackRequests) - allowedDeviations/2
	return root * root / seconds
}
