package ingest

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
)

const s = fleet.Second

func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func site() fleet.Site {
	return fleet.Site{Zones: []string{"a", "b"}, Classes: make([]fleet.RequestClass, 2), ReportInterval: s,
		ReportsPerSecond: 5, LoadFields: []fleet.LoadField{fleet.LoadFieldUtilization}}
}

// far is a proxy with its counters.
type far struct {
	met    map[fleet.ServerID]counters.ServerCounters
	visits uint64
}

func (f *far) reading(at fleet.Time) *counters.Reading {
	r := counters.NewReading(2)
	r.At = at
	for id := range fleet.ServerID(4) {
		if m, ok := f.met[id]; ok {
			r.Row(id).ServerCounters = m
		}
	}
	r.Classes[0].Requests = f.visits
	return r
}

func (f *far) meets(id fleet.ServerID, n, failed uint64) {
	m := f.met[id]
	m.Attempts, m.Failures, m.Successes, m.SuccessMillis = m.Attempts+n, m.Failures+failed, m.Successes+n-failed, m.SuccessMillis+100*(n-failed)
	f.met[id] = m
	f.visits += n
}

// TestSumsAreConserved: whatever is polled when, through partings, restarts and late readings, every try that proxies counted
// was told, waits, was too old, or was of a server gone; no more lines are told than the site allows.
func TestSumsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, now := New(site()), s
		var fars [3]far
		var counted, base [3]uint64 // by the proxies since the base that the intake knows
		var known [3]bool
		due, told, lines, began := uint64(0), uint64(0), 0, now
		gone, last := map[fleet.ServerID]bool{}, map[string]fleet.Time{}
		for i := range fars {
			fars[i].met = map[fleet.ServerID]counters.ServerCounters{}
			k.Join(now, fleet.ProxyID(i), fleet.ZoneID(i%2), true)
		}
		tell := func() {
			events, _ := k.Tell(now)
			for _, e := range events {
				lines++
				if h, ok := e.(fleet.OutcomeReport); ok {
					told += uint64(h.Attempts)
					line := fmt.Sprint(h.Server, h.Zone)
					if h.Failures > h.Attempts || h.Interval <= 0 || h.Attempts > 1e6 || h.Load != nil || gone[h.Server] || last[line] > 0 && now < last[line]+s*3/4 {
						t.Fatalf("%+v, gone %v, told last at %d, now %d", h, gone[h.Server], last[line], now)
					}
					last[line] = now
				} else if u := e.(fleet.DemandReport); u.Interval <= 0 || u.Requests > 1e6 {
					t.Fatalf("%+v", u)
				}
			}
			if most := int((now-began).Seconds()*5) + 6; lines > most {
				t.Fatalf("%d lines told, %d are the most", lines, most)
			}
			if sum := k.totals; sum.Counted != due || sum.Told != told || sum.Counted != sum.Told+sum.Waiting+sum.Aged+sum.Unheard {
				t.Fatalf("%+v, but proxies counted %d and %d were told", sum, due, told)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += fleet.Time(rapid.SampledFrom([]int{20, 300, 900, 900, 20_000}).Draw(t, "ms")) * fleet.Millisecond
			i := rapid.IntRange(0, 2).Draw(t, "proxy")
			f, id := &fars[i], fleet.ProxyID(i)
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1, 2:
				n := uint64(rapid.IntRange(1, 50).Draw(t, "tries"))
				f.meets(fleet.ServerID(rapid.IntRange(0, 3).Draw(t, "server")), n, n/3)
				counted[i] += n
			case 3, 4:
				r := f.reading(now)
				if known[i] {
					due += counted[i] - base[i]
				}
				known[i], base[i] = true, counted[i]
				k.Polled(now, id, r)
				r.Release()
			case 5: // a parting; it may have restarted meanwhile
				k.Leave(id)
				fresh := rapid.Bool().Draw(t, "fresh")
				if fresh {
					f.met, f.visits, known[i] = map[fleet.ServerID]counters.ServerCounters{}, 0, false
				}
				k.Join(now, id, fleet.ZoneID(i%2), fresh)
			case 6:
				id := fleet.ServerID(rapid.IntRange(0, 3).Draw(t, "listed"))
				gone[id] = rapid.Bool().Draw(t, "gone")
				k.Listed(id, gone[id])
			default:
				tell()
			}
			k.Look(now)
		}
		for range 200 {
			now += s
			tell()
		}
		if n, _ := k.Waiting(now); n != 0 || k.totals.Waiting != 0 {
			t.Fatalf("%d lines wait in the end: %+v", n, k.totals)
		}
	})
}

