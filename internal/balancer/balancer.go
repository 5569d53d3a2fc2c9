// Package balancer decides which servers the proxies of a fleet send their requests to.
//
// A Balancer is a deterministic state machine. Its host converts all inputs to events and calls Step with each batch of
// them; Step returns the orders to carry out. The package reads no clock, file or network and starts no goroutine:
// the same seed, times and events give the same orders, so a recorded run can be replayed. Site, events and orders
// are defined in package fleet.
//
// Step proceeds in this order: it processes the events, derives the state of the fleet, estimates demand and capacity,
// sets admission, ejects outliers and balances the weights, computes the wanted tables, and emits orders for the
// differences from the tables that proxies have, as far as the update channel has capacity.
package balancer

import "cressknot/internal/fleet"

const (
	// balanceInterval is the shortest interval of measurement. Weights change once per interval, as specified by the
	// balancer's design, docs/design/decisions.md.
	balanceInterval = 2 * fleet.Second
	// estimateInterval is the time between two estimates of demand and capacity. It is close to the interval of load
	// reports, so that admission follows demand.
	estimateInterval = balanceInterval / 2
	// timerInterval is the time between two timer events. A timer event makes the balancer step without other events.
	timerInterval = fleet.Second / 4
	// maxObservationDuration is the longest wait for measurements before the first tables are assigned.
	maxObservationDuration = 2 * balanceInterval
	// unservedDurationDivisor limits the initial observation to half the time that a proxy may be without endpoints.
	unservedDurationDivisor = 2
	// epsilon replaces zero divisors: sums of rates, weights, seconds and capacities are at least this.
	epsilon = 1e-9
)

// Balancer decides the weight tables, assignments and admission limits of the proxies that are joined to one
// controller. It is not safe for concurrent use: the host calls its methods from one goroutine.
type Balancer struct {
	site         fleet.Site
	random       randomGenerator
	layout       tableLayout
	classes      []requestClass // by ClassID
	tables       []weightTable  // by TableID
	endpoints    endpointState
	listRequests listRequests
	zones        zonesState
	proxies      proxyRegistry
	estimates    fleetEstimates
	admission    admissionState
	shedding     sheddingState
	channel      updateChannel
	schedule     schedule
	now          fleet.Time    // time of the current step
	orders       []fleet.Order // emitted in the current step
}

// schedule holds when the periodic parts of a step ran last or are due.
type schedule struct {
	startedAt   fleet.Time // first step; negative: none yet
	balancedAt  fleet.Time // last end of a balance interval
	estimatedAt fleet.Time // last estimates
	timerDueAt  fleet.Time // when the next timer fires
	intervalDue bool       // a balance interval ends in this step
	observing   bool       // the initial observation has not ended: only proxies that may overload servers get tables
}

// New returns a balancer for a site. The seed determines the jitter of endpoint list requests after failed ones.
func New(site fleet.Site, seed uint64) *Balancer {
	b := &Balancer{
		site:      site,
		random:    newRandomGenerator(seed),
		layout:    newTableLayout(&site),
		classes:   newRequestClasses(&site),
		endpoints: newEndpointState(),
		proxies:   proxyRegistry{byID: map[fleet.ProxyID]*proxyState{}},
		estimates: newFleetEstimates(&site),
		channel:   updateChannel{pendingBarriers: map[fleet.BarrierID]*pendingBarrier{}},
		schedule:  schedule{startedAt: -1, observing: true},
	}
	b.tables = b.layout.newTables(len(site.Classes))
	b.admission.classesByValue = classesByValue(b.classes)
	return b
}

