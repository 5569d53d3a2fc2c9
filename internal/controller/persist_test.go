package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"

	"cressknot/internal/discovery"
	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/store"
	"cressknot/internal/tableversion"
)

// life is a governor with its store, without sockets: what it must keep is kept at once.
type life struct {
	core  *Core
	store *store.Store
	woken Restored
}

func live(t *testing.T, fs vfs.FS, now fleet.Time) *life {
	t.Helper()
	s, err := store.Open(store.Options{Directory: "store", FS: fs})
	if err != nil {
		t.Fatal(err)
	}
	l := &life{store: s, core: NewCore(CoreOptions{Site: fleet.Site{Zones: []string{"a"}, Classes: make([]fleet.RequestClass, 1), EntriesPerSecond: 1e6, MaxBacklog: 1e6}, Seed: 1, Names: NewNames()})}
	before := persistedEpoch{}
	if _, err := s.Read("epoch", func(_ string, payload []byte) error { return json.Unmarshal(payload, &before) }); err != nil {
		t.Fatal(err)
	}
	if l.woken, err = l.core.Restore(now, s); err != nil || l.woken.Epoch.Epoch <= before.Epoch {
		t.Fatalf("epoch %d after %d (%v)", l.woken.Epoch.Epoch, before.Epoch, err)
	}
	l.keep(t, []store.Change{{Key: "epoch", Value: l.woken.Epoch}})
	return l
}