// TestFallenCountersTellNothing: a proxy that restarted unseen gives no sums, nor does one whose counter jumps past belief.
func TestFallenCountersTellNothing(t *testing.T) {
	k := New(site())
	k.Join(s, 1, 0, true)
	f := far{met: map[fleet.ServerID]counters.ServerCounters{}}
	for i, n := range []uint64{100, 40, 60, 1 << 62, 80, 90} {
		f.met[2] = counters.ServerCounters{Attempts: n, Failures: n}
		k.Polled(fleet.Time(i+2)*s, 1, f.reading(fleet.Time(i+2)*s))
	}
	if k.Resets() != 3 || k.totals.Counted != 30 {
		t.Errorf("%d resets, %d counted", k.Resets(), k.totals.Counted)
	}
}

// TestLateNewsIsNoCrowd: a minute of counters that comes at once after a parting is told as the rate that it was, not as a
// crowd of this second, and the rest is booked as aged.
func TestLateNewsIsNoCrowd(t *testing.T) {
	k := New(site())
	f := far{met: map[fleet.ServerID]counters.ServerCounters{}}
	k.Join(0, 1, 0, true)
	now := fleet.Time(0)
	for range 10 { // ten tries a second
		now += s
		f.meets(1, 10, 0)
		k.Polled(now, 1, f.reading(now))
		k.Tell(now)
	}
	k.Leave(1)
	f.meets(1, 600, 300)
	now += 60 * s
	k.Join(now, 1, 0, false)
	k.Polled(now, 1, f.reading(now))
	events, _ := k.Tell(now)
	for _, e := range events {
		if h, ok := e.(fleet.OutcomeReport); ok {
			rate := float64(h.Attempts) / h.Interval.Seconds()
			if rate < 5 || rate > 15 || h.Failures*2 != h.Attempts || k.totals.Aged < 500 {
				t.Errorf("%+v is %.1f a second; %+v", h, rate, k.totals)
			}
			return
		}
	}
	t.Error("nothing was told")
}

// TestRatesFromTheFirst: five proxies send a server two tries a second each and are polled at their own times. Each telling from the
// first on gives the rate of all of them.
func TestRatesFromTheFirst(t *testing.T) {
	st := site()
	st.ReportsPerSecond = 500
	k := New(st)
	var fars [5]far
	for i := range fars {
		fars[i].met = map[fleet.ServerID]counters.ServerCounters{}
		k.Join(0, fleet.ProxyID(i), 0, true)
	}
	told := 0
	for now := fleet.Time(0); now < 20*s; now += s / 10 {
		ask, _ := k.Polls(now)
		for i := range fars {
			if (now/(s/10)+fleet.Time(i))%5 == 0 {
				fars[i].meets(1, 1, 0)
			}
		}
		for _, id := range ask {
			k.Polled(now, id, fars[id].reading(now))
		}
		events, _ := k.Tell(now)
		for _, e := range events {
			if h, ok := e.(fleet.OutcomeReport); ok {
				if rate := float64(h.Attempts) / h.Interval.Seconds(); rate < 9 || rate > 11 {
					t.Errorf("at %.1f s: %d tries in %.2f s are %.1f a second, not 10", now.Seconds(), h.Attempts, h.Interval.Seconds(), rate)
				}
				told++
			}
		}
	}
	if told < 15 {
		t.Errorf("told %d times", told)
	}
}

// TestOneTellingAPeriod: a line that changes all the time is told about once a period, and each time goes on where the last ended.
func TestOneTellingAPeriod(t *testing.T) {
	k := New(site())
	f := far{met: map[fleet.ServerID]counters.ServerCounters{}}
	k.Join(0, 1, 0, true)
	told, span := 0, fleet.Time(0)
	for now := s; now < 11*s; now += s / 10 {
		f.meets(1, 1, 0)
		k.Polled(now, 1, f.reading(now))
		events, _ := k.Tell(now)
		for _, e := range events {
			if h, ok := e.(fleet.OutcomeReport); ok {
				told, span = told+1, span+h.Interval
			}
		}
	}
	if told < 10 || told > 14 || span < 9*s || span > 10*s {
		t.Errorf("told %d times, of %.1f s in all", told, span.Seconds())
	}
}

