package ingest

import (
	"cmp"
	"fmt"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// examinationInterval is the time between two examinations of all sources.
	examinationInterval = fleet.Second / 2

	// examinationCount is the number of examinations whose outcomes count, 3 s in all.
	examinationCount = 6

	// minAgreeing examinations in a row change a verdict: a single late report is no silence.
	minAgreeing = 2

	// minSilence without a report is silence, which is noticed within 4 s. For sources that report less often it is
	// silenceGapFactor times their mean gap.
	minSilence       = 3 * fleet.Second
	silenceGapFactor = 3

	// pollTimeout is how long a proxy may take to answer a poll before operators are notified.
	pollTimeout = 3 * fleet.Second

	// minSilentSources that fall silent together make our own network suspect.
	minSilentSources = 3

	// minConclusiveAttempts is the number of attempts of which all failed that says something.
	minConclusiveAttempts = 3

	// zoneBits is the width of a set of zones.
	zoneBits = 64
)

// HealthVerdict is what the silence of a server means, given what proxies measure there. docs/design/ingest.md has the
// table.
type HealthVerdict uint8

// The verdicts.
const (
	Healthy           HealthVerdict = iota
	ReportsMissing                  // its reports stopped, proxies get answers: its reporter failed
	Down                            // its reports stopped, and no proxy gets an answer
	Unknown                         // its reports stopped, and no proxy sends requests
	Unreachable                     // it reports, and no proxy gets an answer
	PartlyUnreachable               // the proxies of some zones get no answer, others do
	UnpolledTraffic                 // its sums grow, but no polled proxy sends requests
)

// String returns the name of the verdict that operators see.
func (h HealthVerdict) String() string {
	return [...]string{"well", "mute", "dead", "lost", "cut", "one-sided", "unwatched"}[h]
}

// health is the verdict on a server, and what may change it.
type health struct {
	verdict   HealthVerdict
	since     fleet.Time
	candidate HealthVerdict // of the latest examination
	agreeing  int           // examinations in a row with the candidate, after the first one
	notified  bool          // operators know of the fault
}

// pollOutcomes are what polls of proxies showed of a server.
type pollOutcomes struct {
	goodPolls uint32 // with successful attempts
	badPolls  uint32 // with failures only
	attempts  uint64
	failures  uint64
	goodZones uint64 // bits of the zones with good polls
	badZones  uint64
}

func (o *pollOutcomes) add(other *pollOutcomes) {
	o.goodPolls += other.goodPolls
	o.badPolls += other.badPolls
	o.attempts += other.attempts
	o.failures += other.failures
	o.goodZones |= other.goodZones
	o.badZones |= other.badZones
}

func (o *pollOutcomes) onlyFailures() bool { return o.goodPolls == 0 && o.badPolls > 0 }

// recordOutcome notes what a poll showed of a server.
func (p *Pipeline) recordOutcome(delta *CounterDelta) {
	s := p.source(delta.Server)
	s.polledAt = delta.At
	latest := &s.outcomes[0]
	latest.attempts += delta.Attempts
	latest.failures += delta.Failures
	zone := uint64(1) << (delta.Zone % zoneBits)
	switch {
	case delta.Failures < delta.Attempts:
		latest.goodPolls++
		latest.goodZones |= zone
	case delta.Attempts >= minConclusiveAttempts:
		latest.badPolls++
		latest.badZones |= zone
	}
}

// recentOutcomes adds up the outcomes that count.
func (s *source) recentOutcomes() (sum pollOutcomes) {
	for i := range s.outcomes {
		sum.add(&s.outcomes[i])
	}
	return sum
}

// Notice is a message for operators about a change.
type Notice struct {
	Server   fleet.ServerID
	Proxy    fleet.ProxyID
	OfProxy  bool // it is about Proxy
	OfAll    bool // it is about no single source
	OfSource bool // it is about what Server reports, not about a Verdict
	Verdict  HealthVerdict
	Good     bool // the fault is over
	Text     string
}

// Examine examines the sources, twice a second, and returns what has changed.
func (p *Pipeline) Examine(now fleet.Time) []Notice {
	p.advance(now)
	if now >= p.examinedAt+examinationInterval {
		p.examinedAt = now
		p.examine(now)
	}
	notices := append(p.notices, p.shedder.takeNotices()...)
	p.notices = nil
	return notices
}

func (p *Pipeline) examine(now fleet.Time) {
	p.examineReportPath(now)
	for i := range p.sources {
		s := &p.sources[i]
		p.updateHealth(fleet.ServerID(i), s, now)
		s.startExamination()
	}
	p.examineProxies(now)
	listed := func(server fleet.ServerID) bool { return p.source(server).listed }
	p.notices = append(p.notices, p.validator.notices(now, listed)...)
}

// examineReportPath detects that reports don't reach this controller: many reporters that fall silent while their
// servers answer have not all failed.
func (p *Pipeline) examineReportPath(now fleet.Time) {
	silent := 0
	reporting := 0
	for i := range p.sources {
		s := &p.sources[i]
		if !s.listed || !s.hasReported() {
			continue
		}
		reporting++
		if outcomes := s.recentOutcomes(); s.silent(now) && !outcomes.onlyFailures() {
			silent++
		}
	}
	pathDown := silent >= minSilentSources && 2*silent > reporting
	if pathDown == p.reportPathDown {
		return
	}
	p.reportPathDown = pathDown
	text := "load reports are arriving again"
	if pathDown {
		text = fmt.Sprintf("no load reports from %d of %d servers that still answer requests: "+
			"the network path to this controller is down; missing reports are not attributed to the servers",
			silent, reporting)
	}
	p.notices = append(p.notices, Notice{OfAll: true, Good: !pathDown, Text: text})
}

