// Package logic decides which servers the proxies of a fleet send their visits to. A host makes a Governor by
// New(site, seed) and calls Step(now, events) for every batch of events; Step gives the orders to carry out.
// Site, events and orders live in package fleet. There is no clock, file or net: same events, same orders.
package balancer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"cressknot/internal/fleet"
)

const (
	balanceInterval          = 2 * fleet.Second  // the design's shortest measurement interval; weights change once in it
	timerInterval            = fleet.Second / 4  // alarm pace: an eighth of the interval; messages to all go every second one
	longWindow               = 10 * fleet.Second // five intervals: at some 30 tries chance is a fifth
	shortWindow              = 3 * fleet.Second  // a turn of reports and their delay: for what the whole fleet does
	few                      = 3                 // reports or failures that make a verdict: fewer are chance
	enough                   = 8                 // tries that make a mean; as many go unheard by chance 1 in 3000
	maxSamplesPerServer      = 128               // of a server: over two reports a second and zone within longLook
	maxDensityRatio          = 1.1               // target factor: asked density may pass the fleet's mean by a tenth
	sheddingUtilization      = 1.0               // part of its capacity asked of a fleet past which classes are squeezed
	sheddingDelayRounds      = 6                 // rounds of levels for that: drained servers are replaced within as many s
	maxTargetUtilization     = 0.74              // busy share past which chance fills some servers
	overloadedUtilization    = 0.9               // a server this busy is overloaded, so it is cut and not zeroed
	minMeaningfulUtilization = 0.05              // a busy share below this tells nothing of capacity
	maxLatencyFactor         = 1.5               // the design's bound of late, over the best quiet latency
	quarter                  = 0.25              // weight of fresh, returning, lowest halved servers; failed share of sick
	third                    = 1.0 / 3           // the design's most servers at zero; who handles less is no help
	maxEjectionDuration      = 16 * fleet.Second // doubling time at zero ends here, after 8 intervals
	warmingLoadFraction      = 0.8               // part of what a cold server surely can do that it is sent
	minWeight                = 0.01              // of the largest: keeps a line that can grow again
	minRelativeChange        = 0.03              // relative change of a line or level worth sending
	tenth                    = 0.1               // of its visits each class keeps; a level rises by so much at a time
	huge                     = 1e6               // visits a second at a proxy that stand for all; most lines may drift
	assumedChannelFraction   = 0.25              // part of the stated channel pace to count on where no mark is answered
	room                     = 0.5               // part of the backlog, and of a lone cold server's limit, to use
	reservedMessages         = 5                 // messages to a proxy kept back for its joins
	negligible               = 1e-9              // a rate or weight below this is none
)

// requestClass is what differs by class. Classes of a group share tables, one a zone: 0 is for all whose lines
// are alike, 1 for the squeezed, which go to the refuge only; a class that stays in its zone has its own.
type requestClass struct {
	valuePerWork, workPerRequest float64 // value for its work; expected time stands for work
	tableGroup                   int
	demand, admittedFraction     float64            // visits a second that come; part of them to let in
	sentAdmission                fleet.SetAdmission // as ordered
}

type weightTable struct {
	group, partition                              int
	classes                                       fleet.ClassSet // that go by it
	proxyCount, admittedRate, assignmentEntries   float64        // proxies on it; visits a second that its classes let in; lines of a bind
	orderedWeight, wantedWarmWeight, wantedWeight float64        // of the lines ordered; of those wanted of warm servers, of all
}

type reportSample struct { // one report: of what ended at a server, of its load, or of what came to a proxy
	receivedAt, interval, latency    fleet.Time
	zone                             fleet.ZoneID
	attempts, successes, utilization float64 // busy negative: not told
}

type windowStats struct {
	attempts, successes, utilization float64 // busy: mean, negative: not told
	latency                          fleet.Time
	successRate, capacity            float64 // good tries a second; the same at a busy share of 1, 0: not known
}

type serverState struct {
	fleet.Endpoint
	samples                                         []reportSample
	longWindow, shortWindow                         windowStats
	bestLatency, lastSuccessAt, withdrawalChangedAt fleet.Time // best latency seen; last good answer; when it was last withdrawn
	ejectedUntil, ejectionDuration, addedAt         fleet.Time // end of its time at zero, how long that is; when it was new, 0: not
	healthFactor                                    float64    // part of its weight that health leaves it, 0 to 1
	capacity, requestRate                           float64    // tries a second, ours only: at a busy share of 1; that we send
	weight, wantedWeight, orderedWeight             []float64  // by table: the mechanism's, wanted out, ordered
	weightUnconfirmed                               []bool     // by table: nobody knows whether the line ordered is out
	partition                                       int        // the tables that it is first in
	reducedForLatency, lowPriorityOnly, withdrawn   bool       // since it was last on time; takes squeezed classes only; ordered
	withdrawalUnconfirmed                           bool       // nobody knows whether that order was carried out
}

type pendingBarrier struct{ entriesBefore, entries, proxyCount, acknowledgements float64 } // lines before it, its own; proxies

type proxyState struct {
	id                                 fleet.ProxyID
	partition                          int              // the tables that it goes by
	expectedRate, reportedExpectedRate float64          // visits a second, as told when it joined; the same once it was heard of
	assignedTables                     []int            // by class: its table of ours, -1: none yet
	outOfSync                          bool             // is not on the tables it should be on, or nobody knows whether it is
	assignmentUnconfirmed              bool             // nobody knows whether it was bound
	withdrawalsRepeated                bool             // has had to wait, and hears of earlier withdrawals
	joinedAt                           fleet.Time       // when it joined
	demandSamples                      [][]reportSample // by class
}

