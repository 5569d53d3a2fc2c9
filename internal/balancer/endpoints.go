package balancer

import (
	"cmp"
	"slices"

	"cressknot/internal/fleet"
)

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

func (g *Balancer) updateEndpoints(e fleet.EndpointList) {
	if e.Scope == fleet.ListFailed {
		g.endpoints.nextRequestAt = g.now + g.endpoints.requestBackoff.Scale(0.5+g.random.float64())
		g.endpoints.requestBackoff = min(max(2*timerInterval, g.site.MaxPollInterval/2), 2*g.endpoints.requestBackoff)
		return
	}
	g.endpoints.requestBackoff, g.schedule.timerDueAt = 2*timerInterval, g.now
	atStart, listed := len(g.endpoints.all) == 0, map[fleet.ServerID]bool{}
	for _, entry := range e.Endpoints {
		s, known := g.endpoints.byID[entry.Server]
		if !known {
			n := len(g.tables)
			s = &serverState{weight: make([]float64, n), wantedWeight: make([]float64, n), orderedWeight: make([]float64, n)}
			s.weightUnconfirmed = make([]bool, n)
			g.endpoints.byID[entry.Server], g.endpoints.all = s, append(g.endpoints.all, s)
			s.partition = min(int(entry.Zone), len(g.site.Zones)-1)*g.layout.partitionsPerZone + len(g.endpoints.all)%g.layout.partitionsPerZone
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
			if s.weight[t] = 1; g.layout.partitioned && s.partition != b.partition {
				s.weight[t] = max(minWeight, tenth/float64(g.layout.partitionCount))
			}
			if atStart && g.site.ListWeight != fleet.ListWeightNone && s.Weight > 0 {
				s.weight[t] *= s.Weight
			}
		}
	}
	for _, s := range g.endpoints.all {
		if e.Scope != fleet.ListDelta && !listed[s.Server] {
			s.State = fleet.ServerGone
		}
	}
	slices.SortFunc(g.endpoints.all, func(a, b *serverState) int { return cmp.Compare(a.Server, b.Server) })
}

// Tracks tells whether a server is one that the governor still has to do with.
func (g *Balancer) Tracks(id fleet.ServerID) bool { return g.endpoints.byID[id] != nil }

// forgetGoneServers drops servers that are gone and in no table of ours: each that starts has a new id, without end.
// Proxies that come with former tables may still send there, so it waits for these to be on ours.
func (g *Balancer) forgetGoneServers() {
	g.endpoints.all = slices.DeleteFunc(g.endpoints.all, func(s *serverState) bool {
		old := s.State == fleet.ServerGone && s.withdrawn && g.now > s.withdrawalChangedAt+maxEjectionDuration
		if !old || s.withdrawalUnconfirmed || g.proxies.outOfSync > 0 || slices.Max(s.orderedWeight) > 0 || slices.Contains(s.weightUnconfirmed, true) {
			return false
		}
		g.orders = append(g.orders, fleet.WithdrawServer{Server: s.Server}) // costs no line, as no table has it
		delete(g.endpoints.byID, s.Server)
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
	return s.State == fleet.ServerReady && (g.tables[t].group < 2 || s.partition/g.layout.partitionsPerZone == g.tables[t].partition/g.layout.partitionsPerZone)
}
