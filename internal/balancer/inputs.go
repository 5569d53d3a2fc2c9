package balancer

import "cressknot/internal/fleet"

const (
	// maxSamplesPerServer bounds the memory for the samples of a server. It holds more than two reports per second and
	// zone within longWindow.
	maxSamplesPerServer = 128
	// maxDemandSamples is the number of demand reports that the estimate of a proxy's request rate uses.
	maxDemandSamples = 3
	// maxReportGap is the number of report intervals above which the interval of a demand report shows that the proxy had
	// no requests for a while, so that its earlier reports are dropped.
	maxReportGap = 3
)

// handleEvent processes one event. It ignores events of other kinds, and those for unknown servers, proxies or classes.
func (b *Balancer) handleEvent(event fleet.Event) {
	switch e := event.(type) {
	case fleet.EndpointList:
		b.updateEndpoints(e)
	case fleet.ProxyJoined:
		b.addProxy(e)
	case fleet.ProxyLeft:
		b.removeProxy(e.Proxy)
	case fleet.OutcomeReport:
		b.recordOutcome(e)
	case fleet.ProbeResult:
		b.recordProbe(e)
	case fleet.DemandReport:
		b.recordDemand(e)
	case fleet.BarrierReached:
		b.channel.acknowledge(b.now, e.Barrier)
	case fleet.OrdersUnconfirmed:
		b.markUnconfirmed(e.Orders)
	}
}

func (b *Balancer) recordOutcome(report fleet.OutcomeReport) {
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

func (b *Balancer) recordProbe(result fleet.ProbeResult) {
	server := b.endpoints.byID[result.Server]
	if server == nil || result.Outcome != fleet.ProbeAnswered {
		return
	}
	server.samples = append(server.samples, reportSample{
		receivedAt:  b.now,
		utilization: b.estimates.utilizationIn(result.Load),
	})
}

func (b *Balancer) recordDemand(report fleet.DemandReport) {
	proxy := b.proxies.byID[report.Proxy]
	if proxy == nil || int(report.Class) >= len(proxy.demandSamples) {
		return
	}
	proxy.reportedExpectedRate = proxy.expectedRate

	samples := proxy.demandSamples[report.Class]
	interval := report.Interval
	if len(samples) > 0 {
		// The interval in a report covers at most some seconds without requests, so the time since the last report is
		// used if it is longer.
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

// markUnconfirmed marks orders that may or may not have been carried out. They are sent again like other changes, when
// the update channel has capacity.
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
