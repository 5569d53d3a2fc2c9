// Package serve puts a governor together from its settings and runs it until it is told to stop.
package server

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/config"
	"cressknot/internal/controller"
	"cressknot/internal/discovery"
	"cressknot/internal/discovery/verification"
	"cressknot/internal/eventlog"
	"cressknot/internal/fleet"
	"cressknot/internal/gossip"
	"cressknot/internal/ingest/push"
	"cressknot/internal/ingest/timeseries"
	"cressknot/internal/lease"
	"cressknot/internal/membership"
	"cressknot/internal/service"
	"cressknot/internal/service/rpc"
	"cressknot/internal/service/text"
	"cressknot/internal/store"
	"cressknot/internal/transport"
	"cressknot/internal/transport/files"
	"cressknot/internal/transport/haproxy"
)

// Version is the program's.
const Version = "0.2.0-dev"

// RunController runs the governor of a settings file. SIGHUP reads the file again, the first SIGINT or SIGTERM lets orders
// in hand leave and stops, a second one ends the program at once.
func RunController(path string) error {
	s, err := config.Load(path)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	return run(path, s, signals)
}

func run(path string, s *config.Settings, signals <-chan os.Signal) error {
	out, closeLog, err := logTo(s)
	if err != nil {
		return err
	}
	defer closeLog()
	log := zerolog.New(out).With().Timestamp().Str("governor", s.Name).Logger()
	setLevel(s)

	names := controller.NewNames()
	proxies := s.Fleet()
	site := s.Site()
	callers := s.Callers()
	core := controller.NewCore(controller.CoreOptions{Site: site, Seed: s.Seed, Proxies: append(slices.Clone(proxies), callers...), Names: names,
		SafetyChecks: s.Guard, PushedLoads: s.Reports.Load == "pushed", Faults: s.Faults})
	if !s.Guard {
		log.Warn().Msg("goes without its guard: for drills only")
	}
	for _, f := range s.Faults {
		log.Warn().Str("fault", f).Msg("broken on purpose: for drills only")
	}
	carrier := frontOf(s, site, proxies, names)
	parts := controller.Options{Core: core, Names: names, Transport: carrier, Source: sourceOf(s), Log: log,
		CachePath: s.List.Cache, ProbePath: s.Reports.ProbePath, VerificationMode: s.List.Prove}
	var lists []verification.Generation[discovery.Endpoint]
	if s.List.Cache != "" {
		var wrong []error
		lists, wrong = discovery.ReadCache(s.List.Cache)
		for _, err := range wrong {
			log.Warn().Err(err).Msg("damaged in the list kept on disk")
		}
	}
	parts.Name = s.Name
	if shares, is := carrier.(transport.LeaseTransport); is && len(s.Sharing.Governors) > 0 {
		parts.Leases = shares
	}
	if s.Store.Folder != "" {
		lasting, woken, err := wake(s, core, log)
		if err != nil {
			return err
		}
		lists = append(lists, woken...)
		if lasting != nil {
			parts.Store = lasting
			defer func() {
				if err := lasting.Close(); err != nil {
					log.Error().Err(err).Msg("not all was kept")
				}
			}()
		}
	}
	parts.CachedList = startFrom(lists, log)
	kept, err := timeseries.Open(s.Reports.Series, func(id fleet.ServerID) string { name, _ := names.Of(id); return name })
	if err != nil { // nothing that is decided needs them
		log.Error().Err(err).Msg("time series of reports are not kept")
	} else {
		parts.Series = kept
		defer func() {
			if err := kept.Close(); err != nil {
				log.Error().Err(err).Msg("time series of reports were not closed")
			}
		}()
	}
	asked := serving(s, core, callers, &parts)
	var loop *controller.Loop
	if s.Peers.Listen != "" {
		if core.Epoch() == 0 {
			core.BeginEpoch(uint64(time.Now().UnixNano()))
		}
		core.EnableGossip(s.Name)
		here, err := meet(s, func() *controller.Loop { return loop })
		if err != nil {
			return err
		}
		defer here.Close()
		parts.SendGossip = here.Send
		log.Info().Str("addr", s.Peers.Listen).Bool("encrypted", s.Peers.KeyFile != "").Msg("hears other governors")
	}
	loop = controller.NewLoop(parts)
	if asked != nil {
		stop, err := listen(s, loop, asked, log)
		if err != nil {
			return err
		}
		defer stop()
	}
	if s.Reports.Listen != "" {
		taker, err := push.Listen(s.Reports.Listen, loop, push.Words{Loads: s.Reports.Fields, Lookup: names.ServerBytes})
		if err != nil {
			return err
		}
		log.Info().Str("addr", taker.Addr()).Msg("takes in reports")
		defer func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Operators.Stop))
			defer cancel()
			_ = taker.Close(ctx)
		}()
	}
	start := eventlog.Header{Controller: s.Name, Site: site, Seed: s.Seed}
	if err := loop.RecordTo(s.Records, start); err != nil {
		return err
	}
	if s.Operators.Socket != "" {
		o, err := controller.ServeOperators(loop, s.Operators.Socket, Version)
		if err != nil {
			return err
		}
		defer o.Close()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for sig := range signals {
			if sig == syscall.SIGHUP {
				s = reload(path, s, log, loop, start)
				continue
			}
			if ctx.Err() != nil {
				log.Warn().Msg("told to stop twice: ends at once")
				os.Exit(1)
			}
			log.Info().Stringer("signal", sig.(syscall.Signal)).Msg("stops: orders in hand leave first")
			cancel()
		}
	}()
	log.Info().Str("version", Version).Int("proxies", len(proxies)).Str("front", s.Front.Kind).Msg("governs")
	err = loop.Run(ctx, time.Duration(s.Operators.Stop))
	log.Info().Err(err).Msg("stopped")
	return err
}

