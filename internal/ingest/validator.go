package ingest

import (
	"fmt"

	"cressknot/internal/fleet"
)

const (
	// maxViolations of a source within violationWindow make it untrusted. So many records with a clock that went back show
	// that it did.
	maxViolations   = 3
	violationWindow = 60 * fleet.Second

	// A source that is untrusted again is so for twice the time, from minDistrustPeriod to maxDistrustPeriod.
	minDistrustPeriod = 30 * fleet.Second
	maxDistrustPeriod = 600 * fleet.Second

	// distrustResetDelay without a violation ends the doubling.
	distrustResetDelay = 600 * fleet.Second

	// maxLoadFigure of a record.
	maxLoadFigure = 1e9

	// violationCapacity is the number of violations that operators can look at.
	violationCapacity = 256

	// maxViolationNotices is how many violations operators are notified of within violationWindow.
	maxViolationNotices = 10
)

// recordDecision is what is made of a record.
type recordDecision uint8

const (
	recordAccepted recordDecision = iota
	recordStale                   // repeated, or overtaken by a newer one
	recordRejected
)

// Violation is a record of a source that can't be right.
type Violation struct {
	At     fleet.Time
	Server fleet.ServerID
	Text   string
	Until  fleet.Time // the source is untrusted until then; 0: it is trusted
}

// recordValidator decides which records are accepted.
type recordValidator struct {
	repeated   uint64
	invalid    uint64
	untrusted  uint64
	violations []Violation // the latest ones, oldest first

	notifiedUntil fleet.Time // violations up to then were considered for notices
	windowStart   fleet.Time
	notified      int // since windowStart
	suppressed    int // since windowStart
}

// check decides on a record, and prepares the source's base for its sums: after a restart they count from 0.
func (v *recordValidator) check(now fleet.Time, s *source, record *Record) recordDecision {
	if s.distrustedUntil > now {
		v.untrusted++
		s.needsBase = true // what it reports meanwhile never counts
		return recordRejected
	}
	restarted := record.Started > s.last.Started
	continues := s.hasReported() && !s.needsBase && !restarted
	if continues && record.precedes(&s.last) && !v.acceptBackwardClock(now, s, record) {
		v.repeated++
		return recordStale
	}
	s.backwardRecords = 0
	if problem := record.problem(); problem != "" {
		v.violation(now, s, record.Server, problem)
		return recordRejected
	}
	if continues {
		if problem := record.counterProblem(&s.last); problem != "" {
			v.violation(now, s, record.Server, problem)
			s.needsBase = true
			return recordRejected
		}
	}
	if record.Stated > 0 {
		v.observeClock(now, s, record)
	}
	switch {
	case !s.hasReported() || s.needsBase:
		s.last.Attempts = record.Attempts
		s.last.Failures = record.Failures
	case restarted:
		s.last.Attempts = 0
		s.last.Failures = 0
	}
	s.needsBase = false
	return recordAccepted
}

// precedes reports whether the record was taken before the last one, by the source's clock.
func (r *Record) precedes(last *Record) bool {
	return r.Started < last.Started && r.Started > 0 || r.Stated > 0 && r.Stated <= last.Stated
}

// acceptBackwardClock returns true for a record that precedes the last one because the source's clock was set back. A
// single one looks like a record that was overtaken; but then its sums don't grow.
func (v *recordValidator) acceptBackwardClock(now fleet.Time, s *source, record *Record) bool {
	last := &s.last
	if record.Stated <= last.Stated && record.Started == last.Started && record.Attempts > last.Attempts {
		s.backwardRecords++
	}
	if s.backwardRecords < maxViolations {
		return false
	}
	text := fmt.Sprintf("clock was set back by %.1f s", (last.Stated - record.Stated).Seconds())
	v.violation(now, s, record.Server, text)
	s.clock.known = false
	return true
}

