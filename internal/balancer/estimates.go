package balancer

import (
	"cmp"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// longWindow is the window for single servers: five balance intervals, in which a server gets some 30 attempts, so
	// that the random error is about a fifth.
	longWindow = 10 * fleet.Second
	// shortWindow is the window for totals of the fleet: a cycle of load reports and their delay.
	shortWindow = 3 * fleet.Second
	// minWindowCycles is the minimum length of the long window in report cycles; that of the short one is half of it.
	minWindowCycles = 3
	// recentlyAddedDuration is how long a server or proxy counts as recently added.
	recentlyAddedDuration = longWindow
	// minMeanAttempts is the smallest number of successful attempts whose mean is used.
	minMeanAttempts = 8
	// priorAttempts is the weight, in attempts, of the median capacity of its kind in the estimate of a server's capacity.
	priorAttempts = 8
	// unknownUtilization marks a utilization that was not reported.
	unknownUtilization = -1
	// minMeaningfulUtilization is the utilization below which a measurement gives no estimate of the capacity.
	minMeaningfulUtilization = 0.05
	// maxTargetUtilization is the utilization above which random variation overloads some servers.
	maxTargetUtilization = 0.74
	// maxUtilizationRatio is the ratio of the target utilization of a server to the mean utilization of the fleet.
	maxUtilizationRatio = 1.1
	// lowCapacityQuantile is the quantile of the capacities that is assumed for a server of unknown capacity.
	lowCapacityQuantile = 0.25
	// foreignZoneCapacityFraction is the fraction of its capacity that is assumed to be available from a server in a zone
	// without joined proxies, as the proxies of other controllers use it.
	foreignZoneCapacityFraction = 0.1
)

// fleetEstimates holds the estimates of load and capacity of the fleet. Those of single servers are in serverState.
type fleetEstimates struct {
	utilizationField int        // index of the utilization in load reports; negative: not reported
	latestOutcomeAt  fleet.Time // when the latest outcome report was received
	reportCycle      fleet.Time // time until all reporters have reported once, as the rate of reports is limited
	// recentlyAddedFraction is the larger of the recently added fractions of the servers and of the requests, by proxy.
	recentlyAddedFraction float64
	targetUtilization     float64 // above which the weight of a server is cut
	meanUtilization       float64 // caused by the ordered tables
	medianCapacity        float64 // of servers past their slow start, in attempts per second; 0: unknown
	lowCapacity           float64 // lower quartile of the same
	failedFraction        float64 // of the attempts in the short window
}

// reportSample is a report of the attempts at a server, of the load of a server, or of the requests that a proxy
// received.
type reportSample struct {
	receivedAt  fleet.Time
	interval    fleet.Time // covered by the report
	latency     fleet.Time // mean of the successful attempts
	zone        fleet.ZoneID
	attempts    float64 // or requests, in a demand report
	successes   float64
	utilization float64 // negative: not reported
}

// windowStats sums up the samples of a server in a window.
type windowStats struct {
	attempts    float64
	successes   float64
	utilization float64    // mean; negative: not reported
	latency     fleet.Time // mean of the successful attempts
	successRate float64    // successful attempts per second
	capacity    float64    // successful attempts per second at full utilization; 0: unknown
}

func newFleetEstimates(site *fleet.Site) fleetEstimates {
	return fleetEstimates{
		utilizationField:  slices.Index(site.LoadFields, fleet.LoadFieldUtilization),
		targetUtilization: maxTargetUtilization,
	}
}

// utilizationIn returns the utilization in a load report, unknownUtilization if there is none.
func (e *fleetEstimates) utilizationIn(load []float32) float64 {
	if e.utilizationField < 0 || e.utilizationField >= len(load) {
		return unknownUtilization
	}
	return float64(load[e.utilizationField])
}

// Estimates returns the present estimates of the ready servers, ordered by ID.
func (b *Balancer) Estimates() []fleet.ServerEstimate {
	var estimates []fleet.ServerEstimate
	for _, server := range b.endpoints.ready {
		estimates = append(estimates, fleet.ServerEstimate{
			Server:         server.Server,
			State:          server.State,
			WarmingUp:      b.warmingUp(server),
			Withdrawn:      server.withdrawn,
			Attempts:       server.longWindow.attempts,
			Failures:       server.longWindow.attempts - server.longWindow.successes,
			Utilization:    server.longWindow.utilization,
			Latency:        server.longWindow.latency,
			Capacity:       server.capacity,
			RequestRate:    server.requestRate,
			HealthFactor:   server.healthFactor,
			TableFractions: b.tableFractions(server),
		})
	}
	return estimates
}

