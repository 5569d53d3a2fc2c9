package balancer

import (
	"math/rand"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// fakeServerCapacity is the number of requests per second that a warm fake server handles.
	fakeServerCapacity = 20.0
	// simulationStart is the time of the first step.
	simulationStart = 100 * fleet.Second
	// farFuture is after the end of every test.
	farFuture = 1e6 * fleet.Second
)

// simulatedFleet applies a balancer's orders to the tables of fake proxies and checks the invariants after every step.
// It does not simulate single requests: the reports are derived from the tables.
type simulatedFleet struct {
	rng      *rand.Rand
	site     fleet.Site
	balancer *Balancer
	now      fleet.Time
	servers  []*fakeServer
	proxies  []*fakeProxy // by ProxyID

	tables          map[fleet.TableID]map[fleet.ServerID]float64
	admissionLimits map[int]float64 // by class
	weightOrders    int             // number of SetWeight orders that were carried out

	channel             []queuedUpdate // messages queued in the update channel
	channelSlowdown     float64        // ratio of the assumed to the actual speed of the channel
	unconfirmedFraction float64        // fraction of the steps whose orders are unconfirmed; half of these are lost
	pendingEvents       []fleet.Event  // for the next step

	violation     string                          // the first violated invariant
	observeOrders func(fleet.Time, []fleet.Order) // called with each step's orders; may be nil
}

// queuedUpdate is a message to a proxy in the update channel.
type queuedUpdate struct {
	entries         float64
	acknowledgement fleet.BarrierReached
}

type fakeServer struct {
	fleet.Endpoint
	stateChangedAt fleet.Time // when the balancer was notified of its state
	failedFraction float64
	unresponsive   bool // it accepts requests but answers none
}

// fakeProxy is a simulated proxy. Until the balancer assigns tables, it uses its ownTables: standing tables when it
// first joins, and later a copy of the tables that it used when it disconnected.
type fakeProxy struct {
	joined                bool
	zone                  fleet.ZoneID
	joinedAt              fleet.Time
	ownTables             []map[fleet.ServerID]float64 // by class; nil: the proxy has not joined yet or has crashed
	assignedTables        []int                        // by class: a table of the balancer, or noTable
	withdrawn             map[fleet.ServerID]bool
	withoutEndpointsSince []fleet.Time // by class; 0: it has endpoints
	messagesAt            []fleet.Time
	demand                float64 // requests per second of each class
}

func testSite(rng *rand.Rand) fleet.Site {
	const millisecond = fleet.Millisecond
	return fleet.Site{
		Zones:         []string{"a", "b"},
		Controllers:   1,
		LoadFields:    []fleet.LoadField{fleet.LoadFieldInFlight, fleet.LoadFieldUtilization},
		LoadReports:   fleet.LoadReportInline,
		ListOnRequest: rng.Intn(2) == 0,
		Admission:     fleet.AdmissionMode(rng.Intn(3)),
		Classes: []fleet.RequestClass{
			{
				Idempotency:      fleet.Idempotent,
				PriorityWeight:   1,
				LatencyObjective: fleet.Second,
				Deadline:         4 * fleet.Second,
			},
			{
				Idempotency:         fleet.IdempotentWithKey,
				DeduplicationScope:  fleet.DeduplicationZone,
				DeduplicationWindow: 1500 * millisecond,
				PriorityWeight:      5,
				LatencyObjective:    fleet.Second,
				Deadline:            3 * fleet.Second,
				ZoneLocal:           true,
			},
			{
				Idempotency:      fleet.NotIdempotent,
				PriorityWeight:   3,
				LatencyObjective: 2 * fleet.Second,
				Deadline:         6 * fleet.Second,
			},
		},
		AttemptTimeoutFactor: 1,
		ReportInterval:       500 * millisecond,
		ReportsPerSecond:     300,
		EntriesPerSecond:     2500,
		MessageOverhead:      4,
		MaxBacklog:           2500,
		MaxMessages:          20,
		MessageWindow:        10 * fleet.Second,
		MaxUnservedDuration:  5 * fleet.Second,
		SlowStart:            fleet.SlowStart{InitialFraction: 0.2, Duration: 15 * fleet.Second},
		RecoveryRamp:         fleet.RecoveryRamp{OverloadFactor: 3, Duration: 1500 * millisecond},
		DrainTimeout:         2 * fleet.Second,
		MaxPollInterval:      10 * fleet.Second,
		MeanUpdateDelay:      200 * millisecond,
		ConnectTimeout:       250 * millisecond,
	}
}

