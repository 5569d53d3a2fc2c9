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

func kept(rev uint64, n int) EndpointList {
	d := EndpointList{Revision: rev}
	for i := range n {
		d.Endpoints = append(d.Endpoints, Endpoint{Name: fmt.Sprint("s", i), Addr: fmt.Sprint("127.0.0.1:", 8000+i), Zone: "a", Started: time.Unix(int64(i), 0).UTC()})
	}
	return d
}

// TestCacheCutAndFlipped cuts a cache at every byte and flips every one: what is read then is entries that stood in it, each loss is
// told with file and line, and the generation before is there whole.
func TestCacheCutAndFlipped(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := WriteCache(path, kept(1, 6), 5*fleet.Second); err != nil {
		t.Fatal(err)
	}
	for range 3 { // confirmed again and again: the one before stays
		if err := WriteCache(path, kept(2, 5), 9*fleet.Second); err != nil {
			t.Fatal(err)
		}
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]Endpoint{}
	for _, s := range kept(2, 5).Endpoints {
		want[s.Name] = s
	}
	head := bytes.IndexByte(whole, '\n') + 1
	cases, lost := 0, 0
	look := func(text []byte, at int) {
		cases++
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		got, wrong := ReadCache(path)
		before := got[len(got)-1]
		if before.Revision != 1 || !before.Complete || len(before.Entries) != 6 || before.ConfirmedAt != 5*fleet.Second {
			t.Fatalf("byte %d: the generation before: %+v", at, before)
		}
		for _, err := range wrong {
			if !strings.Contains(err.Error(), path+":") {
				t.Fatalf("byte %d: %v names no line", at, err)
			}
		}
		if len(got) == 1 {
			if at >= head {
				t.Fatalf("byte %d is none of the head, and the list is lost: %v", at, wrong)
			}
			return
		}
		for name, s := range got[0].Entries {
			if want[name] != s {
				t.Fatalf("byte %d: %+v", at, s)
			}
		}
		if n := len(got[0].Entries); n < 5 {
			lost++
			if got[0].Complete || at >= head && n < 3 && // a flipped end of a line takes two
				len(text) == len(whole) {
				t.Fatalf("byte %d: %d entries are left, whole %v", at, n, got[0].Complete)
			}
		}
		if c, ok := verification.Choose(10*fleet.Second, got); !ok || len(c.Entries) < 5 {
			t.Fatalf("byte %d: starts from %+v", at, c)
		}
	}
	for at := range whole {
		look(whole[:at], at)
		flipped := bytes.Clone(whole)
		flipped[at] ^= 1 << (at % 7)
		look(flipped, at)
	}
	if lost < len(whole)/2 {
		t.Errorf("%d of %d cases lost an entry", lost, cases)
	}
	look(whole, head)
	// A list as earlier versions kept it.
	if err := os.WriteFile(path, []byte(`{"rev": 3, "servers": [{"name": "a", "addr": "x:1"}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, wrong := ReadCache(path); len(wrong) > 0 || got[0].Revision != 3 || len(got[0].Entries) != 1 {
		t.Errorf("%+v, %v", got, wrong)
	}
}
