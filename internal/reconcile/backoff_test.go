package reconcile

import (
	"testing"

	"cressknot/internal/fleet"
)

// Guards against a drain that is missed as a wait of an outage lasts longer than the drain timeout leaves. The first
// delays stay short, so that a peer that has only restarted is found at once.
func TestDialBackoffStaysWithinMaxDelay(t *testing.T) {
	const maxDelay = 440 * fleet.Millisecond
	for seed := range uint64(1000) {
		backoff := NewDialBackoff(seed*0x9e3779b97f4a7c15, maxDelay)
		for attempt := range 20 {
			limit := min(maxDelay, initialDialDelay<<attempt)
			if delay := backoff.Next(); delay <= 0 || delay > limit {
				t.Fatalf("seed %d: delay %d is %.3f s, want at most %.3f s", seed, attempt, delay.Seconds(), limit.Seconds())
			}
		}
	}
}