type Balancer struct { // decides for the proxies that are joined to it
	site                                               fleet.Site
	random                                             randomGenerator
	classes                                            []requestClass
	classesByValue                                     []int // the classes, from the least value for its work up
	tables                                             []weightTable
	serversByID                                        map[fleet.ServerID]*serverState
	proxiesByID                                        map[fleet.ProxyID]*proxyState
	servers, ready                                     []*serverState // by id: all known, those listed as ready
	proxies                                            []*proxyState  // joined, by id
	zoneHasProxies                                     []bool         // by zone: has joined proxies
	utilizationField                                   int            // place of the busy share in load reports, or -1
	partitioned                                        bool           // more proxies than a server has connections: each has a part
	partitionsPerZone, partitionCount                  int            // parts a zone, to leave connections free; in all
	overloadedRounds                                   int            // times in a row that the load was past squeezeAt
	intervalDue, observing                             bool           // an interval ends; no tables are laid yet
	inheritedTables                                    bool           // proxies joined with tables of another
	now, startedAt, deliveredAt                        fleet.Time     // of this step, of the first; when left was worked out
	balancedAt, estimatedAt, latestOutcomeAt           fleet.Time     // last judgement, last levels; newest report of tries
	nextListRequestAt, listRequestBackoff              fleet.Time     // when to ask for the list, 0: no; wait before it is asked again
	broadcastAt, nextChangesAt                         fleet.Time     // last message to all; when ordinary lines may go, 0: none wait
	timerDueAt, sheddingUntil, reportCycle             fleet.Time     // the last of the rationed reports
	entriesSent, entriesDelivered, entriesAcknowledged float64        // put into the channel in all; gone from it; by answers to marks
	outOfSyncProxies                                   float64        // proxies that are not on our tables, or not surely
	pendingBarriers                                    map[fleet.BarrierID]*pendingBarrier
	lastBarrier                                        fleet.BarrierID // the latest
	recentlyAddedFraction                              float64         // part of the visits, or of servers, that came within the long look
	targetUtilization, meanUtilization, sheddingLoad   float64         // busy share to agree on; the fleet's mean; that on one server
	medianCapacity, lowCapacity, failedFraction        float64         // of warm capacity: median, low quartile; failed share
	retryMode                                          fleet.RetryMode
	orders                                             []fleet.Order
}

type randomGenerator struct{ state, carry uint32 } // a multiply-with-carry generator

func (c *randomGenerator) float64() float64 {
	t := 4294957665*uint64(c.state) + uint64(c.carry)
	c.state, c.carry = uint32(t), uint32(t>>32)
	return float64(c.state) / (1 << 32)
}

func New(site fleet.Site, seed uint64) *Balancer {
	g := &Balancer{
		site: site, random: randomGenerator{uint32(seed) | 1, uint32(seed>>33) | 1}, listRequestBackoff: 2 * timerInterval, startedAt: -1,
		serversByID: map[fleet.ServerID]*serverState{}, pendingBarriers: map[fleet.BarrierID]*pendingBarrier{},
		proxiesByID: map[fleet.ProxyID]*proxyState{}, observing: true, targetUtilization: maxTargetUtilization,
		utilizationField: slices.Index(site.LoadFields, fleet.LoadFieldUtilization),
		partitioned:      cmp.Or(site.MinServerConnections, huge) < float64(site.ProxyCount),
	}
	each := maxDensityRatio * float64(site.ProxyCount) / float64(len(site.Zones))
	g.partitionsPerZone = int(max(1, min(enough, math.Ceil(each/cmp.Or(site.MinServerConnections, huge)))))
	g.partitionCount = g.partitionsPerZone * len(site.Zones)
	for t := range (2 + len(site.Classes)) * g.partitionCount {
		g.tables = append(g.tables, weightTable{group: t / g.partitionCount, partition: t % g.partitionCount})
	}
	for i, c := range site.Classes {
		work := max(negligible, c.LatencyObjective.Seconds())
		row := requestClass{valuePerWork: c.PriorityWeight / work, workPerRequest: work, admittedFraction: 1}
		if row.sentAdmission = (fleet.SetAdmission{Limit: huge, Retry: site.DefaultRetry}); c.ZoneLocal {
			row.tableGroup = 2 + i
		}
		g.classesByValue, g.classes = append(g.classesByValue, i), append(g.classes, row)
	}
	by := func(a, b int) int { return cmp.Compare(g.classes[a].valuePerWork, g.classes[b].valuePerWork) }
	slices.SortStableFunc(g.classesByValue, by)
	return g
}

// Step hears events and gives the orders to carry out now. The orders are good until the next Step.
func (g *Balancer) Step(now fleet.Time, events []fleet.Event) []fleet.Order {
	g.now, g.orders = now, g.orders[:0]
	if g.startedAt < 0 {
		g.startedAt, g.balancedAt, g.deliveredAt, g.broadcastAt = now, now, now, now-balanceInterval
		if g.site.ListOnRequest {
			g.nextListRequestAt = now
		}
	}
	for _, e := range events {
		g.observe(e)
	}
	// Former tables may be down to withdrawn lines, so the watch ends well before that breaks a rule.
	watch := min(2*balanceInterval, g.site.MaxUnservedDuration/2)
	if all := float64(len(g.proxies) * len(g.servers)); !g.inheritedTables && all > balanceInterval.Seconds()*g.site.EntriesPerSecond {
		watch = 2 * balanceInterval // lines once out are dear to change
	}
	watched := g.observing && (now >= g.startedAt+watch || g.medianCapacity > 0 && now >= g.startedAt+balanceInterval)
	g.intervalDue = now >= g.balancedAt+balanceInterval || watched
	second := g.intervalDue || now >= g.estimatedAt+balanceInterval/2 // levels follow demand at the pace of reports
	if !second && now < g.timerDueAt {
		return g.orders
	}
	g.updateFleet()
	if second {
		g.estimatedAt = now
		g.updateEstimates()
		g.updateAdmission()
	}
	if watched { // the first tables go by what servers were measured to carry
		g.observing = false
		for _, s := range g.ready {
			for t := range s.weight {
				s.weight[t] *= cmp.Or(s.capacity, 1) / cmp.Or(g.medianCapacity, 1)
			}
		}
	} else if g.intervalDue && g.medianCapacity > 0 && g.latestOutcomeAt > g.balancedAt { // with nothing new to go by, what is out stays
		g.updateHealth()
		g.balanceWeights()
	}
	if g.intervalDue {
		g.balancedAt, g.nextChangesAt = now, now
		g.forgetGoneServers()
	}
	g.updateFleet()
	g.updateWantedWeights()
	g.emitOrders()
	return g.orders
}

