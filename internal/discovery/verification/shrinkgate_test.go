package verification

import (
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

const drainTimeout = 3 * second

// A list of less than half is held back, and accepted when it is repeated or its time is over; a complete one in
// between replaces it. Small fleets and ordinary changes pass.
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
		{at: 3*second + half, known: 20, remaining: 20, digest: 4, want: AcceptList}, // the one before was a part
		{at: 5 * second, known: 20, remaining: 5, digest: 5, want: HoldList},
		{at: 5*second + half, known: 20, remaining: 5, digest: 5, want: HoldList}, // repeated too soon
		{at: 6 * second, known: 20, remaining: 5, digest: 5, want: AcceptList},
		{at: 8 * second, known: 20, remaining: 5, digest: 6, want: HoldList},
		{at: 8*second + half, known: 20, remaining: 6, digest: 7, want: HoldList}, // another one each time
		{at: 9*second + half, known: 20, remaining: 6, digest: 8, want: AcceptList},
	} {
		if got := gate.Check(list.at, list.known, list.remaining, list.digest); got != list.want {
			t.Errorf("at %.1f s: %d of %d: decision %d", list.at.Seconds(), list.remaining, list.known, got)
		}
	}
	accept, fetch, wake := gate.Due(20 * second)
	if accept || fetch || wake != 0 || gate.Held != 3 || gate.Superseded != 1 {
		t.Errorf("%v %v %d, %d held, %d superseded", accept, fetch, wake, gate.Held, gate.Superseded)
	}
}

// gateRun checks a gate against the times of what it holds back.
type gateRun struct {
	gate      *ShrinkGate
	now       fleet.Time
	heldSince fleet.Time // of the list that is held back; 0: none
	fetches   int
}

const maxHold = drainTimeout / 2

func (r *gateRun) checkDue(t *rapid.T) {
	accept, fetch, wake := r.gate.Due(r.now)
	if fetch {
		r.fetches++
	}
	if r.fetches > int(r.gate.Held) {
		t.Fatalf("%d requests for %d lists", r.fetches, r.gate.Held)
	}
	if accept {
		if r.now < r.heldSince+maxHold {
			t.Fatalf("accepted after %d ms", (r.now-r.heldSince)/fleet.Millisecond)
		}
		r.heldSince = 0
		return
	}
	if r.heldSince > 0 && (wake == 0 || wake > r.heldSince+maxHold) {
		t.Fatalf("held back since %d, due again at %d", r.heldSince, wake)
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

// Whatever lists come when, each takes effect within half the drain timeout.
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
