// Package boot decides what to make of lists that come when little is sure: now a whole list that names fewer than half of
// the servers that the one before named. It is pure: no I/O, no clock.
package verification

import "cressknot/internal/fleet"

const (
	fewest    = 4    // servers listed before: of fewer, half may well go
	share     = 0.5  // of them that must still be named
	gracePart = 0.5  // of the grace of a drain that may pass before a list is obeyed: what it tells binds once it is told
	againPart = 0.25 // of it after which the source is asked again: said twice in one breath is said once
)

// Verdict says what is done with a whole list.
type Verdict uint8

// The verdicts.
const (
	Take Verdict = iota
	Hold         // and ask again
)

// ShrinkGate looks at whole lists before they are taken. A source that comes back from trouble may tell a part as if it were all; obeyed
// at once that would crowd all visits on what is left. So such a list is held and asked for again: said twice, or with nothing
// better within half a drain's grace, it is obeyed, since those it leaves out may be gone in truth.
type ShrinkGate struct {
	grace  fleet.Time
	held   bool
	asked  bool
	since  fleet.Time
	digest uint64
	Held   uint64 // lists that were held, for operators
	Better uint64 // of them, those that a whole one replaced
}

// NewShrinkGate makes a gate for servers whose drains have a grace.
func NewShrinkGate(grace fleet.Time) *ShrinkGate { return &ShrinkGate{grace: grace} }

// Whole looks at a whole list: known servers were named before, stay of them still are; digest tells lists apart.
func (g *ShrinkGate) Whole(now fleet.Time, known, stay int, digest uint64) Verdict {
	if known < fewest || float64(stay) >= share*float64(known) {
		if g.held {
			g.Better++
		}
		g.held = false
		return Take
	}
	if again := now - g.since; g.held && (digest == g.digest && again >= g.grace.Scale(againPart) || again >= g.wait()) {
		g.held = false
		return Take
	}
	if !g.held { // another short one while one is held does not begin the wait anew
		g.held, g.asked, g.since = true, false, now
		g.Held++
	}
	g.digest = digest
	return Hold
}

func (g *ShrinkGate) wait() fleet.Time { return g.grace.Scale(gracePart) }

// Due tells whether what is held is to be obeyed now, whether the source is to be asked again, and when to look again (0: nothing is
// held).
func (g *ShrinkGate) Due(now fleet.Time) (obey, ask bool, wake fleet.Time) {
	if !g.held {
		return false, false, 0
	}
	again, at := g.since+g.grace.Scale(againPart), g.since+g.wait()
	switch {
	case now >= at:
		g.held = false
		return true, false, 0
	case g.asked:
		return false, false, at
	case now >= again:
		g.asked = true
		return false, true, at
	}
	return false, false, again
}

// Drop forgets what is held: it was taken.
func (g *ShrinkGate) Drop() { g.held = false }