// Step processes the events up to now and returns the orders to carry out, in this order. The returned slice is valid
// until the next call of Step. Times must not decrease from step to step.
func (b *Balancer) Step(now fleet.Time, events []fleet.Event) []fleet.Order {
	b.now = now
	b.orders = b.orders[:0]
	if b.schedule.startedAt < 0 {
		b.start()
	}
	for _, event := range events {
		b.handleEvent(event)
	}

	observationEnds := b.observationEnds()
	b.schedule.intervalDue = now >= b.schedule.balancedAt+balanceInterval || observationEnds
	estimatesDue := b.schedule.intervalDue || now >= b.schedule.estimatedAt+estimateInterval
	if !estimatesDue && now < b.schedule.timerDueAt && !b.isListRequestDue() {
		return b.orders
	}

	b.updateFleet()
	if estimatesDue {
		b.schedule.estimatedAt = now
		b.updateEstimates()
		b.updateAdmission()
	}
	if observationEnds {
		b.schedule.observing = false
		b.setInitialWeights()
	} else if b.mayRebalance() {
		b.updateHealth()
		b.balanceWeights()
	}
	if b.schedule.intervalDue {
		b.schedule.balancedAt = now
		b.channel.nextChangesAt = now
		b.removeGoneServers()
	}

	b.updateFleet()
	b.updateWantedWeights()
	b.emitOrders()
	return b.orders
}

// start sets the times that are relative to the first step.
func (b *Balancer) start() {
	b.schedule.startedAt = b.now
	b.schedule.balancedAt = b.now
	b.channel.deliveredAt = b.now
	b.channel.broadcastAt = b.now - balanceInterval
	if b.site.ListOnRequest {
		b.listRequests.dueAt = b.now
	}
}

// observationEnds reports whether the initial observation ends in this step, so that the first tables are assigned.
func (b *Balancer) observationEnds() bool {
	if !b.schedule.observing {
		return false
	}
	if b.now >= b.schedule.startedAt+b.observationDuration() {
		return true
	}
	return b.estimates.medianCapacity > 0 && b.now >= b.schedule.startedAt+balanceInterval
}

// observationDuration returns the longest duration of the initial observation.
func (b *Balancer) observationDuration() fleet.Time {
	tableEntries := float64(len(b.proxies.all) * len(b.endpoints.all))
	if !b.proxies.inheritedTables && tableEntries > balanceInterval.Seconds()*b.site.EntriesPerSecond {
		// Sending the tables takes longer than an interval, so correcting them later is expensive.
		return maxObservationDuration
	}
	// Inherited tables may contain only withdrawn servers, so they are replaced well before a proxy exceeds the time
	// that it may be without endpoints.
	return min(maxObservationDuration, b.site.MaxUnservedDuration/unservedDurationDivisor)
}

// mayRebalance reports whether a balance interval ends in which outcomes were reported. Otherwise weights stay.
func (b *Balancer) mayRebalance() bool {
	return b.schedule.intervalDue && b.estimates.medianCapacity > 0 && b.estimates.latestOutcomeAt > b.schedule.balancedAt
}

// updateFleet derives the state of endpoints, tables and proxies that the decisions of a step share.
func (b *Balancer) updateFleet() {
	b.updateReadyServers()
	b.resetTables()
	b.updateProxies()
	b.updateRecentlyAdded()
	b.updateReportCycle()
	b.updateDemand()
}

// emit adds an order to those of the current step.
func (b *Balancer) emit(order fleet.Order) { b.orders = append(b.orders, order) }

// emitTimer sets the next timer if none is pending.
func (b *Balancer) emitTimer() {
	if b.schedule.timerDueAt > b.now {
		return
	}
	b.schedule.timerDueAt = b.now + timerInterval
	b.emit(fleet.SetTimer{Delay: timerInterval})
}

// emitOrders emits timers, endpoint list requests, health checks and the changes for proxies.
func (b *Balancer) emitOrders() {
	b.channel.advance(b.now, &b.site)
	b.emitTimer()
	b.emitListRequest()
	b.emitProbes()
	if b.site.SliceCount > 0 {
		return // the tables of such sites belong to slices, which this package does not manage
	}
	b.updateZones()
	entriesBefore := b.channel.entriesSent
	if b.now >= b.channel.broadcastAt+broadcastInterval(&b.site) {
		b.publish()
	}
	reached := b.assignProxies()
	if b.channel.broadcastAt == b.now {
		reached = len(b.proxies.all)
	}
	if b.channel.entriesSent > entriesBefore {
		b.emit(b.channel.addBarrier(b.now, entriesBefore, reached))
	}
}
