package safety

import (
	"fmt"

	"cressknot/internal/fleet"
)

// Operators may force what was refused, within bounds.
const (
	// ForceTimeout is how long a refusal may be forced: it was decided by what was known then.
	ForceTimeout = 30 * fleet.Second
	// MaxForces bounds the refusals that may be forced at a time.
	MaxForces = 64
)

// maxTableUtilization is the fraction of their capacity that the servers of a table may be asked for.
const maxTableUtilization = 1.0

// TableLine is an entry of a complete table to be checked.
type TableLine struct {
	Server    fleet.ServerID
	Weight    float64
	Withdrawn bool
}

func (l TableLine) usable() bool { return l.Weight > 0 && !l.Withdrawn }

// Violation is a rule that a table would violate.
type Violation struct {
	Reason   string
	Server   fleet.ServerID
	NoServer bool // it is about no single server
	Text     string
	Forcible bool // operators may force it, in two steps
}

// readyCapacity sums up the servers that are listed as ready.
type readyCapacity struct {
	total float64
	known bool // of all
	warm  int  // servers that are not warming up
}

func (g *Checker) readyCapacity(now fleet.Time) readyCapacity {
	sum := readyCapacity{known: true}
	for _, server := range g.servers {
		if server.State != fleet.ServerReady {
			continue
		}
		capacity, known := server.trustedCapacity(now)
		sum.total += capacity
		if !known {
			sum.known = false
		}
		if !g.isWarmingUp(now, server) {
			sum.warm++
		}
	}
	return sum
}

// CheckTable checks a complete table for classes whose requests come at a rate of demand per second in all. It informs
// operators in advance; messages are checked one by one all the same.
func (g *Checker) CheckTable(now fleet.Time, lines []TableLine, demand float64) (harms []Violation) {
	var ready []TableLine
	weightSum, capacity := 0.0, 0.0
	for _, line := range lines {
		if !line.usable() {
			continue
		}
		server := g.servers[line.Server]
		if server == nil || g.mustNotGetRequests(line.Server) {
			harms = append(harms, Violation{
				Reason: ReasonServerNotReady,
				Server: line.Server,
				Text:   fmt.Sprintf("a weight of %.4g would send it requests", line.Weight),
			})
		} else if server.State == fleet.ServerReady {
			ready = append(ready, line)
			weightSum += line.Weight
			trusted, _ := server.trustedCapacity(now)
			capacity += trusted
		}
	}
	all := g.readyCapacity(now)
	if len(ready) == 0 {
		text := fmt.Sprintf("no ready server has a usable entry; %d ready servers past slow start are listed", all.warm)
		return append(harms, Violation{Reason: ReasonNoEndpoints, NoServer: true, Text: text})
	}
	for _, line := range ready {
		if harm, overloaded := g.checkWarming(now, line, demand, weightSum); overloaded {
			harms = append(harms, harm)
		}
	}
	if all.known && demand > maxTableUtilization*capacity && all.total > capacity {
		harms = append(harms, Violation{Reason: ReasonInsufficientCapacity, NoServer: true, Forcible: true, Text: fmt.Sprintf(
			"demand is %.1f requests/s, capacity of the table's servers %.1f requests/s, of all ready servers %.1f requests/s",
			demand, capacity, all.total)})
	}
	return harms
}

// checkWarming checks whether an entry would overload a server that is warming up.
func (g *Checker) checkWarming(now fleet.Time, line TableLine, demand, weightSum float64) (Violation, bool) {
	rate := demand * line.Weight / weightSum
	bearable := g.bearableRate(now, line.Server)
	if rate <= bearable {
		return Violation{}, false
	}
	bearableWeight := max(0, bearable/max(epsilon, demand-bearable)*(weightSum-line.Weight))
	return Violation{Reason: ReasonWarmingOverload, Server: line.Server, Text: fmt.Sprintf(
		"it would get %.1f requests/s, above its present limit of %.1f requests/s, a weight of %.4g in this table",
		rate, bearable, bearableWeight)}, true
}
