package ingest

import (
	"cmp"
	"fmt"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// examinationInterval is the time between two health examinations of all sources.
	examinationInterval = fleet.Second / 2

	// examinationCount is the number of latest examinations whose outcomes are evaluated: a window of 3 s.
	examinationCount = 6

	// minAgreeing is the number of consecutive examinations with the same result that change a verdict, so that a
	// single late report does not.
	minAgreeing = 2

	// A source is silent after minSilence without a report, so that silence is detected within 4 s; a source that
	// reports less often is silent after silenceGapFactor times its mean gap between reports.
	minSilence       = 3 * fleet.Second
	silenceGapFactor = 3

	// pollTimeout is the time without an answer to a poll after which operators are notified.
	pollTimeout = 3 * fleet.Second

	// minSilentSources is the least number of sources that are silent at once from which the controller's own network
	// is suspected.
	minSilentSources = 3

	// minConclusiveAttempts is the least number of attempts from which a poll with failures only counts as bad.
	minConclusiveAttempts = 3

	// zoneBits is the number of bits in a set of zones.
	zoneBits = 64
)

// HealthVerdict is the health of a server, concluded from its load reports and from the outcomes that proxies measure.
// docs/design/ingest.md has the table.
type HealthVerdict uint8

// The verdicts.
const (
	Healthy           HealthVerdict = iota
	ReportsMissing                  // no reports, attempts succeed: its reporter failed
	Down                            // no reports, all attempts fail
	Unknown                         // no reports, no attempts
	Unreachable                     // it reports, all attempts fail
	PartlyUnreachable               // all attempts from some zones fail, those from others succeed
	UnpolledTraffic                 // its own counters grow, but no polled proxy sends requests
)

// String returns the name of the verdict in operators' answers and notices.
func (h HealthVerdict) String() string {
	return [...]string{"well", "mute", "dead", "lost", "cut", "one-sided", "unwatched"}[h]
}

// health holds the verdict on a server and the state that leads to the next one.
type health struct {
	verdict   HealthVerdict
	since     fleet.Time
	candidate HealthVerdict // result of the latest examination
	agreeing  int           // consecutive examinations with the candidate
	notified  bool          // operators were notified of the fault
}

// pollOutcomes sums up the outcomes of attempts at a server, as measured by polls of proxies.
type pollOutcomes struct {
	goodPolls uint32 // polls with successful attempts
	badPolls  uint32 // polls with at least minConclusiveAttempts, all of which failed
	attempts  uint64
	failures  uint64
	goodZones uint64 // bit set of the zones with good polls
	badZones  uint64 // bit set of the zones with bad polls
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

// recordOutcome adds the outcomes that a poll measured at a server to the current examination.
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

// recentOutcomes returns the sum of the outcomes of the last examinationCount examinations.
func (s *source) recentOutcomes() (sum pollOutcomes) {
	for i := range s.outcomes {
		sum.add(&s.outcomes[i])
	}
	return sum
}

// Notice tells operators about a change. It concerns the verdict on Server unless one of the Of flags is set.
type Notice struct {
	Server   fleet.ServerID
	Proxy    fleet.ProxyID
	OfProxy  bool // concerns Proxy
	OfAll    bool // concerns no single server or proxy
	OfSource bool // concerns the load reports of Server, not its Verdict
	Verdict  HealthVerdict
	Good     bool // reports an improvement
	Text     string
}

// Examine examines the health of all sources if an examination is due, and returns the notices since the last call.
// Examinations are due twice a second.
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

// examineReportPath detects that reports don't reach this controller: when most sources are silent at once while their
// servers answer, a network fault is more likely than a failure of all reporters.
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

// updateHealth changes the verdict on a server after minAgreeing examinations with the same result, and adds a notice.
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

// startExamination begins collecting outcomes for the next examination, and drops those of the oldest one.
func (s *source) startExamination() {
	copy(s.outcomes[1:], s.outcomes[:])
	copy(s.ownAttemptsHistory[1:], s.ownAttemptsHistory[:])
	s.outcomes[0] = pollOutcomes{}
	s.ownAttemptsHistory[0] = s.ownAttempts
}

func (s *source) silent(now fleet.Time) bool {
	return s.hasReported() && now-s.lastArrival >= max(minSilence, silenceGapFactor*s.meanGap)
}

// evaluate returns the verdict on a server from its reports, the outcomes of polls and the server's own counters.
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

// zoneWithoutAnswers reports whether all attempts from some zone fail while attempts from other zones succeed.
func (o *pollOutcomes) zoneWithoutAnswers() bool {
	return o.goodPolls > 0 && o.badPolls > 0 && o.badZones&^o.goodZones != 0
}

// verdictWithoutReports returns the verdict on a silent server.
func (o *pollOutcomes) verdictWithoutReports() HealthVerdict {
	switch {
	case o.goodPolls > 0:
		return ReportsMissing
	case o.badPolls > 0:
		return Down
	}
	return Unknown
}

// servesUnpolledTraffic reports whether the server's own count of attempts has grown since the oldest examination.
func (s *source) servesUnpolledTraffic() bool {
	oldest := s.ownAttemptsHistory[examinationCount-1]
	return oldest > 0 && s.ownAttempts > oldest+minConclusiveAttempts
}

// describe returns the text of a notice about a new verdict.
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

// examineProxies adds notices about proxies that stop or resume answering their polls.
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
