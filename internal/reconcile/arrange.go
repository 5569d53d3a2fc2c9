package reconcile

import "slices"

// proposalRank is the sort key of the proposals in a message.
type proposalRank uint8

// The ranks, in the order in which a proxy applies the changes.
const (
	rankUrgent                proposalRank = iota // reduces requests to gone and warming servers
	rankEntryUsable                               // a warm server's entry becomes usable
	rankWeightIncrease                            // a warm server's weight rises
	rankWarmingWeightIncrease                     // a warming server's weight rises
	rankWeightDecrease                            // a warm server's weight falls
	rankEntryUnusable                             // a ready server's entry becomes unusable
	rankCount
)

func (p *Proposal) rank() proposalRank {
	entries := p.EntryDelta()
	weight := p.WeightDelta()
	switch {
	case p.Warming && p.Ready && weight < 0, p.Urgent && entries >= 0 && weight <= 0:
		return rankUrgent
	case entries < 0:
		return rankEntryUnusable
	case p.Warming && weight > 0:
		return rankWarmingWeightIncrease
	case entries > 0:
		return rankEntryUsable
	case weight < 0:
		return rankWeightDecrease
	}
	return rankWeightIncrease
}

// Arrange sorts the proposals of a plan so that the intermediate states, while the proxy applies them one by one, are
// safe.
//
// The order of the ranks ensures that the fraction of requests sent to a warming server never exceeds the larger of
// its fractions before and after the message. A class that has a usable entry before and after a message also has
// one at each intermediate step: if an urgent change would remove the last usable entry of a class, an entry that
// the message adds is moved in front of it. Otherwise a class that moves from one set of servers to another has no
// endpoints while the proxy processes the message, which takes 50 ms or more with 150 servers.
func Arrange(plan *UpdatePlan) {
	sortByRank(plan)
	keepLastUsableEntries(plan)
}

// sortByRank sorts proposals by rank. It is a stable counting sort, as one message may hold a table of 700 entries.
func sortByRank(plan *UpdatePlan) {
	if len(plan.Proposals) < 2 {
		return
	}
	var positions [rankCount]int
	for i := range plan.Proposals {
		positions[plan.Proposals[i].rank()]++
	}
	begin := 0
	for rank, count := range positions {
		positions[rank] = begin
		begin += count
	}
	plan.sorted = slices.Grow(plan.sorted[:0], len(plan.Proposals))[:len(plan.Proposals)]
	for i := range plan.Proposals {
		rank := plan.Proposals[i].rank()
		plan.sorted[positions[rank]] = plan.Proposals[i]
		positions[rank]++
	}
	plan.Proposals, plan.sorted = plan.sorted, plan.Proposals
}

// keepLastUsableEntries moves a proposal that adds a usable entry to a class in front of an urgent one that removes
// the last.
func keepLastUsableEntries(plan *UpdatePlan) {
	remaining := slices.Clone(plan.EntryCounts)
	for i := range plan.Proposals {
		proposal := &plan.Proposals[i]
		if proposal.Kind == UpdateAdmission || proposal.RefusalReason != "" {
			continue
		}
		class := proposal.Class
		removesLast := proposal.EntryDelta() < 0 && remaining[class] == 1 ||
			!proposal.Ready && proposal.Current.Usable() && remaining[class] == 0
		if removesLast && proposal.rank() == rankUrgent {
			moveAddedEntryForward(plan.Proposals, i)
		}
		remaining[class] += plan.Proposals[i].EntryDelta()
	}
}

// moveAddedEntryForward finds the first proposal after i that adds a usable entry to the class of proposal i, and
// moves it in front of i.
func moveAddedEntryForward(proposals []Proposal, i int) {
	for j := i + 1; j < len(proposals); j++ {
		if gain := proposals[j]; gain.Class == proposals[i].Class && gain.EntryDelta() > 0 {
			copy(proposals[i+1:j+1], proposals[i:j])
			proposals[i] = gain
			return
		}
	}
}
