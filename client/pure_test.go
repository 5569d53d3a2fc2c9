package client

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/service"
	"cressknot/internal/tableversion"
)

const sec = fleet.Second

func nameOf(id fleet.ServerID) (string, string) { return fmt.Sprint("s", id), fmt.Sprint("x:", id) }

// TestHeldIsWhatTheViewIs: updates of two governors come late, twice or not at all; what is taken in is always a state that some governor
// told, whole; a governor with an older list is not followed while a newer word is fresh; the last whole brings all together.
func TestHeldIsWhatTheViewIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := []*service.View{service.NewView("g1", "a", 5, []string{"look", "book"}), service.NewView("g2", "a", 9, []string{"look", "book"})}
		revs := []uint64{1, 1}
		h, now := NewHeld(), 100*sec
		told := map[string]bool{} // states, by what shows of them
		show := func(lines []service.Endpoint) string { return fmt.Sprint(lines) }
		stateOf := func(v *service.View) string {
			u := v.Since(tableversion.NoVersion)
			return show(u.Classes[0].Endpoints)
		}
		var late []service.Update
		highest, heard := uint64(0), fleet.Time(0)
		deliver := func(u service.Update) {
			lines, _, _, _ := h.Lines("look")
			before := show(lines)
			_, version := h.Holds()
			verdict, why := h.Update(now, &u)
			lines, _, _, known := h.Lines("look")
			switch _, v := h.Holds(); verdict {
			case Taken:
				if known && len(lines) > 0 && !told[show(lines)] {
					t.Fatalf("holds %v, which nobody told", lines)
				}
				if u.ListRevision < highest && now < heard+olderAfter {
					t.Fatalf("goes by list %d after %d", u.ListRevision, highest)
				}
				highest, heard = u.ListRevision, now
			case Same:
				highest, heard = u.ListRevision, now
			case Broken:
				t.Fatalf("%s: %+v", why, u)
			default:
				if show(lines) != before || v != version {
					t.Fatalf("not taken, and %s became %s", before, show(lines))
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			g := rapid.IntRange(0, 1).Draw(t, "governor")
			v := views[g]
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				id := fleet.ServerID(rapid.IntRange(0, 5).Draw(t, "server"))
				w := int16(rapid.IntRange(0, 256).Draw(t, "weight"))
				for _, k := range []reconcile.ChangeKind{reconcile.AddEntry, reconcile.UpdateEntry} {
					v.Apply([]reconcile.Change{{Kind: k, Server: id, Weight: w, State: reconcile.State(rapid.IntRange(1, 3).Draw(t, "state"))}}, nameOf)
				}
				told[stateOf(v)] = true
			case 2:
				revs[g] += uint64(rapid.IntRange(0, 2).Draw(t, "rev"))
				v.SetState(service.PublishedState{ListRevision: revs[g], Open: []string{"s0", "s1", "s2", "s3", "s4", "s5"}})
			case 3:
				deliver(v.Heartbeat())
			case 4:
				late = append(late, v.Since(h.Asks([]string{"g1", "g2"}[g])))
			case 5:
				if len(late) > 0 {
					deliver(late[rapid.IntRange(0, len(late)-1).Draw(t, "late")])
				}
			default:
				deliver(v.Since(h.Asks([]string{"g1", "g2"}[g])))
			}
			now += fleet.Time(rapid.IntRange(0, 3000).Draw(t, "ms")) * fleet.Millisecond
		}
		now += olderAfter
		views[0].SetState(service.PublishedState{ListRevision: revs[0]})
		u := views[0].Since(tableversion.NoVersion)
		if verdict, why := h.Update(now, &u); verdict != Taken {
			t.Fatalf("the whole is not taken: %s", why)
		}
		if lines, _, _, _ := h.Lines("look"); u.Classes[0].Published && show(lines) != stateOf(views[0]) {
			t.Fatalf("holds %v of %s", lines, stateOf(views[0]))
		}
	})
}