// updateHealth changes the verdict on a server once examinations agree on it.
func (p *Pipeline) updateHealth(server fleet.ServerID, s *source, now fleet.Time) {
	h := &s.health
	if !s.listed {
		*h = health{since: h.since}
		return
	}
	outcomes := s.recentOutcomes()
	verdict := p.evaluate(s, &outcomes, now)
	if verdict != h.candidate {
		h.candidate = verdict
		h.agreeing = 1
		return
	}
	h.agreeing++
	if h.agreeing < minAgreeing || verdict == h.verdict {
		return
	}
	h.verdict = verdict
	h.since = now
	before := h.notified
	causedByReportPath := p.reportPathDown && (verdict == ReportsMissing || verdict == Unknown)
	h.notified = verdict != Healthy && !causedByReportPath
	if h.notified || before {
		p.notices = append(p.notices, Notice{
			Server:  server,
			Verdict: verdict,
			Good:    verdict == Healthy,
			Text:    verdict.describe(&outcomes, now-s.lastArrival),
		})
	}
}

// startExamination begins a new part of the outcomes, and drops the oldest one.
func (s *source) startExamination() {
	copy(s.outcomes[1:], s.outcomes[:])
	copy(s.ownAttemptsHistory[1:], s.ownAttemptsHistory[:])
	s.outcomes[0] = pollOutcomes{}
	s.ownAttemptsHistory[0] = s.ownAttempts
}

func (s *source) silent(now fleet.Time) bool {
	return s.hasReported() && now-s.lastArrival >= max(minSilence, silenceGapFactor*s.meanGap)
}

// evaluate returns the verdict by what still comes: reports of the server, outcomes of polls, and the server's own sums.
func (p *Pipeline) evaluate(s *source, outcomes *pollOutcomes, now fleet.Time) HealthVerdict {
	if outcomes.zoneWithoutAnswers() {
		return PartlyUnreachable
	}
	if s.silent(now) {
		return outcomes.verdictWithoutReports()
	}
	if !s.hasReported() {
		return Healthy
	}
	if outcomes.onlyFailures() {
		return Unreachable
	}
	polled := outcomes.goodPolls > 0 || outcomes.badPolls > 0
	if !polled && p.site.Controllers < 2 && s.servesUnpolledTraffic() {
		return UnpolledTraffic
	}
	return Healthy
}

// zoneWithoutAnswers reports whether the proxies of some zone, but not of all, get no answers.
func (o *pollOutcomes) zoneWithoutAnswers() bool {
	return o.goodPolls > 0 && o.badPolls > 0 && o.badZones&^o.goodZones != 0
}

// verdictWithoutReports returns the verdict on a server that doesn't report.
func (o *pollOutcomes) verdictWithoutReports() HealthVerdict {
	switch {
	case o.goodPolls > 0:
		return ReportsMissing
	case o.badPolls > 0:
		return Down
	}
	return Unknown
}

// servesUnpolledTraffic reports whether the server's own sums have grown since the oldest examination.
func (s *source) servesUnpolledTraffic() bool {
	oldest := s.ownAttemptsHistory[examinationCount-1]
	return oldest > 0 && s.ownAttempts > oldest+minConclusiveAttempts
}

// describe returns the text of a notice.
func (h HealthVerdict) describe(outcomes *pollOutcomes, sinceReport fleet.Time) string {
	silence := sinceReport.Seconds()
	period := (examinationCount * examinationInterval).Seconds()
	switch h {
	case ReportsMissing:
		return fmt.Sprintf("no load report for %.1f s, but %d of %d attempts succeeded in the last %.0f s; "+
			"its weight is computed from proxy measurements",
			silence, outcomes.attempts-outcomes.failures, outcomes.attempts, period)
	case Down:
		return fmt.Sprintf("no load report for %.1f s, and %d of %d attempts failed in the last %.0f s",
			silence, outcomes.failures, outcomes.attempts, period)
	case Unknown:
		return fmt.Sprintf("no load report for %.1f s, and no proxy sent it requests; its health is unknown", silence)
	case Unreachable:
		return fmt.Sprintf("its load reports arrive, but all %d attempts failed in the last %.0f s; proxies cannot reach it",
			outcomes.attempts, period)
	case PartlyUnreachable:
		return fmt.Sprintf("all attempts from some zones fail, attempts from other zones succeed "+
			"(%d of %d attempts failed in the last %.0f s)", outcomes.failures, outcomes.attempts, period)
	case UnpolledTraffic:
		return "it counts requests that no polled proxy sent; they come from other clients, " +
			"or from proxies that this controller does not poll"
	}
	return "load reports and answers to requests are back to normal"
}

// examineProxies notifies of proxies that don't answer their polls, and of their return.
func (p *Pipeline) examineProxies(now fleet.Time) {
	for _, proxy := range p.proxies {
		waited := now - proxy.polledAt
		late := proxy.index == notInHeap && proxy.polledAt > 0 && waited > pollTimeout
		if late == proxy.reported {
			continue
		}
		proxy.reported = late
		text := "answers counter polls again"
		if late {
			text = fmt.Sprintf("has not answered a counter poll for %.1f s (limit %.0f s); "+
				"only the counters of other proxies are used", waited.Seconds(), pollTimeout.Seconds())
		}
		p.notices = append(p.notices, Notice{Proxy: proxy.id, OfProxy: true, Good: !late, Text: text})
	}
	slices.SortStableFunc(p.notices, func(a, b Notice) int { return cmp.Compare(a.Proxy, b.Proxy) })
}
