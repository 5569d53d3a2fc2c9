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

// storedController is a core with its store and without sockets. Tests write all changes to the store synchronously.
type storedController struct {
	core     *Core
	store    *store.Store
	restored Restored
}

func startController(t *testing.T, fs vfs.FS, now fleet.Time) *storedController {
	t.Helper()
	s, err := store.Open(store.Options{Directory: "store", FS: fs})
	if err != nil {
		t.Fatal(err)
	}
	stored := &storedController{
		store: s,
		core: NewCore(CoreOptions{
			Site: fleet.Site{
				Zones:            []string{"a"},
				Classes:          make([]fleet.RequestClass, 1),
				EntriesPerSecond: 1e6,
				MaxBacklog:       1e6,
			},
			Seed:  1,
			Names: NewServerNames(),
		}),
	}
	before := persistedEpoch{}
	if _, err := s.Read("epoch", func(_ string, payload []byte) error {
		return json.Unmarshal(payload, &before)
	}); err != nil {
		t.Fatal(err)
	}
	stored.restored, err = stored.core.Restore(now, s)
	if err != nil || stored.restored.Epoch.Epoch <= before.Epoch {
		t.Fatalf("restored epoch %d is not later than %d (error: %v)", stored.restored.Epoch.Epoch, before.Epoch, err)
	}
	stored.persist(t, []store.Change{{Key: "epoch", Value: stored.restored.Epoch}})
	return stored
}

func (stored *storedController) persist(t *testing.T, changes []store.Change) {
	t.Helper()
	persist(t, stored.store, changes)
}

