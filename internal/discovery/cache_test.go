package discovery

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
)

// listOf returns a list of n ready endpoints.
func listOf(revision uint64, n int) EndpointList {
	list := EndpointList{Revision: revision}
	for i := range n {
		list.Endpoints = append(list.Endpoints, Endpoint{
			Name:    fmt.Sprint("s", i),
			Addr:    fmt.Sprint("127.0.0.1:", 8000+i),
			Zone:    "a",
			Started: time.Unix(int64(i), 0).UTC(),
		})
	}
	return list
}

func byName(endpoints []Endpoint) map[string]Endpoint {
	entries := make(map[string]Endpoint, len(endpoints))
	for _, endpoint := range endpoints {
		entries[endpoint.Name] = endpoint
	}
	return entries
}

func writeFile(t *testing.T, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// damagedCache is a cache of two generations whose newer file the test replaces by damaged versions.
type damagedCache struct {
	path       string
	intact     []byte // content of the newer file before any damage
	headerSize int
	want       map[string]Endpoint // entries of the newer generation, by name
	cases      int
	lost       int // cases in which entries were lost
}

func newDamagedCache(t *testing.T) *damagedCache {
	t.Helper()
	path := filepath.Join(t.TempDir(), "list")
	if err := WriteCache(path, listOf(1, 6), 5*fleet.Second); err != nil {
		t.Fatal(err)
	}
	for range 3 { // repeated confirmations of a list keep the previous generation
		if err := WriteCache(path, listOf(2, 5), 9*fleet.Second); err != nil {
			t.Fatal(err)
		}
	}
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return &damagedCache{
		path:       path,
		intact:     intact,
		headerSize: bytes.IndexByte(intact, '\n') + 1,
		want:       byName(listOf(2, 5).Endpoints),
	}
}

// check replaces the newer file by the text, which is damaged from byte at on, and reads the cache.
func (d *damagedCache) check(t *testing.T, text []byte, at int) {
	t.Helper()
	d.cases++
	writeFile(t, d.path, text)
	generations, errs := ReadCache(d.path)
	for _, err := range errs {
		if !strings.Contains(err.Error(), d.path+":") {
			t.Fatalf("byte %d: the error does not state file and line: %v", at, err)
		}
	}
	previous := generations[len(generations)-1]
	if previous.Revision != 1 || !previous.Complete || len(previous.Entries) != 6 ||
		previous.ConfirmedAt != 5*fleet.Second {
		t.Fatalf("byte %d: previous generation %+v", at, previous)
	}
	if len(generations) == 1 {
		if at >= d.headerSize {
			t.Fatalf("byte %d is outside the header, but the whole list is lost: %v", at, errs)
		}
		return
	}
	d.checkNewer(t, generations[0], len(text), at)
	chosen, ok := verification.ChooseGeneration(10*fleet.Second, generations)
	if !ok || len(chosen.Entries) < 5 {
		t.Fatalf("byte %d: chosen %+v, want 5 or more entries", at, chosen)
	}
}

func (d *damagedCache) checkNewer(t *testing.T, newer verification.Generation[Endpoint], size, at int) {
	t.Helper()
	for name, endpoint := range newer.Entries {
		if d.want[name] != endpoint {
			t.Fatalf("byte %d: entry %+v, want %+v", at, endpoint, d.want[name])
		}
	}
	count := len(newer.Entries)
	if count == len(d.want) {
		return
	}
	d.lost++
	const maxLost = 2 // a changed newline joins two entries
	cut := size < len(d.intact)
	if newer.Complete || !cut && at >= d.headerSize && count < len(d.want)-maxLost {
		t.Fatalf("byte %d: %d entries remain, complete %v", at, count, newer.Complete)
	}
}

// The newer file is truncated at every byte, and every byte is changed in turn. Damage must never produce an entry that
// was not written, each lost entry is reported with file and line, and the previous generation stays complete.
func TestReadCacheOfDamagedFiles(t *testing.T) {
	cache := newDamagedCache(t)
	for at := range cache.intact {
		cache.check(t, cache.intact[:at], at)
		changed := bytes.Clone(cache.intact)
		changed[at] ^= 1 << (at % 7)
		cache.check(t, changed, at)
	}
	if cache.lost < len(cache.intact)/2 {
		t.Errorf("%d of %d cases lost an entry", cache.lost, cache.cases)
	}
	cache.check(t, cache.intact, cache.headerSize)
}

// Earlier versions stored the list as plain JSON without checksums.
func TestReadCacheOfAPlainList(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	writeFile(t, path, []byte(`{"rev": 3, "servers": [{"name": "a", "addr": "x:1"}]}`))
	generations, errs := ReadCache(path)
	if len(errs) > 0 || generations[0].Revision != 3 || len(generations[0].Entries) != 1 {
		t.Errorf("%+v, %v", generations, errs)
	}
}
