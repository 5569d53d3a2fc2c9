package reconcile

import (
	"cmp"
	"fmt"
	"slices"

	"cressknot/internal/fleet"
)

// refusedRetryInterval is the interval at which refused changes are submitted to the safety check again.
const refusedRetryInterval = fleet.Second / 2

// refusalKey identifies a refusal. The same refusal at several proxies is counted once.
type refusalKey struct {
	item   itemKey
	reason string
}

// Refusal is a change that the safety check currently refuses or lowers.
type Refusal struct {
	Server    fleet.ServerID
	Admission bool // it concerns the admission limit of Class; Server is not set
	Class     fleet.ClassID
	Reason    string
	Since     fleet.Time
	Proxies   int // number of proxies concerned
}

// recordRefusal records that the safety check refused or lowered a change of a proxy. Operators are notified once for
// each item and reason.
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
		r.notify(Notice{
			Proxy:   proxy.id,
			Refused: refusal,
			Text:    "the safety check refused a change or lowered its weight or retry mode: " + reason,
		})
	}
	refusal.Proxies++
}

// clearRefusal removes the refusal of an item at a proxy, if there is one.
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

// retryRefused schedules refused items again once refusedRetryInterval has passed.
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

// Refusals returns all current refusals, oldest first.
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
