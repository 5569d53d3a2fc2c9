package verification

import "cressknot/internal/fleet"

const (
	// probeRetryDelay follows a probe without an answer. A process that restarts is back by then or seconds later.
	probeRetryDelay = 500 * fleet.Millisecond

	// maxFailedProbes in a row refute a server; a single one may be chance.
	maxFailedProbes = 2

	// minProvingSuccesses is the number of successful requests that prove a server. Fewer may have been answered by
	// another one.
	minProvingSuccesses = 3

	// minRefutingFailures is the number of failed requests without a success that speak against a server. By chance, so
	// many fail once in 3000 cases.
	minRefutingFailures = 8
)

// Reasons of VerdictRefuted, which operators see.
const (
	reasonAddressTaken = "its address is another server's by the same list"
	reasonOtherServer  = "another server answers at its address"
	reasonNoAnswer     = "nobody answers at its address"
	reasonOnlyConnects = "answers at its address, but handles no visit"
	reasonOnlyFailures = "handles no visit"
)

// Evidence is the result of a probe.
type Evidence uint8

// The results of a probe.
const (
	EvidenceNone        Evidence = iota // no connection, or no answer
	EvidenceConnection                  // something accepts connections at the address
	EvidenceConfirmed                   // the server answered with its name
	EvidenceOtherServer                 // another server answered
)

// ProbeFinished takes in the result of a probe that a plan requested.
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

// connected takes in that something accepts connections at the server's address. Failures of a server that is there are
// left to the balancer's outlier ejection.
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

// probeFailed takes in a probe without an answer. It says nothing of a server that proxies reach.
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

// RequestsFinished takes in the outcomes of requests to a server.
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

func (v *Verifier) evaluateOutcomes(now fleet.Time, c *candidate) {
	switch {
	case c.successes >= minProvingSuccesses && c.verdict != VerdictProven:
		v.reachedAny = true
		c.setUsableVerdict(VerdictProven)
	case c.failures < minRefutingFailures || c.verdict == VerdictRefuted || c.probing:
	case v.outcomesOnly:
		v.refute(now, c, reasonOnlyFailures)
	case c.probeAt == 0:
		c.probeAt = now // it may be gone: it is probed before it is judged
	}
}

// refute gives a server the verdict that it can't be used, until its next probe.
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

// raise gives a server a verdict that lets it be used.
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
