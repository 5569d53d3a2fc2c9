package balancer

import (
	"math"

	"cressknot/internal/fleet"
)

const (
	// maxWithdrawalOverdraft is the fraction of the maximum backlog that withdrawals may use beyond
	// usableBacklogFraction.
	maxWithdrawalOverdraft = 0.45
	// maxUnavailableFraction is the fraction of the servers of a zone, and of the fleet, below which those that are not
	// ready or withdrawn for slow start must stay, so that the others can carry the load.
	maxUnavailableFraction = 0.25
	// minStandingTableServers is the number of ready servers in a zone from which on the standing tables of its proxies
	// hold servers of that zone only. The platform's wire protocol states it.
	minStandingTableServers = 3
	// noInheritedTables is later than any time.
	noInheritedTables fleet.Time = math.MaxInt64
)

// serverCounts counts servers by what they contribute.
type serverCounts struct {
	all     float64 // in any state
	ready   float64
	warming float64 // ready, in slow start
}

func (c *serverCounts) add(server *serverState, warmingUp bool) {
	c.all++
	if server.State == fleet.ServerReady {
		c.ready++
		if warmingUp {
			c.warming++
		}
	}
}

// spare returns how many more servers may become unavailable: their number must stay below it.
func (c *serverCounts) spare() float64 {
	return maxUnavailableFraction*c.all - (c.all - c.ready)
}

// warmingReplaceable reports whether the warm servers can replace the others.
func (c *serverCounts) warmingReplaceable() bool { return c.warming < c.spare() }

// zoneState is the state of a zone's servers and proxies that decides about withdrawals for slow start.
type zoneState struct {
	counts serverCounts
	// ownTables is set if the standing tables of the zone's proxies may hold servers of the zone only, wideTables if they
	// may hold servers of any zone. Both are set if servers of the zone have left since.
	ownTables, wideTables bool
	// waitingFresh is set if proxies of the zone have used their standing tables since before this step.
	waitingFresh bool
	// replaceable is set if the warm servers in the standing tables of the zone's proxies can replace those that are
	// not ready or in slow start.
	replaceable bool
	// withdrawsWarming is set if the servers of the zone that are in slow start are withdrawn, as proxies use tables that
	// this balancer does not know and that may ignore the slow start.
	withdrawsWarming bool
}

// zonesState is the state of the zones and of what concerns all of them.
type zonesState struct {
	byID []zoneState
	// waitingFresh is set if proxies whose standing tables may hold servers of any zone have used them since before this
	// step.
	waitingFresh bool
	// inheritedSince is when the first of the proxies joined that use tables of another controller; noInheritedTables if
	// there are none.
	inheritedSince fleet.Time
}

// updateZones decides in which zones servers in slow start are withdrawn. Withdrawing some of the servers that a table
// holds moves their requests to the others, so that they are withdrawn in two cases only:
//   - The warm servers of the zone can replace them.
//   - Most requests of the zone's proxies already go to few servers in slow start, as the others are not ready, and the
//     tables of this balancer do without them. They would be overloaded before the proxies get such a table.
//
// Otherwise the requests stay spread over all servers until the proxies have tables that respect the slow start.
func (b *Balancer) updateZones() {
	total := b.countServers()
	for z := range b.zones.byID {
		zone := &b.zones.byID[z]
		zone.ownTables = zone.counts.all >= minStandingTableServers
		zone.wideTables = zone.counts.ready < minStandingTableServers
	}
	b.findUnknownTables()
	spare := total.spare()
	for z := range b.zones.byID {
		zone := &b.zones.byID[z]
		zone.replaceable = (!zone.ownTables || zone.counts.warmingReplaceable()) &&
			(!zone.wideTables || total.warmingReplaceable())
		if b.proxies.outOfSync == 0 {
			continue
		}
		zone.withdrawsWarming = zone.replaceable && zone.counts.warming < spare || b.mustSpareWarming(zone)
		if zone.withdrawsWarming {
			spare -= zone.counts.warming
		}
	}
}

// countServers counts the servers of each zone and returns the counts of the fleet.
func (b *Balancer) countServers() serverCounts {
	var total serverCounts
	b.zones = zonesState{byID: make([]zoneState, len(b.site.Zones)), inheritedSince: noInheritedTables}
	for _, server := range b.endpoints.all {
		warmingUp := b.warmingUp(server)
		total.add(server, warmingUp)
		b.zoneOf(server).counts.add(server, warmingUp)
	}
	return total
}

// findUnknownTables notes which proxies use tables that this balancer has not assigned. A proxy that joined in this
// step is left out, as it is usually assigned in the same step.
func (b *Balancer) findUnknownTables() {
	for _, proxy := range b.proxies.all {
		if !proxy.hasUnknownTables() || proxy.joinedAt == b.now {
			continue
		}
		if !proxy.fresh {
			b.zones.inheritedSince = min(b.zones.inheritedSince, proxy.joinedAt)
			continue
		}
		zone := &b.zones.byID[b.layout.zoneOf(proxy.partition)]
		zone.waitingFresh = true
		b.zones.waitingFresh = b.zones.waitingFresh || zone.wideTables
	}
}

