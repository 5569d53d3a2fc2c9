package lease

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

const sec = fleet.Second

// TestRankMovesFew: of proxies over governors each gets a fair part; one that leaves moves its own proxies only,
// one that joins takes only what becomes its own.
func TestRankMovesFew(t *testing.T) {
	var all []string
	for i := range 10 {
		all = append(all, fmt.Sprint("g", i))
	}
	const n = 5000
	first := func(governors []string) map[string]string {
		of := map[string]string{}
		for p := range n {
			name := fmt.Sprint("p", p)
			of[name] = Rank(name, governors)[0]
		}
		return of
	}
	before, after := first(all), first(all[:9])
	parts, moved := map[string]int{}, 0
	for p, g := range before {
		if parts[g]++; after[p] != g {
			if moved++; g != "g9" {
				t.Fatalf("%s moved from %s, which is there", p, g)
			}
		}
	}
	for g, k := range parts {
		if k < n/10*8/10 || k > n/10*12/10 {
			t.Errorf("%s has %d of %d", g, k, n)
		}
	}
	if moved != parts["g9"] {
		t.Errorf("%d moved, %d were g9's", moved, parts["g9"])
	}
}

// TestPlanIsEven: whatever the visits of proxies and however few they are, no governor has more than a tenth over
// an even part, or half of the largest proxy; one that joins or leaves moves little more than has to move; the
// order of names changes nothing.
func TestPlanIsEven(t *testing.T) {
	governors := []string{"governor-1", "governor-2", "governor-3", "governor-4", "governor-5"}
	loads := func(shares []ProxyLoad, plan map[string][]string) (most float64) {
		load := map[string]float64{}
		for _, s := range shares {
			load[plan[s.Proxy][0]] += s.RequestRate
			most = max(most, load[plan[s.Proxy][0]])
		}
		return most
	}
	rapid.Check(t, func(t *rapid.T) {
		var shares []ProxyLoad
		total, largest := 0.0, 0.0
		for i := range rapid.IntRange(1, 300).Draw(t, "proxies") {
			s := ProxyLoad{fmt.Sprintf("proxy-%02d", i), rapid.Float64Range(0.1, 20).Draw(t, "visits")}
			shares = append(shares, s)
			total, largest = total+s.RequestRate, max(largest, s.RequestRate)
		}
		n := rapid.IntRange(1, 4).Draw(t, "governors")
		plan := Plan(shares, governors[:n])
		even := total / float64(n)
		if most := loads(shares, plan); most > max(maxOverload*even, even+largest/2)+largest/2+1e-9 {
			t.Fatalf("%.1f visits at one governor, %.1f are even, the largest proxy has %.1f", most, even, largest)
		}
		slices.Reverse(shares)
		if turned := Plan(shares, governors[:n]); !reflect.DeepEqual(plan, turned) {
			t.Fatal("the order of names counts")
		}
	})
	var shares []ProxyLoad
	for i := range 2000 {
		shares = append(shares, ProxyLoad{fmt.Sprint("p", i), float64(1 + i%7)})
	}
	before, after := Plan(shares, governors[:4]), Plan(shares, governors)
	moved, least := 0, 0
	for p := range before {
		if after[p][0] != before[p][0] {
			moved++
		}
		if after[p][0] == governors[4] {
			least++
		}
	}
	t.Logf("a fifth governor takes %d of 2,000 proxies; %d move in all", least, moved)
	if moved > least*3/2 || least < 300 {
		t.Errorf("%d move, %d had to", moved, least)
	}
}

// world of one proxy's entries and some governors' leases, on time of its own. Sessions and takeovers go as the
// front makes them, at once.
type proxy struct {
	entries map[string]Entry
	leases  map[string]*Lease
	holds   map[string]bool
	dead    map[string]bool
	clock   map[string]fleet.Time // that a governor's own clock is ahead
	now     fleet.Time
	moves   Moves
	order   []string // in which governors come to look
	changes int      // of who holds
	last    string
}

func newProxy(governors ...string) *proxy {
	p := &proxy{entries: map[string]Entry{}, leases: map[string]*Lease{}, holds: map[string]bool{}, dead: map[string]bool{}, clock: map[string]fleet.Time{}, now: 1000 * sec, order: Rank("p", []string{"a", "b", "c"})}
	p.order = []string{p.order[1], p.order[2], p.order[0]} // when one hands on the worst comes next: the best must not need luck
	for _, g := range governors {
		p.leases[g] = NewLease(g, Rank("p", governors))
	}
	return p
}

func (p *proxy) read() (all []Entry) {
	for _, g := range Rank("p", []string{"a", "b", "c"}) {
		if e, is := p.entries[g]; is {
			all = append(all, e)
		}
	}
	return all
}

