// Package haproxy is the transport that dials each proxy's runtime socket and speaks the text protocol of package
// haproxyapi, as the management guide of HAProxy publishes it. It carries out messages and reads counters; what to
// send, when, and what a missing answer means is decided in packages reconcile and counters.
package haproxy

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"cressknot/internal/fleet"
	"cressknot/internal/lease"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

const (
	// readBufferSize is the size in bytes of the event loops' read buffers.
	readBufferSize = 64 << 10
	// maxUnsentBytes is how much may wait to be written to one proxy.
	maxUnsentBytes = 64 << 20
)

// errDroppedByController ends a session that the controller asked to drop.
var errDroppedByController = errors.New("connection closed by the controller")

// Options configure the transport; docs/operate/proxies.md describes the proxies' side.
type Options struct {
	Proxies   []transport.Proxy
	Classes   []transport.Class
	Map       string // file or #id of the map with admission limits and lease entries
	Table     string // stick table that counts successful answers and their load, "" for none
	Admission fleet.AdmissionMode
	Names     transport.ServerNames
	Pollers   int // event loops of sockets; 0: the library's default

	// Me is the name of this controller, where several may serve a proxy.
	Controller string
	// Lease returns this controller's part of the lease protocol at a proxy, nil if no other controller serves it.
	Lease func(transport.Proxy) *lease.Lease
	// Clock returns the time by which leases are decided.
	Clock func() fleet.Time
}

// Transport carries messages over runtime sockets.
type Transport struct {
	options        Options
	classByBackend map[string]fleet.ClassID
	links          map[fleet.ProxyID]*link
	sink           transport.Sink
	answerTimeout  time.Duration // reconcile.AnswerTimeout, except in tests

	engine     *nbio.Engine
	sessions   sync.Map // *nbio.Conn to *session
	lastStream atomic.Uint64

	ctx      context.Context
	cancel   context.CancelFunc
	dialers  sync.WaitGroup
	stopping atomic.Bool

	movesMutex sync.Mutex
	moves      lease.Moves
}

var (
	_ transport.Transport      = (*Transport)(nil)
	_ transport.LeaseTransport = (*Transport)(nil)
)

// New makes a transport. It dials nothing before Start.
func New(options Options) *Transport {
	logging.SetLevel(logging.LevelNone) // the library's own log; errors are returned as well
	t := &Transport{
		options:        options,
		answerTimeout:  time.Duration(reconcile.AnswerTimeout),
		classByBackend: map[string]fleet.ClassID{},
		links:          map[fleet.ProxyID]*link{},
	}
	for i, class := range options.Classes {
		t.classByBackend[class.Backend] = fleet.ClassID(i)
	}
	for _, proxy := range options.Proxies {
		l := &link{
			transport:    t,
			proxy:        proxy,
			sessionEnded: make(chan struct{}, 1),
			backoff:      reconcile.NewDialBackoff(maphash.String(maphash.MakeSeed(), proxy.Name)),
		}
		if options.Lease != nil {
			l.lease = options.Lease(proxy)
		}
		t.links[proxy.ID] = l
	}
	return t
}

// Start dials all proxies, again after each failure, until Stop.
func (t *Transport) Start(ctx context.Context, sink transport.Sink) error {
	t.sink = sink
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.engine = nbio.NewEngine(nbio.Config{
		Name:               "runtime",
		NPoller:            t.options.Pollers,
		ReadBufferSize:     readBufferSize,
		MaxWriteBufferSize: maxUnsentBytes,
	})
	t.engine.OnData(func(c *nbio.Conn, data []byte) {
		if s := t.sessionOf(c); s != nil {
			s.receive(data)
		}
	})
	t.engine.OnClose(func(c *nbio.Conn, err error) {
		if s := t.sessionOf(c); s != nil {
			t.sessions.Delete(c)
			s.connectionClosed(err)
		}
	})
	if err := t.engine.Start(); err != nil {
		return fmt.Errorf("start event loops: %w", err)
	}
	for _, l := range t.links {
		t.dialers.Add(1)
		go l.run()
	}
	return nil
}

// sessionOf returns the session of a connection. A map of this package orders what the dialing goroutine wrote before
// what the event loop reads, which the library's own place for it does not.
func (t *Transport) sessionOf(c *nbio.Conn) *session {
	s, ok := t.sessions.Load(c)
	if !ok {
		return nil
	}
	return s.(*session)
}

// currentSession returns the present session of a proxy, nil for none.
func (t *Transport) currentSession(id fleet.ProxyID) *session {
	l := t.links[id]
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// Send carries a message over the proxy's present session.
func (t *Transport) Send(m reconcile.Message) {
	if s := t.currentSession(m.Proxy); s != nil {
		s.send(m)
	}
}

// Poll asks a proxy for its counters.
func (t *Transport) Poll(id fleet.ProxyID) {
	if s := t.currentSession(id); s != nil {
		s.poll()
	}
}

// Drop ends the session of a proxy.
func (t *Transport) Drop(id fleet.ProxyID) {
	if s := t.currentSession(id); s != nil {
		s.close(errDroppedByController)
	}
}

// Stop waits until what was sent is answered or the context ends, then closes all sessions.
func (t *Transport) Stop(ctx context.Context) error {
	t.stopping.Store(true)
	transport.WaitUntilIdle(ctx, t.busy)
	t.cancel()
	t.dialers.Wait()
	for id, l := range t.links {
		if s := t.currentSession(id); s != nil && l.lease != nil && ctx.Err() == nil {
			s.handOver() // another controller need not wait for the lease to expire
		}
	}
	transport.WaitUntilIdle(ctx, t.busy)
	for id := range t.links {
		t.Drop(id)
	}
	if err := t.engine.Shutdown(context.WithoutCancel(ctx)); err != nil {
		return fmt.Errorf("stop event loops: %w", err)
	}
	return ctx.Err()
}

func (t *Transport) busy() bool {
	for id := range t.links {
		if s := t.currentSession(id); s != nil && s.hasUnansweredChanges() {
			return true
		}
	}
	return false
}
