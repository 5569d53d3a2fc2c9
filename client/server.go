package client

import (
	"sync/atomic"

	"cressknot/internal/fleet"
)

const (
	// ejectionThreshold is the number of consecutive failures after which a server is ejected, as plain proxies do.
	ejectionThreshold = 3
	// ejectionDuration is how long a server stays ejected, unless an attempt at it succeeds earlier.
	ejectionDuration = 4 * fleet.Second
	// loadDimensions is the maximal number of load values of a server.
	loadDimensions = 4
)

// Server is a server to which requests may be sent, with its name and address as listed by the controller. The pointer
// stays the same as long as the server is in the table under the same address.
type Server struct {
	Name, Addr          string
	consecutiveFailures atomic.Int32
	ejectedUntil        atomic.Int64 // nanoseconds of the client's clock; 0: not ejected
	counts              attemptCounts
}

// attemptCounts count outcomes of attempts since the last report.
type attemptCounts struct {
	attempts, failures, successes, successMillis atomic.Uint64
	load                                         [loadDimensions]atomic.Uint32
	loadValues                                   atomic.Int32 // number of values in load
}

// recordAttempt counts an attempt for the next report, and ejects the server after ejectionThreshold consecutive
// failures. A success ends an ejection.
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
