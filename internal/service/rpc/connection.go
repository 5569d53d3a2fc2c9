package rpc

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/tap"

	"cressknot/internal/netlimit"
	"cressknot/internal/service"
	"cressknot/internal/service/rpc/pb"
)

// goAwayTimeout bounds the time for the last frame on a connection that is closed for a limit.
const goAwayTimeout = 100 * time.Millisecond

// listener accepts the connections of the service.
type listener struct {
	net.Listener
	budget *netlimit.Budget
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	boundUnacknowledged(accepted)
	c := &connection{Conn: netlimit.NewConn(accepted, l.budget, "grpc"), usage: newUsage()}
	c.BeforeClose(c.sendGoAway)
	return c, nil
}

// boundUnacknowledged lets the system close a connection to a client that does not acknowledge data. The library does
// the same for connections that are not wrapped.
func boundUnacknowledged(accepted net.Conn) {
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { // fails only on a closed connection
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(service.PingTimeout/time.Millisecond))
	})
}

// connection is a connection of a client. It keeps the account of what the connection holds in memory.
type connection struct {
	*netlimit.Conn
	writeMu sync.Mutex // held while frames are written

	claims service.Claims

	mu    sync.Mutex
	usage *usage
}

// clientAddr is the address of a client, with its connection.
type clientAddr struct {
	net.Addr
	connection *connection
}

// RemoteAddr returns the address of the client as a clientAddr, so that handlers find the connection of their caller.
func (c *connection) RemoteAddr() net.Addr { return clientAddr{c.Conn.RemoteAddr(), c} }

// connectionOf returns the connection of a call, or nil if it was not accepted by a listener of this package.
func connectionOf(ctx context.Context) *connection {
	if p, ok := peer.FromContext(ctx); ok {
		if addr, ok := p.Addr.(clientAddr); ok {
			return addr.connection
		}
	}
	return nil
}

// callerOf returns the caller of a call, who may have sent a name.
func callerOf(ctx context.Context, name string) service.Caller {
	caller := service.Caller{Name: name}
	if c := connectionOf(ctx); c != nil {
		caller.Address = netlimit.AddressOf(c.Conn.RemoteAddr())
		caller.Claims = &c.claims
	}
	return caller
}

// Read reads bytes from the client and accounts for them.
func (c *connection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.updateUsage(func(u *usage) { u.receive(buffer[:n]) })
	}
	return n, err
}

// Write writes bytes to the client and accounts for them.
func (c *connection) Write(data []byte) (int, error) {
	c.writeMu.Lock()
	n, err := c.Conn.Write(data)
	c.writeMu.Unlock()
	if n > 0 {
		c.updateUsage(func(u *usage) { u.send(data[:n]) })
	}
	return n, err
}

func (c *connection) updateUsage(change func(*usage)) {
	c.mu.Lock()
	change(c.usage)
	c.Account.Set(c.usage.bytes())
	completed := c.usage.takeCompleted()
	c.mu.Unlock()
	if completed {
		c.Account.Completed()
	}
}

// sendGoAway tells the client for which limit its connection is closed, unless a write is in progress.
func (c *connection) sendGoAway(reason *netlimit.Error) {
	_ = c.SetWriteDeadline(time.Now().Add(goAwayTimeout)) // fails only on a closed connection
	if !c.writeMu.TryLock() {
		return
	}
	defer c.writeMu.Unlock()
	c.mu.Lock()
	aligned := c.usage.sent.betweenFrames()
	lastStream := c.usage.lastStream
	c.mu.Unlock()
	if !aligned {
		return
	}
	var frame bytes.Buffer
	err := http2.NewFramer(&frame, nil).WriteGoAway(lastStream, http2.ErrCodeEnhanceYourCalm, []byte(reason.Error()))
	if err == nil {
		_, _ = c.Conn.Write(frame.Bytes()) // the connection is closed in any case
	}
}

// boundCall bounds the time of a call, from its header fields to its answer: a request that is not complete by then
// fails. A watch lasts until it is ended; its first request has a bound of its own.
func boundCall(ctx context.Context, info *tap.Info) (context.Context, error) {
	if info.FullMethodName == pb.Governor_Watch_FullMethodName {
		return ctx, nil
	}
	bounded, cancel := context.WithTimeout(ctx, service.RequestTimeout)
	context.AfterFunc(ctx, cancel) // the context of the stream is cancelled when it ends
	return bounded, nil
}
