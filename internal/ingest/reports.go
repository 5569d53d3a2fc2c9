package ingest

import (
	"math"

	"cressknot/internal/fleet"
)

const (
	// reportBurst is, in seconds of the site's report rate, how many reports may be passed on at once.
	reportBurst = 1

	// minReportGapQuarters is the least time between two reports of a kind, in quarters of the report interval.
	minReportGapQuarters = 3

	// minReportWake is the least time to the next call of Tell while reports are pending.
	minReportWake = 10 * fleet.Millisecond

	// maxLoadPeriods is the age, in report intervals, from which a pushed load is not reported.
	maxLoadPeriods = 3
)

// demandKey identifies a demand report.
type demandKey struct {
	proxy fleet.ProxyID
	class fleet.ClassID
}

// zoneCoverage is how much time of a zone's proxies has been read. The interval of an outcome report is what was
// added to it since the report before, divided by the number of proxies; so its rate is right from the first report
// on, whichever proxies were polled by then. Intervals taken from the clock made the fleet look busy and slow after
// a start, as the attempts of some proxies were divided by the time of all.
type zoneCoverage struct {
	read    fleet.Time
	proxies int
}

// pendingReport gathers sums until they are reported: the outcomes at a server for the proxies of a zone, or the
// demand of a class at a proxy.
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

	from       fleet.Time // begin and end of a demand report's interval
	until      fleet.Time
	coverage   fleet.Time // of the zone, at the begin of an outcome report's interval
	reportedAt fleet.Time
	dueAt      fleet.Time
	pendingAt  fleet.Time // since when it is pending
	index      int        // in the heap of due reports
}

func (r *pendingReport) heapIndex() *int { return &r.index }

// before orders reports by when they are due, and then by a fixed order.
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

// clear empties a report that was passed on.
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

// beginCoverage sets the begin of an outcome report's interval: the last report, or the reading before the first
// one, but not longer ago than maxCountedInterval.
func (p *Pipeline) beginCoverage(report *pendingReport, coverage *zoneCoverage, before fleet.Time) {
	if report.reportedAt == 0 {
		report.coverage = before
	}
	earliest := coverage.read - fleet.Time(coverage.proxies)*p.maxCountedInterval()
	report.coverage = max(report.coverage, earliest)
}

// schedule makes a report pending, if it isn't yet, and extends its interval.
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

// Reports returns the reports for the balancer: those that are pending longest, as many as the site's report rate
// allows. What stays adds up. Wake is when to call again, 0 if nothing is pending. So no report is pending for longer
// than all pending ones take at that rate, whoever sends how much.
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

// finish returns the event of a report, and empties it. The event is nil where the server or proxy is gone.
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

// loadOf returns the load that goes with an outcome report: the pushed one while it is fresh, or else the one that
// answers reported. A load is never reported without the attempts that caused it: alone it would read as a fleet
// that is busy and handles nothing. Where all loads are too old there is none, as a silent server is neither known
// to be idle nor to be as busy as before.
func (p *Pipeline) loadOf(report *pendingReport, s *source, now fleet.Time) (load [4]float32, ok bool) {
	if p.usePushedLoad && s.hasReported() && s.last.HasLoad && s.age(now) <= maxLoadPeriods*p.site.ReportInterval {
		return s.last.Load, true
	}
	return report.load, report.hasLoad
}

func clamped(count uint64) uint32 { return uint32(min(count, math.MaxUint32)) }

// Waiting returns how many reports are pending, and for how long the oldest one is.
func (p *Pipeline) Waiting(now fleet.Time) (reports int, oldest fleet.Time) {
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
