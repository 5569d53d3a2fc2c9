package ingest

import (
	"fmt"

	"cressknot/internal/fleet"
)

const (
	skewSlack     = 500 * fleet.Millisecond // a way may take so much longer than the shortest one
	skewTold      = 5 * fleet.Second        // a clock off by more is worth a line: orders by time would mislead staff
	strikesTold   = 10                      // lines about oddities within strikeFor
	strikesMost   = 3                       // oddities within strikeFor after which a source is not believed
	strikeFor     = 60 * fleet.Second
	distrustFirst = 30 * fleet.Second // by doubling, as long as it goes on
	distrustLast  = 600 * fleet.Second
	forgiveAfter  = 600 * fleet.Second // without any oddity the doubling begins anew
	gapWeight     = 0.2                // of the newest gap in the mean one
)

// verdict is what comes of a record.
type verdict uint8

const (
	taken verdict = iota
	stale         // older than what is held: repeated, or overtaken on its way
	disbelieved
)

// Trust decides which records are believed.
type Trust struct {
	Repeated, Odd, Unbelieved uint64
	strikes                   []Violation
	toldAt, toldFrom          fleet.Time // strikes up to then were told of; since when toldNow counts
	toldNow, untold           int
}

// Violation is one oddity of a source, for operators.
type Violation struct {
	At     fleet.Time
	Server fleet.ServerID
	Text   string
	Until  fleet.Time // not believed until then, 0: still believed
}

func newTrust() Trust { return Trust{} }

const strikesKept = 256 // for operators

// check says what comes of a record, and prepares the server's base: after a restart its sums begin anew.
func (t *Trust) check(now fleet.Time, s *standing, r *Record) verdict {
	if s.distrust > now {
		t.Unbelieved++
		s.rebase = true // what it says meanwhile is never counted
		return disbelieved
	}
	last := &s.last
	anew := s.pushed == 0 || s.rebase || r.Started > last.Started
	if !anew && (r.Started < last.Started && r.Started > 0 || r.Stated > 0 && r.Stated <= last.Stated) {
		// A clock set back looks the same once; if sums go on growing it is one.
		if r.Stated <= last.Stated && r.Started == last.Started && r.Attempts > last.Attempts {
			s.back++
		}
		if s.back < strikesMost {
			t.Repeated++
			return stale
		}
		t.strike(now, s, r.Server, fmt.Sprintf("its clock went back by %.1f s", (last.Stated-r.Stated).Seconds()))
		s.skewKnown = false
	}
	s.back = 0
	if why := impossibleIn(r); why != "" {
		t.strike(now, s, r.Server, why)
		return disbelieved
	}
	if !anew {
		if why := fell(last, r); why != "" {
			t.strike(now, s, r.Server, why)
			s.rebase = true // the next one is where counting starts
			return disbelieved
		}
	}
	if r.Stated > 0 {
		t.clock(now, s, r)
	}
	if s.pushed == 0 || s.rebase { // where counting starts
		s.last.Attempts, s.last.Failures = r.Attempts, r.Failures
	} else if r.Started > last.Started { // a restart that is told: all of it is new
		s.last.Attempts, s.last.Failures = 0, 0
	}
	s.rebase = false
	return taken
}

// impossibleIn names what can't be in any record.
func impossibleIn(r *Record) string {
	switch {
	case r.Failures > r.Attempts || r.Successes > r.Attempts:
		return fmt.Sprintf("it counts more failed (%d) or good (%d) visits than visits (%d)", r.Failures, r.Successes, r.Attempts)
	case r.Started > r.Stated && r.Stated > 0:
		return "it states a time before its start"
	}
	if r.HasLoad {
		for _, v := range r.Load {
			if !(v >= 0 && v < 1e9) { // NaN is neither
				return fmt.Sprintf("it tells a load of %v", v)
			}
		}
	}
	return ""
}

// fell names a counter that fell or jumped though no restart was told.
func fell(last, r *Record) string {
	for _, c := range [...]struct {
		name     string
		was, now uint64
	}{{"tries", last.Attempts, r.Attempts}, {"failed", last.Failures, r.Failures}, {"good", last.Successes, r.Successes}, {"good_ms", last.SuccessMillis, r.SuccessMillis}} {
		if c.now < c.was {
			return fmt.Sprintf("its counter %s fell from %d to %d without a restart", c.name, c.was, c.now)
		}
		if c.now-c.was > impossible {
			return fmt.Sprintf("its counter %s jumped from %d to %d", c.name, c.was, c.now)
		}
	}
	return ""
}

// clock learns how far a source's clock is off: the shortest difference seen between what it states and when that came
// holds the least of the way. A clock that jumps ahead shows at once, as nothing comes before it was sent.
func (t *Trust) clock(now fleet.Time, s *standing, r *Record) {
	off := r.Arrived - r.Stated
	switch {
	case !s.skewKnown:
		s.skew, s.skewKnown, s.slow = off, true, 0
	case off < s.skew:
		s.skew, s.slow = off, 0
	case off > s.skew+skewSlack: // late, or the clock was set back
		if r.Arrived-s.pushed < skewSlack { // many at once are late, whatever the clock says
			break
		}
		if s.slow++; s.slow >= strikesMost*2 {
			s.skew, s.slow = off, 0
		}
	default:
		s.slow = 0
	}
	if far := s.skew > skewTold || s.skew < -skewTold; far == s.skewTold {
		s.far = 0
	} else if s.far++; s.far >= strikesMost { // one late report is no clock
		if s.skewTold, s.far = far, 0; far {
			t.note(Violation{At: now, Server: r.Server, Text: fmt.Sprintf("its clock is off by %.1f s; its reports are aged by when they come", -s.skew.Seconds())})
		}
	}
}

func (t *Trust) note(s Violation) {
	t.strikes = append(t.strikes[max(0, len(t.strikes)+1-strikesKept):], s)
}

// strike counts an oddity; too many of them and the source is not believed for a while.
func (t *Trust) strike(now fleet.Time, s *standing, id fleet.ServerID, text string) {
	t.Odd++
	if now > s.struck+strikeFor {
		s.strikes = 0
	}
	if now > s.struck+forgiveAfter {
		s.doubled = 0
	}
	s.struck = now
	entry := Violation{At: now, Server: id, Text: text}
	if s.strikes++; s.strikes >= strikesMost {
		s.doubled = min(distrustLast, max(distrustFirst, 2*s.doubled))
		s.distrust, s.strikes = now+s.doubled, 0
		entry.Until = s.distrust
	}
	t.note(entry)
}

// gapOf follows how often a source reports.
func gapOf(mean, gap fleet.Time) fleet.Time {
	if mean == 0 {
		return gap
	}
	return mean + (gap - mean).Scale(gapWeight)
}
