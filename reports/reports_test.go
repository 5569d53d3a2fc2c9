package reports

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"cressknot/fleet"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func site() fleet.Site {
	return fleet.Site{Zones: []string{"a", "b"}, Classes: make([]fleet.VisitClass, 2), ReportEvery: fleet.Second,
		ReportsPerS: 5, LoadFields: []fleet.LoadField{fleet.FieldBusy}}
}

// TestSumsAreConserved: whatever is polled when, what the module is told adds up to what proxies counted, whatever
// restarts in between cost is never told as a huge or negative sum, and no more lines are told than the site allows.
func TestSumsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now := New(site()), fleet.Second
		type far struct {
			r     Reading
			first bool
		}
		fars := make([]far, 3)
		var due, told uint64 // tries that must be told; that were
		unread := make([]uint64, 3)
		lines, began := 0, now
		for i := range fars {
			fars[i] = far{Reading{Servers: map[fleet.ServerID]Met{}, Classes: make([]Came, 2)}, true}
			g.Join(now, fleet.ProxyID(i), fleet.ZoneID(i%2))
		}
		tell := func() {
			events, _ := g.Tell(now)
			lines += len(events)
			for _, e := range events {
				switch e := e.(type) {
				case fleet.Heard:
					if told += uint64(e.Tries); e.Failed > e.Tries || e.Span <= 0 || e.Tries > 1e6 {
						t.Fatalf("%+v", e)
					}
				case fleet.Usage:
					if e.Span <= 0 || e.Visits > 1e6 {
						t.Fatalf("%+v", e)
					}
				}
			}
			if most := int((now-began).Seconds()*5) + 6; lines > most {
				t.Fatalf("%d lines told, %d are the most", lines, most)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += fleet.Time(rapid.IntRange(20, 900).Draw(t, "ms")) * fleet.Millisecond
			i := rapid.IntRange(0, 2).Draw(t, "proxy")
			f := &fars[i]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				s := fleet.ServerID(rapid.IntRange(0, 2).Draw(t, "server"))
				n := uint64(rapid.IntRange(1, 50).Draw(t, "tries"))
				m := f.r.Servers[s]
				m.Tries, m.Failed, m.Good, m.GoodMs = m.Tries+n, m.Failed+n/3, m.Good+n-n/3, m.GoodMs+100*(n-n/3)
				f.r.Servers[s] = m
				unread[i] += n
				f.r.Classes[int(n)%2].Visits += n
			case 2, 3:
				r := Reading{At: now, Servers: map[fleet.ServerID]Met{}, Classes: append([]Came(nil), f.r.Classes...)}
				for s, m := range f.r.Servers {
					r.Servers[s] = m
				}
				if !f.first {
					due += unread[i]
				}
				f.first, unread[i] = false, 0
				g.Hear(fleet.ProxyID(i), &r)
			case 4:
				if rapid.IntRange(0, 5).Draw(t, "restarts") == 0 && len(f.r.Servers) > 0 {
					f.r = Reading{Servers: map[fleet.ServerID]Met{}, Classes: make([]Came, 2)}
					for s := range f.r.Servers {
						f.r.Servers[s] = Met{}
					}
					g.Leave(fleet.ProxyID(i)) // a restart breaks the stream
					g.Join(now, fleet.ProxyID(i), fleet.ZoneID(i%2))
					unread[i], f.first = 0, true
				}
			default:
				tell()
			}
		}
		for range 200 {
			now += fleet.Second
			tell()
		}
		if told != due || g.Waiting() != 0 {
			t.Fatalf("told of %d tries, proxies counted %d; %d lines wait", told, due, g.Waiting())
		}
	})
}

// TestFallingCountersTellNothing: a proxy that restarted unseen, its counters fallen, gives no sums.
func TestFallingCountersTellNothing(t *testing.T) {
	g := New(site())
	g.Join(fleet.Second, 1, 0)
	for i, n := range []uint64{100, 40, 60} {
		g.Hear(1, &Reading{At: fleet.Time(i+2) * fleet.Second, Servers: map[fleet.ServerID]Met{7: {Tries: n, Failed: n, Good: n}},
			Classes: []Came{{Visits: n}, {}}})
	}
	events, _ := g.Tell(10 * fleet.Second)
	for _, e := range events {
		if h, ok := e.(fleet.Heard); ok && h.Tries != 20 {
			t.Errorf("%+v, not the 20 tries since the restart", h)
		}
	}
	if len(events) == 0 || g.Resets() != 1 {
		t.Errorf("%d events, %d resets", len(events), g.Resets())
	}
}

// TestPollsAreSpread: 930 proxies are asked evenly over the period, none twice before its answer.
func TestPollsAreSpread(t *testing.T) {
	g := New(site())
	for i := range 930 {
		g.Join(0, fleet.ProxyID(i), 0)
	}
	most, asked := 0, map[fleet.ProxyID]int{}
	for now := fleet.Time(0); now < 3*fleet.Second; now += 10 * fleet.Millisecond {
		ask, _ := g.Polls(now)
		most = max(most, len(ask))
		for _, id := range ask {
			asked[id]++
		}
	}
	if most > 20 {
		t.Errorf("%d polls at once, evenly it would be 10", most)
	}
	for id, n := range asked {
		if n != 1 {
			t.Errorf("proxy %d asked %d times without an answer", id, n)
		}
	}
	if len(asked) != 930 {
		t.Errorf("%d proxies asked", len(asked))
	}
}

func BenchmarkReadings(b *testing.B) { // a reading of 700 servers taken in, and what is told of it
	s := site()
	s.ReportsPerS = 500
	g := New(s)
	for i := range 930 {
		g.Join(0, fleet.ProxyID(i), 0)
	}
	now := fleet.Second
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += fleet.Millisecond
		r := &Reading{At: now, Servers: make(map[fleet.ServerID]Met, 700), Classes: make([]Came, 2)}
		for s := range 700 {
			r.Servers[fleet.ServerID(s)] = Met{Tries: uint64(i), Good: uint64(i)}
		}
		g.Hear(fleet.ProxyID(i%930), r)
		g.Tell(now)
	}
}
