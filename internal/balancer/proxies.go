package balancer

import (
	"cmp"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// noTable is the assignment of a proxy that uses no table of this balancer yet.
	noTable = -1
	// minExpectedRate replaces an expected rate of zero, which would leave the proxy out of all sums.
	minExpectedRate = 1e-9
	// repeatWithdrawalsDivisor sets the part of the drain timeout after which earlier withdrawals are sent again.
	repeatWithdrawalsDivisor = 4
	// repeatedWithdrawalAge bounds the age, when a proxy joined, of the withdrawals that are sent again for it.
	repeatedWithdrawalAge = 3 * balanceInterval
	// urgentAssignmentDivisor sets the part of the drain timeout after which an assignment may use more of the channel.
	urgentAssignmentDivisor = 8
	// urgentAssignmentBonus is the further part of the maximum backlog that such an assignment may use.
	urgentAssignmentBonus = 0.35
)

// proxyRegistry is the state of the proxies that are joined to the controller.
type proxyRegistry struct {
	byID           map[fleet.ProxyID]*proxyState
	all            []*proxyState // by ID
	zoneHasProxies []bool        // by zone
	outOfSync      float64       // number of proxies that are out of sync
	// expectedRate sums up the expected requests per second; reportedExpectedRate only of proxies whose reports came.
	expectedRate         float64
	reportedExpectedRate float64
	// inheritedTables is set once a proxy has joined with tables of another controller or of an earlier incarnation.
	inheritedTables bool
}

// proxyState is what the balancer knows of a joined proxy and has ordered for it.
type proxyState struct {
	id        fleet.ProxyID
	partition int // whose tables it uses
	joinedAt  fleet.Time
	// expectedRate is the requests per second that were stated when it joined; reportedExpectedRate is the same, but 0
	// until the first demand report.
	expectedRate         float64
	reportedExpectedRate float64
	demandSamples        [][]reportSample // by class
	assignedTables       []int            // by class; noTable: none of this balancer yet
	// outOfSync says that the proxy does not use the tables it should, or that this is not confirmed.
	outOfSync             bool
	assignmentUnconfirmed bool // whether the assignments were carried out is not known
	withdrawalsRepeated   bool // the withdrawals before it joined are ordered again
}

// addProxy takes in that the update stream of a proxy is open.
func (b *Balancer) addProxy(joined fleet.ProxyJoined) {
	b.schedule.timerDueAt = b.now
	known := b.proxies.byID[joined.Proxy]
	if known != nil && !joined.Fresh {
		// It may have left unnoticed, so whether it still uses the assigned tables is unknown.
		known.assignmentUnconfirmed = true
		known.withdrawalsRepeated = false
		known.joinedAt = b.now
		return
	}
	b.removeProxy(joined.Proxy)
	classCount := len(b.classes)
	proxy := &proxyState{
		id:             joined.Proxy,
		partition:      b.layout.partitionFor(joined.Zone, int(joined.Proxy)),
		joinedAt:       b.now,
		expectedRate:   max(minExpectedRate, joined.RequestRate),
		demandSamples:  make([][]reportSample, classCount),
		assignedTables: slices.Repeat([]int{noTable}, classCount),
	}
	b.proxies.byID[proxy.id] = proxy
	b.proxies.all = append(b.proxies.all, proxy)
	slices.SortFunc(b.proxies.all, func(x, y *proxyState) int { return cmp.Compare(x.id, y.id) })
	b.proxies.inheritedTables = b.proxies.inheritedTables || !joined.Fresh
}

func (b *Balancer) removeProxy(id fleet.ProxyID) {
	delete(b.proxies.byID, id)
	b.proxies.all = slices.DeleteFunc(b.proxies.all, func(proxy *proxyState) bool { return proxy.id == id })
}

// updateProxies derives where proxies are, which tables they use and which of them are out of sync.
func (b *Balancer) updateProxies() {
	b.proxies.zoneHasProxies = make([]bool, len(b.site.Zones))
	b.proxies.outOfSync = 0
	b.proxies.expectedRate = epsilon
	b.proxies.reportedExpectedRate = epsilon
	for _, proxy := range b.proxies.all {
		b.proxies.zoneHasProxies[b.layout.zoneOf(proxy.partition)] = true
		b.proxies.expectedRate += proxy.expectedRate
		b.proxies.reportedExpectedRate += proxy.reportedExpectedRate
		b.countAssignedTables(proxy)
		proxy.outOfSync = b.isOutOfSync(proxy)
		if proxy.outOfSync {
			b.proxies.outOfSync++
			b.repeatWithdrawals(proxy)
		}
	}
}

