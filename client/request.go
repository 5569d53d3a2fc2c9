package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cressknot/internal/fleet"
)

const (
	// admissionUnit is the admission limit that admits every request.
	admissionUnit = 1000
	// maxAttempts exceeds the number of attempts that a request can have: attempts that end after their request never
	// block on its channel.
	maxAttempts = 4
)

// Attempt describes one attempt of a request, which is to be sent to Server.
type Attempt struct {
	Server     *Server
	Number     int  // 0 for the first attempt of the request
	MayHaveRun bool // an earlier attempt of the request may have been executed
}

// Result is the result of an attempt. The zero value is a success.
type Result struct {
	Outcome Outcome
	Load    []uint32 // load values of the server in thousandths, at most 4, from a successful response; may be nil
	Err     error    // cause of a failure, wrapped in the error of Do; may be nil
}

// SendFunc sends one attempt and returns its result. It must return when its context ends. It is called in a goroutine
// of its own: calls for one request may overlap, and one may still run after Do has returned, with its context
// cancelled.
type SendFunc = func(context.Context, Attempt) Result

// Do sends one request of the class with the given index, as returned by Client.Class. It picks a server, calls send
// for the attempt, and retries where that is safe, the controller's retry mode allows it and the retry budget suffices.
// A request that may have been executed is sent again only if its class is idempotent, or within the class's
// deduplication window if the class has idempotency keys.
//
// Do returns nil when an attempt succeeds, and an error when no attempt may follow or as soon as the context or the
// class's deadline ends. The error is one of Pick's, ErrRejected if the admission limit of the class rejected the
// request before the first attempt, or wraps ErrFailed.
func (c *Client) Do(ctx context.Context, class int, send SendFunc) error {
	table, err := c.lookup(class)
	if err != nil {
		return err
	}
	requestClass := (*c.classes.Load())[class]
	demand := &(*c.demand.Load())[class]
	c.requests.Add(1)
	demand.requests.Add(1)
	c.budget.deposit()
	if table.admissionLimit >= 0 && rand.IntN(admissionUnit) >= table.admissionLimit {
		return ErrRejected
	}
	if deadline := time.Duration(requestClass.Deadline); deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, deadline)
		defer cancel()
	}
	run := requestRun{
		client:   c,
		class:    class,
		table:    table,
		send:     send,
		state:    newRequestState(requestClass, table.retry),
		finished: make(chan finishedAttempt, maxAttempts),
	}
	err = run.run(ctx)
	if err != nil {
		demand.unanswered.Add(1)
	}
	return err
}

// finishedAttempt is an attempt that has ended, with its result.
type finishedAttempt struct {
	server    *Server
	startedAt fleet.Time
	result    Result
}

// requestRun executes one request.
type requestRun struct {
	client     *Client
	class      int
	table      *classTable
	send       SendFunc
	state      requestState
	finished   chan finishedAttempt
	inFlight   int
	lastServer *Server // of the newest attempt
}

// run makes attempts until one succeeds or none may follow. If hedging is enabled and the first attempt is slow, it
// sends a hedged request.
func (r *requestRun) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels attempts that are still in flight
	r.startAttempt(ctx, r.table.pick(r.client.nowNanos, nil))
	var hedgeDue <-chan time.Time
	if r.mayHedge() {
		timer := time.NewTimer(time.Duration(r.state.class.LatencyObjective.Scale(hedgeDelayFraction)))
		defer timer.Stop()
		hedgeDue = timer.C
	}
	for {
		select {
		case <-ctx.Done(): // does not wait for attempts in flight
			return fmt.Errorf("%w: %w", ErrFailed, ctx.Err())
		case <-hedgeDue:
			hedgeDue = nil
			if r.inFlight == 1 && r.state.attempts == 1 && r.client.takeRetryToken() {
				r.startAttempt(ctx, r.table.pick(r.client.nowNanos, r.lastServer))
			}
		case attempt := <-r.finished:
			if ended, err := r.attemptFinished(ctx, attempt); ended {
				return err
			}
		}
	}
}

// mayHedge reports whether the request may be hedged.
func (r *requestRun) mayHedge() bool {
	return r.client.config.Hedge &&
		r.state.class.Idempotency == fleet.Idempotent &&
		r.table.retry != fleet.RetryNever &&
		len(r.table.servers) > 1
}

// startAttempt starts an attempt in a goroutine. An attempt that may be retried is limited to the latency objective of
// the class.
func (r *requestRun) startAttempt(ctx context.Context, server *Server) {
	c := r.client
	mayBeRetried := r.state.beginAttempt()
	cancel := context.CancelFunc(func() {})
	if objective := time.Duration(r.state.class.LatencyObjective); mayBeRetried && objective > 0 {
		ctx, cancel = context.WithTimeout(ctx, objective)
	}
	attempt := Attempt{
		Server:     server,
		Number:     r.state.attempts - 1,
		MayHaveRun: r.state.mayHaveRun,
	}
	r.lastServer = server
	r.inFlight++
	c.attempts.Add(1)
	send := r.send
	finished := r.finished
	go func() {
		defer cancel()
		startedAt := c.config.Clock()
		result := send(ctx, attempt)
		millis := uint64(max(0, (c.config.Clock()-startedAt)/fleet.Millisecond))
		server.recordAttempt(c.nowNanos(), result.Outcome, millis, result.Load)
		finished <- finishedAttempt{server, startedAt, result}
	}()
}

// attemptFinished handles the end of an attempt and starts a retry if one is allowed. It reports whether the request
// has ended; err is then its result.
func (r *requestRun) attemptFinished(ctx context.Context, attempt finishedAttempt) (ended bool, err error) {
	r.inFlight--
	outcome := attempt.result.Outcome
	if outcome == Success {
		return true, nil
	}
	r.state.endAttempt(attempt.startedAt, outcome)
	if r.inFlight > 0 {
		return false, nil
	}
	target, allowed := r.state.retry(r.client.config.Clock(), outcome)
	if !allowed || ctx.Err() != nil || !r.client.takeRetryToken() {
		return true, attemptsFailed(attempt.result.Err)
	}
	// The current table may no longer contain the server that failed.
	if table, err := r.client.lookup(r.class); err == nil {
		r.table = table
	}
	if target == sameServer {
		r.startAttempt(ctx, attempt.server)
	} else {
		r.startAttempt(ctx, r.table.pick(r.client.nowNanos, r.lastServer))
	}
	return false, nil
}

func (c *Client) takeRetryToken() bool { return c.config.UnboundedRetries || c.budget.withdraw() }

// attemptsFailed returns ErrFailed wrapping the error of the last attempt, which may be nil.
func attemptsFailed(last error) error {
	if last == nil {
		return ErrFailed
	}
	return fmt.Errorf("%w: %w", ErrFailed, last)
}
