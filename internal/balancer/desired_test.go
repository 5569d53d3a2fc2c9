package balancer

import (
	"testing"

	"cressknot/internal/fleet"
)

// Servers return while proxies still wait for their first tables, and inherited tables say nothing of slow start. A
// server whose load is limited in slow start must not return to a weight from before those of the others were cut,
// either.
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
