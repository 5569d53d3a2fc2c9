package safety

import (
	"fmt"

	"cressknot/internal/fleet"
)

// Limits for operators who force a refused change.
const (
	// OverrideTimeout is the time after a refusal in which the refused change may be forced. Later the state that
	// the refusal was based on may have changed.
	OverrideTimeout = 30 * fleet.Second
	// MaxPendingOverrides is the maximum number of refusals that can wait to be forced at a time.
	MaxPendingOverrides = 64
)

// maxTableUtilization is the maximum demand on a table, as a fraction of the capacity of its servers.
const maxTableUtilization = 1.0

// TableEntry is an entry of a complete table for Checker.CheckTable. Entries of weight 0 and withdrawn ones get no
// requests.
type TableEntry struct {
	Server    fleet.ServerID
	Weight    float64
	Withdrawn bool
}

func (e TableEntry) usable() bool { return e.Weight > 0 && !e.Withdrawn }

// Violation is a rule that a table violates.
type Violation struct {
	Reason      string // one of the Reason constants
	Server      fleet.ServerID
	WholeTable  bool   // it concerns the whole table; Server is not set
	Text        string // details with the values met
	Overridable bool   // operators may force the table after confirmation
}

// readyCapacity is the capacity of all servers that are listed as ready.
type readyCapacity struct {
	total float64 // requests per second
	known bool    // the capacity of every server is known
	warm  int     // number of servers that are not warming up
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

// CheckTable checks a complete table for classes with a total demand in requests per second, and returns the rules that
// it violates. It informs operators in advance; each message is checked by CheckPlan nevertheless.
func (c *Checker) CheckTable(now fleet.Time, entries []TableEntry, demand float64) (violations []Violation) {
	var ready []TableEntry
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
				Text:   fmt.Sprintf("it must not receive requests, but its weight is %.4g", entry.Weight),
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
		text := fmt.Sprintf("no ready server has a usable entry; the endpoint list has %d ready servers past slow start",
			all.warm)
		return append(violations, Violation{Reason: ReasonNoEndpoints, WholeTable: true, Text: text})
	}
	for _, entry := range ready {
		if violation, overloaded := c.checkWarming(now, entry, demand, weightSum); overloaded {
			violations = append(violations, violation)
		}
	}
	if all.known && demand > maxTableUtilization*capacity && all.total > capacity {
		violations = append(violations, Violation{
			Reason:      ReasonInsufficientCapacity,
			WholeTable:  true,
			Overridable: true,
			Text: fmt.Sprintf(
				"demand is %.1f requests/s, capacity is %.1f requests/s in this table and %.1f requests/s on all ready servers",
				demand, capacity, all.total),
		})
	}
	return violations
}

// checkWarming returns the violation if an entry would overload a warming server.
func (c *Checker) checkWarming(now fleet.Time, entry TableEntry, demand, weightSum float64) (Violation, bool) {
	rate := demand * entry.Weight / weightSum
	limit := c.rateLimit(now, entry.Server)
	if rate <= limit {
		return Violation{}, false
	}
	limitWeight := max(0, limit/max(epsilon, demand-limit)*(weightSum-entry.Weight))
	return Violation{Reason: ReasonWarmingOverload, Server: entry.Server, Text: fmt.Sprintf(
		"it would get %.1f requests/s, above its present limit of %.1f requests/s, "+
			"which corresponds to a weight of %.4g in this table",
		rate, limit, limitWeight)}, true
}
