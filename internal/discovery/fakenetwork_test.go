//go:build !race

package discovery_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
)

// fakeNetwork connects clients to one server without sockets, so that it runs on the time of a synctest bubble. While
// it is cut, open connections are silent and new ones do not come up. While the server is down, new ones are refused.
type fakeNetwork struct {
	accepted chan net.Conn
	closed   chan struct{}
	// resetsDials is set if attempts to connect that are pending as a cut ends are reset; otherwise they never come up.
	resetsDials bool

	mu     sync.Mutex
	healed chan struct{} // closed when the cut ends; nil: the network is not cut
	down   bool
	conns  []net.Conn // server's ends of all connections
}

// setDown ends all connections and refuses new ones, or accepts new ones again.
func (n *fakeNetwork) setDown(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = down
	for _, conn := range n.conns {
		_ = conn.Close() // always succeeds
	}
	n.conns = nil
}

// track records an accepted connection. It returns an error if the server is down.
func (n *fakeNetwork) track(conn net.Conn) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return syscall.ECONNREFUSED
	}
	n.conns = append(n.conns, conn)
	return nil
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (n *fakeNetwork) cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.healed = make(chan struct{})
}

func (n *fakeNetwork) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.healed)
	n.healed = nil
}

// cutEnd returns a channel that is closed as the cut ends, nil if the network is not cut.
func (n *fakeNetwork) cutEnd() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.healed
}

func (n *fakeNetwork) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if end := n.cutEnd(); end != nil {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-end:
		}
		if n.resetsDials {
			return nil, syscall.ECONNRESET
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	if err := n.track(server); err != nil {
		return nil, err
	}
	select {
	case n.accepted <- &gatedConn{Conn: server, network: n}:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (n *fakeNetwork) Accept() (net.Conn, error) {
	select {
	case conn := <-n.accepted:
		return conn, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (n *fakeNetwork) Close() error {
	select {
	case <-n.closed:
		return errors.New("closed twice")
	default:
		close(n.closed)
		return nil
	}
}

// Addr implements net.Listener.
func (n *fakeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

// gatedConn is the server's end of a connection. What it writes during a cut arrives as the cut ends.
type gatedConn struct {
	net.Conn
	network *fakeNetwork
}

func (c *gatedConn) Write(data []byte) (int, error) {
	if end := c.network.cutEnd(); end != nil {
		<-end
	}
	return c.Conn.Write(data)
}