// TestBrokenUpdates: what makes no sense changes nothing.
func TestBrokenUpdates(t *testing.T) {
	v := service.NewView("g", "a", 5, []string{"look"})
	v.Apply([]reconcile.Change{{Kind: reconcile.AddEntry, Server: 1, Weight: 9, State: reconcile.StateReady}}, nameOf)
	h := NewHeld()
	good := v.Since(tableversion.NoVersion)
	if verdict, why := h.Update(sec, &good); verdict != Taken {
		t.Fatal(why)
	}
	for name, c := range map[string]struct {
		change func(*service.Update)
		want   Verdict
	}{
		"a digest that is not its lines'": {func(u *service.Update) { u.Classes[0].Digest++ }, Broken},
		"a weight over all":               {func(u *service.Update) { u.Classes[0].Endpoints[0].Weight = 300 }, Broken},
		"no address":                      {func(u *service.Update) { u.Classes[0].Endpoints[0].Addr = "" }, Broken},
		"no class":                        {func(u *service.Update) { u.Classes[0].Class = "" }, Broken},
		"too many lines":                  {func(u *service.Update) { u.Classes[0].Endpoints = make([]service.Endpoint, linesMost+1) }, Broken},
		"a change from elsewhere":         {func(u *service.Update) { u.From = tableversion.Version{Epoch: 4, Count: 1} }, Resync},
		"an older version":                {func(u *service.Update) { u.To = tableversion.Version{Epoch: 4, Count: 1} }, Behind},
	} {
		u := v.Since(tableversion.NoVersion)
		c.change(&u)
		if verdict, _ := h.Update(2*sec, &u); verdict != c.want {
			t.Errorf("%s: verdict %d", name, verdict)
		}
		if lines, _, _, _ := h.Lines("look"); len(lines) != 1 || lines[0].Weight != 9 {
			t.Errorf("%s: holds %v", name, lines)
		}
	}
}

// TestChanges: a change that does not add up changes nothing; a class that its governor lays at last replaces what was held of another
// one, without asking for the whole; a whole without a class ends it.
func TestChanges(t *testing.T) {
	v := service.NewView("g", "a", 5, []string{"look", "book"})
	v.Apply([]reconcile.Change{{Kind: reconcile.AddEntry, Server: 1, Weight: 9, State: reconcile.StateReady}, {Kind: reconcile.AddEntry, Class: 1, Server: 1, Weight: 9, State: reconcile.StateReady}}, nameOf)
	h := NewHeld()
	held := func() string {
		look, _, _, _ := h.Lines("look")
		book, _, _, known := h.Lines("book")
		return fmt.Sprint(look, book, known)
	}
	take := func(u service.Update, want Verdict) {
		t.Helper()
		if verdict, why := h.Update(sec, &u); verdict != want {
			t.Errorf("%d: %s", verdict, why)
		}
	}
	take(v.Since(tableversion.NoVersion), Taken)
	before, from := held(), v.Version()
	v.Apply([]reconcile.Change{{Kind: reconcile.UpdateEntry, Server: 1, Weight: 4}, {Kind: reconcile.AddEntry, Server: 2, Weight: 4, State: reconcile.StateReady}}, nameOf)
	wrong := v.Since(from)
	wrong.Classes[0].Digest++
	if take(wrong, Resync); held() != before {
		t.Errorf("a change that does not add up left %s of %s", held(), before)
	}
	take(v.Since(from), Taken)

	next := service.NewView("g", "a", 6, []string{"look", "book"})
	next.SetState(service.PublishedState{Open: []string{"s1"}})
	take(next.Since(tableversion.NoVersion), Taken)
	if is := held(); is != "[{s1 x:1 4}] [{s1 x:1 9}] true" {
		t.Errorf("holds %s, s1 alone is open", is)
	}
	from = next.Version()
	next.Apply([]reconcile.Change{{Kind: reconcile.AddEntry, Server: 3, Weight: 7, State: reconcile.StateReady}}, nameOf)
	if take(next.Since(from), Taken); held() != "[{s3 x:3 7}] [{s1 x:1 9}] true" {
		t.Errorf("holds %s", held())
	}
	one := next.Since(tableversion.NoVersion)
	one.Classes = one.Classes[:1]
	if take(one, Taken); held() != "[{s3 x:3 7}] [] false" {
		t.Errorf("holds %s", held())
	}
}

