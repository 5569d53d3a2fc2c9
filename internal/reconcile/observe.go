package reconcile

import (
	"fmt"
	"math"

	"cressknot/internal/fleet"
)

// ObservedEntry is an entry as reported by a poll of a proxy.
type ObservedEntry struct {
	Class  fleet.ClassID
	Server fleet.ServerID
	Weight int16 // valid only in StateReady
	State  State
}

// ObserveEntries compares the result of a poll with the state that was sent to the proxy. Entries that differ were
// changed by other means or lost: operators are notified and the differences are sent. Polls without entries, and
// polls while messages are in flight, are ignored.
func (r *Reconciler) ObserveEntries(now fleet.Time, id fleet.ProxyID, entries []ObservedEntry) {
	proxy := r.proxies[id]
	if proxy == nil || len(proxy.inFlight) > 0 || len(entries) == 0 {
		return
	}
	if len(proxy.lastObserved) < len(proxy.sent) {
		proxy.lastObserved = make([]uint32, len(proxy.sent))
	}
	proxy.observationRound++
	differing := r.compareObserved(proxy, entries) + r.removeUnobserved(proxy)
	if differing > 0 {
		text := fmt.Sprintf(
			"%d entries differ from what was sent (changed outside of the controller, or lost); sending corrections",
			differing)
		r.notify(Notice{Proxy: id, Text: text})
		clear(proxy.versionStamps)
	}
	if proxy.observationRound == math.MaxUint32 {
		proxy.observationRound = 0
		proxy.lastObserved = nil
	}
}

// compareObserved corrects the sent state of entries that a poll reports differently, and returns their number.
func (r *Reconciler) compareObserved(proxy *proxyState, entries []ObservedEntry) (differing int) {
	for _, observed := range entries {
		i, known := r.endpoints.index[observed.Server]
		if !known || int(observed.Class) >= r.classes() {
			continue
		}
		index := r.entryIndex(i, int(observed.Class))
		if index >= len(proxy.lastObserved) {
			continue
		}
		proxy.lastObserved[index] = proxy.observationRound
		sent := proxy.sent[index]
		if sent.Unknown || observed.matches(sent) {
			continue
		}
		entry := EntryState{
			Present:      true,
			Weight:       observed.Weight,
			State:        observed.State,
			WrongAddress: sent.WrongAddress,
		}
		if observed.State != StateReady {
			entry.Weight = sent.Weight
		}
		r.correctEntry(proxy, index, entry)
		differing++
	}
	return differing
}

// matches reports whether an observed entry equals what was sent. The weight is compared only in StateReady.
func (o ObservedEntry) matches(sent EntryState) bool {
	return sent.Present && sent.State == o.State && (o.State != StateReady || sent.Weight == o.Weight)
}

// removeUnobserved treats entries that the latest poll did not report as missing, and returns their number.
func (r *Reconciler) removeUnobserved(proxy *proxyState) (missing int) {
	for index, sent := range proxy.sent {
		if sent.Present && !sent.Unknown && proxy.lastObserved[index] != proxy.observationRound {
			r.correctEntry(proxy, index, EntryState{})
			missing++
		}
	}
	return missing
}

// correctEntry records the actual state of an entry at a proxy and schedules the desired one.
func (r *Reconciler) correctEntry(proxy *proxyState, index int, entry EntryState) {
	r.setSent(proxy, index, entry)
	r.markDirtyNow(proxy, itemKey{server: int32(index / r.classes())})
}
