package tableversion

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func name(id fleet.ServerID) string { return fmt.Sprint("n", id) }

func named(lines []Entry) (all []NamedEntry) {
	for _, l := range lines {
		all = append(all, NamedEntry{name(l.Server), l.Weight})
	}
	return all
}

func contents(lines []Entry) map[string]int {
	m := map[string]int{}
	for _, l := range lines {
		m[name(l.Server)] = l.Weight
	}
	return m
}

// TestFollowersEndOnTheNewestVersion: deltas lost, repeated, reordered and damaged, ways back while deltas travel, a governor
// that starts anew or another one that takes over, followers set back in time: after each step every follower holds a
// whole version that was once made, never goes to one that is older, and in the end all hold the newest.
func TestFollowersEndOnTheNewestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const followers, servers = 3, 5
		epoch := uint64(1)
		table := New(epoch, name, HistoryLimits{MaxEntries: rapid.IntRange(1, 40).Draw(t, "kept"), MaxAge: 100 * fleet.Second})
		made := map[Version]map[string]int{NoVersion: {}, table.Version(): {}}
		digests := map[Version]Digest{NoVersion: 0, table.Version(): 0}
		copies := make([]Replica, followers)
		flying := make([][]Delta, followers)
		now := fleet.Second
		note := func() {
			made[table.Version()], digests[table.Version()] = contents(table.Entries()), table.Digest()
			want := Digest(0)
			for _, l := range table.Entries() {
				want += EntryDigest(name(l.Server), l.Weight)
			}
			if want != table.Digest() {
				t.Fatalf("digest %v kept up to date, %v worked out", table.Digest(), want)
			}
		}
		push := func(i int) {
			v, digest := copies[i].Version()
			_, deltas := table.Plan(v, digest, 6)
			flying[i] = append(flying[i], deltas...)
		}
		take := func(i, at int) {
			d := flying[i][at]
			before, _ := copies[i].Version()
			err := copies[i].Apply(d, named(d.Entries))
			var mismatch *MismatchError
			if err != nil && !errors.As(err, &mismatch) {
				t.Fatal(err)
			}
			v, digest := copies[i].Version()
			if v.Compare(before) < 0 {
				t.Fatalf("went from %v back to %v", before, v)
			}
			if want, known := made[v]; !known || !maps.Equal(want, copies[i].Lines()) && len(want)+len(copies[i].Lines()) > 0 || digests[v] != digest {
				t.Fatalf("holds %v as %v, which was %v", copies[i].Lines(), v, want)
			}
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += fleet.Time(rapid.IntRange(0, 3000).Draw(t, "ms")) * fleet.Millisecond
			i := rapid.IntRange(0, followers-1).Draw(t, "follower")
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0, 1, 2:
				var lines []Entry
				for range rapid.IntRange(1, 3).Draw(t, "lines") {
					lines = append(lines, Entry{Server: fleet.ServerID(rapid.IntRange(0, servers-1).Draw(t, "server")), Weight: rapid.IntRange(0, 3).Draw(t, "weight")})
				}
				table.Change(now, lines, "")
				note()
			case 3:
				if h := table.History(); len(h) > 0 {
					to := h[rapid.IntRange(0, len(h)-1).Draw(t, "to")].From
					out := fleet.ServerID(rapid.IntRange(0, servers-1).Draw(t, "gone"))
					_, differs, err := table.Rollback(now, to, func(id fleet.ServerID) string {
						if id == out {
							return "gone"
						}
						return ""
					})
					note()
					want := maps.Clone(made[to])
					if _, had := want[name(out)]; had != (len(differs) == 1) {
						t.Fatalf("gone %v, differs %v", out, differs)
					}
					delete(want, name(out))
					if err == nil && !maps.Equal(want, contents(table.Entries())) {
						t.Fatalf("back to %v gives %v, not %v", to, contents(table.Entries()), want)
					}
				}
			case 4:
				push(i)
			case 5, 6:
				if len(flying[i]) > 0 { // in any order
					at := rapid.IntRange(0, len(flying[i])-1).Draw(t, "at")
					take(i, at)
					if rapid.Bool().Draw(t, "once") {
						flying[i] = slices.Delete(flying[i], at, at+1)
					}
				}
			case 7:
				if len(flying[i]) > 0 && len(flying[i][0].Entries) > 0 { // damaged on its way
					d := flying[i][0]
					d.Entries = slices.Clone(d.Entries)
					d.Entries[0].Weight++
					before := maps.Clone(copies[i].Lines())
					if err := copies[i].Apply(d, named(d.Entries)); err == nil && !maps.Equal(before, copies[i].Lines()) {
						t.Fatal("a damaged delta was taken")
					}
				}
				flying[i] = nil
			case 8:
				if rapid.Bool().Draw(t, "governor") { // it starts anew, or another takes over, with the lines that it sees
					lines := table.Entries()
					epoch += uint64(rapid.IntRange(1, 3).Draw(t, "epoch"))
					table = New(epoch, name, table.bounds)
					note()
					table.Change(now, lines, "")
					note()
				} else { // restored from an image
					copies[i], flying[i] = Replica{}, nil
				}
			}
		}
		for i := range followers {
			flying[i] = nil
			push(i)
			for len(flying[i]) > 0 {
				take(i, 0)
				flying[i] = flying[i][1:]
			}
			if v, digest := copies[i].Version(); v != table.Version() || digest != table.Digest() {
				t.Fatalf("ends on %v, not %v", v, table.Version())
			}
		}
		if table.kept > table.bounds.MaxEntries && len(table.history) > 1 {
			t.Fatalf("%d lines kept, %d may be", table.kept, table.bounds.MaxEntries)
		}
	})
}

