package ingest

import (
	"fmt"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
)

// pollCounts counts polls by proxy, and by zone and second.
type pollCounts struct {
	byProxy map[fleet.ProxyID]int
	byZone  [2][pollSeconds]int
	atOnce  int // most at a time
}

const (
	pollSeconds = 40
	pollProxies = 930
)

// runPolls polls proxies that answer with so many rows, or not at all with 0.
func runPolls(rows int) pollCounts {
	p := New(testSite())
	newFakeProxies(p, pollProxies)
	counts := pollCounts{byProxy: map[fleet.ProxyID]int{}}
	for now := fleet.Time(0); now < pollSeconds*second; now += 10 * millisecond {
		polls, _ := p.Polls(now)
		counts.atOnce = max(counts.atOnce, len(polls))
		for _, id := range polls {
			counts.byProxy[id]++
			counts.byZone[id%2][now/second]++
			if rows > 0 {
				answerPoll(p, id, now, rows)
			}
		}
	}
	return counts
}

func answerPoll(p *Pipeline, id fleet.ProxyID, now fleet.Time, rows int) {
	reading := counters.NewReading(2)
	reading.At = now
	for server := range rows {
		reading.Row(fleet.ServerID(server)).Attempts = uint64(now / second)
	}
	p.AddReading(now, id, reading)
	reading.Release()
}

// Proxies are polled evenly over the period, and none twice before its answer. With more rows than may be requested the
// period grows, and each zone is still polled in each second.
func TestPollsAreSpreadOverThePeriod(t *testing.T) {
	for _, test := range []struct {
		rows     int
		minPolls int // of each proxy
		maxPolls int
	}{
		{rows: 0, minPolls: 1, maxPolls: 1},
		{rows: 700, minPolls: 25, maxPolls: 40},
	} {
		t.Run(fmt.Sprint(test.rows), func(t *testing.T) {
			counts := runPolls(test.rows)
			if counts.atOnce > 20 || len(counts.byProxy) != pollProxies {
				t.Errorf("%d polls at once, evenly it would be 10; %d proxies polled", counts.atOnce, len(counts.byProxy))
			}
			for id, polls := range counts.byProxy {
				if polls < test.minPolls || polls > test.maxPolls {
					t.Errorf("proxy %d was polled %d times", id, polls)
				}
			}
			for zone := range counts.byZone {
				for at, polls := range counts.byZone[zone] {
					if test.rows > 0 && at > 2 && polls < 200 {
						t.Errorf("in second %d only %d proxies of zone %d were polled", at, polls, zone)
					}
				}
			}
		})
	}
}

// A proxy that answers late is polled again at its place in the period, not at once.
func TestLateAnswerKeepsThePlaceInThePeriod(t *testing.T) {
	p := New(testSite())
	p.Join(0, 1, 0, true)
	var polledAt []fleet.Time
	for now := fleet.Time(0); now < 30*second; now += 10 * millisecond {
		if n := len(polledAt); n > 0 && now == polledAt[n-1]+1300*millisecond {
			p.AddReading(now, 1, newFakeProxy().reading(now))
		}
		if polls, _ := p.Polls(now); len(polls) > 0 {
			polledAt = append(polledAt, now)
		}
	}
	if len(polledAt) != 15 || polledAt[14] != 28*second {
		t.Errorf("polled %d times in 30 s: %v", len(polledAt), polledAt)
	}
}
