package controller

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/ingest"
	"cressknot/internal/ingest/counters"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// runUnderFlood simulates 40 seconds of 30 servers of three sizes and 16 proxies. Requests follow the weights that were
// sent, servers push their loads, and other reporters push flood records per second. It returns the last weights, the
// longest time that a server's own record waited, and the totals of reports.
func runUnderFlood(t *testing.T, flood int) (weights map[string]float64, longestWait fleet.Time, totals ingest.Totals) {
	const servers, proxies = 30, 16
	s := fleet.Second
	site := fleet.Site{
		Zones:                []string{"a", "b"},
		Controllers:          1,
		ProxyCount:           proxies,
		EntriesPerSecond:     15000,
		MessageOverhead:      6,
		MaxBacklog:           30000,
		MeanUpdateDelay:      s / 20,
		MaxUpdateDelay:       s / 2,
		ReportInterval:       s,
		ReportsPerSecond:     500,
		MaxUnservedDuration:  5 * s,
		SlowStart:            fleet.SlowStart{InitialFraction: 0.2, Duration: 15 * s},
		RecoveryRamp:         fleet.RecoveryRamp{OverloadFactor: 3, Duration: 2 * s},
		DrainTimeout:         3 * s,
		LoadReports:          fleet.LoadReportInline,
		ProxyOutlierFailures: 3,
		LoadFields:           []fleet.LoadField{fleet.LoadFieldUtilization},
		Classes: []fleet.RequestClass{
			{PriorityWeight: 3, LatencyObjective: s, Deadline: 4 * s},
			{PriorityWeight: 2, LatencyObjective: s, Deadline: 4 * s, Idempotency: fleet.NotIdempotent},
		},
	}
	names := NewServerNames()
	rng := rand.New(rand.NewPCG(4, 4))
	var all []transport.Proxy
	for i := range proxies {
		all = append(all, transport.Proxy{
			ID:          fleet.ProxyID(i),
			Name:        fmt.Sprint("p", i),
			Zone:        fleet.ZoneID(i % 2),
			RequestRate: 20,
		})
	}
	core := NewCore(CoreOptions{Site: site, Seed: 1, Proxies: all, Names: names, SafetyChecks: true, UsePushedLoads: true})
	queue := &ingest.Queue{}
	now := 1000 * s
	list := discovery.EndpointList{Revision: 1}
	for i := range servers {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{
			Name: fmt.Sprint("s", i),
			Addr: "x:1",
			Zone: site.Zones[i%2],
		})
	}
	inputs := []Input{EndpointUpdate{Scope: fleet.ListFull, List: list}}
	rows := make([][]counters.ServerCounters, proxies)
	requests := make([]uint64, proxies)
	for i := range proxies {
		snapshot := reconcile.Snapshot{Zone: fleet.ZoneID(i % 2), RequestRate: 20, Fresh: true}
		inputs = append(inputs, connected(fleet.ProxyID(i), snapshot))
		rows[i] = make([]counters.ServerCounters, servers)
	}
	var published, handled, load [servers]float64
	var remainders [proxies][servers]float64
	for i := range published {
		published[i] = 1
		for p := range remainders { // the same for each run, spread over the proxies
			remainders[p][i] = float64(p*7%proxies) / proxies
		}
	}
	var taken []ingest.Record
	const tick = 10 * fleet.Millisecond
	for end := now + 40*s; now < end; now += tick {
		if now%s == 0 { // one second of requests, distributed by the published weights
			total := 0.0
			for _, w := range published {
				total += w
			}
			for i := range published {
				rate := 220 * published[i] / total
				capacity := []float64{9, 14, 22}[i%3]
				load[i] = min(1, rate/capacity)
				for p := range rows {
					m := &rows[p][i]
					remainders[p][i] += rate / proxies
					attempts := uint64(remainders[p][i])
					remainders[p][i] -= float64(attempts)
					m.Attempts += attempts
					m.Successes += attempts
					m.SuccessMillis += attempts * uint64(100/(1.05-load[i]))
					requests[p] += attempts
				}
				handled[i] += rate
			}
		}
		for i := range servers { // each server pushes once per second, at its own offset
			if int(now/tick)%100 == i*3 {
				queue.Put(now, []ingest.Record{{
					Server:   fleet.ServerID(i),
					Stated:   now,
					Arrived:  now,
					Attempts: uint64(handled[i]),
					HasLoad:  true,
					Load:     [4]float32{float32(load[i])},
				}})
			}
		}
		for range flood / 100 {
			// Senders that repeat without pause, late and repeated records, unlisted servers and impossible values.
			i := rng.IntN(300)
			r := ingest.Record{Server: fleet.ServerID(i), Stated: now, Arrived: now, HasLoad: true}
			if rng.IntN(2) == 0 {
				r.Server = 7
			}
			if r.Server < servers {
				r.Attempts = uint64(handled[r.Server])
				r.Load[0] = float32(load[r.Server])
				if rng.IntN(3) == 0 { // a late record
					r.Stated = now - fleet.Time(rng.IntN(60))*s - s
					r.Attempts /= 2
				}
			} else {
				r.Attempts = rng.Uint64()
				if rng.IntN(2) == 0 {
					r.Load[0] = float32(math.NaN())
				}
			}
			queue.Put(now, []ingest.Record{r})
		}
		pushed, _ := core.pipeline.StepLimits()
		taken = queue.Take(pushed, taken[:0])
		for _, r := range taken {
			if r.Server < servers && r.Stated == r.Arrived {
				longestWait = max(longestWait, now-r.Arrived)
			}
		}
		out := core.Step(now, append(inputs, PushedRecords(taken)))
		inputs = inputs[:0]
		for _, m := range out.Messages {
			inputs = append(inputs, answered(m))
		}
		for _, id := range out.Polls {
			r := counters.NewReading(2)
			r.At = now
			r.Classes[0].Requests = requests[id]
			for i, m := range rows[id] {
				r.Row(fleet.ServerID(i)).ServerCounters = m
			}
			inputs = append(inputs, CountersPolled{Proxy: id, Stream: 1, Reading: r})
		}
		for i, l := range core.reconciler.Entries() {
			if i == 0 {
				published = [servers]float64{}
			}
			if l.Table == 0 {
				published[l.Server] = float64(l.Published)
			}
		}
	}
	weights = map[string]float64{}
	total := 0.0
	for _, w := range published {
		total += w
	}
	for i, w := range published {
		weights[fmt.Sprint("s", i)] = w / total * servers
	}
	return weights, longestWait, core.pipeline.Totals()
}

