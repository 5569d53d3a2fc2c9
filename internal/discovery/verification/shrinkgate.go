package verification

import "cressknot/internal/fleet"

const (
	// minGatedServers is the size from which a list is checked. Half of a smaller one may well go.
	minGatedServers = 4

	// minRemainingFraction of the servers must be named again.
	minRemainingFraction = 0.5

	// acceptDelayFraction of the drain timeout passes before a list is accepted anyway: it is binding once it is received.
	acceptDelayFraction = 0.5

	// repeatDelayFraction of the drain timeout passes before the source is asked again. A list that is repeated sooner
	// doesn't count as repeated.
	repeatDelayFraction = 0.25
)

// GateDecision is what to do with a complete list.
type GateDecision uint8

// The decisions of a ShrinkGate.
const (
	AcceptList GateDecision = iota // accept the list
	HoldList                       // hold it back, and ask the source again
)

// ShrinkGate checks complete lists before they are accepted. A source that recovers from a fault may give a part of
// the list as if it were complete; accepted at once, that would put all requests on the remaining servers. Such a
// list is held back and requested again. It is accepted when it is repeated, or when nothing better comes within a
// part of the drain timeout, since the servers that it doesn't name may really be gone.
type ShrinkGate struct {
	drainTimeout   fleet.Time
	holding        bool
	fetchRequested bool // the list was requested again
	heldSince      fleet.Time
	digest         uint64
	Held           uint64 // count of lists that were held back
	Superseded     uint64 // count of those that a complete one replaced
}

// NewShrinkGate returns a gate for servers with the given drain timeout.
func NewShrinkGate(drainTimeout fleet.Time) *ShrinkGate {
	return &ShrinkGate{drainTimeout: drainTimeout}
}

// Check checks a complete list. Of the known servers, so many remain; the digest tells lists apart.
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
	if !g.holding { // another short list does not extend the delay
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

// Due reports whether the list that is held back is to be accepted now, whether it is to be requested again, and
// when to call Due again (0: no list is held back).
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

// Reset forgets the list that is held back, as it was accepted.
func (g *ShrinkGate) Reset() { g.holding = false }
