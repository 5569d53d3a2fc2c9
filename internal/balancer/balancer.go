// Package balancer decides which servers the proxies of a fleet send their visits to. A host makes a Governor by
// New(site, seed) and calls Step(now, events) for every batch of events; Step gives the orders to carry out.
// Site, events and orders live in package fleet. There is no clock, file or net: same events, same orders.
package balancer

import (
	"cmp"
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

type weightTable struct {
	group, partition                              int
	classes                                       fleet.ClassSet // that go by it
	proxyCount, admittedRate, assignmentEntries   float64        // proxies on it; visits a second that its classes let in; lines of a bind
	orderedWeight, wantedWarmWeight, wantedWeight float64        // of the lines ordered; of those wanted of warm servers, of all
}

// Balancer decides for the proxies that are joined to it. It is a pure state machine: see the package comment.
type Balancer struct {
	site      fleet.Site
	random    randomGenerator
	layout    tableLayout
	classes   []requestClass
	tables    []weightTable
	endpoints endpointState
	proxies   proxyRegistry
	estimates fleetEstimates
	admission admissionState
	shedding  sheddingState
	channel   updateChannel
	schedule  schedule
	now       fleet.Time
	orders    []fleet.Order
}

type endpointState struct {
	byID           map[fleet.ServerID]*serverState
	all            []*serverState
	ready          []*serverState
	nextRequestAt  fleet.Time
	requestBackoff fleet.Time
}

type proxyRegistry struct {
	byID            map[fleet.ProxyID]*proxyState
	all             []*proxyState
	zoneHasProxies  []bool
	outOfSync       float64
	inheritedTables bool
}

type tableLayout struct {
	partitioned       bool
	partitionsPerZone int
	partitionCount    int
}

type fleetEstimates struct {
	utilizationField      int
	latestOutcomeAt       fleet.Time
	reportCycle           fleet.Time
	recentlyAddedFraction float64
	targetUtilization     float64
	meanUtilization       float64
	medianCapacity        float64
	lowCapacity           float64
	failedFraction        float64
}

type admissionState struct {
	classesByValue []int
	retry          fleet.RetryMode
}

type sheddingState struct {
	overloadedRounds int
	activeUntil      fleet.Time
	load             float64
}

type updateChannel struct {
	entriesSent         float64
	entriesDelivered    float64
	entriesAcknowledged float64
	deliveredAt         fleet.Time
	broadcastAt         fleet.Time
	nextChangesAt       fleet.Time
	lastBarrier         fleet.BarrierID
	pendingBarriers     map[fleet.BarrierID]*pendingBarrier
}

type schedule struct {
	startedAt   fleet.Time
	balancedAt  fleet.Time
	estimatedAt fleet.Time
	timerDueAt  fleet.Time
	intervalDue bool
	observing   bool
}

func New(site fleet.Site, seed uint64) *Balancer {
	g := &Balancer{
		site:   site,
		random: randomGenerator{uint32(seed) | 1, uint32(seed>>33) | 1},
		layout: tableLayout{
			partitioned: cmp.Or(site.MinServerConnections, huge) < float64(site.ProxyCount),
		},
		endpoints: endpointState{
			byID:           map[fleet.ServerID]*serverState{},
			requestBackoff: 2 * timerInterval,
		},
		proxies: proxyRegistry{byID: map[fleet.ProxyID]*proxyState{}},
		estimates: fleetEstimates{
			utilizationField:  slices.Index(site.LoadFields, fleet.LoadFieldUtilization),
			targetUtilization: maxTargetUtilization,
		},
		channel:  updateChannel{pendingBarriers: map[fleet.BarrierID]*pendingBarrier{}},
		schedule: schedule{startedAt: -1, observing: true},
	}
	each := maxDensityRatio * float64(site.ProxyCount) / float64(len(site.Zones))
	g.layout.partitionsPerZone = int(max(1, min(enough, math.Ceil(each/cmp.Or(site.MinServerConnections, huge)))))
	g.layout.partitionCount = g.layout.partitionsPerZone * len(site.Zones)
	for t := range (2 + len(site.Classes)) * g.layout.partitionCount {
		g.tables = append(g.tables, weightTable{group: t / g.layout.partitionCount, partition: t % g.layout.partitionCount})
	}
	for i, c := range site.Classes {
		work := max(negligible, c.LatencyObjective.Seconds())
		row := requestClass{valuePerWork: c.PriorityWeight / work, workPerRequest: work, admittedFraction: 1}
		if row.sentAdmission = (fleet.SetAdmission{Limit: huge, Retry: site.DefaultRetry}); c.ZoneLocal {
			row.tableGroup = 2 + i
		}
		g.admission.classesByValue, g.classes = append(g.admission.classesByValue, i), append(g.classes, row)
	}
	by := func(a, b int) int { return cmp.Compare(g.classes[a].valuePerWork, g.classes[b].valuePerWork) }
	slices.SortStableFunc(g.admission.classesByValue, by)
	return g
}

// Step hears events and gives the orders to carry out now. The orders are good until the next Step.
func (g *Balancer) Step(now fleet.Time, events []fleet.Event) []fleet.Order {
	g.now, g.orders = now, g.orders[:0]
	if g.schedule.startedAt < 0 {
		g.schedule.startedAt, g.schedule.balancedAt, g.channel.deliveredAt, g.channel.broadcastAt = now, now, now, now-balanceInterval
		if g.site.ListOnRequest {
			g.endpoints.nextRequestAt = now
		}
	}
	for _, e := range events {
		g.observe(e)
	}
	// Former tables may be down to withdrawn lines, so the watch ends well before that breaks a rule.
	watch := min(2*balanceInterval, g.site.MaxUnservedDuration/2)
	if all := float64(len(g.proxies.all) * len(g.endpoints.all)); !g.proxies.inheritedTables && all > balanceInterval.Seconds()*g.site.EntriesPerSecond {
		watch = 2 * balanceInterval // lines once out are dear to change
	}
	watched := g.schedule.observing && (now >= g.schedule.startedAt+watch || g.estimates.medianCapacity > 0 && now >= g.schedule.startedAt+balanceInterval)
	g.schedule.intervalDue = now >= g.schedule.balancedAt+balanceInterval || watched
	second := g.schedule.intervalDue || now >= g.schedule.estimatedAt+balanceInterval/2 // levels follow demand at the pace of reports
	if !second && now < g.schedule.timerDueAt {
		return g.orders
	}
	g.updateFleet()
	if second {
		g.schedule.estimatedAt = now
		g.updateEstimates()
		g.updateAdmission()
	}
	if watched { // the first tables go by what servers were measured to carry
		g.schedule.observing = false
		for _, s := range g.endpoints.ready {
			for t := range s.weight {
				s.weight[t] *= cmp.Or(s.capacity, 1) / cmp.Or(g.estimates.medianCapacity, 1)
			}
		}
	} else if g.schedule.intervalDue && g.estimates.medianCapacity > 0 && g.estimates.latestOutcomeAt > g.schedule.balancedAt { // with nothing new to go by, what is out stays
		g.updateHealth()
		g.balanceWeights()
	}
	if g.schedule.intervalDue {
		g.schedule.balancedAt, g.channel.nextChangesAt = now, now
		g.forgetGoneServers()
	}
	g.updateFleet()
	g.updateWantedWeights()
	g.emitOrders()
	return g.orders
}

func (g *Balancer) tableOf(c, part int) int {
	row := &g.classes[c]
	if row.tableGroup < 2 && !g.layout.partitioned {
		part = 0
	}
	return row.tableGroup*g.layout.partitionCount + part
}

// updateFleet works out demand, what comes to each table and who is on it.
func (g *Balancer) updateFleet() {
	lines := float64(len(g.proxies.all) * len(g.classes))
	g.endpoints.ready, g.proxies.zoneHasProxies, g.proxies.outOfSync = nil, make([]bool, len(g.site.Zones)), 0
	anew := 0.0
	for _, s := range g.endpoints.all {
		if s.State == fleet.ServerReady {
			if g.endpoints.ready = append(g.endpoints.ready, s); s.addedAt > 0 && g.now < s.addedAt+longWindow {
				anew++
			}
		}
	}
	for t, b := range g.tables {
		g.tables[t] = weightTable{group: b.group, partition: b.partition}
		for _, s := range g.endpoints.all {
			if s.State == fleet.ServerReady && !s.withdrawn {
				g.tables[t].orderedWeight += s.orderedWeight[t]
			}
		}
	}
	all, heard, come := negligible, negligible, 0.0
	for _, p := range g.proxies.all {
		if g.now < p.joinedAt+longWindow {
			come += p.expectedRate
		}
		if !g.proxies.zoneHasProxies[p.partition/g.layout.partitionsPerZone] {
			lines += float64(len(g.endpoints.ready))
		}
		g.proxies.zoneHasProxies[p.partition/g.layout.partitionsPerZone], p.outOfSync, all, heard = true, p.assignmentUnconfirmed, all+p.expectedRate, heard+p.reportedExpectedRate
		for c, t := range p.assignedTables {
			p.outOfSync = p.outOfSync || t != g.tableOf(c, p.partition)
			if t >= 0 && !slices.Contains(p.assignedTables[:c], t) {
				g.tables[t].proxyCount++
			}
		}
		if p.outOfSync {
			g.proxies.outOfSync++
		}
		if p.outOfSync && !p.withdrawalsRepeated && g.now >= p.joinedAt+g.site.DrainTimeout/4 {
			p.withdrawalsRepeated = true
			for _, s := range g.endpoints.all {
				since := p.joinedAt - s.withdrawalChangedAt
				s.withdrawalUnconfirmed = s.withdrawalUnconfirmed || s.withdrawn && since >= 0 && since <= few*balanceInterval
			}
		}
	}
	g.estimates.recentlyAddedFraction = max(come/all, anew/max(1, float64(len(g.endpoints.ready))))
	g.estimates.reportCycle = max(g.site.ReportInterval, fleet.Second.Scale(lines/max(1, g.site.ReportsPerSecond)))
	for c := range g.classes {
		row := &g.classes[c]
		for part := range g.layout.partitionCount {
			g.tables[g.tableOf(c, part)].classes |= 1 << c
		}
		row.demand = 0
		for _, p := range g.proxies.all {
			n := g.requestRate(p, c) * all / heard
			row.demand += n
			g.tables[g.tableOf(c, p.partition)].admittedRate += n * row.admittedFraction
		}
	}
}
