package counters

import (
	"bytes"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/reconcile"
)

// Names of the rows of "show stat" that describe a proxy section instead of a server.
const (
	frontendRow = "FRONTEND"
	backendRow  = "BACKEND"
)

// Prefixes of the status column of a server.
var (
	statusMaintenance = []byte("MAINT")
	statusDrain       = []byte("DRAIN")
)

// loadUnit is the number of units per load of 1: stick tables hold loads in thousandths.
const loadUnit = 1000

// ParseCounters parses the answer to "show stat". The counters of a server are summed over the backends of all classes;
// the row of a backend holds the counters of its class. Other backends, and servers for which lookup returns false, are
// skipped. The caller releases the reading, which is not nil on an error either.
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

// stateOf returns the administrative state of a server. Results of the proxy's own health checks don't affect it.
func stateOf(status []byte) reconcile.State {
	switch {
	case bytes.HasPrefix(status, statusMaintenance):
		return reconcile.StateMaintenance
	case bytes.HasPrefix(status, statusDrain):
		return reconcile.StateDrain
	}
	return reconcile.StateReady
}

// AddTracked parses the answer to "show table" and adds its values to the existing rows: the latencies of successful
// answers, and the load that the newest answers reported. Servers without a row, and those for which lookup returns
// false, are skipped.
func (r *Reading) AddTracked(text []byte, lookup func(string) (fleet.ServerID, bool)) error {
	return haproxyapi.ReadStickTable(text, func(tracked *haproxyapi.StickEntry) error {
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
