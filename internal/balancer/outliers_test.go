package balancer

import "testing"

// A server that accepts requests and answers none must be ejected although no report mentions it any more, and so must
// a server that fails most requests. Both must get requests again after their recovery.
func TestOutliersAreEjectedAndReturn(t *testing.T) {
	for _, fault := range []struct {
		name           string
		unresponsive   bool
		failedFraction float64
	}{
		{name: "unresponsive", unresponsive: true},
		{name: "failing", failedFraction: 0.8},
	} {
		t.Run(fault.name, func(t *testing.T) {
			sim := newSimulatedFleet(5, 10, 5)
			sim.run(10, 0)
			server := sim.servers[3]
			server.unresponsive = fault.unresponsive
			server.failedFraction = fault.failedFraction
			if lowest := lowestRequestRate(sim, server, 8); lowest > 0 {
				t.Errorf("not ejected: lowest load is %.1f requests per second", lowest)
			}
			server.unresponsive = false
			server.failedFraction = 0
			sim.run(40, 0)
			if rate := sim.requestRate(server.Server); rate < fakeServerCapacity/10 {
				t.Errorf("gets %.1f requests per second after its recovery", rate)
			}
			checkNoneEjectedIfAllFail(t, sim)
		})
	}
}

// lowestRequestRate returns the lowest number of requests per second that a server gets in the next seconds.
func lowestRequestRate(sim *simulatedFleet, server *fakeServer, seconds int) float64 {
	lowest := sim.requestRate(server.Server)
	for range seconds {
		sim.run(1, 0)
		lowest = min(lowest, sim.requestRate(server.Server))
	}
	return lowest
}

// checkNoneEjectedIfAllFail checks that no server is ejected for failures that all servers share.
func checkNoneEjectedIfAllFail(t *testing.T, sim *simulatedFleet) {
	t.Helper()
	for _, server := range sim.servers {
		server.failedFraction = 0.7
	}
	sim.run(5, 0)
	for _, server := range sim.servers {
		if sim.requestRate(server.Server) == 0 {
			t.Errorf("server %d is ejected for failures that all servers share", server.Server)
		}
	}
}
