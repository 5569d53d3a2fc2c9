package controller

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"cressknot/internal/clock"
	"cressknot/internal/discovery"
	"cressknot/internal/eventlog"
	"cressknot/internal/fleet"
	"cressknot/internal/gossip"
	"cressknot/internal/ingest"
	"cressknot/internal/ingest/timeseries"
	"cressknot/internal/netlimit"
	"cressknot/internal/service"
	"cressknot/internal/store"
	"cressknot/internal/transport"
)

// backlogDelay is the pause before a step that handles the remaining inputs of the last one, so that urgent inputs can
// arrive in between.
const backlogDelay = 5 * fleet.Millisecond

// Range, in nanoseconds, and significant digits of the histogram of step durations.
const (
	minStepDuration    = int64(time.Microsecond)
	maxStepDuration    = int64(time.Hour)
	stepDurationDigits = 3
)

// Loop runs a Core in one goroutine, with a mailbox for its inputs, a clock and a timer.
type Loop struct {
	core     *Core
	names    *ServerNames
	mailbox  *mailbox
	clock    clock.Clock
	log      zerolog.Logger
	name     string // of the controller
	prober   prober
	recorder stepRecorder
	calls    chan func(*Core) // functions passed to Do
	timings  stepTimings

	transport        transport.Transport
	source           discovery.EndpointSource
	leases           transport.LeaseTransport     // nil if proxies are not shared with other controllers
	series           Series                       // may be nil
	store            *store.Store                 // may be nil
	sendGossip       func(gossip.Message)         // may be nil
	onPublishedState func(service.PublishedState) // may be nil
	cachePath        string                       // "" for no cache
	connections      *netlimit.Budget             // may be nil

	probesCtx context.Context // cancelled when Run returns
	probes    sync.WaitGroup  // running probes and verifications
}

// stepTimings counts steps and records their durations. It is safe for concurrent use.
type stepTimings struct {
	mu        sync.Mutex
	durations *hdrhistogram.Histogram
	steps     uint64
}

// Options configures a Loop.
type Options struct {
	Core             *Core
	Names            *ServerNames
	Transport        transport.Transport
	Source           discovery.EndpointSource
	Log              zerolog.Logger
	CachePath        string                       // file that caches the endpoint list; "" for none
	CachedList       *discovery.Update            // cached list to start from; nil for none
	VerificationMode string                       // how servers of the cached list are verified: VerifyBy...
	ProbePath        string                       // path of the URL that probes request
	Series           Series                       // time series for operators; may be nil
	Store            *store.Store                 // state that must survive a restart; may be nil
	SendGossip       func(gossip.Message)         // sends a message to other controllers; may be nil
	Leases           transport.LeaseTransport     // nil unless other controllers may serve the same proxies
	Name             string                       // of the controller
	OnPublishedState func(service.PublishedState) // receives the state for clients of the service; may be nil
	Connections      *netlimit.Budget             // of all connections of the process; may be nil
}

// Series stores the outcomes that proxies counted at each server over time.
type Series interface {
	// Add adds what one reading of counters adds. The loop's goroutine calls it.
	Add(ingest.CounterDelta)
	// Read returns the points of a server since a time, and how many stored points were damaged.
	Read(server fleet.ServerID, from fleet.Time) (points []timeseries.Point, damaged int, err error)
}

// NewLoop returns a Loop for Options.Core, which the Loop owns from then on. It does nothing until Run is called.
func NewLoop(o Options) *Loop {
	l := &Loop{
		core:    o.Core,
		names:   o.Names,
		mailbox: newMailbox(),
		clock:   clock.New(),
		log:     o.Log,
		name:    o.Name,
		prober:  prober{names: o.Names, path: o.ProbePath, verificationMode: o.VerificationMode},
		calls:   make(chan func(*Core)),
		timings: stepTimings{
			durations: hdrhistogram.New(minStepDuration, maxStepDuration, stepDurationDigits),
		},
		connections:      o.Connections,
		transport:        o.Transport,
		source:           o.Source,
		leases:           o.Leases,
		series:           o.Series,
		store:            o.Store,
		sendGossip:       o.SendGossip,
		onPublishedState: o.OnPublishedState,
		cachePath:        o.CachePath,
	}
	if l.series != nil {
		l.core.pipeline.Observe(l.series.Add)
	}
	if o.VerificationMode == VerifyByOutcomes {
		l.core.verifyByOutcomesOnly()
	}
	if o.CachedList != nil {
		l.receiveEndpoints(*o.CachedList)
	}
	return l
}

