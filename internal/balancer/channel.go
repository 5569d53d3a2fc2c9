package balancer

import (
	"cmp"

	"cressknot/internal/fleet"
)

type pendingBarrier struct{ entriesBefore, entries, proxyCount, acknowledgements float64 } // lines before it, its own; proxies

// emitOrders emits the difference between what is wanted and what is out.
func (g *Balancer) emitOrders() {
	g.entriesDelivered = min(g.entriesSent, g.entriesDelivered+(g.now-g.deliveredAt).Seconds()*g.site.EntriesPerSecond*assumedChannelFraction)
	if g.deliveredAt = g.now; g.timerDueAt <= g.now {
		g.timerDueAt = g.now + timerInterval
		g.orders = append(g.orders, fleet.SetTimer{Delay: timerInterval})
	}
	if g.nextListRequestAt > 0 && g.nextListRequestAt <= g.now {
		g.nextListRequestAt, g.orders = 0, append(g.orders, fleet.WatchEndpoints{Enabled: true})
	}
	for _, s := range g.ready {
		if g.intervalDue && g.site.ProbesAllowed && g.site.LoadReports == fleet.LoadReportOnProbe {
			g.orders = append(g.orders, fleet.ProbeServer{Server: s.Server})
		}
	}
	if g.site.SliceCount > 0 {
		return
	}
	most := max(1, cmp.Or(g.site.MaxMessages, huge)-reservedMessages)
	gap, before := max(2*timerInterval, g.site.MessageWindow/fleet.Time(most)), g.entriesSent
	if g.now >= g.broadcastAt+gap {
		g.publish()
	}
	if reached := g.assignProxies(); g.entriesSent > before {
		if g.broadcastAt == g.now {
			reached = len(g.proxies)
		}
		g.lastBarrier = (g.lastBarrier + 1) % 65536
		g.pendingBarriers[g.lastBarrier] = &pendingBarrier{entriesBefore: before, entries: g.entriesSent - before, proxyCount: float64(reached)}
		g.orders = append(g.orders, fleet.Barrier{ID: g.lastBarrier})
	}
}

func (g *Balancer) backlog() float64 { // lines neither known to have arrived nor on their way
	return max(0, g.entriesSent-g.entriesDelivered-g.site.MeanUpdateDelay.Seconds()*g.site.EntriesPerSecond*assumedChannelFraction)
}

func (g *Balancer) messageCost() float64 { return g.site.MessageOverhead + float64(len(g.classes)) + 1 } // and a mark

// weightChange is a changed line, with the size of its change by which lines go.
type weightChange struct {
	fleet.SetWeight
	priority float64
}

func (g *Balancer) broadcast(order fleet.Order, users float64) { // costs a line at each of so many proxies
	if g.entriesSent += users; users > 0 && g.broadcastAt != g.now {
		g.broadcastAt, g.entriesSent = g.now, g.entriesSent+g.messageCost()*float64(len(g.proxies))
	}
	g.orders = append(g.orders, order)
}
