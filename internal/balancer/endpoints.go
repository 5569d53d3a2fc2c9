package balancer

import (
	"cmp"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// minListRequestBackoff is the mean wait after the first failed endpoint list; it doubles with each further one.
	minListRequestBackoff = 2 * timerInterval
	// pollIntervalDivisor limits the mean backoff to half the poll interval, as jitter makes it up to half longer.
	pollIntervalDivisor = 2
	// minBackoffJitter is the smallest factor of the backoff. The largest is 1 more.
	minBackoffJitter = 0.5
	// goneServerRetention is how long a withdrawn server is remembered after it is gone.
	goneServerRetention = 16 * fleet.Second
	// remotePartitionWeight is the initial weight, over all partitions, of a server in partitions other than its own.
	remotePartitionWeight = 0.1
)

// endpointState is the state of endpoint discovery: the servers of the endpoint list, and when to ask for it.
type endpointState struct {
	byID  map[fleet.ServerID]*serverState
	all   []*serverState // by ID, those that are gone included until they are forgotten
	ready []*serverState // by ID, those listed as ready
	// nextRequestAt is when to ask for the list; 0: not at all.
	nextRequestAt  fleet.Time
	requestBackoff fleet.Time
}

func newEndpointState() endpointState {
	return endpointState{
		byID:           map[fleet.ServerID]*serverState{},
		requestBackoff: minListRequestBackoff,
	}
}

// serverState is what the balancer knows of a server and has ordered for it.
type serverState struct {
	fleet.Endpoint
	// addedAt is when the server was listed for the first time or again; 0: it ran before the balancer did.
	addedAt fleet.Time
	// partition is the one whose tables prefer the server.
	partition int

	samples       []reportSample
	longWindow    windowStats
	shortWindow   windowStats
	bestLatency   fleet.Time // lowest mean latency of a long window; 0: none yet
	lastSuccessAt fleet.Time
	capacity      float64 // estimated attempts per second at full utilization, of the proxies joined here
	requestRate   float64 // attempts per second that the ordered tables send it

	// healthFactor is the fraction of its weight that outlier detection leaves it; 0: ejected.
	healthFactor      float64
	ejectedUntil      fleet.Time
	ejectionDuration  fleet.Time // of the latest ejection; 0 after a full recovery
	reducedForLatency bool       // its health factor was reduced since its latency was last within bounds

	lowPriorityOnly bool      // load is shed: it serves the low-priority classes only
	weight          []float64 // by table, as the balancing of load sets it
	wantedWeight    []float64 // by table, with health and slow start taken into account
	orderedWeight   []float64 // by table, as ordered last

	weightUnconfirmed     []bool // by table: the ordered weight may not have been carried out
	withdrawn             bool   // as ordered last
	withdrawalUnconfirmed bool   // that order may not have been carried out
	withdrawalChangedAt   fleet.Time
}

// updateEndpoints takes in an endpoint list, a change of it or the failure to get it.
func (b *Balancer) updateEndpoints(list fleet.EndpointList) {
	if list.Scope == fleet.ListFailed {
		b.scheduleListRequest()
		return
	}
	b.endpoints.requestBackoff = minListRequestBackoff
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

// scheduleListRequest asks for the endpoint list again after a backoff with jitter.
func (b *Balancer) scheduleListRequest() {
	backoff := b.endpoints.requestBackoff
	b.endpoints.nextRequestAt = b.now + backoff.Scale(minBackoffJitter+b.random.float64())
	maxBackoff := max(minListRequestBackoff, b.site.MaxPollInterval/pollIntervalDivisor)
	b.endpoints.requestBackoff = min(maxBackoff, 2*backoff)
}

// emitListRequest asks for the endpoint list if that is due.
func (b *Balancer) emitListRequest() {
	if b.endpoints.nextRequestAt > 0 && b.endpoints.nextRequestAt <= b.now {
		b.endpoints.nextRequestAt = 0
		b.emit(fleet.WatchEndpoints{Enabled: true})
	}
}

// emitProbes asks for a health check of each ready server once per balance interval, where these bring the load
// reports.
func (b *Balancer) emitProbes() {
	if !b.schedule.intervalDue || !b.site.ProbesAllowed || b.site.LoadReports != fleet.LoadReportOnProbe {
		return
	}
	for _, server := range b.endpoints.ready {
		b.emit(fleet.ProbeServer{Server: server.Server})
	}
}

// updateEndpoint takes in what the list says of one server.
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

// resetServer drops what was measured of a server before its start. What was ordered for it stays.
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
	if isFirstList && !b.warmingUp(server) { // it ran before the balancer did
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

// markUnlistedGone marks the servers that a complete list does not have.
func (e *endpointState) markUnlistedGone(listed map[fleet.ServerID]bool) {
	for _, server := range e.all {
		if !listed[server.Server] {
			server.State = fleet.ServerGone
		}
	}
}

// Tracks reports whether the balancer still has state of a server.
func (b *Balancer) Tracks(id fleet.ServerID) bool { return b.endpoints.byID[id] != nil }

// forgetGoneServers drops the servers that are gone and in no table, with their withdrawals, as new servers have new
// IDs without end.
func (b *Balancer) forgetGoneServers() {
	b.endpoints.all = slices.DeleteFunc(b.endpoints.all, func(server *serverState) bool {
		if !b.mayForget(server) {
			return false
		}
		b.emit(fleet.WithdrawServer{Server: server.Server}) // no table has the server, so this costs no entry
		delete(b.endpoints.byID, server.Server)
		return true
	})
}

// mayForget reports whether no proxy sends to a server. Proxies that are out of sync might, by tables of an earlier
// controller.
func (b *Balancer) mayForget(server *serverState) bool {
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

// warmingUp reports whether a server is in its slow start.
func (b *Balancer) warmingUp(server *serverState) bool {
	return server.Started > 0 && b.now < server.Started+b.site.SlowStart.Duration
}

// warmFraction returns the guaranteed fraction of a server's capacity at this point of its slow start.
func (b *Balancer) warmFraction(server *serverState) float64 {
	if !b.warmingUp(server) {
		return 1
	}
	slowStart := &b.site.SlowStart
	elapsed := max(0, (b.now-server.Started).Seconds()/slowStart.Duration.Seconds())
	return slowStart.InitialFraction + (1-slowStart.InitialFraction)*elapsed
}

// takesAllClasses reports whether a server has a weight and serves every class at its full capacity.
func (b *Balancer) takesAllClasses(server *serverState) bool {
	return server.healthFactor > 0 && !server.lowPriorityOnly && !b.warmingUp(server)
}
