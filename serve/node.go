package serve

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cressknot/config"
	"cressknot/front/relay"
	"cressknot/intake/collector"
	"cressknot/list"
	"cressknot/node"
)

// How a governor on the users' platform keeps within its limits.
const (
	memoryShare = 0.5                    // of the limit, for what the Go runtime holds: the program's own pages come on top
	endWithin   = 450 * time.Millisecond // SIGKILL follows SIGTERM no sooner than 0.7 s later
	countsEvery = 5 * time.Second        // figures in the log
)

// Node runs a governor on the users' platform until SIGTERM or SIGINT. SIGHUP reads the configuration again.
func Node(getenv func(string) string) error {
	signals := make(chan os.Signal, 8) // from the first moment: a signal that nobody takes ends the program
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	c, err := config.LoadRelay(getenv)
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
	mailbox := node.NewMailbox()
	var classes []string
	for _, v := range c.Site.Classes {
		classes = append(classes, v.Name)
	}
	front := relay.New(relay.Options{Addr: c.Store, Zones: c.Site.Zones, Classes: classes, Proxies: c.Site.Proxies,
		Sink: func(n relay.News) { mailbox.Post(n) }, Unsure: func(u relay.Unconfirmed) { mailbox.Post(u) }, Log: log, Seed: c.Seed})
	source := &list.Platform{Addr: c.Discovery, Rev: c.Known.Rev, Zones: c.Site.Zones, Kinds: c.Site.Kinds,
		Notice: func(err error) { log.Warn().Err(err).Msg("list") }}
	if err := source.Start(ctx, func(u list.Update) { mailbox.Post(u) }); err != nil {
		return err
	}
	clock := node.NewClock()
	over := make(chan struct{})
	core := node.NewCore(c.Site, c.Seed, c.Known)
	go func() {
		defer close(over)
		node.Run(ctx, node.Parts{Core: core, Mailbox: mailbox, Front: front, Source: source, Tick: c.Site.Tick, Log: log}, clock)
	}()
	front.Start(ctx)
	heard, err := collector.Listen(collector.Options{Addr: c.Listen, Sockets: c.Sockets, Log: log, Sink: mailbox.Report,
		Words: collector.Words{Zones: c.Site.Zones, Classes: classes, Proxies: c.Site.Proxies, Load: c.Site.LoadFields}})
	if err != nil {
		return err
	}
	log.Info().Str("version", Version).Str("listen", heard.Addr()).Str("relay", c.Store).Str("discovery", c.Discovery).
		Int("memory_mb", c.MemoryMB).Int("sockets", c.Sockets).Float64("cores", c.Cores).Int("proxies", c.Site.Proxies).
		Int("known", len(c.Known.Servers)).Interface("site", c.Site).Msg("governs")
	counts := time.NewTicker(countsEvery)
	defer counts.Stop()
	for {
		select {
		case <-counts.C:
			log.Info().Interface("calls", front.Counts()).Interface("heard", heard.Counts()).Int("goroutines", runtime.NumGoroutine()).Msg("counts")
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				c = renew(getenv, c, log, front, source)
				continue
			}
			log.Info().Str("signal", sig.String()).Msg("ends")
			cancel()
			heard.Close()
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

// renew reads the configuration again and goes to its addresses. A file that can't be read, or that asks for what needs a
// restart, changes nothing.
func renew(getenv func(string) string, c *config.Relay, log zerolog.Logger, front *relay.Front, source *list.Platform) *config.Relay {
	fresh, err := config.LoadRelay(getenv)
	if err != nil {
		log.Error().Err(err).Msg("configuration not renewed: what stood stays")
		return c
	}
	if fresh.Name != c.Name || fresh.Listen != c.Listen {
		log.Error().Str("name", fresh.Name).Str("listen", fresh.Listen).Msg("configuration not renewed: name and listen need a restart; what stood stays")
		return c
	}
	log.Info().Str("relay", fresh.Store).Str("discovery", fresh.Discovery).Msg("configuration renewed")
	if fresh.Store != c.Store {
		front.Move(fresh.Store)
	}
	if fresh.Discovery != c.Discovery {
		source.Move(fresh.Discovery)
	}
	return fresh
}