func (g *Balancer) observe(event fleet.Event) {
	switch e := event.(type) {
	case fleet.EndpointList:
		g.updateEndpoints(e)
	case fleet.ProxyJoined:
		p, n := g.proxiesByID[e.Proxy], len(g.classes)
		if g.timerDueAt = g.now; p != nil && !e.Fresh { // it may have left unseen: on our tables still or not
			p.assignmentUnconfirmed, p.withdrawalsRepeated, p.joinedAt = true, false, g.now
		} else {
			g.removeProxy(e.Proxy)
			p = &proxyState{id: e.Proxy, joinedAt: g.now, expectedRate: max(negligible, e.RequestRate), assignedTables: slices.Repeat([]int{-1}, n),
				partition: min(int(e.Zone), len(g.site.Zones)-1)*g.partitionsPerZone + int(e.Proxy)%g.partitionsPerZone, demandSamples: make([][]reportSample, n)}
			g.proxiesByID[p.id], g.proxies, g.inheritedTables = p, append(g.proxies, p), g.inheritedTables || !e.Fresh
			slices.SortFunc(g.proxies, func(a, b *proxyState) int { return cmp.Compare(a.id, b.id) })
		}
	case fleet.ProxyLeft:
		g.removeProxy(e.Proxy)
	case fleet.OutcomeReport:
		if s := g.serversByID[e.Server]; s != nil && int(e.Zone) < len(g.site.Zones) {
			good := float64(e.Attempts) - float64(e.Failures)
			s.samples = append(s.samples[max(0, len(s.samples)-maxSamplesPerServer):],
				reportSample{g.now, e.Interval, e.Latency, e.Zone, float64(e.Attempts), good, g.utilizationIn(e.Load)})
			if g.latestOutcomeAt = g.now; good > 0 {
				s.lastSuccessAt = g.now
			}
		}
	case fleet.ProbeResult:
		if s := g.serversByID[e.Server]; s != nil && e.Outcome == fleet.ProbeAnswered {
			s.samples = append(s.samples, reportSample{receivedAt: g.now, utilization: g.utilizationIn(e.Load)})
		}
	case fleet.BarrierReached: // messages leave in their order
		if m := g.pendingBarriers[e.Barrier]; m != nil {
			if sent := m.entriesBefore + m.entries*min(1, m.acknowledgements/m.proxyCount); sent > g.entriesAcknowledged {
				g.entriesAcknowledged, g.entriesDelivered = sent, sent // also where it is slower than counted on
			}
			m.acknowledgements++
			maps.DeleteFunc(g.pendingBarriers, func(_ fleet.BarrierID, m *pendingBarrier) bool {
				return m.entriesBefore+m.entries <= g.entriesAcknowledged
			})
		}
	case fleet.OrdersUnconfirmed:
		g.markUnconfirmed(e.Orders)
	case fleet.DemandReport:
		if p := g.proxiesByID[e.Proxy]; p != nil && int(e.Class) < len(p.demandSamples) {
			u, span := p.demandSamples[e.Class], e.Interval
			if len(u) > 0 { // what lines state of a long silence ends at some seconds
				span = max(span, g.now-u[len(u)-1].receivedAt-g.reportCycle)
			}
			if p.reportedExpectedRate, u = p.expectedRate, u[max(0, len(u)+1-few):]; e.Interval > few*g.site.ReportInterval {
				u = nil
			}
			p.demandSamples[e.Class] = append(u, reportSample{receivedAt: g.now, interval: span, attempts: float64(e.Requests)})
		}
	}
}

func (g *Balancer) utilizationIn(load []float32) float64 {
	if g.utilizationField < 0 || g.utilizationField >= len(load) {
		return -1
	}
	return float64(load[g.utilizationField])
}

// markUnconfirmed takes in that orders may not be out. They go again as all others do, when the channel has room.
func (g *Balancer) markUnconfirmed(orders []fleet.Order) {
	g.nextChangesAt = g.now
	for _, order := range orders {
		switch o := order.(type) {
		case fleet.SetWeight:
			if s := g.serversByID[o.Server]; s != nil {
				s.weightUnconfirmed[o.Table] = true
			}
		case fleet.WithdrawServer:
			if s := g.serversByID[o.Server]; s != nil {
				s.withdrawalUnconfirmed = true
			}
		case fleet.SetAdmission:
			for c := range g.classes {
				g.classes[c].sentAdmission.Limit = 0
			}
		case fleet.AssignTable:
			if p := g.proxiesByID[o.Proxy]; p != nil {
				p.assignmentUnconfirmed = true
			}
		}
	}
}

func (g *Balancer) removeProxy(id fleet.ProxyID) {
	delete(g.proxiesByID, id)
	g.proxies = slices.DeleteFunc(g.proxies, func(p *proxyState) bool { return p.id == id })
}

func (g *Balancer) updateEndpoints(e fleet.EndpointList) {
	if e.Scope == fleet.ListFailed {
		g.nextListRequestAt = g.now + g.listRequestBackoff.Scale(0.5+g.random.float64())
		g.listRequestBackoff = min(max(2*timerInterval, g.site.MaxPollInterval/2), 2*g.listRequestBackoff)
		return
	}
	g.listRequestBackoff, g.timerDueAt = 2*timerInterval, g.now
	atStart, listed := len(g.servers) == 0, map[fleet.ServerID]bool{}
	for _, entry := range e.Endpoints {
		s, known := g.serversByID[entry.Server]
		if !known {
			n := len(g.tables)
			s = &serverState{weight: make([]float64, n), wantedWeight: make([]float64, n), orderedWeight: make([]float64, n)}
			s.weightUnconfirmed = make([]bool, n)
			g.serversByID[entry.Server], g.servers = s, append(g.servers, s)
			s.partition = min(int(entry.Zone), len(g.site.Zones)-1)*g.partitionsPerZone + len(g.servers)%g.partitionsPerZone
		}
		anew := !known || entry.Started != s.Started || s.State == fleet.ServerGone && entry.State != fleet.ServerGone
		s.Endpoint, listed[entry.Server] = entry, true
		if !anew {
			continue
		}
		*s = serverState{Endpoint: s.Endpoint, weight: s.weight, wantedWeight: s.wantedWeight, orderedWeight: s.orderedWeight, withdrawn: s.withdrawn,
			weightUnconfirmed: s.weightUnconfirmed, withdrawalUnconfirmed: s.withdrawalUnconfirmed, withdrawalChangedAt: s.withdrawalChangedAt, partition: s.partition, addedAt: g.now,
			lastSuccessAt: g.now + balanceInterval, healthFactor: quarter}
		if atStart && !g.warmingUp(s) { // it was up before we were: not fresh
			s.healthFactor, s.addedAt = 1, 0
		}
		for t, b := range g.tables {
			if s.weight[t] = 1; g.partitioned && s.partition != b.partition {
				s.weight[t] = max(minWeight, tenth/float64(g.partitionCount))
			}
			if atStart && g.site.ListWeight != fleet.ListWeightNone && s.Weight > 0 {
				s.weight[t] *= s.Weight
			}
		}
	}
	for _, s := range g.servers {
		if e.Scope != fleet.ListDelta && !listed[s.Server] {
			s.State = fleet.ServerGone
		}
	}
	slices.SortFunc(g.servers, func(a, b *serverState) int { return cmp.Compare(a.Server, b.Server) })
}