// flood pushes records of sources that nobody needs, of one that sends half of all, of servers gone, and broken ones.
func flood(box *Queue, rng *rand.Rand, now fleet.Time, n int) {
	batch := make([]Record, 0, 100)
	for i := range n {
		r := Record{Server: fleet.ServerID(100 + rng.IntN(600)), Stated: now - fleet.Time(rng.IntN(9))*s, Arrived: now,
			Attempts: uint64(rng.IntN(1e6)), HasLoad: true, Load: [4]float32{rng.Float32() * 9}}
		switch rng.IntN(4) {
		case 0, 1:
			r.Server = 99
		case 2:
			r.Load[0], r.Failures = float32(math.NaN()), math.MaxUint64
		}
		if batch = append(batch, r); len(batch) == cap(batch) || i == n-1 {
			box.Put(now, batch)
			batch = batch[:0]
		}
	}
}

// TestFloodStarvesNobody: 100,000 pushed reports a second through ten seconds. What each honest server says is heard within
// the stated bound, the one that sends half of all is heard no more often than others and told to wait, the box stays as
// large as the fleet, and a day's sums of polls are the same as without the flood.
func TestFloodStarvesNobody(t *testing.T) {
	run := func(perTick int) (heard map[fleet.ServerID]fleet.Time, worst fleet.Time, totals Totals, most int) {
		k, box, rng := New(site()), &Queue{}, rand.New(rand.NewPCG(5, 5))
		f := far{met: map[fleet.ServerID]counters.ServerCounters{}}
		k.Join(0, 1, 0, true)
		for id := range fleet.ServerID(700) {
			k.Listed(id, false)
		}
		heard, last := map[fleet.ServerID]fleet.Time{}, map[fleet.ServerID]fleet.Time{}
		var records []Record
		for now := s; now < 11*s; now += 10 * fleet.Millisecond {
			flood(box, rng, now, perTick)
			for id := range fleet.ServerID(90) { // each once a second
				if (now/(10*fleet.Millisecond)+fleet.Time(id))%100 == 0 {
					box.Put(now, []Record{{Server: id, Stated: now, Arrived: now, Attempts: uint64(now / s), HasLoad: true}})
				}
			}
			pushed, _ := k.Room()
			records = box.Take(pushed, records[:0])
			for _, r := range records {
				if k.Pushed(now, r); r.Server < 90 {
					worst = max(worst, now-r.Arrived)
					if at := last[r.Server]; at > 0 {
						heard[r.Server] = max(heard[r.Server], now-at)
					}
					last[r.Server] = now
				}
			}
			if now%s == 0 {
				f.meets(1, 20, 2)
				k.Polled(now, 1, f.reading(now))
			}
			n, _, _ := box.Waiting()
			most = max(most, n)
			k.Tell(now)
			k.Look(now)
		}
		return heard, worst, k.totals, most
	}
	heard, worst, totals, most := run(1000)
	_, _, calm, _ := run(0)
	for id, gap := range heard {
		if gap > 2*s {
			t.Errorf("server %d was not heard for %.1f s", id, gap.Seconds())
		}
	}
	if worst > s || len(heard) != 90 || most > 700 || totals.Counted != calm.Counted || totals.Counted == 0 {
		t.Errorf("a record waited %.2f s, %d sources heard, %d waited at once, sums %+v and %+v", worst.Seconds(), len(heard), most, totals, calm)
	}
	box := &Queue{}
	for range 20 {
		if r := box.Put(s, []Record{{Server: 1}}); r.Taken == 0 && (r.Wait <= 0 || r.Wait > s || r.Text == "") {
			t.Errorf("a source past its limit is told %+v", r)
		}
	}
	if n, records, thinned := box.Waiting(); n != 1 || records != 20 || thinned != 12 {
		t.Errorf("%d wait, %d came, %d thinned", n, records, thinned)
	}
}

