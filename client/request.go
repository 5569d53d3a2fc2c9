package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cressknot/internal/fleet"
)

const (
	// admissionUnit is the value of an admission limit that admits every request.
	admissionUnit = 1000
	// maxAttempts is more than the attempts of a request can be: none waits for the request when it ends.
	maxAttempts = 4
)

// Attempt is one attempt of a request, to be sent to a server.
type Attempt struct {
	Server     *Server
	Number     int  // from 0
	MayHaveRun bool // an earlier attempt may have been executed
}

// Result is the outcome of an attempt.
type Result struct {
	Outcome Outcome
	Load    []uint32 // load values of the server in thousandths, if the answer had any
	Err     error
}

// SendFunc sends one attempt. It must stop when its context ends.
type SendFunc = func(context.Context, Attempt) Result

// Do sends one request of a class: it picks a server, lets send attempt it, and retries where that is safe, the
// controller allows it and the retry budget suffices. It returns when an attempt succeeds, when none may follow, or
// at once when the context ends. No effect happens twice through it: what may have been executed is not sent again
// unless the class allows repetitions.
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

// finishedAttempt is an attempt that has ended.
type finishedAttempt struct {
	server    *Server
	startedAt fleet.Time
	result    Result
}

// requestRun carries out the attempts of one request.
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

// run makes attempts until one succeeds or none may follow, and a hedged request if the first is slow and the client is
// configured so.
func (r *requestRun) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends attempts that are still in flight
	r.startAttempt(ctx, r.table.pick(r.client.nowNanos, nil))
	var hedgeDue <-chan time.Time
	if r.mayHedge() {
		timer := time.NewTimer(time.Duration(r.state.class.LatencyObjective.Scale(hedgeDelayFraction)))
		defer timer.Stop()
		hedgeDue = timer.C
	}
	for {
		select {
		case <-ctx.Done(): // the answer is final, whatever is still in flight
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

// mayHedge reports whether a hedged request may be sent.
func (r *requestRun) mayHedge() bool {
	return r.client.config.Hedge &&
		r.state.class.Idempotency == fleet.Idempotent &&
		r.table.retry != fleet.RetryNever &&
		len(r.table.servers) > 1
}

// startAttempt sends an attempt. One that may be followed by another has the latency objective as its timeout.
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

// attemptFinished handles the end of an attempt and starts a retry where one may follow. Ended reports that the
// request is answered, by err.
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
	// The newest table may no longer have the server that failed.
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

// attemptsFailed wraps the error of the last attempt, which may be nil.
func attemptsFailed(last error) error {
	if last == nil {
		return ErrFailed
	}
	return fmt.Errorf("%w: %w", ErrFailed, last)
}
