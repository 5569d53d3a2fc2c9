package reconcile

import (
	"fmt"
	"math"

	"cressknot/internal/fleet"
)

// ObservedEntry is an entry as a poll of a proxy shows it.
type ObservedEntry struct {
	Class  fleet.ClassID
	Server fleet.ServerID
	Weight int16 // of a ready entry
	State  State
}

// ObserveEntries compares what a poll shows with what the proxy was sent. What differs was changed by hand or lost:
// operators are notified, and only the difference is sent. Nothing is compared while messages are in flight.
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

// compareObserved takes over what a poll shows and returns how many entries differ.
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

// matches reports whether an observed entry is what was sent. The weight is known of ready entries only.
func (o ObservedEntry) matches(sent EntryState) bool {
	return sent.Present && sent.State == o.State && (o.State != StateReady || sent.Weight == o.Weight)
}

// removeUnobserved takes as missing what the latest poll did not show, and returns how many entries that were.
func (r *Reconciler) removeUnobserved(proxy *proxyState) (missing int) {
	for index, sent := range proxy.sent {
		if sent.Present && !sent.Unknown && proxy.lastObserved[index] != proxy.observationRound {
			r.correctEntry(proxy, index, EntryState{})
			missing++
		}
	}
	return missing
}

// correctEntry notes what a proxy really has of an entry and sends what is desired.
func (r *Reconciler) correctEntry(proxy *proxyState, index int, entry EntryState) {
	r.setSent(proxy, index, entry)
	r.markDirtyNow(proxy, itemKey{server: int32(index / r.classes())})
}