// TestWhoIsBelieved: repeats, overtaken records, restarts, fallen counters, impossible figures and clocks.
func TestWhoIsBelieved(t *testing.T) {
	k := New(site())
	at := func(i int) *standing { return k.standing(fleet.ServerID(i)) }
	push := func(r Record) { r.Arrived = max(r.Arrived, k.at); k.Pushed(r.Arrived, r) }
	for id := range fleet.ServerID(50) {
		k.Listed(id, id == 3) // lines about one that is gone are counted only
	}
	for i := range 5 { // counted from the second on
		push(Record{Server: 1, Started: s, Stated: fleet.Time(i+2) * s, Arrived: fleet.Time(i+2) * s, Attempts: 100 * uint64(i+1)})
	}
	push(Record{Server: 1, Started: s, Stated: 4 * s, Attempts: 300}) // overtaken
	push(Record{Server: 1, Started: s, Stated: 6 * s, Attempts: 500}) // repeated
	if at(1).served != 400 || k.trust.Repeated != 2 || k.trust.Odd != 0 {
		t.Errorf("%d served, %d repeated, %d odd", at(1).served, k.trust.Repeated, k.trust.Odd)
	}
	push(Record{Server: 1, Started: 7 * s, Stated: 8 * s, Arrived: 8 * s, Attempts: 30}) // restarted, and said so
	push(Record{Server: 1, Started: 7 * s, Stated: 9 * s, Arrived: 9 * s, Attempts: 10}) // fell
	push(Record{Server: 1, Started: 7 * s, Stated: 10 * s, Arrived: 10 * s, Attempts: 15})
	push(Record{Server: 1, Started: 7 * s, Stated: 11 * s, Arrived: 11 * s, Attempts: 20})
	if at(1).served != 435 || k.trust.Odd != 1 {
		t.Errorf("%d served after a restart and a fall, %d odd", at(1).served, k.trust.Odd)
	}
	nan := float32(math.NaN())
	for i, r := range []Record{{HasLoad: true, Load: [4]float32{nan}}, {HasLoad: true, Load: [4]float32{-1}}, {Attempts: 1, Failures: 2},
		{HasLoad: true, Load: [4]float32{float32(math.Inf(1))}}, {Attempts: 3, Successes: 4}, {Started: 99 * s, Stated: 98 * s}} {
		r.Server = fleet.ServerID(2 + i)
		if push(r); at(2+i).pushed != 0 || k.trust.Odd != uint64(2+i) {
			t.Errorf("%+v was believed", r)
		}
	}
	push(Record{Server: 20, Arrived: 19 * s, Attempts: 3})
	for i := range 3 {
		push(Record{Server: 20, Arrived: fleet.Time(20+i) * s, Failures: 9})
	}
	push(Record{Server: 20, Arrived: 24 * s, Attempts: 5})
	until := k.Distrusted(20)
	if until != 22*s+distrustFirst || at(20).pushed != 19*s {
		t.Errorf("distrusted until %d, pushed %d", until, at(20).pushed)
	}
	push(Record{Server: 20, Arrived: until + s, Attempts: 500})
	push(Record{Server: 20, Arrived: until + 2*s, Attempts: 507})
	if at(20).served != 7 {
		t.Errorf("%d served: what it said while it was not believed counts", at(20).served)
	}
	told := ""
	for _, n := range k.Look(100 * s) {
		told += fmt.Sprintf("%d %s\n", n.Server, n.Text)
	}
	for _, want := range []string{"1 its counter tries fell from 30 to 10", "2 it tells a load of NaN", "4 it counts more failed (2)", "not believed for 30 s"} {
		if !strings.Contains(told, want) {
			t.Errorf("staff are not told %q:\n%s", want, told)
		}
	}
	for i := range fleet.ServerID(20) { // a crowd that lies drowns no log
		push(Record{Server: 30 + i, Arrived: 101 * s, Failures: 9})
	}
	lines := len(k.Look(102 * s))
	later := fmt.Sprint(k.Look(200 * s))
	if strings.Contains(told, "\n3 ") || lines >= strikesTold || !strings.Contains(later, "more oddities of sources") {
		t.Errorf("%d lines of a crowd that lies; later: %s", lines, later)
	}
}

