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

var writeFixtures = flag.Bool("write-fixtures", false, "write the stored data in testdata anew")

const storedCache = "testdata/cache"

func storedDocuments() (before, now EndpointList) {
	before, now = kept(6, 5), kept(7, 4)
	now.Endpoints[1].State, now.Endpoints[2].Kind, now.Endpoints[2].Cell, now.Endpoints[3].Weight = "draining", "m2", 9, 0.5
	return before, now
}

// TestCacheOfAnEarlierProgramIsRead reads a cache and its generation before, and writes both again to the same bytes.
func TestCacheOfAnEarlierProgramIsRead(t *testing.T) {
	before, now := storedDocuments()
	path := filepath.Join(t.TempDir(), "cache")
	for i, d := range []EndpointList{before, now} {
		if err := WriteCache(path, d, fleet.Time(i+4)*fleet.Second); err != nil {
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
			t.Errorf("%q is written as\n%s (%v), not\n%s", suffix, got, err, want)
		}
	}
	got, wrong := ReadCache(storedCache)
	if len(wrong) > 0 || len(got) != 2 {
		t.Fatalf("%v, %d generations", wrong, len(got))
	}
	for i, d := range []EndpointList{now, before} {
		want := map[string]Endpoint{}
		for _, s := range d.Endpoints {
			want[s.Name] = s
		}
		g := got[i]
		if g.Revision != d.Revision || g.ConfirmedAt != fleet.Time(5-i)*fleet.Second || g.DeclaredSize != len(d.Endpoints) || !g.Complete || !reflect.DeepEqual(g.Entries, want) {
			t.Errorf("generation %d: %+v", i, g)
		}
	}
}