// Tracks tells whether a server is one that the governor still has to do with.
func (g *Balancer) Tracks(id fleet.ServerID) bool { return g.serversByID[id] != nil }

// forgetGoneServers drops servers that are gone and in no table of ours: each that starts has a new id, without end.
// Proxies that come with former tables may still send there, so it waits for these to be on ours.
func (g *Balancer) forgetGoneServers() {
	g.servers = slices.DeleteFunc(g.servers, func(s *serverState) bool {
		old := s.State == fleet.ServerGone && s.withdrawn && g.now > s.withdrawalChangedAt+maxEjectionDuration
		if !old || s.withdrawalUnconfirmed || g.outOfSyncProxies > 0 || slices.Max(s.orderedWeight) > 0 || slices.Contains(s.weightUnconfirmed, true) {
			return false
		}
		g.orders = append(g.orders, fleet.WithdrawServer{Server: s.Server}) // costs no line, as no table has it
		delete(g.serversByID, s.Server)
		return true
	})
}

func (g *Balancer) warmingUp(s *serverState) bool {
	return s.Started > 0 && g.now < s.Started+g.site.SlowStart.Duration
}

func (g *Balancer) warmFraction(s *serverState) float64 { // the part of its capacity that it surely has
	if !g.warmingUp(s) {
		return 1
	}
	return g.site.SlowStart.InitialFraction + (1-g.site.SlowStart.InitialFraction)*max(0, (g.now-s.Started).Seconds()/g.site.SlowStart.Duration.Seconds())
}

func (g *Balancer) takesAllClasses(s *serverState) bool {
	return s.healthFactor > 0 && !s.lowPriorityOnly && !g.warmingUp(s)
}

func (g *Balancer) mayServe(s *serverState, t int) bool {
	return s.State == fleet.ServerReady && (g.tables[t].group < 2 || s.partition/g.partitionsPerZone == g.tables[t].partition/g.partitionsPerZone)
}

func (g *Balancer) tableOf(c, part int) int {
	row := &g.classes[c]
	if row.tableGroup < 2 && !g.partitioned {
		part = 0
	}
	return row.tableGroup*g.partitionCount + part
}

// updateFleet works out demand, what comes to each table and who is on it.
func (g *Balancer) updateFleet() {
	lines := float64(len(g.proxies) * len(g.classes))
	g.ready, g.zoneHasProxies, g.outOfSyncProxies = nil, make([]bool, len(g.site.Zones)), 0
	anew := 0.0
	for _, s := range g.servers {
		if s.State == fleet.ServerReady {
			if g.ready = append(g.ready, s); s.addedAt > 0 && g.now < s.addedAt+longWindow {
				anew++
			}
		}
	}
	for t, b := range g.tables {
		g.tables[t] = weightTable{group: b.group, partition: b.partition}
		for _, s := range g.servers {
			if s.State == fleet.ServerReady && !s.withdrawn {
				g.tables[t].orderedWeight += s.orderedWeight[t]
			}
		}
	}
	all, heard, come := negligible, negligible, 0.0
	for _, p := range g.proxies {
		if g.now < p.joinedAt+longWindow {
			come += p.expectedRate
		}
		if !g.zoneHasProxies[p.partition/g.partitionsPerZone] {
			lines += float64(len(g.ready))
		}
		g.zoneHasProxies[p.partition/g.partitionsPerZone], p.outOfSync, all, heard = true, p.assignmentUnconfirmed, all+p.expectedRate, heard+p.reportedExpectedRate
		for c, t := range p.assignedTables {
			p.outOfSync = p.outOfSync || t != g.tableOf(c, p.partition)
			if t >= 0 && !slices.Contains(p.assignedTables[:c], t) {
				g.tables[t].proxyCount++
			}
		}
		if p.outOfSync {
			g.outOfSyncProxies++
		}
		if p.outOfSync && !p.withdrawalsRepeated && g.now >= p.joinedAt+g.site.DrainTimeout/4 {
			p.withdrawalsRepeated = true
			for _, s := range g.servers {
				since := p.joinedAt - s.withdrawalChangedAt
				s.withdrawalUnconfirmed = s.withdrawalUnconfirmed || s.withdrawn && since >= 0 && since <= few*balanceInterval
			}
		}
	}
	g.recentlyAddedFraction = max(come/all, anew/max(1, float64(len(g.ready))))
	g.reportCycle = max(g.site.ReportInterval, fleet.Second.Scale(lines/max(1, g.site.ReportsPerSecond)))
	for c := range g.classes {
		row := &g.classes[c]
		for part := range g.partitionCount {
			g.tables[g.tableOf(c, part)].classes |= 1 << c
		}
		row.demand = 0
		for _, p := range g.proxies {
			n := g.requestRate(p, c) * all / heard
			row.demand += n
			g.tables[g.tableOf(c, p.partition)].admittedRate += n * row.admittedFraction
		}
	}
}

