package discovery

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/testing/await"
)

// fakeListService serves revision 1 of a list at once, and revision 2 after an element was sent to changed.
type fakeListService struct {
	*httptest.Server
	down     atomic.Bool
	requests atomic.Int64
	changed  chan struct{}
}

func newFakeListService(t *testing.T) *fakeListService {
	t.Helper()
	s := &fakeListService{changed: make(chan struct{})}
	s.Server = httptest.NewServer(s)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (s *fakeListService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	if s.down.Load() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	list := EndpointList{Revision: 1, Endpoints: []Endpoint{{Name: "a", Addr: "x:1"}, {Name: "b", Addr: "x:2"}}}
	if r.URL.Query().Get("rev") != "0" {
		select {
		case <-s.changed:
			list = EndpointList{Revision: 2, Delta: true, Endpoints: []Endpoint{{Name: "b", State: "gone"}}}
		case <-r.Context().Done():
			return
		}
	}
	_ = json.NewEncoder(w).Encode(list)
}

func (s *fakeListService) source(onRequest bool) *HTTPSource {
	return &HTTPSource{URL: s.URL + "/list?governor=g", Wait: 30 * fleet.Second, OnRequest: onRequest}
}

func expectChange(t *testing.T, service *fakeListService, updates chan Update) {
	t.Helper()
	service.changed <- struct{}{}
	if update := await.Receive(t, updates); update.Scope != fleet.ListDelta || update.List.Endpoints[0].State != "gone" {
		t.Fatalf("%+v, want a delta in which b is gone", update)
	}
}

func TestHTTPSourceRetriesAfterAFailure(t *testing.T) {
	service := newFakeListService(t)
	service.down.Store(true)
	source := service.source(false)
	updates := startSource(t, source)
	update := await.Receive(t, updates)
	if update.Scope != fleet.ListFailed {
		t.Fatalf("%+v, want a failure", update)
	}
	service.down.Store(false)
	for update.Scope == fleet.ListFailed {
		update = await.Receive(t, updates)
	}
	if update.Scope != fleet.ListFull || len(update.List.Endpoints) != 2 {
		t.Fatalf("%+v, want the complete list", update)
	}
	expectChange(t, service, updates)
	source.Watch(false)
}

func TestHTTPSourceOnRequestWaitsForTheNextWatchAfterAFailure(t *testing.T) {
	service := newFakeListService(t)
	service.down.Store(true)
	source := service.source(true)
	updates := startSource(t, source)
	source.Watch(true)
	if update := await.Receive(t, updates); update.Scope != fleet.ListFailed {
		t.Fatalf("%+v, want a failure", update)
	}
	service.down.Store(false)
	before := service.requests.Load()
	source.Watch(true)
	update := await.Receive(t, updates)
	requests := service.requests.Load() - before // the next poll may have started
	if update.Scope != fleet.ListFull || requests != 1 && requests != 2 {
		t.Fatalf("%+v after %d requests, want a complete list after 1 or 2", update, requests)
	}
	expectChange(t, service, updates)
	source.Watch(false)
}