// TestNoEffectTwice goes through all classes, modes and outcomes of up to three tries: after a try that may have run an unsafe visit is
// never tried again, a keyed one only within its window and where servers know the repeat; nothing goes past the governor's mode.
func TestNoEffectTwice(t *testing.T) {
	for _, class := range []fleet.RequestClass{{Idempotency: fleet.Idempotent}, {Idempotency: fleet.NotIdempotent, DeduplicationWindow: 60 * sec, Deadline: 2 * sec}, {Idempotency: fleet.IdempotentWithKey, DeduplicationWindow: 5 * sec, Deadline: 2 * sec}, {Idempotency: fleet.IdempotentWithKey, DeduplicationScope: fleet.DeduplicationZone, DeduplicationWindow: 5 * sec, Deadline: 2 * sec}} {
		for mode := fleet.RetryNever; mode <= fleet.RetryTwice; mode++ {
			for outcomes := range 27 {
				v, now, ran, first := NewVisit(class, mode), 100*sec, false, fleet.Time(0)
				for n, left := 0, outcomes; n < 3; n, left = n+1, left/3 {
					v.Begin()
					o := Outcome(left % 3)
					v.Ended(now, o)
					if o == Failed && !ran {
						ran, first = true, now
					}
					now += 2500 * fleet.Millisecond
					place, again := v.Again(now, o)
					if !again {
						break
					}
					if o == Good || mode == fleet.RetryNever || n >= 2 || n == 1 && mode != fleet.RetryTwice || mode == fleet.RetryIfNotExecuted && o != NeverRan {
						t.Errorf("mode %d, outcomes %d: try %d after %d", mode, outcomes, n+1, o)
					}
					if ran && (class.Idempotency == fleet.NotIdempotent || class.Idempotency == fleet.IdempotentWithKey && (now+class.Deadline/2 > first+class.DeduplicationWindow || class.DeduplicationScope != fleet.DeduplicationFleet && place != SameServer)) {
						t.Errorf("effect %d, mode %d, outcomes %d: try %d may run what has run", class.Idempotency, mode, outcomes, n+1)
					}
				}
			}
		}
	}
}

// fixed is a client on a table of its own, without governors.
func fixed(t testing.TB, mode fleet.RetryMode, unbounded bool, weights ...int) *Client {
	t.Helper()
	var now atomic.Int64
	c := &Client{cfg: Config{Unbounded: unbounded, Clock: func() fleet.Time { return fleet.Time(now.Add(1)) }}, budget: NewBudget(), held: NewHeld(), nodes: map[string]*Node{}, ready: make(chan struct{})}
	c.learn([]fleet.RequestClass{{Name: "look", Deadline: 60 * sec}, {Name: "issue", Idempotency: fleet.NotIdempotent, Deadline: 60 * sec}})
	t0 := &table{}
	for range 2 {
		var lines []service.Endpoint
		for i, w := range weights {
			lines = append(lines, service.Endpoint{Server: fmt.Sprint("s", i), Weight: w})
		}
		t0.classes = append(t0.classes, newClassTable(lines, -1, mode, func(name, addr string) *Node {
			if c.nodes[name] == nil {
				c.nodes[name] = &Node{Name: name, Addr: addr}
			}
			return c.nodes[name]
		}))
	}
	c.table.Store(t0)
	return c
}

