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

var writeFixtures = flag.Bool("write-fixtures", false, "write the stored data in testdata anew")

const (
	goldenFolder  = "testdata/store"
	goldenState   = "testdata/store-state.golden"   // what is made of the folder
	goldenRecords = "testdata/store-records.golden" // keys and payloads of all records
	storedNow     = 5000 * fleet.Second             // when the folder was written last
)

// storedLife plays a governor's life that leaves versions, pins, weights set by hand, two lists and an epoch.
func storedLife(t *testing.T, fs vfs.FS) *life {
	t.Helper()
	l := live(t, fs, 4000*fleet.Second)
	doc := discovery.EndpointList{Revision: 41}
	for i := range 5 {
		doc.Endpoints = append(doc.Endpoints, discovery.Endpoint{Name: fmt.Sprint("node-", i), Addr: fmt.Sprint("10.0.0.", i, ":80"), Zone: "a", Kind: "m2",
			Cell: uint16(i), Weight: 1.5})
	}
	doc.Endpoints[1].State = "draining"
	doc.Endpoints[2].Started = fleetMoment(3990 * fleet.Second)
	l.keep(t, l.core.persistEndpoints(4001*fleet.Second, &doc))
	doc.Revision, doc.Endpoints = 42, doc.Endpoints[:4]
	l.keep(t, l.core.persistEndpoints(4002*fleet.Second, &doc))
	now := 4003 * fleet.Second
	for i := range 12 {
		now += 2 * fleet.Second
		for table := range fleet.TableID(2) {
			server := l.core.names.Learn(fmt.Sprint("node-", (i+int(table))%4), "10.0.0.9:80")
			l.core.reconciler.Apply(now, []fleet.Order{fleet.SetWeight{Table: table, Server: server, Weight: float32(i%8+1) / 8}})
		}
		l.keep(t, l.core.Step(now, nil).Persist)
	}
	now = storedNow
	first, _ := l.core.names.Server("node-1")
	second, _ := l.core.names.Server("node-2")
	l.core.reconciler.SetManualWeight(now, 0, first, 7, now+reconcile.ManualWeightDuration)
	l.core.reconciler.SetManualWeight(now, 1, second, 0, now+reconcile.ManualWeightDuration/2)
	if err := l.core.reconciler.Pin(now, 1, now+600*fleet.Second); err != nil {
		t.Fatal(err)
	}
	l.keep(t, l.core.Step(now, nil).Persist)
	return l
}

// storedRecords prints all records of a store, by key.
func storedRecords(t *testing.T, s *store.Store) string {
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

// wokenText prints what a governor woke with.
func wokenText(l *life) string {
	var b strings.Builder
	fmt.Fprintf(&b, "epoch %d at %d, %d tables, %d pins, %d weights by hand, lost %v\n", l.woken.Epoch.Epoch, l.woken.Epoch.At, l.woken.Tables,
		l.woken.Pins, l.woken.ManualWeights, l.woken.Unreadable)
	for _, g := range l.woken.Lists {
		fmt.Fprintf(&b, "list rev %d at %d, %d entries stated, whole %v\n", g.Revision, g.ConfirmedAt, g.DeclaredSize, g.Complete)
		var names []string
		for name := range g.Entries {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			e := g.Entries[name]
			fmt.Fprintf(&b, " %s %s %s %s %d %q %d %g\n", e.Name, e.Addr, e.Zone, e.Kind, e.Cell, e.State, e.Started.Unix(), e.Weight)
		}
	}
	return b.String() + l.state()
}

func TestStoreOfAnEarlierProgramIsRead(t *testing.T) {
	if *writeFixtures {
		writeStoredFolder(t)
	}
	folder := filepath.Join(t.TempDir(), "store")
	if err := os.CopyFS(folder, os.DirFS(goldenFolder)); err != nil {
		t.Fatal(err)
	}
	l := wakeFolder(t, folder)
	defer func() { _ = l.store.Close() }()
	want, err := os.ReadFile(goldenState)
	if err != nil {
		t.Fatal(err)
	}
	if got := wokenText(l); got != string(want) {
		t.Errorf("woke with\n%s\nwant\n%s", got, want)
	}
	if changes := l.core.Step(storedNow+2*fleet.Second, nil).Persist; len(changes) > 0 {
		for _, c := range changes {
			if !strings.HasPrefix(c.Key, "table/") { // the new epoch begins versions of its own
				t.Errorf("what was read is to be kept anew: %s", c.Key)
			}
		}
	}
}

// TestStoreIsWrittenAsBefore plays the life that the folder in testdata was written by: all records are the same to the byte.
func TestStoreIsWrittenAsBefore(t *testing.T) {
	l := storedLife(t, vfs.NewCrashableMem())
	defer func() { _ = l.store.Close() }()
	want, err := os.ReadFile(goldenRecords)
	if err != nil {
		t.Fatal(err)
	}
	if got := storedRecords(t, l.store); got != string(want) {
		t.Errorf("wrote\n%s\nwant\n%s", got, want)
	}
}

func wakeFolder(t *testing.T, folder string) *life {
	t.Helper()
	s, err := store.Open(store.Options{Directory: folder})
	if err != nil {
		t.Fatal(err)
	}
	site := fleet.Site{Zones: []string{"a"}, Classes: make([]fleet.RequestClass, 1), EntriesPerSecond: 1e6, MaxBacklog: 1e6}
	l := &life{store: s, core: NewCore(CoreOptions{Site: site, Seed: 1, Names: NewNames()})}
	if l.woken, err = l.core.Restore(storedNow+fleet.Second, s); err != nil {
		t.Fatal(err)
	}
	return l
}

func writeStoredFolder(t *testing.T) {
	t.Helper()
	folder, err := filepath.Abs(goldenFolder)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(folder), 0o755); err != nil {
		t.Fatal(err)
	}
	l := storedLife(t, vfs.NewCrashableMem())
	text := storedRecords(t, l.store)
	s, err := store.Open(store.Options{Directory: filepath.Join(t.TempDir(), "store")})
	if err != nil {
		t.Fatal(err)
	}
	on := &life{core: l.core, store: s}
	var changes []store.Change
	if _, err := l.store.Read("", func(key string, payload []byte) error {
		changes = append(changes, store.Change{Key: key, Value: rawPayload(slices.Clone(payload))})
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	on.keep(t, changes)
	if err := s.Backup(folder); err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	_ = l.store.Close()
	if err := os.WriteFile(goldenRecords, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	copied := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(copied, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	woken := wakeFolder(t, copied)
	defer func() { _ = woken.store.Close() }()
	if err := os.WriteFile(goldenState, []byte(wokenText(woken)), 0o644); err != nil {
		t.Fatal(err)
	}
}

// rawPayload is written as it is.
type rawPayload []byte

// MarshalJSON gives the payload itself.
func (p rawPayload) MarshalJSON() ([]byte, error) { return p, nil }

func fleetMoment(t fleet.Time) time.Time { return time.Unix(0, int64(t)).UTC() }
