package ingest

import (
	"fmt"
	"strings"
	"testing"

	"cressknot/internal/fleet"
)

// clockOffset is the offset by which the clock of the tested source is ahead.
const clockOffset = 90 * second

// clockRun is a pipeline with a proxy and a source whose clock is ahead.
type clockRun struct {
	pipeline *Pipeline
	proxy    *fakeProxy
}

func newClockRun() *clockRun {
	r := &clockRun{pipeline: New(testSite()), proxy: newFakeProxy()}
	r.pipeline.UsePushedLoads()
	r.pipeline.SetListed(1, false)
	r.pipeline.Join(0, 1, 0, true)
	return r
}

// push pushes a load that arrives at now and was measured at taken.
func (r *clockRun) push(now, taken fleet.Time) {
	r.pipeline.AddRecord(now, Record{
		Server: 1, Stated: taken + clockOffset, Arrived: now, HasLoad: true, Load: [4]float32{0.5}})
}

// reportedLoads returns the number of outcome reports with a load. It fails the test if a load is reported without
// attempts.
func (r *clockRun) reportedLoads(t *testing.T, now fleet.Time) (count int) {
	t.Helper()
	r.proxy.attempt(1, 5, 0)
	r.pipeline.AddReading(now, 1, r.proxy.reading(now))
	events, _ := r.pipeline.Reports(now)
	for _, event := range events {
		switch event := event.(type) {
		case fleet.ProbeResult:
			t.Errorf("%+v reports a load without attempts", event)
		case fleet.OutcomeReport:
			if len(event.Load) == 0 {
				continue
			}
			count++
			if event.Load[0] != 0.5 {
				t.Errorf("reported load %v, want 0.5", event.Load)
			}
		}
	}
	return count
}

func (r *clockRun) age(server fleet.ServerID, now fleet.Time) fleet.Time {
	return r.pipeline.source(server).age(now)
}

// The age of a report is computed from its stated time and the estimated clock offset, so that a source whose clock is
// off is not ignored. A load that is late by that clock is reported neither as a current one nor as idleness, and a
// minute of late records that arrive at once does not change the estimate.
func TestAgesFollowTheSourcesClock(t *testing.T) {
	r := newClockRun()
	now := 100 * second
	r.reportedLoads(t, now)
	for range 5 {
		now += second
		r.push(now, now-20*millisecond)
		if r.reportedLoads(t, now) != 1 {
			t.Errorf("a current load is not reported at %d", now/second)
		}
	}
	const late = 60
	arrival := now + late*second
	for i := range late {
		r.push(arrival, now+fleet.Time(i)*second)
		seconds := late - i
		age := r.age(1, arrival)
		reported := r.reportedLoads(t, arrival+fleet.Time(i)*millisecond) > 0
		if reported && seconds > maxLoadPeriods+1 || age < fleet.Time(seconds-1)*second {
			t.Errorf("a load %d s old has the age %.1f s, reported %v", seconds, age.Seconds(), reported)
		}
	}
	notices := fmt.Sprint(r.pipeline.Examine(now + 61*second))
	if !strings.Contains(notices, "clock is off by 90.0 s") {
		t.Errorf("notices: %s", notices)
	}
	for i := range 9 { // the clock is corrected backwards
		at := now + 62*second + fleet.Time(i)*second
		r.pipeline.AddRecord(at, Record{
			Server: 1, Stated: at + clockOffset - 85*second, Arrived: at, Attempts: uint64(i + 1), HasLoad: true})
	}
	if age := r.age(1, now+70*second); age > second {
		t.Errorf("after the clock was corrected, the report has the age %.1f s", age.Seconds())
	}
}

// The first record of a source is late. The estimate must follow the smallest delay, and a single late record must not
// be taken for a clock that is off.
func TestLateFirstRecordIsNoClockOffset(t *testing.T) {
	p := New(testSite())
	const start = 100 * second
	for i, late := range []fleet.Time{10 * second, 0, 0, 10 * second} {
		at := start + fleet.Time(i)*20*second
		p.AddRecord(at, Record{Server: 2, Stated: at - late, Arrived: at})
		if age := p.source(2).age(at); i > 0 && age != late {
			t.Errorf("a record with a delay of %.0f s has the age %.1f s", late.Seconds(), age.Seconds())
		}
	}
	if violations := p.validator.violations; len(violations) > 0 {
		t.Errorf("violations although the clock is right: %+v", violations)
	}
}
