package discovery

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"cressknot/internal/fleet"
)

var writeFixtures = flag.Bool("write-fixtures", false, "rewrite the stored caches in testdata")

const storedCache = "testdata/cache"

// storedLists returns the lists of the caches in testdata.
func storedLists() (before, now EndpointList) {
	before, now = listOf(6, 5), listOf(7, 4)
	now.Endpoints[1].State = "draining"
	now.Endpoints[2].Kind = "m2"
	now.Endpoints[2].Cell = 9
	now.Endpoints[3].Weight = 0.5
	return before, now
}

// A cache and its previous generation that an earlier version wrote must stay readable, and writing the same lists must
// give the same bytes.
func TestCacheOfAnEarlierProgramIsRead(t *testing.T) {
	before, now := storedLists()
	path := filepath.Join(t.TempDir(), "cache")
	for i, list := range []EndpointList{before, now} {
		if err := WriteCache(path, list, fleet.Time(i+4)*fleet.Second); err != nil {
			t.Fatal(err)
		}
	}
	if *writeFixtures {
		if err := os.CopyFS("testdata", os.DirFS(filepath.Dir(path))); err != nil {
			t.Fatal(err)
		}
	}
	for _, suffix := range []string{"", ".before"} {
		want, err := os.ReadFile(storedCache + suffix)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(path + suffix); err != nil || !bytes.Equal(got, want) {
			t.Errorf("file %q: written as\n%s (%v), want\n%s", suffix, got, err, want)
		}
	}
	generations, errs := ReadCache(storedCache)
	if len(errs) > 0 || len(generations) != 2 {
		t.Fatalf("%v, %d generations", errs, len(generations))
	}
	for i, list := range []EndpointList{now, before} {
		got := generations[i]
		if got.Revision != list.Revision || got.ConfirmedAt != fleet.Time(5-i)*fleet.Second ||
			got.DeclaredSize != len(list.Endpoints) || !got.Complete ||
			!reflect.DeepEqual(got.Entries, byName(list.Endpoints)) {
			t.Errorf("generation %d: %+v", i, got)
		}
	}
}
