package ingest

import (
	"fmt"

	"cressknot/internal/fleet"
)

const (
	// maxViolations is the number of violations within violationWindow after which a source is untrusted. It is also the
	// number of consecutive records with an earlier time that show that the source's clock was set back.
	maxViolations   = 3
	violationWindow = 60 * fleet.Second

	// A source is untrusted for minDistrustPeriod at first, and for twice the previous time, up to maxDistrustPeriod, if
	// it violates the rules again.
	minDistrustPeriod = 30 * fleet.Second
	maxDistrustPeriod = 600 * fleet.Second

	// distrustResetDelay is the time without a violation after which the period is minDistrustPeriod again.
	distrustResetDelay = 600 * fleet.Second

	// maxLoadFigure is the exclusive upper bound of the load figures of a record.
	maxLoadFigure = 1e9

	// violationCapacity is the number of violations that are kept for operators.
	violationCapacity = 256

	// maxViolationNotices is the largest number of notices of violations within violationWindow.
	maxViolationNotices = 10
)

// recordDecision is the result of checking a record.
type recordDecision uint8

const (
	recordAccepted recordDecision = iota
	recordStale                   // repeated, or overtaken by a newer one
	recordRejected
)

// Violation describes an invalid record of a source, or a source whose clock is off.
type Violation struct {
	At     fleet.Time
	Server fleet.ServerID
	Text   string
	Until  fleet.Time // the source is untrusted until then; 0: the violation did not make it untrusted
}

// recordValidator decides which records are accepted, and keeps the latest violations.
type recordValidator struct {
	repeated   uint64
	invalid    uint64
	untrusted  uint64
	violations []Violation // the latest ones, oldest first

	notifiedUntil fleet.Time // time of the last call of notices
	windowStart   fleet.Time
	notified      int // violations with a notice since windowStart
	suppressed    int // violations without a notice since windowStart
}

// check decides whether a record is accepted. For an accepted one it prepares the base from which the increases of the
// source's counters are computed: the record itself for a new source or one that was untrusted, 0 after a restart.
func (v *recordValidator) check(now fleet.Time, s *source, record *Record) recordDecision {
	if s.untrustedUntil > now {
		v.untrusted++
		s.needsBase = true // increases while the source is untrusted never count
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

// precedes reports whether the record is not newer than the last one, by the source's clock.
func (r *Record) precedes(last *Record) bool {
	return r.Started < last.Started && r.Started > 0 || r.Stated > 0 && r.Stated <= last.Stated
}

// acceptBackwardClock reports whether a record precedes the last one because the source's clock was set back. A record
// that was overtaken by a newer one also has an earlier time, but no larger counters; so maxViolations consecutive
// records with an earlier time and larger counters are required.
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

// problem describes what makes the record invalid by itself. It returns "" for a valid record.
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

// counterProblem describes a counter that decreased or increased implausibly since the last record without a restart.
// It returns "" if there is none.
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

// violation records a violation. After maxViolations of them the source is untrusted for its distrust period.
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
		s.untrustedUntil = now + s.distrustPeriod
		entry.Until = s.untrustedUntil
	}
	v.add(entry)
}

func (v *recordValidator) add(entry Violation) {
	surplus := max(0, len(v.violations)+1-violationCapacity)
	v.violations = append(v.violations[surplus:], entry)
}

// isFirstOf reports whether entry is the oldest stored violation of its source.
func (v *recordValidator) isFirstOf(entry Violation) bool {
	for _, other := range v.violations {
		if other.Server == entry.Server {
			return other == entry
		}
	}
	return false
}

// notices returns notices of the violations since the last call: the first one of each source, and those that made a
// source untrusted. Their number is limited, so that many faulty sources don't fill the log.
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
