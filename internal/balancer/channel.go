package balancer

import (
	"cmp"

	"cressknot/internal/fleet"
)

type pendingBarrier struct{ entriesBefore, entries, proxyCount, acknowledgements float64 } // lines before it, its own; proxies

// emitOrders emits the difference between what is wanted and what is out.
func (g *Balancer) emitOrders() {
	g.channel.entriesDelivered = min(g.channel.entriesSent, g.channel.entriesDelivered+(g.now-g.channel.deliveredAt).Seconds()*g.site.EntriesPerSecond*assumedChannelFraction)
	if g.channel.deliveredAt = g.now; g.schedule.timerDueAt <= g.now {
		g.schedule.timerDueAt = g.now + timerInterval
		g.orders = append(g.orders, fleet.SetTimer{Delay: timerInterval})
	}
	if g.endpoints.nextRequestAt > 0 && g.endpoints.nextRequestAt <= g.now {
		g.endpoints.nextRequestAt, g.orders = 0, append(g.orders, fleet.WatchEndpoints{Enabled: true})
	}
	for _, s := range g.endpoints.ready {
		if g.schedule.intervalDue && g.site.ProbesAllowed && g.site.LoadReports == fleet.LoadReportOnProbe {
			g.orders = append(g.orders, fleet.ProbeServer{Server: s.Server})
		}
	}
	if g.site.SliceCount > 0 {
		return
	}
	most := max(1, cmp.Or(g.site.MaxMessages, huge)-reservedMessages)
	gap, before := max(2*timerInterval, g.site.MessageWindow/fleet.Time(most)), g.channel.entriesSent
	if g.now >= g.channel.broadcastAt+gap {
		g.publish()
	}
	if reached := g.assignProxies(); g.channel.entriesSent > before {
		if g.channel.broadcastAt == g.now {
			reached = len(g.proxies.all)
		}
		g.channel.lastBarrier = (g.channel.lastBarrier + 1) % 65536
		g.channel.pendingBarriers[g.channel.lastBarrier] = &pendingBarrier{entriesBefore: before, entries: g.channel.entriesSent - before, proxyCount: float64(reached)}
		g.orders = append(g.orders, fleet.Barrier{ID: g.channel.lastBarrier})
	}
}

func (g *Balancer) backlog() float64 { // lines neither known to have arrived nor on their way
	return max(0, g.channel.entriesSent-g.channel.entriesDelivered-g.site.MeanUpdateDelay.Seconds()*g.site.EntriesPerSecond*assumedChannelFraction)
}

func (g *Balancer) messageCost() float64 { return g.site.MessageOverhead + float64(len(g.classes)) + 1 } // and a mark

// weightChange is a changed line, with the size of its change by which lines go.
type weightChange struct {
	fleet.SetWeight
	priority float64
}

func (g *Balancer) broadcast(order fleet.Order, users float64) { // costs a line at each of so many proxies
	if g.channel.entriesSent += users; users > 0 && g.channel.broadcastAt != g.now {
		g.channel.broadcastAt, g.channel.entriesSent = g.now, g.channel.entriesSent+g.messageCost()*float64(len(g.proxies.all))
	}
	g.orders = append(g.orders, order)
}
