package controller

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/store"
)

var writeFixtures = flag.Bool("write-fixtures", false, "regenerate the stored data in testdata")

const (
	goldenFolder  = "testdata/store"
	goldenState   = "testdata/store-state.golden"   // the state that is restored from the folder
	goldenRecords = "testdata/store-records.golden" // keys and payloads of all records
	storedNow     = 5000 * fleet.Second             // the time of the folder's last record
)

// runStoredController runs a controller that persists versions, pins, manual weights, two lists and an epoch.
func runStoredController(t *testing.T, fs vfs.FS) *storedController {
	t.Helper()
	stored := startController(t, fs, 4000*fleet.Second)
	list := discovery.EndpointList{Revision: 41}
	for i := range 5 {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{
			Name:   fmt.Sprint("node-", i),
			Addr:   fmt.Sprint("10.0.0.", i, ":80"),
			Zone:   "a",
			Kind:   "m2",
			Cell:   uint16(i),
			Weight: 1.5,
		})
	}
	list.Endpoints[1].State = "draining"
	list.Endpoints[2].Started = wallTime(3990 * fleet.Second)
	stored.persist(t, stored.core.persistEndpoints(4001*fleet.Second, &list))
	list.Revision, list.Endpoints = 42, list.Endpoints[:4]
	stored.persist(t, stored.core.persistEndpoints(4002*fleet.Second, &list))
	now := 4003 * fleet.Second
	for i := range 12 {
		now += 2 * fleet.Second
		for table := range fleet.TableID(2) {
			server := stored.core.names.GetOrAssign(fmt.Sprint("node-", (i+int(table))%4), "10.0.0.9:80")
			stored.core.reconciler.Apply(now, []fleet.Order{fleet.SetWeight{
				Table:  table,
				Server: server,
				Weight: float32(i%8+1) / 8,
			}})
		}
		stored.persist(t, stored.core.Step(now, nil).Persist)
	}
	now = storedNow
	first, _ := stored.core.names.Server("node-1")
	second, _ := stored.core.names.Server("node-2")
	stored.core.reconciler.SetManualWeight(now, 0, first, 7, now+reconcile.ManualWeightDuration)
	stored.core.reconciler.SetManualWeight(now, 1, second, 0, now+reconcile.ManualWeightDuration/2)
	if err := stored.core.reconciler.Pin(now, 1, now+600*fleet.Second); err != nil {
		t.Fatal(err)
	}
	stored.persist(t, stored.core.Step(now, nil).Persist)
	return stored
}

// formatRecords formats all records of a store, sorted by key.
func formatRecords(t *testing.T, s *store.Store) string {
	t.Helper()
	var lines []string
	damage, err := s.Read("", func(key string, payload []byte) error {
		lines = append(lines, key+" "+string(payload))
		return nil
	})
	if err != nil || len(damage) > 0 {
		t.Fatal(err, damage)
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

// formatRestored formats the state that a controller has restored.
func formatRestored(stored *storedController) string {
	var b strings.Builder
	fmt.Fprintf(&b, "epoch %d at %d, %d tables, %d pins, %d weights by hand, lost %v\n", stored.restored.Epoch.Epoch,
		stored.restored.Epoch.At, stored.restored.Tables,
		stored.restored.Pins, stored.restored.ManualWeights, stored.restored.Unreadable)
	for _, g := range stored.restored.Lists {
		fmt.Fprintf(&b, "list rev %d at %d, %d entries stated, whole %v\n", g.Revision, g.ConfirmedAt, g.DeclaredSize,
			g.Complete)
		var names []string
		for name := range g.Entries {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			e := g.Entries[name]
			fmt.Fprintf(&b, " %s %s %s %s %d %q %d %g\n", e.Name, e.Addr, e.Zone, e.Kind, e.Cell, e.State, e.Started.Unix(),
				e.Weight)
		}
	}
	return b.String() + stored.persistentState()
}

// TestStoreOfEarlierVersionIsRestored guards against changes of the record format that make an existing store
// unreadable: it restores the folder in testdata, which earlier code has written, and compares the state.
func TestStoreOfEarlierVersionIsRestored(t *testing.T) {
	if *writeFixtures {
		writeGoldenFolder(t)
	}
	folder := filepath.Join(t.TempDir(), "store")
	if err := os.CopyFS(folder, os.DirFS(goldenFolder)); err != nil {
		t.Fatal(err)
	}
	stored := restoreFolder(t, folder)
	defer func() { _ = stored.store.Close() }()
	want, err := os.ReadFile(goldenState)
	if err != nil {
		t.Fatal(err)
	}
	if got := formatRestored(stored); got != string(want) {
		t.Errorf("restored\n%s\nwant\n%s", got, want)
	}
	if changes := stored.core.Step(storedNow+2*fleet.Second, nil).Persist; len(changes) > 0 {
		for _, c := range changes {
			if !strings.HasPrefix(c.Key, "table/") { // tables get new versions in the new epoch
				t.Errorf("unchanged record persisted again: %s", c.Key)
			}
		}
	}
}

// TestStoredRecordsAreStable repeats the run that wrote the folder in testdata. All records must be equal byte for
// byte.
func TestStoredRecordsAreStable(t *testing.T) {
	stored := runStoredController(t, vfs.NewCrashableMem())
	defer func() { _ = stored.store.Close() }()
	want, err := os.ReadFile(goldenRecords)
	if err != nil {
		t.Fatal(err)
	}
	if got := formatRecords(t, stored.store); got != string(want) {
		t.Errorf("wrote\n%s\nwant\n%s", got, want)
	}
}

func restoreFolder(t *testing.T, folder string) *storedController {
	t.Helper()
	s, err := store.Open(store.Options{Directory: folder})
	if err != nil {
		t.Fatal(err)
	}
	site := fleet.Site{
		Zones:            []string{"a"},
		Classes:          make([]fleet.RequestClass, 1),
		EntriesPerSecond: 1e6,
		MaxBacklog:       1e6,
	}
	stored := &storedController{store: s, core: NewCore(CoreOptions{Site: site, Seed: 1, Names: NewServerNames()})}
	stored.restored, err = stored.core.Restore(storedNow+fleet.Second, s)
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

func writeGoldenFolder(t *testing.T) {
	t.Helper()
	folder, err := filepath.Abs(goldenFolder)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(folder), 0o755); err != nil {
		t.Fatal(err)
	}
	stored := runStoredController(t, vfs.NewCrashableMem())
	text := formatRecords(t, stored.store)
	s, err := store.Open(store.Options{Directory: filepath.Join(t.TempDir(), "store")})
	if err != nil {
		t.Fatal(err)
	}
	copyTarget := &storedController{core: stored.core, store: s}
	var changes []store.Change
	if _, err := stored.store.Read("", func(key string, payload []byte) error {
		changes = append(changes, store.Change{Key: key, Value: rawPayload(slices.Clone(payload))})
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	copyTarget.persist(t, changes)
	if err := s.Backup(folder); err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	_ = stored.store.Close()
	if err := os.WriteFile(goldenRecords, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	copied := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(copied, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	restored := restoreFolder(t, copied)
	defer func() { _ = restored.store.Close() }()
	if err := os.WriteFile(goldenState, []byte(formatRestored(restored)), 0o644); err != nil {
		t.Fatal(err)
	}
}

// rawPayload is an encoded payload that is written as it is.
type rawPayload []byte

// MarshalJSON returns the payload unchanged.
func (p rawPayload) MarshalJSON() ([]byte, error) { return p, nil }

func wallTime(t fleet.Time) time.Time { return time.Unix(0, int64(t)).UTC() }