// newSimulatedFleet returns a fleet in two zones with a balancer that has started. Whether proxies prefer servers of
// their partition depends on the seed.
func newSimulatedFleet(seed int64, serverCount, proxyCount int) *simulatedFleet {
	f := &simulatedFleet{
		rng:             rand.New(rand.NewSource(seed)),
		now:             simulationStart,
		channelSlowdown: 1,
	}
	f.site = testSite(f.rng)
	f.site.ProxyCount = proxyCount
	f.site.MinServerConnections = float64(f.rng.Intn(2) * 2 * proxyCount)
	for i := range serverCount {
		f.servers = append(f.servers, &fakeServer{Endpoint: fleet.Endpoint{
			Server: fleet.ServerID(f.rng.Uint32()),
			Zone:   fleet.ZoneID(i % 2),
			Weight: 1,
		}})
	}
	for i := range proxyCount {
		variation := 1 + 2*f.rng.Float64()
		f.proxies = append(f.proxies, &fakeProxy{
			zone:   fleet.ZoneID(i % 2),
			demand: variation * fakeServerCapacity * float64(serverCount) / float64(9*proxyCount),
		})
	}
	f.startBalancer(fleet.ListCached)
	return f
}

// startBalancer starts a new balancer with the present endpoint list. All proxies join at once.
func (f *simulatedFleet) startBalancer(scope fleet.ListScope) {
	f.balancer = New(f.site, f.rng.Uint64())
	f.tables = map[fleet.TableID]map[fleet.ServerID]float64{}
	f.channel = nil
	f.admissionLimits = map[int]float64{}
	events := []fleet.Event{f.endpointList(scope)}
	for id := range f.proxies {
		events = append(events, f.joinProxy(id))
	}
	f.step(events)
}

// endpointList returns the complete list, without servers that are gone.
func (f *simulatedFleet) endpointList(scope fleet.ListScope) fleet.EndpointList {
	list := fleet.EndpointList{Scope: scope}
	for _, server := range f.servers {
		if server.State != fleet.ServerGone {
			list.Endpoints = append(list.Endpoints, server.Endpoint)
			server.stateChangedAt = f.now
		} else if scope == fleet.ListCached {
			server.stateChangedAt = farFuture // a new balancer cannot withdraw a server that is in none of its lists
		}
	}
	return list
}

// joinProxy makes a proxy join with the tables that it has or, if it is new, with standing tables.
func (f *simulatedFleet) joinProxy(id int) fleet.Event {
	proxy := f.proxies[id]
	classCount := len(f.site.Classes)
	fresh := proxy.ownTables == nil
	if fresh {
		proxy.withdrawn = map[fleet.ServerID]bool{}
		proxy.ownTables = make([]map[fleet.ServerID]float64, classCount)
		for class := range proxy.ownTables {
			proxy.ownTables[class] = f.standingTable(proxy.zone)
		}
	}
	proxy.assignedTables = slices.Repeat([]int{noTable}, classCount)
	proxy.withoutEndpointsSince = make([]fleet.Time, classCount)
	proxy.messagesAt = nil
	proxy.joined = true
	proxy.joinedAt = f.now
	return fleet.ProxyJoined{Proxy: fleet.ProxyID(id), Zone: proxy.zone, Fresh: fresh}
}

// standingTable returns equal weights for the ready servers of a zone.
func (f *simulatedFleet) standingTable(zone fleet.ZoneID) map[fleet.ServerID]float64 {
	table := map[fleet.ServerID]float64{}
	for _, server := range f.servers {
		if server.Zone == zone && server.State == fleet.ServerReady {
			table[server.Server] = 1
		}
	}
	return table
}

