// Package server assembles a controller from its settings and runs it until a signal stops it. RunController runs the
// controller of `cressknot serve`, RunPlatform one on the users' platform.
package server

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/config"
	"cressknot/internal/controller"
	"cressknot/internal/discovery"
	"cressknot/internal/discovery/verification"
	"cressknot/internal/eventlog"
	"cressknot/internal/fleet"
	"cressknot/internal/ingest/timeseries"
	"cressknot/internal/netlimit"
	"cressknot/internal/service"
	"cressknot/internal/transport"
)

// Version is the version of the program, as logs, operators and clients of the service see it.
const Version = "0.2.0-dev"

// signalCapacity is the number of signals that can wait. Both shutdown signals must fit while a reload is in progress,
// as the os/signal package drops signals when the channel is full.
const signalCapacity = 4

// RunController runs a controller with the settings of a file until it is stopped. SIGHUP reloads the file. The first
// SIGINT or SIGTERM starts a graceful shutdown, which sends pending messages; a second one ends the program with exit
// code 1. Invalid settings are returned as config.FieldErrors.
func RunController(path string) error {
	settings, err := config.Load(path)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, signalCapacity)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	return run(path, settings, signals)
}

// run is RunController with loaded settings and a signal channel that tests can send to.
func run(path string, settings *config.Settings, signals <-chan os.Signal) error {
	log, closeLog, err := openLog(settings)
	if err != nil {
		return err
	}
	defer closeLog()
	p := newControllerProcess(path, settings, log)
	defer p.stopSignals()
	defer p.close()
	if err := p.build(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.handleSignals(ctx, cancel, signals)
	log.Info().Str("version", Version).Int("proxies", len(p.proxies)).Str("transport", settings.Transport.Kind).
		Msg("controller started")
	err = p.currentLoop().Run(ctx, time.Duration(settings.Operators.StopTimeout))
	log.Info().Err(err).Msg("controller stopped")
	return err
}

// controllerProcess is one controller with the resources that it has opened.
type controllerProcess struct {
	path          string
	settings      *config.Settings // those at the start; reloads do not change them
	log           zerolog.Logger
	site          fleet.Site
	names         *controller.ServerNames
	proxies       []transport.Proxy
	clientProxies []transport.Proxy // each represents the service clients of one zone
	core          *controller.Core
	options       controller.Options
	hub           *service.Hub // nil if the service is disabled
	connections   *netlimit.Budget
	loop          atomic.Pointer[controller.Loop]
	closeFuncs    []func() // in the order in which the resources were opened
	signals       signalHandler
}

func newControllerProcess(path string, settings *config.Settings, log zerolog.Logger) *controllerProcess {
	return &controllerProcess{
		path:          path,
		settings:      settings,
		log:           log,
		site:          settings.Site(),
		names:         controller.NewServerNames(),
		proxies:       settings.TransportProxies(),
		clientProxies: settings.ClientProxies(),
		connections:   newConnectionBudget(&settings.Limits, log),
		signals:       newSignalHandler(),
	}
}

// currentLoop returns the control loop, or nil until build has created it. It is safe for concurrent use.
func (p *controllerProcess) currentLoop() *controller.Loop { return p.loop.Load() }

// eventLogStart returns the header of a new event log.
func (p *controllerProcess) eventLogStart() eventlog.Header {
	return eventlog.Header{Controller: p.settings.Name, Site: p.site, Seed: p.settings.Seed}
}

// onClose registers a function for close to call. Functions run in the reverse order of registration.
func (p *controllerProcess) onClose(closeFunc func()) { p.closeFuncs = append(p.closeFuncs, closeFunc) }

// close releases the resources that build has opened, in reverse order.
func (p *controllerProcess) close() {
	for _, closeFunc := range slices.Backward(p.closeFuncs) {
		closeFunc()
	}
}

// build creates the control loop and opens all sockets except those of the transport, which the loop opens itself.
func (p *controllerProcess) build() error {
	s := p.settings
	p.buildCore()
	p.options = controller.Options{
		Core:             p.core,
		Names:            p.names,
		Transport:        newTransport(s, p.site, p.proxies, p.names, p.connections),
		Source:           newEndpointSource(s, &p.site),
		Log:              p.log,
		CachePath:        s.List.CachePath,
		ProbePath:        s.Reports.ProbePath,
		VerificationMode: s.List.VerificationMode,
		Name:             s.Name,
		Connections:      p.connections,
	}
	if leases, ok := p.options.Transport.(transport.LeaseTransport); ok && len(s.Sharing.Controllers) > 0 {
		p.options.Leases = leases
	}
	if err := p.restore(); err != nil {
		return err
	}
	p.openSeries()
	p.buildServiceHub()
	if err := p.joinPeers(); err != nil {
		return err
	}
	p.loop.Store(controller.NewLoop(p.options))
	return p.listen()
}

func (p *controllerProcess) buildCore() {
	s := p.settings
	if !s.SafetyChecks {
		p.log.Warn().Msg("safety checks are disabled; use this only in fault drills")
	}
	for _, fault := range s.Faults {
		p.log.Warn().Str("fault", fault).Msg("fault injection is enabled; use this only in fault drills")
	}
	p.core = controller.NewCore(controller.CoreOptions{
		Site:           p.site,
		Seed:           s.Seed,
		Proxies:        append(slices.Clone(p.proxies), p.clientProxies...),
		Names:          p.names,
		SafetyChecks:   s.SafetyChecks,
		UsePushedLoads: s.PushedLoads(),
		Faults:         s.Faults,
	})
}

// restore reads the cached endpoint list and the store, and selects the endpoint list to start from.
func (p *controllerProcess) restore() error {
	var lists []verification.Generation[discovery.Endpoint]
	if p.settings.List.CachePath != "" {
		var damage []error
		lists, damage = discovery.ReadCache(p.settings.List.CachePath)
		for _, err := range damage {
			p.log.Warn().Err(err).Msg("cached endpoint list is damaged")
		}
	}
	if p.settings.Store.Directory != "" {
		restored, err := p.openStore()
		if err != nil {
			return err
		}
		lists = append(lists, restored...)
	}
	p.options.CachedList = chooseCachedList(lists, p.log)
	return nil
}

// openSeries opens the time series of load reports. If that fails, the controller runs without them, as no decision
// depends on them.
func (p *controllerProcess) openSeries() {
	nameOf := func(id fleet.ServerID) string {
		name, _ := p.names.Lookup(id)
		return name
	}
	series, err := timeseries.Open(p.settings.Reports.SeriesPath, nameOf)
	if err != nil {
		p.log.Error().Err(err).Msg("could not open the time series of load reports; continuing without it")
		return
	}
	p.options.Series = series
	p.onClose(func() {
		if err := series.Close(); err != nil {
			p.log.Error().Err(err).Msg("could not close the time series of load reports")
		}
	})
}

// listen opens the event log and the sockets of the service, of pushed load reports and of operators.
func (p *controllerProcess) listen() error {
	if err := p.listenForClients(); err != nil {
		return err
	}
	if err := p.listenForReports(); err != nil {
		return err
	}
	if err := p.currentLoop().RecordTo(p.settings.EventLog, p.eventLogStart()); err != nil {
		return err
	}
	if p.settings.Operators.Socket == "" {
		return nil
	}
	operators, err := controller.ServeOperators(p.currentLoop(), p.settings.Operators.Socket, Version)
	if err != nil {
		return err
	}
	p.onClose(operators.Close)
	return nil
}

// stopContext returns a context that bounds the closing of a server by the configured shutdown timeout.
func (p *controllerProcess) stopContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), time.Duration(p.settings.Operators.StopTimeout))
}
