package reconcile

import (
	"cmp"
	"slices"

	"cressknot/internal/fleet"
)

// endpointSet holds all servers that have ever occurred in an endpoint list, an order or a proxy's snapshot. The
// index of a server never changes.
type endpointSet struct {
	index        map[fleet.ServerID]int32
	servers      []trackedServer
	warming      []int32 // servers that may be warming up
	listReceived bool
}

type trackedServer struct {
	id            fleet.ServerID
	listed        bool
	state         fleet.ServerState
	startedAt     fleet.Time
	goneSince     fleet.Time // 0: not gone; deleteGoneEntries moves it to schedule a retry
	withdrawn     bool
	withdrawalSet bool    // a WithdrawServer order was received, whatever its value
	reduction     float64 // fraction by which its weights in all tables are reduced
}

// serverIndex returns the index of a server, which is added if it is unknown.
func (r *Reconciler) serverIndex(id fleet.ServerID) int32 {
	if i, known := r.endpoints.index[id]; known {
		return i
	}
	i := int32(len(r.endpoints.servers))
	r.endpoints.index[id] = i
	r.endpoints.servers = append(r.endpoints.servers, trackedServer{id: id})
	for _, table := range r.tables {
		table.weights = append(table.weights, 0)
	}
	for _, proxy := range r.proxyOrder {
		proxy.sent = append(proxy.sent, make([]EntryState, r.classes())...)
		proxy.initial = append(proxy.initial, make([]EntryState, r.classes())...)
	}
	return i
}

// SetEndpoints applies an endpoint list. With fleet.ListDelta it changes only the listed servers; otherwise servers
// that are not listed are gone. A list with fleet.ListFailed is ignored.
func (r *Reconciler) SetEndpoints(now fleet.Time, list fleet.EndpointList) {
	if list.Scope == fleet.ListFailed {
		return
	}
	if !r.endpoints.listReceived { // from the first list on, unlisted servers are not ready
		for i := range r.endpoints.servers {
			r.adjustTotals(int32(i), -1)
		}
		r.endpoints.listReceived = true
	}
	listed := map[int32]bool{}
	startChanged := false
	for _, endpoint := range list.Endpoints {
		i := r.serverIndex(endpoint.Server)
		listed[i] = true
		if r.endpoints.servers[i].startedAt != endpoint.Started {
			startChanged = true
		}
		r.setEndpoint(now, i, endpoint)
	}
	if list.Scope != fleet.ListDelta {
		r.removeUnlisted(now, listed)
	}
	if startChanged && r.safety != nil { // proxies may have entries of servers that have just begun to warm up
		for _, proxy := range r.proxyOrder {
			r.safety.ProxyAcknowledged(now, r.newPlan(now, proxy))
		}
	}
}

func (r *Reconciler) setEndpoint(now fleet.Time, i int32, endpoint fleet.Endpoint) {
	server := &r.endpoints.servers[i]
	withdrawalChanged := server.state != endpoint.State && server.withdrawn
	wasReady := r.isReady(i)
	server.state = endpoint.State
	server.startedAt = endpoint.Started
	server.listed = true
	if ready := r.isReady(i); ready && !wasReady {
		r.adjustTotals(i, 1)
	} else if wasReady && !ready {
		r.adjustTotals(i, -1)
	}
	if r.isWarmingUp(server, now) && !slices.Contains(r.endpoints.warming, i) {
		r.endpoints.warming = append(r.endpoints.warming, i)
	}
	if endpoint.State == fleet.ServerGone {
		server.goneSince = cmp.Or(server.goneSince, now)
	} else {
		server.goneSince = 0
	}
	if withdrawalChanged {
		for _, proxy := range r.proxyOrder {
			r.markDirtyNow(proxy, itemKey{server: i})
		}
	}
}

func (r *Reconciler) removeUnlisted(now fleet.Time, listed map[int32]bool) {
	for i := range r.endpoints.servers {
		server := &r.endpoints.servers[i]
		if listed[int32(i)] || server.state == fleet.ServerGone {
			continue
		}
		if r.isReady(int32(i)) {
			r.adjustTotals(int32(i), -1)
		}
		server.state = fleet.ServerGone
		server.goneSince = now
	}
}

// AddressChanged marks the entries of a server at all proxies as having an outdated address, and sends the new one.
func (r *Reconciler) AddressChanged(id fleet.ServerID) {
	i := r.serverIndex(id)
	for _, proxy := range r.proxyOrder {
		for class := range r.classes() {
			entry := &proxy.sent[r.entryIndex(i, class)]
			if entry.Present {
				entry.WrongAddress = true
				r.markDirtyNow(proxy, itemKey{server: i})
			}
		}
	}
}

// isReady reports whether a server is listed as ready. Before the first endpoint list all servers count as ready.
func (r *Reconciler) isReady(i int32) bool {
	server := &r.endpoints.servers[i]
	return server.state == fleet.ServerReady && (server.listed || !r.endpoints.listReceived)
}

func (r *Reconciler) isWarmingUp(server *trackedServer, now fleet.Time) bool {
	return server.startedAt > 0 && now < server.startedAt+r.site.SlowStart.Duration
}

// warmingServers returns the servers that are warming up, and stops tracking those that have finished.
func (r *Reconciler) warmingServers(now fleet.Time) []int32 {
	r.endpoints.warming = slices.DeleteFunc(r.endpoints.warming, func(i int32) bool {
		return !r.isWarmingUp(&r.endpoints.servers[i], now)
	})
	return r.endpoints.warming
}

// adjustTotals adds (sign 1) or subtracts (sign -1) a server's usable entries in the totals of all proxies.
func (r *Reconciler) adjustTotals(i int32, sign int) {
	for _, proxy := range r.proxyOrder {
		for class := range r.classes() {
			if entry := proxy.sent[r.entryIndex(i, class)]; entry.Usable() {
				proxy.weightSums[class] += sign * int(entry.Weight)
				proxy.entryCounts[class] += sign
			}
		}
	}
}

// deleteGoneEntries deletes the entries of withdrawn servers that have been gone for goneEntryRetention.
func (r *Reconciler) deleteGoneEntries(now fleet.Time) {
	for i := range r.endpoints.servers {
		server := &r.endpoints.servers[i]
		if server.goneSince == 0 || !server.withdrawn || now < server.goneSince+goneEntryRetention {
			continue
		}
		server.goneSince = now - goneEntryRetention/2 // entries that are still in use are retried after half the retention
		for _, proxy := range r.proxyOrder {
			r.deleteEntries(now, proxy, int32(i))
		}
	}
}

// deleteEntries releases a message that deletes the entries in maintenance of a server. It bypasses the update
// channel.
func (r *Reconciler) deleteEntries(now fleet.Time, proxy *proxyState, i int32) {
	message := &queuedMessage{proxy: proxy, queuedAt: now, sentAt: now, acknowledged: true}
	for class := range r.classes() {
		index := r.entryIndex(i, class)
		entry := proxy.sent[index]
		if !entry.Present || entry.State != StateMaintenance || entry.Unknown {
			continue
		}
		message.changes = append(message.changes, Change{
			Kind:   DeleteEntry,
			Class:  fleet.ClassID(class),
			Server: r.endpoints.servers[i].id,
			Weight: entry.Weight,
		})
		message.items = append(message.items, itemKey{server: i})
		r.setSent(proxy, index, EntryState{})
		proxy.initial[index] = EntryState{}
	}
	if len(message.changes) > 0 {
		proxy.released = append(proxy.released, message)
	}
}
