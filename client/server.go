package client

import (
	"sync/atomic"

	"cressknot/internal/fleet"
)

const (
	// ejectionThreshold is the number of failures in a row after which a server is ejected, as plain proxies do.
	ejectionThreshold = 3
	// ejectionDuration is how long it stays ejected.
	ejectionDuration = 4 * fleet.Second
	// loadDimensions is the number of load values of a server.
	loadDimensions = 4
)

// Server is a server to which requests may be sent. It stays the same while its name and address do.
type Server struct {
	Name, Addr          string
	consecutiveFailures atomic.Int32
	ejectedUntil        atomic.Int64 // nanoseconds of the client's clock; 0: not ejected
	counts              attemptCounts
}

// attemptCounts are the outcomes of attempts since the last report.
type attemptCounts struct {
	attempts, failures, successes, successMillis atomic.Uint64
	load                                         [loadDimensions]atomic.Uint32
	loadValues                                   atomic.Int32 // how many of load are set
}

// recordAttempt counts an attempt for the next report, and ejects a server that fails again and again.
func (s *Server) recordAttempt(now int64, outcome Outcome, millis uint64, load []uint32) {
	s.counts.attempts.Add(1)
	if outcome != Success {
		s.counts.failures.Add(1)
		if s.consecutiveFailures.Add(1) >= ejectionThreshold {
			s.consecutiveFailures.Store(0)
			s.ejectedUntil.Store(now + int64(ejectionDuration))
		}
		return
	}
	s.counts.successes.Add(1)
	s.counts.successMillis.Add(millis)
	s.consecutiveFailures.Store(0)
	s.ejectedUntil.Store(0)
	known := min(len(load), loadDimensions)
	for i := range known {
		s.counts.load[i].Store(load[i])
	}
	s.counts.loadValues.Store(int32(known))
}

// moveCounts adds the counts of one server to another and resets them.
func moveCounts(from, to *attemptCounts) {
	to.attempts.Add(from.attempts.Swap(0))
	to.failures.Add(from.failures.Swap(0))
	to.successes.Add(from.successes.Swap(0))
	to.successMillis.Add(from.successMillis.Swap(0))
}
