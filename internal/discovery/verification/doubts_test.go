package verification

import (
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

// yard is a fleet of servers, some of them gone, that a kept list names.
type yard struct {
	d    *Verifier
	now  fleet.Time
	up   map[fleet.ServerID]bool
	out  map[fleet.ServerID]bool
	part map[fleet.ServerID]float64
	ask  []fleet.ServerID
	says string
	most int // asked at once
}

func newYard(site fleet.Site, age fleet.Time, asks bool, up ...bool) *yard {
	y := &yard{d: NewVerifier(site, asks), now: 1000 * s, up: map[fleet.ServerID]bool{}, out: map[fleet.ServerID]bool{}, part: map[fleet.ServerID]float64{}}
	var names []NamedEndpoint
	for i, is := range up {
		id := fleet.ServerID(i)
		y.up[id], y.part[id] = is, 1
		names = append(names, NamedEndpoint{Endpoint: fleet.Endpoint{Server: id, Zone: fleet.ZoneID(i % 2)}, Addr: string(rune('a' + i))})
	}
	y.d.Begin(y.now, age, names)
	return y
}

// step lets a tenth of a second pass; answers come at once if the prober reaches servers.
func (y *yard) step(t interface{ Fatalf(string, ...any) }, reaches bool) Plan {
	y.now += s / 10
	p := y.d.Next(y.now)
	y.d.dirty = true
	if again := y.d.Next(y.now); len(again.Ask)+len(again.Out)+len(again.In)+len(again.Parts) > 0 {
		t.Fatalf("says more at the same time: %+v", again)
	}
	y.ask = append(y.ask, p.Ask...)
	y.most = max(y.most, len(y.ask))
	for _, e := range p.Out {
		if y.out[e.Server] || e.State != fleet.ServerGone {
			t.Fatalf("%+v is told gone, out %v", e, y.out[e.Server])
		}
		y.out[e.Server] = true
	}
	for _, e := range p.In {
		if !y.out[e.Server] || e.State != fleet.ServerReady {
			t.Fatalf("%+v is told back, out %v", e, y.out[e.Server])
		}
		y.out[e.Server] = false
	}
	for _, one := range p.Parts {
		if before := y.part[one.Server]; one.Of <= 0 || one.Of > 1 || before > 0 && one.Of > rampBy*before+1e-9 && !y.out[one.Server] {
			t.Fatalf("part of %d from %v to %v", one.Server, before, one.Of)
		}
		y.part[one.Server] = one.Of
	}
	for _, say := range p.Notices {
		y.says += say.Text + "\n"
	}
	for _, id := range y.ask {
		proof := Nobody
		if reaches && y.up[id] {
			proof = Someone
		}
		y.d.Asked(y.now, id, proof)
	}
	y.ask = y.ask[:0]
	return p
}

func (y *yard) outs() (n int) {
	for _, out := range y.out {
		if out {
			n++
		}
	}
	return n
}

// visits lets each server that is in meet some.
func (y *yard) visits() {
	for id, up := range y.up {
		if !y.out[id] && up {
			y.d.Met(y.now, id, 2, 0)
		} else if !y.out[id] {
			y.d.Met(y.now, id, 0, 2)
		}
	}
}

var day = 24 * 3600 * s

// TestADayOldList: half of its names are gone. Those are out within three seconds, the others stay, first at a part of their
// weight; when the source is back the parts rise by steps, and nobody is doubted at the end.
func TestADayOldList(t *testing.T) {
	y := newYard(fleet.Site{}, day, true, true, false, true, false, true, false, true, false)
	for range 5 {
		if y.step(t, true); y.outs() > 0 {
			t.Fatal("out before anybody was asked")
		}
	}
	for range 25 {
		y.step(t, true)
	}
	for id, up := range y.up {
		if y.out[id] == up {
			t.Errorf("server %d: up %v, out %v: %+v", id, up, y.out[id], y.d.Views())
		}
	}
	if !strings.Contains(y.says, "4 answer, 4 are shut out") || strings.Count(y.says, "nobody answers") != 4 {
		t.Error(y.says)
	}
	y.up[1] = true // one was only late
	for range 60 {
		y.step(t, true)
	}
	if y.out[1] {
		t.Error("one that is back stays out")
	}
	var l fleet.EndpointList
	for id := range y.up {
		if id != 3 {
			l.Endpoints = append(l.Endpoints, fleet.Endpoint{Server: id})
			y.out[id] = false
		}
	}
	y.d.Live(y.now, l)
	for range 100 {
		y.step(t, true)
	}
	if y.d.Active() || !strings.Contains(y.says, "names 7 of the 8 servers") {
		t.Errorf("%+v\n%s", y.d.Views(), y.says)
	}
	for id, part := range y.part {
		if part != 1 {
			t.Errorf("server %d ends at a part of %v", id, part)
		}
	}
}

// TestBlindProbers: a governor that reaches no server itself shuts nobody out by that; what proxies meet decides. Then the ones that
// handle nothing go, though the prober sees nothing still.
func TestBlindProbers(t *testing.T) {
	y := newYard(fleet.Site{}, day, true, true, true, true, false)
	for range 40 {
		if y.step(t, false); y.outs() > 0 {
			t.Fatal("shut out by a blind prober")
		}
	}
	for range 40 {
		y.visits()
		y.step(t, false)
	}
	if y.outs() != 1 || !y.out[3] {
		t.Errorf("%+v", y.d.Views())
	}
}

// TestNobodyIsLeftWithout: all that a list names are gone, or all but one; where a class stays in its zone each zone keeps one.
func TestNobodyIsLeftWithout(t *testing.T) {
	y := newYard(fleet.Site{Classes: []fleet.RequestClass{{ZoneLocal: true}}}, day, true, true, false, false, false, false, false)
	for range 100 {
		y.visits()
		if y.step(t, true); y.outs() == len(y.up) {
			t.Fatal("all are out")
		}
		odd := 0
		for id := range y.up {
			if id%2 == 1 && !y.out[id] {
				odd++
			}
		}
		if odd == 0 {
			t.Fatal("a zone is empty")
		}
	}
	if y.outs() != 4 {
		t.Errorf("%d are out: %+v", y.outs(), y.d.Views())
	}
	// What is in goes, too: then nothing tells who is gone, and those that were out are tried again.
	y.up[0] = false
	back := false
	for range 200 {
		y.visits()
		y.step(t, false)
		back = back || y.outs() == 0
	}
	if !back {
		t.Errorf("nobody was let in again: %+v", y.d.Views())
	}
}

// TestAddresses: of two names at one address the one that started later has it; a server that says another name is out; one that takes
// connections and handles nothing is out.
func TestAddresses(t *testing.T) {
	d := NewVerifier(fleet.Site{}, true)
	d.Begin(0, day, []NamedEndpoint{{Endpoint: fleet.Endpoint{Server: 1, Started: 5 * s}, Addr: "x"}, {Endpoint: fleet.Endpoint{Server: 2, Started: 9 * s}, Addr: "x"},
		{Endpoint: fleet.Endpoint{Server: 3}, Addr: "y"}, {Endpoint: fleet.Endpoint{Server: 4}, Addr: "z"}, {Endpoint: fleet.Endpoint{Server: 5}, Addr: "w"}})
	out := map[fleet.ServerID]string{}
	for now := fleet.Time(0); now < 5*s; now += s / 10 {
		p := d.Next(now)
		for _, e := range p.Out {
			out[e.Server] = "out"
		}
		for _, id := range p.Ask {
			d.Asked(now, id, map[fleet.ServerID]Evidence{2: Itself, 3: Another, 4: Someone, 5: Itself}[id])
		}
		if now > 2*s {
			d.Met(now, 4, 0, 3)
			d.Met(now, 5, 1, 0)
		}
	}
	if len(out) != 3 || out[1] == "" || out[3] == "" || out[4] == "" {
		t.Errorf("%v %+v", out, d.Views())
	}
	d = NewVerifier(fleet.Site{}, true)
	d.Begin(0, 0, []NamedEndpoint{{Endpoint: fleet.Endpoint{Server: 1}, Addr: "x"}, {Endpoint: fleet.Endpoint{Server: 2}, Addr: "x"}, {Endpoint: fleet.Endpoint{Server: 3}, Addr: "y"}})
	if p := d.Next(0); len(p.Out) != 0 || len(p.Parts) != 2 || p.Parts[0].Of != 0.5 || p.Parts[1].Of != 0.5 {
		t.Errorf("two at one address, nobody knows whose: %+v", p)
	}
}

// TestParts: what servers get by what is known of them. Ten servers of a list of a day before; so many have handled visits, so many take
// connections, the rest is untried.
func TestParts(t *testing.T) {
	for _, c := range []struct {
		proven, reached, doubtful int
		age                       fleet.Time
		want                      [3]float64 // of proven, reached, untried ones
	}{
		{0, 0, 0, day, [3]float64{0, 0, 1}},             // nothing is known of any: all alike
		{9, 0, 0, day, [3]float64{1, 0, 0.05}},          // worth what its age leaves
		{9, 0, 0, 3600 * s, [3]float64{1, 0, 0.506}},    // the same, of an hour
		{5, 0, 0, 3600 * s, [3]float64{1, 0, 1.0 / 3}},  // all unproven ones have a quarter of the visits
		{2, 0, 0, day, [3]float64{1, 0, 3.0 / 8}},       // two would be crowded
		{5, 4, 0, day, [3]float64{1, 0.5, 0.05}},        // half for an address that answers
		{5, 4, 0, 600 * s, [3]float64{1, 0.901, 0.901}}, // more where the list is young
		{9, 0, 1, 2400 * s, [3]float64{1, 0, 0.05}},     // of the list before that: worth least at any age
		{9, 0, 0, 30 * s, [3]float64{1, 0, 1}},          // as good as told now
	} {
		d := NewVerifier(fleet.Site{}, true)
		var names []NamedEndpoint
		for i := range 10 {
			names = append(names, NamedEndpoint{Endpoint: fleet.Endpoint{Server: fleet.ServerID(i)}, Addr: string(rune('a' + i)), Unverified: i >= 10-c.doubtful})
		}
		d.Begin(0, c.age, names)
		d.Next(patience) // all are asked
		for i := range c.proven {
			d.Asked(patience, fleet.ServerID(i), Itself)
		}
		for i := range c.reached {
			d.Asked(patience, fleet.ServerID(c.proven+i), Someone)
		}
		for at := patience; at < 20*s; at += s {
			d.Next(at)
		}
		views := d.Views()
		for k, i := range []int{0, c.proven, 9} {
			if c.want[k] > 0 && math.Abs(views[i].Part-c.want[k]) > 0.12*c.want[k] {
				t.Errorf("%+v: server %d gets %.3f of its weight, want %.3f", c, i, views[i].Part, c.want[k])
			}
		}
	}
}

// TestAsks: so many are asked at once and no more; one that stays away is asked less and less often, and told once; one that handles
// visits is not put out by asks that come to nothing, and one whose visits fail is asked, and stays if it is there.
func TestAsks(t *testing.T) {
	y := newYard(fleet.Site{}, day, true, make([]bool, 300)...)
	y.up[0] = true
	if y.now += patience; len(y.d.Next(y.now).Ask) != asksAtOnce {
		t.Errorf("%d are asked at once", y.most)
	}
	y = newYard(fleet.Site{}, day, true, true, false, true)
	asked := 0
	for range 1200 {
		p := y.step(t, true)
		for _, id := range p.Ask {
			if id == 1 {
				asked++
			}
		}
		y.visits()
	}
	if asked < 5 || asked > 12 || strings.Count(y.says, "nobody answers") != 1 {
		t.Errorf("asked %d times in two minutes: %s", asked, y.says)
	}
	for i := range 1600 { // comes and goes
		y.up[1] = i/400%2 == 0
		y.step(t, true)
		y.visits()
	}
	if strings.Count(y.says, "nobody answers") != 1 || !y.out[1] {
		t.Errorf("out %v: %s", y.out[1], y.says)
	}
	d := NewVerifier(fleet.Site{}, true)
	d.Begin(0, day, []NamedEndpoint{{Endpoint: fleet.Endpoint{Server: 0}, Addr: "a"}, {Endpoint: fleet.Endpoint{Server: 1}, Addr: "b"}})
	d.Next(patience)
	d.Asked(patience, 1, Itself)
	d.Met(patience, 0, 5, 0) // while it is asked
	for at := patience; at < 4*s; at += s / 10 {
		d.Asked(at, 0, Nobody)
		if p := d.Next(at); len(p.Out)+len(p.Ask) > 0 {
			t.Fatalf("one that handles visits: %+v", p)
		}
	}
	asks := 0
	for at := 4 * s; at < 8*s; at += s / 10 {
		d.Met(at, 0, 0, 2)
		d.Met(at, 1, 2, 0)
		p := d.Next(at)
		if asks += len(p.Ask); len(p.Ask) > 0 {
			d.Asked(at, 0, Someone)
		}
		if len(p.Out) > 0 || d.Views()[0].Sight != Proven {
			t.Fatalf("one that is there, with a trouble: %+v %+v", p, d.Views())
		}
	}
	if asks < 2 || asks > 12 {
		t.Errorf("asked %d times while its visits fail", asks)
	}
	for at := 8 * s; at < 12*s; at += s / 10 {
		d.Met(at, 0, 0, 2)
		d.Met(at, 1, 2, 0)
		if p := d.Next(at); len(p.Ask) > 0 {
			d.Asked(at, 0, Nobody)
		}
	}
	if v := d.Views()[0]; v.Sight != Refuted || !v.Out {
		t.Errorf("one that handled visits and is gone: %+v", v)
	}
}

// TestRandomDoubts: whatever is reached, met and told when, somebody stays in, at most so many are asked at once, parts rise by steps
// only, a plan never repeats itself, and a list of the source ends all doubts.
func TestRandomDoubts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		up := rapid.SliceOfN(rapid.Bool(), 1, 12).Draw(t, "up")
		y := newYard(fleet.Site{}, fleet.Time(rapid.IntRange(0, 90_000).Draw(t, "age"))*s, rapid.Bool().Draw(t, "asks"), up...)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				id := fleet.ServerID(rapid.IntRange(0, len(up)-1).Draw(t, "turns"))
				y.up[id] = !y.up[id]
			case 1, 2, 3:
				y.visits()
			}
			y.step(t, rapid.IntRange(0, 3).Draw(t, "reaches") > 0)
			if y.outs() == len(up) {
				t.Fatalf("all are out: %+v", y.d.Views())
			}
		}
		var l fleet.EndpointList
		for id := range y.up {
			l.Endpoints, y.out[id] = append(l.Endpoints, fleet.Endpoint{Server: id}), false
		}
		y.d.Live(y.now, l)
		for range 80 {
			y.step(t, true)
		}
		if y.d.Active() || y.d.asking != 0 {
			t.Fatalf("still in doubt: %+v", y.d.Views())
		}
		for id, part := range y.part {
			if math.Abs(part-1) > 1e-9 {
				t.Fatalf("server %d ends at %v", id, part)
			}
		}
	})
}