// updateEstimates works out the figures; the fewer tries a server had, the more it counts as average of its kind.
func (g *Balancer) updateEstimates() {
	load, capacity, tries, good := 0.0, 0.0, 0.0, 0.0
	kinds, warm := map[fleet.KindID][]float64{}, []float64{}
	for _, s := range g.ready {
		s.requestRate = 0
		for t, b := range g.tables {
			s.requestRate += b.admittedRate * s.orderedWeight[t] / max(b.orderedWeight, negligible)
		}
		s.longWindow = s.summarize(g.latestOutcomeAt-max(longWindow, few*g.reportCycle), len(g.site.Zones))
		s.shortWindow = s.summarize(g.latestOutcomeAt-max(shortWindow, few*g.reportCycle/2), len(g.site.Zones))
		tries, good = tries+s.shortWindow.attempts, good+s.shortWindow.successes
		if s.longWindow.successes < enough {
			continue
		}
		s.bestLatency = min(cmp.Or(s.bestLatency, s.longWindow.latency), s.longWindow.latency)
		if !s.lowPriorityOnly && !g.warmingUp(s) && (!g.partitioned || g.zoneHasProxies[s.partition/g.partitionsPerZone]) {
			warm, kinds[s.Kind] = append(warm, s.longWindow.capacity), append(kinds[s.Kind], s.longWindow.capacity)
		}
	}
	g.medianCapacity, g.lowCapacity = cmp.Or(quantile(warm, 0.5), g.medianCapacity), cmp.Or(quantile(warm, quarter), g.lowCapacity)
	g.failedFraction = (tries - good) / max(1, tries)
	for _, s := range g.ready {
		if s.capacity = cmp.Or(quantile(kinds[s.Kind], 0.5), g.medianCapacity); g.partitioned && !g.zoneHasProxies[s.partition/g.partitionsPerZone] {
			s.capacity *= tenth // those others use; ours only as a help
		}
		if s.longWindow.capacity > 0 {
			s.capacity = (s.longWindow.successes + enough) / (s.longWindow.successes/s.longWindow.capacity + enough/s.capacity)
		}
		if g.takesAllClasses(s) {
			load, capacity = load+s.requestRate, capacity+s.capacity*s.healthFactor
		}
	}
	g.meanUtilization = load / max(negligible, capacity)
	g.targetUtilization = max(g.meanUtilization, min(maxTargetUtilization, maxDensityRatio*g.meanUtilization))
}

func quantile(of []float64, share float64) float64 {
	slices.Sort(of)
	return append(of, 0)[int(float64(len(of))*share)]
}

// requestRate a second of a class that come to a proxy. Lines tell of times with visits only, so the silence since
// the last one counts too: where few come, three visits over the three waits before them are half too many.
func (g *Balancer) requestRate(p *proxyState, class int) float64 {
	u := p.demandSamples[class]
	if len(u) == 0 {
		return 0
	}
	return rate(u, max(0, g.latestOutcomeAt-u[len(u)-1].receivedAt-g.reportCycle))
}

func rate(samples []reportSample, span fleet.Time) float64 {
	tries := 0.0
	for _, m := range samples {
		tries, span = tries+m.attempts, span+m.interval
	}
	return tries / max(span.Seconds(), negligible)
}

// summarize sums up the samples since a time. Rates go by the spans that reports state, as these come late.
func (s *serverState) summarize(since fleet.Time, zones int) windowStats {
	f, latency, busy, told := windowStats{utilization: -1}, 0.0, 0.0, 0.0
	byZone := make([]reportSample, zones)
	for _, m := range s.samples {
		if m.receivedAt < since {
			continue
		}
		z := &byZone[m.zone]
		z.interval, z.attempts = z.interval+m.interval, z.attempts+m.successes
		f.attempts, f.successes, latency = f.attempts+m.attempts, f.successes+m.successes, latency+m.successes*m.latency.Seconds()
		if m.utilization >= 0 {
			busy, told = busy+m.utilization, told+1
		}
	}
	for z := range byZone {
		f.successRate += rate(byZone[z:z+1], 0)
	}
	if told > 0 {
		f.utilization = max(minMeaningfulUtilization, busy/told)
	}
	if f.successes > 0 {
		f.latency, f.capacity = fleet.Second.Scale(latency/f.successes), max(0, f.successRate/f.utilization)
	}
	return f
}

// updateHealth sets what health leaves each server of its weight. None is blamed for what the fleet does; who fails
// a part of its tries still helps, and is cut off only if the others can carry it.
func (g *Balancer) updateHealth() {
	zeroed, carry := 0.0, 0.0
	for _, s := range g.ready {
		if carry += s.capacity * s.healthFactor; s.healthFactor == 0 {
			zeroed++
		}
	}
	// Reports take turns: only a server passed over several times, while others were heard, is silent.
	most, missed, asked := max(quarter, 2*g.failedFraction), few*g.reportCycle, g.meanUtilization*carry
	for _, s := range g.ready {
		unheard, failed, had := g.latestOutcomeAt-s.lastSuccessAt, s.longWindow.attempts-s.longWindow.successes, s.capacity*s.healthFactor
		silent := unheard > missed && s.requestRate*unheard.Seconds() > enough
		sick := failed >= max(few, s.longWindow.attempts*most) &&
			(s.shortWindow.successes < third*s.shortWindow.attempts || asked < maxTargetUtilization*(carry-had))
		late := s.bestLatency > 0 && s.longWindow.latency > s.bestLatency.Scale(maxLatencyFactor/max(minMeaningfulUtilization, min(1, 1-s.longWindow.utilization)))
		switch {
		case s.healthFactor > 0 && s.longWindow.utilization < overloadedUtilization && (silent || sick):
			s.ejectionDuration = min(maxEjectionDuration, max(balanceInterval, 2*s.ejectionDuration))
			s.healthFactor, s.ejectedUntil, carry = quarter, g.now+s.ejectionDuration, carry-had
			if zeroed+1 <= float64(len(g.ready))*third {
				s.healthFactor, zeroed = 0, zeroed+1
			}
			g.orders = append(g.orders, fleet.LogMessage{Text: fmt.Sprintf(
				"server %d cut off for %.0f s: silent %v, %.0f of %.0f tries failed",
				s.Server, s.ejectionDuration.Seconds(), silent, failed, s.longWindow.attempts)})
			s.samples = s.samples[:0]
		case s.healthFactor == 0 && g.now >= s.ejectedUntil:
			s.healthFactor, s.lastSuccessAt = quarter, g.now+balanceInterval
		case s.healthFactor == 0:
		case late:
			if !s.reducedForLatency && s.requestRate < s.capacity*g.targetUtilization {
				s.healthFactor, s.reducedForLatency = max(quarter, s.healthFactor/2), true
			}
		default:
			if s.healthFactor, s.reducedForLatency = min(1, s.healthFactor+quarter), false; s.healthFactor == 1 {
				s.ejectionDuration = 0
			}
		}
	}
}

