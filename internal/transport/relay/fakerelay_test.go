package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"cressknot/internal/testing/await"

	"github.com/rs/zerolog"
)

// closeStream, sent to a stream of the fake relay, closes the stream regularly instead of resetting the connection.
const closeStream = "close"

// Scripted answers of a fake relay to a call; "" stands for a regular answer.
const (
	answerLimit      = "limit"
	answerMalformed  = "malformed"
	answerBroken     = "carried out, then broken"
	answerDropped    = "broken, not carried out"
	answerIncomplete = "carried out, answer cut short"
)

// fakeRelay is a relay on loopback. It answers calls with the scripted answers, and regularly after the last of them.
type fakeRelay struct {
	*httptest.Server
	mu      sync.Mutex
	state   *relayState
	script  []string
	calls   chan string      // receives "answer: operations" for each call
	streams chan chan string // receives, for each stream, the channel of texts to send; closing it resets the stream
	release chan struct{}    // if not nil, each call receives an element before it is answered
}

func newFakeRelay(t *testing.T, script ...string) *fakeRelay {
	t.Helper()
	r := &fakeRelay{
		state:   newRelayState(),
		script:  script,
		calls:   make(chan string, 100),
		streams: make(chan chan string, 10),
	}
	r.Server = httptest.NewServer(r)
	t.Cleanup(func() {
		r.CloseClientConnections()
		r.Close()
	})
	return r
}

func (r *fakeRelay) addr() string { return r.Listener.Addr().String() }

func (r *fakeRelay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/api/stream" {
		r.serveStream(w, request)
		return
	}
	r.serveCall(w, request)
}

func (r *fakeRelay) serveStream(w http.ResponseWriter, request *http.Request) {
	texts := make(chan string)
	w.Header().Set("Content-Type", "text/event-stream")
	w.(http.Flusher).Flush()
	r.streams <- texts
	for {
		select {
		case text, ok := <-texts:
			if !ok {
				panic(http.ErrAbortHandler)
			}
			if text == closeStream {
				return
			}
			_, _ = fmt.Fprint(w, text)
			w.(http.Flusher).Flush()
		case <-request.Context().Done():
			return
		}
	}
}

func (r *fakeRelay) serveCall(w http.ResponseWriter, request *http.Request) {
	_ = request.ParseForm()
	operations := request.Form.Get("ops")
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := ""
	if len(r.script) > 0 {
		answer = r.script[0]
		r.script = r.script[1:]
	}
	r.calls <- answer + ": " + operations
	if r.release != nil {
		<-r.release
	}
	switch answer {
	case answerLimit, answerMalformed:
		_, _ = fmt.Fprintf(w, "<Response><error>%s</error></Response>", answer)
	case answerBroken:
		r.state.apply(operations)
		panic(http.ErrAbortHandler)
	case answerDropped:
		panic(http.ErrAbortHandler)
	case answerIncomplete:
		r.state.apply(operations)
		_, _ = fmt.Fprint(w, "<Response><entries><item><accep")
	default:
		accepted := r.state.apply(operations)
		_, _ = fmt.Fprintf(w, "<Response><entries><item><accepted>%d</accepted></item></entries></Response>", accepted)
	}
}

// openStream waits for a stream and sends a complete snapshot of the given proxies on it.
func (r *fakeRelay) openStream(t *testing.T, joined ...int) chan string {
	t.Helper()
	texts := await.Receive(t, r.streams)
	for _, proxy := range joined {
		texts <- joinedText(proxy)
	}
	texts <- heartbeatText
	return texts
}

const heartbeatText = ":\n"

func joinedText(proxy int) string {
	return fmt.Sprintf("event: joined\ndata: node=%d&locality=a&w=1&cold=0\n\n", proxy)
}

// startClient starts a client of the fake relay and returns it with the channels that its callbacks send to.
func startClient(t *testing.T, r *fakeRelay) (*Client, chan StreamEvent, chan Unconfirmed) {
	t.Helper()
	events := make(chan StreamEvent, 1000)
	unconfirmed := make(chan Unconfirmed, 10)
	client := New(Options{
		Addr:          r.addr(),
		Zones:         []string{"a"},
		Classes:       classes,
		ProxyCount:    10,
		Log:           zerolog.Nop(),
		OnEvent:       func(e StreamEvent) { events <- e },
		OnUnconfirmed: func(u Unconfirmed) { unconfirmed <- u },
	})
	start(t, client)
	return client, events, unconfirmed
}

// start runs the client until the end of the test.
func start(t *testing.T, client *Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	client.Start(ctx)
	t.Cleanup(func() {
		cancel()
		client.Wait()
	})
}
