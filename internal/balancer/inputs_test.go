package balancer

import (
	"math"
	"testing"

	"cressknot/internal/fleet"
)

// The orders of a call that broke may or may not have been carried out. They must be sent again without violating the
// invariants, and the proxies must end up with the state that was ordered.
func TestUnconfirmedOrdersAreRepeated(t *testing.T) {
	checkSeeds(t, func(seed int64) bool {
		sim := newSimulatedFleet(seed, 6+int(seed&7), 5)
		sim.unconfirmedFraction = 0.05
		sim.run(40, 1)
		sim.unconfirmedFraction = 0
		sim.run(12, 0)
		t.Log(sim.violation)
		return sim.violation == "" && weightsMatch(t, sim) && withdrawalsMatch(t, sim)
	})
}

// weightsMatch reports whether the tables have the weights that were ordered.
func weightsMatch(t *testing.T, sim *simulatedFleet) bool {
	t.Helper()
	for _, server := range sim.balancer.endpoints.all {
		for table, ordered := range server.orderedWeight {
			actual := sim.tables[fleet.TableID(table)][server.Server]
			if math.Abs(actual-ordered) > 1e-6 {
				t.Logf("table %d: server %d has %.3f, ordered %.3f", table, server.Server, actual, ordered)
				return false
			}
		}
	}
	return true
}

// withdrawalsMatch reports whether the proxies with assigned tables have the withdrawals that were ordered.
func withdrawalsMatch(t *testing.T, sim *simulatedFleet) bool {
	t.Helper()
	for _, server := range sim.balancer.endpoints.all {
		for id, proxy := range sim.proxies {
			if !proxy.joined || proxy.assignedTables[0] == noTable {
				continue
			}
			if actual := proxy.withdrawn[server.Server]; actual != server.withdrawn {
				t.Logf("proxy %d: server %d withdrawn %v, ordered %v", id, server.Server, actual, server.withdrawn)
				return false
			}
		}
	}
	return true
}
