package client

import (
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
)

// TestPickerBacksOff checks that a controller that fails waits longer each time while others are asked, that one that
// asks for a longer wait gets it, and that one that serves is asked at once.
func TestPickerBacksOff(t *testing.T) {
	picker := newControllerPicker(2, 3)
	now := 100 * sec
	first, _ := picker.pick(now)
	other := 1 - first
	picker.failed(now, first, nil)
	if next, wait := picker.pick(now); next == first || wait != 0 {
		t.Errorf("%d after %d, in %d", next, first, wait)
	}
	picker.failed(now, other, &service.Error{RetryAfter: 60 * sec})
	secondWait := fleet.Time(0)
	for i := range 12 {
		next, wait := picker.pick(now)
		if next != first || wait > maxBackoff || i == 0 && wait > minBackoff {
			t.Fatalf("controller %d in %d", next, wait)
		}
		if i == 1 {
			secondWait = wait
		}
		now += wait
		if i == 11 && wait < 5*secondWait {
			t.Errorf("waits %d, then %d", secondWait, wait)
		}
		picker.failed(now, next, nil)
	}
	if at := picker.candidates[other].notBefore; at < 160*sec || at > 191*sec {
		t.Errorf("asked again after %.1f s, 60 were asked for", (at - 100*sec).Seconds())
	}
	picker.serving(first)
	if next, wait := picker.pick(now); next != first || wait != 0 {
		t.Error("one that served is not asked")
	}
}

// TestPickerSpreadsReconnects checks that clients that lost a controller at the same time don't reconnect at the same
// time.
func TestPickerSpreadsReconnects(t *testing.T) {
	waits := map[fleet.Time]int{}
	for seed := range uint64(1000) {
		picker := newControllerPicker(1, seed)
		picker.failed(0, 0, nil)
		_, wait := picker.pick(0)
		waits[wait/(5*fleet.Millisecond)]++
	}
	for at, clients := range waits {
		if clients > 200 {
			t.Errorf("%d of 1000 reconnect after %d ms", clients, at*5)
		}
	}
}