// TestRetryStorm: half of the servers fail everything. With the budget a hundred libraries send at most a fifth more tries than there are
// visits; without it they send over a half more.
func TestRetryStorm(t *testing.T) {
	ratio := func(unbounded bool) float64 {
		visits, tries := uint64(0), uint64(0)
		for range 20 {
			c := fixed(t, fleet.RetryTwice, unbounded, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
			for range 300 {
				_ = c.Do(context.Background(), 0, func(_ context.Context, try Try) Result {
					if try.Node.Name < "s5" {
						try.Node.shunned.Store(0) // that servers are avoided must not help here
						return Result{Outcome: Failed}
					}
					return Result{}
				})
				for _, n := range c.nodes {
					n.shunned.Store(0)
				}
			}
			v, n, _ := c.Counts()
			visits, tries = visits+v, tries+n
		}
		return float64(tries) / float64(visits)
	}
	with, without := ratio(false), ratio(true)
	t.Logf("%.2f tries a visit with the budget, %.2f without", with, without)
	if with > 1.2 || without < 1.5 {
		t.Errorf("%.2f tries a visit with the budget, %.2f without", with, without)
	}
}

// TestGivenUpAtOnce: a visit whose context ends has its answer then, though the try still runs; an unsafe one is not sent again, whatever
// the try says later; a hedge goes only where nothing can run twice.
func TestGivenUpAtOnce(t *testing.T) {
	c := fixed(t, fleet.RetryTwice, false, 1, 1)
	ctx, cancel := context.WithCancel(context.Background())
	let, sent := make(chan struct{}), make(chan Try, 9)
	done := make(chan error, 1)
	go func() {
		done <- c.Do(ctx, 1, func(_ context.Context, try Try) Result {
			sent <- try
			<-let
			return Result{Outcome: NeverRan}
		})
	}()
	<-sent
	cancel()
	select {
	case err := <-done:
		if !errors.Is(err, context.Canceled) || !errors.Is(err, ErrFailed) {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no answer while a try runs")
	}
	close(let)
	if len(sent) != 0 {
		t.Error("tried again after it was given up")
	}
	c.cfg.Hedge = true
	for class, want := range []int{2, 1} {
		k := &(*c.classes.Load())[class]
		if k.LatencyObjective, k.Deadline = sec, 60*sec; class == 1 { // nothing else ends it
			k.Deadline = 50 * fleet.Millisecond
		}
		tries := make(chan Try, 9)
		_ = c.Do(context.Background(), class, func(ctx context.Context, try Try) Result {
			tries <- try
			if try.N == 0 {
				<-ctx.Done() // its own time, or the hedge was good
				return Result{Outcome: Failed}
			}
			return Result{}
		})
		if len(tries) != want {
			t.Errorf("class %d: %d tries", class, len(tries))
		}
	}
}

// TestPicksByWeight: shares are the weights, servers that fail three times in a row are avoided, and nobody is left without when all are.
func TestPicksByWeight(t *testing.T) {
	weights := []int{1, 256, 40, 90, 0, 128}
	c := fixed(t, 0, false, weights...)
	got, sum := map[string]float64{}, 0.0
	const n = 200_000
	for range n {
		node, err := c.Pick(0)
		if err != nil {
			t.Fatal(err)
		}
		got[node.Name]++
	}
	for _, w := range weights {
		sum += float64(w)
	}
	for i, w := range weights {
		want := float64(w) / sum * n
		if is := got[fmt.Sprint("s", i)]; math.Abs(is-want) > 5*math.Sqrt(want)+1 {
			t.Errorf("server %d of weight %d: %.0f picks, want %.0f", i, w, is, want)
		}
	}
	fail := func(name string) {
		for range shunAfter {
			c.nodes[name].ended(c.nowNs(), Failed, 0, nil)
		}
	}
	fail("s1")
	for range 1000 {
		if n, _ := c.Pick(0); n.Name == "s1" {
			t.Fatal("a server that fails is picked")
		}
	}
	for i := range weights {
		fail(fmt.Sprint("s", i))
	}
	if n, err := c.Pick(0); err != nil || n == nil {
		t.Errorf("all are avoided: %v %v", n, err)
	}
	if _, err := c.Pick(7); !errors.Is(err, ErrNoClass) {
		t.Error(err)
	}
	c.cfg.Staleness = time.Second
	if _, err := c.Pick(0); !errors.Is(err, ErrStale) {
		t.Error(err)
	}
}

// TestFinder: a governor that fails waits longer each time, others are asked meanwhile; one that asks for patience gets it; libraries that
// lost one governor at the same time don't come back at the same time.
func TestFinder(t *testing.T) {
	f := NewFinder(2, 3)
	now, first := 100*sec, fleet.Time(0)
	a, _ := f.Next(now)
	f.Failed(now, a, nil)
	if b, wait := f.Next(now); b == a || wait != 0 {
		t.Errorf("%d after %d, in %d", b, a, wait)
	}
	f.Failed(now, 1-a, &service.Error{RetryAfter: 60 * sec})
	for i := range 12 {
		at, wait := f.Next(now)
		if at != a || wait > redialLast || i == 0 && wait > redialFirst {
			t.Fatalf("governor %d in %d", at, wait)
		}
		if i == 1 {
			first = wait
		}
		if now += wait; i == 11 && wait < 5*first {
			t.Errorf("waits %d, then %d", first, wait)
		}
		f.Failed(now, at, nil)
	}
	if f.leads[1-a].at < 160*sec || f.leads[1-a].at > 191*sec {
		t.Errorf("asked again after %.1f s, 60 were asked for", (f.leads[1-a].at - 100*sec).Seconds())
	}
	f.Stood(a)
	if at, wait := f.Next(now); at != a || wait != 0 {
		t.Error("one that served is not asked")
	}
	waits := map[fleet.Time]int{}
	for seed := range uint64(1000) {
		f := NewFinder(1, seed)
		f.Failed(0, 0, nil)
		_, wait := f.Next(0)
		waits[wait/(5*fleet.Millisecond)]++
	}
	for at, n := range waits {
		if n > 200 {
			t.Errorf("%d of 1000 come back after %d ms", n, at*5)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{10, 700} {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			weights := make([]int, servers)
			for i := range weights {
				weights[i] = 1 + rand.IntN(256)
			}
			c := fixed(b, 0, false, weights...)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Pick(0); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkDo(b *testing.B) {
	c := fixed(b, fleet.RetryIfNotExecuted, false, 1, 2, 3, 4)
	b.ReportAllocs()
	for b.Loop() {
		if err := c.Do(context.Background(), 0, func(context.Context, Try) Result { return Result{} }); err != nil {
			b.Fatal(err)
		}
	}
}
