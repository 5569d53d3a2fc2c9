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
	"cressknot/internal/service"
	"cressknot/internal/store"
	"cressknot/internal/transport"
)

// backlogDelay is the time before a step that takes what the last one had no room for, so that urgent inputs come
// between.
const backlogDelay = 5 * fleet.Millisecond

// The histogram of step durations, in nanoseconds.
const (
	minStepDuration    = int64(time.Microsecond)
	maxStepDuration    = int64(time.Hour)
	stepDurationDigits = 3
)

// Loop runs a Core: one goroutine that owns it, a mailbox, a clock and a timer.
type Loop struct {
	core     *Core
	names    *Names
	mailbox  *mailbox
	clock    clock.Clock
	log      zerolog.Logger
	name     string // of the controller
	prober   prober
	recorder stepRecorder
	calls    chan func(*Core) // what Do has to run
	timings  stepTimings

	transport        transport.Transport
	source           discovery.EndpointSource
	leases           transport.LeaseTransport     // nil where proxies are not shared
	series           Series                       // may be nil
	store            *store.Store                 // may be nil
	sendGossip       func(gossip.Message)         // may be nil
	onPublishedState func(service.PublishedState) // may be nil
	cachePath        string

	probesCtx context.Context // ends with Run
	probes    sync.WaitGroup  // probes and verifications on their way
}

// stepTimings counts steps and holds the histogram of their durations.
type stepTimings struct {
	mu        sync.Mutex
	durations *hdrhistogram.Histogram
	steps     uint64
}

// Options are what a Loop is made of.
type Options struct {
	Core             *Core
	Names            *Names
	Transport        transport.Transport
	Source           discovery.EndpointSource
	Log              zerolog.Logger
	CachePath        string                       // file that holds the last endpoint list; "" for none
	CachedList       *discovery.Update            // a cached list to start from, if any
	VerificationMode string                       // how servers of it are verified
	ProbePath        string                       // of the URL of probes
	Series           Series                       // of reports, for operators; may be nil
	Store            *store.Store                 // of what must survive a restart; may be nil
	SendGossip       func(gossip.Message)         // carries messages to other controllers; may be nil
	Leases           transport.LeaseTransport     // where other controllers may serve the same proxies; else nil
	Name             string                       // of the controller
	OnPublishedState func(service.PublishedState) // called with what the service's clients see; may be nil
}

// Series holds what proxies met at servers over time.
type Series interface {
	Add(ingest.CounterDelta)
	Read(server fleet.ServerID, from fleet.Time) (points []timeseries.Point, damaged int, err error)
}

// NewLoop makes a loop that Run runs.
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

// Now is the time of the controller's clock.
func (l *Loop) Now() fleet.Time { return l.clock.Now() }

// receiveTransport is the transport's sink.
func (l *Loop) receiveTransport(event transport.Event) {
	if reading, ok := event.(transport.CountersPolled); ok {
		reading.Reading.At = l.Now()
		l.mailbox.putReading(reading)
		return
	}
	l.mailbox.put(TransportEvent{event})
}

// receiveEndpoints is the endpoint source's sink.
func (l *Loop) receiveEndpoints(update discovery.Update) { l.mailbox.put(EndpointUpdate(update)) }

// Push takes in load reports that servers pushed, and gives the answer for their sender.
func (l *Loop) Push(records []ingest.Record) ingest.Reply {
	reply := l.mailbox.pushed.Put(l.Now(), records)
	l.mailbox.wake()
	return reply
}

// ReceiveGossip takes in a message of another controller.
func (l *Loop) ReceiveGossip(message gossip.Message) { l.mailbox.putGossip(message) }

// Notice writes a line to the process's log.
func (l *Loop) Notice(level Level, source, text string) {
	l.writeLog(LogEntry{l.Now(), level, source, text})
}

// Do runs a function in the loop's goroutine, between two steps.
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

// Run decides until the context ends; then messages in hand leave for as long as stopTimeout allows, and streams close.
func (l *Loop) Run(ctx context.Context, stopTimeout time.Duration) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx)) // outlives ctx by the drain
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

// step takes one step of the core and carries out what it gives. It returns when the next one is due.
func (l *Loop) step() fleet.Time {
	inputs, more := l.mailbox.collect(l.core.pipeline.TurnLimits())
	now := l.Now()
	out := l.core.Step(now, inputs)
	duration := l.Now() - now
	l.core.pipeline.TurnEnded(now, duration)
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

// execute does what a step wants done outside the core.
func (l *Loop) execute(out *Output) {
	for _, id := range out.TrustChanges {
		l.mailbox.pushed.Distrust(id, l.core.pipeline.UntrustedUntil(id))
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

// startProbes starts probes and verifications; their results come as inputs of later steps.
func (l *Loop) startProbes(out *Output) {
	for _, id := range out.Probes {
		l.probes.Go(func() { l.mailbox.put(l.prober.probe(l.probesCtx, id)) })
	}
	for _, id := range out.Verifications {
		l.probes.Go(func() { l.mailbox.put(l.prober.verify(l.probesCtx, id)) })
	}
}

// persist hands changes to the store, which never makes the loop wait; done, if any, is called once they are on disk.
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

// errNotPersisted is the answer to operators where what they set is not on disk.
var errNotPersisted = errors.New("store did not confirm the write in time")

// WaitPersisted waits until all that was decided so far is on disk, and gives what prevents that.
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

// drain lets messages in hand leave, then stops the transport and closes the event log.
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

// RecordTo begins to record the balancer's steps to a file, or ends that with "". A replay needs all steps since the
// start of the controller: a recording that began later serves to read, not to replay.
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
	_ = t.durations.RecordValue(min(maxStepDuration, max(minStepDuration, int64(duration)))) // always in its range
}

// StepDurations gives how long steps took, in nanoseconds at the quantiles asked for (0 to 100), and how many there
// were.
func (l *Loop) StepDurations(quantiles ...float64) (nanoseconds []int64, steps uint64) {
	t := &l.timings
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, q := range quantiles {
		nanoseconds = append(nanoseconds, t.durations.ValueAtQuantile(q))
	}
	return nanoseconds, t.steps
}
