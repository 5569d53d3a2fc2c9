package balancer

import (
	"slices"
	"testing"

	"cressknot/internal/fleet"
)

// Guards against requests to a gone server: a restarted balancer withdraws the server, then a proxy joins with an
// inherited table, has missed the withdrawal and waits for its assignment.
func TestWaitingProxyReceivesEarlierWithdrawals(t *testing.T) {
	sim := newSimulatedFleet(9, 8, 4)
	sim.run(10, 0)
	for id := range sim.proxies {
		sim.disconnectProxy(id, false)
	}
	sim.balancer = New(sim.site, 1)
	sim.servers[0].State = fleet.ServerGone
	sim.servers[0].stateChangedAt = sim.now
	sim.step([]fleet.Event{sim.endpointList(fleet.ListFull), sim.joinProxy(0)})

	sim.now += fleet.Second
	gone := sim.servers[1]
	gone.State = fleet.ServerGone
	gone.stateChangedAt = sim.now
	sim.step([]fleet.Event{fleet.EndpointList{
		Scope:     fleet.ListDelta,
		Endpoints: []fleet.Endpoint{gone.Endpoint},
	}})

	sim.now += fleet.Second / 4
	sim.step([]fleet.Event{sim.joinProxy(1)})
	sim.now += 3 * fleet.Second / 4
	sim.step(nil)
	proxy := sim.proxies[1]
	if proxy.assignedTables[0] != noTable || sim.fractions(proxy, 0)[gone.Server] > 0 {
		t.Errorf("a waiting proxy sends to a gone server; assigned to table %d", proxy.assignedTables[0])
	}
}

// newBusyFleet returns a fleet whose tables need much of the capacity of the update channel.
func newBusyFleet(maxBacklog float64) *simulatedFleet {
	sim := newSimulatedFleet(17, 150, 120)
	sim.site.EntriesPerSecond = 8000
	sim.site.MaxBacklog = maxBacklog
	sim.site.MinServerConnections = 0
	sim.site.DrainTimeout = 6 * fleet.Second
	sim.startBalancer(fleet.ListCached)
	sim.run(20, 0)
	return sim
}

// checkAllAssigned checks that after 8 seconds no proxy waits for its tables.
func checkAllAssigned(t *testing.T, sim *simulatedFleet) {
	t.Helper()
	sim.run(8, 0)
	waiting := 0
	for _, proxy := range sim.balancer.proxies.all {
		if proxy.outOfSync {
			waiting++
		}
	}
	if sim.violation != "" || waiting > 0 {
		t.Errorf("%d proxies wait for their tables; %s", waiting, sim.violation)
	}
}

// Proxies that are reported as joined again, after the connection to the transport broke, still use their tables, so a
// change of a table costs an entry at each of them. Guards against not counting these entries, which would delay the
// assignments.
func TestProxiesReportedAgainAreAssignedInTime(t *testing.T) {
	sim := newBusyFleet(9000)
	sim.step(nil)
	changed := fleet.EndpointList{Scope: fleet.ListDelta}
	for _, server := range sim.servers[:90] {
		server.failedFraction = 0.9
		changed.Endpoints = append(changed.Endpoints, server.Endpoint)
	}
	sim.step([]fleet.Event{changed})
	sim.run(1, 0)
	var events []fleet.Event
	for id, proxy := range sim.proxies {
		events = append(events, fleet.ProxyJoined{Proxy: fleet.ProxyID(id), Zone: proxy.zone})
	}
	sim.step(events)
	checkProxyCounts(t, sim)
	checkAllAssigned(t, sim)
}

// checkProxyCounts checks that the balancer counts all proxies that use a table.
func checkProxyCounts(t *testing.T, sim *simulatedFleet) {
	t.Helper()
	for index := range sim.balancer.tables {
		actual := 0.0
		for _, proxy := range sim.proxies {
			if slices.Contains(proxy.assignedTables, index) {
				actual++
			}
		}
		if counted := sim.balancer.tables[index].proxyCount; counted < actual {
			t.Errorf("table %d: %.0f proxies counted, %.0f use it", index, counted, actual)
		}
	}
}

// Many proxies rejoin while many servers drain. While they wait, the withdrawals of the last seconds are sent again,
// which costs an entry at each proxy and must leave capacity for the assignments.
func TestRejoiningProxiesAreAssignedInTime(t *testing.T) {
	const rejoining = 60
	sim := newBusyFleet(40000)
	var events []fleet.Event
	for id := range rejoining {
		events = append(events, sim.disconnectProxy(id, false))
	}
	sim.step(events)
	changed := fleet.EndpointList{Scope: fleet.ListDelta}
	for i, server := range sim.servers[:90] {
		if i < 45 {
			server.State = fleet.ServerDraining
			server.stateChangedAt = sim.now
		} else {
			server.failedFraction = 0.9
		}
		changed.Endpoints = append(changed.Endpoints, server.Endpoint)
	}
	sim.step([]fleet.Event{changed})
	sim.run(1, 0)
	events = nil
	for id := range rejoining {
		events = append(events, sim.joinProxy(id))
	}
	sim.step(events)
	checkAllAssigned(t, sim)
}

// Load shedding moves all proxies to tables that had no entries before this step. The cost of the assignments must
// include the entries that the step adds.
func TestAssignmentsCountEntriesOfTheirStep(t *testing.T) {
	rates := []float64{10, 10, 10, 10, 10, 10}
	b := newMeasuredBalancer(rates, []float64{0.5, 0.5, 0.5, 0.5, 0.5, 0.5})
	b.Step(2*fleet.Second, nil)
	proxy := b.proxies.byID[0]
	b.classes[0].tableGroup = lowPriorityGroup
	if proxy.assignedTables[0] != 0 {
		t.Fatalf("assigned to table %d", proxy.assignedTables[0])
	}
	for _, server := range b.endpoints.ready[:5] {
		server.lowPriorityOnly = true
	}
	before := b.channel.entriesSent
	b.now += fleet.Second
	b.updateFleet()
	b.updateWantedWeights()
	b.emitOrders()
	cost := b.channel.entriesSent - before
	if proxy.assignedTables[0] != b.tableFor(0, 0) || cost < 5+1 {
		t.Errorf("assigned to table %d; cost %.0f entries, want at least 6", proxy.assignedTables[0], cost)
	}
}
