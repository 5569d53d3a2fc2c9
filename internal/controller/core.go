// Package controller implements the control loop of `cressknot serve`. A Core holds all decision state of one
// controller and does no I/O. A Loop is the goroutine that owns the Core: it collects inputs from transports, endpoint
// sources, timers and sockets, passes them to Core.Step, and executes the returned Output. Queries from operators and
// from the client service run on the loop's goroutine.
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

// maxStepInterval is the longest time between two steps, so that periodic sweeps and the barriers of slow proxies are
// handled in time.
const maxStepInterval = fleet.Second / 4

// FaultUnboundedSlowStart is the fault that removes the weight limit of servers in slow start.
const FaultUnboundedSlowStart = "cold-unbound"

// CoreOptions configures a Core.
type CoreOptions struct {
	Site    fleet.Site
	Seed    uint64 // of the balancer's random number generator
	Proxies []transport.Proxy
	Names   *ServerNames
	// SafetyChecks makes the controller check every message before it is sent.
	SafetyChecks bool
	// UsePushedLoads makes the load that servers push take precedence over the load in their answers.
	UsePushedLoads bool
	// Faults are injected for fault drills; the only one is FaultUnboundedSlowStart.
	Faults []string
}

// Core holds all decision state of a controller. It does no I/O and reads no clock. It is not safe for concurrent use:
// after the first Step only the goroutine that calls Step may access it.
type Core struct {
	site       fleet.Site
	names      *ServerNames
	balancer   *balancer.Balancer
	reconciler *reconcile.Reconciler
	pipeline   *ingest.Pipeline
	guard      *safety.Checker // observes events even if safety checks are disabled
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
	epoch        uint64     // of table versions; 0 until one has begun
}

// proxyState is the core's own state of the proxies; the reconciler holds the rest.
type proxyState struct {
	configured  map[fleet.ProxyID]transport.Proxy
	streams     map[fleet.ProxyID]uint64 // number of the stream of each connected proxy
	unreachable map[fleet.ProxyID]string // the last reason logged
}

// publication is the state, apart from tables, that clients of the service are notified of.
type publication struct {
	zones   []service.Zone // the zones whose clients query the service
	changed bool           // since the state was published last
}

// eventQueue collects the events for the balancer's next step.
type eventQueue struct {
	current  []fleet.Event
	deferred []fleet.Event // for the step after the next
	steps    uint64        // balancer steps so far
}

// timer is a timer that the balancer has set.
type timer struct {
	at fleet.Time
	id fleet.TimerID
}

// Output lists the actions that the caller of a step must execute.
type Output struct {
	Messages       []reconcile.Message
	Drops          []fleet.ProxyID         // proxies whose stream must be closed
	Polls          []fleet.ProxyID         // proxies whose counters must be read
	Probes         []fleet.ServerID        // servers to probe for health and load
	Verifications  []fleet.ServerID        // servers of a cached list whose existence must be verified
	WatchEndpoints *bool                   // turns watching of the endpoint source on or off; nil for no change
	FetchEndpoints bool                    // requests the endpoint list from its source
	TrustChanges   []fleet.ServerID        // sources of pushed reports whose trust has changed
	Gossip         *gossip.Message         // for other controllers; nil for none
	PublishedState *service.PublishedState // for clients of the service; nil if unchanged
	Persist        []store.Change
	Log            []LogEntry
	// Endpoints is a full list to cache, which its source confirmed at EndpointsConfirmedAt; nil for none.
	Endpoints            *discovery.EndpointList
	EndpointsConfirmedAt fleet.Time
	// NextStep is the latest time at which Step must be called again.
	NextStep fleet.Time
	// The balancer's inputs and orders for the event log, if it took a step. Valid until the next call of Step.
	BalancerStepped bool
	Events          []fleet.Event
	Orders          []fleet.Order
}

// NewCore returns a Core without endpoints, proxies or tables. Restore, EnableGossip and SetClientZones, where used,
// are called before the first Step.
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
	if o.UsePushedLoads {
		c.pipeline.UsePushedLoads()
	}
	return c
}

// Epoch returns the epoch of table versions, 0 until one has begun.
func (c *Core) Epoch() uint64 { return c.epoch }

// BeginEpoch begins the epoch of table versions. It has no effect if one has begun, for example in Restore.
func (c *Core) BeginEpoch(epoch uint64) {
	if c.epoch == 0 {
		c.setEpoch(epoch)
	}
}

