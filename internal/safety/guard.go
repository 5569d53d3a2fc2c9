// Package safety checks every message before it is sent to a proxy. It refuses a change, or lowers the weight or
// retry mode in it, where the change would leave a class without a ready server, overload a server in slow start (a
// warming server), make a draining or gone server usable again, or let a request be executed twice. It also checks
// complete tables that operators set by hand or submit for a check.
//
// The package has no I/O and no clock: a Checker observes the same events as the balancer, and package reconcile calls
// it for each message. docs/design/safety.md defines each violation and the precedence of the rules.
package safety

import (
	"cmp"
	"fmt"
	"slices"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// Reasons of refusals, as shown to operators. Refusals with the same subject and reason are counted as one.
const (
	ReasonServerNotReady       = "the server is draining, gone or not listed"
	ReasonNoEndpoints          = "the class would be left without a ready server"
	ReasonWarmingOverload      = "a server in slow start would be overloaded"
	ReasonDuplicateExecution   = "a request could be executed twice"
	ReasonInsufficientCapacity = "the table's servers lack the capacity"
)

const (
	// maxDemandSamples is the number of latest demand reports kept per proxy and class, of which the largest counts.
	maxDemandSamples = 3
	// maxOutcomes bounds the reports kept per server: at one report per second and zone, it covers outcomeWindow for
	// several zones.
	maxOutcomes = 64
	// epsilon prevents divisions by zero and absorbs rounding errors.
	epsilon = 1e-9
)

// outcome is the report of one zone's proxies on the attempts at a server.
type outcome struct {
	at, interval fleet.Time
	zone         fleet.ZoneID
	successes    float64
	utilization  float64 // negative: not reported
}

// server is the state of a server. Rates are requests per second from this controller's proxies.
type server struct {
	fleet.Endpoint
	outcomes    []outcome
	capacity    float64 // estimated rate at full utilization
	handledRate float64 // rate handled at that measurement
	measuredAt  fleet.Time

	// Set during slow start only.
	proxyRates []float64 // by proxy, the maximum that it may send
	totalRate  float64   // sum of proxyRates
	limit      float64
	limitAt    fleet.Time // time for which limit was computed
}

// rateOf returns the maximum rate that a proxy may send to a warming server.
func (s *server) rateOf(proxy fleet.ProxyID) float64 {
	if int(proxy) >= len(s.proxyRates) {
		return 0
	}
	return s.proxyRates[proxy]
}

// setRate sets the maximum rate that a proxy may send to a warming server.
func (s *server) setRate(proxy fleet.ProxyID, rate float64) {
	if int(proxy) >= len(s.proxyRates) {
		s.proxyRates = append(s.proxyRates, make([]float64, int(proxy)+1-len(s.proxyRates))...)
	}
	s.totalRate = max(0, s.totalRate+rate-s.proxyRates[proxy])
	s.proxyRates[proxy] = rate
}

type proxy struct {
	usualRate   float64
	demandRates [][]float64 // by class: rates of the latest reports, oldest first
	leftAt      fleet.Time  // 0: connected
}

// Checker checks the messages of one controller. It implements reconcile.SafetyCheck and is not safe for concurrent
// use.
type Checker struct {
	site             fleet.Site
	servers          map[fleet.ServerID]*server
	proxies          map[fleet.ProxyID]*proxy
	utilizationIndex int // index of the utilization in load reports; negative: not reported
	readyServers     int // servers that are listed as ready

	kindCapacities   map[fleet.KindID]float64 // lower quartile of the warm servers of a kind
	kindCapacitiesAt fleet.Time               // time for which kindCapacities was computed; negative: outdated

	weightSums     []int     // reused to avoid allocations
	ratesPerWeight []float64 // requests per second by class at a weight of 1; reused

	passed, stopped uint64
}

var _ reconcile.SafetyCheck = (*Checker)(nil)

// New returns a checker without servers and proxies. Observe adds them.
func New(site fleet.Site) *Checker {
	return &Checker{
		site:             site,
		servers:          map[fleet.ServerID]*server{},
		proxies:          map[fleet.ProxyID]*proxy{},
		utilizationIndex: slices.Index(site.LoadFields, fleet.LoadFieldUtilization),
		kindCapacitiesAt: -1,
	}
}

// Observe updates the state of servers and proxies from an event of the balancer. Events of other kinds, and reports
// on unknown servers or proxies, are ignored.
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

// restart resets a server's measurements after it started again, possibly during its slow start. The rates that
// proxies may send it are kept, because proxies still have the same entries. Only the rates of proxies that
// disconnected longer ago than the duration of a slow start are cleared.
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

// Demand returns the rate in requests per second of a class to assume for a proxy: the largest of its latest reports,
// or before the first report the proxy's usual rate divided evenly among the classes. It is 0 for an unknown proxy.
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

// Counts returns how many proposals passed unchanged and how many were refused or lowered since New.
func (c *Checker) Counts() (passed, stopped uint64) { return c.passed, c.stopped }

// CheckPlan checks one message and refuses or lowers its proposals. The rules have this precedence: draining and gone
// servers are not made usable, even if a class has no other server; then no class loses its last endpoint; then no
// warming server is overloaded.
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
		if plan.Proposals[i].RefusalReason != "" || plan.Proposals[i].LowerReason != "" {
			c.stopped++
		} else {
			c.passed++
		}
	}
}

// FormatRefusal describes a refusal to operators. Without the server's name, it prints the server's id.
func FormatRefusal(refusal reconcile.Refusal, server string) string {
	if refusal.Admission {
		return fmt.Sprintf("class %d: retry mode lowered: %s", refusal.Class, refusal.Reason)
	}
	return fmt.Sprintf("server %s: %s", cmp.Or(server, fmt.Sprint(refusal.Server)), refusal.Reason)
}