// TestClocksThatDiffer: ages go by a source's own clock as far as it was learned; what is late by it is not told as a load of
// now, nor as idle, and a minute of late reports at once doesn't pass for a clock that is off. A load never comes without tries.
func TestClocksThatDiffer(t *testing.T) {
	k := New(site())
	k.PushedLoads()
	k.Listed(1, false)
	k.Join(0, 1, 0, true)
	const off = 90 * s // ahead of us
	f := far{met: map[fleet.ServerID]counters.ServerCounters{}}
	push := func(now, taken fleet.Time) {
		k.Pushed(now, Record{Server: 1, Stated: taken + off, Arrived: now, HasLoad: true, Load: [4]float32{0.5}})
	}
	loads := func(now fleet.Time) (told int) {
		f.meets(1, 5, 0)
		k.Polled(now, 1, f.reading(now))
		events, _ := k.Tell(now)
		for _, e := range events {
			switch e := e.(type) {
			case fleet.ProbeResult:
				t.Errorf("%+v tells a load without tries", e)
			case fleet.OutcomeReport:
				if len(e.Load) > 0 {
					told++
					if e.Load[0] != 0.5 {
						t.Errorf("a load of %v", e.Load)
					}
				}
			}
		}
		return told
	}
	now := 100 * s
	loads(now)
	for range 5 {
		now += s
		push(now, now-20*fleet.Millisecond)
		if loads(now) != 1 {
			t.Errorf("a load of now is not told at %d", now/s)
		}
	}
	for i := range 60 { // a minute late, all at once
		push(now+60*s, now+fleet.Time(i)*s)
		late := 60 - i
		if age := k.age(k.standing(1), now+60*s); loads(now+60*s+fleet.Time(i)*fleet.Millisecond) > 0 && late > loadPeriods+1 || age < fleet.Time(late-1)*s {
			t.Errorf("a load %d s old is told, or taken for %.1f s old", late, age.Seconds())
		}
	}
	notices := fmt.Sprint(k.Look(now + 61*s))
	if !strings.Contains(notices, "its clock is off by 90.0 s") {
		t.Errorf("staff are not told of the clock: %s", notices)
	}
	for i := range 9 { // set right: behind where it was
		at := now + 62*s + fleet.Time(i)*s
		k.Pushed(at, Record{Server: 1, Stated: at + off - 85*s, Arrived: at, Attempts: uint64(i + 1), HasLoad: true})
	}
	if age := k.age(k.standing(1), now+70*s); age > s {
		t.Errorf("after its clock was set its report is %.1f s old", age.Seconds())
	}
	// The first report of another one is late: the shortest way counts, and one report is no clock.
	now, k.notices = now+100*s, nil
	for i, late := range []fleet.Time{10 * s, 0, 0, 10 * s} {
		at := now + fleet.Time(i)*20*s
		k.Pushed(at, Record{Server: 2, Stated: at - late, Arrived: at})
		if age := k.age(k.standing(2), at); i > 0 && age != late {
			t.Errorf("a report that took %.0f s is taken for %.1f s old", late.Seconds(), age.Seconds())
		}
	}
	if n := k.trust.strikes[len(k.trust.strikes)-1]; n.Server == 2 {
		t.Errorf("of a clock that is right staff are told %q", n.Text)
	}
}

