package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/testing/await"
)

// Guards the bytes of the requests for a watch and for the complete list, and the endpoints that a list is decoded to.
func TestRequestsToDiscoveryKeepTheirBytes(t *testing.T) {
	requests := make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- fmt.Sprintf("%s %s %s", r.Method, r.RequestURI, r.Proto)
		_, _ = fmt.Fprintln(w, `{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"10.1.0.18:7070","az":"b",`+
			`"model":"m2","pod_group":3,"state":"terminating","capacity_hint":1.5,"boot_ms":1700000000123}]}`)
		w.(http.Flusher).Flush()
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	source := &PlatformSource{
		Addr:     s.Listener.Addr().String(),
		Revision: 40,
		Zones:    []string{"a", "b"},
		Kinds:    []string{"m1", "m2"},
	}
	updates := startSource(t, source)
	want := Update{Scope: fleet.ListFull, List: EndpointList{Revision: 41, Endpoints: []Endpoint{{
		Name:    "s-1",
		Addr:    "10.1.0.18:7070",
		Zone:    "b",
		Kind:    "m2",
		Cell:    3,
		State:   "draining",
		Started: time.Unix(1_700_000_000, 123_000_064),
		Weight:  1.5,
	}}}}
	source.Watch(true)
	if got := await.Receive(t, requests); got != "GET /v1/endpoints?watch=1&after=40 HTTP/1.1" {
		t.Errorf("request for a watch: %q", got)
	}
	if got := await.Receive(t, updates); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	source.Fetch()
	if got := await.Receive(t, requests); got != "GET /v1/endpoints HTTP/1.1" {
		t.Errorf("request for the complete list: %q", got)
	}
	if got := await.Receive(t, updates); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
