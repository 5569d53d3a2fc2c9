package balancer

import "cressknot/internal/fleet"

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

// zoneState describes the servers that the standing tables of a zone's proxies hold.
type zoneState struct {
	counts serverCounts // of the zone
	// hasOwnTables is set if the standing tables hold servers of the zone only. Otherwise they hold any servers.
	hasOwnTables bool
	// withdrawsWarming is set if the servers of the zone that are in slow start are withdrawn, as proxies use tables that
	// this balancer does not know and that may ignore the slow start.
	withdrawsWarming bool
}

// updateZones decides in which zones servers in slow start are withdrawn: in all zones or none that a proxy's table may
// hold, as withdrawing some of them would move their requests to the others. Where the warm servers of a zone can't
// replace those in slow start, none of them is withdrawn: the proxies keep their requests spread over all servers until
// they have tables that respect the slow start.
func (b *Balancer) updateZones() {
	total := b.countServers()
	spare := total.spare()
	for z := range b.zones {
		zone := &b.zones[z]
		zone.hasOwnTables = zone.counts.ready >= minStandingTableServers
		relevant := zone.counts
		if !zone.hasOwnTables {
			relevant = total
		}
		warming := zone.counts.warming
		zone.withdrawsWarming = b.proxies.outOfSync > 0 && relevant.warming < relevant.spare() && warming < spare
		if zone.withdrawsWarming {
			spare -= warming
		}
	}
}

// countServers counts the servers of each zone and returns the counts of the fleet.
func (b *Balancer) countServers() serverCounts {
	var total serverCounts
	b.zones = make([]zoneState, len(b.site.Zones))
	for _, server := range b.endpoints.all {
		warmingUp := b.warmingUp(server)
		total.add(server, warmingUp)
		b.zones[b.layout.zoneOf(server.partition)].counts.add(server, warmingUp)
	}
	return total
}

// zoneOf returns the state of a server's zone.
func (b *Balancer) zoneOf(server *serverState) *zoneState {
	return &b.zones[b.layout.zoneOf(server.partition)]
}

// mayOverloadWarming reports whether a proxy that is out of sync may overload servers in slow start, as its tables may
// hold them with a weight that ignores the slow start and they are not withdrawn.
func (b *Balancer) mayOverloadWarming(proxy *proxyState) bool {
	zone := b.layout.zoneOf(proxy.partition)
	inZoneOnly := proxy.fresh && b.zones[zone].hasOwnTables
	for _, server := range b.endpoints.ready {
		if inZoneOnly && b.layout.zoneOf(server.partition) != zone {
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
	case b.warmingUp(server) && b.zoneOf(server).withdrawsWarming:
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
