package ingest

import "cressknot/internal/fleet"

const (
	// gapWeight is the weight of the newest gap in the moving mean of the gaps between reports.
	gapWeight = 0.2

	// minSourceTableGrowth is the least number of entries by which the table of sources grows.
	minSourceTableGrowth = 16
)

// source is the state of a server: its load reports, and the outcomes that proxies measured.
type source struct {
	listed bool
	gone   bool // removed from the endpoint list

	last        Record
	lastArrival fleet.Time // 0: no report yet
	meanGap     fleet.Time // between reports
	ownAttempts uint64     // counted by the server, since the controller's start
	ownFailures uint64     // counted by the server, since the controller's start

	clock           clockEstimate
	backwardRecords int  // consecutive records with an earlier time but larger counters
	needsBase       bool // the next record only sets the base for the counters
	violations      int  // since violationWindow began
	lastViolation   fleet.Time
	distrustPeriod  fleet.Time // the latest one; 0: none, or reset
	untrustedUntil  fleet.Time

	outcomes           [examinationCount]pollOutcomes // by examination, the latest one first
	ownAttemptsHistory [examinationCount]uint64       // ownAttempts by examination, the latest one first
	health             health
	polledAt           fleet.Time // when a proxy's counters last showed attempts
}

// hasReported reports whether the server ever pushed a report.
func (s *source) hasReported() bool { return s.lastArrival > 0 }

func (p *Pipeline) source(id fleet.ServerID) *source {
	if missing := int(id) + 1 - len(p.sources); missing > 0 {
		p.sources = append(p.sources, make([]source, max(minSourceTableGrowth, missing))...)
	}
	return &p.sources[id]
}

// SetListed records that the endpoint list contains a server, or that the server is gone. Nothing is reported to the
// balancer about a server that is gone.
func (p *Pipeline) SetListed(id fleet.ServerID, gone bool) {
	s := p.source(id)
	s.listed = !gone
	s.gone = gone
}

// AddRecord adds a record that a server pushed, if the record is valid. Its counters are not reported to the balancer,
// as proxies count the same attempts.
func (p *Pipeline) AddRecord(now fleet.Time, record Record) {
	p.advance(now)
	s := p.source(record.Server)
	if p.validator.check(now, s, &record) != recordAccepted {
		return
	}
	if gap := record.Arrived - s.lastArrival; s.hasReported() && gap > 0 {
		s.meanGap = movingMean(s.meanGap, gap)
	}
	s.ownAttempts += record.Attempts - s.last.Attempts
	s.ownFailures += record.Failures - s.last.Failures
	s.last = record
	s.lastArrival = record.Arrived
}

// age returns the age of the server's newest report. It includes the delay between the stated time of the report, as
// corrected by the estimated clock offset, and its arrival.
func (s *source) age(now fleet.Time) fleet.Time {
	age := now - s.last.Arrived
	if s.last.Stated > 0 {
		age += max(0, s.last.Arrived-s.last.Stated-s.clock.offset)
	}
	return age
}

func movingMean(mean, gap fleet.Time) fleet.Time {
	if mean == 0 {
		return gap
	}
	return mean + (gap - mean).Scale(gapWeight)
}