// balanceWeights is the design's ordinary path: cut by saturation overload, spread the cut evenly and normalise.
func (g *Balancer) balanceWeights() {
	density, agreed := make([]float64, len(g.ready)), make([]float64, len(g.ready))
	stay := func(s *serverState) float64 { return 1 + s.longWindow.latency.Seconds()/balanceInterval.Seconds() }
	for i, s := range g.ready {
		if s.healthFactor > 0 && !s.lowPriorityOnly {
			density[i], agreed[i] = s.requestRate*stay(s), s.capacity*g.targetUtilization*stay(s)
		}
	}
	for t, b := range g.tables {
		begun := func(s *serverState) float64 {
			return b.admittedRate * s.orderedWeight[t] / max(b.orderedWeight, negligible) * balanceInterval.Seconds()
		}
		room := func(i int) float64 { // tries that a server at full weight can take up to saturation 1
			if s := g.ready[i]; g.mayServe(s, t) && s.healthFactor == 1 && !g.warmingUp(s) && density[i] < agreed[i] {
				return (agreed[i] - density[i]) / stay(s) * balanceInterval.Seconds()
			}
			return 0
		}
		cut, most := 0.0, negligible
		for i, s := range g.ready {
			if g.mayServe(s, t) && density[i] > agreed[i] {
				part := min(1, (density[i]-agreed[i])/density[i]*stay(s)) // Δ over tries begun
				s.weight[t] *= 1 - part
				cut += part * begun(s)
			}
		}
		for range 3 { // receivers fill up, so what is left is spread again
			part := 0.0
			for i := range g.ready {
				part += math.Ceil(min(1, room(i)))
			}
			part = cut / max(1, part)
			for i, s := range g.ready {
				share := min(part, room(i))
				s.weight[t] *= 1 + share/(begun(s)+1)
				density[i] += share * stay(s) / balanceInterval.Seconds()
				cut -= share
			}
		}
		for _, s := range g.ready {
			if g.mayServe(s, t) && s.healthFactor == 1 && !g.warmingUp(s) {
				most = max(most, s.weight[t])
			}
		}
		for _, s := range g.ready {
			s.weight[t] = min(1, max(minWeight, s.weight[t]/most))
		}
	}
}

// updateAdmission lets in what the fleet can handle on time, least value cut first; strained, it gets no further tries.
func (g *Balancer) updateAdmission() {
	handled, busy, carry, coming, demand := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, s := range g.ready {
		if can := min(1, s.healthFactor+quarter) * g.warmFraction(s); s.healthFactor > 0 && (s.requestRate > negligible || g.observing) {
			carry += can
		} else if s.healthFactor > 0 { // fresh, in no table yet
			coming += can
		}
		if g.takesAllClasses(s) && s.shortWindow.utilization >= 0 {
			part := 1.0
			if s.shortWindow.utilization < overloadedUtilization && g.site.Admission != fleet.AdmissionUnlimited { // fails while idle: no want of it
				part = s.shortWindow.attempts / max(1, s.shortWindow.successes)
			}
			handled, busy = handled+s.shortWindow.successRate*part, busy+s.shortWindow.utilization
		}
	}
	for _, c := range g.classes {
		demand += c.demand
	}
	if busy == 0 || handled == 0 || demand < negligible {
		return
	}
	load := demand / (handled / busy * carry) // busy share that would let all in
	g.shedLoad(load*carry/(carry+coming), carry+coming)
	over := demand * max(0, 1-maxTargetUtilization/load)
	if g.retryMode = fleet.RetryNever; over == 0 {
		g.retryMode = fleet.RetryIfNotExecuted
	}
	for _, id := range g.classesByValue {
		c := &g.classes[id]
		cut := min(over, c.demand*(1-tenth))
		if over -= cut; g.site.Admission != fleet.AdmissionUnlimited {
			c.admittedFraction = min(1-cut/max(c.demand, negligible), c.admittedFraction+tenth)
		}
	}
}

// shedLoad, where all is let in, gives the classes of least value a few servers to share, as a last resort.
func (g *Balancer) shedLoad(load, carry float64) {
	if g.site.Admission != fleet.AdmissionUnlimited {
		return
	}
	if g.now < g.sheddingUntil { // the others' lighter mix tells too little of the load to end it; new servers do
		if load = g.sheddingLoad / carry; load > overloadedUtilization {
			return
		}
		g.sheddingUntil = 0
	}
	// What was handled lags behind where servers go, and tells nothing where many servers or proxies just came.
	n, work, need, refuge := float64(len(g.ready)), 0.0, 0.0, 0
	if g.overloadedRounds++; g.observing || g.recentlyAddedFraction > quarter || min(load, g.meanUtilization) < sheddingUtilization {
		g.overloadedRounds = 0
	}
	fits := g.overloadedRounds >= sheddingDelayRounds || load > overloadedUtilization && g.now < g.sheddingUntil+balanceInterval
	for _, c := range g.classes {
		work += c.demand * c.workPerRequest
	}
	for i, id := range slices.Backward(g.classesByValue) {
		c := &g.classes[id]
		part := c.demand * c.workPerRequest / work * load / maxTargetUtilization
		if fits = fits && i > 0 && (need == 0 || need+part < 1-tenth); fits {
			need = min(need+part, 1-tenth)
		}
		if c.tableGroup < 2 && !fits && need > 0 {
			c.tableGroup, refuge, g.sheddingUntil = 1, int(n-math.Ceil(need*n)), g.now+maxEjectionDuration
			g.sheddingLoad = load * carry
			g.orders = append(g.orders, fleet.LogMessage{Text: fmt.Sprintf(
				"class %d is squeezed: load %.2f of %.1f servers' worth, %.2f by tables; %d take it",
				id, load, carry, g.meanUtilization, refuge)})
		} else if c.tableGroup < 2 {
			c.tableGroup = 0
		}
	}
	for _, s := range g.ready {
		if s.lowPriorityOnly = refuge > 0 && !g.warmingUp(s); s.lowPriorityOnly {
			refuge--
		}
	}
}

