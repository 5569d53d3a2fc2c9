package reconcile

import (
	"cmp"
	"slices"

	"cressknot/internal/fleet"
)

// ProxyView is what operators see of a proxy.
type ProxyView struct {
	ID          fleet.ProxyID
	Zone        fleet.ZoneID
	Tables      []fleet.TableID // by class
	Assigned    []bool          // by class
	Fresh       bool            // it had only its standing tables when it joined
	Waiting     int             // changes that are not written yet
	InFlight    int             // messages that are not acknowledged
	Written     int             // messages since it joined
	AnswerDelay fleet.Time      // of the last acknowledged message
	Entries     int             // ready entries with weight
}

// Proxies returns what operators see of all proxies, by id.
func (r *Reconciler) Proxies() []ProxyView {
	var views []ProxyView
	for _, proxy := range r.proxyOrder {
		view := ProxyView{
			ID:          proxy.id,
			Zone:        proxy.zone,
			Tables:      slices.Clone(proxy.tables),
			Assigned:    slices.Clone(proxy.assigned),
			Fresh:       proxy.fresh,
			Waiting:     len(proxy.dirty),
			InFlight:    len(proxy.inFlight),
			Written:     proxy.written,
			AnswerDelay: proxy.acknowledgeDelay,
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

// TableEntry is one entry of a table, as operators see it.
type TableEntry struct {
	Table     fleet.TableID
	Server    fleet.ServerID
	Weight    float64 // as ordered by the balancer
	Published int16   // as sent to proxies
	Withdrawn bool
}

// Entries returns the entries of all tables, by table and server.
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

// TableIDs returns the ids of all tables in ascending order.
func (r *Reconciler) TableIDs() []fleet.TableID { return r.tableIDs() }

// TableOf returns the table of a proxy's class, and whether one was assigned.
func (r *Reconciler) TableOf(id fleet.ProxyID, class fleet.ClassID) (table fleet.TableID, assigned bool) {
	proxy := r.proxies[id]
	if proxy == nil || int(class) >= len(proxy.tables) {
		return 0, false
	}
	return proxy.tables[class], proxy.assigned[class]
}

// EachAssignment calls each proxy and class that a table is assigned to.
func (r *Reconciler) EachAssignment(table fleet.TableID, fn func(fleet.ProxyID, fleet.ClassID)) {
	for _, proxy := range r.proxyOrder {
		for class, assigned := range proxy.tables {
			if proxy.assigned[class] && assigned == table {
				fn(proxy.id, fleet.ClassID(class))
			}
		}
	}
}

// Published returns the weight that proxies with a table are sent for a server.
func (r *Reconciler) Published(table fleet.TableID, id fleet.ServerID) int16 {
	state := r.tables[table]
	i, known := r.endpoints.index[id]
	if state == nil || !known {
		return 0
	}
	return r.publishedWeight(table, state, i)
}

// Withdrawn reports whether a server is withdrawn.
func (r *Reconciler) Withdrawn(id fleet.ServerID) bool {
	i, known := r.endpoints.index[id]
	return known && r.endpoints.servers[i].withdrawn
}

// Counters returns totals of what left: entries as the update channel counts them, messages, changes, and changes
// that a newer one replaced while they waited.
func (r *Reconciler) Counters() (entries, messages, changes, coalesced uint64) {
	return r.counters.entries, r.counters.messages, r.counters.changes, r.counters.coalesced
}
