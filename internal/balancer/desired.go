package balancer

import (
	"cmp"
	"math"
)

const (
	// lastResortHealthFactor is the lowest health factor in tables that would have no warm server otherwise.
	lastResortHealthFactor = 0.25
	// warmingLoadFraction is the fraction of its current capacity up to which a server in slow start is loaded.
	warmingLoadFraction = 0.8
	// unsharedOverloadFraction is the fraction of the configured overload limit up to which servers in slow start are
	// loaded in tables without warm servers.
	unsharedOverloadFraction = 0.5
	// maxAllFailedProbability is the probability of a run of failures that makes a proxy avoid a server, at which servers
	// in slow start get no requests.
	maxAllFailedProbability = 0.1
	// unlimitedFailures replaces the number of consecutive failures on sites whose proxies never avoid a server.
	unlimitedFailures = 1e6
)

// updateWantedWeights computes the weights that each table should have.
func (b *Balancer) updateWantedWeights() {
	for t := range b.tables {
		b.setWantedWeights(t, false)
		if b.tables[t].wantedWarmWeight == 0 {
			b.setWantedWeights(t, true)
		}
	}
	b.limitWarmingServers()
}

// setWantedWeights sets the wanted weights of a table from the balanced weights and the health factors. As a last
// resort, so that no proxy is without endpoints, it includes ejected servers and those reserved for other classes.
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

// isReservedFor reports whether load shedding lets the classes of a table use a server. Zone-local classes may use
// every server.
func isReservedFor(server *serverState, table *weightTable) bool {
	if table.group >= firstZoneLocalGroup {
		return true
	}
	return server.lowPriorityOnly == (table.group == lowPriorityGroup)
}

// limitWarmingServers limits the wanted weights of servers in slow start to a low estimate of their capacity.
func (b *Balancer) limitWarmingServers() {
	if b.estimates.medianCapacity == 0 {
		return
	}
	concentration := b.concentrationFactor()
	for _, server := range b.endpoints.ready {
		if b.warmingUp(server) {
			capacity := b.warmFraction(server) * b.estimates.lowCapacity * concentration
			b.limitWarmingServer(server, capacity)
		}
	}
}

// concentrationFactor returns the factor by which the load of servers in slow start is reduced while most attempts
// fail: proxies then avoid the failing servers and concentrate their requests on the few others. At 0, servers in slow
// start are left out of the tables.
func (b *Balancer) concentrationFactor() float64 {
	consecutiveFailures := cmp.Or(float64(b.site.ProxyOutlierFailures), unlimitedFailures)
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