// countAssignedTables counts a proxy once at each table that it uses.
func (b *Balancer) countAssignedTables(proxy *proxyState) {
	for class, table := range proxy.assignedTables {
		if table != noTable && !slices.Contains(proxy.assignedTables[:class], table) {
			b.tables[table].proxyCount++
		}
	}
}

func (b *Balancer) isOutOfSync(proxy *proxyState) bool {
	if proxy.assignmentUnconfirmed {
		return true
	}
	for class, table := range proxy.assignedTables {
		if table != b.tableFor(class, proxy.partition) {
			return true
		}
	}
	return false
}

// repeatWithdrawals orders withdrawals again that a waiting proxy may have missed, as they were sent shortly before
// it joined.
func (b *Balancer) repeatWithdrawals(proxy *proxyState) {
	if proxy.withdrawalsRepeated || b.now < proxy.joinedAt+b.site.DrainTimeout/repeatWithdrawalsDivisor {
		return
	}
	proxy.withdrawalsRepeated = true
	for _, server := range b.endpoints.all {
		age := proxy.joinedAt - server.withdrawalChangedAt
		if server.withdrawn && age >= 0 && age <= repeatedWithdrawalAge {
			server.withdrawalUnconfirmed = true
		}
	}
}

// assignProxies assigns proxies that are out of sync to their tables, the busiest first, as far as the update channel
// has capacity. It returns how many it assigned.
func (b *Balancer) assignProxies() int {
	if b.schedule.observing {
		return 0
	}
	b.updateAssignmentEntries()
	assigned := 0
	for _, proxy := range b.proxiesToAssign() {
		orders, entries := b.assignmentOrders(proxy)
		backlog := b.channel.backlog(&b.site)
		if backlog > 0 && backlog+entries > b.maxAssignmentBacklog(proxy) {
			continue
		}
		b.channel.entriesSent += entries
		b.orders = append(b.orders, orders...)
		proxy.assignmentUnconfirmed = false
		for class := range proxy.assignedTables {
			proxy.assignedTables[class] = b.tableFor(class, proxy.partition)
		}
		assigned++
	}
	return assigned
}

// updateAssignmentEntries counts what each table sends to a newly assigned proxy, the orders of this step included:
// its weights, and the withdrawals of servers in it.
func (b *Balancer) updateAssignmentEntries() {
	for t := range b.tables {
		for _, server := range b.endpoints.all {
			if server.orderedWeight[t] <= 0 {
				continue
			}
			b.tables[t].assignmentEntries++
			if server.withdrawn {
				b.tables[t].assignmentEntries++
			}
		}
	}
}

// proxiesToAssign returns the proxies that are out of sync, those with the highest expected rate first.
func (b *Balancer) proxiesToAssign() []*proxyState {
	inSync := func(proxy *proxyState) bool { return !proxy.outOfSync }
	waiting := slices.DeleteFunc(slices.Clone(b.proxies.all), inSync)
	slices.SortStableFunc(waiting, func(x, y *proxyState) int { return cmp.Compare(y.expectedRate, x.expectedRate) })
	return waiting
}

// assignmentOrders returns the orders that bring a proxy to its tables, and the entries that they cost.
func (b *Balancer) assignmentOrders(proxy *proxyState) ([]fleet.Order, float64) {
	var orders []fleet.Order
	entries := b.messageCost()
	for t := range b.tables {
		table := &b.tables[t]
		if !b.needsAssignment(proxy, t) {
			continue
		}
		orders = append(orders, fleet.AssignTable{Proxy: proxy.id, Table: fleet.TableID(t), Classes: table.classes})
		entries += 1 + table.assignmentEntries
	}
	return orders, entries
}

// needsAssignment reports whether a proxy should use a table for some class, but does not or may not.
func (b *Balancer) needsAssignment(proxy *proxyState, table int) bool {
	for class, assigned := range proxy.assignedTables {
		if b.tables[table].classes&classBit(class) == 0 {
			continue
		}
		if (assigned != table || proxy.assignmentUnconfirmed) && b.tableFor(class, proxy.partition) == table {
			return true
		}
	}
	return false
}

// maxAssignmentBacklog returns the backlog that an assignment may lead to. A proxy that has waited for a while may
// send to servers that drain, so it may use more.
func (b *Balancer) maxAssignmentBacklog(proxy *proxyState) float64 {
	fraction := usableBacklogFraction
	if b.now >= proxy.joinedAt+b.site.DrainTimeout/urgentAssignmentDivisor {
		fraction += urgentAssignmentBonus
	}
	return fraction * b.site.MaxBacklog
}
