package client

import (
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
)

// TestPickerBacksOff checks that the wait for a failing controller grows while the other one is picked, that a
// controller's RetryAfter is respected, and that a controller is picked at once after a success.
func TestPickerBacksOff(t *testing.T) {
	picker := newControllerPicker(2, 3)
	now := 100 * sec
	first, _ := picker.pick(now)
	other := 1 - first
	picker.recordFailure(now, first, nil)
	if next, wait := picker.pick(now); next == first || wait != 0 {
		t.Errorf("after controller %d failed: picked controller %d with a wait of %d ns, want the other one at once",
			first, next, wait)
	}
	picker.recordFailure(now, other, &service.Error{RetryAfter: 60 * sec})
	secondWait := fleet.Time(0)
	for i := range 12 {
		next, wait := picker.pick(now)
		if next != first || wait > maxBackoff || i == 0 && wait > minBackoff {
			t.Fatalf("failure %d: picked controller %d with a wait of %d ns, want controller %d within the backoff limits",
				i+1, next, wait, first)
		}
		if i == 1 {
			secondWait = wait
		}
		now += wait
		if i == 11 && wait < 5*secondWait {
			t.Errorf("backoff of %d ns after %d ns, want at least 5 times as long", wait, secondWait)
		}
		picker.recordFailure(now, next, nil)
	}
	if at := picker.candidates[other].notBefore; at < 160*sec || at > 191*sec {
		t.Errorf("next attempt after %.1f s, want 60 s to 91 s", (at - 100*sec).Seconds())
	}
	picker.recordSuccess(first)
	if next, wait := picker.pick(now); next != first || wait != 0 {
		t.Errorf("after controller %d succeeded: picked controller %d with a wait of %d ns", first, next, wait)
	}
}

// TestPickerSpreadsReconnects checks that clients that lose a controller at the same time reconnect at different times.
func TestPickerSpreadsReconnects(t *testing.T) {
	waits := map[fleet.Time]int{}
	for seed := range uint64(1000) {
		picker := newControllerPicker(1, seed)
		picker.recordFailure(0, 0, nil)
		_, wait := picker.pick(0)
		waits[wait/(5*fleet.Millisecond)]++
	}
	for at, clients := range waits {
		if clients > 200 {
			t.Errorf("%d of 1000 clients reconnect after %d ms, want at most 200", clients, at*5)
		}
	}
}

// TestPickerFindsRecoveredControllerWithinDrainTimeout guards against a client that goes on with an old table after a
// long outage: the wait for the next attempt, and one that began in the outage, must be shorter than the shortest drain
// timeout of a deployment.
func TestPickerFindsRecoveredControllerWithinDrainTimeout(t *testing.T) {
	const shortestDrainTimeout = 2 * sec
	for seed := range uint64(1000) {
		picker := newControllerPicker(1, seed)
		for failure := range 20 {
			picker.recordFailure(0, 0, nil)
			_, wait := picker.pick(0)
			if sum := wait + fleet.Time(service.ClientDialTimeout); sum >= shortestDrainTimeout {
				t.Fatalf("seed %d: %.2f s after failure %d, want less than %.2f s",
					seed, sum.Seconds(), failure+1, shortestDrainTimeout.Seconds())
			}
		}
	}
}
