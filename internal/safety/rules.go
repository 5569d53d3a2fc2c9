package safety

import (
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// maxProxyStall is the assumed maximum stall of a proxy between two attempts of a request.
const maxProxyStall = 2 * fleet.Second

// refuseUnready refuses a proposal that would make the entry of a draining or gone server usable.
func (c *Checker) refuseUnready(proposal *reconcile.Proposal) {
	becomesUsable := proposal.Desired.Usable() && !proposal.Current.Usable()
	if !proposal.Ready && becomesUsable && c.isExcluded(proposal.Server) {
		proposal.RefusalReason = ReasonServerNotReady
	}
}

// isExcluded reports whether the endpoint list forbids requests to a server: it is draining, or it is gone and the
// site treats removal from the list as binding.
func (c *Checker) isExcluded(id fleet.ServerID) bool {
	server := c.servers[id]
	if server == nil {
		return false
	}
	return server.State == fleet.ServerDraining || server.State == fleet.ServerGone && !c.site.IgnoreRemoval
}

// refuseEmptyClasses refuses one removal in each class that would lose its last ready server. Of the entries that the
// message removes, it keeps the warm one with the largest weight, or the warming one if there is no warm one.
func refuseEmptyClasses(plan *reconcile.UpdatePlan) {
	for class, count := range plan.EntryCounts {
		if count == 0 {
			continue // the class had no endpoints before this message
		}
		remaining := count
		best := -1 // index of the removal to refuse
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
			plan.Proposals[best].RefusalReason = ReasonNoEndpoints
		}
	}
}

// isBetterEndpoint reports whether the server of a is to be kept in preference to that of b.
func isBetterEndpoint(a, b *reconcile.Proposal) bool {
	if a.Warming != b.Warming {
		return !a.Warming
	}
	return a.Current.Weight > b.Current.Weight
}

// limitRetries lowers the retry mode of a class to the maximum that cannot execute a request twice.
func (c *Checker) limitRetries(proposal *reconcile.Proposal) {
	if limit := c.maxRetry(proposal.Class); proposal.Admission.Retry > limit {
		proposal.Admission.Retry = limit
		proposal.LowerReason = ReasonDuplicateExecution
	}
}

// maxRetry returns the largest retry mode under which no request of a class can be executed twice. For classes with
// idempotency keys, all attempts have to fall into the deduplication window and scope.
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
	// A retry starts at most this long after the previous attempt.
	retryDelay := settings.LatencyObjective.Scale(c.site.AttemptTimeoutFactor) + maxProxyStall
	switch {
	case 2*retryDelay < settings.DeduplicationWindow:
		return fleet.RetryTwice
	case retryDelay < settings.DeduplicationWindow:
		return fleet.RetryOnce
	}
	return fleet.RetryIfNotExecuted
}
