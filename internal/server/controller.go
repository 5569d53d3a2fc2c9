// Package server puts a controller together from its settings and runs it until it is told to stop: RunController by
// the settings of `cressknot serve`, RunPlatform on the users' platform.
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
	"cressknot/internal/service"
	"cressknot/internal/transport"
)

// Version is the program's.
const Version = "0.2.0-dev"

// signalCapacity is the number of signals that may wait: while a reload takes its time, both signals to stop fit in.
const signalCapacity = 4

// RunController runs the controller of a settings file. SIGHUP reads the file again; the first SIGINT or SIGTERM lets
// messages in hand leave and stops, a second one ends the program at once.
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

// run is RunController with the settings read, and the signals given.
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

// controllerProcess is one controller with all that it has opened.
type controllerProcess struct {
	path          string
	settings      *config.Settings // as of the start
	log           zerolog.Logger
	site          fleet.Site
	names         *controller.Names
	proxies       []transport.Proxy
	clientProxies []transport.Proxy // each stands for the programs of a zone that ask the service
	core          *controller.Core
	options       controller.Options
	hub           *service.Hub // nil where nobody may ask the service
	loop          atomic.Pointer[controller.Loop]
	closeFuncs    []func() // in the order of opening
	signals       signalHandler
}

func newControllerProcess(path string, settings *config.Settings, log zerolog.Logger) *controllerProcess {
	return &controllerProcess{
		path:          path,
		settings:      settings,
		log:           log,
		site:          settings.Site(),
		names:         controller.NewNames(),
		proxies:       settings.TransportProxies(),
		clientProxies: settings.ClientProxies(),
		signals:       newSignalHandler(),
	}
}

// currentLoop is nil until build has made the loop.
func (p *controllerProcess) currentLoop() *controller.Loop { return p.loop.Load() }

// eventLogStart is the first line of an event log.
func (p *controllerProcess) eventLogStart() eventlog.Header {
	return eventlog.Header{Controller: p.settings.Name, Site: p.site, Seed: p.settings.Seed}
}

// onClose has close call a function, before those of earlier calls.
func (p *controllerProcess) onClose(closeFunc func()) { p.closeFuncs = append(p.closeFuncs, closeFunc) }

// close closes all that build has opened, the last first.
func (p *controllerProcess) close() {
	for _, closeFunc := range slices.Backward(p.closeFuncs) {
		closeFunc()
	}
}

// build puts the loop together and opens all sockets but the transport's, which the loop opens.
func (p *controllerProcess) build() error {
	s := p.settings
	p.buildCore()
	p.options = controller.Options{
		Core:             p.core,
		Names:            p.names,
		Transport:        newTransport(s, p.site, p.proxies, p.names),
		Source:           newEndpointSource(s),
		Log:              p.log,
		CachePath:        s.List.CachePath,
		ProbePath:        s.Reports.ProbePath,
		VerificationMode: s.List.VerificationMode,
		Name:             s.Name,
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
		Site:         p.site,
		Seed:         s.Seed,
		Proxies:      append(slices.Clone(p.proxies), p.clientProxies...),
		Names:        p.names,
		SafetyChecks: s.SafetyChecks,
		PushedLoads:  s.PushedLoads(),
		Faults:       s.Faults,
	})
}

// restore reads the cached list and the store, and chooses the list to start from.
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

// openSeries opens the time series of reports. Without them the controller goes on: no decision needs them.
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

// listen opens the sockets of the service, of pushed reports and of operators, and the event log.
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

// stopContext bounds the closing of a socket by the operators' longest wait for a stop.
func (p *controllerProcess) stopContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), time.Duration(p.settings.Operators.StopTimeout))
}
