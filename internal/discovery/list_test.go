package discovery

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cressknot/internal/fleet"
)

func TestBadListsNameThePlace(t *testing.T) {
	for text, want := range map[string]string{
		`{"rev": 1, "servers": [{"name": "a", "addr": "x:1"}`:                                 `byte`,
		`{"rev": 1, "servers": [{"name": "a", "addr": "x:1"}]} {}`:                            `more after its end`,
		`{"rev": 1, "servers": [{"name": "a", "addr": "x:1"}, {"name": "a", "addr": "y:1"}]}`: `servers[1]: "a" stands twice`,
		`{"rev": 1, "servers": [{"addr": "x:1"}]}`:                                            `servers[0]: no name`,
		`{"rev": 1, "servers": [{"name": "a"}]}`:                                              `servers[0]: "a" has no addr`,
		`{"rev": 1, "servers": [{"name": "a", "addr": "x:1", "state": "up"}]}`:                `state "up" is none of`,
		`{"rev": 1, "servers": [{"name": "a", "adr": "x:1"}]}`:                                `unknown field "adr"`,
	} {
		if _, err := Decode([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

// next gives the next update within some time.
func next(t *testing.T, updates chan Update) Update {
	t.Helper()
	select {
	case u := <-updates:
		return u
	case <-time.After(20 * time.Second):
		t.Fatal("no update within 20 s")
		panic("unreached")
	}
}

func TestFileIsFollowed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "servers.json")
	write := func(rev uint64, text string) {
		t.Helper()
		if text != "" {
			if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
				t.Fatal(err)
			}
			return
		}
		whole, err := json.Marshal(EndpointList{Revision: rev, Endpoints: []Endpoint{{Name: "a", Addr: "x:1"}}})
		if err == nil {
			if err = os.WriteFile(path+".new", whole, 0o644); err == nil {
				err = os.Rename(path+".new", path)
			}
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	write(1, "")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	updates := make(chan Update, 64)
	f := &FileSource{Path: path}
	if err := f.Start(ctx, func(u Update) { updates <- u }); err != nil {
		t.Fatal(err)
	}
	if u := next(t, updates); u.List.Revision != 1 || u.Scope != fleet.ListFull {
		t.Fatalf("%+v", u)
	}
	write(2, "")
	for u := next(t, updates); u.List.Revision != 2; u = next(t, updates) {
	}
	write(0, `{"rev": 3, "serv`)
	u := next(t, updates)
	for ; u.Err == nil; u = next(t, updates) {
	}
	if u.Scope != fleet.ListFailed || !strings.Contains(u.Err.Error(), "servers.json") {
		t.Errorf("%+v", u)
	}
}

func TestServiceFailsAndComesBack(t *testing.T) {
	var down atomic.Bool
	var asked atomic.Int64
	var changes atomic.Pointer[chan struct{}] // of each round its own: a poll of the round before may still wait at the server
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		change := *changes.Load()
		if down.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		d := EndpointList{Revision: 1, Endpoints: []Endpoint{{Name: "a", Addr: "x:1"}, {Name: "b", Addr: "x:2"}}}
		if r.URL.Query().Get("rev") != "0" {
			select {
			case <-change:
				d = EndpointList{Revision: 2, Delta: true, Endpoints: []Endpoint{{Name: "b", State: "gone"}}}
			case <-r.Context().Done():
				return
			}
		}
		_ = json.NewEncoder(w).Encode(d)
	}))
	defer s.Close()
	for _, onRequest := range []bool{false, true} {
		change := make(chan struct{})
		changes.Store(&change)
		ctx, cancel := context.WithCancel(context.Background())
		updates := make(chan Update, 1024)
		h := &HTTPSource{URL: s.URL + "/list?governor=g", Wait: 30 * fleet.Second, OnRequest: onRequest}
		down.Store(true)
		if err := h.Start(ctx, func(u Update) { updates <- u }); err != nil {
			t.Fatal(err)
		}
		if onRequest {
			h.Watch(true)
		}
		if u := next(t, updates); u.Scope != fleet.ListFailed {
			t.Fatalf("%+v", u)
		}
		down.Store(false)
		if onRequest { // it is the module that asks again
			n := asked.Load()
			h.Watch(true)
			if u := next(t, updates); u.Scope != fleet.ListFull || asked.Load() != n+1 && asked.Load() != n+2 {
				t.Fatalf("%+v after %d calls", u, asked.Load()-n)
			}
		} else {
			u := next(t, updates)
			for ; u.Scope == fleet.ListFailed; u = next(t, updates) {
			}
			if u.Scope != fleet.ListFull || len(u.List.Endpoints) != 2 {
				t.Fatalf("%+v", u)
			}
		}
		change <- struct{}{}
		if u := next(t, updates); u.Scope != fleet.ListDelta || u.List.Endpoints[0].State != "gone" {
			t.Fatalf("%+v", u)
		}
		cancel()
		h.Watch(false)
	}
}
