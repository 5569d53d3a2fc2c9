package client

import (
	"sync"

	"cressknot/internal/fleet"
)

const (
	// retriesPerRequest is what each request adds to the retry budget: while half of a fleet fails, a tenth more attempts
	// are sent, not half as many again.
	retriesPerRequest = 0.1
	// maxRetryTokens bounds the saved budget: a quiet client may retry after the first failures of a fault.
	maxRetryTokens = 10.0
	// hedgeDelayFraction of the latency objective is when a hedged request may be sent.
	hedgeDelayFraction = 0.5
)

// Outcome is the outcome of an attempt.
type Outcome uint8

// The outcomes.
const (
	Success     Outcome = iota
	NotExecuted         // proof exists that it had no effect: no connection, or the server said so
	Failed              // it may have been executed
)

// retryTarget is where a retry may go.
type retryTarget uint8

const (
	otherServer retryTarget = iota
	sameServer              // the only one that surely recognizes the repetition
)

// requestState is the state of one request's attempts. It does no I/O and reads no clock.
type requestState struct {
	class       fleet.RequestClass
	mode        fleet.RetryMode
	attempts    int
	mayHaveRun  bool
	windowStart fleet.Time // when the first attempt began that may have been executed
}

// newRequestState begins a request of a class under the controller's retry mode.
func newRequestState(class fleet.RequestClass, mode fleet.RetryMode) requestState {
	return requestState{class: class, mode: mode}
}

// maxRetries returns how many retries a mode allows after attempts that may have been executed.
func maxRetries(mode fleet.RetryMode) int {
	switch mode {
	case fleet.RetryOnce:
		return 1
	case fleet.RetryTwice:
		return 2
	}
	return 0
}

// beginAttempt begins an attempt, and reports whether another one may follow it whatever its outcome.
func (r *requestState) beginAttempt() (mayBeRetried bool) {
	r.attempts++
	return r.attempts <= maxRetries(r.mode) && r.class.Idempotency != fleet.NotIdempotent
}

// endAttempt records the outcome of an attempt that began at the given time.
func (r *requestState) endAttempt(startedAt fleet.Time, outcome Outcome) {
	if outcome == Failed && !r.mayHaveRun {
		r.mayHaveRun = true
		r.windowStart = startedAt
	}
}

// retry reports whether the request may be retried now, and where. No effect happens twice: a request that is not
// idempotent is retried only while no attempt may have been executed; one with an idempotency key within its window,
// counted from the first attempt that may have been executed, where servers recognize the repetition.
func (r *requestState) retry(now fleet.Time, last Outcome) (target retryTarget, allowed bool) {
	if last == Success || !r.modeAllowsRetry(last) {
		return otherServer, false
	}
	if !r.mayHaveRun || r.class.Idempotency == fleet.Idempotent {
		return otherServer, true
	}
	latestArrival := now + r.class.Deadline/2 // the repetition must arrive within the window, too
	if r.class.Idempotency == fleet.NotIdempotent || latestArrival > r.windowStart+r.class.DeduplicationWindow {
		return otherServer, false
	}
	if r.class.DeduplicationScope == fleet.DeduplicationFleet {
		return otherServer, true
	}
	return sameServer, true
}

func (r *requestState) modeAllowsRetry(last Outcome) bool {
	if r.mode == fleet.RetryIfNotExecuted {
		return r.attempts == 1 && last == NotExecuted
	}
	return r.attempts <= maxRetries(r.mode)
}

// retryBudget bounds retries and hedged requests by the number of requests, so that a client never feeds an overload.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
	denied uint64
}

// newRetryBudget makes a full budget.
func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// deposit adds what a request earns.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+retriesPerRequest)
}

// withdraw takes the cost of a retry, if the budget has it.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	return true
}

func (b *retryBudget) deniedCount() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.denied
}
