package ingest

import (
	"fmt"

	"cressknot/internal/fleet"
)

const (
	// stepDeadline bounds a turn of the control loop: ordinary decisions have seconds, urgent ones have not.
	stepDeadline = 50 * fleet.Millisecond

	// raiseInterval is the least time between two raises of the level, until the effect of the first one shows.
	raiseInterval = fleet.Second

	// calmDuration without a missed deadline lowers the level.
	calmDuration = 5 * fleet.Second

	// maxRecordsPerStep takes all of a fleet in two turns.
	maxRecordsPerStep = 512

	// maxRowsPerStep of counters take some 5 ms.
	maxRowsPerStep = 100_000
)

// sheddingLevels are what remains at each level. Pushed reports are shed first, then polls, and orders never.
var sheddingLevels = [...]struct {
	pushed, polls float64
	text          string
}{
	{1, 1, "all load reports are accepted"},
	{0.25, 1, "pushed load reports are reduced to 25 %"},
	{0.1, 0.5, "pushed load reports are reduced to 10 %, counter polls to 50 %"},
	{0.02, 0.25, "pushed load reports are reduced to 2 %, counter polls to 25 %"},
}

// loadShedder reduces what is taken in so that turns meet their deadline.
type loadShedder struct {
	level     int
	missedAt  fleet.Time // the latest missed deadline
	changedAt fleet.Time
	misses    uint64
	longest   fleet.Time // turn since the last change
	notices   []Notice
}

// TurnEnded takes in the duration of a turn.
func (p *Pipeline) TurnEnded(now, duration fleet.Time) { p.shedder.stepEnded(now, duration) }

// TurnLimits returns how many pushed records and rows of counters the next turn may take.
func (p *Pipeline) TurnLimits() (records, rows int) {
	share := sheddingLevels[p.shedder.level].pushed
	return max(1, int(maxRecordsPerStep*share)), maxRowsPerStep
}

// Shedding returns the level of shedding, the number of missed deadlines, and what the level means.
func (p *Pipeline) Shedding() (level int, misses uint64, text string) {
	return p.shedder.level, p.shedder.misses, sheddingLevels[p.shedder.level].text
}

func (s *loadShedder) stepEnded(now, duration fleet.Time) {
	if duration <= stepDeadline {
		if s.level > 0 && now >= max(s.missedAt, s.changedAt)+calmDuration {
			s.setLevel(now, s.level-1)
		}
		return
	}
	s.misses++
	s.missedAt = now
	s.longest = max(s.longest, duration)
	mayRaise := s.changedAt == 0 || now >= s.changedAt+raiseInterval
	if mayRaise && s.level < len(sheddingLevels)-1 {
		s.setLevel(now, s.level+1)
	}
}

func (s *loadShedder) setLevel(now fleet.Time, level int) {
	text := sheddingLevels[level].text
	if level > s.level {
		text = fmt.Sprintf("control loop steps took up to %.0f ms (deadline %.0f ms): %s",
			milliseconds(s.longest), milliseconds(stepDeadline), text)
	}
	s.notices = append(s.notices, Notice{OfAll: true, Good: level < s.level, Text: text})
	s.level = level
	s.changedAt = now
	s.longest = 0
}

func milliseconds(t fleet.Time) float64 { return float64(t) / float64(fleet.Millisecond) }

func (s *loadShedder) takeNotices() []Notice {
	notices := s.notices
	s.notices = nil
	return notices
}

// pollShare is the part of the polls that remains.
func (s *loadShedder) pollShare() float64 { return sheddingLevels[s.level].polls }
