package verification

import "cressknot/internal/fleet"

const (
	// probeRetryDelay is the time from a probe without an answer to the next one. A process that restarts is back after
	// this time or some seconds later.
	probeRetryDelay = 500 * fleet.Millisecond

	// maxFailedProbes is the number of consecutive probes without an answer that refute a server; one alone may be chance.
	maxFailedProbes = 2

	// minProvingSuccesses is the number of successful requests that prove a server. Fewer may have been handled by
	// another server at its address.
	minProvingSuccesses = 3

	// minRefutingFailures is the number of failed requests without a success that count against a server. That many fail
	// by chance in 1 of 3000 cases.
	minRefutingFailures = 8
)

// Reasons for VerdictRefuted, shown to operators.
const (
	reasonAddressTaken = "a server of the same list that started later has the same address"
	reasonOtherServer  = "probe at its address answered by a different server"
	reasonNoAnswer     = "probes at its address get no answer"
	reasonOnlyConnects = "its address accepts connections, but its requests fail"
	reasonOnlyFailures = "its requests fail"
)

// Evidence is the result of a probe.
type Evidence uint8

// The results of a probe.
const (
	EvidenceNone        Evidence = iota // no connection, or no answer
	EvidenceConnection                  // something accepts connections at the address
	EvidenceConfirmed                   // the server answered with its name
	EvidenceOtherServer                 // a server with a different name answered
)

// ProbeFinished processes the result of a probe that a plan requested. Results of other probes are ignored.
func (v *Verifier) ProbeFinished(now fleet.Time, server fleet.ServerID, evidence Evidence) {
	c := v.byServer[server]
	if c == nil || !c.probing {
		return
	}
	c.probing = false
	v.changed = true
	v.probesInFlight--
	if c.verdict == VerdictConfirmed {
		return
	}
	if evidence != EvidenceNone {
		v.reachedAny = true
	}
	switch evidence {
	case EvidenceConfirmed:
		c.failedProbes = 0
		c.setUsableVerdict(VerdictProven)
	case EvidenceConnection:
		c.failedProbes = 0
		v.probeConnected(now, c)
	case EvidenceOtherServer:
		v.refute(now, c, reasonOtherServer)
	case EvidenceNone:
		v.probeFailed(now, c)
	}
}

// probeConnected processes a probe that established a connection. A proven server that accepts connections is not
// refuted for failed requests: these are left to the balancer's outlier ejection.
func (v *Verifier) probeConnected(now fleet.Time, c *candidate) {
	switch {
	case c.verdict == VerdictProven:
		c.failures = 0
	case c.failures < minRefutingFailures:
		c.setUsableVerdict(VerdictReachable)
	default:
		v.refute(now, c, reasonOnlyConnects)
	}
}

// probeFailed processes a probe without an answer. It has no effect on a proven server whose requests don't fail, as
// the proxies reach that server.
func (v *Verifier) probeFailed(now fleet.Time, c *candidate) {
	if c.verdict == VerdictProven && c.failures < minRefutingFailures {
		return
	}
	c.failedProbes++
	c.probeAt = now + probeRetryDelay
	if c.failedProbes >= maxFailedProbes && v.reachedAny {
		v.refute(now, c, reasonNoAnswer)
	}
}

// RequestsFinished processes the number of requests to a server that succeeded and failed since the last call.
func (v *Verifier) RequestsFinished(now fleet.Time, server fleet.ServerID, successes, failures float64) {
	if successes > 0 {
		v.lastSuccess = now
		v.failuresSinceSuccess = 0
	} else {
		v.failuresSinceSuccess += failures
	}
	c := v.byServer[server]
	if c == nil || c.verdict == VerdictConfirmed {
		return
	}
	v.changed = true
	c.successes += successes
	if successes > 0 {
		c.failures = 0
	} else {
		c.failures += failures
	}
	v.evaluateOutcomes(now, c)
}

// evaluateOutcomes updates the verdict after outcomes of requests. Failures refute a server at once if it can't be
// probed, and otherwise lead to a probe.
func (v *Verifier) evaluateOutcomes(now fleet.Time, c *candidate) {
	switch {
	case c.successes >= minProvingSuccesses && c.verdict != VerdictProven:
		v.reachedAny = true
		c.setUsableVerdict(VerdictProven)
	case c.failures < minRefutingFailures || c.verdict == VerdictRefuted || c.probing:
	case v.outcomesOnly:
		v.refute(now, c, reasonOnlyFailures)
	case c.probeAt == 0:
		c.probeAt = now // the server may be gone: probe it before refuting it
	}
}

// refute sets VerdictRefuted for the ejection duration, after which the server is probed. Without probes, the server
// is used again after the ejection duration and totalFailureTimeout.
func (v *Verifier) refute(now fleet.Time, c *candidate, reason string) {
	c.verdict = VerdictRefuted
	c.reason = reason
	c.successes = 0
	c.failures = 0
	c.probeAt = now + c.ejectionDuration
	if v.outcomesOnly {
		c.probeAt += totalFailureTimeout
	}
	c.ejectionDuration = min(maxEjectionDuration, 2*c.ejectionDuration)
}

// setUsableVerdict sets a verdict other than VerdictRefuted and resets the ejection duration.
func (c *candidate) setUsableVerdict(verdict HealthVerdict) {
	if verdict != c.verdict {
		c.verdict = verdict
		c.reason = ""
		c.successes = 0
		c.failures = 0
		c.failedProbes = 0
	}
	c.ejectionDuration = minEjectionDuration
	if verdict >= VerdictReachable {
		c.probeAt = 0
	}
}
