package reconcile

import (
	"slices"

	"cressknot/internal/fleet"
)

// writeMessage builds the next message to a proxy from all urgent items and the ordinary ones within entryBudget. It
// returns false if no change is left.
func (r *Reconciler) writeMessage(now fleet.Time, proxy *proxyState) (Message, bool) {
	message := &queuedMessage{proxy: proxy, queuedAt: now, sentAt: now, acknowledged: true}
	if len(proxy.released) > 0 {
		message = proxy.released[0]
		proxy.released = slices.Delete(proxy.released, 0, 1)
	}
	plan := r.newPlan(now, proxy)
	r.proposeDirty(now, proxy, plan)
	if r.safety != nil && len(plan.Proposals) > 0 {
		r.safety.CheckPlan(now, plan)
	}
	Arrange(plan)
	r.commitPlan(now, proxy, message, plan)
	if len(message.changes) > 0 || message.sequence > 0 {
		r.appendVersionStamps(proxy, message)
	}
	if len(message.changes) == 0 {
		r.markAcknowledged(now, message)
		return Message{}, false
	}
	r.recordSent(now, proxy, message)
	return Message{
		Proxy:    proxy.id,
		Sequence: message.sequence,
		Entries:  message.entries,
		Changes:  message.changes,
	}, true
}

// proposeDirty moves the urgent items, and the ordinary ones within entryBudget, from the dirty items to a plan.
func (r *Reconciler) proposeDirty(now fleet.Time, proxy *proxyState, plan *UpdatePlan) {
	proxy.urgentItems = r.proposeItems(now, proxy, plan, proxy.urgentItems, true, len(proxy.urgentItems))
	proxy.ordinaryItems = r.proposeItems(now, proxy, plan, proxy.ordinaryItems, false, proxy.entryBudget)
	proxy.entryBudget = max(0, proxy.entryBudget)
	if len(proxy.dirty) == 0 {
		proxy.entryBudget = 0
		proxy.urgentItems = proxy.urgentItems[:0]
		proxy.ordinaryItems = proxy.ordinaryItems[:0]
	}
}

// proposeItems proposes up to limit items from the front of a list and returns the rest. Items that are no longer
// dirty, or whose urgency has changed since they were listed, are skipped.
func (r *Reconciler) proposeItems(
	now fleet.Time, proxy *proxyState, plan *UpdatePlan, items []itemKey, urgent bool, limit int,
) []itemKey {
	taken := 0
	for ; taken < len(items) && limit > 0; taken++ {
		item := items[taken]
		if isUrgent, isDirty := proxy.dirty[item]; !isDirty || isUrgent != urgent {
			continue
		}
		delete(proxy.dirty, item)
		r.propose(now, plan, proxy, item, urgent)
		limit--
		proxy.entryBudget--
	}
	return slices.Delete(items, 0, taken)
}

// recordSent records that a message is sent, and gives it a sequence if it bypassed the update channel.
func (r *Reconciler) recordSent(now fleet.Time, proxy *proxyState, message *queuedMessage) {
	if message.sequence == 0 {
		r.channel.lastSequence++
		message.sequence = r.channel.lastSequence
	}
	if len(proxy.inFlight) == 0 {
		proxy.progressAt = now
	}
	proxy.inFlight = append(proxy.inFlight, message)
	proxy.written++
	if r.site.MaxMessages > 0 {
		proxy.writtenAt = append(proxy.writtenAt, now)
	}
	r.counters.messages++
	r.counters.entries += uint64(message.entries)
	r.counters.changes += uint64(len(message.changes))
}
