package balancer

import (
	"math/rand"
	"reflect"
	"testing"
	"testing/quick"

	"cressknot/internal/fleet"
)

// checkSeeds checks a property for a fixed set of random seeds.
func checkSeeds(t *testing.T, property func(seed int64) bool) {
	t.Helper()
	if err := quick.Check(property, &quick.Config{MaxCount: 80, Rand: rand.New(rand.NewSource(7))}); err != nil {
		t.Error(err)
	}
}

// newMeasuredBalancer returns a balancer after the initial observation, with one proxy, one shared table, and servers
// measured at the given requests per second and utilizations.
func newMeasuredBalancer(rates, utilizations []float64) *Balancer {
	b := New(fleet.Site{
		Zones:            []string{"a"},
		Classes:          make([]fleet.RequestClass, 1),
		LoadFields:       []fleet.LoadField{fleet.LoadFieldUtilization},
		MaxBacklog:       1e6,
		EntriesPerSecond: 1e6,
	}, 1)
	list := fleet.EndpointList{Scope: fleet.ListFull}
	for i := range rates {
		list.Endpoints = append(list.Endpoints, fleet.Endpoint{Server: fleet.ServerID(i + 1)})
	}
	b.schedule.observing = false
	b.Step(0, []fleet.Event{list, fleet.ProxyJoined{Fresh: true}})
	requests := uint32(0)
	for i, rate := range rates {
		attempts := uint32(2 * rate)
		b.handleEvent(fleet.OutcomeReport{
			Server:   fleet.ServerID(i + 1),
			Attempts: attempts,
			Latency:  fleet.Second / 5,
			Interval: 2 * fleet.Second,
			Load:     []float32{float32(utilizations[i])},
		})
		requests += attempts
	}
	b.handleEvent(fleet.DemandReport{Requests: requests, Interval: 2 * fleet.Second})
	return b
}

func TestInvariantsHoldUnderRandomFaultsAndOrdersRepeat(t *testing.T) {
	checkSeeds(t, func(seed int64) bool {
		serverCount := 6 + int(seed&7)
		sim := newSimulatedFleet(seed, serverCount, 5)
		repeated := newSimulatedFleet(seed, serverCount, 5)
		sim.run(60, 1.5)
		repeated.run(60, 1.5)
		t.Log(sim.violation)
		return sim.violation == "" &&
			reflect.DeepEqual(sim.balancer.endpoints.all, repeated.balancer.endpoints.all)
	})
}

// Tables with hundreds of entries for more than a hundred proxies exceed by far what the update channel delivers in a
// balance interval, so that assignments and changes are sent in several steps. The invariants must hold meanwhile.
func TestInvariantsHoldInLargeFleet(t *testing.T) {
	sim := newSimulatedFleet(13, 300, 120)
	sim.site.EntriesPerSecond = 15000
	sim.site.MaxBacklog = 30000
	sim.startBalancer(fleet.ListCached)
	for _, server := range sim.servers[:6] {
		server.failedFraction = 0.8
	}
	sim.run(40, 2)
	unassigned := 0
	for _, proxy := range sim.proxies {
		if proxy.assignedTables[0] == noTable {
			unassigned++
		}
	}
	if sim.violation != "" || unassigned > 12 {
		t.Errorf("%d proxies without assigned tables; %s", unassigned, sim.violation)
	}
}

// Guards against ejecting or rebalancing servers when the reports of the whole fleet stop: the tables must stay.
func TestOrdersNothingWithoutReports(t *testing.T) {
	sim := newSimulatedFleet(8, 10, 5)
	sim.run(15, 0)
	sim.now += 3 * fleet.Second
	sim.step(nil) // deferred changes are sent
	for sim.now += fleet.Second; sim.now < 130*fleet.Second; sim.now += fleet.Second {
		if orders := sim.step(nil); len(orders) > 1 { // the timer
			t.Fatalf("%v emitted without a report", orders)
		}
	}
}
