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
