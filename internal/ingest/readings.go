package ingest

import (
	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
)

const (
	// maxCounterStep is the largest plausible increase of a counter between two readings.
	maxCounterStep = 1 << 40

	// minInterval is the shortest interval from which a rate is computed.
	minInterval = 10 * fleet.Millisecond

	// maxCountedPeriods is the longest counted interval, in poll periods. Only that part of a longer interval counts.
	maxCountedPeriods = 2
)

// CounterDelta is the difference between two consecutive readings of a proxy's counters for one server.
type CounterDelta struct {
	At            fleet.Time // time of the later reading
	Interval      fleet.Time
	Server        fleet.ServerID
	Zone          fleet.ZoneID
	Proxy         fleet.ProxyID
	Attempts      uint64
	Failures      uint64
	Successes     uint64
	SuccessMillis uint64
	Load          [4]float32
	HasLoad       bool
}

// AddReading adds the increases since the previous reading of a proxy's counters to the pending reports. It does not
// retain the reading. The first reading, and one after a counter reset, only set the base for the next one.
func (p *Pipeline) AddReading(now fleet.Time, id fleet.ProxyID, reading *counters.Reading) {
	p.advance(now)
	proxy := p.proxies[id]
	if proxy == nil {
		return
	}
	p.answered(proxy, reading)
	switch {
	case !proxy.hasReading:
		proxy.setBase(reading)
	case reading.At < proxy.readAt+minInterval:
	case proxy.countersReset(reading):
		p.resets++
		proxy.setBase(reading)
	default:
		interval := reading.At - proxy.readAt
		proxy.readAt = reading.At
		p.addOutcomes(proxy, reading, interval)
		p.addDemand(proxy, reading, interval)
	}
}

// setBase stores a reading as the base for later differences.
func (pp *polledProxy) setBase(reading *counters.Reading) {
	pp.hasReading = true
	pp.readAt = reading.At
	clear(pp.servers)
	for i := range reading.Rows {
		row := &reading.Rows[i]
		*pp.countersOf(row.Server) = row.ServerCounters
	}
	pp.classes = append(pp.classes[:0], reading.Classes...)
}

// countersReset reports whether a counter decreased or increased implausibly since the last reading, as after a
// restart of the proxy. Differences are then meaningless.
func (pp *polledProxy) countersReset(reading *counters.Reading) bool {
	for i := range reading.Rows {
		row := &reading.Rows[i]
		base := pp.countersOf(row.Server)
		if isReset(row.Attempts, base.Attempts) || isReset(row.Failures, base.Failures) ||
			isReset(row.Successes, base.Successes) || isReset(row.SuccessMillis, base.SuccessMillis) {
			return true
		}
	}
	for class := range min(len(reading.Classes), len(pp.classes)) {
		current := &reading.Classes[class]
		base := &pp.classes[class]
		if isReset(current.Requests, base.Requests) || isReset(current.Unanswered, base.Unanswered) {
			return true
		}
	}
	return false
}

func isReset(current, base uint64) bool { return current < base || current-base > maxCounterStep }

// addOutcomes adds the increases of the servers' counters to the pending outcome reports.
func (p *Pipeline) addOutcomes(proxy *polledProxy, reading *counters.Reading, interval fleet.Time) {
	counted, fraction := p.countedPart(interval)
	coverage := p.coverageOf(proxy.zone)
	before := coverage.read
	coverage.read += counted
	for i := range reading.Rows {
		row := &reading.Rows[i]
		base := proxy.countersOf(row.Server)
		if row.Attempts == base.Attempts {
			base.Successes = row.Successes
			base.SuccessMillis = row.SuccessMillis
			continue
		}
		delta := CounterDelta{
			At:            reading.At,
			Interval:      interval,
			Server:        row.Server,
			Zone:          proxy.zone,
			Proxy:         proxy.id,
			Attempts:      row.Attempts - base.Attempts,
			Failures:      min(row.Failures-base.Failures, row.Attempts-base.Attempts),
			Successes:     row.Successes - base.Successes,
			SuccessMillis: row.SuccessMillis - base.SuccessMillis,
			Load:          row.Load,
			HasLoad:       row.HasLoad,
		}
		*base = row.ServerCounters
		p.totals.Counted += delta.Attempts
		if p.observer != nil {
			p.observer(delta)
		}
		p.recordOutcome(&delta)
		if fraction < 1 {
			p.scaleDown(&delta, fraction)
		}
		report := p.outcomeReport(row.Server, proxy.zone)
		if report.attempts == 0 {
			p.beginCoverage(report, coverage, before)
		}
		p.schedule(report, reading.At-counted, reading.At)
		report.addOutcome(&delta)
		p.totals.Pending += delta.Attempts
	}
}

// countedPart returns the part of an interval that counts, and its fraction of the interval. Attempts that accumulated
// while a proxy was unreachable say little about the current rate; reported as those of one period they would look like
// a surge.
func (p *Pipeline) countedPart(interval fleet.Time) (counted fleet.Time, fraction float64) {
	if limit := p.maxCountedInterval(); interval > limit {
		return limit, float64(limit) / float64(interval)
	}
	return interval, 1
}

func (p *Pipeline) maxCountedInterval() fleet.Time {
	return maxCountedPeriods * max(p.site.ReportInterval, p.pollPeriod())
}

// scaleDown reduces a difference to a fraction, and counts the remaining attempts as aged.
func (p *Pipeline) scaleDown(delta *CounterDelta, fraction float64) {
	attempts := min(delta.Attempts, scaled(delta.Attempts, fraction))
	p.totals.Aged += delta.Attempts - attempts
	delta.Attempts = attempts
	delta.Failures = min(scaled(delta.Failures, fraction), attempts)
	delta.Successes = scaled(delta.Successes, fraction)
	delta.SuccessMillis = scaled(delta.SuccessMillis, fraction)
}

func scaled(count uint64, fraction float64) uint64 { return uint64(float64(count)*fraction + 0.5) }

// addDemand adds the increases of the classes' counters to the pending demand reports.
func (p *Pipeline) addDemand(proxy *polledProxy, reading *counters.Reading, interval fleet.Time) {
	for class := range min(len(reading.Classes), len(proxy.classes)) {
		report := p.demandReport(demandKey{proxy: proxy.id, class: fleet.ClassID(class)})
		p.schedule(report, reading.At-interval, reading.At)
		report.attempts += reading.Classes[class].Requests - proxy.classes[class].Requests
		report.failures += reading.Classes[class].Unanswered - proxy.classes[class].Unanswered
	}
	proxy.classes = append(proxy.classes[:0], reading.Classes...)
}
