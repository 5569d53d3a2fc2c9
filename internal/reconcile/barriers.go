package reconcile

import "cressknot/internal/fleet"

// A proxy is slow, or stuck, after a multiple of the update delays that the site states, and not before a minimum.
const (
	slowDelayFactor  = 4                       // of Site.MeanUpdateDelay
	minSlowTimeout   = 500 * fleet.Millisecond // a turn of a loaded proxy's event loop
	stuckDelayFactor = 4                       // of Site.MaxUpdateDelay
	minStuckTimeout  = 5 * fleet.Second        // a reload of a proxy takes some seconds
)

// slowTimeout is how long a message may go without an acknowledgement before it no longer delays barriers.
func (r *Reconciler) slowTimeout() fleet.Time {
	return max(minSlowTimeout, slowDelayFactor*r.site.MeanUpdateDelay)
}

// stuckTimeout is how long a proxy with messages in flight may go without progress before its session is ended.
func (r *Reconciler) stuckTimeout() fleet.Time {
	return max(minStuckTimeout, stuckDelayFactor*r.site.MaxUpdateDelay)
}

func (r *Reconciler) markAcknowledged(now fleet.Time, message *queuedMessage) {
	message.barrierPending = message.hasBarrier && !message.discarded
	message.barrierDelay = now - message.queuedAt
	message.acknowledged = true
}

// settleBarriers reports the barriers that are reached: their messages are acknowledged and all earlier ones are
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

// isSettled reports whether a message delays no barrier: it is acknowledged, or its proxy is slow.
func (r *Reconciler) isSettled(message *queuedMessage) bool {
	return message.acknowledged || message.sentAt > 0 && r.channel.pacedAt > message.sentAt+r.slowTimeout()
}