func (l *life) keep(t *testing.T, changes []store.Change) {
	t.Helper()
	done := make(chan error, 1)
	if err := l.store.Put(changes, func(err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// state tells all that must last.
func (l *life) state() string {
	var b strings.Builder
	for _, id := range l.core.reconciler.TableIDs() {
		if book := l.core.reconciler.TableVersions(id); book != nil {
			fmt.Fprintf(&b, "table %d %s %s %d\n", id, book.Version(), book.Digest(), book.Len())
			for _, d := range book.History() {
				lines := l.core.namedEntries(d.Entries)
				slices.SortFunc(lines, func(a, b persistedEntry) int { return strings.Compare(a.Server, b.Server) })
				fmt.Fprintf(&b, " %s-%s %v %q\n", d.From, d.To, lines, d.Reason)
			}
		}
	}
	for _, p := range l.core.reconciler.Pins() {
		lines := l.core.namedEntries(p.Weights)
		slices.SortFunc(lines, func(a, b persistedEntry) int { return strings.Compare(a.Server, b.Server) })
		fmt.Fprintf(&b, "pin %d %d %q %v\n", p.Table, p.Until, p.Reason, lines)
	}
	var hands []string
	for _, o := range l.core.reconciler.ManualWeights() {
		name, _ := l.core.names.Of(o.Server)
		hands = append(hands, fmt.Sprintf("hand %d %s %d %d\n", o.Table, name, o.Weight, o.Until))
	}
	slices.Sort(hands)
	return b.String() + strings.Join(hands, "")
}

// TestGovernorsWakeWithWhatWasKept lets governors live one after the other, each killed at a random moment, some at a clock that
// went back: each wakes with exactly the versions, pins and weights that stood, its versions come after all before, and a table's
// history goes on without a gap.
func TestGovernorsWakeWithWhatWasKept(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		mem := vfs.NewCrashableMem()
		now, before := 1000*fleet.Second, ""
		newest := map[fleet.TableID]tableversion.Version{}
		for range 6 {
			l := live(t, mem, now)
			if got := l.state(); got != before || len(l.woken.Unreadable) > 0 {
				t.Fatalf("seed %d: woke with\n%s\nkept was\n%s\nlost %v", seed, got, before, l.woken.Unreadable)
			}
			l.keep(t, l.core.Step(now, nil).Persist)
			for range rng.IntN(150) {
				if now += fleet.Second / 10; rng.IntN(60) == 0 { // half a day: the oldest versions are forgotten
					now += 13 * 3600 * fleet.Second
				}
				id := fleet.TableID(rng.IntN(2))
				server := l.core.names.Learn(fmt.Sprint("s", rng.IntN(12)), "x:1")
				switch rng.IntN(8) {
				case 0:
					l.core.reconciler.SetManualWeight(now, id, server, int16(rng.IntN(256)), now+reconcile.ManualWeightDuration)
				case 1:
					l.core.reconciler.ClearManualWeight(now, id, server)
				case 2:
					_ = l.core.reconciler.Pin(now, id, now+fleet.Time(rng.IntN(60)+1)*fleet.Second)
				case 3:
					l.core.reconciler.Unpin(now, id, "lifted")
				default:
					l.core.reconciler.Apply(now, []fleet.Order{fleet.SetWeight{Table: id, Server: server, Weight: float32(rng.IntN(9)) / 8}})
				}
				out := l.core.Step(now, nil)
				l.keep(t, out.Persist)
				if book := l.core.reconciler.TableVersions(id); book != nil {
					if v := book.Version(); v.Compare(newest[id]) < 0 {
						t.Fatalf("seed %d: version %s after %s", seed, v, newest[id])
					} else {
						newest[id] = v
					}
				}
			}
			before = l.state()
			mem2 := mem.CrashClone(vfs.CrashCloneCfg{})
			_ = l.store.Close()
			if mem = mem2; rng.IntN(3) == 0 {
				now -= fleet.Time(rng.IntN(60)) * fleet.Second // a clock that is set back; pins last no longer by it
				before = ""
				l := live(t, mem, now)
				if before = l.state(); !strings.Contains(before, "table") && len(newest) > 0 {
					t.Fatalf("seed %d: nothing is left at a clock set back", seed)
				}
				mem2 = mem.CrashClone(vfs.CrashCloneCfg{})
				_ = l.store.Close()
				mem = mem2
			}
		}
	}
}

// TestListsOfTheStore: of two generations the newer one counts; a damaged entry costs itself, is told, and those of the generation
// before stand in for it as doubtful ones; a list that is not written whole does not count; one that is confirmed puts no other out.
func TestListsOfTheStore(t *testing.T) {
	mem := vfs.NewCrashableMem()
	l := live(t, mem, fleet.Second)
	doc := discovery.EndpointList{Revision: 7}
	for i := range 5 {
		doc.Endpoints = append(doc.Endpoints, discovery.Endpoint{Name: fmt.Sprint("s", i), Addr: "x:1", Zone: "a"})
	}
	l.keep(t, l.core.persistEndpoints(2*fleet.Second, &doc))
	doc.Revision, doc.Endpoints = 8, doc.Endpoints[:4]
	changes := l.core.persistEndpoints(3*fleet.Second, &doc)
	l.keep(t, changes[:len(changes)-1]) // all but the head
	wakes := func(rev uint64, servers, lost, doubtful int) *life {
		t.Helper()
		clone := mem.CrashClone(vfs.CrashCloneCfg{})
		_ = l.store.Close()
		mem = clone
		n := live(t, mem, 10*fleet.Second)
		got, ok := verification.Choose(10*fleet.Second, n.woken.Lists)
		if !ok || got.Revision != rev || len(got.Entries) != servers || len(n.woken.Unreadable) != lost || len(got.Unverified) != doubtful || (len(got.Notices) > 0) != (doubtful > 0) {
			t.Errorf("woke with %+v, lost %v", got, n.woken.Unreadable)
		}
		return n
	}
	l = wakes(7, 5, 0, 0)
	l.keep(t, l.core.persistEndpoints(12*fleet.Second, &doc))
	l = wakes(8, 4, 0, 0)
	l.keep(t, l.core.persistEndpoints(13*fleet.Second, &doc)) // confirmed
	if len(l.woken.Lists) != 2 {
		t.Errorf("%d generations", len(l.woken.Lists))
	}
	l = wakes(8, 4, 0, 0)
	l.keep(t, []store.Change{{Key: "list/0/entry/s2", Value: "no server"}})
	l = wakes(8, 5, 1, 2) // the entry; s2 and s4 are in the generation before
	doc.Revision = 9
	l.keep(t, l.core.persistEndpoints(14*fleet.Second, &doc))
	l = wakes(9, 4, 0, 0)
	_ = l.store.Close()
}

// BenchmarkWake is a start after a day at 700 servers: three tables, a version of 20 lines each 2 s for a day in their bounds, the list.
func BenchmarkWake(b *testing.B) {
	folder := b.TempDir()
	s, err := store.Open(store.Options{Directory: folder})
	if err != nil {
		b.Fatal(err)
	}
	core := func() *Core {
		return NewCore(CoreOptions{Site: fleet.Site{Zones: []string{"a"}, Classes: make([]fleet.RequestClass, 1), EntriesPerSecond: 1e9, MaxBacklog: 1e9}, Seed: 1, Names: NewNames()})
	}
	c, now := core(), 1000*fleet.Second
	if _, err := c.Restore(now, s); err != nil {
		b.Fatal(err)
	}
	doc := discovery.EndpointList{Revision: 1}
	for i := range 700 {
		doc.Endpoints = append(doc.Endpoints, discovery.Endpoint{Name: fmt.Sprintf("node-%04d", i), Addr: "127.0.0.1:80", Zone: "a"})
	}
	put := func(changes []store.Change) {
		done := make(chan error, 1)
		if err := s.Put(changes, func(err error) { done <- err }); err != nil {
			b.Fatal(err)
		}
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	put(c.persistEndpoints(now, &doc))
	for i := range 43_200 {
		now += 2 * fleet.Second
		var orders []fleet.Order
		for t := range 3 {
			for j := range 20 {
				orders = append(orders, fleet.SetWeight{Table: fleet.TableID(t), Server: c.names.Learn(fmt.Sprintf("node-%04d", (i*7+j*35)%700), ""), Weight: float32(1+(i+j)%9) / 9})
			}
		}
		c.reconciler.Apply(now, orders)
		if changes := c.persistChanges(); i%100 == 99 {
			put(changes)
		} else {
			_ = s.Put(changes, nil)
		}
	}
	put(nil)
	f := s.Statistics()
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for b.Loop() {
		s, err := store.Open(store.Options{Directory: folder})
		if err != nil {
			b.Fatal(err)
		}
		w, err := core().Restore(now, s)
		if err != nil || w.Tables != 3 || len(w.Unreadable) > 0 {
			b.Fatal(err, w)
		}
		_ = s.Close()
	}
	b.ReportMetric(float64(f.OnDisk)/(1<<20), "MiB-on-disk")
	b.ReportMetric(float64(f.Written)/float64(f.Bytes), "write-amplification")
}
