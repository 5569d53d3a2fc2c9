package balancer

import (
	"slices"

	"cressknot/internal/fleet"
)

// deliveredFraction is the fraction of the configured capacity that the simulated channel has without slowdown.
const deliveredFraction = 0.25

// deliverUpdates delivers what the update channel has capacity for between two steps, and collects the
// acknowledgements.
func (f *simulatedFleet) deliverUpdates() {
	capacity := deliveredFraction * f.site.EntriesPerSecond / f.channelSlowdown
	for len(f.channel) > 0 && capacity > 0 {
		update := &f.channel[0]
		if update.entries > capacity {
			update.entries -= capacity
			return
		}
		capacity -= update.entries
		f.pendingEvents = append(f.pendingEvents, update.acknowledgement)
		f.channel = f.channel[1:]
	}
}

// backlog returns the number of entries queued in the update channel.
func (f *simulatedFleet) backlog() float64 {
	entries := 0.0
	for i := range f.channel {
		entries += f.channel[i].entries
	}
	return entries
}

// applyOrders carries out the orders of a step and queues the messages to proxies in the update channel.
func (f *simulatedFleet) applyOrders(orders []fleet.Order) {
	sent := map[*fakeProxy]float64{} // entries
	for _, order := range orders {
		f.applyOrder(order, sent)
	}
	for id, proxy := range f.proxies {
		entries, isSent := sent[proxy]
		if !isSent {
			continue
		}
		f.channel = append(f.channel, queuedUpdate{
			entries: entries + f.site.MessageOverhead,
			acknowledgement: fleet.BarrierReached{
				Proxy:   fleet.ProxyID(id),
				Barrier: f.balancer.channel.lastBarrier,
			},
		})
		proxy.messagesAt = append(proxy.messagesAt, f.now)
	}
}

// applyOrder carries out an order and adds its cost in entries, by proxy, to sent.
func (f *simulatedFleet) applyOrder(order fleet.Order, sent map[*fakeProxy]float64) {
	switch o := order.(type) {
	case fleet.SetWeight:
		f.setWeight(o, sent)
	case fleet.WithdrawServer:
		f.withdrawServer(o, sent)
	case fleet.SetAdmission:
		f.setAdmission(o, sent)
	case fleet.AssignTable:
		f.assignTable(o, sent)
	}
}

func (f *simulatedFleet) setWeight(order fleet.SetWeight, sent map[*fakeProxy]float64) {
	if f.tables[order.Table] == nil {
		f.tables[order.Table] = map[fleet.ServerID]float64{}
	}
	f.tables[order.Table][order.Server] = float64(order.Weight)
	f.weightOrders++
	for _, proxy := range f.proxies {
		if proxy.joined && slices.Contains(proxy.assignedTables, int(order.Table)) {
			sent[proxy]++
		}
	}
}

// withdrawServer costs an entry at each proxy that has the server in a table.
func (f *simulatedFleet) withdrawServer(order fleet.WithdrawServer, sent map[*fakeProxy]float64) {
	for _, proxy := range f.proxies {
		if !proxy.joined {
			continue
		}
		uses := false
		for class := range proxy.ownTables {
			uses = uses || f.entries(proxy, class)[order.Server] > 0
		}
		if uses {
			sent[proxy]++
		}
		proxy.withdrawn[order.Server] = order.Withdrawn
	}
}

func (f *simulatedFleet) setAdmission(order fleet.SetAdmission, sent map[*fakeProxy]float64) {
	for _, proxy := range f.proxies {
		if proxy.joined {
			sent[proxy]++
		}
	}
	for class := range f.site.Classes {
		if order.Classes&classBit(class) == 0 {
			continue
		}
		f.admissionLimits[class] = float64(order.Limit)
		f.checkRetryMode(order.Retry, &f.site.Classes[class])
	}
}

// assignTable costs an entry for the assignment and one for each weight of the table. A proxy with an assigned table
// has only the withdrawals of this balancer.
func (f *simulatedFleet) assignTable(order fleet.AssignTable, sent map[*fakeProxy]float64) {
	proxy := f.proxies[order.Proxy]
	sent[proxy]++
	for _, weight := range f.tables[order.Table] {
		if weight > 0 {
			sent[proxy]++
		}
	}
	for class := range proxy.assignedTables {
		if order.Classes == 0 || order.Classes&classBit(class) != 0 {
			proxy.assignedTables[class] = int(order.Table)
		}
	}
	proxy.withdrawn = map[fleet.ServerID]bool{}
	for _, server := range f.balancer.endpoints.all {
		proxy.withdrawn[server.Server] = server.withdrawn
	}
}
