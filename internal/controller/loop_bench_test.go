package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// BenchmarkLoop runs a core without sockets for fleets of several sizes. Each iteration is a simulated second with
// polls of all proxies, 1,000 reports and answers to all messages. It reports the durations of all steps and of those
// in which the balancer took a step.
func BenchmarkLoop(b *testing.B) {
	for _, size := range [][2]int{{175, 232}, {350, 465}, {700, 930}, {1400, 1860}} {
		b.Run(fmt.Sprintf("servers=%d/proxies=%d", size[0], size[1]), func(b *testing.B) {
			servers := size[0]
			proxies := size[1]
			site := fleet.Site{
				Zones:                []string{"a", "b", "c", "d"},
				Controllers:          1,
				ProxyCount:           proxies,
				EntriesPerSecond:     15000,
				MessageOverhead:      6,
				MaxBacklog:           30000,
				MeanUpdateDelay:      50 * fleet.Millisecond,
				MaxUpdateDelay:       500 * fleet.Millisecond,
				ReportInterval:       fleet.Second,
				ReportsPerSecond:     1000,
				MaxUnservedDuration:  5 * fleet.Second,
				SlowStart:            fleet.SlowStart{InitialFraction: 0.2, Duration: 15 * fleet.Second},
				RecoveryRamp:         fleet.RecoveryRamp{OverloadFactor: 3, Duration: 2 * fleet.Second},
				DrainTimeout:         3 * fleet.Second,
				LoadReports:          fleet.LoadReportInline,
				ProxyOutlierFailures: 3,
				LoadFields:           []fleet.LoadField{fleet.LoadFieldUtilization},
				Classes: []fleet.RequestClass{
					{PriorityWeight: 3, LatencyObjective: fleet.Second, Deadline: 4 * fleet.Second},
					{
						PriorityWeight:      2,
						LatencyObjective:    fleet.Second,
						Deadline:            4 * fleet.Second,
						Idempotency:         fleet.IdempotentWithKey,
						DeduplicationWindow: 5 * fleet.Second,
					},
					{
						PriorityWeight:   2,
						LatencyObjective: 2 * fleet.Second,
						Deadline:         6 * fleet.Second,
						Idempotency:      fleet.NotIdempotent,
					}},
			}
			names := NewServerNames()
			var all []transport.Proxy
			for i := range proxies {
				all = append(all, transport.Proxy{
					ID:          fleet.ProxyID(i),
					Name:        fmt.Sprint("p", i),
					Zone:        fleet.ZoneID(i % 4),
					RequestRate: 3,
				})
			}
			core := NewCore(CoreOptions{Site: site, Seed: 1, Proxies: all, Names: names, SafetyChecks: true})
			now := 1000 * fleet.Second
			list := discovery.EndpointList{Revision: 1}
			for i := range servers {
				list.Endpoints = append(list.Endpoints, discovery.Endpoint{
					Name: fmt.Sprint("s", i),
					Addr: "x:1",
					Zone: site.Zones[i%4],
				})
			}
			inputs := []Input{EndpointUpdate{Scope: fleet.ListFull, List: list}}
			serverRows := make([][]counters.ServerCounters, proxies)
			classes := make([][]counters.ClassCounters, proxies)
			for i := range proxies {
				snapshot := reconcile.Snapshot{Zone: fleet.ZoneID(i % 4), RequestRate: 3, Fresh: true}
				inputs = append(inputs, connected(fleet.ProxyID(i), snapshot))
				serverRows[i] = make([]counters.ServerCounters, servers)
				classes[i] = make([]counters.ClassCounters, 3)
			}
			rng := rand.New(rand.NewPCG(1, 1))
			stepDurations := hdrhistogram.New(1000, int64(time.Minute), 3)
			decisionDurations := hdrhistogram.New(1000, int64(time.Minute), 3)
			step := func() {
				startedAt := time.Now()
				out := core.Step(now, inputs)
				duration := time.Since(startedAt).Nanoseconds()
				_ = stepDurations.RecordValue(max(1000, duration))
				if out.BalancerStepped {
					_ = decisionDurations.RecordValue(max(1000, duration))
				}
				inputs = inputs[:0]
				for _, m := range out.Messages {
					inputs = append(inputs, answered(m))
				}
				for _, id := range out.Polls {
					for range 9 { // requests of one second
						s := fleet.ServerID(rng.IntN(servers))
						row := &serverRows[id][s]
						row.Attempts++
						row.Successes++
						row.SuccessMillis += 200
						row.HasLoad = true
						row.Load[0] = 0.4 + 0.3*rng.Float32()
						classes[id][rng.IntN(3)].Requests++
					}
					reading := counters.NewReading(3)
					reading.At = now
					copy(reading.Classes, classes[id])
					for s, row := range serverRows[id] {
						reading.Row(fleet.ServerID(s)).ServerCounters = row
					}
					inputs = append(inputs, CountersPolled{Proxy: id, Stream: 1, Reading: reading})
				}
				now = max(now+fleet.Millisecond, min(out.NextStep, now+10*fleet.Millisecond))
			}
			runSecond := func() {
				for end := now + fleet.Second; now < end; {
					step()
				}
			}
			for range 30 { // until all tables are sent
				runSecond()
			}
			stepDurations.Reset()
			decisionDurations.Reset()
			b.ReportAllocs()
			for b.Loop() {
				runSecond()
			}
			b.ReportMetric(float64(stepDurations.ValueAtQuantile(50))/1e6, "ms-turn-p50")
			b.ReportMetric(float64(stepDurations.ValueAtQuantile(99))/1e6, "ms-turn-p99")
			b.ReportMetric(float64(stepDurations.Max())/1e6, "ms-turn-most")
			b.ReportMetric(float64(decisionDurations.ValueAtQuantile(99))/1e6, "ms-step-p99")
		})
	}
}
