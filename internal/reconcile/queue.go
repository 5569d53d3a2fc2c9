package reconcile

import (
	"slices"

	"cressknot/internal/fleet"
)

const (
	// maxInFlightMessages bounds the unacknowledged messages to one proxy. With two, one is in transit while the
	// other is applied.
	maxInFlightMessages = 2
	// reservedMessages is the part of Site.MaxMessages that is reserved for urgent changes.
	reservedMessages = 3
	// maxBurstDuration bounds the unused sending rate that may be caught up, such as after a timer that fired late
	// under load.
	maxBurstDuration = 50 * fleet.Millisecond
	// goneEntryRetention is how long the entries of a gone server are kept, so that its requests can end.
	goneEntryRetention = 60 * fleet.Second
	sweepInterval      = fleet.Second
)

// updateChannel is the FIFO queue of the messages to all proxies. It is rate-limited to Site.EntriesPerSecond by a
// token bucket. The changes of a message are computed from the desired state when it is written. Hence a newer weight
// replaces one that is still queued, and withdrawals overtake ordinary changes of the same proxy.
type updateChannel struct {
	queue        []*queuedMessage // those before head have been released
	head         int
	lastSequence uint64
	unsettled    []*queuedMessage // messages that may delay a barrier, by sequence
	backlog      float64          // entries in the queue, including message overhead
	credit       float64          // tokens: entries that may be released now; negative after a long message
	pacedAt      fleet.Time       // time up to which credit was granted; negative: none yet
}

// cost returns the cost of a message in the update channel, in entries. A barrier costs one.
func (r *Reconciler) cost(message *queuedMessage) float64 {
	cost := float64(message.entries) + r.site.MessageOverhead
	if message.hasBarrier {
		cost++
	}
	return cost
}

// enqueue adds a message to a proxy to the update channel and returns it. If a message to the proxy is still queued,
// and there is no barrier, the entries are added to that one instead. If the channel is full, the message is not
// queued (its sequence is 0) and the items stay dirty until enqueueDeferred finds room.
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

// canExtend reports whether entries may be added to a queued message, which saves the overhead of a new one.
func (r *Reconciler) canExtend(message *queuedMessage, entries int) bool {
	return message != nil && !message.discarded && message.sentAt == 0 &&
		r.channel.backlog+float64(entries) <= r.site.MaxBacklog
}

// discardMessages discards the messages of a proxy whose session has ended.
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

// NextMessages returns the messages to send now, the events for the balancer, the proxies whose sessions the transport
// must close because they are stuck, and the time of the next call. A wake time of 0 means that no call is due before
// the next input.
func (r *Reconciler) NextMessages(now fleet.Time) (
	messages []Message, events []fleet.Event, disconnects []fleet.ProxyID, wake fleet.Time,
) {
	r.sweep(now)
	r.disconnectStuck(now)
	r.releaseQueued(now)
	for _, proxy := range r.proxyOrder {
		r.retryFailed(now, proxy)
		r.enqueueDeferred(now, proxy)
		r.retryRefused(now, proxy)
		if proxy.queuedCount == 0 && len(proxy.released) == 0 && proxy.failed.empty() && !proxy.deferred {
			// No message follows, so the next one carries all remaining items.
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

// sweep runs the periodic tasks, once per sweepInterval.
func (r *Reconciler) sweep(now fleet.Time) {
	if now < r.sweptAt+sweepInterval {
		return
	}
	r.sweptAt = now
	r.expireManualWeights(now)
	r.endPins(now)
	r.deleteGoneEntries(now)
}

// enqueueDeferred queues the items that were deferred while the update channel was full, once it is at most half
// full.
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

// withinMessageLimit reports whether a message to a proxy is within Site.MaxMessages per Site.MessageWindow. The last
// reservedMessages are available to urgent changes only.
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

// releaseQueued releases messages from the queue at the rate of Site.EntriesPerSecond.
func (r *Reconciler) releaseQueued(now fleet.Time) {
	channel := &r.channel
	if channel.pacedAt < 0 {
		channel.pacedAt = now
	}
	maxCredit := max(1, maxBurstDuration.Seconds()*r.site.EntriesPerSecond)
	elapsed := max(0, (now - channel.pacedAt).Seconds())
	channel.credit = min(maxCredit, channel.credit+elapsed*r.site.EntriesPerSecond)
	channel.pacedAt = max(channel.pacedAt, now) // a clock that is set back does not grant credit twice
	for channel.head < len(channel.queue) {
		message := channel.queue[channel.head]
		if !message.discarded {
			// A message that exceeds the burst size is released at full credit, which then becomes negative.
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

// nextWake returns the time of the next timeout or release, 0 if there is none.
func (r *Reconciler) nextWake(now fleet.Time) (wake fleet.Time) {
	if r.channel.head < len(r.channel.queue) {
		missing := r.cost(r.channel.queue[r.channel.head]) - r.channel.credit
		wait := fleet.Second.Scale(min(missing, 1) / max(1, r.site.EntriesPerSecond))
		wake = earlier(wake, now+max(fleet.Millisecond, wait))
	}
	for _, proxy := range r.proxyOrder {
		wake = earlier(wake, proxy.failed.dueAt())
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

// earlier returns the earlier of two times, where 0 means never.
func earlier(a, b fleet.Time) fleet.Time {
	if a == 0 || b > 0 && b < a {
		return max(0, b)
	}
	return a
}

// Backlog returns the number of entries in the update channel, including message overhead. Site.MaxBacklog bounds it.
func (r *Reconciler) Backlog() float64 { return r.channel.backlog }

// Idle reports whether no change is pending and no message is queued or in flight.
func (r *Reconciler) Idle() bool {
	for _, proxy := range r.proxyOrder {
		if len(proxy.inFlight) > 0 || len(proxy.released) > 0 || len(proxy.dirty) > 0 {
			return false
		}
	}
	return r.channel.head == len(r.channel.queue)
}
