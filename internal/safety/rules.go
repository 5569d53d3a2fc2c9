package safety

import (
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// maxProxyStall is how long a proxy may be stalled between two attempts of a request.
const maxProxyStall = 2 * fleet.Second

// refuseUnready refuses to make the entry of a draining or gone server usable.
func (c *Checker) refuseUnready(proposal *reconcile.Proposal) {
	becomesUsable := proposal.Want.Usable() && !proposal.Have.Usable()
	if !proposal.Ready && becomesUsable && c.isExcluded(proposal.Server) {
		proposal.HoldReason = ReasonServerNotReady
	}
}

// isExcluded reports whether the list forbids to send requests to a server.
func (c *Checker) isExcluded(id fleet.ServerID) bool {
	server := c.servers[id]
	if server == nil {
		return false
	}
	return server.State == fleet.ServerDraining || server.State == fleet.ServerGone && !c.site.RemovalNotBinding
}

// refuseEmptyClasses refuses changes that would take the last ready server of a class. Of the entries that the
// message takes, the one with the largest weight stays, a warm one before a warming one.
func refuseEmptyClasses(plan *reconcile.UpdatePlan) {
	for class, count := range plan.EntryCounts {
		if count == 0 {
			continue // already without endpoints, by no change of this message
		}
		remaining := count
		best := -1 // proposal to be refused
		for i := range plan.Proposals {
			proposal := &plan.Proposals[i]
			if int(proposal.Class) != class || proposal.Kind == reconcile.UpdateAdmission {
				continue
			}
			delta := proposal.EntryDelta()
			remaining += delta
			if delta < 0 && (best < 0 || isBetterEndpoint(proposal, &plan.Proposals[best])) {
				best = i
			}
		}
		if remaining <= 0 && best >= 0 {
			plan.Proposals[best].HoldReason = ReasonNoEndpoints
		}
	}
}

// isBetterEndpoint reports whether the server of a should rather stay than that of b.
func isBetterEndpoint(a, b *reconcile.Proposal) bool {
	if a.Warming != b.Warming {
		return !a.Warming
	}
	return a.Have.Weight > b.Have.Weight
}

// limitRetries lowers the retry mode of a class to what cannot execute a request twice.
func (c *Checker) limitRetries(proposal *reconcile.Proposal) {
	if limit := c.maxRetry(proposal.Class); proposal.Admission.Retry > limit {
		proposal.Admission.Retry = limit
		proposal.LowerReason = ReasonDuplicateExecution
	}
}

// maxRetry returns the largest retry mode by which no request of a class is executed twice.
func (c *Checker) maxRetry(class fleet.ClassID) fleet.RetryMode {
	settings := &c.site.Classes[class]
	switch settings.Idempotency {
	case fleet.Idempotent:
		return fleet.RetryTwice
	case fleet.NotIdempotent:
		return fleet.RetryIfNotExecuted
	}
	switch settings.DeduplicationScope {
	case fleet.DeduplicationCell:
		return fleet.RetryIfNotExecuted
	case fleet.DeduplicationZone:
		if !settings.ZoneLocal {
			return fleet.RetryIfNotExecuted
		}
	}
	// A retry begins at most this long after the attempt before it.
	retryDelay := settings.LatencyObjective.Scale(c.site.AttemptTimeoutFactor) + maxProxyStall
	switch {
	case 2*retryDelay < settings.DeduplicationWindow:
		return fleet.RetryTwice
	case retryDelay < settings.DeduplicationWindow:
		return fleet.RetryOnce
	}
	return fleet.RetryIfNotExecuted
}
