package balancer

import (
	"cmp"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// goneServerRetention is how long the state of a gone server is kept after its withdrawal.
	goneServerRetention = 16 * fleet.Second
	// remotePartitionWeight, divided by the number of partitions, is the initial weight of a server in each table of
	// a partition other than its own. minWeight is the lower bound.
	remotePartitionWeight = 0.1
)

// endpointState holds the servers of the endpoint list.
type endpointState struct {
	byID  map[fleet.ServerID]*serverState
	all   []*serverState // ordered by ID, with gone servers until their state is removed
	ready []*serverState // ordered by ID, servers listed as ready
}

func newEndpointState() endpointState {
	return endpointState{byID: map[fleet.ServerID]*serverState{}}
}

// serverState is the state of a server: its endpoint, measurements, health and latest orders.
type serverState struct {
	fleet.Endpoint
	// addedAt is when the server was listed for the first time or again; 0: it was warm in the first list.
	addedAt fleet.Time
	// partition is the partition whose tables prefer the server.
	partition int

	samples       []reportSample
	longWindow    windowStats
	shortWindow   windowStats
	bestLatency   fleet.Time // lowest mean latency of a long window; 0: none yet
	lastSuccessAt fleet.Time
	capacity      float64 // estimated attempts per second at full utilization, from proxies of this controller
	requestRate   float64 // attempts per second that the ordered tables send to it

	// healthFactor is the factor that outlier detection applies to its weight; 0: ejected.
	healthFactor      float64
	ejectedUntil      fleet.Time
	ejectionDuration  fleet.Time // of the latest ejection; 0 after a full recovery
	reducedForLatency bool       // the health factor was reduced since the latency was last within bounds

	lowPriorityOnly bool      // load is shed: the server is reserved for the low-priority classes
	weight          []float64 // by table, set by load balancing
	wantedWeight    []float64 // by table, with health and slow start applied
	orderedWeight   []float64 // by table, as last ordered

	weightUnconfirmed     []bool // by table: the order of the weight may not have been carried out
	withdrawn             bool   // as last ordered
	withdrawalUnconfirmed bool   // the order of withdrawn may not have been carried out
	withdrawalChangedAt   fleet.Time
}

// updateEndpoints applies an endpoint list or a delta, or handles the failure to get one.
func (b *Balancer) updateEndpoints(list fleet.EndpointList) {
	if list.Scope == fleet.ListFailed {
		b.scheduleListRequest()
		return
	}
	b.schedule.timerDueAt = b.now
	isFirstList := len(b.endpoints.all) == 0
	listed := map[fleet.ServerID]bool{}
	for _, endpoint := range list.Endpoints {
		b.updateEndpoint(endpoint, isFirstList)
		listed[endpoint.Server] = true
	}
	if list.Scope != fleet.ListDelta {
		b.endpoints.markUnlistedGone(listed)
	}
	slices.SortFunc(b.endpoints.all, func(x, y *serverState) int { return cmp.Compare(x.Server, y.Server) })
}

// emitProbes requests a health check of each ready server once per balance interval, on sites where the results carry
// the load reports.
func (b *Balancer) emitProbes() {
	if !b.schedule.intervalDue || !b.site.ProbesAllowed || b.site.LoadReports != fleet.LoadReportOnProbe {
		return
	}
	for _, server := range b.endpoints.ready {
		b.emit(fleet.ProbeServer{Server: server.Server})
	}
}

// updateEndpoint applies one endpoint of a list.
func (b *Balancer) updateEndpoint(endpoint fleet.Endpoint, isFirstList bool) {
	server, known := b.endpoints.byID[endpoint.Server]
	if !known {
		server = b.addServer(endpoint)
	}
	returned := server.State == fleet.ServerGone && endpoint.State != fleet.ServerGone
	started := !known || endpoint.Started != server.Started || returned
	server.Endpoint = endpoint
	if started {
		b.resetServer(server, isFirstList)
	}
}

func (b *Balancer) addServer(endpoint fleet.Endpoint) *serverState {
	tableCount := len(b.tables)
	server := &serverState{
		weight:            make([]float64, tableCount),
		wantedWeight:      make([]float64, tableCount),
		orderedWeight:     make([]float64, tableCount),
		weightUnconfirmed: make([]bool, tableCount),
	}
	b.endpoints.byID[endpoint.Server] = server
	b.endpoints.all = append(b.endpoints.all, server)
	server.partition = b.layout.partitionFor(endpoint.Zone, len(b.endpoints.all))
	return server
}

