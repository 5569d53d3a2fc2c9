package balancer

import (
	"fmt"
	"slices"
	"testing"

	"cressknot/internal/fleet"
)

// coldZone is a fleet in which all servers of zone 0 have just restarted. The proxies of the zone are joined to the
// balancer of the fleet; those of the other zones are joined to other controllers.
type coldZone struct {
	zones, serversPerZone, proxies int
	standingServers                int     // servers of the zone in a standing table
	load                           float64 // of the capacity of the zone's servers when they are warm
	partitioned                    bool
}

// newSimulation returns the fleet before the restart, with a balancer that has just started.
func (c coldZone) newSimulation() *simulatedFleet {
	sim := newSimulatedFleet(20, c.zones*c.serversPerZone, c.proxies)
	sim.site.Zones = nil
	for zone := range c.zones {
		sim.site.Zones = append(sim.site.Zones, fmt.Sprint("zone ", zone))
	}
	for i := range sim.site.Classes {
		sim.site.Classes[i].ZoneLocal = false
	}
	sim.site.ProxyCount = c.zones * c.proxies
	sim.site.MinServerConnections = 0
	if c.partitioned {
		sim.site.MinServerConnections = float64(sim.site.ProxyCount) / 2
	}
	sim.site.EntriesPerSecond = 15000
	sim.site.MaxBacklog = 30000
	for i, server := range sim.servers {
		server.Zone = fleet.ZoneID(i % c.zones)
	}
	for _, proxy := range sim.proxies {
		requestRate := c.load * fakeServerCapacity * float64(c.serversPerZone) / float64(c.proxies)
		proxy.zone = 0
		proxy.demand = requestRate / float64(len(sim.site.Classes))
	}
	sim.balancer = New(sim.site, 1)
	sim.step([]fleet.Event{sim.endpointList(fleet.ListCached)})
	return sim
}

// slowDown gives the update channel a capacity at which assigning all proxies takes several steps.
func (c coldZone) slowDown(sim *simulatedFleet) {
	sim.site.EntriesPerSecond = 50 * float64(c.proxies)
	sim.site.MaxBacklog = 20 * float64(c.proxies)
	sim.balancer.site = sim.site
}

// checkStandingTables checks that withdrawals do not concentrate the requests of the proxies with standing tables on
// servers in slow start: at most maxUnavailableFraction of a table may be withdrawn while it has such servers.
func (c coldZone) checkStandingTables(t *testing.T, sim *simulatedFleet) {
	t.Helper()
	for id, proxy := range sim.proxies {
		if proxy.assignedTables[0] != noTable {
			continue
		}
		maxFraction := 1 / (1 - maxUnavailableFraction) / float64(len(proxy.ownTables[0]))
		for _, server := range sim.servers {
			fraction := sim.fractions(proxy, 0)[server.Server]
			if server.Started > 0 && fraction > 1.01*maxFraction {
				t.Fatalf("proxy %d sends %.2f of its requests to server %d in slow start, at most %.2f allowed",
					id, fraction, server.Server, maxFraction)
			}
		}
	}
}

// zoneServers returns the servers of zone 0.
func (c coldZone) zoneServers(sim *simulatedFleet) []*fakeServer {
	var servers []*fakeServer
	for _, server := range sim.servers {
		if server.Zone == 0 {
			servers = append(servers, server)
		}
	}
	return servers
}

// restartServers restarts the servers of zone 0.
func (c coldZone) restartServers(sim *simulatedFleet) {
	restartListed(sim, c.zoneServers(sim))
}

// restartListed lists servers as ready that have just restarted.
func restartListed(sim *simulatedFleet, servers []*fakeServer) {
	for _, server := range servers {
		server.State = fleet.ServerReady
		server.Started = sim.now
		server.stateChangedAt = sim.now
	}
	sim.step([]fleet.Event{sim.endpointList(fleet.ListFull)})
}

// listGone lists servers as gone.
func listGone(sim *simulatedFleet, servers []*fakeServer) {
	for _, server := range servers {
		server.State = fleet.ServerGone
		server.stateChangedAt = sim.now
	}
	sim.step([]fleet.Event{sim.endpointList(fleet.ListFull)})
}