// Now returns the current time of the controller's clock.
func (l *Loop) Now() fleet.Time { return l.clock.Now() }

// receiveTransport receives the events of the transport.
func (l *Loop) receiveTransport(event transport.Event) {
	if reading, ok := event.(transport.CountersPolled); ok {
		reading.Reading.At = l.Now()
		l.mailbox.putReading(reading)
		return
	}
	l.mailbox.put(TransportEvent{event})
}

// receiveEndpoints receives the updates of the endpoint source.
func (l *Loop) receiveEndpoints(update discovery.Update) { l.mailbox.put(EndpointUpdate(update)) }

// Push queues load reports that servers pushed, and returns the reply to their sender. It may be called from any
// goroutine.
func (l *Loop) Push(records []ingest.Record) ingest.Reply {
	reply := l.mailbox.pushed.Put(l.Now(), records)
	l.mailbox.wake()
	return reply
}

// ReceiveGossip queues a message of another controller. It may be called from any goroutine.
func (l *Loop) ReceiveGossip(message gossip.Message) { l.mailbox.putGossip(message) }

// LogNotice writes an entry to the process log. Operators' "show log" does not include it.
func (l *Loop) LogNotice(level Level, source, text string) {
	l.writeLog(LogEntry{l.Now(), level, source, text})
}

// Do runs a function in the loop's goroutine between two steps, and waits until it has returned. It returns an error,
// without having run the function, if the context ends before the loop accepts it.
func (l *Loop) Do(ctx context.Context, call func(*Core)) error {
	done := make(chan struct{})
	run := func(c *Core) {
		call(c)
		close(done)
	}
	select {
	case l.calls <- run:
	case <-ctx.Done():
		return fmt.Errorf("controller is busy: control loop did not accept the request: %w", ctx.Err())
	}
	<-done
	return nil
}

// Run starts the transport and the endpoint source and runs the control loop until the context ends. Then it sends the
// messages that still wait, for at most stopTimeout, and stops the transport. Run is called once.
func (l *Loop) Run(ctx context.Context, stopTimeout time.Duration) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx)) // stays valid during the drain
	defer l.probes.Wait()                                           // after cancel
	defer cancel()
	l.probesCtx = inner
	if err := l.transport.Start(inner, l.receiveTransport); err != nil {
		return fmt.Errorf("start proxy transport: %w", err)
	}
	if err := l.source.Start(inner, l.receiveEndpoints); err != nil {
		return errors.Join(err, l.transport.Stop(inner))
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			continue
		case call := <-l.calls:
			call(l.core)
			continue
		case <-l.mailbox.notify:
		case <-timer.C:
		}
		next := l.step()
		timer.Reset(max(0, time.Duration(next-l.Now())))
	}
	return l.drain(inner, stopTimeout)
}

// step runs one step of the core and executes its output. It returns the time at which the next step is due.
func (l *Loop) step() fleet.Time {
	inputs, more := l.mailbox.collect(l.core.pipeline.StepLimits())
	now := l.Now()
	out := l.core.Step(now, inputs)
	duration := l.Now() - now
	l.core.pipeline.StepEnded(now, duration)
	l.timings.add(duration)
	l.execute(&out)
	if out.BalancerStepped {
		if err := l.recorder.record(now, out, l.names); err != nil {
			l.log.Error().Err(err).Msg("writing the event log failed; recording stopped")
		}
	}
	l.persist(out.Persist, nil)
	if more {
		return now + backlogDelay
	}
	return out.NextStep
}

// execute performs the actions of a step outside the core, except recording and persisting.
func (l *Loop) execute(out *Output) {
	for _, id := range out.TrustChanges {
		l.mailbox.pushed.SetUntrusted(id, l.core.pipeline.UntrustedUntil(id))
	}
	l.sendToProxies(out)
	l.startProbes(out)
	if out.WatchEndpoints != nil {
		l.source.Watch(*out.WatchEndpoints)
	}
	if out.FetchEndpoints {
		l.source.Fetch()
	}
	for _, entry := range out.Log {
		l.writeLog(entry)
	}
	if out.Endpoints != nil && l.cachePath != "" {
		if err := discovery.WriteCache(l.cachePath, *out.Endpoints, out.EndpointsConfirmedAt); err != nil {
			l.log.Error().Err(err).Msg("writing the endpoint list cache failed; continuing without it")
		}
	}
	if out.Gossip != nil && l.sendGossip != nil {
		l.sendGossip(*out.Gossip)
	}
	if out.PublishedState != nil && l.onPublishedState != nil {
		l.onPublishedState(*out.PublishedState)
	}
}

