package reconcile

import (
	"cmp"
	"fmt"
	"slices"

	"cressknot/internal/fleet"
)

// refusedRetryInterval is the time after which refused changes are proposed again.
const refusedRetryInterval = fleet.Second / 2

// refusalKey names a refusal, which is one for all proxies.
type refusalKey struct {
	item   itemKey
	reason string
}

// Refusal is what the safety check refuses or lowers now.
type Refusal struct {
	Server    fleet.ServerID
	Admission bool // it is about the admission limit of a class, not about a server
	Class     fleet.ClassID
	Reason    string
	Since     fleet.Time
	Proxies   int
}

// recordRefusal notes that the safety check refused or lowered a change of a proxy. Operators are notified of the
// first refusal of an item for a reason.
func (r *Reconciler) recordRefusal(now fleet.Time, proxy *proxyState, proposal *Proposal, reason string) {
	earlier, refused := proxy.refused[proposal.item]
	if refused && earlier == reason {
		return
	}
	if refused {
		r.clearRefusal(proxy, proposal.item)
	}
	proxy.refused[proposal.item] = reason
	if proxy.refusedRetryAt == 0 {
		proxy.refusedRetryAt = now + refusedRetryInterval
	}
	key := refusalKey{proposal.item, reason}
	refusal := r.refusals[key]
	if refusal == nil {
		refusal = &Refusal{
			Server:    proposal.Server,
			Admission: proposal.Kind == UpdateAdmission,
			Class:     proposal.Class,
			Reason:    reason,
			Since:     now,
		}
		r.refusals[key] = refusal
		r.notify(Notice{Proxy: proxy.id, Refused: refusal, Text: "the safety check refused or lowered a change: " + reason})
	}
	refusal.Proxies++
}

// clearRefusal notes that nothing of an item is refused any more.
func (r *Reconciler) clearRefusal(proxy *proxyState, item itemKey) {
	reason, refused := proxy.refused[item]
	if !refused {
		return
	}
	delete(proxy.refused, item)
	key := refusalKey{item, reason}
	refusal := r.refusals[key]
	if refusal == nil {
		return
	}
	refusal.Proxies--
	if refusal.Proxies == 0 {
		delete(r.refusals, key)
	}
}

// retryRefused proposes refused items again.
func (r *Reconciler) retryRefused(now fleet.Time, proxy *proxyState) {
	if proxy.refusedRetryAt == 0 || now < proxy.refusedRetryAt {
		return
	}
	if len(proxy.refused) == 0 {
		proxy.refusedRetryAt = 0
		return
	}
	proxy.refusedRetryAt = now + refusedRetryInterval
	items := make([]itemKey, 0, len(proxy.refused))
	for item := range proxy.refused {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b itemKey) int {
		return cmp.Or(cmp.Compare(a.server, b.server), cmp.Compare(a.class, b.class))
	})
	for _, item := range items {
		r.markDirty(proxy, item, false)
		proxy.entryBudget++
	}
}

// Refusals returns what is refused now, the oldest first.
func (r *Reconciler) Refusals() []Refusal {
	var all []Refusal
	for _, refusal := range r.refusals {
		all = append(all, *refusal)
	}
	slices.SortFunc(all, func(a, b Refusal) int {
		return cmp.Or(
			cmp.Compare(a.Since, b.Since),
			cmp.Compare(a.Server, b.Server),
			cmp.Compare(fmt.Sprint(a.Class, a.Reason), fmt.Sprint(b.Class, b.Reason)),
		)
	})
	return all
}