// standingTable returns the standing table of a proxy: servers of its zone.
func (c coldZone) standingTable(sim *simulatedFleet) map[fleet.ServerID]float64 {
	var ids []fleet.ServerID
	for _, server := range c.zoneServers(sim) {
		ids = append(ids, server.Server)
	}
	sim.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	table := map[fleet.ServerID]float64{}
	for _, id := range ids[:c.standingServers] {
		table[id] = 1
	}
	return table
}

// joinProxies makes all proxies join with standing tables if they are fresh, else with tables of another controller,
// which hold all servers of the fleet.
func (c coldZone) joinProxies(sim *simulatedFleet, fresh bool) {
	var events []fleet.Event
	for id, proxy := range sim.proxies {
		proxy.ownTables = nil
		joined := sim.joinProxy(id).(fleet.ProxyJoined)
		joined.Fresh = fresh
		events = append(events, joined)
		for class := range proxy.ownTables {
			if fresh {
				proxy.ownTables[class] = c.standingTable(sim)
			}
		}
	}
	sim.step(events)
}

// checkWarmingLoad runs the fleet and checks that no server in slow start gets more than the overload factor times its
// capacity over the duration that makes it fail.
func (c coldZone) checkWarmingLoad(t *testing.T, sim *simulatedFleet, seconds int) {
	t.Helper()
	recovery := &sim.site.RecoveryRamp
	window := int(4 * recovery.Duration.Seconds())
	sent := map[fleet.ServerID][]float64{}
	for tick := range 4 * seconds {
		sim.now += fleet.Second / 4
		var events []fleet.Event
		if tick%2 == 0 {
			events = sim.reports()
		}
		sim.step(events)
		c.checkStandingTables(t, sim)
		rate := sim.requestRates()
		for _, server := range sim.servers {
			rates := append(sent[server.Server], sum(rate[server.Server]))
			sent[server.Server] = rates[max(0, len(rates)-window):]
			mean := sum(sent[server.Server]) / float64(window)
			if capacity := sim.capacity(server); server.Started > 0 && mean > recovery.OverloadFactor*capacity {
				t.Fatalf("server %d of zone %d got %.1f requests/s for %v, capacity %.1f requests/s, %.2f s after its start",
					server.Server, server.Zone, mean, recovery.Duration, capacity, (sim.now - server.Started).Seconds())
			}
		}
	}
	if sim.violation != "" {
		t.Error(sim.violation)
	}
}

// Guards against withdrawing all but one of the servers of a zone that returns cold: the proxies of the zone start with
// tables of these servers only, so the last one would get all requests of the zone and fail.
func TestColdZoneKeepsRequestsSpread(t *testing.T) {
	for _, zone := range []coldZone{
		{zones: 1, serversPerZone: 12, proxies: 4, standingServers: 8, load: 0.5},
		{zones: 2, serversPerZone: 5, proxies: 3, standingServers: 5, load: 0.5},
		{zones: 4, serversPerZone: 5, proxies: 3, standingServers: 5, load: 0.5},
		{zones: 4, serversPerZone: 5, proxies: 3, standingServers: 5, load: 0.55},
		{zones: 5, serversPerZone: 3, proxies: 6, standingServers: 3, load: 0.5},
		{zones: 4, serversPerZone: 50, proxies: 60, standingServers: 10, load: 0.5, partitioned: true},
		{zones: 8, serversPerZone: 25, proxies: 30, standingServers: 6, load: 0.5, partitioned: true},
	} {
		t.Run(fmt.Sprintf("%+v", zone), func(t *testing.T) {
			sim := zone.newSimulation()
			sim.now += 400 * fleet.Millisecond
			zone.restartServers(sim)
			sim.now += 300 * fleet.Millisecond
			zone.joinProxies(sim, true)
			zone.checkWarmingLoad(t, sim, 8)
		})
	}
}

