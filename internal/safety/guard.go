// Package safety checks every message before it leaves for a proxy. It refuses or lowers changes that would leave a
// class without a ready server, overload a server that is warming up, bring back a draining or gone server, or let
// a request be executed twice. It also checks complete tables that operators push or ask about.
//
// The package is pure: a Guard gets the events that the balancer gets, and is asked by package reconcile.
// docs/design/safety.md defines each violation and the precedence of the rules.
package safety

import (
	"cmp"
	"fmt"
	"slices"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// Reasons of refusals, as shown to operators.
const (
	ReasonServerNotReady       = "the server is draining, gone or not listed"
	ReasonNoEndpoints          = "the class would be left without a ready server"
	ReasonWarmingOverload      = "a server in slow start would be overloaded"
	ReasonDuplicateExecution   = "a request could be executed twice"
	ReasonInsufficientCapacity = "the table's servers lack the capacity"
)

const (
	maxDemandSamples = 3  // reports of a proxy's demand that count; the largest one does
	maxOutcomes      = 64 // reports of a server: more than outcomeWindow of several zones at a report per second
	// epsilon keeps divisors from zero and absorbs rounding errors.
	epsilon = 1e-9
)

// outcome is a report of one zone's proxies about a server.
type outcome struct {
	at, interval fleet.Time
	zone         fleet.ZoneID
	successes    float64
	utilization  float64 // negative: not reported
}

// server is what is known of a server. Rates are requests per second of this controller's proxies.
type server struct {
	fleet.Endpoint
	outcomes    []outcome
	capacity    float64 // rate at full utilization, as last measured
	handledRate float64 // rate that it was seen to handle at that measurement
	measuredAt  fleet.Time

	// While it warms up: the rates that proxies may send, and the rate that it bears.
	proxyRates []float64 // by proxy, the largest that each may send
	totalRate  float64   // sum of proxyRates
	limit      float64
	limitAt    fleet.Time // time for which limit was worked out
}

// rateOf returns the rate that a proxy may send to a warming server.
func (s *server) rateOf(proxy fleet.ProxyID) float64 {
	if int(proxy) >= len(s.proxyRates) {
		return 0
	}
	return s.proxyRates[proxy]
}

// setRate notes the rate that a proxy may send to a warming server.
func (s *server) setRate(proxy fleet.ProxyID, rate float64) {
	if int(proxy) >= len(s.proxyRates) {
		s.proxyRates = append(s.proxyRates, make([]float64, int(proxy)+1-len(s.proxyRates))...)
	}
	s.totalRate = max(0, s.totalRate+rate-s.proxyRates[proxy])
	s.proxyRates[proxy] = rate
}

type proxy struct {
	usualRate   float64
	demandRates [][]float64 // by class: the latest reports
	leftAt      fleet.Time  // 0: connected
}

// Checker checks the messages of one controller. It implements reconcile.SafetyCheck and is not safe for concurrent
// use.
type Checker struct {
	site             fleet.Site
	servers          map[fleet.ServerID]*server
	proxies          map[fleet.ProxyID]*proxy
	utilizationIndex int // of the utilization in load reports; negative: none
	readyServers     int // listed as ready

	kindCapacities   map[fleet.KindID]float64 // low quartile of the warm servers of a kind
	kindCapacitiesAt fleet.Time               // time for which they were worked out; negative: outdated

	weightSums     []int     // reused to avoid allocations
	ratesPerWeight []float64 // the same

	passed, stopped uint64
}

var _ reconcile.SafetyCheck = (*Checker)(nil)

// New returns a guard that knows no servers and proxies.
func New(site fleet.Site) *Checker {
	return &Checker{
		site:             site,
		servers:          map[fleet.ServerID]*server{},
		proxies:          map[fleet.ProxyID]*proxy{},
		utilizationIndex: slices.Index(site.LoadFields, fleet.LoadFieldUtilization),
		kindCapacitiesAt: -1,
	}
}

// Observe takes an event that the balancer gets as well.
func (c *Checker) Observe(now fleet.Time, event fleet.Event) {
	switch event := event.(type) {
	case fleet.EndpointList:
		c.setEndpoints(now, event)
	case fleet.ProxyJoined:
		c.proxies[event.Proxy] = &proxy{
			usualRate:   event.RequestRate,
			demandRates: make([][]float64, len(c.site.Classes)),
		}
	case fleet.ProxyLeft:
		if proxy := c.proxies[event.Proxy]; proxy != nil {
			proxy.leftAt = now
		}
	case fleet.DemandReport:
		c.addDemand(event)
	case fleet.OutcomeReport:
		c.addOutcome(now, event)
	}
}

func (c *Checker) addDemand(report fleet.DemandReport) {
	proxy := c.proxies[report.Proxy]
	if proxy == nil || int(report.Class) >= len(proxy.demandRates) || report.Interval <= 0 {
		return
	}
	rates := proxy.demandRates[report.Class]
	rates = rates[max(0, len(rates)+1-maxDemandSamples):]
	proxy.demandRates[report.Class] = append(rates, float64(report.Requests)/report.Interval.Seconds())
}

func (c *Checker) addOutcome(now fleet.Time, report fleet.OutcomeReport) {
	server := c.servers[report.Server]
	if server == nil || report.Attempts < report.Failures {
		return
	}
	utilization := -1.0
	if c.utilizationIndex >= 0 && c.utilizationIndex < len(report.Load) {
		utilization = float64(report.Load[c.utilizationIndex])
	}
	recent := server.outcomes[max(0, len(server.outcomes)+1-maxOutcomes):]
	server.outcomes = append(recent, outcome{
		at:          now,
		interval:    report.Interval,
		zone:        report.Zone,
		successes:   float64(report.Attempts - report.Failures),
		utilization: utilization,
	})
	c.measure(now, server)
}

func (c *Checker) setEndpoints(now fleet.Time, list fleet.EndpointList) {
	if list.Scope == fleet.ListFailed {
		return
	}
	listed := map[fleet.ServerID]bool{}
	for _, endpoint := range list.Endpoints {
		listed[endpoint.Server] = true
		known := c.servers[endpoint.Server]
		if known == nil {
			known = &server{}
			c.servers[endpoint.Server] = known
		}
		if endpoint.Started != known.Started {
			c.restart(now, known)
		}
		known.Endpoint = endpoint
	}
	c.readyServers = 0
	c.kindCapacitiesAt = -1
	for id, server := range c.servers {
		if list.Scope != fleet.ListDelta && !listed[id] {
			server.State = fleet.ServerGone
		}
		if server.State == fleet.ServerReady {
			c.readyServers++
		}
	}
}

// restart takes a new start of a server, perhaps while it was still warming up. The rates that proxies may send it
// stay, as proxies have the same entries, but for those of proxies that left before a warm-up ago.
func (c *Checker) restart(now fleet.Time, server *server) {
	server.outcomes = nil
	server.limitAt = 0
	for i := range server.proxyRates {
		id := fleet.ProxyID(i)
		proxy := c.proxies[id]
		if proxy != nil && proxy.leftAt > 0 && now > proxy.leftAt+c.site.SlowStart.Duration {
			server.setRate(id, 0)
		}
	}
}

// Demand returns the rate of a class's requests that may come to a proxy: the largest of its latest reports, or an
// even part of what is usual.
func (c *Checker) Demand(id fleet.ProxyID, class fleet.ClassID) float64 {
	proxy := c.proxies[id]
	if proxy == nil {
		return 0
	}
	if rates := proxy.demandRates[class]; len(rates) > 0 {
		return slices.Max(rates)
	}
	return proxy.usualRate / float64(len(proxy.demandRates))
}

// Counts returns how many proposals passed and how many were refused or lowered.
func (c *Checker) Counts() (passed, stopped uint64) { return c.passed, c.stopped }

// CheckPlan checks one message. Draining binds even where it takes the last server; then no class may be left
// without endpoints; then no warming server may be overloaded.
func (c *Checker) CheckPlan(now fleet.Time, plan *reconcile.UpdatePlan) {
	for i := range plan.Proposals {
		proposal := &plan.Proposals[i]
		if proposal.Kind == reconcile.UpdateAdmission {
			c.limitRetries(proposal)
		} else {
			c.refuseUnready(proposal)
		}
	}
	refuseEmptyClasses(plan)
	c.limitWarming(now, plan)
	for i := range plan.Proposals {
		if plan.Proposals[i].HoldReason != "" || plan.Proposals[i].LowerReason != "" {
			c.stopped++
		} else {
			c.passed++
		}
	}
}

// FormatRefusal describes a refusal to operators.
func FormatRefusal(refusal reconcile.Refusal, server string) string {
	if refusal.Admission {
		return fmt.Sprintf("class %d: retry mode lowered: %s", refusal.Class, refusal.Reason)
	}
	return fmt.Sprintf("server %s: %s", cmp.Or(server, fmt.Sprint(refusal.Server)), refusal.Reason)
}
