package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	// callTimeout is the relay's answer time of 50 ms plus an allowance for scheduling delays: this process may be
	// limited to a fraction of a core.
	callTimeout = 300 * time.Millisecond

	// maxAnswerSize is in bytes.
	maxAnswerSize = 64 << 10

	// rejectedCallDelay is the delay before the retry of a call that the relay rejected.
	rejectedCallDelay = 150 * time.Millisecond

	// The delay after a call with an unknown outcome doubles from initialCallBackoff to maxCallBackoff. The platform's
	// rules allow 0.5 s for a broken call.
	initialCallBackoff = 20 * time.Millisecond
	maxCallBackoff     = 500 * time.Millisecond
)

// callBackoff determines the delay between calls. The delay grows with each call whose outcome is unknown and is reset
// by an answered call.
type callBackoff struct{ uncertainDelay time.Duration }

func newCallBackoff() callBackoff { return callBackoff{uncertainDelay: initialCallBackoff} }

// next returns the delay after a call with the given outcome.
func (b *callBackoff) next(outcome callOutcome) time.Duration {
	switch outcome {
	case callAnswered:
		b.uncertainDelay = initialCallBackoff
		return 0
	case callUncertain:
		delay := b.uncertainDelay
		b.uncertainDelay = min(maxCallBackoff, 2*b.uncertainDelay)
		return delay
	}
	return rejectedCallDelay
}

// sendCalls sends the queued operations, one call at a time, until the context is cancelled.
func (c *Client) sendCalls(ctx context.Context) {
	backoff := newCallBackoff()
	for c.awaitOperations(ctx) {
		outcome := c.sendNextCall(ctx)
		delay := backoff.next(outcome)
		if delay == 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// awaitOperations blocks until an operation is queued. It returns false if the context was cancelled.
func (c *Client) awaitOperations(ctx context.Context) bool {
	for c.queueEmpty() {
		select {
		case <-ctx.Done():
			return false
		case <-c.enqueued:
		}
	}
	return ctx.Err() == nil
}

func (c *Client) queueEmpty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.empty()
}

// sendNextCall sends the next call, updates the queue with its outcome and reports operations that are unconfirmed or
// dropped.
func (c *Client) sendNextCall(ctx context.Context) callOutcome {
	c.mu.Lock()
	text, operations := c.queue.nextCall()
	withdrawn := c.queue.withdrawnServers()
	addr := c.addr
	c.mu.Unlock()
	if len(withdrawn) > 0 {
		c.options.Log.Info().Strs("servers", withdrawn).Msg("relay call with withdrawals started")
	}

	began := time.Now()
	accepted, callErr := c.call(ctx, addr, text, operations)
	outcome := outcomeOf(callErr)

	c.mu.Lock()
	dropped, unconfirmed := c.queue.finishCall(outcome, accepted)
	c.statistics.addCall(outcome, operations, accepted)
	c.mu.Unlock()

	if len(unconfirmed) > 0 {
		c.options.OnUnconfirmed(Unconfirmed{Operations: unconfirmed})
	}
	for _, operation := range dropped {
		c.sampledLog.Warn().Str("operation", operation.Text(c.options.Classes)).
			Msg("operation dropped: rejected by relay twice")
	}
	if callErr != nil {
		c.sampledLog.Warn().Err(callErr).Int("operations", operations).Int("unconfirmed", len(unconfirmed)).
			Dur("duration", time.Since(began)).Msg("relay call failed")
	} else {
		c.options.Log.Debug().Int("operations", operations).Int("accepted", accepted).
			Dur("duration", time.Since(began)).Msg("relay call answered")
	}
	if len(withdrawn) > 0 {
		c.options.Log.Info().Err(callErr).Int("operations", operations).Int("accepted", accepted).
			Dur("duration", time.Since(began)).Msg("relay call with withdrawals ended")
	}
	return outcome
}

func (s *Statistics) addCall(outcome callOutcome, operations, accepted int) {
	s.Calls++
	s.Operations += uint64(accepted)
	switch {
	case outcome == callUncertain:
		s.Uncertain++
	case outcome != callAnswered:
		s.Rejected++
	case accepted < operations:
		s.Partial++
	}
}

// call sends one call and returns how many of its operations the relay carried out; outcomeOf classifies the error. It
// ignores the cancellation of the context, since a call cancelled at shutdown would have an unknown outcome.
func (c *Client) call(ctx context.Context, addr, text string, operations int) (accepted int, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	form := url.Values{"Action": {"CommitChanges"}, "ops": {text}}
	body := strings.NewReader(form.Encode())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/api/", body)
	if err != nil {
		return 0, &notSentError{err: err}
	}
	request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	response, err := c.callClient.Do(request)
	if err != nil {
		var network *net.OpError
		if errors.As(err, &network) && network.Op == "dial" {
			return 0, &notSentError{err: err}
		}
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize+1))
	if err != nil {
		return 0, fmt.Errorf("read relay answer: %w", err)
	}
	accepted, err = parseAnswer(answer, operations)
	if outcomeOf(err) == callUncertain {
		// Use a new connection for the next call, since this one delivered an unreadable answer.
		c.callClient.CloseIdleConnections()
	}
	return accepted, err
}