func (g *Balancer) admissionLimit(class int) float64 { // its level: a share, or a rate at each proxy
	c, rates := g.classes[class], []float64{}
	if g.site.Admission == fleet.AdmissionFraction && c.admittedFraction < 1 {
		return c.admittedFraction
	}
	if c.admittedFraction >= 1 {
		return huge
	}
	for _, p := range g.proxies {
		rates = append(rates, g.requestRate(p, class))
	}
	slices.Sort(rates)
	left := c.admittedFraction * c.demand
	for i, r := range rates {
		if each := left / float64(len(rates)-i); r >= each {
			return each
		}
		left -= r
	}
	return huge
}

// updateWantedWeights works out the lines that should be out. Nobody goes bare: with no warm server left, all share.
func (g *Balancer) updateWantedWeights() {
	for t := range g.tables {
		b := &g.tables[t]
		for pass := 0; pass < 2 && b.wantedWarmWeight == 0; pass++ {
			b.wantedWeight = 0
			for _, s := range g.servers {
				right := pass == 1 || b.group > 1 || s.lowPriorityOnly == (b.group == 1)
				if s.wantedWeight[t] = 0; (b.proxyCount > 0 || b.classes != 0) && right && g.mayServe(s, t) {
					s.wantedWeight[t] = s.weight[t] * max(s.healthFactor, quarter*float64(pass))
				}
				if b.wantedWeight += s.wantedWeight[t]; !g.warmingUp(s) {
					b.wantedWarmWeight += s.wantedWeight[t]
				}
			}
		}
	}
	// Where most tries fail proxies crowd on the few that answer: a cold server must be out of the tables then.
	crowd := max(0, 1-math.Pow(g.failedFraction, cmp.Or(float64(g.site.ProxyOutlierFailures), huge))/tenth)
	for _, s := range g.ready {
		if !g.warmingUp(s) || g.medianCapacity == 0 {
			continue
		}
		can, load := g.warmFraction(s)*g.lowCapacity*crowd, negligible
		for t, b := range g.tables {
			load += b.admittedRate * s.wantedWeight[t] / max(b.wantedWeight, negligible)
		}
		for t, b := range g.tables {
			if b.wantedWarmWeight > 0 {
				s.wantedWeight[t] = min(s.wantedWeight[t], s.wantedWeight[t]/b.wantedWeight*warmingLoadFraction*can/load*b.wantedWarmWeight)
			} else if load > can*g.site.RecoveryRamp.OverloadFactor*room {
				s.wantedWeight[t] = 0
			}
		}
	}
}

// emitOrders emits the difference between what is wanted and what is out.
func (g *Balancer) emitOrders() {
	g.entriesDelivered = min(g.entriesSent, g.entriesDelivered+(g.now-g.deliveredAt).Seconds()*g.site.EntriesPerSecond*assumedChannelFraction)
	if g.deliveredAt = g.now; g.timerDueAt <= g.now {
		g.timerDueAt = g.now + timerInterval
		g.orders = append(g.orders, fleet.SetTimer{Delay: timerInterval})
	}
	if g.nextListRequestAt > 0 && g.nextListRequestAt <= g.now {
		g.nextListRequestAt, g.orders = 0, append(g.orders, fleet.WatchEndpoints{Enabled: true})
	}
	for _, s := range g.ready {
		if g.intervalDue && g.site.ProbesAllowed && g.site.LoadReports == fleet.LoadReportOnProbe {
			g.orders = append(g.orders, fleet.ProbeServer{Server: s.Server})
		}
	}
	if g.site.SliceCount > 0 {
		return
	}
	most := max(1, cmp.Or(g.site.MaxMessages, huge)-reservedMessages)
	gap, before := max(2*timerInterval, g.site.MessageWindow/fleet.Time(most)), g.entriesSent
	if g.now >= g.broadcastAt+gap {
		g.publish()
	}
	if reached := g.assignProxies(); g.entriesSent > before {
		if g.broadcastAt == g.now {
			reached = len(g.proxies)
		}
		g.lastBarrier = (g.lastBarrier + 1) % 65536
		g.pendingBarriers[g.lastBarrier] = &pendingBarrier{entriesBefore: before, entries: g.entriesSent - before, proxyCount: float64(reached)}
		g.orders = append(g.orders, fleet.Barrier{ID: g.lastBarrier})
	}
}

func (g *Balancer) backlog() float64 { // lines neither known to have arrived nor on their way
	return max(0, g.entriesSent-g.entriesDelivered-g.site.MeanUpdateDelay.Seconds()*g.site.EntriesPerSecond*assumedChannelFraction)
}

func (g *Balancer) messageCost() float64 { return g.site.MessageOverhead + float64(len(g.classes)) + 1 } // and a mark

// weightChange is a changed line, with the size of its change by which lines go.
type weightChange struct {
	fleet.SetWeight
	priority float64
}

