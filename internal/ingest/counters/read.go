// Package reports reads what proxies count: the answers to "show stat" and "show table" become one typed reading, which
// package intake folds into sums. It holds no clock and no socket.
package counters

import (
	"bytes"
	"sync"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/reconcile"
)

// ServerCounters is what a proxy counts of one server over all classes, since the proxy's start.
type ServerCounters struct {
	Attempts, Failures uint64 // tries that ended; those without a good answer
	Successes          uint64 // good answers that GoodMs is the sum of
	SuccessMillis      uint64 // milliseconds
	Load               [4]float32
	HasLoad            bool
}

// ClassCounters is what a proxy counts of one class, since the proxy's start.
type ClassCounters struct {
	Requests   uint64 // that came, refused ones too
	Unanswered uint64 // let in and never answered
}

// Row is what a proxy counts of one server.
type Row struct {
	Server fleet.ServerID
	ServerCounters
}

// Reading is one look at a proxy's counters. Rows has one row for each server.
type Reading struct {
	At      fleet.Time // stamped by the loop that takes it in
	Rows    []Row
	Classes []ClassCounters
	Entries []reconcile.ObservedEntry // what the proxy holds; may be empty
	place   []int32                   // by server: its row plus 1, 0 for none
}

var pool = sync.Pool{New: func() any { return new(Reading) }}

// NewReading gives an empty reading of so many classes.
func NewReading(classes int) *Reading {
	r := pool.Get().(*Reading)
	for range classes {
		r.Classes = append(r.Classes, ClassCounters{})
	}
	return r
}

// Release gives a reading back when all of it has been taken over. Nobody may use it after.
func (r *Reading) Release() {
	for i := range r.Rows {
		r.place[r.Rows[i].Server] = 0
	}
	r.Rows, r.Entries, r.Classes = r.Rows[:0], r.Entries[:0], r.Classes[:0]
	pool.Put(r)
}

// Row gives the row of a server, a new one if there is none. It is good until the next call.
func (r *Reading) Row(server fleet.ServerID) *Row {
	for int(server) >= len(r.place) {
		r.place = append(r.place, make([]int32, max(64, len(r.place)))...)
	}
	if r.place[server] == 0 {
		r.Rows = append(r.Rows, Row{Server: server})
		r.place[server] = int32(len(r.Rows))
	}
	return &r.Rows[r.place[server]-1]
}

// ParseCounters makes a reading of what "show stat" prints: the lines of servers add up over the classes' backends, the
// line of a backend gives what came to its class. Servers that lookup doesn't know are left out.
func ParseCounters(text []byte, backends map[string]fleet.ClassID, classes int, lookup func(string) (fleet.ServerID, bool)) (*Reading, error) {
	r := NewReading(classes)
	err := haproxyapi.ReadStat(text, func(row *haproxyapi.Stat) error {
		class, ours := backends[string(row.Proxy)]
		if !ours || string(row.Server) == "FRONTEND" {
			return nil
		}
		failed := row.Errors + row.ConnFailed + row.RespFailed
		if string(row.Server) == "BACKEND" {
			r.Classes[class] = ClassCounters{Requests: row.Sessions, Unanswered: failed}
			return nil
		}
		if server, known := lookup(string(row.Server)); known {
			r.Entries = append(r.Entries, reconcile.ObservedEntry{Class: class, Server: server, Weight: int16(min(row.Weight, haproxyapi.MaxWeight)),
				State: stateOf(row.Status)})
			m := r.Row(server)
			m.Attempts, m.Failures = m.Attempts+row.Good+failed, m.Failures+failed
		}
		return nil
	})
	return r, err
}

// stateOf reads the status of a server; health checks of the proxy's own change nothing of what a governor has set.
func stateOf(status []byte) reconcile.State {
	switch {
	case bytes.HasPrefix(status, []byte("MAINT")):
		return reconcile.StateMaintenance
	case bytes.HasPrefix(status, []byte("DRAIN")):
		return reconcile.StateDrain
	}
	return reconcile.StateReady
}

// AddTracked adds what "show table" prints: times of good answers and the load that the newest ones told.
func (r *Reading) AddTracked(text []byte, lookup func(string) (fleet.ServerID, bool)) error {
	const unit = 1000 // loads stand in thousandths
	return haproxyapi.ReadTable(text, func(t *haproxyapi.Tracked) error {
		server, known := lookup(string(t.Key))
		if !known || int(server) >= len(r.place) || r.place[server] == 0 {
			return nil
		}
		m := r.Row(server)
		m.Successes, m.SuccessMillis, m.HasLoad = t.Good, t.GoodMs, t.HasLoad
		for i, v := range t.Load {
			m.Load[i] = float32(v) / unit
		}
		return nil
	})
}
