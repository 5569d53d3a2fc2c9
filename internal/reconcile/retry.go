package reconcile

import (
	"slices"

	"cressknot/internal/balancer"
	"cressknot/internal/fleet"
)

// Bounds of the exponential backoff after a failure that does not tell the state of the proxy's entry.
const (
	initialRetryBackoff = fleet.Second
	maxRetryBackoff     = 32 * fleet.Second
)

// retryQueue holds items to be resent at one time. The zero value is empty.
type retryQueue struct {
	items []itemKey
	dueAt fleet.Time // 0: the queue is empty
}

// add adds an item unless it is queued already. It is resent with the others if some are queued, otherwise at dueAt.
func (q *retryQueue) add(item itemKey, dueAt fleet.Time) {
	if !slices.Contains(q.items, item) {
		q.items = append(q.items, item)
	}
	if q.dueAt == 0 {
		q.dueAt = dueAt
	}
}

// takeDue returns the items if they are due, and empties the queue. The result is valid until the next call of add.
func (q *retryQueue) takeDue(now fleet.Time) []itemKey {
	if q.dueAt == 0 || now < q.dueAt {
		return nil
	}
	due := q.items
	q.items = q.items[:0]
	q.dueAt = 0
	return due
}

// failedItems are the items of a proxy that failed and are to be resent.
type failedItems struct {
	ordinary    retryQueue
	withdrawals retryQueue
	backoff     fleet.Time // of the ordinary ones; 0: none has failed since the last message without failures
}

func (f *failedItems) empty() bool {
	return len(f.ordinary.items) == 0 && len(f.withdrawals.items) == 0
}

// dueAt returns when the next items are resent, 0 if there are none.
func (f *failedItems) dueAt() fleet.Time { return earlier(f.ordinary.dueAt, f.withdrawals.dueAt) }

// scheduleRetry adds an item to the failed ones, with one notice per series of failures. Withdrawals are resent at an
// interval that the drain timeout bounds, as the proxy may recover at any time.
func (r *Reconciler) scheduleRetry(now fleet.Time, proxy *proxyState, item itemKey, failure Failure) {
	failed := &proxy.failed
	if failed.backoff == 0 {
		r.notify(Notice{Proxy: proxy.id, Text: "a change was not applied and will be retried with backoff: " + failure.Text})
	}
	if r.isWithdrawal(item) {
		failed.backoff = max(initialRetryBackoff, failed.backoff)
		failed.withdrawals.add(item, now+balancer.MaxRetryInterval(&r.site))
		return
	}
	if failed.ordinary.dueAt == 0 {
		failed.backoff = min(maxRetryBackoff, max(initialRetryBackoff, 2*failed.backoff))
	}
	failed.ordinary.add(item, now+failed.backoff)
}

// isWithdrawal reports whether an item is that of a withdrawn server.
func (r *Reconciler) isWithdrawal(item itemKey) bool {
	return item.server != noServer && r.endpoints.servers[item.server].withdrawn
}

// retryFailed resends the failed items that are due.
func (r *Reconciler) retryFailed(now fleet.Time, proxy *proxyState) {
	for _, queue := range []*retryQueue{&proxy.failed.withdrawals, &proxy.failed.ordinary} {
		for _, item := range queue.takeDue(now) {
			r.markDirtyNow(proxy, item)
		}
	}
}
