package balancer

import "cressknot/internal/fleet"

const (
	// maxSamplesPerServer bounds the samples of a server: over two reports per second and zone within longWindow.
	maxSamplesPerServer = 128
	// maxDemandSamples is how many demand reports make an estimate of a proxy's request rate.
	maxDemandSamples = 3
	// maxReportGap is the number of report intervals past which a demand report says that the proxy was silent, so that
	// what it reported before no longer counts.
	maxReportGap = 3
)

// observe takes in one event. Events of kinds that the balancer has no use for are ignored, as are those that name
// servers, proxies or classes it does not know.
func (b *Balancer) observe(event fleet.Event) {
	switch e := event.(type) {
	case fleet.EndpointList:
		b.updateEndpoints(e)
	case fleet.ProxyJoined:
		b.addProxy(e)
	case fleet.ProxyLeft:
		b.removeProxy(e.Proxy)
	case fleet.OutcomeReport:
		b.observeOutcome(e)
	case fleet.ProbeResult:
		b.observeProbe(e)
	case fleet.DemandReport:
		b.observeDemand(e)
	case fleet.BarrierReached:
		b.channel.acknowledge(e.Barrier)
	case fleet.OrdersUnconfirmed:
		b.markUnconfirmed(e.Orders)
	}
}

func (b *Balancer) observeOutcome(report fleet.OutcomeReport) {
	server := b.endpoints.byID[report.Server]
	if server == nil || int(report.Zone) >= len(b.site.Zones) {
		return
	}
	successes := float64(report.Attempts) - float64(report.Failures)
	recent := server.samples[max(0, len(server.samples)-maxSamplesPerServer):]
	server.samples = append(recent, reportSample{
		receivedAt:  b.now,
		interval:    report.Interval,
		latency:     report.Latency,
		zone:        report.Zone,
		attempts:    float64(report.Attempts),
		successes:   successes,
		utilization: b.estimates.utilizationIn(report.Load),
	})
	b.estimates.latestOutcomeAt = b.now
	if successes > 0 {
		server.lastSuccessAt = b.now
	}
}

func (b *Balancer) observeProbe(result fleet.ProbeResult) {
	server := b.endpoints.byID[result.Server]
	if server == nil || result.Outcome != fleet.ProbeAnswered {
		return
	}
	server.samples = append(server.samples, reportSample{
		receivedAt:  b.now,
		utilization: b.estimates.utilizationIn(result.Load),
	})
}

func (b *Balancer) observeDemand(report fleet.DemandReport) {
	proxy := b.proxies.byID[report.Proxy]
	if proxy == nil || int(report.Class) >= len(proxy.demandSamples) {
		return
	}
	proxy.reportedExpectedRate = proxy.expectedRate

	samples := proxy.demandSamples[report.Class]
	interval := report.Interval
	if len(samples) > 0 {
		// The silence that a report states is capped at some seconds; the time since the last report is not.
		last := samples[len(samples)-1]
		interval = max(interval, b.now-last.receivedAt-b.estimates.reportCycle)
	}
	samples = samples[max(0, len(samples)+1-maxDemandSamples):]
	if report.Interval > maxReportGap*b.site.ReportInterval {
		samples = nil
	}
	proxy.demandSamples[report.Class] = append(samples, reportSample{
		receivedAt: b.now,
		interval:   interval,
		attempts:   float64(report.Requests),
	})
}

// markUnconfirmed notes that orders may or may not have been carried out. They are sent again as any other difference
// is, when the update channel has capacity.
func (b *Balancer) markUnconfirmed(orders []fleet.Order) {
	b.channel.nextChangesAt = b.now
	for _, order := range orders {
		switch o := order.(type) {
		case fleet.SetWeight:
			if server := b.endpoints.byID[o.Server]; server != nil {
				server.weightUnconfirmed[o.Table] = true
			}
		case fleet.WithdrawServer:
			if server := b.endpoints.byID[o.Server]; server != nil {
				server.withdrawalUnconfirmed = true
			}
		case fleet.SetAdmission:
			for class := range b.classes {
				b.classes[class].sentAdmission.Limit = 0 // differs from every limit, so all are sent
			}
		case fleet.AssignTable:
			if proxy := b.proxies.byID[o.Proxy]; proxy != nil {
				proxy.assignmentUnconfirmed = true
			}
		}
	}
}
