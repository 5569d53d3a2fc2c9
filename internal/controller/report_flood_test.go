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

// floodDay plays half a minute of 30 servers of three sizes and 16 proxies in its own time: visits go by the weights that were
// sent, servers push their loads, and a crowd sends so many records a second beside. It gives the last weights, how long the
// longest wait of an honest record was, and where the sums went.
func floodDay(t *testing.T, flood int) (weights map[string]float64, waited fleet.Time, sums ingest.Totals) {
	const servers, proxies = 30, 16
	s := fleet.Second
	site := fleet.Site{Zones: []string{"a", "b"}, Controllers: 1, ProxyCount: proxies, EntriesPerSecond: 15000, MessageOverhead: 6, MaxBacklog: 30000,
		MeanUpdateDelay: s / 20, MaxUpdateDelay: s / 2, ReportInterval: s, ReportsPerSecond: 500, MaxUnservedDuration: 5 * s, SlowStart: fleet.SlowStart{InitialFraction: 0.2, Duration: 15 * s}, RecoveryRamp: fleet.RecoveryRamp{OverloadFactor: 3, Duration: 2 * s}, DrainTimeout: 3 * s, LoadReports: fleet.LoadReportInline, ProxyOutlierFailures: 3, LoadFields: []fleet.LoadField{fleet.LoadFieldUtilization},
		Classes: []fleet.RequestClass{{PriorityWeight: 3, LatencyObjective: s, Deadline: 4 * s}, {PriorityWeight: 2, LatencyObjective: s, Deadline: 4 * s, Idempotency: fleet.NotIdempotent}}}
	names, crowd := NewNames(), rand.New(rand.NewPCG(4, 4))
	var all []transport.Proxy
	for i := range proxies {
		all = append(all, transport.Proxy{ID: fleet.ProxyID(i), Name: fmt.Sprint("p", i), Zone: fleet.ZoneID(i % 2), RequestRate: 20})
	}
	core := NewCore(CoreOptions{Site: site, Seed: 1, Proxies: all, Names: names, SafetyChecks: true, PushedLoads: true})
	box := &ingest.Queue{}
	now := 1000 * s
	doc := discovery.EndpointList{Revision: 1}
	for i := range servers {
		doc.Endpoints = append(doc.Endpoints, discovery.Endpoint{Name: fmt.Sprint("s", i), Addr: "x:1", Zone: site.Zones[i%2]})
	}
	in := []Input{EndpointUpdate{Scope: fleet.ListFull, List: doc}}
	met, came := make([][]counters.ServerCounters, proxies), make([]uint64, proxies)
	for i := range proxies {
		in = append(in, TransportEvent{transport.Connected{Proxy: fleet.ProxyID(i), Stream: 1, Snapshot: reconcile.Snapshot{Zone: fleet.ZoneID(i % 2), RequestRate: 20, Fresh: true}}})
		met[i] = make([]counters.ServerCounters, servers)
	}
	var share, handled, load [servers]float64
	var parts [proxies][servers]float64
	for i := range share {
		share[i] = 1
		for p := range parts { // the same visits each time, spread over the proxies
			parts[p][i] = float64(p*7%proxies) / proxies
		}
	}
	var taken []ingest.Record
	const tick = 10 * fleet.Millisecond
	for end := now + 40*s; now < end; now += tick {
		second := now%s == 0
		if second { // visits of a second, by the weights that stand
			total := 0.0
			for _, w := range share {
				total += w
			}
			for i := range share {
				n := 220 * share[i] / total
				capacity := []float64{9, 14, 22}[i%3]
				load[i] = min(1, n/capacity)
				for p := range met {
					m := &met[p][i]
					parts[p][i] += n / proxies
					one := uint64(parts[p][i])
					parts[p][i] -= float64(one)
					m.Attempts, m.Successes, m.SuccessMillis = m.Attempts+one, m.Successes+one, m.SuccessMillis+one*uint64(100/(1.05-load[i]))
					came[p] += one
				}
				handled[i] += n
			}
		}
		for i := range servers { // each pushes once a second, at its own time
			if int(now/tick)%100 == i*3 {
				box.Put(now, []ingest.Record{{Server: fleet.ServerID(i), Stated: now, Arrived: now, Attempts: uint64(handled[i]), HasLoad: true, Load: [4]float32{float32(load[i])}}})
			}
		}
		for range flood / 100 { // reporters in a loop, late and repeated ones, servers that nothing lists, figures that can't be
			i := crowd.IntN(300)
			r := ingest.Record{Server: fleet.ServerID(i), Stated: now, Arrived: now, HasLoad: true}
			if crowd.IntN(2) == 0 {
				r.Server = 7
			}
			if r.Server < servers {
				r.Attempts, r.Load[0] = uint64(handled[r.Server]), float32(load[r.Server])
				if crowd.IntN(3) == 0 { // what it sent a while ago
					r.Stated, r.Attempts = now-fleet.Time(crowd.IntN(60))*s-s, r.Attempts/2
				}
			} else if r.Attempts = crowd.Uint64(); crowd.IntN(2) == 0 {
				r.Load[0] = float32(math.NaN())
			}
			box.Put(now, []ingest.Record{r})
		}
		pushed, _ := core.pipeline.Room()
		taken = box.Take(pushed, taken[:0])
		for _, r := range taken {
			if r.Server < servers && r.Stated == r.Arrived {
				waited = max(waited, now-r.Arrived)
			}
		}
		out := core.Step(now, append(in, PushedRecords(taken)))
		in = in[:0]
		for _, m := range out.Messages {
			in = append(in, TransportEvent{transport.Answered{Proxy: m.Proxy, Stream: 1, Sequence: m.Sequence}})
		}
		for _, id := range out.Polls {
			r := counters.NewReading(2)
			r.At = now
			r.Classes[0].Requests = came[id]
			for i, m := range met[id] {
				r.Row(fleet.ServerID(i)).ServerCounters = m
			}
			in = append(in, CountersPolled{Proxy: id, Stream: 1, Reading: r})
		}
		for i, l := range core.reconciler.Entries() {
			if i == 0 {
				share = [servers]float64{}
			}
			if l.Table == 0 {
				share[l.Server] = float64(l.Published)
			}
		}
	}
	weights = map[string]float64{}
	total := 0.0
	for _, w := range share {
		total += w
	}
	for i, w := range share {
		weights[fmt.Sprint("s", i)] = w / total * servers
	}
	return weights, waited, core.pipeline.Totals()
}

