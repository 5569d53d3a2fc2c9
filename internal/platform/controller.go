package platform

import (
	"fmt"

	"cressknot/internal/balancer"
	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/transport/relay"
)

// Effects are the I/O that a step requests. The loop performs them in the order of the fields.
type Effects struct {
	ProxiesLeft          []fleet.ProxyID   // operations for these proxies are to be dropped
	Operations           []relay.Operation // for the relay, in one call of Enqueue
	WatchRequests        []bool            // each starts (true) or stops (false) the watch of the endpoint list
	FetchRequests        int               // number of requests for the complete endpoint list
	Withdrawals          []Withdrawal
	AppliedWithdrawals   []AppliedWithdrawals // acknowledged in this step by the last of the proxies
	LogMessages          []string
	UnknownServerReports int        // load reports dropped because their server is not in the endpoint list
	NextTimer            fleet.Time // due time of the next timer; 0: no timer is set
}

// Withdrawal is the withdrawal or readmission of a server, for the log.
type Withdrawal struct {
	Server    string
	Withdrawn bool
	Cause     fleet.WithdrawalCause
}

// AppliedWithdrawals reports, for the log, that all proxies which were sent the withdrawals of one step have applied
// them.
type AppliedWithdrawals struct {
	Servers  []string
	Proxies  int
	Duration fleet.Time // since the step that ordered them
}

// Controller translates between the platform and the balancer. It is not safe for concurrent use.
type Controller struct {
	site     fleet.Site
	balancer *balancer.Balancer
	servers  serverRegistry
	proxies  proxyTracker
	timers   timerQueue
	applying withdrawalTracker
	events   []fleet.Event // input of the balancer's next step
}

// NewController returns a controller that starts with the last known endpoint list, which may be empty or stale. The
// seed initialises the balancer's random numbers. The controller watches the endpoint list whatever the site states
// about its delivery, because the platform's discovery sends a list only on request.
func NewController(site fleet.Site, seed uint64, known discovery.EndpointList) *Controller {
	site.ListOnRequest = true
	c := &Controller{
		site:     site,
		balancer: balancer.New(site, seed),
		servers:  newServerRegistry(),
		proxies:  newProxyTracker(),
	}
	c.handleEndpoints(discovery.Update{Scope: fleet.ListCached, List: known})
	return c
}

// Step passes the batch and the timers that are due to the balancer and returns the effects of the balancer's orders.
func (c *Controller) Step(now fleet.Time, batch Batch) Effects {
	var effects Effects
	for _, message := range batch.Messages {
		c.handleMessage(now, message, &effects)
	}
	for i := range batch.Reports {
		c.handleReport(&batch.Reports[i], &effects)
	}
	c.events = c.timers.fire(now, c.events)
	orders := c.balancer.Step(now, c.events)
	clear(c.events)
	c.events = c.events[:0]
	c.servers.clearPendingIDs()
	for _, order := range orders {
		c.applyOrder(now, order, &effects)
	}
	c.applying.track(now, &effects, c.JoinedProxies())
	effects.NextTimer = c.timers.next()
	return effects
}

// untilListRequest returns the time until the next request for the endpoint list, 0 if none is due or scheduled.
func (c *Controller) untilListRequest(now fleet.Time) fleet.Time {
	return max(0, c.balancer.NextListRequest()-now)
}

// JoinedProxies returns the number of proxies that the relay currently reports as joined. It may only be called by the
// goroutine that steps the controller.
func (c *Controller) JoinedProxies() int { return len(c.proxies.joined) }

func (c *Controller) handleMessage(now fleet.Time, message Message, effects *Effects) {
	switch m := message.(type) {
	case RelayEvent:
		c.handleStreamEvent(now, m.StreamEvent, effects)
	case OperationsUnconfirmed:
		c.handleUnconfirmed(m.Operations)
	case EndpointsChanged:
		c.handleEndpoints(m.Update)
	}
}

// applyOrder converts one order of the balancer to an effect or a timer.
func (c *Controller) applyOrder(now fleet.Time, order fleet.Order, effects *Effects) {
	operation := relay.Operation{Order: order}
	switch o := order.(type) {
	case fleet.SetTimer:
		c.timers.set(now+o.Delay, o.ID)
		return
	case fleet.LogMessage:
		effects.LogMessages = append(effects.LogMessages, o.Text)
		return
	case fleet.WatchEndpoints:
		effects.WatchRequests = append(effects.WatchRequests, o.Enabled)
		return
	case fleet.FetchEndpoints:
		effects.FetchRequests++
		return
	case fleet.SetWeight:
		operation.Server = c.servers.names[o.Server]
	case fleet.WithdrawServer:
		operation.Server = c.servers.names[o.Server]
		effects.Withdrawals = append(effects.Withdrawals, Withdrawal{operation.Server, o.Withdrawn, o.Cause})
	case fleet.ClearTable, fleet.AssignTable, fleet.SetAdmission, fleet.Barrier:
	default:
		effects.LogMessages = append(effects.LogMessages, fmt.Sprintf("order %T is not supported on this platform", order))
		return
	}
	effects.Operations = append(effects.Operations, operation)
}