// tick lets a second pass for all that live.
func (p *proxy) tick() {
	p.now += sec
	defer func() {
		if h := p.holder(); h != "" && h != p.last {
			p.changes, p.last = p.changes+1, h
		}
	}()
	for _, g := range p.order {
		l := p.leases[g]
		if l == nil || p.dead[g] {
			continue
		}
		now := p.now + p.clock[g]
		if p.holds[g] {
			e := l.Next()
			e.Want, e.WantHand = p.entries[g].Want, p.entries[g].WantHand
			p.entries[g] = e
			switch l.Holding(now, p.read(), &p.moves) {
			case Lost:
				p.holds[g] = false
				l.Drop()
			case Release:
				p.holds[g] = false
				e := l.Leave(false)
				e.Want, e.WantHand = p.entries[g].Want, p.entries[g].WantHand
				p.entries[g] = e
				l.Drop()
			}
			continue
		}
		switch act, _ := l.Look(now, p.read()); act {
		case Claim:
			e := l.Begin(now, p.read())
			e.Want = p.entries[g].Want
			p.entries[g] = e
			for other := range p.holds { // their sessions end
				if other != g && p.holds[other] {
					p.holds[other] = false
					if !p.dead[other] {
						p.leases[other].Drop()
					}
				}
			}
			p.holds[g] = l.Took(now, p.read())
		case Want:
			e := p.entries[g]
			e.Controller = g
			e.Want, e.WantHand = ParseWant(l.Ask())
			p.entries[g] = e
		}
	}
}

func (p *proxy) holder() (who string) {
	for g, is := range p.holds {
		if is && !p.dead[g] {
			who += g
		}
	}
	return who
}

// TestWhoHolds: the best ranked takes a proxy first; when it dies the next one does within its time; when it is
// back it asks and is given it, but not before it has been held for a while, and not by one word left from long
// ago; clocks that differ by an hour change nothing.
func TestWhoHolds(t *testing.T) {
	r := Rank("p", []string{"a", "b", "c"})
	p := newProxy("a", "b", "c")
	p.clock[r[1]], p.clock[r[2]] = 3600*sec, -3600*sec
	until := func(want string, most int) {
		t.Helper()
		for i := 0; p.holder() != want; i++ {
			if i >= most {
				t.Fatalf("%q holds after %d s, not %s", p.holder(), most, want)
			}
			p.tick()
		}
	}
	until(r[0], 3)
	for range 30 {
		if p.tick(); p.holder() != r[0] {
			t.Fatalf("%q holds", p.holder())
		}
	}
	p.dead[r[0]] = true
	died := p.now
	p.tick()
	p.leases[r[1]].Drop() // its session broke meanwhile
	until(r[1], 9)
	if after := p.now - died; after < leaseDuration || after > leaseDuration+2*sec {
		t.Errorf("taken after %.0f s", after.Seconds())
	}
	p.holds[r[1]], p.leases[r[1]] = false, NewLease(r[1], r) // a new life of the holder
	if p.tick(); p.holder() != r[1] {
		t.Errorf("%q holds after the holder's restart", p.holder())
	}
	if l := NewLease("a", []string{"a"}); l.Begin(0, nil).Epoch != 1 || l.Holding(0, []Entry{{Controller: "a", Epoch: 2}}, &Moves{}) != Lost {
		t.Error("another process of the same name is taken for this one")
	}
	p.dead[r[0]], p.holds[r[0]] = false, false // a new life: what it held is taken
	p.leases[r[0]] = NewLease(r[0], r)
	delete(p.entries, r[0]) // as one that stops in order leaves nothing
	took, changes := p.now, p.changes
	until(r[0], 20)
	if p.changes != changes+1 {
		t.Errorf("went through %d hands on its way back", p.changes-changes)
	}
	if p.now-took < minHoldDuration-sec {
		t.Errorf("handed on after %.0f s", (p.now - took).Seconds())
	}
	p.dead[r[0]], p.dead[r[1]] = true, true
	until(r[2], 12)
	p.entries[r[0]] = Entry{Controller: r[0], Want: 77} // one word, and gone
	for range 30 {
		if p.tick(); p.holder() != r[2] {
			t.Fatalf("%q holds: handed on to one that is gone", p.holder())
		}
	}
}

