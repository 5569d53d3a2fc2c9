package balancer

import (
	"cmp"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// noTable is the assignment of a proxy that this balancer has not assigned to a table yet.
	noTable = -1
	// minExpectedRate replaces an expected rate of zero, which would exclude the proxy from all sums.
	minExpectedRate = 1e-9
	// repeatWithdrawalsDivisor divides the drain timeout to give the time after which a proxy that is out of sync causes
	// earlier withdrawals to be sent again.
	repeatWithdrawalsDivisor = 4
	// repeatedWithdrawalAge is the maximum age of a repeated withdrawal at the time when the proxy joined.
	repeatedWithdrawalAge = 3 * balanceInterval
	// urgentAssignmentDivisor divides the drain timeout to give the time after which an assignment becomes urgent.
	urgentAssignmentDivisor = 8
	// urgentAssignmentBonus is the additional fraction of the maximum backlog that an urgent assignment may use.
	urgentAssignmentBonus = 0.35
)

// proxyRegistry is the state of the proxies that are joined to the controller.
type proxyRegistry struct {
	byID           map[fleet.ProxyID]*proxyState
	all            []*proxyState // by ID
	zoneHasProxies []bool        // by zone
	outOfSync      float64       // number of proxies that are out of sync
	// expectedRate is the sum of the expected requests per second; reportedExpectedRate includes only proxies that have
	// sent demand reports.
	expectedRate         float64
	reportedExpectedRate float64
	// inheritedTables is set once a proxy has joined with tables of another controller or of an earlier run of this one.
	inheritedTables bool
}

// proxyState is the state of a joined proxy: its demand and its assignments.
type proxyState struct {
	id        fleet.ProxyID
	partition int // the proxy uses the tables of this partition
	joinedAt  fleet.Time
	fresh     bool // it joined with standing tables: no controller has assigned it any
	// expectedRate is the number of requests per second announced when the proxy joined; reportedExpectedRate is the
	// same after the first demand report and 0 before.
	expectedRate         float64
	reportedExpectedRate float64
	demandSamples        [][]reportSample // by class
	assignedTables       []int            // by class; noTable: not assigned by this balancer yet
	// outOfSync is set if the proxy does not use the tables it should, or if its assignments are unconfirmed.
	outOfSync             bool
	assignmentUnconfirmed bool // the assignments may not have been carried out
	withdrawalsRepeated   bool // the withdrawals shortly before it joined were marked to be sent again
}

// hasUnknownTables reports whether the proxy may use tables that this balancer has not assigned.
func (p *proxyState) hasUnknownTables() bool {
	return p.assignmentUnconfirmed || slices.Contains(p.assignedTables, noTable)
}

// addProxy registers a proxy whose update stream has opened.
func (b *Balancer) addProxy(joined fleet.ProxyJoined) {
	b.schedule.timerDueAt = b.now
	known := b.proxies.byID[joined.Proxy]
	if known != nil && !joined.Fresh {
		// The proxy may have left without an event, so it is unknown whether it still uses the assigned tables.
		known.assignmentUnconfirmed = true
		known.fresh = false
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
		fresh:          joined.Fresh,
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

// updateProxies computes the zones with proxies, the number of proxies per table and which proxies are out of sync.
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

// countAssignedTables adds a proxy to the proxy count of each table that it uses.
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

// repeatWithdrawals marks the withdrawals that were sent shortly before a proxy joined to be sent again, as the proxy
// may have missed them.
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

// assignProxies assigns proxies that are out of sync to their tables, those with the highest expected rate first, as
// far as the update channel has capacity. It returns the number of assigned proxies.
func (b *Balancer) assignProxies() int {
	waiting := b.proxiesToAssign()
	if len(waiting) == 0 {
		return 0
	}
	b.updateAssignmentEntries()
	assigned := 0
	for _, proxy := range waiting {
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

// updateAssignmentEntries counts, for each table, the entries that a newly assigned proxy is sent: one for each server
// with a positive weight in the table, and one more if the server is withdrawn, including weights and withdrawals
// ordered in this step.
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

// proxiesToAssign returns the proxies that are out of sync, those with the highest expected rate first. During the
// initial observation these are only the proxies that may overload servers in slow start with their present tables.
func (b *Balancer) proxiesToAssign() []*proxyState {
	mayWait := func(proxy *proxyState) bool {
		return !proxy.outOfSync || b.schedule.observing && !b.mayOverloadWarming(proxy)
	}
	waiting := slices.DeleteFunc(slices.Clone(b.proxies.all), mayWait)
	slices.SortStableFunc(waiting, func(x, y *proxyState) int { return cmp.Compare(y.expectedRate, x.expectedRate) })
	return waiting
}

// assignmentOrders returns the orders that assign a proxy to its tables, and their cost in entries.
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

// needsAssignment reports whether a proxy should use a table for some class, but does not, or its assignment is
// unconfirmed.
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

// maxAssignmentBacklog returns the backlog up to which a proxy may be assigned. The limit is higher for a proxy that
// has waited for a while, as it may be sending to draining servers.
func (b *Balancer) maxAssignmentBacklog(proxy *proxyState) float64 {
	fraction := usableBacklogFraction
	if b.now >= proxy.joinedAt+b.site.DrainTimeout/urgentAssignmentDivisor {
		fraction += urgentAssignmentBonus
	}
	return fraction * b.site.MaxBacklog
}
