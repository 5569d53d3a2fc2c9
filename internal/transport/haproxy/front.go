// Package haproxy is the front that dials each proxy's runtime socket and speaks the text protocol of package
// runtimeapi, as the management guide of HAProxy publishes it. It carries out messages and reads counters; what
// to send, when, and what to make of an answer's absence is decided in packages steer and reports.
package haproxy

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"net"
	"strings"
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

// Options say how the proxies are set up; docs/operate/proxies.md has their side of it.
type Options struct {
	Proxies   []transport.Proxy
	Classes   []transport.Class
	Map       string // file or #id of the map that holds levels
	Table     string // stick table that holds what answers told, "" for none
	Admission fleet.AdmissionMode
	Names     transport.ServerNames
	Pollers   int // event loops of sockets; 0: the library's own choice

	// Where several governors may serve a proxy: this one's name and its part of the protocol by which they agree at the proxy.
	Me    string
	Lease func(transport.Proxy) *lease.Lease // nil: no other governor does
	Clock func() fleet.Time
}

// Front is the front over runtime sockets.
type Front struct {
	opt          Options
	engine       *nbio.Engine
	backends     map[string]fleet.ClassID
	links        map[fleet.ProxyID]*link
	sink         transport.Sink
	ctx          context.Context
	cancel       context.CancelFunc
	dials        sync.WaitGroup
	sessions     sync.Map // *nbio.Conn to *session
	streams      atomic.Uint64
	answerWithin time.Duration // steer.AnswerWithin, but in tests
	stopping     atomic.Bool
	moving       sync.Mutex
	moves        lease.Moves
}

var _ transport.Transport = (*Front)(nil)

// link is the standing relation to one proxy; its sessions come and go.
type link struct {
	front  *Front
	proxy  transport.Proxy
	redial reconcile.DialBackoff // of the dialing goroutine only
	stood  atomic.Bool           // the last session could be read back

	leasing sync.Mutex
	lease   *lease.Lease // nil: no other governor serves the proxy
	ending  []string     // sessions there that the next session ends, as it takes the proxy over

	mu      sync.Mutex
	current *session
	kick    chan struct{} // the session is over
}

// New makes a front. It dials nobody before Start.
func New(opt Options) *Front {
	logging.SetLevel(logging.LevelNone) // the library's own log; what matters comes as errors
	f := &Front{opt: opt, answerWithin: time.Duration(reconcile.AnswerTimeout), backends: map[string]fleet.ClassID{}, links: map[fleet.ProxyID]*link{}}
	for i, c := range opt.Classes {
		f.backends[c.Backend] = fleet.ClassID(i)
	}
	for _, p := range opt.Proxies {
		f.links[p.ID] = &link{front: f, proxy: p, kick: make(chan struct{}, 1),
			redial: reconcile.NewDialBackoff(maphash.String(maphash.MakeSeed(), p.Name))}
		if opt.Lease != nil {
			f.links[p.ID].lease = opt.Lease(p)
		}
	}
	return f
}

// Start dials all proxies and keeps dialing until Stop.
func (f *Front) Start(ctx context.Context, sink transport.Sink) error {
	f.sink = sink
	f.ctx, f.cancel = context.WithCancel(ctx)
	f.engine = nbio.NewEngine(nbio.Config{Name: "runtime", NPoller: f.opt.Pollers, ReadBufferSize: 64 << 10,
		MaxWriteBufferSize: 64 << 20})
	f.engine.OnData(func(c *nbio.Conn, data []byte) {
		if s := f.of(c); s != nil {
			s.feed(data)
		}
	})
	f.engine.OnClose(func(c *nbio.Conn, err error) {
		if s := f.of(c); s != nil {
			f.sessions.Delete(c)
			s.closed(err)
		}
	})
	if err := f.engine.Start(); err != nil {
		return fmt.Errorf("starting the event loops: %w", err)
	}
	for _, l := range f.links {
		f.dials.Add(1)
		go l.run()
	}
	return nil
}

