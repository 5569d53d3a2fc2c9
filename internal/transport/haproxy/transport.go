// Package haproxy is the transport that connects to the runtime API of each proxy, whose text protocol package
// haproxyapi implements. It sends messages as commands and reads counters. Packages reconcile and counters decide what
// to send and when, and what a missing answer means.
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
	"cressknot/internal/netlimit"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

const (
	// readBufferSize is the size in bytes of the event loops' read buffers.
	readBufferSize = 64 << 10
	// maxUnsentBytes is the maximum size in bytes of the write buffer of one proxy.
	maxUnsentBytes = 64 << 20
)

// errDroppedByController is the reason of the end of a session that was closed by Drop.
var errDroppedByController = errors.New("connection closed by the controller")

// Options configure the transport. docs/operate/proxies.md describes the configuration of the proxies.
type Options struct {
	Proxies   []transport.Proxy
	Classes   []transport.Class
	Map       string // file or #id, at the proxies, of the map with admission limits and lease entries
	Table     string // stick table with response counters and load values, "" for none
	Admission fleet.AdmissionMode
	Names     transport.ServerNames
	Pollers   int // number of event loops; 0: the default of nbio
	// MaxRetryInterval is the longest delay between two attempts to connect to a proxy.
	MaxRetryInterval fleet.Time
	// Connections limits what the connections of the process hold together; nil: no limits.
	Connections *netlimit.Budget

	// Controller is the name of this controller in leases. It is unused without Lease.
	Controller string
	// Lease returns the lease of a proxy, nil if the proxy is not shared with other controllers. A nil function means
	// that no proxy is shared.
	Lease func(transport.Proxy) *lease.Lease
	// Clock returns the current time for lease decisions. It is unused without Lease.
	Clock func() fleet.Time
}

// Transport connects to the runtime APIs of proxies. Its methods may be called from any goroutine after Start.
type Transport struct {
	options        Options
	classByBackend map[string]fleet.ClassID
	links          map[fleet.ProxyID]*link
	sink           transport.Sink
	answerTimeout  time.Duration // maximum time without an answer to commands that were sent

	engine     *nbio.Engine
	sessions   sync.Map // *nbio.Conn to *session
	lastStream atomic.Uint64

	ctx      context.Context
	cancel   context.CancelFunc
	dialers  sync.WaitGroup
	stopping atomic.Bool

	movesMutex sync.Mutex
	handovers  lease.HandoverLimiter
}

var (
	_ transport.Transport      = (*Transport)(nil)
	_ transport.LeaseTransport = (*Transport)(nil)
)

// New returns a transport that connects to the proxies once Start is called.
func New(options Options) *Transport {
	logging.SetLevel(logging.LevelNone) // nbio returns the errors that it logs
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
			backoff:      reconcile.NewDialBackoff(maphash.String(maphash.MakeSeed(), proxy.Name), options.MaxRetryInterval),
		}
		if options.Lease != nil {
			l.lease = options.Lease(proxy)
		}
		t.links[proxy.ID] = l
	}
	return t
}

// Start connects to all proxies and reconnects after failures until Stop.
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
	t.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if s := t.sessionOf(c); s != nil {
			s.usage.Sent(time.Now(), n)
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

// sessionOf returns the session of a connection, nil for none. It uses a synchronized map rather than the session field
// of nbio.Conn, which does not order the writes of the dialing goroutine before the reads of the event loop.
func (t *Transport) sessionOf(c *nbio.Conn) *session {
	s, ok := t.sessions.Load(c)
	if !ok {
		return nil
	}
	return s.(*session)
}

// currentSession returns the current session of a proxy, nil for none.
func (t *Transport) currentSession(id fleet.ProxyID) *session {
	l := t.links[id]
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// Send sends a message over the current session of its proxy. It drops the message if there is none.
func (t *Transport) Send(m reconcile.Message) {
	if s := t.currentSession(m.Proxy); s != nil {
		s.send(m)
	}
}

// Poll requests the counters of a proxy, unless the answer to an earlier poll is outstanding.
func (t *Transport) Poll(id fleet.ProxyID) {
	if s := t.currentSession(id); s != nil {
		s.poll()
	}
}

// Drop closes the session of a proxy, which is then dialed again.
func (t *Transport) Drop(id fleet.ProxyID) {
	if s := t.currentSession(id); s != nil {
		s.close(errDroppedByController)
	}
}

// Stop waits until all changes are answered, releases the leases and closes all sessions. If the context ends first, it
// closes the sessions at once and returns the error of the context.
func (t *Transport) Stop(ctx context.Context) error {
	t.stopping.Store(true)
	transport.WaitUntilIdle(ctx, t.busy)
	t.cancel()
	t.dialers.Wait()
	for id, l := range t.links {
		if s := t.currentSession(id); s != nil && l.lease != nil && ctx.Err() == nil {
			s.handOver() // spares other controllers the wait until the lease expires
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