// TestEveryInterleaving plays out all orders of three deltas, one way back, two followers and one cut.
func TestEveryInterleaving(t *testing.T) {
	runs := 0
	var play func(table *Table, copies [2]Replica, flying [2][]Delta, changes, cuts int, now fleet.Time)
	clone := func(of *Table) *Table {
		c := *of
		c.lines, c.history = maps.Clone(of.lines), slices.Clone(of.history)
		return &c
	}
	apply := func(c Replica, d Delta) Replica {
		c.lines = maps.Clone(c.lines)
		_ = c.Apply(d, named(d.Entries))
		return c
	}
	play = func(table *Table, copies [2]Replica, flying [2][]Delta, changes, cuts int, now fleet.Time) {
		now += fleet.Second
		moved := false
		if changes < 4 {
			moved = true
			next, send := clone(table), flying
			if changes == 2 { // the way back, while the others may be on their way
				if _, _, err := next.Rollback(now, next.History()[0].From, func(fleet.ServerID) string { return "" }); err != nil {
					t.Fatal(err)
				}
			} else {
				next.Change(now, []Entry{{Server: fleet.ServerID(changes % 2), Weight: changes + 1}}, "")
			}
			for i := range send {
				send[i] = append(slices.Clone(send[i]), next.History()[len(next.History())-1])
			}
			play(next, copies, send, changes+1, cuts, now)
		}
		for i := range copies {
			if len(flying[i]) > 0 {
				moved = true
				after, left := copies, flying
				after[i], left[i] = apply(copies[i], flying[i][0]), flying[i][1:]
				play(table, after, left, changes, cuts, now)
				if cuts < 1 { // all that travels to it is lost
					left[i] = nil
					play(table, copies, left, changes, cuts+1, now)
				}
			}
		}
		if moved {
			return
		}
		runs++
		for i := range copies {
			v, digest := copies[i].Version()
			_, deltas := table.Plan(v, digest, 6)
			c := copies[i]
			for _, d := range deltas {
				c = apply(c, d)
			}
			if v, digest := c.Version(); v != table.Version() || digest != table.Digest() || !maps.Equal(c.lines, contents(table.Entries())) {
				t.Fatalf("follower %d ends on %v %v, not %v %v", i, v, c.lines, table.Version(), contents(table.Entries()))
			}
		}
	}
	first := New(1, name, HistoryLimits{MaxEntries: 100, MaxAge: 1000 * fleet.Second})
	first.Change(0, []Entry{{Server: 9, Weight: 9}}, "")
	var copies [2]Replica
	for i := range copies {
		copies[i] = apply(Replica{}, Delta{To: first.Version(), ToDigest: first.Digest(), Entries: first.Entries()})
	}
	play(first, copies, [2][]Delta{}, 0, 0, fleet.Second)
	t.Logf("%d interleavings, none broken", runs)
	if runs < 1000 {
		t.Errorf("only %d interleavings", runs)
	}
}

