package balancer

import (
	"cmp"
	"math"
	"slices"
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
		b.spillOver(t)
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
	table.nominalWeight = 0
	for _, server := range b.endpoints.all {
		server.wantedWeight[index] = 0
		mayUse := lastResort || isReservedFor(server, table)
		if isNeeded && mayUse && b.mayServe(server, table) {
			server.wantedWeight[index] = server.weight[index] * max(server.healthFactor, minHealthFactor)
			table.nominalWeight += server.weight[index]
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

// limitWarmingServers limits the wanted weights of servers in slow start to a low estimate of their capacity or, until
// capacities and demand are known, to a fraction of what they would get when warm.
func (b *Balancer) limitWarmingServers() {
	concentration := b.concentrationFactor()
	measured := b.estimates.medianCapacity > 0 && b.hasAdmittedRequests()
	for _, server := range b.endpoints.ready {
		if !b.warmingUp(server) {
			continue
		}
		fraction := b.warmFraction(server) * concentration
		if measured {
			b.limitWarmingServer(server, fraction*b.estimates.lowCapacity)
		} else {
			b.limitToNominalFraction(server, fraction*warmingLoadFraction)
		}
	}
	b.shareAmongWarming()
	if measured {
		b.emptyOverloadedTables(b.estimates.lowCapacity * concentration)
	}
}

// hasAdmittedRequests reports whether the demand of some table is known.
func (b *Balancer) hasAdmittedRequests() bool {
	return slices.ContainsFunc(b.tables, func(table weightTable) bool { return table.admittedRate > 0 })
}

// limitToNominalFraction limits the wanted weights of a server to a fraction of the requests that it would get if all
// servers of the table were warm.
func (b *Balancer) limitToNominalFraction(server *serverState, fraction float64) {
	for t := range b.tables {
		table := &b.tables[t]
		if table.wantedWarmWeight > 0 {
			nominalFraction := server.weight[t] / max(table.nominalWeight, epsilon)
			server.wantedWeight[t] = min(server.wantedWeight[t], nominalFraction*fraction*table.wantedWarmWeight)
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

// limitWarmingServer limits the wanted weights of a server, in tables with warm servers, to a capacity in requests per
// second.
func (b *Balancer) limitWarmingServer(server *serverState, capacity float64) {
	load := epsilon
	for t := range b.tables {
		table := &b.tables[t]
		load += table.admittedRate * server.wantedWeight[t] / max(table.wantedWeight, epsilon)
	}
	for t := range b.tables {
		table := &b.tables[t]
		if table.wantedWarmWeight > 0 {
			wanted := server.wantedWeight[t]
			limit := wanted / table.wantedWeight * warmingLoadFraction * capacity / load * table.wantedWarmWeight
			server.wantedWeight[t] = min(wanted, limit)
		}
	}
}

// shareAmongWarming makes the servers of each table without warm servers share its requests by their capacity.
func (b *Balancer) shareAmongWarming() {
	for t := range b.tables {
		table := &b.tables[t]
		if table.wantedWarmWeight > 0 {
			continue
		}
		table.wantedWeight = 0
		for _, server := range b.endpoints.ready {
			if server.wantedWeight[t] > 0 {
				server.wantedWeight[t] = b.warmFraction(server)
				table.wantedWeight += server.wantedWeight[t]
			}
		}
	}
}

// emptyOverloadedTables takes all servers out of the tables without warm servers if these tables together would load a
// server too much. Leaving out single servers would move their requests to the others. The capacity is that of a warm
// server, in requests per second.
func (b *Balancer) emptyOverloadedTables(capacity float64) {
	maxLoad := capacity * b.site.OverloadFactor * unsharedOverloadFraction
	overloaded := make([]bool, len(b.tables))
	for _, server := range b.endpoints.ready {
		load := 0.0
		for t := range b.tables {
			table := &b.tables[t]
			if table.wantedWarmWeight == 0 {
				load += table.admittedRate * server.wantedWeight[t] / max(table.wantedWeight, epsilon)
			}
		}
		for t := range b.tables {
			isUsed := b.tables[t].wantedWarmWeight == 0 && server.wantedWeight[t] > 0
			overloaded[t] = overloaded[t] || isUsed && load > b.warmFraction(server)*maxLoad
		}
	}
	for _, server := range b.endpoints.ready {
		for t := range b.tables {
			if overloaded[t] {
				server.wantedWeight[t] = 0
			}
		}
	}
}
