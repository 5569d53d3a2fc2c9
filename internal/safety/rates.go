package safety

import (
	"slices"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// warmingEntry is the entry of a warming server at some point while a message is applied.
type warmingEntry struct {
	reconcile.WarmingEntry
	weight   int
	proposal int // index of the proposal that changes it; negative: none
}

// serverRates maps servers to requests per second.
type serverRates map[fleet.ServerID]float64

// entriesBefore returns the entries of warming servers before a message.
func entriesBefore(plan *reconcile.UpdatePlan) []warmingEntry {
	var entries []warmingEntry
	for _, entry := range plan.Warming {
		entries = append(entries, warmingEntry{entry, int(entry.State.Weight), -1})
	}
	return entries
}

// entriesAfter returns the entries of warming servers after a message, of which refused proposals change nothing.
func entriesAfter(plan *reconcile.UpdatePlan) []warmingEntry {
	entries := entriesBefore(plan)
	for i := range plan.Proposals {
		proposal := &plan.Proposals[i]
		if !changesWarmingEntry(proposal) {
			continue
		}
		result := proposal.Desired
		if proposal.RefusalReason != "" {
			result = proposal.Current
		}
		weight := 0
		if result.Usable() {
			weight = int(result.Weight)
		}
		at := indexOfEntry(entries, proposal)
		if at < 0 {
			at = len(entries)
			entries = append(entries, newWarmingEntry(proposal))
		}
		entries[at].weight = weight
		entries[at].proposal = i
	}
	return entries
}

// changesWarmingEntry reports whether a proposal changes the entry of a ready warming server.
func changesWarmingEntry(proposal *reconcile.Proposal) bool {
	return proposal.Warming && proposal.Ready && proposal.Kind != reconcile.UpdateAdmission
}

func newWarmingEntry(proposal *reconcile.Proposal) warmingEntry {
	entry := reconcile.WarmingEntry{Class: proposal.Class, Server: proposal.Server, State: proposal.Desired}
	return warmingEntry{WarmingEntry: entry, proposal: -1}
}

func indexOfEntry(entries []warmingEntry, proposal *reconcile.Proposal) int {
	return slices.IndexFunc(entries, func(entry warmingEntry) bool {
		return entry.Server == proposal.Server && entry.Class == proposal.Class
	})
}

// ratesAt returns the rates that a proxy sends to warming servers, given their entries and the weight sum of each
// class.
func (c *Checker) ratesAt(plan *reconcile.UpdatePlan, entries []warmingEntry, weightSums []int) serverRates {
	rates := serverRates{}
	for _, entry := range entries {
		if entry.weight > 0 {
			fraction := float64(entry.weight) / float64(max(1, weightSums[entry.Class]))
			rates[entry.Server] += c.Demand(plan.Proxy, entry.Class) * fraction
		}
	}
	return rates
}

// peakRates returns the maximum rates that a proxy sends to each warming server while it applies a message, and the
// maximum rates from the last decrease of the server's own weight on.
func (c *Checker) peakRates(plan *reconcile.UpdatePlan) (peaks, afterDecrease serverRates) {
	arranged := *plan
	arranged.Proposals = slices.Clone(plan.Proposals)
	reconcile.Arrange(&arranged)
	entries := entriesBefore(plan)
	weightSums := slices.Clone(plan.WeightSums)
	peaks = c.ratesAt(plan, entries, weightSums)
	afterDecrease = serverRates{}
	for i := range arranged.Proposals {
		proposal := &arranged.Proposals[i]
		delta := proposal.WeightDelta()
		if delta == 0 {
			continue
		}
		weightSums[proposal.Class] += delta
		if proposal.Warming {
			at := indexOfEntry(entries, proposal)
			if at < 0 {
				at = len(entries)
				entries = append(entries, newWarmingEntry(proposal))
			}
			entries[at].weight += delta
		}
		if raisesWarmOnly(arranged.Proposals, i) && raisesWarmOnly(arranged.Proposals, i+1) {
			continue // the next raise lowers the rates of warming servers further
		}
		if proposal.Warming && delta < 0 {
			afterDecrease[proposal.Server] = 0
		}
		for id, rate := range c.ratesAt(plan, entries, weightSums) {
			peaks[id] = max(peaks[id], rate)
			afterDecrease[id] = max(afterDecrease[id], rate)
		}
	}
	return peaks, afterDecrease
}

// raisesWarmOnly reports whether proposal i exists and raises the weight of a warm server.
func raisesWarmOnly(proposals []reconcile.Proposal, i int) bool {
	return i < len(proposals) && !proposals[i].Warming && proposals[i].WeightDelta() > 0
}
