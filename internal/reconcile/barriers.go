package reconcile

import "cressknot/internal/fleet"

// A proxy counts as slow or stuck after a multiple of the update delays of the site, and at least after a minimum.
const (
	slowDelayFactor  = 4                       // of Site.MeanUpdateDelay
	minSlowTimeout   = 500 * fleet.Millisecond // one iteration of a loaded proxy's event loop
	stuckDelayFactor = 4                       // of Site.MaxUpdateDelay
	minStuckTimeout  = 5 * fleet.Second        // a reload of a proxy takes some seconds
)

// slowTimeout is the time after which a message without an acknowledgement no longer delays the barriers of other
// proxies.
func (r *Reconciler) slowTimeout() fleet.Time {
	return max(minSlowTimeout, slowDelayFactor*r.site.MeanUpdateDelay)
}

// stuckTimeout is the time without progress after which the session of a proxy with messages in flight is closed.
func (r *Reconciler) stuckTimeout() fleet.Time {
	return max(minStuckTimeout, stuckDelayFactor*r.site.MaxUpdateDelay)
}

// markAcknowledged records the acknowledgement of a message. Its barrier, if any, is reported by settleBarriers.
func (r *Reconciler) markAcknowledged(now fleet.Time, message *queuedMessage) {
	message.barrierPending = message.hasBarrier && !message.discarded
	message.barrierDelay = now - message.queuedAt
	message.acknowledged = true
}

// settleBarriers emits an event for each barrier whose message is acknowledged and whose preceding messages are all
// settled.
func (r *Reconciler) settleBarriers() {
	unsettled := r.channel.unsettled
	settled := 0
	for settled < len(unsettled) && r.isSettled(unsettled[settled]) {
		settled++
	}
	reached := r.channel.lastSequence + 1
	if settled < len(unsettled) {
		reached = unsettled[settled].sequence
	}
	remaining := unsettled[:0]
	for i, message := range unsettled {
		if message.barrierPending && message.barrierAfter <= reached {
			message.barrierPending = false
			r.events = append(r.events, fleet.BarrierReached{
				Proxy:   message.proxy.id,
				Barrier: message.barrier,
				Delay:   message.barrierDelay,
			})
		}
		if i >= settled || message.barrierPending || !message.acknowledged {
			remaining = append(remaining, message)
		}
	}
	clear(unsettled[len(remaining):])
	r.channel.unsettled = remaining
}

// isSettled reports whether a message no longer delays barriers, because it is acknowledged or its proxy is slow.
func (r *Reconciler) isSettled(message *queuedMessage) bool {
	return message.acknowledged || message.sentAt > 0 && r.channel.pacedAt > message.sentAt+r.slowTimeout()
}
