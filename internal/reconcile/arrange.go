package reconcile

import (
	"slices"

	"cressknot/internal/fleet"
)

// Proposal is one change that a message would make, with what the proxy holds of it before and after. A judge may
// hold it back, or lower the weight that it wants.
type Proposal struct {
	Change
	Have, Want     EntryState // of lines
	Ready, Warming bool       // the line's server: listed as ready; started a short while ago
	Urgent         bool       // keeps visits from where they do harm: goes first
	HoldReason     string     // why a judge holds it back
	LowerReason    string     // why a judge wants less than was wanted
	key            key
	at             int // of the line in sent
}

// Usable tells whether a cell lets visits in.
func (c EntryState) Usable() bool {
	return c.Present && !c.Unknown && c.State == StateReady && c.Weight > 0
}

// EntryDelta tells whether the change gives (1) or takes (-1) the class a line of a ready server.
func (p *Proposal) EntryDelta() int {
	switch {
	case !p.Ready || p.Kind == UpdateAdmission || p.HoldReason != "":
		return 0
	case p.Want.Usable() && !p.Have.Usable():
		return 1
	case p.Have.Usable() && !p.Want.Usable():
		return -1
	}
	return 0
}

// WeightDelta gives by how much the change raises the weights of ready servers' usable lines.
func (p *Proposal) WeightDelta() int {
	if !p.Ready || p.Kind == UpdateAdmission || p.HoldReason != "" {
		return 0
	}
	return weightIn(p.Want) - weightIn(p.Have)
}

func weightIn(c EntryState) int {
	if c.Usable() {
		return int(c.Weight)
	}
	return 0
}

// UpdatePlan is a message before it leaves, with what the proxy holds before it.
type UpdatePlan struct {
	Proxy           fleet.ProxyID
	Proposals       []Proposal
	EntryCounts     []int          // by class: lines to pick of ready servers
	WeightSums      []int          // by class: their weights
	Warming         []WarmingEntry // of ready servers that started a short while ago
	NothingInFlight bool           // nothing else is on its way to the proxy
	sorted          []Proposal     // room
}

// WarmingEntry is a usable line of a cold server.
type WarmingEntry struct {
	Class  fleet.ClassID
	Server fleet.ServerID
	State  EntryState
	at     int
	server int32
}

// SafetyCheck is asked about each message before it leaves. It may hold proposals back, lower their weights and add cuts by
// Cut; it changes nothing else.
type SafetyCheck interface {
	ProxyJoined(now fleet.Time, d *UpdatePlan) // what a proxy holds at its join
	CheckPlan(now fleet.Time, d *UpdatePlan)
	ProxyAcknowledged(now fleet.Time, d *UpdatePlan) // all is answered: what the proxy holds for sure
	ProxyLeft(id fleet.ProxyID)
}

// AddWeightCut adds a change that lowers a cold line to a weight.
func (d *UpdatePlan) AddWeightCut(line WarmingEntry, weight int16, why string) {
	want := line.State
	want.Weight = weight
	d.Proposals = append(d.Proposals, Proposal{Change: Change{Kind: UpdateEntry, Class: line.Class, Server: line.Server, Weight: weight},
		Have: line.State, Want: want, Ready: true, Warming: true, Urgent: true, LowerReason: why, key: key{server: line.server}, at: line.at})
}

// Arrange puts proposals into the order in which they do least harm while the proxy reads them one by one: what keeps
// visits away from gone and cold servers first, then what warm lines gain, then what cold ones gain, which so meet the
// others' full weights, then what warm lines lose, and last what takes lines of ready servers away. So the share of a
// cold server is never above what it was before or will be after, and a class that has a line before and after a
// message has one at each moment between. Where something urgent would take a class's last line, a line that the same
// message gives it goes before. Without this a class that moves from one set of servers to another stood bare for as
// long as the proxy took to read a table (50 ms and more, seen at 150 servers).
func Arrange(d *UpdatePlan) {
	const (
		urgent = iota
		gain
		rise
		coldRise
		fall
		take
	)
	rank := func(p *Proposal) int {
		gives, adds := p.EntryDelta(), p.WeightDelta()
		switch {
		case p.Warming && p.Ready && adds < 0, p.Urgent && gives >= 0 && adds <= 0:
			return urgent
		case gives < 0:
			return take
		case p.Warming && adds > 0:
			return coldRise
		case gives > 0:
			return gain
		case adds < 0:
			return fall
		}
		return rise
	}
	var at [take + 1]int // a stable sort by counting: a table of 700 lines is one message
	for i := range d.Proposals {
		at[rank(&d.Proposals[i])]++
	}
	if len(d.Proposals) > 1 {
		begin := 0
		for r, n := range at {
			at[r], begin = begin, begin+n
		}
		d.sorted = slices.Grow(d.sorted[:0], len(d.Proposals))[:len(d.Proposals)]
		for i := range d.Proposals {
			r := rank(&d.Proposals[i])
			d.sorted[at[r]] = d.Proposals[i]
			at[r]++
		}
		d.Proposals, d.sorted = d.sorted, d.Proposals
	}
	left := slices.Clone(d.EntryCounts)
	for i := 0; i < len(d.Proposals); i++ {
		p := &d.Proposals[i]
		if p.Kind == UpdateAdmission || p.HoldReason != "" {
			continue
		}
		last := p.EntryDelta() < 0 && left[p.Class] == 1 || !p.Ready && p.Have.Usable() && left[p.Class] == 0
		if last && rank(p) == urgent {
			for j := i + 1; j < len(d.Proposals); j++ {
				if q := d.Proposals[j]; q.Class == p.Class && q.EntryDelta() > 0 {
					copy(d.Proposals[i+1:j+1], d.Proposals[i:j])
					d.Proposals[i] = q
					break
				}
			}
		}
		left[d.Proposals[i].Class] += d.Proposals[i].EntryDelta()
	}
}
