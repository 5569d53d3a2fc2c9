package ingest

import (
	"math"

	"cressknot/internal/fleet"
)

const (
	// reportBurst is the largest number of reports that are passed on at once, in seconds at the site's report rate.
	reportBurst = 1

	// minReportGapQuarters is the least time between two reports of the same key, in quarters of the report interval.
	minReportGapQuarters = 3

	// minReportWake is the least time to the next call of Reports while reports are pending.
	minReportWake = 10 * fleet.Millisecond

	// maxLoadPeriods is the largest age of a pushed load that is reported, in report intervals.
	maxLoadPeriods = 3
)

// demandKey identifies a demand report.
type demandKey struct {
	proxy fleet.ProxyID
	class fleet.ClassID
}

// zoneCoverage sums the intervals that readings of a zone's proxies cover. The interval of an outcome report is the
// increase of that sum since the previous report, divided by the number of proxies. So its rate is right from the first
// report on, whichever proxies were polled by then. Intervals taken from the clock made the fleet look busy and slow
// after a start, as the attempts of some proxies were divided by the time of all.
type zoneCoverage struct {
	read    fleet.Time // sum over all proxies of the zone
	proxies int
}

// pendingReport accumulates counts until they are reported: the outcomes of attempts at a server from the proxies of a
// zone, or the demand of a class at a proxy.
type pendingReport struct {
	isDemand bool
	server   fleet.ServerID // of an outcome report
	zone     fleet.ZoneID   // of an outcome report
	key      demandKey      // of a demand report

	attempts      uint64 // requests, in a demand report
	failures      uint64 // unanswered requests, in a demand report
	successes     uint64
	successMillis uint64
	load          [4]float32
	hasLoad       bool

	from       fleet.Time // begin of a demand report's interval
	until      fleet.Time // end of a demand report's interval
	coverage   fleet.Time // zoneCoverage.read at the begin of an outcome report's interval
	reportedAt fleet.Time // time of the last report; 0: none yet
	dueAt      fleet.Time
	pendingAt  fleet.Time // when it became pending
	index      int        // in the heap of due reports
}

func (r *pendingReport) heapIndex() *int { return &r.index }

// before orders reports by due time, then by kind and key, so that the order is deterministic.
func (r *pendingReport) before(other *pendingReport) bool {
	switch {
	case r.dueAt != other.dueAt:
		return r.dueAt < other.dueAt
	case r.isDemand != other.isDemand:
		return other.isDemand
	case r.server != other.server:
		return r.server < other.server
	case r.zone != other.zone:
		return r.zone < other.zone
	case r.key.proxy != other.key.proxy:
		return r.key.proxy < other.key.proxy
	}
	return r.key.class < other.key.class
}

func (r *pendingReport) addOutcome(delta *CounterDelta) {
	r.attempts += delta.Attempts
	r.failures += delta.Failures
	r.successes += delta.Successes
	r.successMillis += delta.SuccessMillis
	if delta.HasLoad {
		r.load = delta.Load
		r.hasLoad = true
	}
}

// clear resets the counts of a report that was passed on.
func (r *pendingReport) clear(now fleet.Time) {
	r.attempts = 0
	r.failures = 0
	r.successes = 0
	r.successMillis = 0
	r.hasLoad = false
	r.reportedAt = now
}

func (p *Pipeline) coverageOf(zone fleet.ZoneID) *zoneCoverage {
	return &p.coverage[min(int(zone), len(p.coverage)-1)]
}

func (p *Pipeline) outcomeReport(server fleet.ServerID, zone fleet.ZoneID) *pendingReport {
	byServer := p.outcomes[min(int(zone), len(p.outcomes)-1)]
	report := byServer[uint32(server)]
	if report == nil {
		report = &pendingReport{server: server, zone: zone, index: notInHeap}
		byServer[uint32(server)] = report
	}
	return report
}

func (p *Pipeline) demandReport(key demandKey) *pendingReport {
	report := p.demand[key]
	if report == nil {
		report = &pendingReport{isDemand: true, key: key, index: notInHeap}
		p.demand[key] = report
	}
	return report
}

// beginCoverage sets the begin of an outcome report's interval: the previous report, or the coverage before the first
// reading, but at most maxCountedInterval ago.
func (p *Pipeline) beginCoverage(report *pendingReport, coverage *zoneCoverage, before fleet.Time) {
	if report.reportedAt == 0 {
		report.coverage = before
	}
	earliest := coverage.read - fleet.Time(coverage.proxies)*p.maxCountedInterval()
	report.coverage = max(report.coverage, earliest)
}