// problem returns what can't be right in any record, or "".
func (r *Record) problem() string {
	if r.Failures > r.Attempts || r.Successes > r.Attempts {
		return fmt.Sprintf("counter failed (%d) or good (%d) exceeds tries (%d)",
			r.Failures, r.Successes, r.Attempts)
	}
	if r.Started > r.Stated && r.Stated > 0 {
		return fmt.Sprintf("report time is %.1f s before the start time in field started", (r.Started - r.Stated).Seconds())
	}
	if !r.HasLoad {
		return ""
	}
	for _, load := range r.Load {
		inRange := load >= 0 && load < maxLoadFigure // false for NaN
		if !inRange {
			return fmt.Sprintf("load figure %v is not between 0 and %v", load, maxLoadFigure)
		}
	}
	return ""
}

// counterProblem names a counter that fell or jumped since the last record without a restart, or returns "".
func (r *Record) counterProblem(last *Record) string {
	for _, counter := range [...]struct {
		name    string
		before  uint64
		current uint64
	}{
		{"tries", last.Attempts, r.Attempts},
		{"failed", last.Failures, r.Failures},
		{"good", last.Successes, r.Successes},
		{"good_ms", last.SuccessMillis, r.SuccessMillis},
	} {
		if counter.current < counter.before {
			return fmt.Sprintf("counter %s decreased from %d to %d without a restart",
				counter.name, counter.before, counter.current)
		}
		if counter.current-counter.before > maxCounterStep {
			return fmt.Sprintf("counter %s increased from %d to %d in one report (limit %d)",
				counter.name, counter.before, counter.current, uint64(maxCounterStep))
		}
	}
	return ""
}

func (v *recordValidator) observeClock(now fleet.Time, s *source, record *Record) {
	if !s.clock.observe(record, s.lastArrival) {
		return
	}
	v.add(Violation{
		At:     now,
		Server: record.Server,
		Text: fmt.Sprintf("clock is off by %.1f s (limit %.0f s); the ages of its load reports are corrected for that",
			-s.clock.offset.Seconds(), maxClockOffset.Seconds()),
	})
}

// violation counts a violation. After too many of them the source is untrusted for a while.
func (v *recordValidator) violation(now fleet.Time, s *source, server fleet.ServerID, text string) {
	v.invalid++
	if now > s.lastViolation+violationWindow {
		s.violations = 0
	}
	if now > s.lastViolation+distrustResetDelay {
		s.distrustPeriod = 0
	}
	s.lastViolation = now
	s.violations++
	entry := Violation{At: now, Server: server, Text: text}
	if s.violations >= maxViolations {
		s.violations = 0
		s.distrustPeriod = min(maxDistrustPeriod, max(minDistrustPeriod, 2*s.distrustPeriod))
		s.distrustedUntil = now + s.distrustPeriod
		entry.Until = s.distrustedUntil
	}
	v.add(entry)
}

func (v *recordValidator) add(entry Violation) {
	surplus := max(0, len(v.violations)+1-violationCapacity)
	v.violations = append(v.violations[surplus:], entry)
}

// isFirstOf reports whether no earlier violation of the source is stored.
func (v *recordValidator) isFirstOf(entry Violation) bool {
	for _, other := range v.violations {
		if other.Server == entry.Server {
			return other == entry
		}
	}
	return false
}

// notices returns notices of the violations since the last call: the first one of each source, and those after
// which it is untrusted. Their number is bounded, as many faulty sources must not fill the log.
func (v *recordValidator) notices(now fleet.Time, listed func(fleet.ServerID) bool) (notices []Notice) {
	if now >= v.windowStart+violationWindow {
		if v.suppressed > 0 {
			text := fmt.Sprintf("%d more violations in load reports were not logged individually", v.suppressed)
			notices = append(notices, Notice{OfAll: true, Text: text})
		}
		v.windowStart = now
		v.notified = 0
		v.suppressed = 0
	}
	for _, entry := range v.violations {
		if entry.At <= v.notifiedUntil || entry.Until == 0 && !v.isFirstOf(entry) {
			continue
		}
		if v.notified >= maxViolationNotices || !listed(entry.Server) {
			v.suppressed++
			continue
		}
		v.notified++
		notices = append(notices, Notice{Server: entry.Server, OfSource: true, Text: entry.noticeText()})
	}
	v.notifiedUntil = now
	return notices
}

func (v *Violation) noticeText() string {
	if v.Until == 0 {
		return v.Text
	}
	return fmt.Sprintf("%s; its load reports are ignored for %.0f s", v.Text, (v.Until - v.At).Seconds())
}
