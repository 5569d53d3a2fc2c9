package safety

import (
	"fmt"

	"cressknot/internal/fleet"
)

// Bounds of forcing what was refused.
const (
	ForceFor  = 30 * fleet.Second // so long a refusal may be forced: it was judged on what was known then
	ForceMost = 64                // forces that wait at a time
)

// TableLine is a line of a whole table that is judged.
type TableLine struct {
	Server    fleet.ServerID
	Weight    float64
	Withdrawn bool
}

// Harm is one thing that a table would do.
type Harm struct {
	Why    string
	Server fleet.ServerID
	None   bool // it names no server
	Text   string
	Force  bool // staff may force it, in two steps
}

// Table judges a whole table for classes whose visits come at so many a second in all. It is what staff are told
// before a push; messages are judged one by one all the same.
func (g *Guard) Table(now fleet.Time, lines []TableLine, demand float64) (harms []Harm) {
	sum, can, all, warmReady := 0.0, 0.0, 0.0, 0
	known := true
	for _, s := range g.servers {
		if s.State == fleet.ServerReady {
			c, heard := s.trustedCapacity(now)
			if !heard {
				known = false
			}
			if all += c; !g.cold(now, s) {
				warmReady++
			}
		}
	}
	usable := 0
	for _, l := range lines {
		s := g.servers[l.Server]
		switch {
		case l.Weight <= 0 || l.Withdrawn:
		case s == nil || g.binds(l.Server):
			harms = append(harms, Harm{Why: ReasonServerNotReady, Server: l.Server, Text: "visits would go to a server that is draining, gone or not listed"})
		case s.State == fleet.ServerReady:
			usable++
			sum += l.Weight
			c, _ := s.trustedCapacity(now)
			can += c
		}
	}
	if usable == 0 {
		return append(harms, Harm{Why: ReasonNoEndpoints, None: true, Text: fmt.Sprintf("no ready server would have a line; %d ready and warm ones are listed", warmReady)})
	}
	for _, l := range lines {
		if s := g.servers[l.Server]; s == nil || l.Weight <= 0 || l.Withdrawn || s.State != fleet.ServerReady {
			continue
		}
		load, bears := demand*l.Weight/sum, g.Bearable(now, l.Server)
		if load > bears {
			harms = append(harms, Harm{Why: ReasonWarmingOverload, Server: l.Server, Text: fmt.Sprintf(
				"it is cold and would get %.1f visits a second; it bears %.1f now, which is a weight of %.4g here", load, bears,
				max(0, bears/max(none, demand-bears)*(sum-l.Weight)))})
		}
	}
	if known && demand > overload*can && all > can {
		harms = append(harms, Harm{Why: ReasonInsufficientCapacity, None: true, Force: true, Text: fmt.Sprintf(
			"%.1f visits a second would come to servers that can do %.1f; all that are ready can do %.1f", demand, can, all)})
	}
	return harms
}