// resetServer drops the measurements of a server from before its start and keeps its latest orders.
func (b *Balancer) resetServer(server *serverState, isFirstList bool) {
	*server = serverState{
		Endpoint:              server.Endpoint,
		addedAt:               b.now,
		partition:             server.partition,
		lastSuccessAt:         b.now + balanceInterval,
		healthFactor:          initialHealthFactor,
		weight:                server.weight,
		wantedWeight:          server.wantedWeight,
		orderedWeight:         server.orderedWeight,
		weightUnconfirmed:     server.weightUnconfirmed,
		withdrawn:             server.withdrawn,
		withdrawalUnconfirmed: server.withdrawalUnconfirmed,
		withdrawalChangedAt:   server.withdrawalChangedAt,
	}
	if isFirstList && !b.warmingUp(server) { // the server was running before the balancer started
		server.healthFactor = 1
		server.addedAt = 0
	}
	for t := range b.tables {
		server.weight[t] = 1
		if b.layout.partitioned && server.partition != b.tables[t].partition {
			server.weight[t] = max(minWeight, remotePartitionWeight/float64(b.layout.partitionCount))
		}
		if isFirstList && b.site.ListWeight != fleet.ListWeightNone && server.Weight > 0 {
			server.weight[t] *= server.Weight
		}
	}
}

// markUnlistedGone marks the servers that are missing from a complete list as gone.
func (e *endpointState) markUnlistedGone(listed map[fleet.ServerID]bool) {
	for _, server := range e.all {
		if !listed[server.Server] {
			server.State = fleet.ServerGone
		}
	}
}

// Tracks reports whether the balancer has state of a server. The state of a gone server is kept until no proxy can
// send requests to it.
func (b *Balancer) Tracks(id fleet.ServerID) bool { return b.endpoints.byID[id] != nil }

// removeGoneServers removes the state of servers that are gone and in no table, and their withdrawals. As every new
// server has a new ID, the state would grow without bound otherwise.
func (b *Balancer) removeGoneServers() {
	b.endpoints.all = slices.DeleteFunc(b.endpoints.all, func(server *serverState) bool {
		if !b.mayRemove(server) {
			return false
		}
		// The order costs no entry, as no table has the server.
		b.emit(fleet.WithdrawServer{Server: server.Server, Cause: fleet.CauseForgotten})
		delete(b.endpoints.byID, server.Server)
		return true
	})
}

// mayRemove reports whether no proxy can send requests to a server any more. Proxies that are out of sync can, by
// tables of an earlier controller.
func (b *Balancer) mayRemove(server *serverState) bool {
	if server.State != fleet.ServerGone || !server.withdrawn || server.withdrawalUnconfirmed {
		return false
	}
	if b.now <= server.withdrawalChangedAt+goneServerRetention || b.proxies.outOfSync > 0 {
		return false
	}
	return slices.Max(server.orderedWeight) <= 0 && !slices.Contains(server.weightUnconfirmed, true)
}

// updateReadyServers collects the servers that are listed as ready.
func (b *Balancer) updateReadyServers() {
	b.endpoints.ready = nil
	for _, server := range b.endpoints.all {
		if server.State == fleet.ServerReady {
			b.endpoints.ready = append(b.endpoints.ready, server)
		}
	}
}

// warmingUp reports whether a server is in slow start.
func (b *Balancer) warmingUp(server *serverState) bool {
	return server.Started > 0 && b.now < server.Started+b.site.SlowStart.Duration
}

// warmFraction returns the fraction of its full capacity that a server is guaranteed to have at this point of its slow
// start.
func (b *Balancer) warmFraction(server *serverState) float64 {
	if !b.warmingUp(server) {
		return 1
	}
	slowStart := &b.site.SlowStart
	elapsed := max(0, (b.now-server.Started).Seconds()/slowStart.Duration.Seconds())
	return slowStart.InitialFraction + (1-slowStart.InitialFraction)*elapsed
}

// servesAllClasses reports whether a server is in service for all classes at its full capacity.
func (b *Balancer) servesAllClasses(server *serverState) bool {
	return server.healthFactor > 0 && !server.lowPriorityOnly && !b.warmingUp(server)
}
