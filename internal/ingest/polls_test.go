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
	atOnce  int // largest number of polls at a time
}

const (
	pollSeconds = 40
	pollProxies = 930
)

// runPolls polls proxies that answer with the given number of rows, or do not answer if it is 0.
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

// Polls must be spread evenly over the period, and a proxy must not be polled again before it has answered. If the rows
// exceed maxRowsPerSecond, the period grows, and proxies of each zone are still polled in each second.
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
				t.Errorf("%d polls at once, an even spread would be 10; %d proxies polled", counts.atOnce, len(counts.byProxy))
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

// A proxy that answers late keeps its phase in the period instead of being polled again at once. Otherwise the polls of
// all proxies would coincide after a stall.
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