// tableFractions returns the server's fraction of the ordered weight of each table in use.
func (b *Balancer) tableFractions(server *serverState) []float64 {
	fractions := []float64{}
	for t := range b.tables {
		table := &b.tables[t]
		if table.proxyCount > 0 {
			fractions = append(fractions, server.orderedWeight[t]/max(table.orderedWeight, epsilon))
		}
	}
	return fractions
}

// updateRecentlyAdded computes which fraction of the fleet was added so recently that measurements lag behind.
func (b *Balancer) updateRecentlyAdded() {
	addedServers := 0.0
	for _, server := range b.endpoints.ready {
		if server.addedAt > 0 && b.now < server.addedAt+recentlyAddedDuration {
			addedServers++
		}
	}
	addedRate := 0.0
	for _, proxy := range b.proxies.all {
		if b.now < proxy.joinedAt+recentlyAddedDuration {
			addedRate += proxy.expectedRate
		}
	}
	serverCount := float64(len(b.endpoints.ready))
	b.estimates.recentlyAddedFraction = max(addedRate/b.proxies.expectedRate, addedServers/max(1, serverCount))
}

// updateReportCycle computes the time until all reporters have reported once: each proxy reports each class, and each
// zone with proxies reports each server.
func (b *Balancer) updateReportCycle() {
	reports := float64(len(b.proxies.all) * len(b.classes))
	for _, hasProxies := range b.proxies.zoneHasProxies {
		if hasProxies {
			reports += float64(len(b.endpoints.ready))
		}
	}
	cycle := fleet.Second.Scale(reports / max(1, b.site.ReportsPerSecond))
	b.estimates.reportCycle = max(b.site.ReportInterval, cycle)
}

// updateDemand computes the demand of each class and the admitted rate of each table. Proxies that have not reported
// yet are assumed to receive as much as the others, relative to their expected rates.
func (b *Balancer) updateDemand() {
	for c := range b.classes {
		class := &b.classes[c]
		for partition := range b.layout.partitionCount {
			b.tables[b.tableFor(c, partition)].classes |= classBit(c)
		}
		class.demand = 0
		for _, proxy := range b.proxies.all {
			rate := b.proxyRequestRate(proxy, c) * b.proxies.expectedRate / b.proxies.reportedExpectedRate
			class.demand += rate
			b.tables[b.tableFor(c, proxy.partition)].admittedRate += rate * class.admittedFraction
		}
	}
}

// proxyRequestRate returns the requests per second of a class that a proxy receives. Proxies report only intervals with
// requests, so the time since the last report is included. Without it the rate of a proxy with few requests would be
// half too high.
func (b *Balancer) proxyRequestRate(proxy *proxyState, class int) float64 {
	samples := proxy.demandSamples[class]
	if len(samples) == 0 {
		return 0
	}
	last := samples[len(samples)-1]
	interval := max(0, b.estimates.latestOutcomeAt-last.receivedAt-b.estimates.reportCycle)
	requests := 0.0
	for i := range samples {
		requests += samples[i].attempts
		interval += samples[i].interval
	}
	return perSecond(requests, interval)
}

// updateEstimates computes the load and capacity of each ready server and of the fleet.
func (b *Balancer) updateEstimates() {
	b.updateWindows()
	b.updateFailedFraction()
	b.updateCapacities()
	b.updateUtilization()
}

// updateWindows sums up the reports of each ready server. The windows end at the latest report, so that a gap in the
// reports leaves the estimates unchanged.
func (b *Balancer) updateWindows() {
	latest := b.estimates.latestOutcomeAt
	minWindow := minWindowCycles * b.estimates.reportCycle
	longStart := latest - max(longWindow, minWindow)
	shortStart := latest - max(shortWindow, minWindow/2)
	for _, server := range b.endpoints.ready {
		server.requestRate = 0
		for t := range b.tables {
			server.requestRate += b.orderedRate(server, t)
		}
		server.longWindow = server.summarize(longStart, len(b.site.Zones))
		server.shortWindow = server.summarize(shortStart, len(b.site.Zones))
		if server.longWindow.successes >= minMeanAttempts {
			latency := server.longWindow.latency
			server.bestLatency = min(cmp.Or(server.bestLatency, latency), latency)
		}
	}
}

func (b *Balancer) updateFailedFraction() {
	attempts := 0.0
	successes := 0.0
	for _, server := range b.endpoints.ready {
		attempts += server.shortWindow.attempts
		successes += server.shortWindow.successes
	}
	b.estimates.failedFraction = (attempts - successes) / max(1, attempts)
}

