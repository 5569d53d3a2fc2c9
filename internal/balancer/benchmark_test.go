package balancer

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"cressknot/internal/fleet"
)

// BenchmarkStep measures one second of simulated time: ten steps with 100 outcome reports and 100 demand reports each.
// All barriers are reached.
func BenchmarkStep(b *testing.B) {
	for _, serverCount := range []int{175, 350, 700, 1400} {
		b.Run(fmt.Sprint(serverCount), func(b *testing.B) {
			bench := newStepBenchmark(serverCount)
			for range 30 {
				bench.runSecond()
			}
			bench.longestStep = 0
			for b.Loop() {
				bench.runSecond()
			}
			b.ReportMetric(bench.longestStep.Seconds()*1000, "max-ms/step")
		})
	}
}

type stepBenchmark struct {
	rng         *rand.Rand
	site        fleet.Site
	balancer    *Balancer
	now         fleet.Time
	serverCount int
	events      []fleet.Event // for the next step
	longestStep time.Duration
}

func newStepBenchmark(serverCount int) *stepBenchmark {
	rng := rand.New(rand.NewSource(3))
	site := testSite(rng)
	site.ProxyCount = serverCount * 93 / 70
	site.MinServerConnections = 0
	site.EntriesPerSecond = 15000
	site.MaxBacklog = 30000
	site.ReportInterval = fleet.Second
	site.ReportsPerSecond = 1000
	site.MaxMessages = 0
	site.ListOnRequest = false
	bench := &stepBenchmark{
		rng:         rng,
		site:        site,
		balancer:    New(site, 5),
		now:         simulationStart,
		serverCount: serverCount,
	}
	bench.addFleet()
	return bench
}

// addFleet adds the events that list all servers and let all proxies join.
func (s *stepBenchmark) addFleet() {
	list := fleet.EndpointList{Scope: fleet.ListFull}
	for i := range s.serverCount {
		list.Endpoints = append(list.Endpoints, fleet.Endpoint{
			Server: fleet.ServerID(i),
			Zone:   fleet.ZoneID(i % 2),
			Weight: 1,
		})
	}
	s.events = append(s.events, list)
	for i := range s.site.ProxyCount {
		s.events = append(s.events, fleet.ProxyJoined{
			Proxy:       fleet.ProxyID(i),
			Zone:        fleet.ZoneID(i % 2),
			RequestRate: 9,
			Fresh:       true,
		})
	}
}

func (s *stepBenchmark) runSecond() {
	for range 10 {
		s.now += 100 * fleet.Millisecond
		for range 100 {
			s.addReports()
		}
		began := time.Now()
		orders := s.balancer.Step(s.now, s.events)
		s.longestStep = max(s.longestStep, time.Since(began))
		s.events = s.events[:0]
		for _, order := range orders {
			if barrier, isBarrier := order.(fleet.Barrier); isBarrier {
				s.events = append(s.events, fleet.BarrierReached{Barrier: barrier.ID, Delay: s.site.MeanUpdateDelay})
			}
		}
	}
}

// addReports adds a report of the outcomes at a server and one of the demand at a proxy.
func (s *stepBenchmark) addReports() {
	s.events = append(s.events, fleet.OutcomeReport{
		Server:   fleet.ServerID(s.rng.Intn(s.serverCount)),
		Zone:     fleet.ZoneID(s.rng.Intn(2)),
		Attempts: 9,
		Interval: fleet.Second,
		Latency:  200 * fleet.Millisecond,
		Load:     []float32{0, 0.3 + s.rng.Float32()/3},
	})
	s.events = append(s.events, fleet.DemandReport{
		Proxy:    fleet.ProxyID(s.rng.Intn(s.site.ProxyCount)),
		Class:    fleet.ClassID(s.rng.Intn(3)),
		Requests: 3,
		Interval: fleet.Second,
	})
}
