// Package balancer decides which servers the proxies of a fleet send their requests to.
//
// A Balancer is a pure state machine. Its host turns all that happens into events and calls Step with each batch of
// them; Step returns the orders to carry out. The package reads no clock, file or network and starts no goroutine:
// the same seed, times and events give the same orders, so a recorded run can be replayed. Site, events and orders
// are defined in package fleet.
//
// Step proceeds in this order: it takes in the events, derives the state of the fleet, estimates demand and capacity,
// sets admission, ejects outliers and balances the weights, works out the wanted tables, and orders what differs from
// the tables that proxies have, as far as the update channel has capacity.
package balancer

import "cressknot/internal/fleet"

const (
	// balanceInterval is the shortest interval of measurement in the design. Weights change once per interval.
	balanceInterval = 2 * fleet.Second
	// estimateInterval is the time between two estimates. Admission follows demand at the pace of load reports.
	estimateInterval = balanceInterval / 2
	// timerInterval is the time between two timers that wake the balancer where no events come.
	timerInterval = fleet.Second / 4
	// maxObservationDuration bounds the wait for measurements before the first tables are laid out.
	maxObservationDuration = 2 * balanceInterval
	// unservedDivisor ends the observation in half the time that a proxy may be without endpoints.
	unservedDivisor = 2
	// epsilon replaces a zero divisor: sums of rates, weights, seconds and capacities are at least this.
	epsilon = 1e-9
)

// Balancer decides for the proxies that are joined to one controller. It is not safe for concurrent use: the host
// calls its methods from one goroutine.
type Balancer struct {
	site      fleet.Site
	random    randomGenerator
	layout    tableLayout
	classes   []requestClass // by ClassID
	tables    []weightTable  // by TableID
	endpoints endpointState
	proxies   proxyRegistry
	estimates fleetEstimates
	admission admissionState
	shedding  sheddingState
	channel   updateChannel
	schedule  schedule
	now       fleet.Time    // time of the present step
	orders    []fleet.Order // of the present step
}

// schedule says when the periodic parts of a step are due.
type schedule struct {
	startedAt   fleet.Time // first step; negative: none yet
	balancedAt  fleet.Time // last end of a balance interval
	estimatedAt fleet.Time // last estimates
	timerDueAt  fleet.Time // when the next timer is due
	intervalDue bool       // a balance interval ends in this step
	observing   bool       // the first tables are not laid out yet
}

// New returns a balancer for a site. The seed varies the times at which controllers ask for the endpoint list.
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

// Step takes in the events up to now and returns the orders to carry out, in this order. The returned slice is valid
// until the next call of Step. Times must not decrease from step to step.
func (b *Balancer) Step(now fleet.Time, events []fleet.Event) []fleet.Order {
	b.now = now
	b.orders = b.orders[:0]
	if b.schedule.startedAt < 0 {
		b.start()
	}
	for _, event := range events {
		b.observe(event)
	}

	observationEnds := b.observationEnds()
	b.schedule.intervalDue = now >= b.schedule.balancedAt+balanceInterval || observationEnds
	estimatesDue := b.schedule.intervalDue || now >= b.schedule.estimatedAt+estimateInterval
	if !estimatesDue && now < b.schedule.timerDueAt {
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
		b.forgetGoneServers()
	}

	b.updateFleet()
	b.updateWantedWeights()
	b.emitOrders()
	return b.orders
}

// start sets the times that count from the first step.
func (b *Balancer) start() {
	b.schedule.startedAt = b.now
	b.schedule.balancedAt = b.now
	b.channel.deliveredAt = b.now
	b.channel.broadcastAt = b.now - balanceInterval
	if b.site.ListOnRequest {
		b.endpoints.nextRequestAt = b.now
	}
}

// observationEnds reports whether the first tables are to be laid out in this step.
func (b *Balancer) observationEnds() bool {
	if !b.schedule.observing {
		return false
	}
	if b.now >= b.schedule.startedAt+b.observationDuration() {
		return true
	}
	return b.estimates.medianCapacity > 0 && b.now >= b.schedule.startedAt+balanceInterval
}

// observationDuration returns how long the balancer waits for measurements at most.
func (b *Balancer) observationDuration() fleet.Time {
	tableEntries := float64(len(b.proxies.all) * len(b.endpoints.all))
	if !b.proxies.inheritedTables && tableEntries > balanceInterval.Seconds()*b.site.EntriesPerSecond {
		// Tables that take longer than an interval to send are expensive to correct.
		return maxObservationDuration
	}
	// Inherited tables may consist of withdrawn servers only, so they are replaced well before that breaks a limit.
	return min(maxObservationDuration, b.site.MaxUnservedDuration/unservedDivisor)
}

// mayRebalance reports whether a balance interval ends and outcomes were reported in it. Without any, weights stay.
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

// emit adds an order to those of the present step.
func (b *Balancer) emit(order fleet.Order) { b.orders = append(b.orders, order) }

// emitTimer sets the next timer if none is pending.
func (b *Balancer) emitTimer() {
	if b.schedule.timerDueAt > b.now {
		return
	}
	b.schedule.timerDueAt = b.now + timerInterval
	b.emit(fleet.SetTimer{Delay: timerInterval})
}

// emitOrders orders timers, lists and health checks, and sends the proxies what changed.
func (b *Balancer) emitOrders() {
	b.channel.advance(b.now, &b.site)
	b.emitTimer()
	b.emitListRequest()
	b.emitProbes()
	if b.site.SliceCount > 0 {
		return // on such sites tables belong to slices, which this package does not decide about
	}
	entriesBefore := b.channel.entriesSent
	if b.now >= b.channel.broadcastAt+b.broadcastInterval() {
		b.publish()
	}
	reached := b.assignProxies()
	if b.channel.broadcastAt == b.now {
		reached = len(b.proxies.all)
	}
	if b.channel.entriesSent > entriesBefore {
		b.emit(b.channel.addBarrier(entriesBefore, reached))
	}
}
