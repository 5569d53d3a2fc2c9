package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// rejectWatch as the first line of a watch makes the fake service answer the watch with status 503.
const rejectWatch = "503"

const heartbeatLine = "\n"

// fakePlatform is a discovery service whose watches send the lines that the test provides.
type fakePlatform struct {
	*httptest.Server
	watches chan *fakeWatch
	fetches chan string   // answers to fetches; nil: answer with revision 50 at once
	fetched chan struct{} // receives an element when a fetch waits for its answer
}

type fakeWatch struct {
	query string
	lines chan string // closing it aborts the connection
}

func newFakePlatform(t *testing.T) *fakePlatform {
	t.Helper()
	p := &fakePlatform{watches: make(chan *fakeWatch, 10)}
	p.Server = httptest.NewServer(p)
	t.Cleanup(func() {
		p.CloseClientConnections()
		p.Close()
	})
	return p
}

// holdFetches makes fetches wait until the test provides their answers.
func (p *fakePlatform) holdFetches() {
	p.fetches = make(chan string)
	p.fetched = make(chan struct{})
}

func (p *fakePlatform) addr() string { return p.Listener.Addr().String() }

// source returns a source for the fake service that starts from revision 40.
func (p *fakePlatform) source() *PlatformSource {
	return &PlatformSource{Addr: p.addr(), Revision: 40, Zones: []string{"a"}, Kinds: []string{"m2"}}
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") != "" {
		p.serveWatch(w, r)
		return
	}
	text := listText(50, true)
	if p.fetches != nil {
		p.fetched <- struct{}{}
		text = <-p.fetches
	}
	_, _ = fmt.Fprint(w, text)
}

func (p *fakePlatform) serveWatch(w http.ResponseWriter, r *http.Request) {
	watch := &fakeWatch{query: r.URL.RawQuery, lines: make(chan string)}
	p.watches <- watch
	for {
		select {
		case line, ok := <-watch.lines:
			if !ok {
				panic(http.ErrAbortHandler)
			}
			if line == rejectWatch {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = fmt.Fprint(w, line)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}