// mustSpareWarming reports whether the servers of a zone in slow start are so few among those of the zone's standing
// tables that can be used that they are withdrawn although no warm server replaces them there. The tables of this
// balancer must do without them, and the update channel must have room to withdraw all of them at once.
func (b *Balancer) mustSpareWarming(zone *zoneState) bool {
	if zone.counts.spare() > 0 || !zone.waitingFresh || zone.counts.warming == 0 {
		return false
	}
	warmingWeight := make([]float64, len(b.tables))
	entries := b.messageCost() * float64(len(b.proxies.all))
	for _, server := range b.endpoints.ready {
		if b.zoneOf(server) != zone || !b.warmingUp(server) || server.withdrawn {
			continue
		}
		entries += b.proxiesThatUse(server)
		for t := range b.tables {
			warmingWeight[t] += server.wantedWeight[t]
		}
	}
	for t := range b.tables {
		table := &b.tables[t]
		if table.proxyCount > 0 && warmingWeight[t] > maxUnavailableFraction*table.wantedWarmWeight {
			return false
		}
	}
	return b.channel.backlog(&b.site)+entries < (usableBacklogFraction+maxWithdrawalOverdraft)*b.site.MaxBacklog
}

// zoneOf returns the state of a server's zone.
func (b *Balancer) zoneOf(server *serverState) *zoneState {
	return &b.zones.byID[b.layout.zoneOf(server.partition)]
}

// mayOverloadWarming reports whether a proxy may overload servers in slow start with the tables that it has until it
// is assigned others.
func (b *Balancer) mayOverloadWarming(proxy *proxyState) bool {
	zone := &b.zones.byID[b.layout.zoneOf(proxy.partition)]
	if proxy.fresh && !zone.replaceable {
		return true
	}
	for _, server := range b.endpoints.ready {
		if proxy.fresh && !zone.wideTables && b.zoneOf(server) != zone {
			continue
		}
		if b.warmingUp(server) && !b.zoneOf(server).withdrawsWarming && b.mayIgnoreSlowStart(proxy, server) {
			return true
		}
	}
	return false
}

// mayIgnoreSlowStart reports whether the tables of a proxy that is out of sync may ignore the slow start of a server:
// standing tables do, and those of another controller if the server started too late for that controller to limit it.
func (b *Balancer) mayIgnoreSlowStart(proxy *proxyState, server *serverState) bool {
	return proxy.fresh || server.Started > proxy.joinedAt-b.site.DrainTimeout
}

// isWithheld reports whether a server in slow start that is withdrawn stays so, as proxies have tables that may ignore
// the slow start: other servers of these tables are not ready either, and the first to return would get their requests.
func (b *Balancer) isWithheld(server *serverState) bool {
	if !server.withdrawn {
		return false
	}
	inherited := server.Started > b.zones.inheritedSince-b.site.DrainTimeout
	return inherited || b.zones.waitingFresh || b.zoneOf(server).waitingFresh
}

// publishWithdrawals withdraws servers that are not ready, and servers in slow start as updateZones decides. It reverts
// the other withdrawals, and returns the remaining capacity.
func (b *Balancer) publishWithdrawals(capacity float64) float64 {
	minCapacity := -maxWithdrawalOverdraft * b.site.MaxBacklog
	for _, server := range b.endpoints.all {
		cause := b.withdrawalCause(server)
		withdraw := cause != fleet.CauseReady
		if withdraw == server.withdrawn && !server.withdrawalUnconfirmed {
			continue
		}
		entries := b.proxiesThatUse(server)
		hasCapacity := capacity > entries || withdraw && capacity-entries > minCapacity
		if !hasCapacity {
			continue
		}
		capacity -= entries
		server.withdrawn = withdraw
		server.withdrawalUnconfirmed = false
		server.withdrawalChangedAt = b.now
		b.broadcast(fleet.WithdrawServer{Server: server.Server, Withdrawn: withdraw, Cause: cause}, entries)
	}
	return capacity
}

// withdrawalCause returns why a server is to be withdrawn, CauseReady if it is not.
func (b *Balancer) withdrawalCause(server *serverState) fleet.WithdrawalCause {
	switch {
	case server.State != fleet.ServerReady:
		return fleet.CauseNotReady
	case b.warmingUp(server) && (b.zoneOf(server).withdrawsWarming || b.isWithheld(server)):
		return fleet.CauseSlowStart
	}
	return fleet.CauseReady
}

// proxiesThatUse returns the number of proxies whose tables have, or may have, an entry for a server.
func (b *Balancer) proxiesThatUse(server *serverState) float64 {
	proxyCount := float64(len(b.proxies.all))
	count := b.proxies.outOfSync
	for t := range b.tables {
		if server.orderedWeight[t] > 0 || server.weightUnconfirmed[t] {
			count = min(proxyCount, count+b.tables[t].proxyCount)
		}
	}
	return count
}