func (l *Loop) sendToProxies(out *Output) {
	for _, id := range out.Drops {
		l.transport.Drop(id)
	}
	for _, message := range out.Messages {
		l.transport.Send(message)
	}
	for _, id := range out.Polls {
		l.transport.Poll(id)
	}
}

// startProbes starts probes and verifications. Their results are inputs of later steps.
func (l *Loop) startProbes(out *Output) {
	for _, id := range out.Probes {
		l.probes.Go(func() { l.mailbox.put(l.prober.probe(l.probesCtx, id)) })
	}
	for _, id := range out.Verifications {
		l.probes.Go(func() { l.mailbox.put(l.prober.verify(l.probesCtx, id)) })
	}
}

// persist passes changes to the store without waiting for the disk. done, if not nil, is called once they are on disk,
// or with the error that prevents it.
func (l *Loop) persist(changes []store.Change, done func(error)) {
	if l.store == nil || len(changes) == 0 && done == nil {
		return
	}
	if err := l.store.Put(changes, done); err != nil {
		l.log.Error().Err(err).Msg("persisting controller state failed")
		if done != nil {
			done(err)
		}
	}
}

// errNotPersisted is returned to operators if their change was not on disk before their request timed out.
var errNotPersisted = errors.New("store did not confirm the write in time")

// WaitPersisted waits until all state changes so far are on disk, or returns the error that prevents it. It returns nil
// at once if the controller has no store.
func (l *Loop) WaitPersisted(ctx context.Context) error {
	if l.store == nil {
		return nil
	}
	done := make(chan error, 1)
	if err := l.Do(ctx, func(c *Core) { l.persist(c.persistChanges(), func(err error) { done <- err }) }); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errNotPersisted
	}
}

func (l *Loop) writeLog(entry LogEntry) {
	var event *zerolog.Event
	switch entry.Level {
	case LevelWarn:
		event = l.log.Warn()
	case LevelError:
		event = l.log.Error()
	default:
		event = l.log.Info()
	}
	event.Str("source", entry.Source).Time("at", time.Unix(0, int64(entry.At))).Str("notice", entry.Text).
		Msg("controller notice")
}

// drain sends the messages that still wait, for at most the timeout, then stops the transport and closes the event log.
func (l *Loop) drain(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for ctx.Err() == nil {
		inputs, _ := l.mailbox.collect(0, math.MaxInt)
		messages, next, idle := l.core.Drain(l.Now(), inputs)
		for _, message := range messages {
			l.transport.Send(message)
		}
		if idle {
			break
		}
		timer := time.NewTimer(max(0, time.Duration(next-l.Now())))
		select {
		case <-l.mailbox.notify:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return errors.Join(l.transport.Stop(ctx), l.recorder.close())
}

// RecordTo starts recording the balancer's steps to a file, in place of the current recording; an empty path stops
// recording. Only a recording since the start of the controller can be replayed, as a replay needs all steps; a later
// one can only be read.
func (l *Loop) RecordTo(path string, start eventlog.Header) error {
	if err := l.recorder.close(); err != nil {
		l.log.Error().Err(err).Msg("closing the event log failed")
	}
	if path == "" {
		return nil
	}
	return l.recorder.open(path, start)
}

func (t *stepTimings) add(duration fleet.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steps++
	_ = t.durations.RecordValue(min(maxStepDuration, max(minStepDuration, int64(duration)))) // always within range
}

// StepDurations returns step durations in nanoseconds at the given quantiles, in percent (0 to 100), and the number of
// steps. It may be called from any goroutine.
func (l *Loop) StepDurations(quantiles ...float64) (nanoseconds []int64, steps uint64) {
	t := &l.timings
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, q := range quantiles {
		nanoseconds = append(nanoseconds, t.durations.ValueAtQuantile(q))
	}
	return nanoseconds, t.steps
}
