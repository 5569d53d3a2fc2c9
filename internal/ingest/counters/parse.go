package counters

import (
	"bytes"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/reconcile"
)

// Names of the proxy's rows that are not of a server.
const (
	frontendRow = "FRONTEND"
	backendRow  = "BACKEND"
)

// Beginnings of the status of a server.
var (
	statusMaintenance = []byte("MAINT")
	statusDrain       = []byte("DRAIN")
)

// loadUnit: loads are counted in thousandths.
const loadUnit = 1000

// ParseCounters reads the answer to "show stat". The rows of a server add up over the classes' backends; the row of a
// backend holds the counters of its class. Servers that lookup doesn't know are skipped.
func ParseCounters(
	text []byte, backends map[string]fleet.ClassID, classes int, lookup func(string) (fleet.ServerID, bool),
) (*Reading, error) {
	r := NewReading(classes)
	err := haproxyapi.ReadStat(text, func(row *haproxyapi.Stat) error {
		class, known := backends[string(row.Proxy)]
		if !known || string(row.Server) == frontendRow {
			return nil
		}
		failures := row.ServerErrors + row.ConnectErrors + row.ResponseErrors
		if string(row.Server) == backendRow {
			r.Classes[class] = ClassCounters{Requests: row.Sessions, Unanswered: failures}
			return nil
		}
		server, known := lookup(string(row.Server))
		if !known {
			return nil
		}
		r.Entries = append(r.Entries, reconcile.ObservedEntry{
			Class:  class,
			Server: server,
			Weight: int16(min(row.Weight, haproxyapi.MaxWeight)),
			State:  stateOf(row.Status),
		})
		counters := r.Row(server)
		counters.Attempts += row.Successes + failures
		counters.Failures += failures
		return nil
	})
	return r, err
}

// stateOf returns the administrative state of a server. The proxy's own health checks don't change it.
func stateOf(status []byte) reconcile.State {
	switch {
	case bytes.HasPrefix(status, statusMaintenance):
		return reconcile.StateMaintenance
	case bytes.HasPrefix(status, statusDrain):
		return reconcile.StateDrain
	}
	return reconcile.StateReady
}

// AddTracked adds the answer to "show table" to the rows that there are: the latencies of successful answers, and
// the load that the newest answers reported.
func (r *Reading) AddTracked(text []byte, lookup func(string) (fleet.ServerID, bool)) error {
	return haproxyapi.ReadTable(text, func(tracked *haproxyapi.StickEntry) error {
		server, known := lookup(string(tracked.Key))
		if !known || !r.hasRow(server) {
			return nil
		}
		counters := r.Row(server)
		counters.Successes = tracked.Successes
		counters.SuccessMillis = tracked.SuccessMillis
		counters.HasLoad = tracked.HasLoad
		for i, load := range tracked.Load {
			counters.Load[i] = float32(load) / loadUnit
		}
		return nil
	})
}
