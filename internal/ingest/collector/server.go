// Package collector implements the server to which the platform's collectors connect to send load reports. A collector
// forwards the measurements of one zone's proxies. The server also answers the platform's health checks (pings) and
// rejects all other clients. It hands the reports on without evaluating them.
package collector

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/rs/zerolog"

	"cressknot/internal/netlimit"
)

const (
	// registrationTimeout is how long a connection may stay unregistered. The platform's rules allow closing such a
	// connection after 1 s and require it within 3 s.
	registrationTimeout = 1200 * time.Millisecond

	// readBufferSize, in bytes, holds some hundred reports; answers (writeBufferSize) need far less.
	readBufferSize  = 16 << 10
	writeBufferSize = 4 << 10

	// unregisteredDivisor limits unregistered connections to this fraction (1/n) of the descriptors.
	unregisteredDivisor = 2

	// spareTableSize is the number of entries of the event library's connection table in excess of the descriptors. They
	// take 32 KiB.
	spareTableSize = 4096

	// At most logBurst messages are logged per logPeriod, since a faulty client could cause any number of them.
	logBurst  = 5
	logPeriod = 5 * time.Second
)

// Options configure a Server.
type Options struct {
	// Addr is the host:port to listen on. Port 0 lets the system choose a port.
	Addr         string
	ReportSchema ReportSchema
	// MaxSockets is the number of file descriptors that the process may use.
	MaxSockets int
	// Connections limits what all connections of the process hold together; nil: no limits.
	Connections *netlimit.Budget
	// OnReport receives each report. It is called by the event loop and must not block.
	OnReport func(Report)
	Log      zerolog.Logger
}

// Statistics are counts since Listen.
type Statistics struct {
	Reports    uint64
	Malformed  uint64 // malformed messages
	Pings      uint64
	Rejected   uint64 // rejected connections
	Collectors uint64 // registrations of collectors
}

// counters holds the figures of Statistics for concurrent use.
type counters struct {
	reports    atomic.Uint64
	malformed  atomic.Uint64
	pings      atomic.Uint64
	rejected   atomic.Uint64
	collectors atomic.Uint64
}

// Server accepts connections and serves all of them in one event loop.
type Server struct {
	options     Options
	engine      *nbio.Engine
	sampledLog  zerolog.Logger
	connections sync.Map // *nbio.Conn to *connection
	registry    *registry
	counters    counters
}

// Listen starts a server on options.Addr. The error wraps that of the system, such as syscall.EADDRINUSE.
func Listen(options Options) (*Server, error) {
	logging.SetLevel(logging.LevelNone) // the errors that the library returns are enough
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, options.MaxSockets+spareTableSize)
	s := &Server{
		options:    options,
		sampledLog: options.Log.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: logPeriod}),
		registry:   newRegistry(options.MaxSockets / unregisteredDivisor),
	}
	s.engine = nbio.NewEngine(nbio.Config{
		Name:               "collector",
		Network:            "tcp",
		Addrs:              []string{options.Addr},
		NPoller:            1,
		ReadBufferSize:     readBufferSize,
		MaxWriteBufferSize: writeBufferSize,
		Listen:             s.listen,
	})
	s.engine.OnOpen(s.connectionOpened)
	s.engine.OnData(s.dataReceived)
	s.engine.OnClose(s.connectionClosed)
	if err := s.engine.Start(); err != nil {
		return nil, fmt.Errorf("start collector server on %s: %w", options.Addr, err)
	}
	return s, nil
}

// listen opens the listener and stores its address, in which the system has replaced port 0.
func (s *Server) listen(network, addr string) (net.Listener, error) {
	listener, err := net.Listen(network, addr)
	if err != nil {
		return nil, err
	}
	s.options.Addr = listener.Addr().String()
	return listener, nil
}

// Addr returns the host:port on which the server listens, with the port that the system chose if port 0 was requested.
func (s *Server) Addr() string { return s.options.Addr }

// Close closes the listener and all connections and stops the event loop.
func (s *Server) Close() { s.engine.Stop() }

// Statistics returns the current counts.
func (s *Server) Statistics() Statistics {
	return Statistics{
		Reports:    s.counters.reports.Load(),
		Malformed:  s.counters.malformed.Load(),
		Pings:      s.counters.pings.Load(),
		Rejected:   s.counters.rejected.Load(),
		Collectors: s.counters.collectors.Load(),
	}
}

func (s *Server) connectionOpened(conn *nbio.Conn) {
	c := newConnection(s, conn)
	s.connections.Store(conn, c)
	if isClosed, _ := conn.IsClosed(); isClosed { // by the budget, before it was stored
		s.connectionClosed(conn, nil)
		return
	}
	for _, surplus := range s.registry.add(c) {
		surplus.rejectUnregistered(errTooManyUnregistered)
	}
	time.AfterFunc(registrationTimeout, func() { c.rejectUnregistered(errNotRegistered) })
}

func (s *Server) dataReceived(conn *nbio.Conn, data []byte) {
	if c, ok := s.connections.Load(conn); ok {
		c.(*connection).receive(data)
	}
}

func (s *Server) connectionClosed(conn *nbio.Conn, _ error) {
	if c, ok := s.connections.LoadAndDelete(conn); ok {
		c.(*connection).connectionClosed()
	}
}
