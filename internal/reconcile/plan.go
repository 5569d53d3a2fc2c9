package reconcile

import (
	"cmp"

	"cressknot/internal/fleet"
)

// Proposal is one change of a planned message, with the state of the entry before and after it. A safety check
// refuses it by setting RefusalReason, or reduces its weight with LowerWeight.
type Proposal struct {
	Change
	Current, Desired EntryState // of the entry before and after; not used for UpdateAdmission
	Ready            bool       // the server is listed as ready
	Warming          bool       // the server is warming up
	Urgent           bool       // sent ahead of ordinary changes, such as a withdrawal
	RefusalReason    string     // why the safety check refuses it; "": not refused
	LowerReason      string     // why the safety check lowered its weight; "": not lowered
	item             itemKey
	index            int // of the entry in proxyState.sent
}

// isEntryOfReadyServer reports whether the proposal changes an entry of a ready server and is not refused.
func (p *Proposal) isEntryOfReadyServer() bool {
	return p.Ready && p.Kind != UpdateAdmission && p.RefusalReason == ""
}

// EntryDelta returns the change in the number of usable entries of ready servers: 1, 0 or -1. It is 0 for a refused
// proposal.
func (p *Proposal) EntryDelta() int {
	switch {
	case !p.isEntryOfReadyServer():
		return 0
	case p.Desired.Usable() && !p.Current.Usable():
		return 1
	case p.Current.Usable() && !p.Desired.Usable():
		return -1
	}
	return 0
}

// WeightDelta returns the change in the weight sum of usable entries of ready servers. It is 0 for a refused
// proposal.
func (p *Proposal) WeightDelta() int {
	if !p.isEntryOfReadyServer() {
		return 0
	}
	return p.Desired.usableWeight() - p.Current.usableWeight()
}

// LowerWeight replaces the weight of a proposal by a lower one, 0 to 256. Only a SafetyCheck may call it.
func (p *Proposal) LowerWeight(weight int16, reason string) {
	p.Desired.Weight = weight
	p.Change = changeBetween(p.Class, p.Server, p.Current, p.Desired)
	p.LowerReason = reason
}

// UpdatePlan is a message before it is sent, with the state of the proxy after all messages in flight are applied. It
// is reused and valid only during the call that receives it.
type UpdatePlan struct {
	Proxy           fleet.ProxyID
	Proposals       []Proposal
	EntryCounts     []int          // by class: usable entries of ready servers
	WeightSums      []int          // by class: sum of their weights
	Warming         []WarmingEntry // usable entries of ready servers that are warming up
	NothingInFlight bool           // no other message is in flight to the proxy
	sorted          []Proposal     // reused to avoid allocations
}

// WarmingEntry is a usable entry of a server that is warming up.
type WarmingEntry struct {
	Class  fleet.ClassID
	Server fleet.ServerID
	State  EntryState
	index  int   // of the entry in proxyState.sent
	server int32 // index of the server
}

// SafetyCheck examines each message before it is sent. It may refuse proposals, lower their weights and add changes
// with AddWeightCut, and must not modify the plan otherwise.
type SafetyCheck interface {
	// ProxyJoined receives the state of a proxy that joins, in a plan without proposals.
	ProxyJoined(now fleet.Time, plan *UpdatePlan)
	// CheckPlan examines one message.
	CheckPlan(now fleet.Time, plan *UpdatePlan)
	// ProxyAcknowledged receives the confirmed state of a proxy that has acknowledged all messages, in a plan
	// without proposals. It is also called for all proxies when the start time of a listed server has changed.
	ProxyAcknowledged(now fleet.Time, plan *UpdatePlan)
	// ProxyLeft is called when the session of a proxy ends.
	ProxyLeft(id fleet.ProxyID)
}

// AddWeightCut adds an urgent change that sets the weight of a warming server's entry to a lower one, 0 to 256.
func (p *UpdatePlan) AddWeightCut(entry WarmingEntry, weight int16, reason string) {
	want := entry.State
	want.Weight = weight
	p.Proposals = append(p.Proposals, Proposal{
		Change:      Change{Kind: UpdateEntry, Class: entry.Class, Server: entry.Server, Weight: weight},
		Current:     entry.State,
		Desired:     want,
		Ready:       true,
		Warming:     true,
		Urgent:      true,
		LowerReason: reason,
		item:        itemKey{server: entry.server},
		index:       entry.index,
	})
}

