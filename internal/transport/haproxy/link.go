package haproxy

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"cressknot/internal/lease"
	"cressknot/internal/netlimit"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// link keeps a session with one proxy open, by dialing the proxy again whenever a session ends.
type link struct {
	transport    *Transport
	proxy        transport.Proxy
	backoff      reconcile.DialBackoff // used by the dialing goroutine only
	established  atomic.Bool           // the latest session read the proxy's state
	sessionEnded chan struct{}

	leaseMutex    sync.Mutex
	lease         *lease.Lease // nil: the proxy is not shared with other controllers
	staleSessions []string     // ids of sessions that the next session shuts down to complete a takeover

	mu      sync.Mutex
	current *session
}

// run dials the proxy, waits for the end of the session, and dials again after a backoff, until the transport stops.
func (l *link) run() {
	t := l.transport
	defer t.dialers.Done()
	for t.ctx.Err() == nil {
		err := l.connect(nil)
		switch {
		case err == nil:
			select {
			case <-l.sessionEnded:
			case <-t.ctx.Done():
				return
			}
		case t.ctx.Err() == nil:
			t.sink(transport.Unreachable{Proxy: l.proxy.ID, Err: err})
		}
		if l.established.Swap(false) {
			l.backoff.Reset()
		}
		wait := time.NewTimer(time.Duration(l.backoff.Next()))
		select {
		case <-wait.C:
		case <-t.ctx.Done():
		}
		wait.Stop()
	}
}

// connect dials the proxy and opens a session. If predecessor is not nil, the session completes its takeover.
func (l *link) connect(predecessor *session) error {
	dialer := net.Dialer{Timeout: time.Duration(reconcile.ConnectTimeout)}
	conn, err := dialer.DialContext(l.transport.ctx, networkOf(l.proxy.Addr), l.proxy.Addr)
	if err != nil {
		return err
	}
	return l.openSession(conn, predecessor)
}

// networkOf returns "unix" for the path of a Unix socket and "tcp" for host:port.
func networkOf(addr string) string {
	if strings.Contains(addr, "/") {
		return "unix"
	}
	return "tcp"
}

// openSession begins a session on a new connection.
func (l *link) openSession(conn net.Conn, predecessor *session) error {
	c, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		return fmt.Errorf("duplicate the connection descriptor: %w", err)
	}
	s := l.newSession(c, predecessor)
	s.usage = netlimit.NewUsage(l.transport.options.Connections.OpenLink("proxy", conn.RemoteAddr(), s.closeForLimit))
	s.mu.Lock() // events of a proxy that writes or closes at once must wait until the session has begun
	l.transport.sessions.Store(c, s)
	l.mu.Lock()
	l.current = s
	l.mu.Unlock()
	if _, err := l.transport.engine.AddConn(c); err != nil {
		s.mu.Unlock()
		l.transport.sessions.Delete(c)
		s.usage.Account().Close()
		_ = c.Close()
		return fmt.Errorf("add connection to the event loop: %w", err)
	}
	s.begin()
	s.mu.Unlock()
	return nil
}

// newSession returns a session that has not begun. Its watchdog is created here, because the connection may close
// before the session begins.
func (l *link) newSession(c *nbio.Conn, predecessor *session) *session {
	s := &session{
		link:        l,
		conn:        c,
		stream:      l.transport.lastStream.Add(1),
		mapKeys:     map[string]bool{},
		predecessor: predecessor,
		usage:       netlimit.NewUsage(nil),
	}
	s.watchdog = time.AfterFunc(l.transport.answerTimeout, s.answerTimedOut)
	return s
}

// takeOver opens the session that completes a takeover. The session that began it is still open, so the proxy can't
// assign the same id to both.
func (l *link) takeOver(predecessor *session) {
	predecessor.mu.Lock()
	ended := predecessor.ended
	predecessor.mu.Unlock()
	if ended { // this takeover is abandoned; a later session begins a new one
		return
	}
	if err := l.connect(predecessor); err != nil {
		predecessor.close(err)
	}
}

// dropLease records in the lease that the session has ended.
func (l *link) dropLease() {
	if l.lease == nil {
		return
	}
	l.leaseMutex.Lock()
	defer l.leaseMutex.Unlock()
	l.lease.Drop()
}