// TestWeightsUnderFlood: the same day without and with 10,000 and 100,000 reports a second that nobody needs. Weights differ by
// less than 5% of an even share, sums are the same, and no honest record waits for as long as a turn has room for.
func TestWeightsUnderFlood(t *testing.T) {
	calm, _, sums := floodDay(t, 0)
	least, most := math.Inf(1), 0.0
	for _, w := range calm {
		least, most = min(least, w), max(most, w)
	}
	if most < 1.3*least {
		t.Fatalf("the day asks for no weights: %.2f to %.2f", least, most)
	}
	for _, flood := range []int{10_000, 100_000} {
		weights, waited, under := floodDay(t, flood)
		worst := 0.0
		for name, w := range weights {
			worst = max(worst, math.Abs(w-calm[name]))
		}
		t.Logf("%d reports a second: weights differ by up to %.4f, a record waited up to %.3f s", flood, worst, waited.Seconds())
		if worst > 0.05 || waited > fleet.Second/10 || math.Abs(float64(under.Counted)-float64(sums.Counted)) > 0.01*float64(sums.Counted) ||
			under.Counted != under.Told+under.Waiting+under.Aged+under.Unheard {
			t.Errorf("%d reports a second: weights differ by up to %.4f, a record waited up to %.3f s, sums %+v and %+v", flood, worst, waited.Seconds(), under, sums)
		}
	}
}