// publish emits what goes to all. Urgent lines need no room; ordinary ones go once an interval, the largest
// changes first, and what the channel has no room for follows in pieces.
func (g *Balancer) publish() {
	users := float64(len(g.proxies))
	fit := room*g.site.MaxBacklog - g.backlog() - g.messageCost()*users
	last := -(room - tenth/2) * g.site.MaxBacklog // of fit, for withdrawals
	// More than leaves till the next go only keeps others waiting, and proxies off their tables come first.
	kept := g.site.MaxBacklog * room * room * min(1, g.outOfSyncProxies)
	kept = max(kept, fit+g.backlog()-room*balanceInterval.Seconds()*g.site.EntriesPerSecond)
	spare := quarter*float64(len(g.servers)) - float64(len(g.servers)-len(g.ready))
	for _, s := range g.servers {
		// Standing tables send to cold servers as to all others, so some stay out until no proxy goes by one.
		out := s.State != fleet.ServerReady
		if !out && g.outOfSyncProxies > 0 && g.warmingUp(s) && spare > 1 {
			out, spare = true, spare-1
		}
		on := g.outOfSyncProxies // those whose tables may have it
		for t, b := range g.tables {
			if s.orderedWeight[t] > 0 || s.weightUnconfirmed[t] {
				on = min(users, on+b.proxyCount)
			}
		}
		if (out != s.withdrawn || s.withdrawalUnconfirmed) && (fit > on || out && fit-on > last) {
			s.withdrawn, s.withdrawalUnconfirmed, s.withdrawalChangedAt, fit = out, false, g.now, fit-on
			g.broadcast(fleet.WithdrawServer{Server: s.Server, Withdrawn: out}, on)
		}
	}
	for c := range g.classes {
		l, out := fleet.SetAdmission{Table: fleet.AllTables, Classes: 1 << c, Retry: g.retryMode}, &g.classes[c].sentAdmission
		l.Limit = float32(g.admissionLimit(c))
		if fit > users && (math.Abs(float64(l.Limit/out.Limit-1)) > tenth || l.Retry != out.Retry) {
			*out, fit = l, fit-users
			g.broadcast(l, users)
		}
	}
	// Proxies go by ratios, so a factor common to most lines of a table is no change.
	ordinary, lines := g.nextChangesAt > 0 && g.now >= g.nextChangesAt, []weightChange{}
	dear := g.partitioned && float64(g.site.ProxyCount*len(g.servers)) > g.site.EntriesPerSecond*g.site.DrainTimeout.Seconds()
	for t, b := range g.tables {
		scale, top := []float64{}, 0.0
		for _, s := range g.servers {
			top = max(top, s.wantedWeight[t])
			if ratio := s.orderedWeight[t] / max(s.wantedWeight[t], negligible); ratio > 1/huge && ratio < huge {
				scale = append(scale, ratio)
			}
		}
		unit := cmp.Or(quantile(scale, 0.5), 1)
		for _, s := range g.servers {
			w, o := s.wantedWeight[t]*unit, s.orderedWeight[t]
			if (b.proxyCount == 0 || dear) && s.wantedWeight[t] < tenth*top { // would make joins dear; few miss it
				w = 0
			}
			change, idle := math.Abs(w-o), b.orderedWeight > 0 || b.proxyCount == 0
			if s.weightUnconfirmed[t] {
				change = max(w, o)
			}
			small := o == 0 && change < tenth*unit && idle && (g.observing || g.outOfSyncProxies > 0) // would make joins dear
			urgent := !s.withdrawn && (b.orderedWeight == 0 || g.warmingUp(s) && (o > maxDensityRatio*w || s.weightUnconfirmed[t]))
			same := w == o || w > 0 && change <= minRelativeChange*o || small
			if same && !s.weightUnconfirmed[t] || !ordinary && !urgent {
				continue
			}
			l := weightChange{SetWeight: fleet.SetWeight{Table: fleet.TableID(t), Server: s.Server, Weight: float32(w)}}
			if urgent {
				l.priority = huge + change/unit
			} else if !s.withdrawn {
				l.priority = change / unit
			}
			lines = append(lines, l)
		}
	}
	if ordinary {
		g.nextChangesAt = 0
	}
	slices.SortStableFunc(lines, func(a, b weightChange) int { return cmp.Compare(b.priority, a.priority) })
	for _, l := range lines {
		on := g.tables[l.Table].proxyCount
		fit -= on
		if on > 0 && (l.priority < huge && fit < kept || fit < -(quarter+tenth)*g.site.MaxBacklog) {
			g.nextChangesAt = g.now + balanceInterval/2
			continue
		}
		g.serversByID[l.Server].orderedWeight[l.Table], g.serversByID[l.Server].weightUnconfirmed[l.Table] = float64(l.Weight), false
		g.broadcast(l.SetWeight, on)
	}
}

func (g *Balancer) broadcast(order fleet.Order, users float64) { // costs a line at each of so many proxies
	if g.entriesSent += users; users > 0 && g.broadcastAt != g.now {
		g.broadcastAt, g.entriesSent = g.now, g.entriesSent+g.messageCost()*float64(len(g.proxies))
	}
	g.orders = append(g.orders, order)
}

// assignProxies puts proxies on their tables, those with most visits first, as many as the channel has room for.
func (g *Balancer) assignProxies() (bound int) {
	for t := range g.tables { // as they are now that lines went out
		for _, s := range g.servers {
			if s.orderedWeight[t] > 0 {
				g.tables[t].assignmentEntries++
			}
			if s.orderedWeight[t] > 0 && s.withdrawn {
				g.tables[t].assignmentEntries++
			}
		}
	}
	astray := slices.DeleteFunc(slices.Clone(g.proxies), func(p *proxyState) bool { return !p.outOfSync })
	slices.SortStableFunc(astray, func(a, b *proxyState) int { return cmp.Compare(b.expectedRate, a.expectedRate) })
	for _, p := range astray {
		binds, lines := []fleet.Order{}, g.messageCost()
		for t, b := range g.tables {
			astray := false
			for c, on := range p.assignedTables {
				astray = astray || b.classes&(1<<c) != 0 && (on != t || p.assignmentUnconfirmed) && g.tableOf(c, p.partition) == t
			}
			if astray {
				binds = append(binds, fleet.AssignTable{Proxy: p.id, Table: fleet.TableID(t), Classes: b.classes})
				lines += 1 + b.assignmentEntries
			}
		}
		most := room
		if g.now >= p.joinedAt+g.site.DrainTimeout/8 { // it may send to servers that are out
			most += quarter + tenth
		}
		if g.observing || g.backlog() > 0 && g.backlog()+lines > most*g.site.MaxBacklog {
			continue
		}
		g.entriesSent, g.orders, p.assignmentUnconfirmed = g.entriesSent+lines, append(g.orders, binds...), false
		bound++
		for c := range p.assignedTables {
			p.assignedTables[c] = g.tableOf(c, p.partition)
		}
	}
	return bound
}
