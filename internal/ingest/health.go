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
	// silentGaps times their mean gap.
	minSilence = 3 * fleet.Second
	silentGaps = 3

	// pollTimeout is how long a proxy may take to answer a poll before operators are notified.
	pollTimeout = 3 * fleet.Second

	// minSilentSources that fall silent together make our own network suspect.
	minSilentSources = 3

	// minJudgedAttempts is the number of attempts of which all failed that says something.
	minJudgedAttempts = 3

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
	case delta.Attempts >= minJudgedAttempts:
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
	cutOff := silent >= minSilentSources && 2*silent > reporting
	if cutOff == p.reportsCutOff {
		return
	}
	p.reportsCutOff = cutOff
	text := "reports come again"
	if cutOff {
		text = fmt.Sprintf("no reports come from %d of %d servers that answer: "+
			"the network path to this controller is down, their health is not judged by it", silent, reporting)
	}
	p.notices = append(p.notices, Notice{OfAll: true, Good: !cutOff, Text: text})
}

// updateHealth changes the verdict on a server once examinations agree on it.
func (p *Pipeline) updateHealth(server fleet.ServerID, s *source, now fleet.Time) {
	h := &s.health
	if !s.listed {
		*h = health{since: h.since}
		return
	}
	outcomes := s.recentOutcomes()
	verdict := p.judge(s, &outcomes, now)
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
	ownFault := p.reportsCutOff && (verdict == ReportsMissing || verdict == Unknown)
	h.notified = verdict != Healthy && !ownFault
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
	copy(s.servedAt[1:], s.servedAt[:])
	s.outcomes[0] = pollOutcomes{}
	s.servedAt[0] = s.served
}

func (s *source) silent(now fleet.Time) bool {
	return s.hasReported() && now-s.lastArrival >= max(minSilence, silentGaps*s.meanGap)
}

// judge returns the verdict by what still comes: reports of the server, outcomes of polls, and the server's own sums.
func (p *Pipeline) judge(s *source, outcomes *pollOutcomes, now fleet.Time) HealthVerdict {
	if outcomes.zoneWithoutAnswers() {
		return PartlyUnreachable
	}
	if s.silent(now) {
		return outcomes.verdictOnSilence()
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

// verdictOnSilence returns the verdict on a server that doesn't report.
func (o *pollOutcomes) verdictOnSilence() HealthVerdict {
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
	oldest := s.servedAt[examinationCount-1]
	return oldest > 0 && s.served > oldest+minJudgedAttempts
}

// describe returns the text of a notice.
func (h HealthVerdict) describe(outcomes *pollOutcomes, sinceReport fleet.Time) string {
	silence := sinceReport.Seconds()
	period := (examinationCount * examinationInterval).Seconds()
	switch h {
	case ReportsMissing:
		return fmt.Sprintf("no report for %.1f s, but it serves: %d of %d attempts succeeded in %.0f s; "+
			"its weight follows what proxies measure", silence, outcomes.attempts-outcomes.failures, outcomes.attempts, period)
	case Down:
		return fmt.Sprintf("no report for %.1f s, and %d of %d attempts failed in %.0f s: it is down",
			silence, outcomes.failures, outcomes.attempts, period)
	case Unknown:
		return fmt.Sprintf("no report for %.1f s, and no proxy sent requests: its health is unknown", silence)
	case Unreachable:
		return fmt.Sprintf("it reports, but all %d attempts failed in %.0f s: proxies can't reach it",
			outcomes.attempts, period)
	case PartlyUnreachable:
		return fmt.Sprintf("proxies of some zones get no answer, others do (%d of %d attempts failed)",
			outcomes.failures, outcomes.attempts)
	case UnpolledTraffic:
		return "it counts requests that no proxy here sends: they come from proxies that are not polled, or other clients"
	}
	return "reports and answers have resumed"
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
		text := "answers polls again"
		if late {
			text = fmt.Sprintf("has not answered its poll for %.1f s: its outcomes are unknown, those of others count",
				waited.Seconds())
		}
		p.notices = append(p.notices, Notice{Proxy: proxy.id, OfProxy: true, Good: !late, Text: text})
	}
	slices.SortStableFunc(p.notices, func(a, b Notice) int { return cmp.Compare(a.Proxy, b.Proxy) })
}
