package ingest

import (
	"fmt"

	"cressknot/internal/fleet"
)

const (
	// stepDeadline is the longest duration of a step of the control loop without shedding. Ordinary decisions may take
	// seconds, but urgent ones must not wait for a long step.
	stepDeadline = 50 * fleet.Millisecond

	// raiseInterval is the least time between two raises of the level, so that the first one takes effect.
	raiseInterval = fleet.Second

	// calmDuration is the time without a missed deadline after which the level is lowered.
	calmDuration = 5 * fleet.Second

	// maxRecordsPerStep suffices for the records of a whole fleet in two steps.
	maxRecordsPerStep = 512

	// maxRowsPerStep is the largest number of counter rows in a step; they take about 5 ms.
	maxRowsPerStep = 100_000
)

// sheddingLevels are the fractions of pushed reports and polls that remain at each level. Pushed reports are shed
// first, then polls; orders are never shed.
var sheddingLevels = [...]struct {
	pushed, polls float64
	text          string
}{
	{1, 1, "all load reports are accepted"},
	{0.25, 1, "pushed load reports are reduced to 25 %"},
	{0.1, 0.5, "pushed load reports are reduced to 10 %, counter polls to 50 %"},
	{0.02, 0.25, "pushed load reports are reduced to 2 %, counter polls to 25 %"},
}

// loadShedder reduces the input of the control loop so that steps meet stepDeadline.
type loadShedder struct {
	level     int
	missedAt  fleet.Time // the latest missed deadline
	changedAt fleet.Time
	misses    uint64
	longest   fleet.Time // longest late step since the level changed
	notices   []Notice
}

// StepEnded adapts the shedding level to the duration of a step of the control loop. It is called after each step.
func (p *Pipeline) StepEnded(now, duration fleet.Time) { p.shedder.stepEnded(now, duration) }

// StepLimits returns the largest numbers of pushed records and counter rows that the next step may process.
func (p *Pipeline) StepLimits() (records, rows int) {
	share := sheddingLevels[p.shedder.level].pushed
	return max(1, int(maxRecordsPerStep*share)), maxRowsPerStep
}

// SheddingLevel returns the shedding level (0: none), the number of missed deadlines since the start, and a description
// of the level for operators.
func (p *Pipeline) SheddingLevel() (level int, misses uint64, text string) {
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

// pollShare returns the fraction of polls that remains at the current level.
func (s *loadShedder) pollShare() float64 { return sheddingLevels[s.level].polls }