// wake opens the store and lets the core wake with what was kept. A store that another process has, or that a newer program
// wrote, stops the start: going on would make two governors of one, or lose what that one kept. Any other trouble costs
// the store only.
func wake(s *config.Settings, core *controller.Core, log zerolog.Logger) (*store.Store, []verification.Generation[discovery.Endpoint], error) {
	lasting, err := store.Open(store.Options{Directory: s.Store.Folder, OnHealthChange: func(failing bool, err error) {
		if failing {
			log.Error().Err(err).Msg("what must last can't be kept; the governor goes on, and keeps it when that is possible again")
		} else {
			log.Info().Msg("all that must last is kept again")
		}
	}})
	var newer *store.NewerError
	var busy *store.BusyError
	switch {
	case errors.As(err, &newer), errors.As(err, &busy):
		return nil, nil, err
	case err != nil:
		log.Error().Err(err).Msg("starts without what was kept, and keeps nothing")
		return nil, nil, nil
	}
	woken, err := core.Restore(fleet.Time(time.Now().UnixNano()), lasting)
	if err != nil {
		log.Error().Err(err).Msg("not all that was kept could be read")
	}
	for _, lost := range woken.Unreadable {
		log.Warn().Str("lost", lost).Msg("damaged in the store")
	}
	log.Info().Int("tables", woken.Tables).Int("pins", woken.Pins).Int("weights", woken.ManualWeights).Bool("list", len(woken.Lists) > 0).Msg("woke")
	done := make(chan error, 1) // no version of this epoch leaves before the epoch is on disk
	if err := lasting.Put([]store.Change{{Key: "epoch", Value: woken.Epoch}}, func(err error) { done <- err }); err == nil {
		err = <-done
	}
	return lasting, woken.Lists, nil
}

// meet joins the other governors. The loop is there once they have something to say.
func meet(s *config.Settings, loop func() *controller.Loop) (*membership.Membership, error) {
	o := membership.Options{Name: s.Name, Listen: s.Peers.Listen, Join: s.Peers.Join}
	if s.Peers.KeyFile != "" {
		text, err := os.ReadFile(s.Peers.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("peers.keyFile: %w", err)
		}
		if o.Key, err = hex.DecodeString(strings.TrimSpace(string(text))); err != nil {
			return nil, fmt.Errorf("peers.keyFile: %s: %w", s.Peers.KeyFile, err)
		}
	}
	o.OnMessage = func(n gossip.Message) {
		if l := loop(); l != nil {
			l.ReceiveGossip(n)
		}
	}
	o.OnError = func(err error) {
		if l := loop(); l != nil {
			l.Notice("warn", "peers", err.Error())
		}
	}
	o.OnChange = func(name string, here bool) {
		if l := loop(); l != nil {
			l.Notice("info", "peers", fmt.Sprintf("governor %s %s", name, map[bool]string{true: "is here", false: "left"}[here]))
		}
	}
	return membership.Start(o)
}

// serving lets the programs of zones be proxies of the governor, nil where nobody may ask it.
func serving(s *config.Settings, core *controller.Core, callers []transport.Proxy, parts *controller.Options) *service.Hub {
	if len(callers) == 0 {
		return nil
	}
	began := time.Now()
	o := service.HubOptions{Controller: s.Name, Names: parts.Names, Classes: s.Site().Classes,
		Now: func() fleet.Time { return fleet.Time(began.UnixNano()) + fleet.Time(time.Since(began)) }}
	for _, p := range callers {
		o.Zones = append(o.Zones, service.Zone{Name: s.Zones[p.Zone], ID: p.Zone, Proxy: p.ID, RequestRate: p.RequestRate})
	}
	core.ServeZones(o.Zones)
	core.BeginEpoch(uint64(began.UnixNano()))
	o.Epoch = core.Epoch()
	hub := service.NewHub(o)
	mux := &transport.Mux{Default: parts.Transport, ByProxy: map[fleet.ProxyID]transport.Transport{}}
	for _, p := range callers {
		mux.ByProxy[p.ID] = hub
	}
	parts.Transport, parts.OnPublishedState = mux, hub.Facts
	return hub
}

