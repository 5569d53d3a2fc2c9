package safety

import (
	"slices"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// maxLowerAttempts bounds how often the entries of a warming server are lowered before the changes that would
// overload it are refused.
const maxLowerAttempts = 3

// ProxyJoined records the rates that a proxy sends to warming servers by the entries that it has when it joins.
func (c *Checker) ProxyJoined(now fleet.Time, plan *reconcile.UpdatePlan) {
	c.ProxyAcknowledged(now, plan)
}

// ProxyAcknowledged records that a proxy has the entries of the plan. If no message is in flight it has no others, and
// the rates by its earlier entries are cleared.
func (c *Checker) ProxyAcknowledged(now fleet.Time, plan *reconcile.UpdatePlan) {
	rates := c.ratesAt(plan, entriesBefore(plan), plan.WeightSums)
	if plan.NothingInFlight {
		for id, server := range c.servers {
			if server.rateOf(plan.Proxy) > 0 {
				rates[id] = max(rates[id], 0) // 0 if the proxy no longer has an entry
			}
		}
	}
	c.commitRates(plan, rates)
}

// ProxyLeft does nothing: a proxy without a session may continue to send requests, so its rates count until the servers
// have finished their slow start.
func (c *Checker) ProxyLeft(fleet.ProxyID) {}

// commitRates records the rates that a proxy may send to warming servers. While other messages are in flight, the
// larger of the old and the new rate counts.
func (c *Checker) commitRates(plan *reconcile.UpdatePlan, rates serverRates) {
	for id, rate := range rates {
		server := c.servers[id]
		if server != nil && (plan.NothingInFlight || rate > server.rateOf(plan.Proxy)) {
			server.setRate(plan.Proxy, rate)
		}
	}
}

// otherProxiesRate returns the rate that all proxies but one may send to a server.
func (c *Checker) otherProxiesRate(id fleet.ServerID, except fleet.ProxyID) float64 {
	server := c.servers[id]
	if server == nil {
		return 0
	}
	return max(0, server.totalRate-server.rateOf(except))
}

// limitWarming lowers entries of warming servers until each server's rate limit covers what all proxies may send it:
// this proxy at any point while it applies the message, and the others by the entries that they have or that are in
// flight to them, whichever gives the higher rate. Where lowering is not enough, the changes are refused.
func (c *Checker) limitWarming(now fleet.Time, plan *reconcile.UpdatePlan) {
	if c.passesFastCheck(now, plan) {
		return
	}
	entries := entriesAfter(plan)
	attempts := map[fleet.ServerID]int{}
	load := warmingLoad{before: c.ratesAt(plan, entriesBefore(plan), plan.WeightSums)}
	load.peaks, load.afterDecrease = c.peakRates(plan)
	for range maxLowerAttempts * (len(entries) + 1) {
		worst, found := c.worstOverload(now, plan.Proxy, entries, load, attempts)
		if !found {
			break
		}
		attempts[worst.server]++
		c.lowerServer(plan, entries, worst, attempts[worst.server] >= maxLowerAttempts)
		entries = entriesAfter(plan)
		load.peaks, load.afterDecrease = c.peakRates(plan)
	}
	c.commitRates(plan, load.peaks)
}

// warmingLoad holds the rates that a proxy sends to warming servers before a message, and the maximum rates while it
// applies the message, as peakRates returns them.
type warmingLoad struct {
	before, peaks, afterDecrease serverRates
}

// overload is a warming server that would get more requests from a proxy than its rate limit leaves for that proxy.
type overload struct {
	server    fleet.ServerID
	excess    float64 // rate above available
	available float64 // rate that the proxy may send
}

// worstOverload returns the server with the largest excess. It iterates in the order of the entries, so that the result
// for a plan is deterministic.
func (c *Checker) worstOverload(
	now fleet.Time, proxy fleet.ProxyID, entries []warmingEntry, load warmingLoad, attempts map[fleet.ServerID]int,
) (worst overload, found bool) {
	for _, entry := range entries {
		available := max(0, c.rateLimit(now, entry.Server)-c.otherProxiesRate(entry.Server, proxy))
		rate := load.peaks[entry.Server]
		// If the proxy already exceeds its available rate before the message, the rate from the last decrease of the
		// server's weight on is compared with the available rate, not the peak, which includes the rate before it.
		if before := load.before[entry.Server]; before > available {
			rate = load.afterDecrease[entry.Server]
			if server := c.servers[entry.Server]; server != nil && server.totalRate > 0 {
				// The other proxies are lowered too, so each proxy keeps its share of the limit.
				proxyFraction := min(1, before/server.totalRate)
				available = max(available, proxyFraction*c.rateLimit(now, entry.Server))
			}
		}
		excess := rate - available
		significant := excess > epsilon*available+epsilon
		if significant && excess > worst.excess && attempts[entry.Server] <= maxLowerAttempts {
			worst = overload{entry.Server, excess, available}
		}
	}
	return worst, worst.excess > 0
}

// lowerServer lowers the entries of an overloaded server. If refuse is set, or an entry can't be lowered, it refuses
// the weight changes of the entry's class instead.
func (c *Checker) lowerServer(plan *reconcile.UpdatePlan, entries []warmingEntry, worst overload, refuse bool) {
	factor := worst.available / (worst.available + worst.excess)
	weightSums := weightSumsAfter(plan, entries)
	for i := range entries {
		entry := &entries[i]
		if entry.Server != worst.server {
			continue
		}
		if refuse || entry.weight > 0 && !lowerEntry(plan, entry, entries, weightSums, factor) {
			refuseClass(plan, entry.Class)
		}
	}
}

// weightSumsAfter returns, for each class, the weight sum of the usable entries of ready servers after a message.
func weightSumsAfter(plan *reconcile.UpdatePlan, entries []warmingEntry) []int {
	sums := slices.Clone(plan.WeightSums)
	for i := range plan.Proposals {
		if proposal := &plan.Proposals[i]; !proposal.Warming {
			sums[proposal.Class] += proposal.WeightDelta()
		}
	}
	for _, entry := range entries {
		sums[entry.Class] += entry.weight
	}
	for _, entry := range plan.Warming {
		sums[entry.Class] -= int(entry.State.Weight)
	}
	return sums
}

// lowerEntry lowers the weight of a warming server's entry until its fraction of the class's requests is at most factor
// times the present one, even if all other warming servers lose their weight. It returns false if the class would have
// warming servers only.
func lowerEntry(
	plan *reconcile.UpdatePlan, entry *warmingEntry, entries []warmingEntry, weightSums []int, factor float64,
) bool {
	warmSum := weightSums[entry.Class]
	for _, other := range entries {
		if other.Class == entry.Class {
			warmSum -= other.weight
		}
	}
	if warmSum == 0 {
		return false
	}
	fraction := factor * float64(entry.weight) / float64(max(1, weightSums[entry.Class]))
	weight := int(fraction / max(epsilon, 1-fraction) * float64(warmSum))
	if weight >= entry.weight {
		return true
	}
	entry.weight = weight
	if entry.proposal < 0 {
		plan.AddWeightCut(entry.WarmingEntry, int16(weight), ReasonWarmingOverload)
		entry.proposal = len(plan.Proposals) - 1
		return true
	}
	proposal := &plan.Proposals[entry.proposal]
	if weight == 0 && !proposal.Current.Usable() {
		proposal.RefusalReason = ReasonWarmingOverload
	} else {
		proposal.LowerWeight(int16(weight), ReasonWarmingOverload)
	}
	return true
}

// refuseClass refuses all weight changes of a message for a class. If the message has none, the class has warming
// servers only, and keeping endpoints takes precedence over the rate limits of these servers.
func refuseClass(plan *reconcile.UpdatePlan, class fleet.ClassID) {
	for i := range plan.Proposals {
		proposal := &plan.Proposals[i]
		if proposal.Class == class && proposal.Kind != reconcile.UpdateAdmission && proposal.WeightDelta() != 0 {
			proposal.RefusalReason = ReasonWarmingOverload
		}
	}
}

// passesFastCheck accepts most messages at low cost: those that change no entry of a warming server and after which no
// warming server is above its rate limit. The states in between need no check: reconcile.Arrange keeps a warming
// server's fraction of the requests from exceeding both its values before and after the message.
func (c *Checker) passesFastCheck(now fleet.Time, plan *reconcile.UpdatePlan) bool {
	for i := range plan.Proposals {
		if changesWarmingEntry(&plan.Proposals[i]) {
			return false
		}
	}
	if len(plan.Warming) == 0 {
		return true
	}
	c.updateRatesPerWeight(plan)
	for i := 0; i < len(plan.Warming); {
		id := plan.Warming[i].Server
		rate := 0.0
		for ; i < len(plan.Warming) && plan.Warming[i].Server == id; i++ { // the entries of a server are adjacent
			rate += c.ratesPerWeight[plan.Warming[i].Class] * float64(plan.Warming[i].State.Weight)
		}
		server := c.servers[id]
		if server == nil {
			continue
		}
		before := server.rateOf(plan.Proxy)
		if max(0, rate-before)+server.totalRate > c.rateLimitOf(now, server) {
			return false // left to the complete check
		}
		if rate > before {
			server.setRate(plan.Proxy, rate)
		}
	}
	return true
}

// updateRatesPerWeight computes, for each class, the requests per second that the proxy sends per unit of weight once
// the planned message is applied.
func (c *Checker) updateRatesPerWeight(plan *reconcile.UpdatePlan) {
	c.weightSums = append(c.weightSums[:0], plan.WeightSums...)
	for i := range plan.Proposals {
		if proposal := &plan.Proposals[i]; proposal.Kind != reconcile.UpdateAdmission {
			c.weightSums[proposal.Class] += proposal.WeightDelta()
		}
	}
	c.ratesPerWeight = c.ratesPerWeight[:0]
	for class, sum := range c.weightSums {
		rate := c.Demand(plan.Proxy, fleet.ClassID(class)) / float64(max(1, sum))
		c.ratesPerWeight = append(c.ratesPerWeight, rate)
	}
}
