package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cressknot/internal/fleet"
)

const target = `{"uid":"%s","endpoint":"10.1.0.18:7070","az":"a","model":"m2","pod_group":3,"state":"%s","capacity_hint":1.0,"boot_ms":%d}`

func object(rev int, all bool, targets ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, rev, all, strings.Join(targets, ","))
}

func TestPlatformObjectsAreRead(t *testing.T) {
	p := PlatformSource{Zones: []string{"a"}, Kinds: []string{"m2"}}
	d, err := p.Decode([]byte(object(41, false, fmt.Sprintf(target, "s-1", "terminating", 0), fmt.Sprintf(target, "s-2", "in_service", 1_700_000_000_123))))
	if err != nil || d.Revision != 41 || !d.Delta || len(d.Endpoints) != 2 || d.Endpoints[0].State != "draining" || !d.Endpoints[0].Started.IsZero() ||
		d.Endpoints[1].Started.UnixMilli() != 1_700_000_000_123 {
		t.Errorf("%+v, %v", d, err)
	}
	good := object(41, true, fmt.Sprintf(target, "s-1", "in_service", 0))
	for from, to := range map[string]string{`"rev":41,`: "", `"all":true,`: "", `"az":"a"`: `"az":"z"`, `"model":"m2"`: `"model":"m9"`,
		`in_service`: `resting`, `"uid":"s-1"`: `"uid":""`, `"boot_ms":0`: `"boot_ms":-1`, `"rev":41`: `"rev":"x"`, `]}`: ``} {
		if d, err := p.Decode([]byte(strings.Replace(good, from, to, 1))); err == nil {
			t.Errorf("%s for %s: read as %+v", to, from, d)
		}
	}
	twice := fmt.Sprintf(target, "s-1", "in_service", 0)
	if _, err := p.Decode([]byte(object(1, true, twice, twice))); err == nil || !strings.Contains(err.Error(), "targets[1]") {
		t.Errorf("%v, which does not name the entry", err)
	}
}

func FuzzPlatform(f *testing.F) {
	f.Add([]byte(object(41, true, fmt.Sprintf(target, "s-1", "in_service", 7))))
	p := PlatformSource{Zones: []string{"a"}, Kinds: []string{"m2"}}
	f.Fuzz(func(t *testing.T, text []byte) {
		if d, err := p.Decode(text); err == nil {
			for _, s := range d.Endpoints {
				if s.Name == "" {
					t.Errorf("a server without a name in %q", text)
				}
			}
		}
	})
}

// discovery is a stand-in: each watch gets what the test says, a line at a time.
type discovery struct {
	*httptest.Server
	watches chan *watch
	fetches chan string // if there is one, what a fetch gets, when it is given
	asked   chan bool   // a fetch waits for that
}

type watch struct {
	query string
	lines chan string // closed: break it
}