// TestHardCases: a collision of digests, a counter that is used up, tables of no and of many lines, versions that are gone.
func TestHardCases(t *testing.T) {
	table := New(7, name, HistoryLimits{MaxEntries: 30_000, MaxAge: 100 * fleet.Second})
	if way, _ := table.Plan(table.Version(), 0, 6); way != Nothing {
		t.Errorf("an empty table: %v", way)
	}
	var lines []Entry
	for i := range 10_000 {
		lines = append(lines, Entry{Server: fleet.ServerID(i), Weight: 1 + i%256})
	}
	d, _ := table.Change(1, lines, "")
	var c Replica
	if err := c.Apply(Delta{To: d.To, ToDigest: d.ToDigest}, named(d.Entries)); err != nil || len(c.Lines()) != 10_000 {
		t.Fatal(err)
	}
	// The same version and digest, other content: it can't be told by the digest, so it must not come to be. Whoever says a
	// version with a wrong digest gets the whole, and a delta that pretends the digest of another content is refused.
	if way, _ := table.Plan(d.To, d.ToDigest+1, 6); way != Whole {
		t.Errorf("a version with a foreign digest gets %v, not the whole", way)
	}
	v, digest := c.Version()
	err := c.Apply(Delta{From: v, FromDigest: digest, To: v.Next(), ToDigest: digest}, []NamedEntry{{"n1", 77}})
	if after, _ := c.Version(); err == nil || after != v {
		t.Errorf("content changed under an unchanged digest: %v, %v", err, after)
	}
	// A follower that missed a version must not take the next, though the content would come out the same.
	var missed Replica
	small := New(1, name, HistoryLimits{MaxEntries: 10, MaxAge: 100 * fleet.Second})
	one, _ := small.Change(1, []Entry{{Server: 1, Weight: 1}}, "")
	if err := missed.Apply(Delta{To: one.To, ToDigest: one.ToDigest}, named(one.Entries)); err != nil {
		t.Fatal(err)
	}
	small.Change(2, []Entry{{Server: 1, Weight: 2}}, "")
	three, _ := small.Change(3, []Entry{{Server: 1, Weight: 3}}, "")
	if err := missed.Apply(three, named(three.Entries)); err == nil {
		t.Error("a follower took a delta over a version that it had missed")
	}
	table.version.Count = math.MaxUint64
	if next, _ := table.Change(2, []Entry{{Server: 1, Weight: 99}}, ""); next.To.Compare(Version{7, math.MaxUint64}) <= 0 || next.To.Count != 1 {
		t.Errorf("after the last counter comes %v", next.To)
	}
	if _, err := table.At(Version{3, 3}); err == nil || !strings.Contains(err.Error(), "is not kept") {
		t.Error(err)
	}
	if _, differs, err := table.Rollback(3, Version{7, 1}, func(fleet.ServerID) string { return "gone" }); err == nil || len(differs) == 0 {
		t.Errorf("back to servers that are all gone: %v", err)
	}
	for _, text := range []string{"", "7", "7.", ".1", "7.x", "zz_.1", strings.Repeat("1", 50)} {
		if _, err := ParseVersion(text); err == nil {
			t.Errorf("%q reads as a version", text)
		}
	}
	if v, err := ParseVersion(Version{123456789, 42}.String()); err != nil || v != (Version{123456789, 42}) {
		t.Error(v, err)
	}
}

func big(lines int) *Table {
	t := New(1, name, HistoryLimits{MaxEntries: 1 << 20, MaxAge: math.MaxInt64})
	var all []Entry
	for i := range lines {
		all = append(all, Entry{Server: fleet.ServerID(i), Weight: 100})
	}
	t.Change(1, all, "")
	return t
}

func BenchmarkChangedLine(b *testing.B) { // of tables of 100 and 10,000 lines: the same time
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := big(n)
			t.bounds.MaxEntries = n + 1000
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				t.Change(2, []Entry{{Server: 5, Weight: 1 + i%200}}, "")
			}
		})
	}
}

func BenchmarkDelta1Percent(b *testing.B) { // of 10,000 lines
	t := big(10_000)
	t.bounds.MaxEntries = 20_000
	for i := 0; b.Loop(); i++ {
		lines := make([]Entry, 100)
		for j := range lines {
			lines[j] = Entry{Server: fleet.ServerID(j * 100), Weight: 1 + i%200}
		}
		t.Change(2, lines, "")
	}
}

