package server

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/config"
	"cressknot/internal/discovery"
	"cressknot/internal/ingest/collector"
	"cressknot/internal/platform"
	"cressknot/internal/transport/relay"
)

// How a governor on the users' platform keeps within its limits.
const (
	memoryShare = 0.5                    // of the limit, for what the Go runtime holds: the program's own pages come on top
	endWithin   = 450 * time.Millisecond // SIGKILL follows SIGTERM no sooner than 0.7 s later
	countsEvery = 5 * time.Second        // figures in the log
	idleMost    = 2 * time.Second        // the first sign of life waits so long for news and a list: a relay may be out of reach for long
	listenAgain = 50 * time.Millisecond  // where the address is held still by the process that was killed just before
	listenMost  = 3 * time.Second        // and no longer than this: it is another program's
	readAgain   = 100 * time.Millisecond // after a configuration that can't be read at SIGHUP: it may be written half way
	readMost    = 10                     // times: old addresses close after 1.5 s
)

// RunPlatform runs a governor on the users' platform until SIGTERM or SIGINT. SIGHUP reads the configuration again.
func RunPlatform(getenv func(string) string) error {
	signals := make(chan os.Signal, 8) // from the first moment: a signal that nobody takes ends the program
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	c, err := config.LoadPlatform(getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(c.MemoryMB) * memoryShare * (1 << 20)))
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(os.Stderr).With().Timestamp().Str("governor", c.Name).Logger()
	zerolog.SetGlobalLevel(zerolog.InfoLevel)
	if level, err := zerolog.ParseLevel(getenv("CRESSKNOT_LOG")); err == nil && level != zerolog.NoLevel {
		zerolog.SetGlobalLevel(level)
	}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	mailbox := platform.NewMailbox()
	var classes []string
	for _, v := range c.Site.Classes {
		classes = append(classes, v.Name)
	}
	// A governor is put to use once it has answered a sign of life, so it listens when it has news of its proxies and knows servers.
	ready := make(chan struct{})
	var opened, listed atomic.Bool
	whenReady := sync.OnceFunc(func() { close(ready) })
	listed.Store(len(c.KnownEndpoints.Endpoints) > 0)
	front := relay.New(relay.Options{Addr: c.RelayAddr, Zones: c.Site.Zones, Classes: classes, ProxyCount: c.Site.ProxyCount,
		OnEvent: func(n relay.StreamEvent) {
			mailbox.Post(n)
			if opened.Store(true); listed.Load() {
				whenReady()
			}
		}, OnUnconfirmed: func(u relay.Unconfirmed) { mailbox.Post(u) }, Log: log, Seed: c.Seed})
	source := &discovery.PlatformSource{Addr: c.Discovery, Revision: c.KnownEndpoints.Revision, Zones: c.Site.Zones, Kinds: c.Site.Kinds,
		OnError: func(err error) { log.Warn().Err(err).Msg("list") }}
	if err := source.Start(ctx, func(u discovery.Update) {
		mailbox.Post(u)
		if len(u.List.Endpoints) > 0 {
			if listed.Store(true); opened.Load() {
				whenReady()
			}
		}
	}); err != nil {
		return err
	}
	clock := platform.NewClock()
	over := make(chan struct{})
	core := platform.NewCore(c.Site, c.Seed, c.KnownEndpoints)
	go func() {
		defer close(over)
		platform.Run(ctx, platform.Options{Core: core, Mailbox: mailbox, Relay: front, Source: source, Tick: c.Site.Tick, Log: log}, clock)
	}()
	front.Start(ctx)
	idle := time.AfterFunc(idleMost, whenReady)
	defer idle.Stop()
	began := time.Now()
	var heard *collector.Server
	var again <-chan time.Time // to listen
	listen := func() (err error) {
		heard, err = collector.Listen(collector.Options{Addr: c.Listen, MaxSockets: c.MaxSockets, Log: log, OnReport: mailbox.Report,
			Vocabulary: collector.Vocabulary{Zones: c.Site.Zones, Classes: classes, ProxyCount: c.Site.ProxyCount, LoadFields: c.Site.LoadFields}})
		if again = nil; errors.Is(err, syscall.EADDRINUSE) && time.Since(began) < listenMost+idleMost {
			again = time.After(listenAgain)
			return nil
		}
		if err == nil {
			log.Info().Str("listen", heard.Addr()).Bool("news", opened.Load()).Bool("list", listed.Load()).Dur("after", time.Since(began)).Msg("listens")
		}
		return err
	}
	log.Info().Str("version", Version).Str("listen", c.Listen).Str("relay", c.RelayAddr).Str("discovery", c.Discovery).
		Int("memory_mb", c.MemoryMB).Int("sockets", c.MaxSockets).Float64("cores", c.Cores).Int("proxies", c.Site.ProxyCount).
		Int("known", len(c.KnownEndpoints.Endpoints)).Interface("site", c.Site).Msg("governs")
	counts := time.NewTicker(countsEvery)
	defer counts.Stop()
	tries := 0
	var reread <-chan time.Time // the configuration
	for {
		select {
		case <-counts.C:
			if heard != nil {
				log.Info().Interface("calls", front.Statistics()).Interface("heard", heard.Statistics()).Int("goroutines", runtime.NumGoroutine()).Msg("counts")
			}
		case <-ready:
			if ready = nil; heard == nil {
				if err := listen(); err != nil {
					return err
				}
			}
		case <-again:
			if err := listen(); err != nil {
				return err
			}
		case <-reread:
			reread = nil
			fresh, err := renew(getenv, c, log, front, source)
			if c = fresh; err == nil {
				continue
			}
			if tries++; tries < readMost {
				reread = time.After(readAgain)
			} else {
				log.Error().Err(err).Msg("configuration not renewed: what stood stays")
			}
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				now := make(chan time.Time)
				close(now)
				tries, reread = 0, now
				continue
			}
			log.Info().Str("signal", sig.String()).Msg("ends")
			cancel()
			if heard != nil {
				heard.Close()
			}
			done := make(chan struct{})
			go func() { front.Wait(); close(done) }()
			select {
			case <-done:
			case <-time.After(endWithin):
				log.Warn().Msg("a call in the air was cut")
			}
			<-over
			return nil
		}
	}
}

// renew reads the configuration again and goes to its addresses. An error is of a file that can't be read, which may be written half
// way. One that asks for what needs a restart changes nothing.
func renew(getenv func(string) string, c *config.Platform, log zerolog.Logger, front *relay.Client, source *discovery.PlatformSource) (*config.Platform, error) {
	fresh, err := config.LoadPlatform(getenv)
	if err != nil {
		return c, err
	}
	key := ""
	switch {
	case fresh.Name != c.Name:
		key = "name"
	case fresh.Listen != c.Listen:
		key = "listen"
	case !reflect.DeepEqual(fresh.Site, c.Site):
		key = "settings"
	}
	if key != "" {
		log.Error().Str("key", key).Msg("configuration not renewed: " + key + " needs a restart; what stood stays")
		return c, nil
	}
	log.Info().Str("relay", fresh.RelayAddr).Str("discovery", fresh.Discovery).Msg("configuration renewed")
	if fresh.RelayAddr != c.RelayAddr {
		front.SetAddress(fresh.RelayAddr)
	}
	if fresh.Discovery != c.Discovery {
		source.SetAddress(fresh.Discovery)
	}
	return fresh, nil
}