// disconnectProxy ends a proxy's update stream. The proxy continues with a copy of its tables, unless it crashed.
func (f *simulatedFleet) disconnectProxy(id int, crashed bool) fleet.Event {
	proxy := f.proxies[id]
	for class := range proxy.ownTables {
		table := map[fleet.ServerID]float64{}
		for server, weight := range f.entries(proxy, class) {
			table[server] = weight
		}
		proxy.ownTables[class] = table
	}
	proxy.joined = false
	if crashed {
		proxy.ownTables = nil
	}
	return fleet.ProxyLeft{Proxy: fleet.ProxyID(id)}
}

// run simulates a number of seconds, with reports and with faultsPerSecond random faults on average.
func (f *simulatedFleet) run(seconds int, faultsPerSecond float64) {
	for tick := range 4 * seconds {
		f.now += fleet.Second / 4
		var events []fleet.Event
		if tick%2 == 0 {
			events = f.reports()
		}
		if f.rng.Float64() < faultsPerSecond/4 {
			events = append(events, f.fault()...)
		}
		f.step(events)
	}
}

// step steps the balancer with events, carries out its orders and checks the invariants.
func (f *simulatedFleet) step(events []fleet.Event) []fleet.Order {
	f.deliverUpdates()
	events = append(f.pendingEvents, events...)
	f.pendingEvents = nil
	orders := f.balancer.Step(f.now, events)
	if f.observeOrders != nil {
		f.observeOrders(f.now, orders)
	}
	lost := false
	if f.unconfirmedFraction > 0 && f.rng.Float64() < f.unconfirmedFraction {
		f.pendingEvents = append(f.pendingEvents, fleet.OrdersUnconfirmed{Orders: slices.Clone(orders)})
		lost = f.rng.Intn(2) == 0
	}
	if !lost {
		f.applyOrders(orders)
	}
	f.checkInvariants()
	return orders
}

// fault changes the fleet at random and returns the events that report it.
func (f *simulatedFleet) fault() []fleet.Event {
	server := f.servers[f.rng.Intn(len(f.servers))]
	id := f.rng.Intn(len(f.proxies))
	switch kind := f.rng.Intn(8); {
	case kind == 0 && server.State == fleet.ServerReady && 3*f.unavailableServers() < len(f.servers):
		return f.stopServer(server)
	case kind <= 1 && server.State != fleet.ServerReady:
		return f.restartServer(server)
	case kind == 2:
		server.failedFraction = 0.7 - server.failedFraction
	case kind == 3:
		server.unresponsive = !server.unresponsive
	case kind == 4 && f.proxies[id].joined:
		return []fleet.Event{f.disconnectProxy(id, f.rng.Intn(2) == 0)}
	case kind <= 5 && !f.proxies[id].joined:
		return []fleet.Event{f.joinProxy(id)}
	case kind == 6 && f.rng.Intn(4) == 0:
		f.crashBalancer()
	}
	return nil
}

// unavailableServers returns the number of servers that are not ready or have been restarted.
func (f *simulatedFleet) unavailableServers() int {
	count := 0
	for _, server := range f.servers {
		if server.State != fleet.ServerReady || server.Started > 0 {
			count++
		}
	}
	return count
}

func (f *simulatedFleet) stopServer(server *fakeServer) []fleet.Event {
	states := []fleet.ServerState{fleet.ServerDraining, fleet.ServerGone}
	server.State = states[f.rng.Intn(len(states))]
	server.stateChangedAt = f.now
	return []fleet.Event{fleet.EndpointList{Scope: fleet.ListDelta, Endpoints: []fleet.Endpoint{server.Endpoint}}}
}

func (f *simulatedFleet) restartServer(server *fakeServer) []fleet.Event {
	server.State = fleet.ServerReady
	server.Started = f.now - fleet.Second/2
	server.stateChangedAt = f.now
	server.failedFraction = 0
	server.unresponsive = false
	return []fleet.Event{f.endpointList(fleet.ListFull)}
}

// crashBalancer replaces the balancer by a new one. The proxies keep their tables.
func (f *simulatedFleet) crashBalancer() {
	for id, proxy := range f.proxies {
		if proxy.joined {
			f.disconnectProxy(id, false)
		}
	}
	f.startBalancer(fleet.ListCached)
}
