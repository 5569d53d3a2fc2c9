package ingest

import (
	"fmt"
	"strings"
	"testing"

	"cressknot/internal/fleet"
)

// When steps exceed their deadline, pushed reports are shed first and polls second. Both are restored when steps are
// short again.
func TestLongTurnsShedReportsAndPolls(t *testing.T) {
	const stepInterval = 100 * millisecond
	p := New(testSite())
	p.rowCount = 10 * maxRowsPerSecond
	var limits []int
	var periods, raisedAt []fleet.Time
	now := second
	for ; now < 4*second; now += stepInterval {
		p.StepEnded(now, 80*millisecond)
		records, rows := p.StepLimits()
		if n := len(limits); n == 0 || limits[n-1] != records {
			limits = append(limits, records)
			periods = append(periods, p.pollPeriod())
			raisedAt = append(raisedAt, now)
		}
		if rows != maxRowsPerStep {
			t.Errorf("limit of %d counter rows per step, want %d", rows, maxRowsPerStep)
		}
	}
	if fmt.Sprint(limits) != "[128 51 10]" {
		t.Fatalf("limits of pushed records per step: %v", limits)
	}
	if periods[0] != 10*second || periods[1] != 20*second || periods[2] != 40*second {
		t.Errorf("poll periods %v", periods)
	}
	if raisedAt[1]-raisedAt[0] < raiseInterval || raisedAt[2]-raisedAt[1] < raiseInterval {
		t.Errorf("level raised at %v", raisedAt)
	}
	for ; now < 30*second; now += stepInterval {
		p.StepEnded(now, millisecond)
	}
	level, misses, _ := p.SheddingLevel()
	notices := p.Examine(now)
	if level != 0 || misses != 30 || len(notices) != 6 ||
		!strings.Contains(notices[0].Text, "control loop steps took up to 80 ms (deadline 50 ms)") {
		t.Errorf("level %d, %d misses, %+v", level, misses, notices)
	}
}