// persist writes changes and waits until they are on disk.
func persist(t testing.TB, s *store.Store, changes []store.Change) {
	t.Helper()
	done := make(chan error, 1)
	if err := s.Put(changes, func(err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// persistentState formats all state that must survive a restart.
func (stored *storedController) persistentState() string {
	var b strings.Builder
	for _, id := range stored.core.reconciler.TableIDs() {
		if table := stored.core.reconciler.TableVersions(id); table != nil {
			fmt.Fprintf(&b, "table %d %s %s %d\n", id, table.Version(), table.Digest(), table.Len())
			for _, d := range table.History() {
				entries := stored.core.namedEntries(d.Entries)
				slices.SortFunc(entries, func(a, b persistedEntry) int { return strings.Compare(a.Server, b.Server) })
				fmt.Fprintf(&b, " %s-%s %v %q\n", d.From, d.To, entries, d.Reason)
			}
		}
	}
	for _, p := range stored.core.reconciler.Pins() {
		entries := stored.core.namedEntries(p.Weights)
		slices.SortFunc(entries, func(a, b persistedEntry) int { return strings.Compare(a.Server, b.Server) })
		fmt.Fprintf(&b, "pin %d %d %q %v\n", p.Table, p.Until, p.Reason, entries)
	}
	var manualWeights []string
	for _, o := range stored.core.reconciler.ManualWeights() {
		name, _ := stored.core.names.Lookup(o.Server)
		manualWeights = append(manualWeights, fmt.Sprintf("hand %d %s %d %d\n", o.Table, name, o.Weight, o.Until))
	}
	slices.Sort(manualWeights)
	return b.String() + strings.Join(manualWeights, "")
}

// TestRestoreGivesPersistedState runs a sequence of controllers on one store. Each is killed after a random number of
// steps, and some start with a clock that was set back. Each must restore exactly the versions, pins and weights of its
// predecessor, its versions must be later than all earlier ones, and the history of a table must have no gap.
func TestRestoreGivesPersistedState(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		mem := vfs.NewCrashableMem()
		now := 1000 * fleet.Second
		before := ""
		newest := map[fleet.TableID]tableversion.Version{}
		for range 6 {
			stored := startController(t, mem, now)
			if got := stored.persistentState(); got != before || len(stored.restored.Unreadable) > 0 {
				t.Fatalf("seed %d: restored\n%s\nwant\n%s\nunreadable %v", seed, got, before, stored.restored.Unreadable)
			}
			stored.persist(t, stored.core.Step(now, nil).Persist)
			for range rng.IntN(150) {
				now += fleet.Second / 10
				// Versions are kept for a day: two advances of the clock by 13 hours make the oldest ones expire.
				if rng.IntN(60) == 0 {
					now += 13 * 3600 * fleet.Second
				}
				id := fleet.TableID(rng.IntN(2))
				server := stored.core.names.GetOrAssign(fmt.Sprint("s", rng.IntN(12)), "x:1")
				switch rng.IntN(8) {
				case 0:
					stored.core.reconciler.SetManualWeight(now, id, server, int16(rng.IntN(256)), now+reconcile.ManualWeightDuration)
				case 1:
					stored.core.reconciler.ClearManualWeight(now, id, server)
				case 2:
					_ = stored.core.reconciler.Pin(now, id, now+fleet.Time(rng.IntN(60)+1)*fleet.Second)
				case 3:
					stored.core.reconciler.Unpin(now, id, "lifted")
				default:
					stored.core.reconciler.Apply(now, []fleet.Order{fleet.SetWeight{
						Table:  id,
						Server: server,
						Weight: float32(rng.IntN(9)) / 8,
					}})
				}
				out := stored.core.Step(now, nil)
				stored.persist(t, out.Persist)
				if table := stored.core.reconciler.TableVersions(id); table != nil {
					if v := table.Version(); v.Compare(newest[id]) < 0 {
						t.Fatalf("seed %d: version %s is older than %s", seed, v, newest[id])
					} else {
						newest[id] = v
					}
				}
			}
			before = stored.persistentState()
			clone := mem.CrashClone(vfs.CrashCloneCfg{})
			_ = stored.store.Close()
			mem = clone
			if rng.IntN(3) == 0 {
				now -= fleet.Time(rng.IntN(60)) * fleet.Second // the clock is set back, which must not prolong pins
				stored := startController(t, mem, now)
				before = stored.persistentState()
				if !strings.Contains(before, "table") && len(newest) > 0 {
					t.Fatalf("seed %d: no table was restored after the clock was set back", seed)
				}
				clone = mem.CrashClone(vfs.CrashCloneCfg{})
				_ = stored.store.Close()
				mem = clone
			}
		}
	}
}

// TestRestoreChoosesNewestCompleteList checks which of the two persisted generations is used: the newer one, unless its
// head is missing. A damaged entry is reported and only that entry is lost; entries of the previous generation then
// replace it as unverified. A list that is confirmed again must not overwrite the previous generation.
func TestRestoreChoosesNewestCompleteList(t *testing.T) {
	mem := vfs.NewCrashableMem()
	stored := startController(t, mem, fleet.Second)
	list := discovery.EndpointList{Revision: 7}
	for i := range 5 {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{Name: fmt.Sprint("s", i), Addr: "x:1", Zone: "a"})
	}
	stored.persist(t, stored.core.persistEndpoints(2*fleet.Second, &list))
	list.Revision, list.Endpoints = 8, list.Endpoints[:4]
	changes := stored.core.persistEndpoints(3*fleet.Second, &list)
	stored.persist(t, changes[:len(changes)-1]) // all but the head
	restart := func(rev uint64, servers, unreadable, unverified int) *storedController {
		t.Helper()
		clone := mem.CrashClone(vfs.CrashCloneCfg{})
		_ = stored.store.Close()
		mem = clone
		next := startController(t, mem, 10*fleet.Second)
		got, ok := verification.ChooseGeneration(10*fleet.Second, next.restored.Lists)
		if !ok || got.Revision != rev || len(got.Entries) != servers || len(next.restored.Unreadable) != unreadable ||
			len(got.Unverified) != unverified || (len(got.Notices) > 0) != (unverified > 0) {
			t.Errorf("restored %+v, unreadable %v", got, next.restored.Unreadable)
		}
		return next
	}
	stored = restart(7, 5, 0, 0)
	stored.persist(t, stored.core.persistEndpoints(12*fleet.Second, &list))
	stored = restart(8, 4, 0, 0)
	stored.persist(t, stored.core.persistEndpoints(13*fleet.Second, &list)) // the same list, confirmed again
	if len(stored.restored.Lists) != 2 {
		t.Errorf("%d list generations were restored, want 2", len(stored.restored.Lists))
	}
	stored = restart(8, 4, 0, 0)
	stored.persist(t, []store.Change{{Key: "list/0/entry/s2", Value: "no server"}})
	stored = restart(8, 5, 1, 2) // the damaged entry; s2 and s4 come from the previous generation
	list.Revision = 9
	stored.persist(t, stored.core.persistEndpoints(14*fleet.Second, &list))
	stored = restart(9, 4, 0, 0)
	_ = stored.store.Close()
}

// BenchmarkRestore measures a restart after a day with 700 servers: three tables, each with a version of 20 entries
// every 2 s, and the endpoint list.
func BenchmarkRestore(b *testing.B) {
	folder := b.TempDir()
	s, err := store.Open(store.Options{Directory: folder})
	if err != nil {
		b.Fatal(err)
	}
	core := func() *Core {
		return NewCore(CoreOptions{
			Site: fleet.Site{
				Zones:            []string{"a"},
				Classes:          make([]fleet.RequestClass, 1),
				EntriesPerSecond: 1e9,
				MaxBacklog:       1e9,
			},
			Seed:  1,
			Names: NewServerNames(),
		})
	}
	c := core()
	now := 1000 * fleet.Second
	if _, err := c.Restore(now, s); err != nil {
		b.Fatal(err)
	}
	list := discovery.EndpointList{Revision: 1}
	for i := range 700 {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{
			Name: fmt.Sprintf("node-%04d", i),
			Addr: "127.0.0.1:80",
			Zone: "a",
		})
	}
	put := func(changes []store.Change) {
		b.Helper()
		persist(b, s, changes)
	}
	put(c.persistEndpoints(now, &list))
	for i := range 43_200 {
		now += 2 * fleet.Second
		var orders []fleet.Order
		for t := range 3 {
			for j := range 20 {
				orders = append(orders, fleet.SetWeight{
					Table:  fleet.TableID(t),
					Server: c.names.GetOrAssign(fmt.Sprintf("node-%04d", (i*7+j*35)%700), ""),
					Weight: float32(1+(i+j)%9) / 9,
				})
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
	statistics := s.Statistics()
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for b.Loop() {
		s, err := store.Open(store.Options{Directory: folder})
		if err != nil {
			b.Fatal(err)
		}
		restored, err := core().Restore(now, s)
		if err != nil || restored.Tables != 3 || len(restored.Unreadable) > 0 {
			b.Fatal(err, restored)
		}
		_ = s.Close()
	}
	b.ReportMetric(float64(statistics.OnDisk)/(1<<20), "MiB-on-disk")
	b.ReportMetric(float64(statistics.Written)/float64(statistics.Bytes), "write-amplification")
}
