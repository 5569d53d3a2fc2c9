package reconcile

import (
	"cmp"
	"fmt"
	"slices"

	"cressknot/internal/fleet"
)

// Join starts the session of a proxy with the state that was read back from it. An earlier session of the proxy is
// ended first.
func (r *Reconciler) Join(now fleet.Time, id fleet.ProxyID, snapshot Snapshot) {
	r.Leave(id)
	proxy := r.newProxy(now, id, snapshot)
	r.proxies[id] = proxy
	position, _ := slices.BinarySearchFunc(r.proxyOrder, id, func(proxy *proxyState, id fleet.ProxyID) int {
		return cmp.Compare(proxy.id, id)
	})
	r.proxyOrder = slices.Insert(r.proxyOrder, position, proxy)
	// The proxy may have missed withdrawals while it was disconnected.
	for i := range r.endpoints.servers {
		server := &r.endpoints.servers[i]
		if server.withdrawalSet {
			r.markDirty(proxy, itemKey{server: int32(i)}, server.withdrawn)
		} else if r.needsUpdate(proxy, int32(i)) { // its state differs from the desired one
			r.markDirty(proxy, itemKey{server: int32(i)}, true)
		}
	}
	for class := range r.classes() {
		if r.defaultAdmission[class].set {
			r.markDirty(proxy, itemKey{noServer, fleet.ClassID(class)}, false)
		}
	}
	if r.safety != nil {
		r.safety.ProxyJoined(now, r.newPlan(now, proxy))
	}
	r.enqueue(now, proxy, len(proxy.dirty), nil)
	r.events = append(r.events, fleet.ProxyJoined{
		Proxy:       id,
		Zone:        snapshot.Zone,
		RequestRate: snapshot.RequestRate,
		Fresh:       snapshot.Fresh,
	})
}

func (r *Reconciler) newProxy(now fleet.Time, id fleet.ProxyID, snapshot Snapshot) *proxyState {
	classes := r.classes()
	proxy := &proxyState{
		id:            id,
		zone:          snapshot.Zone,
		fresh:         snapshot.Fresh,
		tables:        make([]fleet.TableID, classes),
		assigned:      make([]bool, classes),
		admissions:    make([]Admission, classes),
		versionStamps: make([]string, classes),
		entryCounts:   make([]int, classes),
		weightSums:    make([]int, classes),
		dirty:         map[itemKey]bool{},
		progressAt:    now,
		refused:       map[itemKey]string{},
	}
	copy(proxy.versionStamps, snapshot.VersionStamps)
	copy(proxy.admissions, snapshot.Admissions)
	for _, entry := range snapshot.Entries {
		r.serverIndex(entry.Server)
	}
	proxy.sent = make([]EntryState, len(r.endpoints.servers)*classes)
	for _, entry := range snapshot.Entries {
		if int(entry.Class) < classes {
			entry.State.Present = true
			r.setSent(proxy, r.entryIndex(r.endpoints.index[entry.Server], int(entry.Class)), entry.State)
		}
	}
	proxy.initial = slices.Clone(proxy.sent)
	r.verifyVersions(proxy, snapshot.Entries)
	return proxy
}

// Leave ends the session of a proxy and discards its messages, queued or in flight. A proxy without a session is
// ignored.
func (r *Reconciler) Leave(id fleet.ProxyID) {
	proxy := r.proxies[id]
	if proxy == nil {
		return
	}
	delete(r.proxies, id)
	r.proxyOrder = slices.DeleteFunc(r.proxyOrder, func(other *proxyState) bool { return other == proxy })
	r.discardMessages(proxy)
	for item := range proxy.refused {
		r.clearRefusal(proxy, item)
	}
	if r.safety != nil {
		r.safety.ProxyLeft(id)
	}
	r.events = append(r.events, fleet.ProxyLeft{Proxy: id})
	r.settleBarriers()
}

// disconnectStuck ends the sessions of proxies that made no progress within stuckTimeout.
func (r *Reconciler) disconnectStuck(now fleet.Time) {
	for _, proxy := range slices.Clone(r.proxyOrder) {
		if len(proxy.inFlight) > 0 && now >= proxy.progressAt+r.stuckTimeout() {
			r.disconnects = append(r.disconnects, proxy.id)
			text := fmt.Sprintf("no acknowledgement for %.1f s with %d messages in flight; closing its session",
				(now - proxy.progressAt).Seconds(), len(proxy.inFlight))
			r.notify(Notice{Proxy: proxy.id, Text: text})
			r.Leave(proxy.id)
		}
	}
}

// markDirty schedules an item of a proxy for sending. An item that is already scheduled is sent once; it becomes
// urgent if either call is urgent.
func (r *Reconciler) markDirty(proxy *proxyState, item itemKey, urgent bool) {
	wasUrgent, isDirty := proxy.dirty[item]
	if isDirty {
		r.counters.coalesced++
	}
	if isDirty && (wasUrgent || !urgent) {
		return
	}
	proxy.dirty[item] = urgent
	if urgent {
		proxy.urgentItems = append(proxy.urgentItems, item)
	} else {
		proxy.ordinaryItems = append(proxy.ordinaryItems, item)
	}
}

// markDirtyNow schedules an item as urgent and exempts it from the pacing of the update channel.
func (r *Reconciler) markDirtyNow(proxy *proxyState, item itemKey) {
	r.markDirty(proxy, item, true)
	proxy.entryBudget++
}

// setSent sets the sent state of an entry and updates the totals of its class.
func (r *Reconciler) setSent(proxy *proxyState, index int, entry EntryState) {
	class := index % r.classes()
	server := int32(index / r.classes())
	if old := proxy.sent[index]; r.isReady(server) {
		proxy.weightSums[class] += entry.usableWeight() - old.usableWeight()
		if old.Usable() {
			proxy.entryCounts[class]--
		}
		if entry.Usable() {
			proxy.entryCounts[class]++
		}
	}
	proxy.sent[index] = entry
}

// eachProxyOn calls fn once for each proxy that has the table assigned to any class.
func (r *Reconciler) eachProxyOn(table fleet.TableID, fn func(*proxyState)) {
	for _, proxy := range r.proxyOrder {
		for class, assigned := range proxy.tables {
			if proxy.assigned[class] && assigned == table {
				fn(proxy)
				break
			}
		}
	}
}
