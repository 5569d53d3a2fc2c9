package platform

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/clock"
	"cressknot/internal/fleet"
	"cressknot/internal/transport/relay"
)

// maxIdleInterval is the time between two steps when nothing happens and no timer is set.
const maxIdleInterval = time.Hour

// RelayClient sends operations to the relay. Its methods do not wait for the relay.
type RelayClient interface {
	// Enqueue adds operations to those that wait to be sent.
	Enqueue(operations []relay.Operation)
	// ProxyLeft drops waiting operations that concern a proxy alone.
	ProxyLeft(proxy fleet.ProxyID)
}

// EndpointWatcher asks for the endpoint list. Its answers come through the mailbox, as EndpointsChanged.
type EndpointWatcher interface {
	// Watch begins or ends a watch of the list.
	Watch(enabled bool)
	// Fetch asks for the complete list once.
	Fetch()
}

// Options are what Run works with. All fields are required.
type Options struct {
	Controller *Controller
	Mailbox    *Mailbox
	Relay      RelayClient
	Endpoints  EndpointWatcher
	Clock      clock.Clock
	Tick       fleet.Time // shortest time between two steps
	Log        zerolog.Logger
}

// Run steps the controller until the context ends, then closes the mailbox. It owns the controller. A step is made
// when something is in the mailbox or a timer is due, and at least Tick after the one before: what happens
// meanwhile is one batch.
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
		case <-time.After(time.Duration(options.Tick) - time.Duration(options.Clock.Now()-now)):
		}
	}
}

// loop is the state of Run.
type loop struct {
	Options
	batch           Batch // its memory is reused from step to step
	lastEstimateLog fleet.Time
}

// step takes the mailbox's content and steps the controller.
func (l *loop) step(now fleet.Time) Effects {
	l.Mailbox.Take(&l.batch)
	effects := l.Controller.Step(now, l.batch)
	l.logMessages(now, l.batch.Messages)
	l.batch.reset()
	return effects
}

// perform carries out the effects of a step.
func (l *loop) perform(effects Effects) {
	for _, proxy := range effects.ProxiesLeft {
		l.Relay.ProxyLeft(proxy)
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

func (l *loop) untilNextTimer(effects Effects) time.Duration {
	if effects.NextTimer <= 0 {
		return maxIdleInterval
	}
	return max(0, time.Duration(effects.NextTimer-l.Clock.Now()))
}
