package balancer

import (
	"cmp"
	"math"
)

const (
	// lastResortHealthFactor is the lowest health factor where a table would be without warm servers otherwise.
	lastResortHealthFactor = 0.25
	// warmingLoadFraction is the part of its present capacity that a server in slow start is sent.
	warmingLoadFraction = 0.8
	// unsharedOverloadFraction is the part of the stated overload limit that servers in slow start are sent where there
	// are no others.
	unsharedOverloadFraction = 0.5
	// maxAllFailedProbability is the probability of consecutive failures that make a proxy avoid a server, at which
	// servers in slow start get no requests.
	maxAllFailedProbability = 0.1
	// proxiesNeverAvoid is the number of consecutive failures on sites whose proxies never avoid a server.
	proxiesNeverAvoid = 1e6
)

// updateWantedWeights works out the weights that each table should have.
func (b *Balancer) updateWantedWeights() {
	for t := range b.tables {
		b.setWantedWeights(t, false)
		if b.tables[t].wantedWarmWeight == 0 {
			b.setWantedWeights(t, true)
		}
	}
	b.limitWarmingServers()
}

// setWantedWeights sets the wanted weights of a table from the balanced weights and from health. As a last resort, so
// that no proxy is without endpoints, ejected servers and those reserved for other classes take part.
func (b *Balancer) setWantedWeights(index int, lastResort bool) {
	table := &b.tables[index]
	minHealthFactor := 0.0
	if lastResort {
		minHealthFactor = lastResortHealthFactor
	}
	isNeeded := table.proxyCount > 0 || table.classes != 0
	table.wantedWeight = 0
	for _, server := range b.endpoints.all {
		server.wantedWeight[index] = 0
		mayUse := lastResort || isReservedFor(server, table)
		if isNeeded && mayUse && b.mayServe(server, table) {
			server.wantedWeight[index] = server.weight[index] * max(server.healthFactor, minHealthFactor)
		}
		table.wantedWeight += server.wantedWeight[index]
		if !b.warmingUp(server) {
			table.wantedWarmWeight += server.wantedWeight[index]
		}
	}
}

// isReservedFor reports whether load shedding leaves a server to the classes of a table. Zone-local classes use all.
func isReservedFor(server *serverState, table *weightTable) bool {
	if table.group >= firstZoneLocalGroup {
		return true
	}
	return server.lowPriorityOnly == (table.group == lowPriorityGroup)
}

// limitWarmingServers limits the wanted weights of servers in slow start to what they can surely handle.
func (b *Balancer) limitWarmingServers() {
	if b.estimates.medianCapacity == 0 {
		return
	}
	crowding := b.crowdingFactor()
	for _, server := range b.endpoints.ready {
		if b.warmingUp(server) {
			capacity := b.warmFraction(server) * b.estimates.lowCapacity * crowding
			b.limitWarmingServer(server, capacity)
		}
	}
}

// crowdingFactor reduces the load of servers in slow start where most attempts fail: the proxies avoid the failing
// servers then and crowd on the few that answer. At 0 such servers are out of the tables.
func (b *Balancer) crowdingFactor() float64 {
	consecutiveFailures := cmp.Or(float64(b.site.ProxyOutlierFailures), proxiesNeverAvoid)
	allFailed := math.Pow(b.estimates.failedFraction, consecutiveFailures)
	return max(0, 1-allFailed/maxAllFailedProbability)
}

// limitWarmingServer limits the wanted weights of a server to a capacity in requests per second.
func (b *Balancer) limitWarmingServer(server *serverState, capacity float64) {
	recovery := &b.site.RecoveryRamp
	load := epsilon
	for t := range b.tables {
		table := &b.tables[t]
		load += table.admittedRate * server.wantedWeight[t] / max(table.wantedWeight, epsilon)
	}
	for t := range b.tables {
		table := &b.tables[t]
		wanted := server.wantedWeight[t]
		if table.wantedWarmWeight > 0 {
			limit := wanted / table.wantedWeight * warmingLoadFraction * capacity / load * table.wantedWarmWeight
			server.wantedWeight[t] = min(wanted, limit)
		} else if load > capacity*recovery.OverloadFactor*unsharedOverloadFraction {
			server.wantedWeight[t] = 0
		}
	}
}
