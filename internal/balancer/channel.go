package balancer

import (
	"cmp"
	"maps"

	"cressknot/internal/fleet"
)

const (
	// assumedChannelFraction is the fraction of the configured channel capacity that is assumed to be delivered between
	// acknowledgements.
	assumedChannelFraction = 0.25
	// usableBacklogFraction is the fraction of the maximum backlog that ordinary updates may fill.
	usableBacklogFraction = 0.5
	// barrierEntries is the cost of a barrier in a message.
	barrierEntries = 1
	// barrierIDCount is the number of barrier IDs, after which they are reused.
	barrierIDCount = 65536
	// reservedMessages is the number of messages per proxy and message window that is reserved for assignments.
	reservedMessages = 5
	// unlimitedMessages is the message limit on sites that configure none.
	unlimitedMessages = 1e6
	// maxAcknowledgementSilence is how long acknowledgements may be missing before they are taken to be lost.
	maxAcknowledgementSilence = 4 * balanceInterval
	// minBroadcastInterval is the shortest time between two messages to all proxies.
	minBroadcastInterval = 2 * timerInterval
)

// updateChannel accounts for the channel that delivers updates to proxies. Its unit is the entry: one value, such as a
// weight, sent to one proxy. The channel delivers messages in order.
type updateChannel struct {
	entriesSent         float64    // in total
	entriesDelivered    float64    // of those sent, acknowledged or assumed to be delivered after the time passed
	entriesAcknowledged float64    // of those delivered, acknowledged
	deliveredAt         fleet.Time // when entriesDelivered was last updated
	// silentSince is the time since which acknowledgements are awaited and none has come; 0: none are awaited.
	silentSince fleet.Time
	broadcastAt fleet.Time // last message to all proxies
	// nextChangesAt is when ordinary changes of weights may be sent; 0: none are pending.
	nextChangesAt   fleet.Time
	lastBarrier     fleet.BarrierID
	pendingBarriers map[fleet.BarrierID]*pendingBarrier
}

// pendingBarrier is a barrier that not all proxies have acknowledged.
type pendingBarrier struct {
	entriesBefore    float64 // entries sent before those that the barrier covers
	entries          float64 // entries that the barrier covers
	proxyCount       float64 // proxies that the barrier was sent to
	acknowledgements float64
}

// assumedEntries returns the number of entries that the channel is assumed to deliver in a duration.
func assumedEntries(duration fleet.Time, site *fleet.Site) float64 {
	return duration.Seconds() * site.EntriesPerSecond * assumedChannelFraction
}

// advance adds the entries that the channel is assumed to have delivered since the last call: none while it seems to be
// stalled.
func (c *updateChannel) advance(now fleet.Time, site *fleet.Site) {
	if !c.isStalled(now, site) {
		c.entriesDelivered = min(c.entriesSent, c.entriesDelivered+assumedEntries(now-c.deliveredAt, site))
	}
	c.deliveredAt = now
}

// isStalled reports whether acknowledgements are overdue, so that the channel may deliver nothing, as while the
// connection to the relay is cut. After maxAcknowledgementSilence they are taken to be lost.
func (c *updateChannel) isStalled(now fleet.Time, site *fleet.Site) bool {
	silence := now - c.silentSince
	overdue := silence > site.MaxUpdateDelay+timerInterval
	return c.silentSince > 0 && overdue && silence <= maxAcknowledgementSilence
}

// backlog returns the number of entries queued in the channel: neither delivered nor in transit.
func (c *updateChannel) backlog(site *fleet.Site) float64 {
	return max(0, c.entriesSent-c.entriesDelivered-assumedEntries(site.MeanUpdateDelay, site))
}

// acknowledge counts a proxy that has reached a barrier. This proves that all entries before the barrier are delivered,
// which corrects the assumption where the channel is slower.
func (c *updateChannel) acknowledge(now fleet.Time, id fleet.BarrierID) {
	barrier := c.pendingBarriers[id]
	if barrier == nil {
		return
	}
	c.silentSince = now
	delivered := barrier.entriesBefore + barrier.entries*min(1, barrier.acknowledgements/barrier.proxyCount)
	if delivered > c.entriesAcknowledged {
		c.entriesAcknowledged = delivered
		c.entriesDelivered = delivered
	}
	barrier.acknowledgements++
	if id == c.lastBarrier && barrier.acknowledgements >= barrier.proxyCount {
		c.silentSince = 0
	}
	maps.DeleteFunc(c.pendingBarriers, func(_ fleet.BarrierID, pending *pendingBarrier) bool {
		return pending.entriesBefore+pending.entries <= c.entriesAcknowledged
	})
}

// addBarrier returns a barrier for proxyCount proxies that covers the entries sent since entriesSent was entriesBefore.
func (c *updateChannel) addBarrier(now fleet.Time, entriesBefore float64, proxyCount int) fleet.Barrier {
	if c.silentSince == 0 || now > c.silentSince+maxAcknowledgementSilence {
		c.silentSince = now
	}
	c.lastBarrier = (c.lastBarrier + 1) % barrierIDCount
	c.pendingBarriers[c.lastBarrier] = &pendingBarrier{
		entriesBefore: entriesBefore,
		entries:       c.entriesSent - entriesBefore,
		proxyCount:    float64(proxyCount),
	}
	return fleet.Barrier{ID: c.lastBarrier}
}

// messageCost returns the fixed cost of a message in entries, which excludes its weights: the overhead, one admission
// limit per class and a barrier.
func (b *Balancer) messageCost() float64 {
	return b.site.MessageOverhead + float64(len(b.classes)) + barrierEntries
}

// broadcast emits an order that costs one entry at each of proxyCount proxies.
func (b *Balancer) broadcast(order fleet.Order, proxyCount float64) {
	b.channel.entriesSent += proxyCount
	if proxyCount > 0 && b.channel.broadcastAt != b.now {
		b.channel.broadcastAt = b.now
		b.channel.entriesSent += b.messageCost() * float64(len(b.proxies.all))
	}
	b.emit(order)
}

// broadcastInterval returns the time between messages to all proxies that the message limit of a proxy allows.
func broadcastInterval(site *fleet.Site) fleet.Time {
	maxBroadcasts := max(1, cmp.Or(site.MaxMessages, unlimitedMessages)-reservedMessages)
	return max(minBroadcastInterval, site.MessageWindow/fleet.Time(maxBroadcasts))
}
