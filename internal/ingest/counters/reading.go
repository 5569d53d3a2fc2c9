// Package counters parses the counters of proxies: it turns the answers to "show stat" and "show table" into one typed
// reading. It does no I/O and reads no clock.
package counters

import (
	"sync"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// minIndexGrowth is the least number of entries by which the index of a reading grows.
const minIndexGrowth = 64

// ServerCounters are a proxy's cumulative counters of one server over all classes, since the proxy's start.
type ServerCounters struct {
	Attempts      uint64     // completed attempts
	Failures      uint64     // completed attempts without a successful answer
	Successes     uint64     // successful answers that SuccessMillis covers
	SuccessMillis uint64     // sum of their latencies, in ms
	Load          [4]float32 // load figures of the newest answers
	HasLoad       bool       // whether Load is set
}

// ClassCounters are a proxy's cumulative counters of one class, since the proxy's start.
type ClassCounters struct {
	Requests   uint64 // received, including rejected ones
	Unanswered uint64 // admitted, but never answered
}

// Row holds the counters of one server in a Reading.
type Row struct {
	Server fleet.ServerID
	ServerCounters
}

// Reading holds the counters of one proxy at one time, with one row for each server. Readings are pooled: the owner
// calls Release once it no longer uses the reading. A Reading is not safe for concurrent use.
type Reading struct {
	At      fleet.Time // set by the control loop when it receives the reading
	Rows    []Row
	Classes []ClassCounters
	Entries []reconcile.ObservedEntry // table entries of the proxy; empty if the answer has none

	rowNumbers []int32 // by server: 1 + index of its row, 0 if it has none
}

var readingPool = sync.Pool{New: func() any { return new(Reading) }}

// NewReading returns a reading without rows, with zeroed counters for the given number of classes.
func NewReading(classes int) *Reading {
	r := readingPool.Get().(*Reading)
	for range classes {
		r.Classes = append(r.Classes, ClassCounters{})
	}
	return r
}

// Release returns the reading to the pool. It must not be used afterwards.
func (r *Reading) Release() {
	for i := range r.Rows {
		r.rowNumbers[r.Rows[i].Server] = 0
	}
	r.Rows = r.Rows[:0]
	r.Entries = r.Entries[:0]
	r.Classes = r.Classes[:0]
	readingPool.Put(r)
}

// Row returns the row of a server and adds it if there is none. The pointer is valid until the next call of Row.
func (r *Reading) Row(server fleet.ServerID) *Row {
	for int(server) >= len(r.rowNumbers) {
		r.rowNumbers = append(r.rowNumbers, make([]int32, max(minIndexGrowth, len(r.rowNumbers)))...)
	}
	if r.rowNumbers[server] == 0 {
		r.Rows = append(r.Rows, Row{Server: server})
		r.rowNumbers[server] = int32(len(r.Rows))
	}
	return &r.Rows[r.rowNumbers[server]-1]
}

// hasRow reports whether the server has a row.
func (r *Reading) hasRow(server fleet.ServerID) bool {
	return int(server) < len(r.rowNumbers) && r.rowNumbers[server] != 0
}