// of gives the session of a connection. A map of ours orders what the dialing goroutine wrote before what the event loop
// reads, which the library's own place for it does not.
func (f *Front) of(c *nbio.Conn) *session {
	s, ok := f.sessions.Load(c)
	if !ok {
		return nil
	}
	return s.(*session)
}

// network tells a Unix socket's path from host:port.
func network(addr string) string {
	if strings.Contains(addr, "/") {
		return "unix"
	}
	return "tcp"
}

// run dials the proxy, waits for the session's end, and dials again.
func (l *link) run() {
	f := l.front
	defer f.dials.Done()
	dialer := net.Dialer{Timeout: time.Duration(reconcile.DialTimeout)}
	for f.ctx.Err() == nil {
		conn, err := dialer.DialContext(f.ctx, network(l.proxy.Addr), l.proxy.Addr)
		if err == nil {
			err = l.open(conn, nil)
		}
		if err == nil {
			select {
			case <-l.kick:
			case <-f.ctx.Done():
				return
			}
		} else if f.ctx.Err() == nil {
			f.sink(transport.Unreachable{Proxy: l.proxy.ID, Err: err})
		}
		if l.stood.Swap(false) {
			l.redial.Reset()
		}
		wait := time.NewTimer(time.Duration(l.redial.Next()))
		select {
		case <-wait.C:
		case <-f.ctx.Done():
		}
		wait.Stop()
	}
}

// open begins a session on a new connection; with one before it, whose takeover it completes.
func (l *link) open(conn net.Conn, before *session) error {
	c, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		return fmt.Errorf("proxy %s: %w", l.proxy.Name, err)
	}
	s := l.session(c, before)
	s.mu.Lock() // until it has begun: a far end that speaks, or closes, before it was asked has to wait for that
	l.front.sessions.Store(c, s)
	l.mu.Lock()
	l.current = s
	l.mu.Unlock()
	if _, err := l.front.engine.AddConn(c); err != nil {
		s.mu.Unlock()
		l.front.sessions.Delete(c)
		_ = c.Close()
		return fmt.Errorf("proxy %s: %w", l.proxy.Name, err)
	}
	s.begin()
	s.mu.Unlock()
	return nil
}

// session makes a session that has not begun. Its watchdog is there from the first moment: a connection that closed before the session had
// begun found none, and left the session locked for ever.
func (l *link) session(c *nbio.Conn, before *session) *session {
	s := &session{link: l, conn: c, stream: l.front.streams.Add(1), keys: map[string]bool{}, before: before}
	s.watchdog = time.AfterFunc(l.front.answerWithin, s.late)
	return s
}

func (f *Front) session(id fleet.ProxyID) *session {
	l := f.links[id]
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// Send carries a message over the proxy's present session.
func (f *Front) Send(m reconcile.Message) {
	if s := f.session(m.Proxy); s != nil {
		s.send(m)
	}
}

// Poll asks a proxy for its counters.
func (f *Front) Poll(id fleet.ProxyID) {
	if s := f.session(id); s != nil {
		s.poll()
	}
}

var errDropped = errors.New("broken off by the governor")

// Drop breaks the session of a proxy.
func (f *Front) Drop(id fleet.ProxyID) {
	if s := f.session(id); s != nil {
		s.end(errDropped)
	}
}

// Stop waits until what was sent is answered, for as long as the context stands, then closes all sessions.
func (f *Front) Stop(ctx context.Context) error {
	f.stopping.Store(true)
	transport.DrainUntilIdle(ctx, f.busy)
	f.cancel()
	f.dials.Wait()
	for id, l := range f.links {
		if s := f.session(id); s != nil && l.lease != nil && ctx.Err() == nil {
			s.handOn() // another one need not wait for the lease to end
		}
	}
	transport.DrainUntilIdle(ctx, f.busy)
	for id := range f.links {
		f.Drop(id)
	}
	if err := f.engine.Shutdown(context.WithoutCancel(ctx)); err != nil {
		return fmt.Errorf("closing the event loops: %w", err)
	}
	return ctx.Err()
}

func (f *Front) busy() bool {
	for id := range f.links {
		if s := f.session(id); s != nil && s.outstanding() {
			return true
		}
	}
	return false
}
