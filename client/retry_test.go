package client

import (
	"context"
	"testing"

	"cressknot/internal/fleet"
)

// TestNoEffectHappensTwice checks retries for all combinations of classes, retry modes and outcomes of up to three
// attempts. After an attempt that may have been executed, a request that is not idempotent must not be retried, and one
// with an idempotency key only within the deduplication window and at servers that recognize the key. The controller's
// retry mode is never exceeded.
func TestNoEffectHappensTwice(t *testing.T) {
	const outcomesOfThreeAttempts = 27
	classes := []fleet.RequestClass{
		{Idempotency: fleet.Idempotent},
		{Idempotency: fleet.NotIdempotent, DeduplicationWindow: 60 * sec, Deadline: 2 * sec},
		{Idempotency: fleet.IdempotentWithKey, DeduplicationWindow: 5 * sec, Deadline: 2 * sec},
		{
			Idempotency:         fleet.IdempotentWithKey,
			DeduplicationScope:  fleet.DeduplicationZone,
			DeduplicationWindow: 5 * sec,
			Deadline:            2 * sec,
		},
	}
	for _, class := range classes {
		for mode := fleet.RetryNever; mode <= fleet.RetryTwice; mode++ {
			for outcomes := range outcomesOfThreeAttempts {
				checkAttempts(t, class, mode, outcomes)
			}
		}
	}
}

// checkAttempts makes up to three attempts. Their outcomes are the base-3 digits of outcomes, the lowest first.
func checkAttempts(t *testing.T, class fleet.RequestClass, mode fleet.RetryMode, outcomes int) {
	t.Helper()
	request := newRequestState(class, mode)
	now := 100 * sec
	executed := false
	windowStart := fleet.Time(0)
	remaining := outcomes
	for retries := range 3 {
		request.beginAttempt()
		outcome := Outcome(remaining % 3)
		remaining /= 3
		request.endAttempt(now, outcome)
		if outcome == Failed && !executed {
			executed = true
			windowStart = now
		}
		now += 2500 * fleet.Millisecond
		target, allowed := request.retry(now, outcome)
		if !allowed {
			return
		}
		if outcome == Success || mode == fleet.RetryNever || retries >= 2 || retries == 1 && mode != fleet.RetryTwice ||
			mode == fleet.RetryIfNotExecuted && outcome != NotExecuted {
			t.Errorf("mode %d, outcomes %d: retry %d allowed after outcome %d", mode, outcomes, retries+1, outcome)
		}
		outsideWindow := now+class.Deadline/2 > windowStart+class.DeduplicationWindow
		notRecognized := class.DeduplicationScope != fleet.DeduplicationFleet && target != sameServer
		if executed && (class.Idempotency == fleet.NotIdempotent ||
			class.Idempotency == fleet.IdempotentWithKey && (outsideWindow || notRecognized)) {
			t.Errorf("idempotency %d, mode %d, outcomes %d: retry %d may repeat an effect",
				class.Idempotency, mode, outcomes, retries+1)
		}
	}
}

// TestRetryBudgetBoundsRetries makes half of the servers fail all attempts. With the budget, clients must send at most
// 20% more attempts than requests; without it at least 50% more, which shows that the scenario causes retries.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	bounded := attemptsPerRequest(t, false)
	unbounded := attemptsPerRequest(t, true)
	t.Logf("%.2f attempts per request with the budget, %.2f without", bounded, unbounded)
	if bounded > 1.2 || unbounded < 1.5 {
		t.Errorf("%.2f attempts per request with the budget, want at most 1.2; %.2f without, want at least 1.5",
			bounded, unbounded)
	}
}

func attemptsPerRequest(t *testing.T, unbounded bool) float64 {
	t.Helper()
	requests := uint64(0)
	attempts := uint64(0)
	for range 20 {
		c := newTestClient(t, fleet.RetryTwice, unbounded, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
		for range 300 {
			_ = c.Do(context.Background(), 0, func(_ context.Context, attempt Attempt) Result {
				if attempt.Server.Name < "s5" {
					attempt.Server.ejectedUntil.Store(0) // keeps the server in use, so that only the budget limits retries
					return Result{Outcome: Failed}
				}
				return Result{}
			})
			for _, server := range c.servers {
				server.ejectedUntil.Store(0)
			}
		}
		counts := c.Counts()
		requests += counts.Requests
		attempts += counts.Attempts
	}
	return float64(attempts) / float64(requests)
}
