package client

import (
	"sync"

	"cressknot/internal/fleet"
)

const (
	// retriesPerRequest is the number of tokens that each request adds to the retry budget. With half of the fleet
	// failing, clients send 10% more attempts than requests instead of 50% more.
	retriesPerRequest = 0.1
	// maxRetryTokens bounds the saved tokens, which let a client with few requests retry the first failures of an outage.
	maxRetryTokens = 10.0
	// hedgeDelayFraction is the fraction of the latency objective after which a hedged request may be sent.
	hedgeDelayFraction = 0.5
)

// Outcome is the outcome of an attempt.
type Outcome uint8

// Outcomes of attempts. Use NotExecuted only with proof: it allows retries of requests that are not idempotent.
const (
	Success     Outcome = iota
	NotExecuted         // failed, and provably not executed: no connection was made, or the server refused the request
	Failed              // failed, and may have been executed
)

// retryTarget is the server to which a retry may be sent.
type retryTarget uint8

const (
	otherServer retryTarget = iota
	sameServer              // only this server is certain to recognize the idempotency key
)

// requestState is the state of one request's attempts. It does no I/O and reads no clock.
type requestState struct {
	class       fleet.RequestClass
	mode        fleet.RetryMode
	attempts    int
	mayHaveRun  bool
	windowStart fleet.Time // start of the first attempt that may have been executed; begins the deduplication window
}

// newRequestState returns the state of a request without attempts, for the controller's retry mode.
func newRequestState(class fleet.RequestClass, mode fleet.RetryMode) requestState {
	return requestState{class: class, mode: mode}
}

// maxRetries returns the number of retries that a mode allows after attempts that may have been executed.
func maxRetries(mode fleet.RetryMode) int {
	switch mode {
	case fleet.RetryOnce:
		return 1
	case fleet.RetryTwice:
		return 2
	}
	return 0
}

// beginAttempt counts an attempt. It reports whether the mode and the class allow a retry even if it may have been
// executed.
func (r *requestState) beginAttempt() (mayBeRetried bool) {
	r.attempts++
	return r.attempts <= maxRetries(r.mode) && r.class.Idempotency != fleet.NotIdempotent
}

// endAttempt records the outcome of an attempt that was started at the given time.
func (r *requestState) endAttempt(startedAt fleet.Time, outcome Outcome) {
	if outcome == Failed && !r.mayHaveRun {
		r.mayHaveRun = true
		r.windowStart = startedAt
	}
}

// retry reports whether the request may be retried now, and where. To apply no effect twice, a request that is not
// idempotent is retried only while no attempt may have been executed. After that, a request with an idempotency key is
// retried only within the deduplication window, which starts with the first attempt that may have been executed, and
// only at servers that recognize the key.
func (r *requestState) retry(now fleet.Time, last Outcome) (target retryTarget, allowed bool) {
	if last == Success || !r.modeAllowsRetry(last) {
		return otherServer, false
	}
	if !r.mayHaveRun || r.class.Idempotency == fleet.Idempotent {
		return otherServer, true
	}
	latestArrival := now + r.class.Deadline/2 // the retry must also arrive within the window
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

// retryBudget is a token bucket that limits retries and hedged requests to a fraction of the requests, so that retries
// do not amplify an overload.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
	denied uint64
}

// newRetryBudget returns a full budget.
func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// deposit adds the tokens for one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+retriesPerRequest)
}

// withdraw takes one token for a retry. It returns false, and counts a denial, if there is none.
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
