package reconcile

import (
	"slices"

	"cressknot/internal/fleet"
)

const (
	// maxInFlightMessages bounds the messages to one proxy that are not acknowledged: one is applied while another
	// travels.
	maxInFlightMessages = 2
	// reservedMessages of Site.MaxMessages are reserved for urgent changes.
	reservedMessages = 3
	// maxBurstDuration is how much lost pace may be caught up, such as after a timer that fired late under load.
	maxBurstDuration = 50 * fleet.Millisecond
	// goneEntryRetention is how long the entries of a gone server stay, until its requests have ended.
	goneEntryRetention = 60 * fleet.Second
	sweepInterval      = fleet.Second
)

// updateChannel is the one queue through which all messages leave, first in, first out, at the pace of
// Site.EntriesPerSecond. The changes of a message are worked out when it is written, from what is desired then. So
// a weight that waits is replaced by a newer one, and withdrawals overtake ordinary changes of the same proxy.
type updateChannel struct {
	queue        []*queuedMessage // those before head have left
	head         int
	lastSequence uint64
	unsettled    []*queuedMessage // by sequence; settled ones are removed from the front
	backlog      float64          // entries in the queue, message overhead included
	credit       float64          // entries that may leave now
	pacedAt      fleet.Time       // latest time that was added to the credit; negative: none yet
}

// cost returns what a message costs in the update channel, in entries.
func (r *Reconciler) cost(message *queuedMessage) float64 {
	cost := float64(message.entries) + r.site.MessageOverhead
	if message.hasBarrier {
		cost++
	}
	return cost
}

// enqueue puts a message to a proxy into the update channel and returns it. Where a message to the proxy waits
// already, the entries are added to that one. Where the channel is full, the items stay dirty until there is room.
func (r *Reconciler) enqueue(now fleet.Time, proxy *proxyState, entries int, barrier *fleet.Barrier) *queuedMessage {
	channel := &r.channel
	message := &queuedMessage{proxy: proxy, entries: entries, queuedAt: now}
	if barrier != nil {
		message.barrier = barrier.ID
		message.hasBarrier = true
	}
	if entries == 0 && barrier == nil {
		return message
	}
	if waiting := proxy.newest; barrier == nil && r.canExtend(waiting, entries) {
		waiting.entries += entries
		channel.backlog += float64(entries)
		return waiting
	}
	if channel.backlog+r.cost(message) > r.site.MaxBacklog {
		proxy.deferred = true
		return message
	}
	channel.lastSequence++
	message.sequence = channel.lastSequence
	message.barrierAfter = channel.lastSequence
	channel.queue = append(channel.queue, message)
	channel.unsettled = append(channel.unsettled, message)
	channel.backlog += r.cost(message)
	proxy.queuedCount++
	proxy.newest = message
	return message
}

// canExtend reports whether more entries may be added to a message, which costs no further overhead.
func (r *Reconciler) canExtend(message *queuedMessage, entries int) bool {
	return message != nil && !message.discarded && message.sentAt == 0 &&
		r.channel.backlog+float64(entries) <= r.site.MaxBacklog
}

// discardMessages gives up the messages of a proxy that left.
func (r *Reconciler) discardMessages(proxy *proxyState) {
	for _, message := range r.channel.unsettled {
		if message.proxy == proxy {
			message.discarded = true
			message.acknowledged = true
		}
	}
	for _, message := range r.channel.queue[r.channel.head:] {
		if message.proxy == proxy {
			r.channel.backlog -= r.cost(message)
		}
	}
}

// Next returns the messages that may leave by now, the events for the balancer, the proxies whose sessions are to
// be ended because they acknowledge nothing, and when to call again (0: when something happens).
func (r *Reconciler) Next(now fleet.Time) (
	messages []Message, events []fleet.Event, disconnects []fleet.ProxyID, wake fleet.Time,
) {
	r.sweep(now)
	r.disconnectStuck(now)
	r.releaseQueued(now)
	for _, proxy := range r.proxyOrder {
		r.retryFailed(now, proxy)
		r.enqueueDeferred(now, proxy)
		r.retryRefused(now, proxy)
		if proxy.queuedCount == 0 && len(proxy.released) == 0 && proxy.retryAt == 0 && !proxy.deferred {
			// The last message takes along what is left over.
			proxy.entryBudget = max(proxy.entryBudget, len(proxy.dirty))
		}
		for r.hasMessage(now, proxy) {
			if message, ok := r.writeMessage(now, proxy); ok {
				messages = append(messages, message)
			}
		}
	}
	r.settleBarriers()
	wake = r.nextWake(now)
	events, r.events = r.events, nil
	disconnects, r.disconnects = r.disconnects, nil
	return messages, events, disconnects, wake
}

