package platform

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/clock"
	"cressknot/internal/fleet"
	"cressknot/internal/transport/relay"
)

// maxIdleInterval is the longest time between two steps without input or a timer.
const maxIdleInterval = time.Hour

// RelayClient sends operations to the relay. Its methods return without waiting for the relay.
type RelayClient interface {
	// Enqueue appends operations to the queue of those to be sent.
	Enqueue(operations []relay.Operation)
	// DropAssignments drops the queued assignments of tables to a proxy that has left.
	DropAssignments(proxy fleet.ProxyID)
}

// EndpointWatcher requests the endpoint list. The results arrive in the mailbox as EndpointsChanged messages.
type EndpointWatcher interface {
	// Watch starts or stops watching the list for changes.
	Watch(enabled bool)
	// Fetch requests the complete list once.
	Fetch()
}

// Options configure Run. All fields are required.
type Options struct {
	Controller      *Controller
	Mailbox         *Mailbox
	Relay           RelayClient
	Endpoints       EndpointWatcher
	Clock           clock.Clock
	MinStepInterval fleet.Time // shortest time between two steps
	Log             zerolog.Logger
}

// Run steps the controller until the context is cancelled, then closes the mailbox. No other goroutine may use the
// controller while Run is active. A step runs when the mailbox has input or a timer is due, but no sooner than
// MinStepInterval after the previous step; input that arrives in between is handled as one batch.
func Run(ctx context.Context, options Options) {
	defer options.Mailbox.Close()
	l := loop{Options: options, lastEstimateLog: options.Clock.Now()}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-options.Mailbox.notify:
		case <-timer.C:
		}
		now := options.Clock.Now()
		effects := l.step(now)
		l.perform(effects)
		l.logStep(now, effects)
		timer.Reset(l.untilNextTimer(effects))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(options.MinStepInterval) - time.Duration(options.Clock.Now()-now)):
		}
	}
}

// loop is the state of Run.
type loop struct {
	Options
	batch           Batch // its memory is reused by each step
	lastEstimateLog fleet.Time
}

// step empties the mailbox and steps the controller with its content.
func (l *loop) step(now fleet.Time) Effects {
	l.Mailbox.Take(&l.batch)
	effects := l.Controller.Step(now, l.batch)
	l.logMessages(now, l.batch.Messages)
	l.batch.reset()
	return effects
}

// perform does the I/O that a step requested, in the order of the fields of Effects.
func (l *loop) perform(effects Effects) {
	for _, proxy := range effects.ProxiesLeft {
		l.Relay.DropAssignments(proxy)
	}
	if len(effects.Operations) > 0 {
		l.Relay.Enqueue(effects.Operations)
	}
	for _, enabled := range effects.WatchRequests {
		l.Endpoints.Watch(enabled)
	}
	for range effects.FetchRequests {
		l.Endpoints.Fetch()
	}
}

// untilNextTimer returns the time until the next timer is due, or maxIdleInterval if none is set.
func (l *loop) untilNextTimer(effects Effects) time.Duration {
	if effects.NextTimer <= 0 {
		return maxIdleInterval
	}
	return max(0, time.Duration(effects.NextTimer-l.Clock.Now()))
}
