// Package collector listens at a controller's address on the users' platform. It answers pings, receives load reports
// from collectors, which forward what proxies measured, and rejects everybody else. It takes no decision.
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
)

const (
	// registrationTimeout lies between 1 s, from when the users' rules allow to close a connection that has not
	// registered, and 3 s, by when they ask for it.
	registrationTimeout = 1200 * time.Millisecond

	// readBufferSize, in bytes, takes some hundred reports at once; answers need far less.
	readBufferSize  = 16 << 10
	writeBufferSize = 4 << 10

	// unregisteredDivisor gives the part of the descriptors that connections may take that have not registered.
	unregisteredDivisor = 2

	// spareTableSize is the number of entries of the event library's connection table beyond the descriptors; they take
	// 32 KiB.
	spareTableSize = 4096

	// logBurst lines of a kind that a faulty client could repeat are logged within logPeriod.
	logBurst  = 5
	logPeriod = 5 * time.Second
)

// Options configure a Server.
type Options struct {
	// Addr is the host:port to listen at.
	Addr       string
	Vocabulary Vocabulary
	// MaxSockets is the number of descriptors that the process may use.
	MaxSockets int
	// OnReport receives each report. It must not block.
	OnReport func(Report)
	Log      zerolog.Logger
}

// Statistics count what came since the start.
type Statistics struct {
	Reports    uint64
	Malformed  uint64 // messages
	Pings      uint64
	Rejected   uint64 // connections
	Collectors uint64 // registrations
}

// counters are the figures of Statistics.
type counters struct {
	reports    atomic.Uint64
	malformed  atomic.Uint64
	pings      atomic.Uint64
	rejected   atomic.Uint64
	collectors atomic.Uint64
}

// Server serves the listening address. One event loop serves all connections.
type Server struct {
	options     Options
	engine      *nbio.Engine
	sampledLog  zerolog.Logger
	connections sync.Map // *nbio.Conn to *connection
	registry    *registry
	counters    counters
}

// Listen begins to listen at options.Addr. The error wraps that of the system, such as syscall.EADDRINUSE.
func Listen(options Options) (*Server, error) {
	logging.SetLevel(logging.LevelNone) // the errors that the library returns suffice
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

// listen opens the listener and notes its address, which the system chooses where the port is 0.
func (s *Server) listen(network, addr string) (net.Listener, error) {
	listener, err := net.Listen(network, addr)
	if err != nil {
		return nil, err
	}
	s.options.Addr = listener.Addr().String()
	return listener, nil
}

// Addr returns the host:port at which the server listens.
func (s *Server) Addr() string { return s.options.Addr }

// Close closes the listener and all connections.
func (s *Server) Close() { s.engine.Stop() }

// Statistics returns the counts since the start.
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
	c := &connection{server: s, conn: conn}
	s.connections.Store(conn, c)
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