func newDiscovery(t *testing.T) *discovery {
	d := &discovery{watches: make(chan *watch, 10)}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") == "" {
			text := object(50, true)
			if d.fetches != nil {
				d.asked <- true
				text = <-d.fetches
			}
			fmt.Fprint(w, text)
			return
		}
		at := &watch{r.URL.RawQuery, make(chan string)}
		d.watches <- at
		for {
			select {
			case line, more := <-at.lines:
				if !more {
					panic(http.ErrAbortHandler)
				}
				if line == "503" {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				fmt.Fprint(w, line)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { d.CloseClientConnections(); d.Close() })
	return d
}

func hear[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

// Each asking is answered by one update, be it a failure; what changes follows in order, and a move loses and doubles nothing.
func TestPlatformAnswersEachAskingOnce(t *testing.T) {
	d, moved := newDiscovery(t), newDiscovery(t)
	p := &PlatformSource{Addr: d.Listener.Addr().String(), Revision: 40, Zones: []string{"a"}, Kinds: []string{"m2"}}
	told := make(chan Update, 100)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.Start(ctx, func(u Update) { told <- u }); err != nil {
		t.Fatal(err)
	}
	expect := func(what string, scope fleet.ListScope, rev uint64) {
		t.Helper()
		if u := hear(t, told); u.Unchanged || u.Scope != scope || u.List.Revision != rev || (u.Err != nil) != (scope == fleet.ListFailed) {
			t.Fatalf("%s: %+v", what, u)
		}
	}
	p.Watch(true)
	hear(t, d.watches).lines <- "503"
	expect("turned away", fleet.ListFailed, 0)
	p.Watch(true)
	w := hear(t, d.watches)
	if w.query != "watch=1&after=40" {
		t.Errorf("asked %s", w.query)
	}
	w.lines <- "\n"
	expect("nothing new", fleet.ListDelta, 40)
	w.lines <- object(41, false, fmt.Sprintf(target, "s-1", "in_service", 0))[:30] // in pieces
	w.lines <- object(41, false, fmt.Sprintf(target, "s-1", "in_service", 0))[30:] + "\n"
	expect("a change", fleet.ListDelta, 41)
	w.lines <- "{\"rev\":42,"
	close(w.lines)
	expect("cut short", fleet.ListFailed, 0)
	p.Watch(true)
	w = hear(t, d.watches)
	w.lines <- object(42, true) + "\n"
	expect("the whole list", fleet.ListFull, 42)

	p.SetAddress(moved.Listener.Addr().String())
	at := hear(t, moved.watches)
	if at.query != "watch=1&after=42" {
		t.Errorf("asked %s", at.query)
	}
	w.lines <- object(43, false) + "\n"
	expect("at the old address", fleet.ListDelta, 43)
	at.lines <- object(43, false) + "\n" // known already
	if u := hear(t, told); !u.Unchanged {
		t.Errorf("told twice: %+v", u)
	}
	at.lines <- object(44, false) + "\n"
	expect("at the new address", fleet.ListDelta, 44)
	p.Fetch()
	expect("a fetch", fleet.ListFull, 50)
}

// Bytes that come and come while no line ends are no sign of life: the watch ends, and the asking is answered by a failure, once.
func TestPlatformEndsALineWithoutEnd(t *testing.T) {
	d := newDiscovery(t)
	p := &PlatformSource{Addr: d.Listener.Addr().String(), whole: 300 * time.Millisecond}
	told := make(chan Update, 100)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_ = p.Start(ctx, func(u Update) { told <- u })
	p.Watch(true)
	w := hear(t, d.watches)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		for late := time.After(20 * time.Second); ; {
			select {
			case w.lines <- "{":
			case u := <-told:
				if u.Scope != fleet.ListFailed || u.Err == nil {
					t.Errorf("%+v", u)
				}
				return
			case <-late:
				t.Error("the watch goes on")
				return
			}
		}
	}()
	<-gone
	p.Watch(true)
	hear(t, d.watches).lines <- "\n"
	if u := hear(t, told); u.Scope != fleet.ListDelta || len(told) > 0 {
		t.Errorf("%+v, and %d more", u, len(told))
	}
}

// A whole list is on its way while the watch tells newer things: it is an answer, and takes nothing back.
func TestPlatformFetchCrossesAChange(t *testing.T) {
	d := newDiscovery(t)
	d.fetches, d.asked = make(chan string), make(chan bool)
	p := &PlatformSource{Addr: d.Listener.Addr().String(), Revision: 40, Zones: []string{"a"}, Kinds: []string{"m2"}}
	told := make(chan Update, 100)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_ = p.Start(ctx, func(u Update) { told <- u })
	p.Watch(true)
	w := hear(t, d.watches)
	w.lines <- object(41, true) + "\n"
	hear(t, told)
	p.Fetch()
	hear(t, d.asked)
	w.lines <- object(42, false) + "\n"
	if u := hear(t, told); u.List.Revision != 42 {
		t.Fatalf("%+v", u)
	}
	d.fetches <- object(41, true, fmt.Sprintf(target, "s-1", "in_service", 0))
	if u := hear(t, told); u.Scope != fleet.ListDelta || u.List.Revision != 42 || len(u.List.Endpoints) > 0 {
		t.Errorf("an older list counts: %+v", u)
	}
}

// Where the new address does not answer, the old one stands.
func TestPlatformMovesToNobody(t *testing.T) {
	d := newDiscovery(t)
	notices := make(chan error, 10)
	p := &PlatformSource{Addr: d.Listener.Addr().String(), OnError: func(err error) { notices <- err }}
	told := make(chan Update, 100)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_ = p.Start(ctx, func(u Update) { told <- u })
	p.Watch(true)
	w := hear(t, d.watches)
	w.lines <- object(1, true) + "\n"
	hear(t, told)
	p.SetAddress("127.0.0.1:1")
	if err := hear(t, notices); err == nil || errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	w.lines <- object(2, false) + "\n"
	if u := hear(t, told); u.List.Revision != 2 {
		t.Errorf("%+v", u)
	}
}
