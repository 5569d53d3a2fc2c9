package reconcile

import "slices"

// proposalRank orders the proposals of a message.
type proposalRank uint8

// The ranks, in the order in which a proxy should apply them.
const (
	rankUrgent                proposalRank = iota // keeps requests away from gone and warming servers
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

// Arrange sorts proposals into the order that does least harm while the proxy applies them one by one.
//
// By the order of the ranks, the fraction of requests that a warming server gets is never above both what it was
// before the message and what it will be after it. A class that has a usable entry before and after a message has
// one at each moment in between: where an urgent change would take the last entry of a class, an entry that the
// message adds goes first. Otherwise a class that moves from one set of servers to another is without endpoints
// while the proxy reads the message, which takes 50 ms and more at 150 servers.
func Arrange(plan *UpdatePlan) {
	sortByRank(plan)
	keepLastUsableEntries(plan)
}

// sortByRank is a stable counting sort: a table of 700 entries is one message.
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

// keepLastUsableEntries moves a proposal that adds an entry to a class before an urgent one that takes the last entry.
func keepLastUsableEntries(plan *UpdatePlan) {
	remaining := slices.Clone(plan.EntryCounts)
	for i := range plan.Proposals {
		proposal := &plan.Proposals[i]
		if proposal.Kind == UpdateAdmission || proposal.HoldReason != "" {
			continue
		}
		class := proposal.Class
		removesLast := proposal.EntryDelta() < 0 && remaining[class] == 1 ||
			!proposal.Ready && proposal.Have.Usable() && remaining[class] == 0
		if removesLast && proposal.rank() == rankUrgent {
			moveAddedEntryForward(plan.Proposals, i)
		}
		remaining[class] += plan.Proposals[i].EntryDelta()
	}
}

// moveAddedEntryForward moves the first later proposal that adds an entry to the class of proposal i in front of it.
func moveAddedEntryForward(proposals []Proposal, i int) {
	for j := i + 1; j < len(proposals); j++ {
		if gain := proposals[j]; gain.Class == proposals[i].Class && gain.EntryDelta() > 0 {
			copy(proposals[i+1:j+1], proposals[i:j])
			proposals[i] = gain
			return
		}
	}
}
