// Package controller is the control loop of `cressknot serve`. A Core holds all decision state of one controller and
// does no I/O; a Loop is the goroutine that owns it: it gathers what transports, endpoint sources, timers and sockets
// deliver, calls Core.Step with that, and carries out the Output. Operators and the service for clients put their
// questions to the loop's goroutine.
package controller

import (
	"cmp"
	"slices"

	"cressknot/internal/balancer"
	"cressknot/internal/discovery"
	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
	"cressknot/internal/gossip"
	"cressknot/internal/ingest"
	"cressknot/internal/reconcile"
	"cressknot/internal/safety"
	"cressknot/internal/service"
	"cressknot/internal/store"
	"cressknot/internal/transport"
)

// maxStepInterval is the longest time without a step, so that sweeps and barriers of slow proxies are not late.
const maxStepInterval = fleet.Second / 4

// FaultUnboundedSlowStart takes the limit off the weights of servers that are warming up.
const FaultUnboundedSlowStart = "cold-unbound"

// CoreOptions are what a Core is made of.
type CoreOptions struct {
	Site    fleet.Site
	Seed    uint64 // of the balancer's random choices
	Proxies []transport.Proxy
	Names   *Names
	// SafetyChecks has every message judged before it leaves.
	SafetyChecks bool
	// PushedLoads takes load figures from what servers push.
	PushedLoads bool
	// Faults break the controller on purpose, for fault drills: FaultUnboundedSlowStart.
	Faults []string
}

// Core holds all decision state of a controller. Only the goroutine that calls Step may touch it; it does no I/O and
// reads no clock.
type Core struct {
	site       fleet.Site
	names      *Names
	balancer   *balancer.Balancer
	reconciler *reconcile.Reconciler
	pipeline   *ingest.Pipeline
	guard      *safety.Checker // observes events even where safety checks are off
	endpoints  endpointState
	proxies    proxyState
	gossip     gossipState
	published  publication
	persister  persister
	overrides  overrideConfirmations
	history    history
	events     eventQueue
	timers     []timer
	faults     map[string]bool

	safetyChecks bool
	startedAt    fleet.Time // negative before the first step
	epoch        uint64     // of table versions; 0 before one has begun
}

// proxyState is what the core knows of the proxies beside the reconciler.
type proxyState struct {
	configured  map[fleet.ProxyID]transport.Proxy
	streams     map[fleet.ProxyID]uint64 // number of the stream of each connected proxy
	unreachable map[fleet.ProxyID]string // the last logged reason
}

// publication is what the service's clients are notified of beside tables.
type publication struct {
	zones   []service.Zone // whose programs ask the service
	changed bool
}

// eventQueue gathers the events of the balancer's next step.
type eventQueue struct {
	current  []fleet.Event
	deferred []fleet.Event // for the step after
	steps    uint64        // of the balancer so far
}

// timer is one that the balancer has set.
type timer struct {
	at fleet.Time
	id fleet.TimerID
}

// Output is what a step wants done.
type Output struct {
	Messages       []reconcile.Message
	Drops          []fleet.ProxyID // streams to break
	Polls          []fleet.ProxyID // proxies whose counters are to be read
	Probes         []fleet.ServerID
	Verifications  []fleet.ServerID // servers of a cached list that are to be asked whether they are there
	WatchEndpoints *bool            // whether the endpoint source is to be watched; nil for no change
	FetchEndpoints bool
	TrustChanges   []fleet.ServerID        // sources of pushed reports whose trust has changed
	Gossip         *gossip.Message         // for other controllers
	PublishedState *service.PublishedState // for clients of the service, where it has changed
	Persist        []store.Change
	Log            []LogEntry
	// Endpoints is a full list to cache, which its source confirmed at EndpointsConfirmedAt; nil for none.
	Endpoints            *discovery.EndpointList
	EndpointsConfirmedAt fleet.Time
	// NextStep is when Step is to be called again at the latest.
	NextStep fleet.Time
	// What the balancer was given and ordered, for the event log; valid until the next step.
	BalancerStepped bool
	Events          []fleet.Event
	Orders          []fleet.Order
}

