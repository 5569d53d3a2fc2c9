package text

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"cressknot/internal/haproxyapi"
	"cressknot/internal/netlimit"
	"cressknot/internal/service"
)

// systemSendBuffer is the number of bytes of answers that the system may hold for a connection. Without a limit it
// holds some megabytes.
const systemSendBuffer = 256 << 10

// Server serves a service over the text protocol. Use Listen to create one.
type Server struct {
	service     *service.Service
	engine      *nbio.Engine
	addr        string
	connections sync.Map // *nbio.Conn to *connection
	sender      sender
	closing     chan struct{} // closed by Close
	closeOnce   sync.Once
	stallChecks sync.WaitGroup
}

// Listen starts to serve a service on the path of a Unix socket, which contains a slash, or on a TCP address,
// host:port. Port 0 selects a free port; see Addr.
func Listen(addr string, s *service.Service) (*Server, error) {
	logging.SetLevel(logging.LevelNone) // disables the log of the library, which also returns its errors
	network := "tcp"
	if strings.Contains(addr, "/") {
		network = "unix"
	}
	server := &Server{service: s, addr: addr, sender: newSender(), closing: make(chan struct{})}
	server.engine = nbio.NewEngine(nbio.Config{
		Name:               "service",
		Network:            network,
		Addrs:              []string{addr},
		MaxWriteBufferSize: service.MaxUnsentBytes,
		Listen:             server.listen,
	})
	server.engine.OnOpen(func(c *nbio.Conn) {
		_ = c.SetWriteBuffer(systemSendBuffer) // fails only on a closed connection
		server.connections.Store(c, newConnection(server, c))
		if isClosed, _ := c.IsClosed(); isClosed { // by the budget, before it was stored
			server.connectionClosed(c)
		}
		_ = c.SetReadDeadline(time.Now().Add(service.IdleTimeout))
	})
	server.engine.OnData(func(c *nbio.Conn, data []byte) {
		if opened, ok := server.connections.Load(c); ok {
			opened.(*connection).receive(data)
		}
	})
	server.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if opened, ok := server.connections.Load(c); ok {
			opened.(*connection).written(n)
		}
	})
	server.engine.OnClose(func(c *nbio.Conn, _ error) { server.connectionClosed(c) })
	if err := server.engine.Start(); err != nil {
		return nil, fmt.Errorf("text protocol service on %s: %w", addr, err)
	}
	server.sender.start()
	server.stallChecks.Go(server.checkStalls)
	return server, nil
}

func (s *Server) connectionClosed(c *nbio.Conn) {
	if opened, ok := s.connections.LoadAndDelete(c); ok {
		opened.(*connection).closed()
	}
}

// checkStalls closes connections without progress until the server is closed.
func (s *Server) checkStalls() {
	ticker := time.NewTicker(netlimit.StallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.closing:
			return
		case now := <-ticker.C:
			s.connections.Range(func(_, opened any) bool {
				opened.(*connection).closeIfStalled(now)
				return true
			})
		}
	}
}

// listen opens the socket and records its address.
func (s *Server) listen(network, addr string) (net.Listener, error) {
	listener, err := haproxyapi.Listen(network, addr)
	if err == nil {
		s.addr = listener.Addr().String()
	}
	return listener, err
}

// Addr returns the address on which the server listens: host:port or the path of the socket.
func (s *Server) Addr() string { return s.addr }

// Close stops the server and closes all connections. It returns nil.
func (s *Server) Close(context.Context) error {
	s.closeOnce.Do(func() { close(s.closing) })
	s.stallChecks.Wait()
	s.sender.stop()
	s.engine.Stop()
	return nil
}