// sweep does once per second what is due by time alone.
func (r *Reconciler) sweep(now fleet.Time) {
	if now < r.sweptAt+sweepInterval {
		return
	}
	r.sweptAt = now
	r.expireManualWeights(now)
	r.endPins(now)
	r.deleteGoneEntries(now)
}

// enqueueDeferred puts items that waited outside of the full update channel into it, once it is half empty.
func (r *Reconciler) enqueueDeferred(now fleet.Time, proxy *proxyState) {
	if !proxy.deferred {
		return
	}
	if r.channel.backlog+r.site.MessageOverhead+float64(len(proxy.dirty)) <= r.site.MaxBacklog/2 {
		proxy.deferred = false
		r.enqueue(now, proxy, len(proxy.dirty), nil)
	}
}

// hasMessage reports whether a message to a proxy may be written now.
func (r *Reconciler) hasMessage(now fleet.Time, proxy *proxyState) bool {
	if len(proxy.inFlight) >= maxInFlightMessages || !r.withinMessageLimit(now, proxy) {
		return false
	}
	return len(proxy.released) > 0 || proxy.entryBudget > 0 && len(proxy.dirty) > 0
}

// withinMessageLimit keeps to Site.MaxMessages within Site.MessageWindow. The last ones are reserved for urgent
// changes.
func (r *Reconciler) withinMessageLimit(now fleet.Time, proxy *proxyState) bool {
	limit := r.site.MaxMessages
	if limit <= 0 {
		return true
	}
	proxy.writtenAt = slices.DeleteFunc(proxy.writtenAt, func(at fleet.Time) bool {
		return at <= now-r.site.MessageWindow
	})
	written := len(proxy.writtenAt)
	return written < limit-reservedMessages || written < limit && len(proxy.urgentItems) > 0
}

// releaseQueued lets messages leave the queue at the pace of Site.EntriesPerSecond.
func (r *Reconciler) releaseQueued(now fleet.Time) {
	channel := &r.channel
	if channel.pacedAt < 0 {
		channel.pacedAt = now
	}
	maxCredit := max(1, maxBurstDuration.Seconds()*r.site.EntriesPerSecond)
	elapsed := max(0, (now - channel.pacedAt).Seconds())
	channel.credit = min(maxCredit, channel.credit+elapsed*r.site.EntriesPerSecond)
	channel.pacedAt = max(channel.pacedAt, now) // a clock that goes back gives no credit twice
	for channel.head < len(channel.queue) {
		message := channel.queue[channel.head]
		if !message.discarded {
			// A message longer than a burst leaves with the full credit, which then becomes negative.
			cost := r.cost(message)
			if channel.credit < min(cost, maxCredit) {
				break
			}
			r.release(now, message, cost)
		}
		channel.queue[channel.head] = nil
		channel.head++
	}
	if channel.head > len(channel.queue)/2 {
		channel.queue = slices.Delete(channel.queue, 0, channel.head)
		channel.head = 0
	}
}

func (r *Reconciler) release(now fleet.Time, message *queuedMessage, cost float64) {
	r.channel.credit -= cost
	r.channel.backlog -= cost
	message.sentAt = now
	proxy := message.proxy
	proxy.queuedCount--
	proxy.released = append(proxy.released, message)
	proxy.entryBudget += message.entries
}

// nextWake returns when something is due by time alone, 0 for nothing.
func (r *Reconciler) nextWake(now fleet.Time) (wake fleet.Time) {
	if r.channel.head < len(r.channel.queue) {
		missing := r.cost(r.channel.queue[r.channel.head]) - r.channel.credit
		wait := fleet.Second.Scale(min(missing, 1) / max(1, r.site.EntriesPerSecond))
		wake = earlier(wake, now+max(fleet.Millisecond, wait))
	}
	for _, proxy := range r.proxyOrder {
		wake = earlier(wake, proxy.retryAt)
		wake = earlier(wake, proxy.refusedRetryAt)
		if len(proxy.inFlight) == 0 {
			continue
		}
		wake = earlier(wake, proxy.progressAt+r.stuckTimeout())
		if slowAt := proxy.inFlight[0].sentAt + r.slowTimeout(); slowAt > now {
			wake = earlier(wake, slowAt)
		}
	}
	return wake
}

// earlier returns the earlier of two times, of which 0 means never.
func earlier(a, b fleet.Time) fleet.Time {
	if a == 0 || b > 0 && b < a {
		return max(0, b)
	}
	return a
}

// Backlog returns the entries that wait in the update channel, message overhead included. Site.MaxBacklog bounds
// them.
func (r *Reconciler) Backlog() float64 { return r.channel.backlog }

// Idle reports whether no change waits and no message is in flight.
func (r *Reconciler) Idle() bool {
	for _, proxy := range r.proxyOrder {
		if len(proxy.inFlight) > 0 || len(proxy.released) > 0 || len(proxy.dirty) > 0 {
			return false
		}
	}
	return r.channel.head == len(r.channel.queue)
}
