package balancer

import (
	"testing"

	"cressknot/internal/fleet"
)

// newFleetWithUnusedTables returns a partitioned fleet in which all proxies of one zone have left.
func newFleetWithUnusedTables() *simulatedFleet {
	sim := newSimulatedFleet(20, 60, 80)
	sim.site.EntriesPerSecond = 15000
	sim.site.MaxBacklog = 30000
	sim.site.MinServerConnections = 20
	sim.startBalancer(fleet.ListCached)
	for id, proxy := range sim.proxies {
		if proxy.zone == 1 {
			sim.step([]fleet.Event{sim.disconnectProxy(id, false)})
		}
	}
	sim.run(15, 0)
	return sim
}

// entryCount returns the number of entries that a table has according to the balancer's orders.
func entryCount(b *Balancer, table int) int {
	count := 0
	for _, server := range b.endpoints.all {
		if server.orderedWeight[table] > 0 {
			count++
		}
	}
	return count
}

// Many proxies join at once after the other controllers have crashed. If unused tables had grown to an entry for each
// server, most of them with a small weight, the assignments would take long. A withdrawal must cost entries only at the
// proxies whose tables have the server.
func TestUnusedTablesAreCheapToAssign(t *testing.T) {
	sim := newFleetWithUnusedTables()
	checkUnusedTablesAreSparse(t, sim.balancer)
	checkWithdrawalCost(t, sim.balancer)
	proxy := sim.proxies[1]
	sim.step([]fleet.Event{sim.joinProxy(1)})
	sim.run(15, 0)
	table := proxy.assignedTables[0]
	if table == noTable || entryCount(sim.balancer, table) == 0 || sim.violation != "" {
		t.Errorf("assigned to table %d; %s", table, sim.violation)
	}
}

// checkUnusedTablesAreSparse checks that there are tables without proxies, and that they have entries for some of the
// servers only.
func checkUnusedTablesAreSparse(t *testing.T, b *Balancer) {
	t.Helper()
	unused := 0
	serverCount := len(b.endpoints.all)
	for i := range b.tables {
		table := &b.tables[i]
		if table.classes == 0 || table.proxyCount > 0 || table.group >= firstZoneLocalGroup {
			continue
		}
		unused++
		if count := entryCount(b, i); count == 0 || count > serverCount*3/4 {
			t.Errorf("unused table %d has %d entries of %d servers", i, count, serverCount)
		}
	}
	if unused == 0 {
		t.Fatal("no table is unused")
	}
}

// checkWithdrawalCost checks that the withdrawal of a server that is in one table costs an entry only at each proxy
// that uses the table.
func checkWithdrawalCost(t *testing.T, b *Balancer) {
	t.Helper()
	server := b.endpoints.ready[len(b.endpoints.ready)-1]
	usedTable := b.tableFor(0, b.proxies.all[0].partition)
	for i := range b.tables {
		server.orderedWeight[i] = 0
	}
	server.orderedWeight[usedTable] = 1
	server.wantedWeight[usedTable] = 1
	maxCost := b.messageCost()*float64(len(b.proxies.all)) + b.tables[usedTable].proxyCount
	b.updateFleet()

	before := b.channel.entriesSent
	b.channel.nextChangesAt = 0
	b.now += fleet.Second
	server.State = fleet.ServerDraining
	b.publish()
	if cost := b.channel.entriesSent - before; cost > maxCost || !server.withdrawn {
		t.Errorf("withdrawal costs %.0f entries, want at most %.0f; withdrawn %v", cost, maxCost, server.withdrawn)
	}
}