// Guards against waiting for measurements while the inherited tables, which another controller ordered before the
// servers of a zone restarted, send them as much as before.
func TestInheritedTablesOfColdZoneAreReplacedAtOnce(t *testing.T) {
	zone := coldZone{zones: 2, serversPerZone: 6, proxies: 4, load: 0.8}
	sim := zone.newSimulation()
	sim.now += 400 * fleet.Millisecond
	zone.restartServers(sim)
	sim.now += 300 * fleet.Millisecond
	zone.joinProxies(sim, false)
	sim.run(1, 0)
	for id, proxy := range sim.proxies {
		if slices.Contains(proxy.assignedTables, noTable) {
			t.Errorf("proxy %d has inherited tables 1 s after it joined", id)
		}
	}
	zone.checkWarmingLoad(t, sim, 8)
}

// checkReturn lists some servers of the zone as gone after its proxies have joined. It then restarts the first server
// of the zone and, 2 s later, the others, and checks the load meanwhile.
func (c coldZone) checkReturn(t *testing.T, sim *simulatedFleet, gone []*fakeServer) {
	t.Helper()
	servers := c.zoneServers(sim)
	c.joinProxies(sim, true)
	sim.now += fleet.Second / 4
	listGone(sim, gone)
	sim.now += fleet.Second / 2
	restartListed(sim, servers[:1])
	c.checkWarmingLoad(t, sim, 2)
	restartListed(sim, servers[1:])
	c.checkWarmingLoad(t, sim, 8)
}

// Guards against readmitting the first server of a lost zone that returns, while proxies use tables in which all others
// are still withdrawn: it would get all requests of these proxies and fail.
func TestFirstServersOfLostZoneAreWithheld(t *testing.T) {
	for _, zone := range []coldZone{
		{zones: 2, serversPerZone: 12, proxies: 40, standingServers: 12, load: 0.5},
		{zones: 4, serversPerZone: 8, proxies: 40, standingServers: 8, load: 0.5},
	} {
		t.Run(fmt.Sprintf("%+v", zone), func(t *testing.T) {
			sim := zone.newSimulation()
			zone.slowDown(sim)
			zone.checkReturn(t, sim, zone.zoneServers(sim))
		})
	}
}

// Guards against leaving the requests of a lost zone to the few servers that were never listed as gone.
func TestLastServersOfLostZoneAreWithdrawn(t *testing.T) {
	zone := coldZone{zones: 4, serversPerZone: 8, proxies: 40, standingServers: 8, load: 0.5}
	sim := zone.newSimulation()
	zone.slowDown(sim)
	sim.site.MaxBacklog *= 2 // room for the withdrawal and the assignments
	sim.balancer.site = sim.site
	zone.checkReturn(t, sim, zone.zoneServers(sim)[1:])
}

// The servers of a zone in slow start are withdrawn, as long as the others can replace them: all or none of them.
func TestFewWarmingServersAreWithdrawnWhileProxiesWait(t *testing.T) {
	for _, test := range []struct{ restarted, wantWithdrawn int }{{1, 1}, {2, 2}, {3, 0}, {8, 0}, {12, 0}} {
		t.Run(fmt.Sprint(test.restarted, " restarted"), func(t *testing.T) {
			zone := coldZone{zones: 2, serversPerZone: 12, proxies: 4, standingServers: 10, load: 0.5}
			sim := zone.newSimulation()
			zone.joinProxies(sim, true)
			restarted := 0
			for _, server := range sim.servers {
				if server.Zone == 0 && restarted < test.restarted {
					server.Started = sim.now
					restarted++
				}
			}
			sim.now += fleet.Second / 2
			orders := sim.step([]fleet.Event{sim.endpointList(fleet.ListFull)})
			withdrawn := 0
			for _, order := range orders {
				if withdrawal, ok := order.(fleet.WithdrawServer); ok && withdrawal.Cause == fleet.CauseSlowStart {
					withdrawn++
				}
			}
			if withdrawn != test.wantWithdrawn {
				t.Errorf("%d servers withdrawn, want %d", withdrawn, test.wantWithdrawn)
			}
		})
	}
}