// listen opens the service's sockets.
func listen(s *config.Settings, loop *controller.Loop, hub *service.Hub, log zerolog.Logger) (stop func(), err error) {
	core := service.New(hub, controller.QueryHandler{Loop: loop, Program: Version})
	var closers []interface{ Close(context.Context) error }
	stop = func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Operators.Stop))
		defer cancel()
		_ = hub.Stop(ctx) // watches end first: their callers go elsewhere
		for _, c := range closers {
			_ = c.Close(ctx)
		}
	}
	if s.Service.RPC != "" {
		over, err := rpc.Listen(s.Service.RPC, core)
		if err != nil {
			return nil, err
		}
		closers = append(closers, over)
		log.Info().Str("addr", over.Addr()).Msg("answers programs over gRPC")
	}
	if s.Service.Text != "" {
		over, err := text.Listen(s.Service.Text, core)
		if err != nil {
			stop()
			return nil, err
		}
		closers = append(closers, over)
		log.Info().Str("addr", over.Addr()).Msg("answers programs over the text protocol")
	}
	return stop, nil
}

// startFrom makes one list of those that were kept, nil for none.
func startFrom(kept []verification.Generation[discovery.Endpoint], log zerolog.Logger) *discovery.Update {
	chosen, ok := verification.Choose(fleet.Time(time.Now().UnixNano()), kept)
	for _, s := range chosen.Notices {
		log.Warn().Str("from", "list").Msg(s)
	}
	if !ok {
		return nil
	}
	u := &discovery.Update{Scope: fleet.ListCached, List: discovery.EndpointList{Revision: chosen.Revision}, ConfirmedAt: chosen.ConfirmedAt, Unverified: chosen.Unverified}
	for _, name := range slices.Sorted(maps.Keys(chosen.Entries)) {
		u.List.Endpoints = append(u.List.Endpoints, chosen.Entries[name])
	}
	log.Info().Int("servers", len(u.List.Endpoints)).Uint64("rev", chosen.Revision).Str("kept", chosen.Source).Time("confirmed", time.Unix(0, int64(chosen.ConfirmedAt))).Msg("has a list from before")
	return u
}

// reload takes over what may change and refuses a file that asks for more, whole.
func reload(path string, s *config.Settings, log zerolog.Logger, loop *controller.Loop, start eventlog.Header) *config.Settings {
	fresh, err := config.Load(path)
	if err != nil {
		log.Error().Err(err).Msg("settings not reloaded: what stood stays")
		return s
	}
	if fixed := config.Unchangeable(s, fresh); len(fixed) > 0 {
		log.Error().Strs("fields", fixed).Msg("settings not reloaded: these need a restart; what stood stays")
		return s
	}
	if fresh.Log.Format != s.Log.Format || fresh.Log.File != s.Log.File {
		log.Error().Strs("fields", []string{"log.format", "log.file"}).Msg("settings not reloaded: these need a restart; what stood stays")
		return s
	}
	if fresh.Records != s.Records {
		if err := loop.RecordTo(fresh.Records, start); err != nil {
			log.Error().Err(err).Msg("settings not reloaded: what stood stays")
			_ = loop.RecordTo(s.Records, start)
			return s
		}
	}
	setLevel(fresh)
	log.Info().Msg("settings reloaded")
	return fresh
}

func setLevel(s *config.Settings) {
	if level, err := zerolog.ParseLevel(s.Log.Level); err == nil {
		zerolog.SetGlobalLevel(level)
	}
}

func logTo(s *config.Settings) (io.Writer, func(), error) {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	var out io.Writer = os.Stderr
	done := func() {}
	if s.Log.File != "" {
		f, err := os.OpenFile(s.Log.File, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o640)
		if err != nil {
			return nil, nil, fmt.Errorf("log: %w", err)
		}
		out, done = f, func() { f.Close() }
	}
	if s.Log.Format == "console" {
		out = zerolog.ConsoleWriter{Out: out, TimeFormat: "15:04:05.000", NoColor: s.Log.File != "" || !strings.Contains(os.Getenv("TERM"), "color")}
	}
	return out, done, nil
}

func sourceOf(s *config.Settings) discovery.EndpointSource {
	if s.List.Source == "http" {
		return &discovery.HTTPSource{URL: s.List.URL, Wait: fleet.Time(s.List.Wait), OnRequest: s.List.OnRequest}
	}
	return &discovery.FileSource{Path: s.List.Path, OnRequest: s.List.OnRequest}
}

func frontOf(s *config.Settings, site fleet.Site, proxies []transport.Proxy, names *controller.Names) transport.Transport {
	if s.Front.Kind == "runtime" {
		o := haproxy.Options{Proxies: proxies, Classes: s.Backends(), Map: s.Front.Map, Table: s.Front.Table, Admission: site.Admission, Names: names,
			Me: s.Name, Clock: func() fleet.Time { return fleet.Time(time.Now().UnixNano()) }}
		if len(s.Sharing.Governors) > 0 {
			plan := lease.Plan(s.Shares(), s.Sharing.Governors)
			o.Lease = func(p transport.Proxy) *lease.Lease { return lease.NewLease(s.Name, plan[p.Name]) }
		}
		return haproxy.New(o)
	}
	return files.New(files.Options{Proxies: proxies, Classes: s.Backends(), Admission: site.Admission, Names: names})
}