// NewCore makes the decision state of a controller.
func NewCore(o CoreOptions) *Core {
	c := &Core{
		site:       o.Site,
		names:      o.Names,
		balancer:   balancer.New(o.Site, o.Seed),
		reconciler: reconcile.New(o.Site),
		pipeline:   ingest.New(o.Site),
		guard:      safety.New(o.Site),
		endpoints:  newEndpointState(o.Site),
		proxies: proxyState{
			configured:  map[fleet.ProxyID]transport.Proxy{},
			streams:     map[fleet.ProxyID]uint64{},
			unreachable: map[fleet.ProxyID]string{},
		},
		persister:    newPersister(),
		overrides:    newOverrideConfirmations(),
		faults:       map[string]bool{},
		safetyChecks: o.SafetyChecks,
		startedAt:    -1,
	}
	for _, p := range o.Proxies {
		c.proxies.configured[p.ID] = p
	}
	for _, fault := range o.Faults {
		c.faults[fault] = true
	}
	if o.SafetyChecks {
		c.reconciler.UseSafetyCheck(c.guard)
	}
	if o.PushedLoads {
		c.pipeline.PushedLoads()
	}
	return c
}

// Epoch gives the epoch of table versions; 0 before it has begun.
func (c *Core) Epoch() uint64 { return c.epoch }

// BeginEpoch begins the epoch of table versions unless Restore has begun one.
func (c *Core) BeginEpoch(epoch uint64) {
	if c.epoch == 0 {
		c.setEpoch(epoch)
	}
}

// ServeZones sets the zones that have programs that ask the service.
func (c *Core) ServeZones(zones []service.Zone) { c.published.zones = zones }

// ProxyViews gives what operators see of the proxies that are connected.
func (c *Core) ProxyViews() []reconcile.ProxyView { return c.reconciler.Proxies() }

func (c *Core) setEpoch(epoch uint64) {
	c.epoch = epoch
	c.reconciler.SetEpoch(epoch, c.serverName)
}

// maxEpoch bounds the epochs that are taken over from proxies. No clock shows it in a hundred years: a proxy that
// reports a later one has been changed by hand.
const maxEpoch = 1 << 62

// raiseEpoch begins a new epoch where a proxy that is taken over holds versions of a later one: versions at a proxy
// never go back, though a controller that started earlier serves it now.
func (c *Core) raiseEpoch(now fleet.Time, latest uint64, out *Output) {
	if latest <= c.epoch || latest >= maxEpoch {
		return
	}
	c.epoch = latest + 1
	c.reconciler.RaiseEpoch(now, c.epoch, "a proxy holds versions of a later governor")
	if c.persister.enabled {
		out.Persist = append(out.Persist, store.Change{Key: EpochKey, Value: persistedEpoch{c.epoch, now}})
	}
}

// Step handles the inputs that have arrived and returns what is to be done now. It must be called again at
// Output.NextStep, or earlier with further inputs.
func (c *Core) Step(now fleet.Time, inputs []Input) Output {
	if c.startedAt < 0 {
		c.startedAt = now
		c.BeginEpoch(uint64(now))
	}
	var out Output
	c.events.current = c.events.current[:0]
	for _, in := range inputs {
		c.handle(now, in, &out)
	}
	gateDue := c.releaseHeldList(now, &out)
	verificationDue := c.verifyEndpoints(now, &out)
	c.exchangeGossip(now, &out)
	reconcileDue := c.reconcile(now, &out)
	reportsDue := c.collectReports(now)
	c.fireTimers(now)
	if c.balancerDue() {
		reconcileDue = c.stepBalancer(now, &out)
	}
	c.logReconcilerNotices(now, &out)
	c.logIngestNotices(now, &out)
	c.publishState(&out)
	polls, pollsDue := c.pipeline.Polls(now)
	out.Polls = polls
	out.NextStep = c.nextStep(now, reconcileDue, reportsDue, pollsDue, gateDue, verificationDue)
	c.persistStep(&out)
	return out
}

// nextStep gives the earliest of the times at which something is due; 0 means never.
func (c *Core) nextStep(now fleet.Time, due ...fleet.Time) fleet.Time {
	if len(c.events.deferred) > 0 {
		return now
	}
	next := now + maxStepInterval
	for _, at := range due {
		if at > 0 {
			next = min(next, at)
		}
	}
	for _, t := range c.timers {
		next = min(next, t.at)
	}
	return next
}

// Drain lets messages in hand leave, without any further decision; idle means that nothing is left.
func (c *Core) Drain(now fleet.Time, inputs []Input) (messages []reconcile.Message, next fleet.Time, idle bool) {
	var out Output
	c.events.current = c.events.current[:0]
	for _, in := range inputs {
		c.handle(now, in, &out)
	}
	messages, _, _, next = c.reconciler.Next(now)
	return messages, cmp.Or(next, now+maxStepInterval), c.reconciler.Idle()
}

