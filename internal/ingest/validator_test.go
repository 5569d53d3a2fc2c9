package ingest

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"cressknot/internal/fleet"
)

// Increases of counters count from the second record on. Repeated and overtaken records are dropped, counters start
// from 0 after a stated restart, and a counter that decreases without a restart is a violation.
func TestSumsOfRecords(t *testing.T) {
	p := New(testSite())
	listAll(p, 2)
	for i := range 5 {
		at := fleet.Time(i+2) * second
		push(t, p, Record{Server: 1, Started: second, Stated: at, Arrived: at, Attempts: 100 * uint64(i+1)})
	}
	push(t, p, Record{Server: 1, Started: second, Stated: 4 * second, Attempts: 300}) // overtaken
	push(t, p, Record{Server: 1, Started: second, Stated: 6 * second, Attempts: 500}) // repeated
	s := p.source(1)
	if s.ownAttempts != 400 || p.validator.repeated != 2 || p.validator.invalid != 0 {
		t.Errorf("%d served, %d repeated, %d invalid", s.ownAttempts, p.validator.repeated, p.validator.invalid)
	}
	for i, attempts := range []uint64{30, 10, 15, 20} { // after a restart; the second one decreases
		at := fleet.Time(i+8) * second
		push(t, p, Record{Server: 1, Started: 7 * second, Stated: at, Arrived: at, Attempts: attempts})
	}
	if s.ownAttempts != 435 || p.validator.invalid != 1 {
		t.Errorf("%d served, %d invalid", s.ownAttempts, p.validator.invalid)
	}
	if text := noticeTexts(p.Examine(100 * second)); !strings.Contains(text, "1 counter tries decreased from 30 to 10") {
		t.Errorf("notices:\n%s", text)
	}
}

func noticeTexts(notices []Notice) string {
	var text strings.Builder
	for _, notice := range notices {
		fmt.Fprintf(&text, "%d %s\n", notice.Server, notice.Text)
	}
	return text.String()
}

func TestImpossibleRecordsAreRejected(t *testing.T) {
	p := New(testSite())
	listAll(p, 50)
	p.SetListed(3, true)
	for i, record := range []Record{
		{HasLoad: true, Load: [4]float32{float32(math.NaN())}},
		{HasLoad: true, Load: [4]float32{-1}},
		{Attempts: 1, Failures: 2},
		{HasLoad: true, Load: [4]float32{float32(math.Inf(1))}},
		{Attempts: 3, Successes: 4},
		{Started: 99 * second, Stated: 98 * second},
	} {
		record.Server = fleet.ServerID(2 + i)
		record.Arrived = 11 * second
		push(t, p, record)
		if p.source(record.Server).hasReported() || p.validator.invalid != uint64(1+i) {
			t.Errorf("%+v was accepted", record)
		}
	}
	text := noticeTexts(p.Examine(100 * second))
	for _, want := range []string{"2 load figure NaN", "4 counter failed (2)"} {
		if !strings.Contains(text, want) {
			t.Errorf("notices lack %q:\n%s", want, text)
		}
	}
	if strings.Contains(text, "\n3 ") {
		t.Errorf("notices of a server that is gone:\n%s", text)
	}
}

// Counter increases that a source reports while it is untrusted must never count, even once it is trusted again.
func TestSourceIsUntrustedAfterViolations(t *testing.T) {
	p := New(testSite())
	listAll(p, 50)
	push(t, p, Record{Server: 20, Arrived: 19 * second, Attempts: 3})
	for i := range maxViolations {
		push(t, p, Record{Server: 20, Arrived: fleet.Time(20+i) * second, Failures: 9})
	}
	push(t, p, Record{Server: 20, Arrived: 24 * second, Attempts: 5})
	until := p.UntrustedUntil(20)
	s := p.source(20)
	if until != 22*second+minDistrustPeriod || s.lastArrival != 19*second {
		t.Errorf("untrusted until %d, last arrival %d", until, s.lastArrival)
	}
	push(t, p, Record{Server: 20, Arrived: until + second, Attempts: 500})
	push(t, p, Record{Server: 20, Arrived: until + 2*second, Attempts: 507})
	if s.ownAttempts != 7 {
		t.Errorf("%d served", s.ownAttempts)
	}
	if text := noticeTexts(p.Examine(100 * second)); !strings.Contains(text, "ignored for 30 s") {
		t.Errorf("notices:\n%s", text)
	}
}

// The number of notices is bounded, so that many faulty sources do not flood the log; a later notice
// states how many were suppressed.
func TestNoticesOfViolationsAreBounded(t *testing.T) {
	p := New(testSite())
	listAll(p, 50)
	for server := range fleet.ServerID(4) {
		push(t, p, Record{Server: server, Arrived: 23 * second, Failures: 9})
	}
	if before := len(p.Examine(100 * second)); before != 4 {
		t.Errorf("%d notices", before)
	}
	for i := range fleet.ServerID(20) {
		push(t, p, Record{Server: 30 + i, Arrived: 101 * second, Failures: 9})
	}
	if count := len(p.Examine(102 * second)); count >= maxViolationNotices {
		t.Errorf("%d notices", count)
	}
	if later := fmt.Sprint(p.Examine(200 * second)); !strings.Contains(later, "more violations in load reports") {
		t.Errorf("later: %s", later)
	}
}