// TestRandomLives: whoever dies, stands still and comes back when, never do two hold; somebody does within a bound
// when somebody lives.
func TestRandomLives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newProxy("a", "b", "c")
		without := 0
		for range rapid.IntRange(5, 120).Draw(t, "seconds") {
			g := []string{"a", "b", "c"}[rapid.IntRange(0, 2).Draw(t, "who")]
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				p.dead[g] = true
			case 1: // stood still, and goes on as it was
				p.dead[g] = false
			case 2: // a new life
				p.dead[g], p.holds[g] = false, false
				p.leases[g] = NewLease(g, Rank("p", []string{"a", "b", "c"}))
			case 3:
				p.entries = map[string]Entry{} // the proxy restarted
				for g := range p.holds {
					if p.holds[g] {
						p.holds[g] = false
						p.leases[g].Drop()
					}
				}
			}
			p.order = rapid.Permutation([]string{"a", "b", "c"}).Draw(t, "order")
			p.tick()
			if len(p.holder()) > 1 {
				t.Fatalf("%s hold", p.holder())
			}
			if without++; p.holder() != "" || p.dead["a"] && p.dead["b"] && p.dead["c"] {
				without = 0
			}
		}
		for g := range p.dead {
			p.dead[g] = false
		}
		for i := 0; p.holder() == ""; i++ {
			if p.tick(); i > 12 {
				t.Fatal("nobody holds")
			}
		}
	})
}

// TestRetired: a governor that retires hands on at once and takes nothing that others would; it serves what nobody
// else does.
func TestRetired(t *testing.T) {
	r := Rank("p", []string{"a", "b", "c"})
	p := newProxy("a", "b", "c")
	p.tick()
	p.leases[r[0]].Retire(true)
	p.tick()
	if p.tick(); p.holder() != r[1] { // nobody waits for one that said that it retires
		t.Errorf("%q holds", p.holder())
	}
	for range 8 {
		p.tick()
	}
	if h, at := p.leases[r[2]].Seen(); h.Controller != r[1] || at < p.now-2*sec-2*3600*sec {
		t.Errorf("%+v is seen to hold", h)
	}
	p.dead[r[1]], p.dead[r[2]] = true, true
	for range 14 {
		p.tick()
	}
	if p.holder() != r[0] {
		t.Errorf("%q holds when nobody else lives", p.holder())
	}
	p.dead[r[1]], p.dead[r[2]], p.holds[r[1]] = false, false, false
	for range 20 {
		p.tick()
	}
	if h := p.holder(); h == r[0] || h == "" {
		t.Errorf("%q holds", h)
	}
	p.leases[r[0]].Retire(false)
	for range 20 {
		p.tick()
	}
	if p.holder() != r[0] {
		t.Errorf("%q holds, not the one that is back", p.holder())
	}
}

// TestByHand: staff move a proxy to the worst ranked governor, which keeps it though others rank better, until
// staff end that; when it dies the others take it as any.
func TestByHand(t *testing.T) {
	r := Rank("p", []string{"a", "b", "c"})
	p := newProxy("a", "b", "c")
	run := func(n int, want string) {
		t.Helper()
		for range n {
			p.tick()
		}
		if p.holder() != want {
			t.Errorf("%q holds, not %s", p.holder(), want)
		}
	}
	run(5, r[0])
	p.leases[r[2]].Take(true)
	run(5, r[2])
	run(40, r[2])
	p.dead[r[2]] = true
	run(12, r[0])
	p.dead[r[2]] = false
	p.holds[r[2]] = false
	run(6, r[2])
	p.leases[r[2]].Take(false)
	run(16, r[0])
}

// TestMoves: no more are handed on a second than a channel bears.
func TestMoves(t *testing.T) {
	m, now := Moves{}, 10*sec
	for range 10 {
		for range 1000 {
			m.Take(now)
		}
		now += sec
	}
	if m.Made > maxMovesBurst+9*movesPerSecond+1 || m.Made < 9*movesPerSecond {
		t.Errorf("%d moves in ten seconds", m.Made)
	}
}

// TestEntries: what is printed is read; what makes no sense holds nothing.
func TestEntries(t *testing.T) {
	for _, e := range []Entry{{Controller: "g", Epoch: 1 << 60, Beat: 9}, {Controller: "g", Epoch: 7, Retired: true}, {Controller: "g", Epoch: 7, Hand: true}} {
		if got := ParseEntry("g", e.String()); got != e {
			t.Errorf("%+v", got)
		}
	}
	for _, text := range []string{"", "1", "x.y", "-1.2", "zzzzzzzzzzzzzzzzz.1"} {
		if got := ParseEntry("g", text); got.Epoch != 0 {
			t.Errorf("%q: %+v", text, got)
		}
	}
}

// BenchmarkPlan plans 10,000 proxies over 30 governors.
func BenchmarkPlan(b *testing.B) {
	var governors []string
	var proxies []ProxyLoad
	for i := range 30 {
		governors = append(governors, fmt.Sprint("governor-", i))
	}
	for i := range 10_000 {
		proxies = append(proxies, ProxyLoad{fmt.Sprint("proxy-", i), float64(i % 9)})
	}
	for b.Loop() {
		Plan(proxies, governors)
	}
}
