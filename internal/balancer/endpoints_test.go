package balancer

import (
	"testing"

	"cressknot/internal/fleet"
)

// Guards against unbounded state: every new server has a new ID, so the state and the withdrawal of a server that is
// gone and in no table must be removed.
func TestForgetsGoneServers(t *testing.T) {
	sim := newSimulatedFleet(4, 6, 5)
	sim.run(20, 0)
	gone := sim.servers[0].Server
	sim.servers[0].State = fleet.ServerGone
	sim.step([]fleet.Event{sim.endpointList(fleet.ListFull)})
	sim.run(10, 0)
	if !sim.balancer.Tracks(gone) {
		t.Error("state removed while proxies may join with inherited tables")
	}
	sim.run(30, 0)
	for id, proxy := range sim.proxies {
		if proxy.withdrawn[gone] {
			t.Errorf("its withdrawal remains at proxy %d", id)
		}
	}
	remaining := len(sim.balancer.endpoints.all)
	if sim.balancer.Tracks(gone) || remaining != 5 || sim.violation != "" {
		t.Errorf("tracked %v, %d servers remain; %s", sim.balancer.Tracks(gone), remaining, sim.violation)
	}
}

// Guards against a withdrawal that is never reverted: a proxy joins shortly after a withdrawal, which it may have
// missed, and in the same step the server becomes ready again.
func TestServerReturnsWhileProxyJoins(t *testing.T) {
	sim := newSimulatedFleet(9, 8, 4)
	sim.run(10, 0)
	sim.disconnectProxy(0, false)
	sim.step([]fleet.Event{fleet.ProxyLeft{Proxy: 0}})
	server := sim.servers[0]
	server.State = fleet.ServerDraining
	server.stateChangedAt = sim.now
	sim.step([]fleet.Event{sim.endpointList(fleet.ListFull)})
	sim.run(2, 0)
	if !sim.proxies[1].withdrawn[server.Server] {
		t.Fatal("the server is not withdrawn")
	}
	server.State = fleet.ServerReady
	sim.step([]fleet.Event{sim.joinProxy(0), sim.endpointList(fleet.ListFull)})
	sim.run(5, 0)
	if sim.proxies[1].withdrawn[server.Server] || sim.violation != "" {
		t.Errorf("the server is still withdrawn; %s", sim.violation)
	}
}
