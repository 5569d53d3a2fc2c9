package balancer

import (
	"fmt"
	"math"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// minSheddingUtilization is the utilization, asked of the fleet, past which load is shed.
	minSheddingUtilization = 1.0
	// sheddingDelayRounds is for how many rounds of estimates that lasts before: drained servers are replaced in that
	// time.
	sheddingDelayRounds = 6
	// maxRestoredUtilization is the utilization at which the load that is shed may be restored.
	maxRestoredUtilization = 0.9
	// sheddingDuration is how long load is shed at least, unless servers are added.
	sheddingDuration = 16 * fleet.Second
	// sheddingRenewalPeriod is the time after its end in which shedding is renewed without delay.
	sheddingRenewalPeriod = balanceInterval
	// maxRecentlyAddedFraction is the part of the fleet past which, when recently added, the load is not judged.
	maxRecentlyAddedFraction = 0.25
	// maxProtectedFraction is the part of the servers that the protected classes get at most.
	maxProtectedFraction = 0.9
)

// sheddingState is the state of load shedding, which restricts low-priority classes to a part of the servers.
type sheddingState struct {
	overloadedRounds int        // consecutive rounds of estimates with too much load
	activeUntil      fleet.Time // load is shed until then; 0: it is not
	load             float64    // utilization of a single fully warm server that all requests would cause
}

// updateShedding is the last resort on sites that cannot limit admission: the classes of the lowest value are
// restricted to a few servers, so that the others are handled in time. The load is the utilization that all requests
// would cause, the capacity is given in fully warm servers.
func (b *Balancer) updateShedding(load, capacity float64) {
	if b.site.Admission != fleet.AdmissionUnlimited {
		return
	}
	if b.now < b.shedding.activeUntil {
		// The classes that remain cause less work each, so the measured load says too little. Added servers do count.
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

// countOverload counts the consecutive rounds with too much load. Where many servers or proxies were just added, the
// measurements lag behind and say nothing.
func (b *Balancer) countOverload(load float64) {
	b.shedding.overloadedRounds++
	lagging := b.schedule.observing || b.estimates.recentlyAddedFraction > maxRecentlyAddedFraction
	if lagging || min(load, b.estimates.meanUtilization) < minSheddingUtilization {
		b.shedding.overloadedRounds = 0
	}
}

// restrictClasses decides for each class, starting from that of the highest value, whether it is protected. The
// protected ones get the part of the servers that they need, those after them share the rest, whose number is
// returned.
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

// startShedding notes and logs that a class is restricted.
func (b *Balancer) startShedding(class int, load, capacity float64, serverCount int) {
	b.shedding.activeUntil = b.now + sheddingDuration
	b.shedding.load = load * capacity
	b.emit(fleet.LogMessage{Text: fmt.Sprintf(
		"class %d restricted by load shedding: demand is %.2f times the capacity of %.1f warm servers, "+
			"mean utilization %.2f, low-priority servers: %d",
		class, load, capacity, b.estimates.meanUtilization, serverCount)})
}

// reserveLowPriorityServers reserves the first warm servers for the restricted classes, and releases all others.
func (b *Balancer) reserveLowPriorityServers(count int) {
	for _, server := range b.endpoints.ready {
		server.lowPriorityOnly = count > 0 && !b.warmingUp(server)
		if server.lowPriorityOnly {
			count--
		}
	}
}
