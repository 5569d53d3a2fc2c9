package reconcile

import (
	"slices"

	"cressknot/internal/fleet"
)

// RecordProgress records that a proxy has answered something, which restarts its stuck timeout. Unknown proxies are
// ignored.
func (r *Reconciler) RecordProgress(now fleet.Time, id fleet.ProxyID) {
	if proxy := r.proxies[id]; proxy != nil {
		proxy.progressAt = now
	}
}

// RecordAcknowledgement records that a proxy has answered a message completely. failures lists the changes that were
// not applied; they are retried. A sequence that is not in flight is ignored.
func (r *Reconciler) RecordAcknowledgement(now fleet.Time, id fleet.ProxyID, sequence uint64, failures []Failure) {
	proxy := r.proxies[id]
	if proxy == nil {
		return
	}
	position := slices.IndexFunc(proxy.inFlight, func(message *queuedMessage) bool { return message.sequence == sequence })
	if position < 0 {
		return // the message belongs to an earlier session
	}
	message := proxy.inFlight[position]
	proxy.inFlight = slices.Delete(proxy.inFlight, position, position+1)
	proxy.progressAt = now
	proxy.acknowledgeDelay = now - message.sentAt
	for _, failure := range failures {
		if failure.Index >= 0 && failure.Index < len(message.changes) {
			r.handleFailure(now, proxy, message.changes[failure.Index], message.items[failure.Index], failure)
		}
	}
	if len(failures) == 0 && proxy.failed.empty() {
		proxy.failed.backoff = 0
	}
	r.markAcknowledged(now, message) // its barrier is reported by Next
	if len(proxy.inFlight) == 0 && r.safety != nil {
		r.safety.ProxyAcknowledged(now, r.newPlan(now, proxy))
	}
}

// resendPolicy says when a failed change is resent.
type resendPolicy uint8

const (
	resendNever resendPolicy = iota
	resendNow
	resendLater // with backoff
)

// handleFailure reverts the assumed effect of a failed change and schedules its item: immediately where the failure
// tells the state of the proxy's entry, otherwise with backoff.
func (r *Reconciler) handleFailure(now fleet.Time, proxy *proxyState, change Change, item itemKey, failure Failure) {
	switch r.revertChange(proxy, change, item, failure.Kind) {
	case resendNow:
		r.markDirtyNow(proxy, item)
	case resendLater:
		r.scheduleRetry(now, proxy, item, failure)
	}
}

// revertChange sets the assumed state of a proxy to what the failure implies. Where the failure implies nothing, the
// state becomes unknown.
func (r *Reconciler) revertChange(
	proxy *proxyState, change Change, item itemKey, kind FailureKind,
) resendPolicy {
	switch change.Kind {
	case UpdateAdmission:
		proxy.admissions[change.Class] = Admission{}
		return resendLater
	case UpdateVersion:
		proxy.versionStamps[change.Class] = ""
		return resendLater
	}
	index := r.entryIndex(item.server, int(change.Class))
	switch kind {
	case FailureEntryMissing:
		r.setSent(proxy, index, EntryState{})
		proxy.initial[index] = EntryState{}
		switch change.Kind {
		case DeleteEntry:
			return resendNever
		case UpdateEntry:
			return resendNow
		}
		return resendLater
	case FailureEntryExists:
		r.setSent(proxy, index, EntryState{Present: true, Unknown: true})
		return resendNow
	case FailureEntryInUse:
		r.setSent(proxy, index, EntryState{Present: true, Weight: change.Weight, State: StateMaintenance})
		return resendNever // deleteGoneEntries retries it
	}
	entry := proxy.sent[index]
	entry.Unknown = change.Kind != AddEntry
	entry.Present = change.Kind != AddEntry
	r.setSent(proxy, index, entry)
	return resendLater
}
