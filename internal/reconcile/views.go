package reconcile

import (
	"cmp"
	"slices"

	"cressknot/internal/fleet"
)

// ProxyView is the state of a proxy as shown to operators.
type ProxyView struct {
	ID               fleet.ProxyID
	Zone             fleet.ZoneID
	Tables           []fleet.TableID // by class
	Assigned         []bool          // by class
	Fresh            bool            // it had only its standing tables at the join
	Waiting          int             // items that are not sent yet
	InFlight         int             // messages that were sent and not acknowledged
	Written          int             // messages sent since the join
	AcknowledgeDelay fleet.Time      // of the last acknowledged message
	Entries          int             // ready entries with a positive weight
}

// Proxies returns the state of all proxies with a session, sorted by ID.
func (r *Reconciler) Proxies() []ProxyView {
	var views []ProxyView
	for _, proxy := range r.proxyOrder {
		view := ProxyView{
			ID:               proxy.id,
			Zone:             proxy.zone,
			Tables:           slices.Clone(proxy.tables),
			Assigned:         slices.Clone(proxy.assigned),
			Fresh:            proxy.fresh,
			Waiting:          len(proxy.dirty),
			InFlight:         len(proxy.inFlight),
			Written:          proxy.written,
			AcknowledgeDelay: proxy.acknowledgeDelay,
		}
		for _, entry := range proxy.sent {
			if entry.Present && entry.Weight > 0 && entry.State == StateReady {
				view.Entries++
			}
		}
		views = append(views, view)
	}
	return views
}

// TableEntry is one entry of a table as shown to operators.
type TableEntry struct {
	Table     fleet.TableID
	Server    fleet.ServerID
	Weight    float64 // as ordered by the balancer
	Published int16   // the weight sent to proxies, 0 to 256
	Withdrawn bool
}

// Entries returns the entries of all tables with a positive ordered or published weight, sorted by table and server.
func (r *Reconciler) Entries() []TableEntry {
	var entries []TableEntry
	for id, table := range r.tables {
		for i, weight := range table.weights {
			published := r.publishedWeight(id, table, int32(i))
			if weight <= 0 && published <= 0 {
				continue
			}
			server := &r.endpoints.servers[i]
			entries = append(entries, TableEntry{
				Table:     id,
				Server:    server.id,
				Weight:    weight,
				Published: published,
				Withdrawn: server.withdrawn,
			})
		}
	}
	slices.SortFunc(entries, func(a, b TableEntry) int {
		return cmp.Or(cmp.Compare(a.Table, b.Table), cmp.Compare(a.Server, b.Server))
	})
	return entries
}

// TableIDs returns the IDs of all tables in ascending order.
func (r *Reconciler) TableIDs() []fleet.TableID { return r.tableIDs() }

// TableOf returns the table that a proxy has for a class, and whether one was assigned. It returns 0 and false for a
// proxy without a session.
func (r *Reconciler) TableOf(id fleet.ProxyID, class fleet.ClassID) (table fleet.TableID, assigned bool) {
	proxy := r.proxies[id]
	if proxy == nil || int(class) >= len(proxy.tables) {
		return 0, false
	}
	return proxy.tables[class], proxy.assigned[class]
}

// ForEachAssignment calls fn for each proxy and class that a table is assigned to.
func (r *Reconciler) ForEachAssignment(table fleet.TableID, fn func(fleet.ProxyID, fleet.ClassID)) {
	for _, proxy := range r.proxyOrder {
		for class, assigned := range proxy.tables {
			if proxy.assigned[class] && assigned == table {
				fn(proxy.id, fleet.ClassID(class))
			}
		}
	}
}

// PublishedWeight returns the weight, 0 to 256, of a server that is sent to proxies with the table. It is 0 for an
// unknown table or server.
func (r *Reconciler) PublishedWeight(table fleet.TableID, id fleet.ServerID) int16 {
	state := r.tables[table]
	i, known := r.endpoints.index[id]
	if state == nil || !known {
		return 0
	}
	return r.publishedWeight(table, state, i)
}

// Withdrawn reports whether a server is withdrawn from all proxies by an order. It is false for an unknown server.
func (r *Reconciler) Withdrawn(id fleet.ServerID) bool {
	i, known := r.endpoints.index[id]
	return known && r.endpoints.servers[i].withdrawn
}

// Counters returns totals since the start: entries as the update channel counts them, messages and changes that were
// sent, and changes that were merged into a pending one of the same item.
func (r *Reconciler) Counters() (entries, messages, changes, coalesced uint64) {
	return r.counters.entries, r.counters.messages, r.counters.changes, r.counters.coalesced
}
