package ingest

import (
	"fmt"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
)

// Readings after an undetected restart of a proxy, or with a counter that increases implausibly, must add no attempts.
func TestResetCountersAddNothing(t *testing.T) {
	p := New(testSite())
	p.Join(second, 1, 0, true)
	proxy := newFakeProxy()
	for i, count := range []uint64{100, 40, 60, 1 << 62, 80, 90} {
		proxy.servers[2] = counters.ServerCounters{Attempts: count, Failures: count}
		at := fleet.Time(i+2) * second
		p.AddReading(at, 1, proxy.reading(at))
	}
	if p.Resets() != 3 || p.totals.Counted != 30 {
		t.Errorf("%d resets, %d counted", p.Resets(), p.totals.Counted)
	}
}

// A proxy that rejoins after a minute brings the counters of that minute at once. They must be reported at their actual
// rate instead of as a surge; the attempts beyond the counted interval are aged.
func TestLateCountersAreNoSurge(t *testing.T) {
	p := New(testSite())
	proxy := newFakeProxy()
	p.Join(0, 1, 0, true)
	now := fleet.Time(0)
	for range 10 {
		now += second
		proxy.attempt(1, 10, 0)
		p.AddReading(now, 1, proxy.reading(now))
		p.Reports(now)
	}
	p.Leave(1)
	proxy.attempt(1, 600, 300)
	now += 60 * second
	p.Join(now, 1, 0, false)
	p.AddReading(now, 1, proxy.reading(now))
	reports := outcomeReports(p, now)
	if len(reports) == 0 {
		t.Fatal("nothing was reported")
	}
	report := reports[0]
	if rate := attemptRate(report); rate < 5 || rate > 15 || report.Failures*2 != report.Attempts || p.totals.Aged < 500 {
		t.Errorf("report %+v has %.1f attempts per second; totals %+v", report, rate, p.totals)
	}
}

// Five proxies send two attempts per second each to a server, and are polled at different times. Each report, from the
// first one on, must have the rate of all of them. A rate that includes only some of the proxies misleads the balancer
// after a start.
func TestRateIsRightFromTheFirstReport(t *testing.T) {
	site := testSite()
	site.ReportsPerSecond = 500
	p := New(site)
	var proxies [5]*fakeProxy
	for i := range proxies {
		proxies[i] = newFakeProxy()
		p.Join(0, fleet.ProxyID(i), 0, true)
	}
	count := 0
	const step = second / 10
	for now := fleet.Time(0); now < 20*second; now += step {
		polls, _ := p.Polls(now)
		for i := range proxies {
			if (now/step+fleet.Time(i))%5 == 0 {
				proxies[i].attempt(1, 1, 0)
			}
		}
		for _, id := range polls {
			p.AddReading(now, id, proxies[id].reading(now))
		}
		for _, report := range outcomeReports(p, now) {
			count++
			if rate := attemptRate(report); rate < 9 || rate > 11 {
				t.Errorf("at %.1f s: report %+v has %.1f attempts per second, want 10", now.Seconds(), report, rate)
			}
		}
	}
	if count < 15 {
		t.Errorf("%d reports", count)
	}
}

// Outcomes that change continuously are reported about once per period, and the intervals of the reports are
// contiguous.
func TestOutcomesAreReportedOnceAPeriod(t *testing.T) {
	p := New(testSite())
	proxy := newFakeProxy()
	p.Join(0, 1, 0, true)
	count := 0
	covered := fleet.Time(0)
	for now := second; now < 11*second; now += second / 10 {
		proxy.attempt(1, 1, 0)
		p.AddReading(now, 1, proxy.reading(now))
		for _, report := range outcomeReports(p, now) {
			count++
			covered += report.Interval
		}
	}
	if count < 10 || count > 14 || covered < 9*second || covered > 10*second {
		t.Errorf("%d reports that cover %.1f s", count, covered.Seconds())
	}
}

// BenchmarkPolled measures adding a row of a reading, including the resulting reports.
func BenchmarkPolled(b *testing.B) {
	for _, servers := range []int{350, 700, 1400} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			const proxies = 930
			site := testSite()
			site.ReportsPerSecond = 500
			p := New(site)
			for i := range proxies {
				p.Join(0, fleet.ProxyID(i), 0, true)
			}
			reading := counters.NewReading(2)
			for server := range servers {
				reading.Row(fleet.ServerID(server))
			}
			now := second
			rounds := 0
			round := func() {
				now += millisecond
				reading.At = now
				for i := range reading.Rows {
					reading.Rows[i].Attempts = uint64(rounds)
					reading.Rows[i].Successes = uint64(rounds)
				}
				p.AddReading(now, fleet.ProxyID(rounds%proxies), reading)
				rounds++
				if rounds%10 == 0 {
					p.Reports(now)
				}
			}
			for range 2000 {
				round()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := 0; n < b.N; n += servers {
				round()
			}
		})
	}
}