// schedule makes a report pending unless it is already, and extends its interval.
func (p *Pipeline) schedule(report *pendingReport, from, until fleet.Time) {
	if report.index == notInHeap {
		report.pendingAt = p.now
		report.dueAt = p.now
		if report.reportedAt > 0 {
			report.dueAt = max(report.dueAt, report.reportedAt+p.site.ReportInterval*minReportGapQuarters/4)
		}
		p.due.push(report)
		report.from = from
		if report.reportedAt > 0 && report.until > from && report.until <= until {
			report.from = report.until // continues where the last report ended
		}
	}
	report.from = min(report.from, until)
	report.until = max(report.until, until)
}

// Reports returns reports for the balancer in the order of their due times, as many as the site's report rate allows.
// The others stay pending and continue to accumulate. Wake is the time of the next call, 0 if nothing is pending. As
// each server, zone, proxy and class has at most one pending report, none is pending for longer than all pending ones
// take at that rate, however much a single source sends.
func (p *Pipeline) Reports(now fleet.Time) (events []fleet.Event, wake fleet.Time) {
	p.advance(now)
	rate := max(1, p.site.ReportsPerSecond)
	p.reportTokens.refill(now, rate, reportBurst*rate)
	for p.reportTokens.tokens >= 1 && len(p.due) > 0 && p.due[0].dueAt <= now {
		event := p.finish(p.due.pop(), now)
		if event != nil {
			p.reportTokens.tokens--
			events = append(events, event)
		}
	}
	if len(p.due) > 0 {
		wake = max(p.due[0].dueAt, now+max(minReportWake, fleet.Second.Scale(1/rate)))
	}
	return events, wake
}

// finish returns the event of a report and resets the report. The event is nil if the server or proxy is gone.
func (p *Pipeline) finish(report *pendingReport, now fleet.Time) (event fleet.Event) {
	if report.isDemand {
		event = p.finishDemand(report)
	} else {
		event = p.finishOutcome(report, now)
	}
	report.clear(now)
	return event
}

func (p *Pipeline) finishDemand(report *pendingReport) fleet.Event {
	if p.proxies[report.key.proxy] == nil {
		delete(p.demand, report.key)
		return nil
	}
	return fleet.DemandReport{
		Proxy:      report.key.proxy,
		Class:      report.key.class,
		Requests:   clamped(report.attempts),
		Unanswered: clamped(report.failures),
		Interval:   max(minInterval, report.until-report.from),
	}
}

func (p *Pipeline) finishOutcome(report *pendingReport, now fleet.Time) fleet.Event {
	coverage := p.coverageOf(report.zone)
	covered := coverage.read - report.coverage
	report.coverage = coverage.read
	p.totals.Pending -= report.attempts
	source := p.source(report.server)
	if source.gone {
		p.totals.Gone += report.attempts
		return nil
	}
	p.totals.Reported += report.attempts
	outcome := fleet.OutcomeReport{
		Server:   report.server,
		Zone:     report.zone,
		Attempts: clamped(report.attempts),
		Failures: clamped(report.failures),
		Interval: max(minInterval, covered/fleet.Time(max(1, coverage.proxies))),
	}
	if report.successes > 0 {
		mean := float64(report.successMillis) / float64(report.successes)
		outcome.Latency = fleet.Time(mean * float64(fleet.Millisecond))
	}
	if load, ok := p.loadOf(report, source, now); ok {
		outcome.Load = append([]float32(nil), load[:len(p.site.LoadFields)]...)
	}
	return outcome
}

// loadOf returns the load for an outcome report: the pushed one while it is fresh, otherwise the one from responses to
// proxies. A load is never reported without the attempts that caused it: alone it would look like a fleet that is busy
// without handling requests. It returns false if all loads are too old, as nothing is known about the load of a silent
// server.
func (p *Pipeline) loadOf(report *pendingReport, s *source, now fleet.Time) (load [4]float32, ok bool) {
	if p.usePushedLoad && s.hasReported() && s.last.HasLoad && s.age(now) <= maxLoadPeriods*p.site.ReportInterval {
		return s.last.Load, true
	}
	return report.load, report.hasLoad
}

func clamped(count uint64) uint32 { return uint32(min(count, math.MaxUint32)) }

// PendingReports returns the number of pending reports, and how long the oldest one has been pending.
func (p *Pipeline) PendingReports(now fleet.Time) (reports int, oldest fleet.Time) {
	for _, report := range p.due {
		oldest = max(oldest, now-report.pendingAt)
	}
	return len(p.due), oldest
}

// PendingOutcomes returns the attempts and failures in the pending reports of a server.
func (p *Pipeline) PendingOutcomes(server fleet.ServerID) (attempts, failures uint64) {
	for _, byServer := range p.outcomes {
		if report := byServer[uint32(server)]; report != nil {
			attempts += report.attempts
			failures += report.failures
		}
	}
	return attempts, failures
}
