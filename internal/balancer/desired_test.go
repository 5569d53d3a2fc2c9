package balancer

import (
	"testing"

	"cressknot/internal/fleet"
)

// Guards against overloading a server in slow start in two ways: it restarts while proxies still wait for their first
// tables and use inherited ones, which ignore slow start; or, after its load was limited in slow start, it returns to a
// weight from before the weights of the others were cut.
func TestWarmingServerIsNotOverloaded(t *testing.T) {
	sim := newSimulatedFleet(14, 12, 6)
	sim.site.EntriesPerSecond = 100 // assignments take long
	sim.site.MaxBacklog = 200
	sim.startBalancer(fleet.ListCached)
	server := sim.servers[0]

	sim.run(2, 0)
	server.State = fleet.ServerGone
	server.Started = 0
	server.stateChangedAt = sim.now
	sim.step([]fleet.Event{sim.endpointList(fleet.ListFull)})

	sim.run(2, 0)
	server.State = fleet.ServerReady
	server.Started = sim.now
	server.stateChangedAt = sim.now
	sim.step([]fleet.Event{sim.endpointList(fleet.ListFull)})

	for second := range 40 {
		sim.run(1, 0)
		if rate := sim.requestRate(server.Server); rate > 2*sim.capacity(server) {
			t.Fatalf("%.0f requests per second, %d s after its start", rate, second)
		}
	}
}

// Guards against a release that replaces all servers while their capacity is not known, as their reports carry no
// utilization: the last server in slow start would get as much as the warm ones.
func TestWarmingServersAreLimitedWithoutCapacity(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.1} {
		zone := coldZone{zones: 1, serversPerZone: 10, proxies: 6, standingServers: 6, load: load}
		sim := zone.newSimulation()
		sim.site.LoadFields = nil
		sim.balancer = New(sim.site, 1)
		sim.step([]fleet.Event{sim.endpointList(fleet.ListCached)})
		zone.joinProxies(sim, true)
		sim.run(6, 0)
		for _, server := range zone.zoneServers(sim) {
			restartListed(sim, []*fakeServer{server})
			zone.checkWarmingLoad(t, sim, 4)
		}
		zone.checkWarmingLoad(t, sim, 20)
	}
}

// Guards against leaving out single servers of a class that must not leave its zone while all servers of the zone are
// in slow start: their requests would go to the few that are left.
func TestZoneLocalClassesDoNotOverloadLastServers(t *testing.T) {
	for _, load := range []float64{0.5, 0.6, 0.7} {
		for _, older := range []int{1, 2, 3} {
			zone := coldZone{zones: 2, serversPerZone: 6, proxies: 4, standingServers: 6, load: load}
			sim := zone.newSimulation()
			for class := range sim.site.Classes {
				sim.site.Classes[class].ZoneLocal = true
			}
			sim.balancer = New(sim.site, 1)
			sim.step([]fleet.Event{sim.endpointList(fleet.ListCached)})
			zone.joinProxies(sim, true)
			sim.run(10, 0)
			servers := zone.zoneServers(sim)
			restartListed(sim, servers[:older])
			sim.run(6, 0)
			restartListed(sim, servers[older:])
			zone.checkWarmingLoad(t, sim, 10)
		}
	}
}
