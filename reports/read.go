package reports

import (
	"bytes"

	"cressknot/fleet"
	"cressknot/runtimeapi"
	"cressknot/steer"
)

// ReadCounters makes a reading of what "show stat" prints: the lines of servers add up over the classes' backends, the
// line of a backend gives what came to its class. Servers that lookup doesn't know are left out.
func ReadCounters(text []byte, backends map[string]fleet.ClassID, classes int, lookup func(string) (fleet.ServerID, bool)) (*Reading, error) {
	r := &Reading{Servers: make(map[fleet.ServerID]Met, 64), Classes: make([]Came, classes)}
	err := runtimeapi.ReadStat(text, func(row *runtimeapi.Stat) error {
		class, ours := backends[string(row.Proxy)]
		if !ours || string(row.Server) == "FRONTEND" {
			return nil
		}
		failed := row.Errors + row.ConnFailed + row.RespFailed
		if string(row.Server) == "BACKEND" {
			r.Classes[class] = Came{Visits: row.Sessions, NoAnswer: failed}
			return nil
		}
		if server, known := lookup(string(row.Server)); known {
			r.Lines = append(r.Lines, steer.SeenLine{Class: class, Server: server, Weight: int16(min(row.Weight, runtimeapi.WeightMost)),
				State: stateOf(row.Status)})
			m := r.Servers[server]
			m.Tries, m.Failed = m.Tries+row.Good+failed, m.Failed+failed
			r.Servers[server] = m
		}
		return nil
	})
	return r, err
}

// stateOf reads the status of a server; health checks of the proxy's own change nothing of what a governor has set.
func stateOf(status []byte) steer.State {
	switch {
	case bytes.HasPrefix(status, []byte("MAINT")):
		return steer.Out
	case bytes.HasPrefix(status, []byte("DRAIN")):
		return steer.Drain
	}
	return steer.In
}

// ReadTracked adds what "show table" prints: times of good answers and the load that the newest ones told.
func (r *Reading) ReadTracked(text []byte, lookup func(string) (fleet.ServerID, bool)) error {
	const unit = 1000 // loads stand in thousandths
	return runtimeapi.ReadTable(text, func(t *runtimeapi.Tracked) error {
		server, known := lookup(string(t.Key))
		m, met := r.Servers[server]
		if !known || !met {
			return nil
		}
		m.Good, m.GoodMs, m.HasLoad = t.Good, t.GoodMs, t.HasLoad
		for i, v := range t.Load {
			m.Load[i] = float32(v) / unit
		}
		r.Servers[server] = m
		return nil
	})
}
