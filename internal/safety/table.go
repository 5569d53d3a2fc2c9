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

func (c *Checker) readyCapacity(now fleet.Time) readyCapacity {
	sum := readyCapacity{known: true}
	for _, server := range c.servers {
		if server.State != fleet.ServerReady {
			continue
		}
		capacity, known := server.effectiveCapacity(now)
		sum.total += capacity
		if !known {
			sum.known = false
		}
		if !c.isWarmingUp(now, server) {
			sum.warm++
		}
	}
	return sum
}

// CheckTable checks a complete table for classes whose requests come at a rate of demand per second in all. It informs
// operators in advance; messages are checked one by one all the same.
func (c *Checker) CheckTable(now fleet.Time, entries []TableLine, demand float64) (violations []Violation) {
	var ready []TableLine
	weightSum, capacity := 0.0, 0.0
	for _, entry := range entries {
		if !entry.usable() {
			continue
		}
		server := c.servers[entry.Server]
		if server == nil || c.isExcluded(entry.Server) {
			violations = append(violations, Violation{
				Reason: ReasonServerNotReady,
				Server: entry.Server,
				Text:   fmt.Sprintf("a weight of %.4g would send it requests", entry.Weight),
			})
		} else if server.State == fleet.ServerReady {
			ready = append(ready, entry)
			weightSum += entry.Weight
			serverCapacity, _ := server.effectiveCapacity(now)
			capacity += serverCapacity
		}
	}
	all := c.readyCapacity(now)
	if len(ready) == 0 {
		text := fmt.Sprintf("no ready server has a usable entry; %d ready servers past slow start are listed", all.warm)
		return append(violations, Violation{Reason: ReasonNoEndpoints, NoServer: true, Text: text})
	}
	for _, entry := range ready {
		if violation, overloaded := c.checkWarming(now, entry, demand, weightSum); overloaded {
			violations = append(violations, violation)
		}
	}
	if all.known && demand > maxTableUtilization*capacity && all.total > capacity {
		violations = append(violations, Violation{
			Reason:   ReasonInsufficientCapacity,
			NoServer: true,
			Forcible: true,
			Text: fmt.Sprintf(
				"demand is %.1f requests/s, capacity is %.1f requests/s in this table and %.1f requests/s on all ready servers",
				demand, capacity, all.total),
		})
	}
	return violations
}

// checkWarming checks whether an entry would overload a server that is warming up.
func (c *Checker) checkWarming(now fleet.Time, entry TableLine, demand, weightSum float64) (Violation, bool) {
	rate := demand * entry.Weight / weightSum
	limit := c.rateLimit(now, entry.Server)
	if rate <= limit {
		return Violation{}, false
	}
	limitWeight := max(0, limit/max(epsilon, demand-limit)*(weightSum-entry.Weight))
	return Violation{Reason: ReasonWarmingOverload, Server: entry.Server, Text: fmt.Sprintf(
		"it would get %.1f requests/s, above its present limit of %.1f requests/s, a weight of %.4g in this table",
		rate, limit, limitWeight)}, true
}
