package balancer

import (
	"cmp"
	"maps"
	"slices"

	"cressknot/internal/fleet"
)

func (g *Balancer) observe(event fleet.Event) {
	switch e := event.(type) {
	case fleet.EndpointList:
		g.updateEndpoints(e)
	case fleet.ProxyJoined:
		p, n := g.proxies.byID[e.Proxy], len(g.classes)
		if g.schedule.timerDueAt = g.now; p != nil && !e.Fresh { // it may have left unseen: on our tables still or not
			p.assignmentUnconfirmed, p.withdrawalsRepeated, p.joinedAt = true, false, g.now
		} else {
			g.removeProxy(e.Proxy)
			p = &proxyState{id: e.Proxy, joinedAt: g.now, expectedRate: max(negligible, e.RequestRate), assignedTables: slices.Repeat([]int{-1}, n),
				partition: min(int(e.Zone), len(g.site.Zones)-1)*g.layout.partitionsPerZone + int(e.Proxy)%g.layout.partitionsPerZone, demandSamples: make([][]reportSample, n)}
			g.proxies.byID[p.id], g.proxies.all, g.proxies.inheritedTables = p, append(g.proxies.all, p), g.proxies.inheritedTables || !e.Fresh
			slices.SortFunc(g.proxies.all, func(a, b *proxyState) int { return cmp.Compare(a.id, b.id) })
		}
	case fleet.ProxyLeft:
		g.removeProxy(e.Proxy)
	case fleet.OutcomeReport:
		if s := g.endpoints.byID[e.Server]; s != nil && int(e.Zone) < len(g.site.Zones) {
			good := float64(e.Attempts) - float64(e.Failures)
			s.samples = append(s.samples[max(0, len(s.samples)-maxSamplesPerServer):],
				reportSample{g.now, e.Interval, e.Latency, e.Zone, float64(e.Attempts), good, g.utilizationIn(e.Load)})
			if g.estimates.latestOutcomeAt = g.now; good > 0 {
				s.lastSuccessAt = g.now
			}
		}
	case fleet.ProbeResult:
		if s := g.endpoints.byID[e.Server]; s != nil && e.Outcome == fleet.ProbeAnswered {
			s.samples = append(s.samples, reportSample{receivedAt: g.now, utilization: g.utilizationIn(e.Load)})
		}
	case fleet.BarrierReached: // messages leave in their order
		if m := g.channel.pendingBarriers[e.Barrier]; m != nil {
			if sent := m.entriesBefore + m.entries*min(1, m.acknowledgements/m.proxyCount); sent > g.channel.entriesAcknowledged {
				g.channel.entriesAcknowledged, g.channel.entriesDelivered = sent, sent // also where it is slower than counted on
			}
			m.acknowledgements++
			maps.DeleteFunc(g.channel.pendingBarriers, func(_ fleet.BarrierID, m *pendingBarrier) bool {
				return m.entriesBefore+m.entries <= g.channel.entriesAcknowledged
			})
		}
	case fleet.OrdersUnconfirmed:
		g.markUnconfirmed(e.Orders)
	case fleet.DemandReport:
		if p := g.proxies.byID[e.Proxy]; p != nil && int(e.Class) < len(p.demandSamples) {
			u, span := p.demandSamples[e.Class], e.Interval
			if len(u) > 0 { // what lines state of a long silence ends at some seconds
				span = max(span, g.now-u[len(u)-1].receivedAt-g.estimates.reportCycle)
			}
			if p.reportedExpectedRate, u = p.expectedRate, u[max(0, len(u)+1-few):]; e.Interval > few*g.site.ReportInterval {
				u = nil
			}
			p.demandSamples[e.Class] = append(u, reportSample{receivedAt: g.now, interval: span, attempts: float64(e.Requests)})
		}
	}
}

func (g *Balancer) utilizationIn(load []float32) float64 {
	if g.estimates.utilizationField < 0 || g.estimates.utilizationField >= len(load) {
		return -1
	}
	return float64(load[g.estimates.utilizationField])
}

// markUnconfirmed takes in that orders may not be out. They go again as all others do, when the channel has room.
func (g *Balancer) markUnconfirmed(orders []fleet.Order) {
	g.channel.nextChangesAt = g.now
	for _, order := range orders {
		switch o := order.(type) {
		case fleet.SetWeight:
			if s := g.endpoints.byID[o.Server]; s != nil {
				s.weightUnconfirmed[o.Table] = true
			}
		case fleet.WithdrawServer:
			if s := g.endpoints.byID[o.Server]; s != nil {
				s.withdrawalUnconfirmed = true
			}
		case fleet.SetAdmission:
			for c := range g.classes {
				g.classes[c].sentAdmission.Limit = 0
			}
		case fleet.AssignTable:
			if p := g.proxies.byID[o.Proxy]; p != nil {
				p.assignmentUnconfirmed = true
			}
		}
	}
}