// TestReportFloodLeavesWeightsUnchanged compares a run without a flood with floods of 10,000 and 100,000 useless
// reports per second. Weights may differ by at most 5 % of an even share, the totals by at most 1 %, and no record of a
// server itself may wait for more than 100 ms.
func TestReportFloodLeavesWeightsUnchanged(t *testing.T) {
	baseline, _, baselineTotals := runUnderFlood(t, 0)
	lowest := math.Inf(1)
	highest := 0.0
	for _, w := range baseline {
		lowest = min(lowest, w)
		highest = max(highest, w)
	}
	if highest < 1.3*lowest {
		t.Fatalf("the run without a flood has nearly equal weights, %.2f to %.2f, and tests nothing", lowest, highest)
	}
	for _, flood := range []int{10_000, 100_000} {
		weights, waited, totals := runUnderFlood(t, flood)
		worst := 0.0
		for name, w := range weights {
			worst = max(worst, math.Abs(w-baseline[name]))
		}
		t.Logf("%d reports per second: weights differ by up to %.4f, a record waited up to %.3f s", flood, worst,
			waited.Seconds())
		if worst > 0.05 || waited > fleet.Second/10 ||
			math.Abs(float64(totals.Counted)-float64(baselineTotals.Counted)) > 0.01*float64(baselineTotals.Counted) ||
			totals.Counted != totals.Reported+totals.Pending+totals.Aged+totals.Gone {
			t.Errorf("%d reports per second: weights differ by up to %.4f, a record waited up to %.3f s, totals %+v, want %+v",
				flood, worst, waited.Seconds(), totals, baselineTotals)
		}
	}
}
