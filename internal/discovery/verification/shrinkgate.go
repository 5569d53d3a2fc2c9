package verification

import "cressknot/internal/fleet"

const (
	// minGatedServers is the number of known servers from which lists are checked. In a smaller fleet, half of the servers
	// may go at once in normal operation.
	minGatedServers = 4

	// minRemainingFraction of the known servers must be in a list for it to be accepted at once.
	minRemainingFraction = 0.5

	// acceptDelayFraction of the drain timeout is the maximum time that a list is held back: a received list is binding.
	acceptDelayFraction = 0.5

	// repeatDelayFraction of the drain timeout is the time until the list is fetched again. The same list received earlier
	// does not count as repeated.
	repeatDelayFraction = 0.25
)

// GateDecision is the decision of a ShrinkGate about a complete list.
type GateDecision uint8

// The decisions of a ShrinkGate.
const (
	AcceptList GateDecision = iota // accept the list
	HoldList                       // hold the list back until Due or Check accepts one
)

// ShrinkGate checks complete lists before they are accepted. A source that recovers from a fault may deliver a part of
// the list as if it were complete; accepting it at once would send all requests to the remaining servers. Such a list
// is held back and fetched again. It is accepted when the source repeats it, or when no fuller list arrives within a
// fraction of the drain timeout, since the missing servers may really be gone. A ShrinkGate is not safe for concurrent
// use.
type ShrinkGate struct {
	drainTimeout   fleet.Time
	holding        bool
	fetchRequested bool // Due has requested the list again
	heldSince      fleet.Time
	digest         uint64
	Held           uint64 // number of times that a list was held back
	Superseded     uint64 // number of times that a fuller list replaced the held one
}

// NewShrinkGate returns a gate whose delays are fractions of the given drain timeout.
func NewShrinkGate(drainTimeout fleet.Time) *ShrinkGate {
	return &ShrinkGate{drainTimeout: drainTimeout}
}

// Check decides about a complete list that contains remaining of the known servers. The digest identifies its content.
func (g *ShrinkGate) Check(now fleet.Time, known, remaining int, digest uint64) GateDecision {
	if known < minGatedServers || float64(remaining) >= minRemainingFraction*float64(known) {
		if g.holding {
			g.Superseded++
		}
		g.holding = false
		return AcceptList
	}
	held := now - g.heldSince
	repeated := digest == g.digest && held >= g.repeatDelay()
	if g.holding && (repeated || held >= g.acceptDelay()) {
		g.holding = false
		return AcceptList
	}
	if !g.holding { // a further short list does not extend the delay
		g.holding = true
		g.fetchRequested = false
		g.heldSince = now
		g.Held++
	}
	g.digest = digest
	return HoldList
}

func (g *ShrinkGate) acceptDelay() fleet.Time { return g.drainTimeout.Scale(acceptDelayFraction) }
func (g *ShrinkGate) repeatDelay() fleet.Time { return g.drainTimeout.Scale(repeatDelayFraction) }

// Due reports whether the caller must accept the held list now or fetch the list again, and when to call Due again
// (0: no list is held back). After accept the gate holds no list.
func (g *ShrinkGate) Due(now fleet.Time) (accept, fetch bool, wake fleet.Time) {
	if !g.holding {
		return false, false, 0
	}
	fetchAt := g.heldSince + g.repeatDelay()
	acceptAt := g.heldSince + g.acceptDelay()
	switch {
	case now >= acceptAt:
		g.holding = false
		return true, false, 0
	case g.fetchRequested:
		return false, false, acceptAt
	case now >= fetchAt:
		g.fetchRequested = true
		return false, true, acceptAt
	}
	return false, false, fetchAt
}

// Reset ends the holding of a list that the caller has accepted by itself.
func (g *ShrinkGate) Reset() { g.holding = false }