func BenchmarkFold100(b *testing.B) { // versions of 100 lines each, of 10,000 lines
	t := big(10_000)
	from := t.Version()
	for v := range 100 {
		lines := make([]Entry, 100)
		for j := range lines {
			lines[j] = Entry{Server: fleet.ServerID((v*37 + j*100) % 10_000), Weight: 1 + v}
		}
		t.Change(2, lines, "")
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := t.Fold(from); err != nil {
			b.Fatal(err)
		}
	}
}

// TestPlansAreShared guards against followers that pay each for himself, and against a way that leads to an older version.
func TestPlansAreShared(t *testing.T) {
	table := big(1000)
	var held []Delta
	for v := range 20 {
		d, _ := table.Change(2, []Entry{{Server: fleet.ServerID(v % 3), Weight: 1 + v}}, "")
		held = append(held, d)
	}
	for round := range 3 {
		for i := range 930 {
			d := held[i%10]
			digest := d.ToDigest
			if i%5 == 4 { // says a digest of nothing that ever was: each another one
				digest += Digest(i + 1)
			}
			way, deltas := table.Plan(d.To, digest, 6)
			if last := deltas[len(deltas)-1]; last.To != table.Version() || last.ToDigest != table.Digest() || (way == Whole) != (digest != d.ToDigest) {
				t.Fatalf("round %d, follower %d: way %d to %s", round, i, way, last.To)
			}
		}
		if len(table.plans) > 11 {
			t.Errorf("%d ways worked out for 10 versions", len(table.plans))
		}
		table.Change(3, []Entry{{Server: 9, Weight: 10 + round}}, "")
	}
}

func BenchmarkPlans930(b *testing.B) { // a new version of 10,000 lines, and the ways of 930 followers that hold some of the 300 before
	for _, distinct := range []int{1, 10, 100, 300} {
		b.Run(fmt.Sprint("versions=", distinct), func(b *testing.B) {
			t := big(10_000)
			t.bounds.MaxEntries = 20_000
			for i := 0; b.Loop(); i++ {
				lines := make([]Entry, 20)
				for j := range lines {
					lines[j] = Entry{Server: fleet.ServerID((i*31 + j*97) % 10_000), Weight: 1 + i%200}
				}
				t.Change(2, lines, "")
				for f := range 930 {
					d := t.history[max(0, len(t.history)-2-f%distinct)]
					t.Plan(d.To, d.ToDigest, 6)
				}
			}
		})
	}
}

func BenchmarkMemoryOfAVersion(b *testing.B) { // of 10 lines changed, of a table of 700
	t := big(700)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := 0
	for b.Loop() {
		lines := make([]Entry, 10)
		for j := range lines {
			lines[j] = Entry{Server: fleet.ServerID((n*13 + j*70) % 700), Weight: 1 + (n+j)%200}
		}
		t.Change(2, lines, "")
		n++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/version")
	runtime.KeepAlive(t)
}

// TestLaterEpoch: a table that goes on in a later epoch has the same lines under a newer version; ways from versions before lead there,
// earlier versions are there to go back to, and what was kept of it adds up.
func TestLaterEpoch(t *testing.T) {
	b := New(5, name, HistoryLimits{1000, 1 << 60})
	if b.BeginEpoch(1, 7, "later"); b.Version() != (Version{Epoch: 7}) {
		t.Errorf("an empty one has version %s", b.Version())
	}
	b.Change(2, []Entry{{Server: 1, Weight: 9}, {Server: 2, Weight: 4}}, "")
	first, digest := b.Version(), b.Digest()
	if b.BeginEpoch(3, 6, "earlier"); b.Version() != first {
		t.Errorf("an earlier epoch: %s", b.Version())
	}
	b.BeginEpoch(3, 20, "later")
	if b.Version() != (Version{20, 1}) || b.Digest() != digest {
		t.Errorf("%s, %s", b.Version(), b.Digest())
	}
	b.Change(4, []Entry{{Server: 2, Weight: 0}}, "")
	if d, err := b.Fold(first); err != nil || len(d.Entries) != 1 || b.Version() != (Version{20, 2}) {
		t.Errorf("%+v %v at %s", d, err, b.Version())
	}
	if lines, err := b.At(first); err != nil || len(lines) != 2 {
		t.Errorf("%v %v", lines, err)
	}
	kept, err := Restore(21, name, HistoryLimits{1000, 1 << 60}, b.Version(), b.Digest(), b.Entries(), b.History())
	if err != nil || len(kept.History()) != 3 {
		t.Errorf("%v", err)
	}
}