// SetClientZones sets the zones whose clients query the service.
func (c *Core) SetClientZones(zones []service.Zone) { c.published.zones = zones }

// ProxyViews returns the state of the connected proxies, as operators see it.
func (c *Core) ProxyViews() []reconcile.ProxyView { return c.reconciler.Proxies() }

func (c *Core) setEpoch(epoch uint64) {
	c.epoch = epoch
	c.reconciler.SetEpoch(epoch, c.serverName)
}

// maxEpoch bounds the epochs that are accepted from proxies. Epochs are Unix times in nanoseconds, and this one lies in
// the year 2116: a proxy that reports a later epoch has been changed by hand.
const maxEpoch = 1 << 62

// raiseEpoch begins a new epoch if a proxy that this controller takes over holds versions of a later epoch. This
// happens if the proxy was served by a controller that started later; versions at a proxy must never go back.
func (c *Core) raiseEpoch(now fleet.Time, latest uint64, out *Output) {
	if latest <= c.epoch || latest >= maxEpoch {
		return
	}
	c.epoch = latest + 1
	// The reason is persisted with the new versions.
	c.reconciler.RaiseEpoch(now, c.epoch, "a proxy holds versions of a later governor")
	if c.persister.enabled {
		out.Persist = append(out.Persist, store.Change{Key: EpochKey, Value: persistedEpoch{c.epoch, now}})
	}
}

// Step handles the inputs that have arrived since the last step and returns the actions to execute. It must be called
// again at Output.NextStep, or earlier if there are further inputs.
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

// nextStep returns the time of the next step: the earliest due time, at most maxStepInterval from now. A due time of 0
// means never.
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

// Drain returns the messages that may be sent now, without taking any further decision, and when to call it again. Idle
// reports that no change waits and no message is in flight.
func (c *Core) Drain(now fleet.Time, inputs []Input) (messages []reconcile.Message, next fleet.Time, idle bool) {
	var out Output
	c.events.current = c.events.current[:0]
	for _, in := range inputs {
		c.handle(now, in, &out)
	}
	messages, _, _, next = c.reconciler.NextMessages(now)
	return messages, cmp.Or(next, now+maxStepInterval), c.reconciler.Idle()
}

// reconcile collects from the reconciler the messages that may be sent now and the events that result from answers.
func (c *Core) reconcile(now fleet.Time, out *Output) (due fleet.Time) {
	messages, events, drops, due := c.reconciler.NextMessages(now)
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

// collectReports adds the load reports that are now due to the events of the balancer, and passes the outcomes in the
// reports to gossip and to the verifier.
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

// fireTimers turns expired timers into events.
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

// balancerDue reports whether the balancer has events to handle. Its first step waits for the endpoint list, unless the
// list is only sent on request.
func (c *Core) balancerDue() bool {
	return len(c.events.current) > 0 || c.events.steps == 0 && c.site.ListOnRequest
}

// stepBalancer runs one step of the balancer and applies its orders.
func (c *Core) stepBalancer(now fleet.Time, out *Output) (reconcileDue fleet.Time) {
	for _, event := range c.events.current {
		// distributeEndpoints has already passed the endpoint lists to the safety checker.
		if _, isList := event.(fleet.EndpointList); !isList {
			c.guard.Observe(now, event)
		}
	}
	orders := c.balancer.Step(now, c.events.current)
	c.events.steps++
	out.BalancerStepped = true
	out.Events = c.events.current
	out.Orders = orders
	c.applyOrders(now, orders, out)
	messages, events, drops, due := c.reconciler.NextMessages(now)
	out.Messages = append(out.Messages, messages...)
	out.Drops = append(out.Drops, drops...)
	for _, event := range events { // completed without a message, as nothing had to be sent
		c.handleProxyLeft(event)
		c.events.deferred = append(c.events.deferred, event)
	}
	return due
}

// persistStep adds the changes of the step to the state that must survive a restart.
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

// publishState outputs the state for clients of the service, apart from tables, if it has changed.
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

// serverName returns the name of a server, "" for an unknown id.
func (c *Core) serverName(id fleet.ServerID) string {
	name, _ := c.names.Lookup(id)
	return name
}

// warmingUp reports whether a server is in its slow start.
func (c *Core) warmingUp(now fleet.Time, id fleet.ServerID) bool {
	e := c.endpoints.listed[id]
	return e.Started > 0 && now < e.Started+c.site.SlowStart.Duration
}
