package verification

import (
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

const drainTimeout = 3 * second

// A recovering source may deliver a part of the list as complete. A list with less than half of the servers is held
// back until it is repeated or the delay is over, and a complete list in between replaces it. Lists of small fleets and
// ordinary changes are accepted at once.
func TestShrinkGateHoldsShortLists(t *testing.T) {
	const half = second / 2
	gate := NewShrinkGate(drainTimeout)
	for _, list := range []struct {
		at        fleet.Time
		known     int
		remaining int
		digest    uint64
		want      GateDecision
	}{
		{at: 1 * second, known: 3, remaining: 0, digest: 1, want: AcceptList},
		{at: 2 * second, known: 20, remaining: 10, digest: 2, want: AcceptList},
		{at: 3 * second, known: 20, remaining: 9, digest: 3, want: HoldList},
		{at: 3*second + half, known: 20, remaining: 20, digest: 4, want: AcceptList}, // the list before was incomplete
		{at: 5 * second, known: 20, remaining: 5, digest: 5, want: HoldList},
		{at: 5*second + half, known: 20, remaining: 5, digest: 5, want: HoldList}, // repeated too soon
		{at: 6 * second, known: 20, remaining: 5, digest: 5, want: AcceptList},
		{at: 8 * second, known: 20, remaining: 5, digest: 6, want: HoldList},
		{at: 8*second + half, known: 20, remaining: 6, digest: 7, want: HoldList}, // a different list each time
		{at: 9*second + half, known: 20, remaining: 6, digest: 8, want: AcceptList},
	} {
		if got := gate.Check(list.at, list.known, list.remaining, list.digest); got != list.want {
			t.Errorf("at %.1f s: %d of %d servers: decision %d, want %d",
				list.at.Seconds(), list.remaining, list.known, got, list.want)
		}
	}
	accept, fetch, wake := gate.Due(20 * second)
	if accept || fetch || wake != 0 || gate.Held != 3 || gate.Superseded != 1 {
		t.Errorf("%v %v %d, %d held, %d superseded", accept, fetch, wake, gate.Held, gate.Superseded)
	}
}

// gateRun is a random run of a gate that checks how long the gate holds lists back.
type gateRun struct {
	gate      *ShrinkGate
	now       fleet.Time
	heldSince fleet.Time // when the held list was first held back; 0: none
	fetches   int
}

const maxHold = drainTimeout / 2

func (r *gateRun) checkDue(t *rapid.T) {
	accept, fetch, wake := r.gate.Due(r.now)
	if fetch {
		r.fetches++
	}
	if r.fetches > int(r.gate.Held) {
		t.Fatalf("%d fetches requested for %d held lists", r.fetches, r.gate.Held)
	}
	if accept {
		if r.now < r.heldSince+maxHold {
			t.Fatalf("accepted after %d ms", (r.now-r.heldSince)/fleet.Millisecond)
		}
		r.heldSince = 0
		return
	}
	if r.heldSince > 0 && (wake == 0 || wake > r.heldSince+maxHold) {
		t.Fatalf("held back since %d, next call due at %d", r.heldSince, wake)
	}
}

func (r *gateRun) offerList(t *rapid.T) {
	remaining := rapid.IntRange(0, 20).Draw(t, "remaining")
	digest := rapid.Uint64Range(0, 3).Draw(t, "digest")
	switch r.gate.Check(r.now, 20, remaining, digest) {
	case AcceptList:
		r.heldSince = 0
	case HoldList:
		if r.heldSince == 0 {
			r.heldSince = r.now
		}
	}
}

// A gate must not keep the endpoint list outdated: whatever lists arrive at whatever times, each takes effect within
// half of the drain timeout.
func TestShrinkGateHoldsNothingForLong(t *testing.T) {
	const maxStep = 900 * fleet.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		run := gateRun{gate: NewShrinkGate(drainTimeout), now: second}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			run.now += fleet.Time(rapid.IntRange(1, int(maxStep/fleet.Millisecond)).Draw(t, "ms")) * fleet.Millisecond
			run.checkDue(t)
			if rapid.Bool().Draw(t, "list") {
				run.offerList(t)
			}
			if run.heldSince > 0 && run.now >= run.heldSince+maxHold+maxStep {
				t.Fatalf("held back for %d ms", (run.now-run.heldSince)/fleet.Millisecond)
			}
		}
	})
}