// newPlan returns a plan without proposals, with the state of the proxy after all messages in flight are applied. It
// is valid until the next call.
func (r *Reconciler) newPlan(now fleet.Time, proxy *proxyState) *UpdatePlan {
	plan := &r.plan
	*plan = UpdatePlan{
		Proxy:           proxy.id,
		Proposals:       plan.Proposals[:0],
		sorted:          plan.sorted,
		EntryCounts:     proxy.entryCounts,
		WeightSums:      proxy.weightSums,
		Warming:         plan.Warming[:0],
		NothingInFlight: len(proxy.inFlight) == 0,
	}
	for _, i := range r.warmingServers(now) {
		for class := range r.classes() {
			index := r.entryIndex(i, class)
			if entry := proxy.sent[index]; entry.Usable() && r.isReady(i) {
				plan.Warming = append(plan.Warming, WarmingEntry{
					Class:  fleet.ClassID(class),
					Server: r.endpoints.servers[i].id,
					State:  entry,
					index:  index,
					server: i,
				})
			}
		}
	}
	return plan
}

// propose adds to a plan the changes that bring an item of a proxy to its desired state.
func (r *Reconciler) propose(now fleet.Time, plan *UpdatePlan, proxy *proxyState, item itemKey, urgent bool) {
	if item.server == noServer {
		r.proposeAdmission(plan, proxy, item, urgent)
		return
	}
	server := &r.endpoints.servers[item.server]
	for class := range r.classes() {
		index := r.entryIndex(item.server, class)
		have := proxy.sent[index]
		want := r.desiredEntry(proxy, item.server, class)
		if have == want || !want.Present && !have.Present {
			continue
		}
		plan.Proposals = append(plan.Proposals, Proposal{
			Change:  changeBetween(fleet.ClassID(class), server.id, have, want),
			Current: have,
			Desired: want,
			Ready:   r.isReady(item.server),
			Warming: r.isWarmingUp(server, now),
			Urgent:  urgent,
			item:    item,
			index:   index,
		})
	}
	if _, refused := proxy.refused[item]; refused && !r.needsUpdate(proxy, item.server) {
		r.clearRefusal(proxy, item)
	}
}

func (r *Reconciler) proposeAdmission(plan *UpdatePlan, proxy *proxyState, item itemKey, urgent bool) {
	want := r.desiredAdmission(proxy, int(item.class))
	if !want.Known || proxy.admissions[item.class] == want {
		r.clearRefusal(proxy, item)
		return
	}
	plan.Proposals = append(plan.Proposals, Proposal{
		Change: Change{Kind: UpdateAdmission, Class: item.class, Admission: want},
		Urgent: urgent,
		item:   item,
	})
}

// changeBetween returns the change that leads from one state of an entry to another.
func changeBetween(class fleet.ClassID, server fleet.ServerID, have, want EntryState) Change {
	change := Change{
		Class:          class,
		Server:         server,
		Weight:         want.Weight,
		State:          want.State,
		AddressChanged: have.WrongAddress && have.Present,
	}
	switch {
	case !have.Present && !have.Unknown:
		change.Kind = AddEntry
	case !have.Unknown:
		if have.Weight == want.Weight {
			change.Weight = -1
		}
		if have.State == want.State {
			change.State = StateUnchanged
		}
	}
	return change
}

// commitPlan adds the proposals that passed the safety check to a message and records them as sent. Refused ones are
// recorded for retryRefused.
func (r *Reconciler) commitPlan(now fleet.Time, proxy *proxyState, message *queuedMessage, plan *UpdatePlan) {
	for i := range plan.Proposals {
		proposal := &plan.Proposals[i]
		if reason := cmp.Or(proposal.RefusalReason, proposal.LowerReason); reason != "" {
			r.recordRefusal(now, proxy, proposal, reason)
		} else {
			r.clearRefusal(proxy, proposal.item)
		}
		switch {
		case proposal.RefusalReason != "":
			continue
		case proposal.Kind == UpdateAdmission:
			proxy.admissions[proposal.Class] = proposal.Admission
		case proposal.Desired == proposal.Current:
			continue // the lowered weight is what the proxy already has
		default:
			r.setSent(proxy, proposal.index, proposal.Desired)
		}
		message.changes = append(message.changes, proposal.Change)
		message.items = append(message.items, proposal.item)
	}
}
