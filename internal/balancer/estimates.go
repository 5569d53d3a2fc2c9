package balancer

import (
	"cmp"
	"slices"

	"cressknot/internal/fleet"
)

type reportSample struct { // one report: of what ended at a server, of its load, or of what came to a proxy
	receivedAt, interval, latency    fleet.Time
	zone                             fleet.ZoneID
	attempts, successes, utilization float64 // busy negative: not told
}

type windowStats struct {
	attempts, successes, utilization float64 // busy: mean, negative: not told
	latency                          fleet.Time
	successRate, capacity            float64 // good tries a second; the same at a busy share of 1, 0: not known
}

// updateEstimates works out the figures; the fewer tries a server had, the more it counts as average of its kind.
func (g *Balancer) updateEstimates() {
	load, capacity, tries, good := 0.0, 0.0, 0.0, 0.0
	kinds, warm := map[fleet.KindID][]float64{}, []float64{}
	for _, s := range g.endpoints.ready {
		s.requestRate = 0
		for t, b := range g.tables {
			s.requestRate += b.admittedRate * s.orderedWeight[t] / max(b.orderedWeight, negligible)
		}
		s.longWindow = s.summarize(g.estimates.latestOutcomeAt-max(longWindow, few*g.estimates.reportCycle), len(g.site.Zones))
		s.shortWindow = s.summarize(g.estimates.latestOutcomeAt-max(shortWindow, few*g.estimates.reportCycle/2), len(g.site.Zones))
		tries, good = tries+s.shortWindow.attempts, good+s.shortWindow.successes
		if s.longWindow.successes < enough {
			continue
		}
		s.bestLatency = min(cmp.Or(s.bestLatency, s.longWindow.latency), s.longWindow.latency)
		if !s.lowPriorityOnly && !g.warmingUp(s) && (!g.layout.partitioned || g.proxies.zoneHasProxies[s.partition/g.layout.partitionsPerZone]) {
			warm, kinds[s.Kind] = append(warm, s.longWindow.capacity), append(kinds[s.Kind], s.longWindow.capacity)
		}
	}
	g.estimates.medianCapacity, g.estimates.lowCapacity = cmp.Or(quantile(warm, 0.5), g.estimates.medianCapacity), cmp.Or(quantile(warm, quarter), g.estimates.lowCapacity)
	g.estimates.failedFraction = (tries - good) / max(1, tries)
	for _, s := range g.endpoints.ready {
		if s.capacity = cmp.Or(quantile(kinds[s.Kind], 0.5), g.estimates.medianCapacity); g.layout.partitioned && !g.proxies.zoneHasProxies[s.partition/g.layout.partitionsPerZone] {
			s.capacity *= tenth // those others use; ours only as a help
		}
		if s.longWindow.capacity > 0 {
			s.capacity = (s.longWindow.successes + enough) / (s.longWindow.successes/s.longWindow.capacity + enough/s.capacity)
		}
		if g.takesAllClasses(s) {
			load, capacity = load+s.requestRate, capacity+s.capacity*s.healthFactor
		}
	}
	g.estimates.meanUtilization = load / max(negligible, capacity)
	g.estimates.targetUtilization = max(g.estimates.meanUtilization, min(maxTargetUtilization, maxDensityRatio*g.estimates.meanUtilization))
}

func quantile(of []float64, share float64) float64 {
	slices.Sort(of)
	return append(of, 0)[int(float64(len(of))*share)]
}

// requestRate a second of a class that come to a proxy. Lines tell of times with visits only, so the silence since
// the last one counts too: where few come, three visits over the three waits before them are half too many.
func (g *Balancer) requestRate(p *proxyState, class int) float64 {
	u := p.demandSamples[class]
	if len(u) == 0 {
		return 0
	}
	return rate(u, max(0, g.estimates.latestOutcomeAt-u[len(u)-1].receivedAt-g.estimates.reportCycle))
}

func rate(samples []reportSample, span fleet.Time) float64 {
	tries := 0.0
	for _, m := range samples {
		tries, span = tries+m.attempts, span+m.interval
	}
	return tries / max(span.Seconds(), negligible)
}

// summarize sums up the samples since a time. Rates go by the spans that reports state, as these come late.
func (s *serverState) summarize(since fleet.Time, zones int) windowStats {
	f, latency, busy, told := windowStats{utilization: -1}, 0.0, 0.0, 0.0
	byZone := make([]reportSample, zones)
	for _, m := range s.samples {
		if m.receivedAt < since {
			continue
		}
		z := &byZone[m.zone]
		z.interval, z.attempts = z.interval+m.interval, z.attempts+m.successes
		f.attempts, f.successes, latency = f.attempts+m.attempts, f.successes+m.successes, latency+m.successes*m.latency.Seconds()
		if m.utilization >= 0 {
			busy, told = busy+m.utilization, told+1
		}
	}
	for z := range byZone {
		f.successRate += rate(byZone[z:z+1], 0)
	}
	if told > 0 {
		f.utilization = max(minMeaningfulUtilization, busy/told)
	}
	if f.successes > 0 {
		f.latency, f.capacity = fleet.Second.Scale(latency/f.successes), max(0, f.successRate/f.utilization)
	}
	return f
}

// Estimates tells what the governor makes of each server that is ready.
func (g *Balancer) Estimates() (told []fleet.ServerEstimate) {
	for _, s := range g.endpoints.ready {
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
