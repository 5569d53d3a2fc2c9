package reconcile

import (
	"slices"

	"cressknot/internal/fleet"
)

// Retries of changes that failed for a reason that says nothing of the proxy's state, with exponential backoff.
const (
	initialRetryBackoff = fleet.Second
	maxRetryBackoff     = 32 * fleet.Second
)

// Progress reports that some answer came from a proxy: it may be slow, but it is not stuck.
func (r *Reconciler) Progress(now fleet.Time, id fleet.ProxyID) {
	if proxy := r.proxies[id]; proxy != nil {
		proxy.progressAt = now
	}
}

// Acknowledge reports that all answers to a message have come, and which of its changes were not applied.
func (r *Reconciler) Acknowledge(now fleet.Time, id fleet.ProxyID, sequence uint64, failures []Failure) {
	proxy := r.proxies[id]
	if proxy == nil {
		return
	}
	position := slices.IndexFunc(proxy.inFlight, func(message *queuedMessage) bool { return message.sequence == sequence })
	if position < 0 {
		return // of an earlier session
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
	if len(failures) == 0 && len(proxy.failed) == 0 {
		proxy.backoff = 0
	}
	r.markAcknowledged(now, message) // Next settles its barrier
	if len(proxy.inFlight) == 0 && r.safety != nil {
		r.safety.ProxyAcknowledged(now, r.newPlan(now, proxy))
	}
}

// resendPolicy says when a change that failed is sent again.
type resendPolicy uint8

const (
	resendNever resendPolicy = iota
	resendNow
	resendLater // with backoff
)

// handleFailure takes back what a failed change was assumed to do, and sends its item again: at once where the
// failure says what the proxy has, else with backoff.
func (r *Reconciler) handleFailure(now fleet.Time, proxy *proxyState, change Change, item itemKey, failure Failure) {
	switch r.revertChange(proxy, change, item, failure.Kind) {
	case resendNow:
		r.markDirtyNow(proxy, item)
	case resendLater:
		r.scheduleRetry(now, proxy, item, failure)
	}
}

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
		return resendNever // deleteGoneEntries retries
	}
	entry := proxy.sent[index]
	entry.Unknown = change.Kind != AddEntry
	entry.Present = change.Kind != AddEntry
	r.setSent(proxy, index, entry)
	return resendLater
}

func (r *Reconciler) scheduleRetry(now fleet.Time, proxy *proxyState, item itemKey, failure Failure) {
	if proxy.backoff == 0 {
		r.notify(Notice{Proxy: proxy.id, Text: "a change was not applied and will be retried with backoff: " + failure.Text})
	}
	if !slices.Contains(proxy.failed, item) {
		proxy.failed = append(proxy.failed, item)
	}
	if proxy.retryAt == 0 {
		proxy.backoff = min(maxRetryBackoff, max(initialRetryBackoff, 2*proxy.backoff))
		proxy.retryAt = now + proxy.backoff
	}
}

// retryFailed sends failed items again when their backoff is over.
func (r *Reconciler) retryFailed(now fleet.Time, proxy *proxyState) {
	if proxy.retryAt == 0 || now < proxy.retryAt {
		return
	}
	proxy.retryAt = 0
	for _, item := range proxy.failed {
		r.markDirtyNow(proxy, item)
	}
	proxy.failed = proxy.failed[:0]
}