// TestSilences has each of the ways in which reports stop, and a day without any.
func TestSilences(t *testing.T) {
	type at struct{ reports, good, failed, elsewhere, late bool } // of a server, from second 10 on
	for _, c := range []struct {
		name  string
		after at
		zoneB bool // fails from there
		want  HealthVerdict
	}{
		{"all is well", at{reports: true, good: true}, false, Well},
		{"its reporter broke", at{good: true}, false, Mute},
		{"it died", at{failed: true}, false, Dead},
		{"silent and not asked", at{}, false, Lost},
		{"cut off from the proxies", at{reports: true, failed: true}, false, Cut},
		{"one zone gets nothing", at{reports: true, good: true}, true, OneSided},
		{"visits that nobody polled sends", at{reports: true, elsewhere: true}, false, Unwatched},
		{"idle", at{reports: true}, false, Well},
		{"one report late", at{reports: true, good: true, late: true}, false, Well},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := New(site())
			fars := [4]far{}
			for i := range fars {
				fars[i].met = map[fleet.ServerID]counters.ServerCounters{}
				k.Join(0, fleet.ProxyID(i), fleet.ZoneID(i%2), true)
			}
			for id := range fleet.ServerID(4) {
				k.Listed(id, false)
			}
			noticed, notices, served := fleet.Time(0), 0, uint64(0)
			for now := s; now < 30*s; now += s / 4 {
				for id := range fleet.ServerID(4) {
					is := at{reports: true, good: true}
					if id == 1 && now > 10*s {
						is = c.after
					}
					for p := range fars {
						switch {
						case is.failed, id == 1 && now > 10*s && c.zoneB && p%2 == 1:
							fars[p].meets(id, 3, 3)
						case is.good:
							fars[p].meets(id, 3, 0)
						}
					}
					if served += 3; (is.reports || is.elsewhere) && now%s == 0 && (!is.late || now < 11*s || now > 13*s) || is.late && now == 13*s+s/4 {
						n := served
						if !is.good && !is.elsewhere {
							n = 500
						}
						k.Pushed(now, Record{Server: id, Stated: now, Arrived: now, Attempts: n})
					}
				}
				for p := range fars {
					if now%s == fleet.Time(p)*s/4 {
						k.Polled(now, fleet.ProxyID(p), fars[p].reading(now))
					}
				}
				for _, n := range k.Look(now) {
					if n.OfProxy || n.OfAll || n.Server != 1 || n.Good {
						t.Errorf("at %.1f: %+v", now.Seconds(), n)
						continue
					}
					if notices++; n.Verdict == c.want && noticed == 0 {
						noticed = now
					}
				}
			}
			if got := k.Views(30 * s)[1].Verdict; got != c.want {
				t.Errorf("taken for %s, it is %s", got, c.want)
			}
			if c.want != Well && (noticed == 0 || noticed > 15*s) || notices > 2 {
				t.Errorf("noticed %.1f s after, %d notices", (noticed - 10*s).Seconds(), notices)
			}
		})
	}
}

// TestOurOwnSideIsCut: when most reporters fall silent while their servers answer, it is told once and no server is blamed;
// a proxy that stops to answer polls is told apart.
func TestOurOwnSideIsCut(t *testing.T) {
	k := New(site())
	f := far{met: map[fleet.ServerID]counters.ServerCounters{}}
	k.Join(0, 0, 0, true)
	k.Join(0, 1, 1, true)
	for id := range fleet.ServerID(4) {
		k.Listed(id, false)
	}
	var text []string
	for now := s; now < 40*s; now += s {
		for id := range fleet.ServerID(4) {
			f.meets(id, 5, 0)
			if now < 10*s || now > 20*s {
				k.Pushed(now, Record{Server: id, Stated: now, Arrived: now, Attempts: uint64(now)})
			}
		}
		ask, _ := k.Polls(now)
		for _, id := range ask {
			if id == 0 || now < 25*s {
				k.Polled(now, id, f.reading(now))
			}
		}
		for _, n := range k.Look(now) {
			text = append(text, n.Text)
		}
	}
	all := strings.Join(text, "\n")
	if len(text) != 3 || !strings.Contains(text[0], "no reports come from 4 of 4") || !strings.Contains(text[1], "come again") ||
		!strings.Contains(text[2], "has not answered its poll") {
		t.Errorf("told:\n%s", all)
	}
}

// TestTurnsThatTakeTooLong: pushed reports are shed first, polls second, all comes back when turns are short again.
func TestTurnsThatTakeTooLong(t *testing.T) {
	k := New(site())
	k.rows = 10 * rowsPerS
	var rooms []int
	var periods, raised []fleet.Time
	now := s
	for ; now < 4*s; now += 100 * fleet.Millisecond {
		k.Took(now, 80*fleet.Millisecond)
		pushed, rows := k.Room()
		if n := len(rooms); n == 0 || rooms[n-1] != pushed {
			rooms, periods, raised = append(rooms, pushed), append(periods, k.period()), append(raised, now)
		}
		if rows != rowsATurn {
			t.Error("readings that came are not taken")
		}
	}
	if fmt.Sprint(rooms) != "[128 51 10]" || periods[0] != 10*s || periods[1] != 20*s || periods[2] != 40*s || raised[1]-raised[0] < raiseGap || raised[2]-raised[1] < raiseGap {
		t.Errorf("room for %v pushed reports, polls every %v", rooms, periods)
	}
	for ; now < 30*s; now += 100 * fleet.Millisecond {
		k.Took(now, fleet.Millisecond)
	}
	level, misses, _ := k.Shed()
	if notices := k.Look(now); level != 0 || misses != 30 || len(notices) != 6 || !strings.Contains(notices[0].Text, "turns took up to 80 ms") {
		t.Errorf("level %d, %d misses, %+v", level, misses, notices)
	}
}

