package server

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/balancer"
	"cressknot/internal/clock"
	"cressknot/internal/config"
	"cressknot/internal/discovery"
	"cressknot/internal/ingest/collector"
	"cressknot/internal/netlimit"
	"cressknot/internal/platform"
	"cressknot/internal/transport/relay"
)

// Limits, intervals and timeouts of a controller on the users' platform.
const (
	// platformMemoryFraction is the fraction of the memory limit that the Go runtime may use. The pages of the program
	// itself count toward the limit in addition.
	platformMemoryFraction = 0.5
	// platformShutdownTimeout bounds the wait for relay calls in flight. SIGKILL follows SIGTERM after 0.7 s or more.
	platformShutdownTimeout = 450 * time.Millisecond
	// platformStatisticsInterval is the interval at which statistics are logged.
	platformStatisticsInterval = 5 * time.Second
	// platformListenRetryDelay is the delay between attempts to listen while the address is in use, as by a process
	// that has just been killed.
	platformListenRetryDelay = 50 * time.Millisecond
	// platformListenTimeout bounds these retries. An address in use for longer is taken to belong to another program.
	platformListenTimeout = 3 * time.Second
	// platformSignalCapacity is the number of signals that can wait. The os/signal package drops further ones.
	platformSignalCapacity = 8
)

