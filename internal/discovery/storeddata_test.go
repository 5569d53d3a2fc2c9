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

func storedDocuments() (before, now Document) {
	before, now = kept(6, 5), kept(7, 4)
	now.Servers[1].State, now.Servers[2].Kind, now.Servers[2].Cell, now.Servers[3].Weight = "draining", "m2", 9, 0.5
	return before, now
}

// TestCacheOfAnEarlierProgramIsRead reads a cache and its generation before, and writes both again to the same bytes.
func TestCacheOfAnEarlierProgramIsRead(t *testing.T) {
	before, now := storedDocuments()
	path := filepath.Join(t.TempDir(), "cache")
	for i, d := range []Document{before, now} {
		if err := Cache(path, d, fleet.Time(i+4)*fleet.Second); err != nil {
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
	for i, d := range []Document{now, before} {
		want := map[string]Server{}
		for _, s := range d.Servers {
			want[s.Name] = s
		}
		g := got[i]
		if g.Rev != d.Rev || g.At != fleet.Time(5-i)*fleet.Second || g.Stated != len(d.Servers) || !g.Whole || !reflect.DeepEqual(g.Entries, want) {
			t.Errorf("generation %d: %+v", i, g)
		}
	}
}