// updateCapacities estimates the capacity of each ready server. The fewer attempts a server had, the larger is the
// influence of the median of its kind.
func (b *Balancer) updateCapacities() {
	var measured []float64
	measuredByKind := map[fleet.KindID][]float64{}
	for _, server := range b.endpoints.ready {
		if !b.isCapacityMeasured(server) {
			continue
		}
		capacity := server.longWindow.capacity
		measured = append(measured, capacity)
		measuredByKind[server.Kind] = append(measuredByKind[server.Kind], capacity)
	}
	b.estimates.medianCapacity = cmp.Or(median(measured), b.estimates.medianCapacity)
	b.estimates.lowCapacity = cmp.Or(quantile(measured, lowCapacityQuantile), b.estimates.lowCapacity)
	for _, server := range b.endpoints.ready {
		prior := cmp.Or(median(measuredByKind[server.Kind]), b.estimates.medianCapacity)
		server.capacity = b.estimateCapacity(server, prior)
	}
}

// isCapacityMeasured reports whether the measured capacity of a server may enter the medians: it has had enough
// attempts under ordinary load.
func (b *Balancer) isCapacityMeasured(server *serverState) bool {
	if server.longWindow.successes < minMeanAttempts || server.lowPriorityOnly || b.warmingUp(server) {
		return false
	}
	return !b.isUsedByOtherControllers(server)
}

// isUsedByOtherControllers reports whether a server is in a zone without joined proxies, so that it mainly serves the
// proxies of other controllers.
func (b *Balancer) isUsedByOtherControllers(server *serverState) bool {
	return b.layout.partitioned && !b.proxies.zoneHasProxies[b.layout.zoneOf(server.partition)]
}

// estimateCapacity returns the mean of a server's measured capacity and the prior, weighted by attempts.
func (b *Balancer) estimateCapacity(server *serverState, prior float64) float64 {
	if b.isUsedByOtherControllers(server) {
		prior *= foreignZoneCapacityFraction
	}
	window := &server.longWindow
	if window.capacity > 0 {
		return (window.successes + priorAttempts) / (window.successes/window.capacity + priorAttempts/prior)
	}
	return prior
}

// updateUtilization computes the mean utilization that the ordered tables cause, and the target utilization.
func (b *Balancer) updateUtilization() {
	requestRate := 0.0
	capacity := 0.0
	for _, server := range b.endpoints.ready {
		if b.servesAllClasses(server) {
			requestRate += server.requestRate
			capacity += server.capacity * server.healthFactor
		}
	}
	mean := requestRate / max(epsilon, capacity)
	b.estimates.meanUtilization = mean
	b.estimates.targetUtilization = max(mean, min(maxTargetUtilization, maxUtilizationRatio*mean))
}

// zoneSuccesses is the number of successful attempts from one zone and the total interval of their reports.
type zoneSuccesses struct {
	count    float64
	interval fleet.Time
}

// summarize sums up the samples since a time. Rates are relative to the intervals in the reports, not to the times of
// their receipt, as reports arrive late.
func (s *serverState) summarize(since fleet.Time, zoneCount int) windowStats {
	stats := windowStats{utilization: unknownUtilization}
	latencySum := 0.0
	utilizationSum := 0.0
	utilizationCount := 0.0
	byZone := make([]zoneSuccesses, zoneCount)
	for i := range s.samples {
		sample := &s.samples[i]
		if sample.receivedAt < since {
			continue
		}
		byZone[sample.zone].count += sample.successes
		byZone[sample.zone].interval += sample.interval
		stats.attempts += sample.attempts
		stats.successes += sample.successes
		latencySum += sample.successes * sample.latency.Seconds()
		if sample.utilization >= 0 {
			utilizationSum += sample.utilization
			utilizationCount++
		}
	}
	for _, zone := range byZone {
		stats.successRate += perSecond(zone.count, zone.interval)
	}
	if utilizationCount > 0 {
		stats.utilization = max(minMeaningfulUtilization, utilizationSum/utilizationCount)
	}
	if stats.successes > 0 {
		stats.latency = fleet.Second.Scale(latencySum / stats.successes)
		stats.capacity = max(0, stats.successRate/stats.utilization)
	}
	return stats
}

// perSecond returns the rate of a count over an interval.
func perSecond(count float64, interval fleet.Time) float64 {
	return count / max(interval.Seconds(), epsilon)
}

// median sorts values and returns their upper median, 0 if there are none.
func median(values []float64) float64 { return quantile(values, 0.5) }

// quantile sorts values and returns the value that a fraction, less than 1, of them is below; 0 if there are none.
func quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(float64(len(values))*fraction)]
}
