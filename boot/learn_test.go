package boot

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"cressknot/fleet"
	"cressknot/logic"
)

func learnSite() fleet.Site {
	return fleet.Site{Zones: []string{"a", "b"}, Classes: []fleet.VisitClass{{Name: "look", Expected: s, HardStop: 2 * s, Value: 1}},
		LinesPerS: 1e6, BacklogMost: 1e6, ReportsPerS: 1e5, ReportEvery: s, Proxies: 2, BareMost: 5 * s, LoadFields: []fleet.LoadField{fleet.FieldBusy}, Report: fleet.ReportInline,
		ColdFor: 10 * s, ColdFrom: 0.2, FallFactor: 3, FallFor: 2 * s}
}

// TestLearnsAndRecalls: a figure is the rate over the busy share; it is kept when it changes, not again and again; what is recalled has
// the same capacity, fewer visits the older it is, and nothing of another life, a cold server or a clock ahead.
func TestLearnsAndRecalls(t *testing.T) {
	site := learnSite()
	l, now, kept := NewLearner(site), 1000*s, 0
	e := fleet.Entry{Server: 3, Started: 5 * s}
	l.Listed(e)
	var f Learned
	for range 300 {
		now += s
		l.Heard(now, fleet.Heard{Server: 3, Tries: 6, Failed: 1, Latency: 40 * fleet.Millisecond, Span: s, Zone: 0, Load: []float32{0.25}})
		l.Heard(now, fleet.Heard{Server: 3, Tries: 10, Latency: 40 * fleet.Millisecond, Span: 2 * s, Zone: 1, Load: []float32{0.25}})
		l.Worth(now, func(id fleet.ServerID, is Learned) { f, kept = is, kept+1 })
	}
	if math.Abs(f.Capacity()-40) > 0.5 || kept != 1 || f.Started != 5*s {
		t.Fatalf("learned %+v, capacity %.2f, kept %d times", f, f.Capacity(), kept)
	}
	sum := func(all []fleet.Heard) (tries, capacity float64) {
		for _, h := range all {
			tries, capacity = tries+float64(h.Tries), capacity+float64(h.Tries)/h.Span.Seconds()/float64(h.Load[0])
		}
		return tries, capacity
	}
	if tries, capacity := sum(Recall(f.At+s, site, e, f)); tries != 8 || math.Abs(capacity-40) > 0.5 {
		t.Errorf("%v tries of capacity %v", tries, capacity)
	}
	if tries, _ := sum(Recall(f.At+3600*s, site, e, f)); tries < 3 || tries > 5 {
		t.Errorf("%v tries after an hour", tries)
	}
	later := e
	later.Started = 6 * s
	fresh, young := f, e
	fresh.Started, young.Started = f.At-s, f.At-s
	gone := e
	gone.State = fleet.Gone
	if n := len(Recall(f.At+48*3600*s, site, e, f)) + len(Recall(f.At-3600*s, site, e, f)) + len(Recall(f.At+s, site, later, f)) +
		len(Recall(f.At+s, site, young, fresh)) + len(Recall(f.At+s, site, gone, f)); n > 0 {
		t.Errorf("%d sums are recalled that should not be", n)
	}
	l.Listed(later)
	if l.Worth(now+lookGap, func(fleet.ServerID, Learned) { t.Error("an earlier life's figure") }); len(l.lessons[3].zones) > 0 {
		t.Error("an earlier life goes on")
	}
}

// firstTables starts a module on 200 servers of sizes 1 to 4 with few visits each, and tells by how much its first weights are off
// from the sizes, as a mean share.
func firstTables(seed uint64, recall bool, steps int) float64 {
	site, rng := learnSite(), rand.New(rand.NewPCG(seed, 1))
	g, now := logic.New(site, seed), 1000*s
	const n = 200
	var entries []fleet.Entry
	size := make([]float64, n)
	for i := range size {
		size[i] = 1 + 3*float64(i%4)/3
		entries = append(entries, fleet.Entry{Server: fleet.ServerID(i), Weight: 1})
	}
	events := []fleet.Event{fleet.List{Scope: fleet.ListFull, Rev: 1, Entries: entries}, fleet.Joined{Proxy: 1, Weight: 100}}
	if recall {
		for _, e := range entries { // as learned with a few per cent of error
			rate := 2 * (1 + 0.05*rng.NormFloat64())
			for _, h := range Recall(now, site, e, Learned{At: now - 600*s, Busy: 2 / (20 * size[e.Server]), Zones: []InZone{{Zone: 0, Rate: rate, Latency: 50 * fleet.Millisecond}}}) {
				events = append(events, h)
			}
		}
	}
	weights := make([]float64, n)
	for step := range steps {
		if step%10 == 9 {
			for i := range n { // a second of two visits each, by chance; the busy share is what they cost
				tries := uint32(0)
				for left := 1.0; ; tries++ {
					if left -= rng.ExpFloat64() / 2; left < 0 {
						break
					}
				}
				events = append(events, fleet.Heard{Server: fleet.ServerID(i), Tries: tries, Latency: 50 * fleet.Millisecond, Span: s, Load: []float32{float32(2 / (20 * size[i]))}})
			}
			events = append(events, fleet.Usage{Proxy: 1, Visits: 2 * n, Span: s})
		}
		for _, o := range g.Step(now, events) {
			if o, ok := o.(fleet.Share); ok && o.Table == 0 {
				weights[o.Server] = float64(o.Weight)
			}
		}
		events, now = events[:0], now+s/10
	}
	total, sizes, off := 0.0, 0.0, 0.0
	for i := range n {
		total, sizes = total+weights[i], sizes+size[i]
	}
	for i := range n {
		off += math.Abs(weights[i]/total-size[i]/sizes) / 2
	}
	return off
}

// BenchmarkFirstTables measures how far the first tables are off after so many tenths of a second, in per cent of all visits.
func BenchmarkFirstTables(b *testing.B) {
	for _, steps := range []int{25, 30, 60, 120} {
		for name, recall := range map[string]bool{"recalled": true, "watched": false} {
			b.Run(fmt.Sprintf("%s/%d", name, steps), func(b *testing.B) {
				off := 0.0
				for i := range b.N {
					off += firstTables(uint64(i), recall, steps)
				}
				b.ReportMetric(100*off/float64(b.N), "off_%")
			})
		}
	}
}
