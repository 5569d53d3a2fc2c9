package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"cressknot/internal/fleet"
	"cressknot/internal/testing/await"
)

// TestRequestsToTheRelayKeepTheirBytes checks the request line, content type, length and body of a call and of the
// request for the event stream.
func TestRequestsToTheRelayKeepTheirBytes(t *testing.T) {
	calls, streams := make(chan string, 10), make(chan string, 10)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		text := fmt.Sprintf("%s %s %s\n%s\n%d\n%s",
			r.Method, r.RequestURI, r.Proto, r.Header.Get("Content-Type"), r.ContentLength, body)
		if r.URL.Path == "/api/stream" {
			streams <- text
			<-r.Context().Done()
			return
		}
		calls <- text
		_, _ = fmt.Fprint(w, "<Response><entries><item><accepted>9</accepted></item></entries></Response>")
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	client := New(Options{
		Addr:       l.Addr().String(),
		Zones:      []string{"a"},
		Classes:    classes,
		ProxyCount: 10,
		Log:        zerolog.Nop(),
		OnEvent:    func(StreamEvent) {},
	})
	client.Enqueue([]Operation{
		{Order: fleet.SetWeight{Table: 4, Weight: 1.5}, Server: "s-5"},
		{Order: fleet.SetWeight{Table: 4, Weight: 0}, Server: "s 6"},
		{Order: fleet.ClearTable{Table: 3}},
		{Order: fleet.AssignTable{Proxy: 17, Table: 4, Classes: 5}},
		{Order: fleet.WithdrawServer{Withdrawn: true}, Server: "s-5"},
		{Order: fleet.WithdrawServer{}, Server: "s-7"},
		{Order: fleet.SetAdmission{Table: fleet.AllTables, Limit: 1e6, Retry: fleet.RetryIfNotExecuted}},
		{Order: fleet.SetAdmission{Table: 4, Classes: 2, Limit: 0.9, Retry: fleet.RetryTwice}},
		{Order: fleet.Barrier{ID: 905, AllProxies: true}},
	})
	start(t, client)
	const call = "POST /api/ HTTP/1.1\napplication/x-www-form-urlencoded\n224\n" +
		"Action=CommitChanges&ops=share%2C4%2Cs-5%2C1.5%3Bshare%2C4%2Cs+6%2C0%3Bclear%2C3%3Bbind%2C17%2C4%2Clook%2Bissue" +
		"%3Bwithdraw%2Cs-5%3Brestore%2Cs-7%3Badmit%2C%2A%2C%2A%2C1000000%2C1%3Badmit%2C4%2Cbook%2C0.9%2C3%3Bmark%2C905%2C1"
	if got := await.Receive(t, calls); got != call {
		t.Errorf("call\n%s\nwant\n%s", got, call)
	}
	if got := await.Receive(t, streams); got != "GET /api/stream HTTP/1.1\n\n0\n" {
		t.Errorf("request for the event stream is %q", got)
	}
}

// TestEventsOfTheRelayAreRead checks the events decoded from each kind of line of the stream.
func TestEventsOfTheRelayAreRead(t *testing.T) {
	relay := newFakeRelay(t)
	_, events, _ := startClient(t, relay)
	texts := await.Receive(t, relay.streams)
	texts <- strings.Join([]string{
		"event: joined\ndata: node=7&locality=a&w=2.5&cold=1\n\n",
		"event:left\ndata:node=7\n\n",
		":\n\n",
		"event: odd\ndata: x=1\n\n",
		"event: applied\ndata: node=3&nonce=65535&latency=12.5\n\n",
	}, "")
	for _, want := range []StreamEvent{
		{Stream: 1, Kind: StreamOpened},
		{Stream: 1, Kind: ProxyEvent, Event: fleet.ProxyJoined{Proxy: 7, RequestRate: 2.5, Fresh: true}},
		{Stream: 1, Kind: ProxyEvent, Event: fleet.ProxyLeft{Proxy: 7}},
		{Stream: 1, Kind: SnapshotComplete},
		{Stream: 1, Kind: ProxyEvent, Event: fleet.BarrierReached{Proxy: 3, Barrier: 65535, Delay: 12_500_000}},
	} {
		if got := await.Receive(t, events); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}
