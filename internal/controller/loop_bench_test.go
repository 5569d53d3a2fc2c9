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

// BenchmarkLoop runs the whole loop, without sockets, at a fleet's size: each op is a second of its life with polls of
// all proxies, 1,000 reports a second told, and all messages answered. It prints the time of decisions.
func BenchmarkLoop(b *testing.B) {
	for _, size := range [][2]int{{175, 232}, {350, 465}, {700, 930}, {1400, 1860}} {
		b.Run(fmt.Sprintf("servers=%d/proxies=%d", size[0], size[1]), func(b *testing.B) {
			servers, proxies := size[0], size[1]
			site := fleet.Site{Zones: []string{"a", "b", "c", "d"}, Controllers: 1, ProxyCount: proxies, EntriesPerSecond: 15000, MessageOverhead: 6,
				MaxBacklog: 30000, MeanUpdateDelay: 50 * fleet.Millisecond, MaxUpdateDelay: 500 * fleet.Millisecond, ReportInterval: fleet.Second,
				ReportsPerSecond: 1000, MaxUnservedDuration: 5 * fleet.Second, SlowStart: fleet.SlowStart{InitialFraction: 0.2, Duration: 15 * fleet.Second}, RecoveryRamp: fleet.RecoveryRamp{OverloadFactor: 3, Duration: 2 * fleet.Second}, DrainTimeout: 3 * fleet.Second, LoadReports: fleet.LoadReportInline, ProxyOutlierFailures: 3,
				LoadFields: []fleet.LoadField{fleet.LoadFieldUtilization}, Classes: []fleet.RequestClass{
					{PriorityWeight: 3, LatencyObjective: fleet.Second, Deadline: 4 * fleet.Second},
					{PriorityWeight: 2, LatencyObjective: fleet.Second, Deadline: 4 * fleet.Second, Idempotency: fleet.IdempotentWithKey, DeduplicationWindow: 5 * fleet.Second},
					{PriorityWeight: 2, LatencyObjective: 2 * fleet.Second, Deadline: 6 * fleet.Second, Idempotency: fleet.NotIdempotent}}}
			names := NewNames()
			var all []transport.Proxy
			for i := range proxies {
				all = append(all, transport.Proxy{ID: fleet.ProxyID(i), Name: fmt.Sprint("p", i), Zone: fleet.ZoneID(i % 4), RequestRate: 3})
			}
			core := NewCore(CoreOptions{Site: site, Seed: 1, Proxies: all, Names: names, SafetyChecks: true})
			now := 1000 * fleet.Second
			doc := discovery.EndpointList{Revision: 1}
			for i := range servers {
				doc.Endpoints = append(doc.Endpoints, discovery.Endpoint{Name: fmt.Sprint("s", i), Addr: "x:1", Zone: site.Zones[i%4]})
			}
			in := []Input{EndpointUpdate{Scope: fleet.ListFull, List: doc}}
			met := make([][]counters.ServerCounters, proxies)
			came := make([][]counters.ClassCounters, proxies)
			for i := range proxies {
				in = append(in, TransportEvent{transport.Connected{Proxy: fleet.ProxyID(i), Stream: 1, Snapshot: reconcile.Snapshot{Zone: fleet.ZoneID(i % 4), RequestRate: 3, Fresh: true}}})
				met[i], came[i] = make([]counters.ServerCounters, servers), make([]counters.ClassCounters, 3)
			}
			rng := rand.New(rand.NewPCG(1, 1))
			took, decided := hdrhistogram.New(1000, int64(time.Minute), 3), hdrhistogram.New(1000, int64(time.Minute), 3)
			turn := func() {
				began := time.Now()
				out := core.Step(now, in)
				spent := time.Since(began).Nanoseconds()
				_ = took.RecordValue(max(1000, spent))
				if out.BalancerStepped {
					_ = decided.RecordValue(max(1000, spent))
				}
				in = in[:0]
				for _, m := range out.Messages {
					in = append(in, TransportEvent{transport.Answered{Proxy: m.Proxy, Stream: 1, Sequence: m.Sequence}})
				}
				for _, id := range out.Polls {
					for range 9 { // visits of a second
						s := fleet.ServerID(rng.IntN(servers))
						m := &met[id][s]
						m.Attempts, m.Successes, m.SuccessMillis, m.HasLoad = m.Attempts+1, m.Successes+1, m.SuccessMillis+200, true
						m.Load[0] = 0.4 + 0.3*rng.Float32()
						came[id][rng.IntN(3)].Requests++
					}
					r := counters.NewReading(3)
					r.At = now
					copy(r.Classes, came[id])
					for s, m := range met[id] {
						r.Row(fleet.ServerID(s)).ServerCounters = m
					}
					in = append(in, CountersPolled{Proxy: id, Stream: 1, Reading: r})
				}
				now = max(now+fleet.Millisecond, min(out.NextStep, now+10*fleet.Millisecond))
			}
			second := func() {
				for end := now + fleet.Second; now < end; {
					turn()
				}
			}
			for range 30 { // until its tables are laid
				second()
			}
			took.Reset()
			decided.Reset()
			b.ReportAllocs()
			for b.Loop() {
				second()
			}
			b.ReportMetric(float64(took.ValueAtQuantile(50))/1e6, "ms-turn-p50")
			b.ReportMetric(float64(took.ValueAtQuantile(99))/1e6, "ms-turn-p99")
			b.ReportMetric(float64(took.Max())/1e6, "ms-turn-most")
			b.ReportMetric(float64(decided.ValueAtQuantile(99))/1e6, "ms-step-p99")
		})
	}
}
