package reconcile

import (
	"slices"

	"cressknot/internal/fleet"
)

// orderCosts is the cost of the orders of one step for each proxy, in entries.
type orderCosts map[*proxyState]int

// Apply applies the orders of one step to the desired state and queues one message to each proxy that they concern.
// Orders for proxies without a session and other kinds of orders are ignored.
func (r *Reconciler) Apply(now fleet.Time, orders []fleet.Order) {
	costs := orderCosts{}
	var barrier *fleet.Barrier
	for _, order := range orders {
		switch order := order.(type) {
		case fleet.SetWeight:
			r.applyWeight(now, order, costs)
		case fleet.ClearTable:
			r.applyClear(order, costs)
		case fleet.WithdrawServer:
			r.applyWithdrawal(order, costs)
		case fleet.AssignTable:
			if proxy := r.proxies[order.Proxy]; proxy != nil {
				costs[proxy] += r.applyAssignment(proxy, order)
			}
		case fleet.SetAdmission:
			r.applyAdmission(order, costs)
		case fleet.Barrier:
			barrier = &order
		}
	}
	for _, id := range r.tableIDs() {
		if r.versions.changedTables[id] {
			r.recordVersion(now, id, r.tables[id], "")
		}
	}
	clear(r.versions.changedTables)
	r.enqueueOrders(now, costs, barrier)
}

// enqueueOrders queues a message to each proxy with a cost, or to all proxies if the barrier requires it.
func (r *Reconciler) enqueueOrders(now fleet.Time, costs orderCosts, barrier *fleet.Barrier) {
	first := r.channel.lastSequence + 1
	for _, proxy := range r.proxyOrder {
		cost := costs[proxy]
		if cost == 0 && (barrier == nil || !barrier.AllProxies) {
			continue
		}
		if message := r.enqueue(now, proxy, cost, barrier); message.sequence >= first {
			message.barrierAfter = first
		}
	}
}

func (r *Reconciler) applyWeight(now fleet.Time, order fleet.SetWeight, costs orderCosts) {
	table := r.ensureTable(order.Table)
	i := r.serverIndex(order.Server)
	r.versions.changedTables[order.Table] = true
	before := table.weights[i]
	table.weights[i] = float64(order.Weight)
	r.rescale(order.Table, table, costs)
	// A decrease at a warming server is applied before other changes, which could overload it in the meantime.
	urgent := float64(order.Weight) < before && r.isWarmingUp(&r.endpoints.servers[i], now)
	r.eachProxyOn(order.Table, func(proxy *proxyState) {
		r.markDirty(proxy, itemKey{server: i}, urgent)
		costs[proxy]++
	})
}

// rescale chooses a new scale, and resends all entries, if the largest weight of a table is outside of the range from
// minLargestWeight to maxWeight.
func (r *Reconciler) rescale(id fleet.TableID, table *tableState, costs orderCosts) {
	largest := slices.Max(table.weights)
	scaled := largest * table.scale
	outOfRange := scaled < minLargestWeight || scaled > maxWeight
	if largest <= 0 || !outOfRange {
		return
	}
	table.scale = targetLargestWeight / largest
	r.eachProxyOn(id, func(proxy *proxyState) {
		for i, weight := range table.weights {
			if weight > 0 {
				r.markDirty(proxy, itemKey{server: int32(i)}, false)
				costs[proxy]++
			}
		}
	})
}

func (r *Reconciler) applyClear(order fleet.ClearTable, costs orderCosts) {
	table := r.ensureTable(order.Table)
	for i, weight := range table.weights {
		if weight > 0 {
			table.weights[i] = 0
			r.eachProxyOn(order.Table, func(proxy *proxyState) {
				r.markDirty(proxy, itemKey{server: int32(i)}, false)
			})
		}
	}
	r.versions.changedTables[order.Table] = true
	table.scale = 0
	table.admissions = make([]admissionOrder, r.classes())
	r.eachProxyOn(order.Table, func(proxy *proxyState) {
		costs[proxy]++
		for class := range proxy.tables {
			r.markDirty(proxy, itemKey{noServer, fleet.ClassID(class)}, false)
		}
	})
}

func (r *Reconciler) applyWithdrawal(order fleet.WithdrawServer, costs orderCosts) {
	i := r.serverIndex(order.Server)
	server := &r.endpoints.servers[i]
	server.withdrawn = order.Withdrawn
	server.withdrawalSet = true
	for _, proxy := range r.proxyOrder {
		r.markDirty(proxy, itemKey{server: i}, order.Withdrawn)
		costs[proxy]++
	}
}

// applyAssignment assigns a table to a proxy and returns the cost: the number of entries in the table or the number
// of differences, whichever is larger.
func (r *Reconciler) applyAssignment(proxy *proxyState, order fleet.AssignTable) int {
	differing := 0
	for class := range proxy.tables {
		if includesClass(order.Classes, class) {
			differing++
			proxy.tables[class] = order.Table
			proxy.assigned[class] = true
			r.markDirty(proxy, itemKey{noServer, fleet.ClassID(class)}, false)
		}
	}
	table := r.ensureTable(order.Table)
	size := 1
	for i := range r.endpoints.servers {
		server := &r.endpoints.servers[i]
		if r.needsUpdate(proxy, int32(i)) {
			differing++
			r.markDirty(proxy, itemKey{server: int32(i)}, server.withdrawn)
		}
		if table.weights[i] > 0 || server.withdrawn {
			size++
		}
	}
	return max(size, differing)
}

func (r *Reconciler) applyAdmission(order fleet.SetAdmission, costs orderCosts) {
	allTables := order.Table == fleet.AllTables
	admissions := r.defaultAdmission
	if !allTables {
		admissions = r.ensureTable(order.Table).admissions
	}
	for class := range admissions {
		if !includesClass(order.Classes, class) {
			continue
		}
		admissions[class] = admissionOrder{set: true, limit: float64(order.Limit), retry: order.Retry}
		for _, proxy := range r.proxyOrder {
			if allTables || proxy.assigned[class] && proxy.tables[class] == order.Table {
				r.markDirty(proxy, itemKey{noServer, fleet.ClassID(class)}, false)
			}
		}
	}
	for _, proxy := range r.proxyOrder {
		if allTables || slices.Contains(proxy.tables, order.Table) {
			costs[proxy]++
		}
	}
}

// includesClass reports whether a class is in a set. The zero set contains all classes.
func includesClass(set fleet.ClassSet, class int) bool { return set == 0 || set&(1<<class) != 0 }

// ensureTable returns the state of a table, which is created if it does not exist.
func (r *Reconciler) ensureTable(id fleet.TableID) *tableState {
	table := r.tables[id]
	if table == nil {
		table = &tableState{
			weights:    make([]float64, len(r.endpoints.servers)),
			admissions: make([]admissionOrder, r.classes()),
		}
		r.tables[id] = table
	}
	return table
}

// tableIDs returns the IDs of all tables in ascending order.
func (r *Reconciler) tableIDs() []fleet.TableID {
	ids := make([]fleet.TableID, 0, len(r.tables))
	for id := range r.tables {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