// TestPollsAreSpread: 930 proxies are asked evenly over the period, none twice before its answer; with more rows than may be
// asked for the period grows, and each zone is still asked in each second.
func TestPollsAreSpread(t *testing.T) {
	for _, rows := range []int{0, 700} {
		k := New(site())
		for i := range 930 {
			k.Join(0, fleet.ProxyID(i), fleet.ZoneID(i%2), true)
		}
		asked, most, now := map[fleet.ProxyID]int{}, 0, fleet.Time(0)
		zones := [2][40]int{}
		for ; now < 40*s; now += 10 * fleet.Millisecond {
			ask, _ := k.Polls(now)
			most = max(most, len(ask))
			for _, id := range ask {
				asked[id]++
				zones[id%2][now/s]++
				if rows > 0 {
					r := counters.NewReading(2)
					r.At = now
					for i := range rows {
						r.Row(fleet.ServerID(i)).Attempts = uint64(now / s)
					}
					k.Polled(now, id, r)
					r.Release()
				}
			}
		}
		if most > 20 || len(asked) != 930 {
			t.Errorf("%d polls at once, evenly it would be 10; %d of 930 asked", most, len(asked))
		}
		for id, n := range asked {
			if rows == 0 && n != 1 || rows > 0 && (n < 25 || n > 40) {
				t.Errorf("proxy %d was asked %d times", id, n)
			}
		}
		for z := range zones {
			for at, n := range zones[z] {
				if rows > 0 && at > 2 && n < 200 {
					t.Errorf("in second %d only %d proxies of zone %d were asked", at, n, z)
				}
			}
		}
	}
}

// TestLateAnswersKeepThePlace: a proxy that answers late is asked again in its place of the period, not at once.
func TestLateAnswersKeepThePlace(t *testing.T) {
	k := New(site())
	k.Join(0, 1, 0, true)
	var asked []fleet.Time
	for now := fleet.Time(0); now < 30*s; now += 10 * fleet.Millisecond {
		if n := len(asked); n > 0 && now == asked[n-1]+1300*fleet.Millisecond {
			k.Polled(now, 1, (&far{}).reading(now))
		}
		if ask, _ := k.Polls(now); len(ask) > 0 {
			asked = append(asked, now)
		}
	}
	if len(asked) != 15 || asked[14] != 28*s {
		t.Errorf("asked %d times in 30 s: %v", len(asked), asked)
	}
}

func BenchmarkPolled(b *testing.B) { // readings of so many servers folded, and what is told of them; one op is a row
	for _, servers := range []int{350, 700, 1400} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			st := site()
			st.ReportsPerSecond = 500
			k := New(st)
			for i := range 930 {
				k.Join(0, fleet.ProxyID(i), 0, true)
			}
			r := counters.NewReading(2)
			for id := range servers {
				r.Row(fleet.ServerID(id))
			}
			now, i := s, 0
			round := func() {
				now += fleet.Millisecond
				r.At = now
				for j := range r.Rows {
					r.Rows[j].Attempts, r.Rows[j].Successes = uint64(i), uint64(i)
				}
				k.Polled(now, fleet.ProxyID(i%930), r)
				if i++; i%10 == 0 {
					k.Tell(now)
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

func BenchmarkPushed(b *testing.B) { // one op is a record put, taken and folded
	st := site()
	k, box := New(st), &Queue{}
	batch, now := make([]Record, 700), s
	var taken []Record
	round := func() {
		now += s
		for j := range batch {
			batch[j] = Record{Server: fleet.ServerID(j), Stated: now, Arrived: now, Attempts: uint64(now), HasLoad: true}
		}
		box.Put(now, batch)
		taken = box.Take(1000, taken[:0])
		for _, r := range taken {
			k.Pushed(now, r)
		}
		k.Tell(now)
	}
	for range 10 {
		round()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += len(batch) {
		round()
	}
}