// RunPlatform runs a controller on the users' platform until SIGTERM or SIGINT. SIGHUP reloads the configuration. It
// sets GOMAXPROCS to 1 and sets the memory limit of the Go runtime. Getenv is os.Getenv except in tests.
func RunPlatform(getenv func(string) string) error {
	// Signals are handled from the start, as a signal without a handler would kill the process.
	signals := make(chan os.Signal, platformSignalCapacity)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	settings, err := config.LoadPlatform(getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * platformMemoryFraction * (1 << 20)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := newPlatformServer(settings, getenv, platformLogger(settings.Name, getenv("CRESSKNOT_LOG")))
	if err := server.start(ctx); err != nil {
		return err
	}
	if err := server.serve(signals); err != nil {
		return err
	}
	server.shutdown(cancel)
	return nil
}

// platformLogger returns a logger to standard error. An unknown level counts as info.
func platformLogger(name, levelName string) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	level, err := zerolog.ParseLevel(levelName)
	if err != nil || level == zerolog.NoLevel {
		level = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(level)
	return zerolog.New(os.Stderr).With().Timestamp().Str("controller", name).Logger()
}

// platformServer is a controller on the users' platform with its connections. Only the goroutine that runs serve may
// use its fields, except those that are safe for concurrent use themselves.
type platformServer struct {
	settings  *config.Platform
	getenv    func(string) string
	log       zerolog.Logger
	started   time.Time
	mailbox   *platform.Mailbox
	readiness *platformReadiness
	// connections limits the connections of collectors and of strangers.
	connections *netlimit.Budget
	relay       *relay.Client
	endpoints   *discovery.PlatformSource
	collector   *collector.Server // nil until it listens
	loopDone    chan struct{}     // closed when the control loop has ended

	listenRetry    <-chan time.Time // nil: no retry is scheduled
	reloadRetry    <-chan time.Time // nil: no retry is scheduled
	reloadAttempts int              // since the latest SIGHUP
}

// newPlatformServer creates the server without opening any connection.
func newPlatformServer(settings *config.Platform, getenv func(string) string, log zerolog.Logger) *platformServer {
	s := &platformServer{
		settings:  settings,
		getenv:    getenv,
		log:       log,
		mailbox:   platform.NewMailbox(),
		readiness: newPlatformReadiness(len(settings.KnownEndpoints.Endpoints) > 0),

		connections: newPlatformBudget(settings, log),
		loopDone:    make(chan struct{}),
	}
	s.relay = relay.New(relay.Options{
		Addr:             settings.RelayAddr,
		Zones:            settings.Site.Zones,
		Classes:          settings.ClassNames(),
		ProxyCount:       settings.Site.ProxyCount,
		OnEvent:          s.handleRelayEvent,
		OnUnconfirmed:    s.handleUnconfirmed,
		Log:              log,
		Seed:             settings.Seed,
		MaxRetryInterval: balancer.MaxRetryInterval(&settings.Site),
	})
	s.endpoints = &discovery.PlatformSource{
		Addr:     settings.DiscoveryAddr,
		Revision: settings.KnownEndpoints.Revision,
		Zones:    settings.Site.Zones,
		Kinds:    settings.Site.Kinds,
		OnError:  func(err error) { log.Warn().Err(err).Msg("endpoint discovery failed") },
		Log:      log,
	}
	return s
}

// start connects to discovery and the relay and starts the control loop. All of them run until the context ends.
func (s *platformServer) start(ctx context.Context) error {
	if err := s.endpoints.Start(ctx, s.handleEndpoints); err != nil {
		return err
	}
	options := platform.Options{
		Controller:      platform.NewController(s.settings.Site, s.settings.Seed, s.settings.KnownEndpoints),
		Mailbox:         s.mailbox,
		Relay:           s.relay,
		Endpoints:       s.endpoints,
		Clock:           clock.New(),
		MinStepInterval: s.settings.Site.Tick,
		Log:             s.log,
	}
	go func() {
		defer close(s.loopDone)
		platform.Run(ctx, options)
	}()
	s.relay.Start(ctx)
	s.started = time.Now()
	s.logStart()
	return nil
}

func (s *platformServer) logStart() {
	s.log.Info().
		Str("version", Version).
		Str("listen", s.settings.ListenAddr).
		Str("relay", s.settings.RelayAddr).
		Str("discovery", s.settings.DiscoveryAddr).
		Int("memory_mb", s.settings.MemoryMB).
		Int("sockets", s.settings.MaxSockets).
		Float64("cores", s.settings.Cores).
		Int("proxies", s.settings.Site.ProxyCount).
		Int("known_servers", len(s.settings.KnownEndpoints.Endpoints)).
		Interface("site", s.settings.Site).
		Msg("controller started")
}

func (s *platformServer) handleRelayEvent(event relay.StreamEvent) {
	s.mailbox.Post(platform.RelayEvent{StreamEvent: event})
	s.readiness.relayConnected()
}

func (s *platformServer) handleUnconfirmed(unconfirmed relay.Unconfirmed) {
	s.mailbox.Post(platform.OperationsUnconfirmed{Unconfirmed: unconfirmed})
}

func (s *platformServer) handleEndpoints(update discovery.Update) {
	s.mailbox.Post(platform.EndpointsChanged{Update: update})
	if len(update.List.Endpoints) > 0 {
		s.readiness.endpointsListed()
	}
}

// serve handles readiness, retries and signals until SIGTERM or SIGINT arrives. It returns an error only if listening
// has failed.
func (s *platformServer) serve(signals <-chan os.Signal) error {
	readinessTimer := time.AfterFunc(platformReadinessTimeout, s.readiness.markReady)
	defer readinessTimer.Stop()
	statistics := time.NewTicker(platformStatisticsInterval)
	defer statistics.Stop()
	ready := s.readiness.ready
	for {
		select {
		case <-statistics.C:
			s.logStatistics()
		case <-ready:
			ready = nil
			if err := s.listen(); err != nil {
				return err
			}
		case <-s.listenRetry:
			if err := s.listen(); err != nil {
				return err
			}
		case <-s.reloadRetry:
			s.reload()
		case received := <-signals:
			if received != syscall.SIGHUP {
				s.log.Info().Str("signal", received.String()).Msg("shutdown started")
				return nil
			}
			s.reloadAttempts = 0
			s.reload()
		}
	}
}

// listen starts to accept connections of collectors. If the address is in use, it schedules a retry; it returns that
// error only once the time for retries is over.
func (s *platformServer) listen() error {
	s.listenRetry = nil
	server, err := collector.Listen(collector.Options{
		Addr:        s.settings.ListenAddr,
		MaxSockets:  s.settings.MaxSockets,
		Connections: s.connections,
		Log:         s.log,
		OnReport:    s.mailbox.PostReport,
		ReportSchema: collector.ReportSchema{
			Zones:      s.settings.Site.Zones,
			Classes:    s.settings.ClassNames(),
			ProxyCount: s.settings.Site.ProxyCount,
			LoadFields: s.settings.Site.LoadFields,
		},
	})
	elapsed := time.Since(s.started)
	if errors.Is(err, syscall.EADDRINUSE) && elapsed < platformListenTimeout+platformReadinessTimeout {
		s.listenRetry = time.After(platformListenRetryDelay)
		return nil
	}
	if err != nil {
		return err
	}
	s.collector = server
	s.log.Info().
		Str("listen", server.Addr()).
		Bool("relay_connected", s.readiness.connected.Load()).
		Bool("endpoints_listed", s.readiness.listed.Load()).
		Dur("after", elapsed).
		Msg("collector server listening")
	return nil
}

func (s *platformServer) logStatistics() {
	if s.collector == nil {
		return
	}
	s.log.Info().
		Interface("relay", s.relay.Statistics()).
		Interface("collector", s.collector.Statistics()).
		Interface("connections", s.connections.Statistics()).
		Int("goroutines", runtime.NumGoroutine()).
		Msg("statistics")
}

// shutdown stops all components. It waits up to platformShutdownTimeout for relay calls in flight.
func (s *platformServer) shutdown(cancel context.CancelFunc) {
	cancel()
	if s.collector != nil {
		s.collector.Close()
	}
	relayDone := make(chan struct{})
	go func() {
		s.relay.Wait()
		close(relayDone)
	}()
	select {
	case <-relayDone:
	case <-time.After(platformShutdownTimeout):
		s.log.Warn().Msgf("relay calls in flight did not end within %v; abandoning them", platformShutdownTimeout)
	}
	<-s.loopDone
}
