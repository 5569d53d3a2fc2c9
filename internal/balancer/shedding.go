package balancer

import (
	"fmt"
	"math"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// minSheddingUtilization is the utilization that all requests would cause, above which load is shed.
	minSheddingUtilization = 1.0
	// sheddingDelayRounds is the number of consecutive estimates above minSheddingUtilization before load is shed, which
	// leaves time to replace drained servers.
	sheddingDelayRounds = 6
	// maxRestoredUtilization is the highest utilization at which shedding ends, early if servers were added.
	maxRestoredUtilization = 0.9
	// sheddingDuration is the shortest time for which load is shed, unless servers are added.
	sheddingDuration = 16 * fleet.Second
	// sheddingRenewalPeriod is the time after the end of shedding in which it may start again without delay.
	sheddingRenewalPeriod = balanceInterval
	// maxRecentlyAddedFraction is the recently added fraction of the fleet above which measurements of load lag too far
	// behind to shed load.
	maxRecentlyAddedFraction = 0.25
	// maxProtectedFraction is the largest fraction of the servers that is reserved for the protected classes.
	maxProtectedFraction = 0.9
)

// sheddingState is the state of load shedding, which restricts low-priority classes to some of the servers.
type sheddingState struct {
	overloadedRounds int        // consecutive rounds of estimates with too much load
	activeUntil      fleet.Time // end of the present or last shedding; 0: none, or it ended early
	load             float64    // utilization of a single fully warm server that all requests would cause
}

// updateShedding starts, continues or ends load shedding, the last resort on sites that cannot limit admission: the
// classes of the lowest value are restricted to a few servers, so that the others are handled in time. The load is the
// utilization that all requests would cause; the capacity is a number of fully warm servers.
func (b *Balancer) updateShedding(load, capacity float64) {
	if b.site.Admission != fleet.AdmissionUnlimited {
		return
	}
	if b.now < b.shedding.activeUntil {
		// While classes are restricted the measured load is too low, so the load at the start of shedding is used with
		// the present capacity, which includes added servers.
		load = b.shedding.load / capacity
		if load > maxRestoredUtilization {
			return
		}
		b.shedding.activeUntil = 0
	}
	b.countOverload(load)
	overloaded := b.shedding.overloadedRounds >= sheddingDelayRounds ||
		load > maxRestoredUtilization && b.now < b.shedding.activeUntil+sheddingRenewalPeriod
	lowPriorityServers := b.restrictClasses(overloaded, load, capacity)
	b.reserveLowPriorityServers(lowPriorityServers)
}

// countOverload counts the consecutive estimates with too much load. It resets the count while many servers or proxies
// are recently added, as the measurements lag behind then.
func (b *Balancer) countOverload(load float64) {
	b.shedding.overloadedRounds++
	lagging := b.schedule.observing || b.estimates.recentlyAddedFraction > maxRecentlyAddedFraction
	if lagging || min(load, b.estimates.meanUtilization) < minSheddingUtilization {
		b.shedding.overloadedRounds = 0
	}
}

// restrictClasses decides for each class, in descending order of value, whether it is protected. Protected classes get
// the fraction of the servers that they need. The other classes share the rest; it returns the number of servers in
// the rest.
func (b *Balancer) restrictClasses(overloaded bool, load, capacity float64) int {
	totalWork := 0.0
	for i := range b.classes {
		totalWork += b.classes[i].demand * b.classes[i].workPerRequest
	}
	serverCount := float64(len(b.endpoints.ready))
	lowPriorityServers := 0
	protectedFraction := 0.0
	protects := overloaded
	for rank, i := range slices.Backward(b.admission.classesByValue) {
		class := &b.classes[i]
		needed := class.demand * class.workPerRequest / totalWork * load / maxTargetUtilization
		fits := protectedFraction == 0 || protectedFraction+needed < maxProtectedFraction
		protects = protects && rank > 0 && fits
		if protects {
			protectedFraction = min(protectedFraction+needed, maxProtectedFraction)
		}
		if class.tableGroup >= firstZoneLocalGroup {
			continue
		}
		class.tableGroup = sharedGroup
		if !protects && protectedFraction > 0 {
			class.tableGroup = lowPriorityGroup
			lowPriorityServers = int(serverCount - math.Ceil(protectedFraction*serverCount))
			b.startShedding(i, load, capacity, lowPriorityServers)
		}
	}
	return lowPriorityServers
}

// startShedding records and logs that a class is restricted to a number of servers.
func (b *Balancer) startShedding(class int, load, capacity float64, serverCount int) {
	b.shedding.activeUntil = b.now + sheddingDuration
	b.shedding.load = load * capacity
	b.emit(fleet.LogMessage{Text: fmt.Sprintf(
		"class %d restricted by load shedding: demand is %.2f times the capacity of %.1f warm servers, "+
			"mean utilization %.2f, servers left to low-priority classes: %d",
		class, load, capacity, b.estimates.meanUtilization, serverCount)})
}

// reserveLowPriorityServers reserves the first count warm servers for the restricted classes and releases the others.
func (b *Balancer) reserveLowPriorityServers(count int) {
	for _, server := range b.endpoints.ready {
		server.lowPriorityOnly = count > 0 && !b.warmingUp(server)
		if server.lowPriorityOnly {
			count--
		}
	}
}