// reconcile takes the messages that may leave now, and the events that follow from answers, from the reconciler.
func (c *Core) reconcile(now fleet.Time, out *Output) (due fleet.Time) {
	messages, events, drops, due := c.reconciler.Next(now)
	out.Messages = messages
	out.Drops = drops
	c.events.current = append(c.events.current, c.events.deferred...)
	c.events.deferred = c.events.deferred[:0]
	for _, event := range events {
		c.handleProxyLeft(event)
		c.events.current = append(c.events.current, event)
	}
	return due
}

func (c *Core) handleProxyLeft(event fleet.Event) {
	if left, ok := event.(fleet.ProxyLeft); ok {
		c.pipeline.Leave(left.Proxy)
	}
}

// collectReports takes the load reports that are due as events, and has those who judge servers observe them.
func (c *Core) collectReports(now fleet.Time) (due fleet.Time) {
	reports, due := c.pipeline.Reports(now)
	c.events.current = append(c.events.current, reports...)
	for _, event := range reports {
		report, ok := event.(fleet.OutcomeReport)
		if !ok {
			continue
		}
		c.observeOutcomeForGossip(now, report)
		successes := float64(report.Attempts) - float64(report.Failures)
		c.endpoints.verifier.RequestsFinished(now, report.Server, successes, float64(report.Failures))
	}
	return due
}

// fireTimers turns timers that have come due into events.
func (c *Core) fireTimers(now fleet.Time) {
	pending := c.timers[:0]
	for _, t := range c.timers {
		if t.at <= now {
			c.events.current = append(c.events.current, fleet.TimerFired{ID: t.id})
		} else {
			pending = append(pending, t)
		}
	}
	c.timers = pending
}

// balancerDue reports whether the balancer has anything to decide on. Its first step waits for the endpoint list,
// unless the list comes only on request.
func (c *Core) balancerDue() bool {
	return len(c.events.current) > 0 || c.events.steps == 0 && c.site.ListOnRequest
}

// stepBalancer lets the balancer decide and hands its orders on.
func (c *Core) stepBalancer(now fleet.Time, out *Output) (reconcileDue fleet.Time) {
	for _, event := range c.events.current {
		if _, isList := event.(fleet.EndpointList); !isList { // distributeEndpoints has shown the guard those already
			c.guard.Observe(now, event)
		}
	}
	orders := c.balancer.Step(now, c.events.current)
	c.events.steps++
	out.BalancerStepped = true
	out.Events = c.events.current
	out.Orders = orders
	c.applyOrders(now, orders, out)
	messages, events, drops, due := c.reconciler.Next(now)
	out.Messages = append(out.Messages, messages...)
	out.Drops = append(out.Drops, drops...)
	for _, event := range events { // answered at once, as nothing had to be sent
		c.handleProxyLeft(event)
		c.events.deferred = append(c.events.deferred, event)
	}
	return due
}

// persistStep gives what the step has changed of the state that must survive a restart.
func (c *Core) persistStep(out *Output) {
	e := &c.endpoints
	if out.Endpoints == nil && e.live && e.confirmedAt >= e.cachedAt+verification.ConfirmInterval {
		out.Endpoints = e.list()
	}
	if out.Endpoints != nil {
		out.EndpointsConfirmedAt = e.confirmedAt
		e.cachedAt = e.confirmedAt
		out.Persist = append(out.Persist, c.persistEndpoints(out.EndpointsConfirmedAt, out.Endpoints)...)
	}
	out.Persist = append(out.Persist, c.persistChanges()...)
}

// publishState gives clients of the service the state beside tables, where that has changed.
func (c *Core) publishState(out *Output) {
	if !c.published.changed {
		return
	}
	c.published.changed = false
	state := service.PublishedState{ListRevision: c.endpoints.revision, Live: c.endpoints.live, OpenServers: []string{}}
	for id, e := range c.endpoints.listed {
		if e.State == fleet.ServerReady && !c.reconciler.Withdrawn(id) {
			state.OpenServers = append(state.OpenServers, c.serverName(id))
		}
	}
	slices.Sort(state.OpenServers)
	out.PublishedState = &state
}

// serverName gives the name of a server.
func (c *Core) serverName(id fleet.ServerID) string {
	name, _ := c.names.Lookup(id)
	return name
}

// warmingUp reports whether a server is in its slow start.
func (c *Core) warmingUp(now fleet.Time, id fleet.ServerID) bool {
	e := c.endpoints.listed[id]
	return e.Started > 0 && now < e.Started+c.site.SlowStart.Duration
}
