package balancer

import (
	"cmp"
	"maps"

	"cressknot/internal/fleet"
)

const (
	// assumedChannelFraction is the part of the stated channel capacity that is counted on between acknowledgements.
	assumedChannelFraction = 0.25
	// usableBacklogFraction is the part of the maximum backlog that ordinary updates may fill.
	usableBacklogFraction = 0.5
	// barrierEntries is what a barrier costs in a message.
	barrierEntries = 1
	// barrierIDCount is how many barrier IDs are used in turn.
	barrierIDCount = 65536
	// reservedMessages is the part of the message limit of a proxy that is reserved for its assignments.
	reservedMessages = 5
	// unlimitedMessages is the limit on sites that state none.
	unlimitedMessages = 1e6
	// minBroadcastInterval is the shortest time between two messages to all proxies.
	minBroadcastInterval = 2 * timerInterval
)

// updateChannel accounts for the channel that brings updates to proxies. Its unit is the entry: one value, such as a
// weight, sent to one proxy. The channel delivers messages in order.
type updateChannel struct {
	entriesSent         float64    // in all
	entriesDelivered    float64    // of those, acknowledged or assumed from the passing of time
	entriesAcknowledged float64    // of those, acknowledged
	deliveredAt         fleet.Time // when entriesDelivered was last updated
	broadcastAt         fleet.Time // last message to all proxies
	// nextChangesAt is when ordinary changes of weights may be sent; 0: none wait.
	nextChangesAt   fleet.Time
	lastBarrier     fleet.BarrierID
	pendingBarriers map[fleet.BarrierID]*pendingBarrier
}

// pendingBarrier is a barrier that not all proxies have acknowledged.
type pendingBarrier struct {
	entriesBefore    float64 // sent before the entries that the barrier ends
	entries          float64 // that the barrier ends
	proxyCount       float64 // proxies that the barrier was sent to
	acknowledgements float64
}

// assumedEntries returns how many entries the channel is assumed to deliver in a time.
func assumedEntries(duration fleet.Time, site *fleet.Site) float64 {
	return duration.Seconds() * site.EntriesPerSecond * assumedChannelFraction
}

// advance counts what the channel is assumed to have delivered since the last call.
func (c *updateChannel) advance(now fleet.Time, site *fleet.Site) {
	c.entriesDelivered = min(c.entriesSent, c.entriesDelivered+assumedEntries(now-c.deliveredAt, site))
	c.deliveredAt = now
}

// backlog returns the entries that wait in the channel: neither delivered nor in transit.
func (c *updateChannel) backlog(site *fleet.Site) float64 {
	return max(0, c.entriesSent-c.entriesDelivered-assumedEntries(site.MeanUpdateDelay, site))
}

// acknowledge counts a proxy that has reached a barrier. What was sent before the barrier is delivered then, also
// where the channel is slower than assumed.
func (c *updateChannel) acknowledge(id fleet.BarrierID) {
	barrier := c.pendingBarriers[id]
	if barrier == nil {
		return
	}
	delivered := barrier.entriesBefore + barrier.entries*min(1, barrier.acknowledgements/barrier.proxyCount)
	if delivered > c.entriesAcknowledged {
		c.entriesAcknowledged = delivered
		c.entriesDelivered = delivered
	}
	barrier.acknowledgements++
	maps.DeleteFunc(c.pendingBarriers, func(_ fleet.BarrierID, pending *pendingBarrier) bool {
		return pending.entriesBefore+pending.entries <= c.entriesAcknowledged
	})
}

// addBarrier returns a barrier that ends all entries sent since entriesBefore and goes to a number of proxies.
func (c *updateChannel) addBarrier(entriesBefore float64, proxyCount int) fleet.Barrier {
	c.lastBarrier = (c.lastBarrier + 1) % barrierIDCount
	c.pendingBarriers[c.lastBarrier] = &pendingBarrier{
		entriesBefore: entriesBefore,
		entries:       c.entriesSent - entriesBefore,
		proxyCount:    float64(proxyCount),
	}
	return fleet.Barrier{ID: c.lastBarrier}
}

// messageCost returns the entries that a message costs beside its weights: its overhead, admission and a barrier.
func (b *Balancer) messageCost() float64 {
	return b.site.MessageOverhead + float64(len(b.classes)) + barrierEntries
}

// broadcast emits an order that costs one entry at each of a number of proxies.
func (b *Balancer) broadcast(order fleet.Order, proxyCount float64) {
	b.channel.entriesSent += proxyCount
	if proxyCount > 0 && b.channel.broadcastAt != b.now {
		b.channel.broadcastAt = b.now
		b.channel.entriesSent += b.messageCost() * float64(len(b.proxies.all))
	}
	b.emit(order)
}

// broadcastInterval returns the time between messages to all that the message limit of proxies allows.
func (b *Balancer) broadcastInterval() fleet.Time {
	maxBroadcasts := max(1, cmp.Or(b.site.MaxMessages, unlimitedMessages)-reservedMessages)
	return max(minBroadcastInterval, b.site.MessageWindow/fleet.Time(maxBroadcasts))
}
