package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
)

// Try is one try of a visit, to be sent to a server. N counts from 0; MayHaveRun tells that an earlier one may have had its effect.
type Try struct {
	Node       *Node
	N          int
	MayHaveRun bool
}

// Result is what a try came to. Load is what the answer told of the server's load, in thousandths, if anything.
type Result struct {
	Outcome Outcome
	Load    []uint32
	Err     error
}

type ended struct {
	node  *Node
	began fleet.Time
	Result
}

// Do carries out one visit of a class: it picks a server, lets send try, and tries again where that is safe, the governor lets
// it and the budget has room. It returns when a try is good, when none may follow, or at once when the context ends; send must heed
// its own. An effect never runs twice through it: what may have run is not sent again unless its class says that no harm is done.
func (c *Client) Do(ctx context.Context, class int, send func(context.Context, Try) Result) error {
	k, err := c.lookup(class)
	if err != nil {
		return err
	}
	all, came := *c.classes.Load(), *c.came.Load()
	c.visits.Add(1)
	came[class].visits.Add(1)
	c.budget.Visit()
	if k.amount >= 0 && rand.IntN(perMille) >= k.amount {
		return ErrRefused
	}
	if stop := time.Duration(all[class].Deadline); stop > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, stop)
		defer cancel()
	}
	err = c.tryAll(ctx, all[class], class, k, send)
	if err != nil {
		came[class].noAnswer.Add(1)
	}
	return err
}

const perMille = 1000

// tryAll makes the tries of a visit, and a hedge of a slow first one where that is asked for.
func (c *Client) tryAll(ctx context.Context, of fleet.RequestClass, class int, k *classTable, send func(context.Context, Try) Result) error {
	visit := NewVisit(of, k.retry)
	results := make(chan ended, 4) // more than tries of a visit: none waits for us when it ends
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // what is still under way when one is good
	flying, last := 0, (*Node)(nil)
	launch := func(n *Node) {
		within, done := ctx, context.CancelFunc(func() {})
		if visit.Begin() && of.LatencyObjective > 0 {
			within, done = context.WithTimeout(ctx, time.Duration(of.LatencyObjective))
		}
		try := Try{n, visit.tries - 1, visit.mayHaveRun}
		last = n
		flying++
		c.tries.Add(1)
		go func() {
			defer done()
			began := c.cfg.Clock()
			r := send(within, try)
			n.ended(c.nowNs(), r.Outcome, uint64(max(0, (c.cfg.Clock()-began)/fleet.Millisecond)), r.Load)
			results <- ended{n, began, r}
		}()
	}
	launch(k.pick(c.nowNs, nil))
	var hedge <-chan time.Time
	if c.cfg.Hedge && of.Idempotency == fleet.Idempotent && k.retry != fleet.RetryNever && len(k.nodes) > 1 {
		t := time.NewTimer(time.Duration(of.LatencyObjective.Scale(hedgePart)))
		defer t.Stop()
		hedge = t.C
	}
	var why error
	for {
		select {
		case <-ctx.Done(): // given up: the answer is final now, whatever still runs
			return fmt.Errorf("%w: %w", ErrFailed, ctx.Err())
		case <-hedge:
			if hedge = nil; flying == 1 && visit.tries == 1 && c.spend() {
				launch(k.pick(c.nowNs, last))
			}
			continue
		case r := <-results:
			flying--
			if r.Outcome == Good {
				return nil
			}
			visit.Ended(r.began, r.Outcome)
			why = r.Err
			if flying > 0 {
				continue
			}
			place, again := visit.Again(c.cfg.Clock(), r.Outcome)
			if !again || ctx.Err() != nil || !c.spend() {
				return failed(why)
			}
			if next, err := c.lookup(class); err == nil { // the newest table: the one that failed may be out of it
				k = next
			}
			if place == SameServer {
				launch(r.node)
			} else {
				launch(k.pick(c.nowNs, last))
			}
		}
	}
}

func (c *Client) spend() bool { return c.cfg.Unbounded || c.budget.Spend() }

func failed(why error) error {
	if why == nil {
		return ErrFailed
	}
	return fmt.Errorf("%w: %w", ErrFailed, why)
}

const (
	batchRows   = 200 // servers of one batch: some 14 kB in the text protocol, whose payloads end at 16
	batchesMost = 16  // that wait for a governor; what comes more is added up in the counts
)

// report sends what became of visits, each second.
func (c *Client) report() {
	defer c.done.Done()
	for sleep(c.ctx, reportEvery.Scale(0.9+0.2*rand.Float64())) {
		c.mu.Lock()
		conn := c.conn
		if conn != nil && len(c.pending) < batchesMost {
			c.gather()
		}
		pending := c.pending
		c.mu.Unlock()
		for _, r := range pending {
			if conn == nil {
				break
			}
			ctx, cancel := context.WithTimeout(c.ctx, time.Duration(callWithin))
			_, err := conn.Report(ctx, r)
			cancel()
			if err != nil && !worthless(err) {
				break // the same batch again, with the same number
			}
			c.mu.Lock()
			c.pending = c.pending[1:]
			c.mu.Unlock()
		}
	}
}

// worthless tells that a governor will never count a batch, however often it comes.
func worthless(err error) bool {
	var f *service.Error
	if !errors.As(err, &f) {
		return false
	}
	switch f.Code {
	case service.BadRequest, service.TooLarge, service.NoServer, service.NoClass, service.NoZone:
		return true
	}
	return false
}

// gather makes batches of what was counted.
func (c *Client) gather() {
	r := &service.Report{}
	flush := func() {
		if len(r.Outcomes)+len(r.Demands) == 0 {
			return
		}
		c.seq++
		r.Zone, r.Session, r.Sequence = c.cfg.Zone, c.session, c.seq
		c.pending = append(c.pending, r)
		r = &service.Report{}
	}
	for name, n := range c.nodes {
		tries := n.counts.tries.Load()
		if tries == 0 {
			continue
		}
		// Good and failed ones are counted after tries: what is taken here of them is of tries that are, so sums stay in bounds.
		m := service.ServerOutcome{Server: name, Successes: n.counts.good.Swap(0), Failures: n.counts.failed.Swap(0), SuccessMillis: n.counts.goodMs.Swap(0)}
		m.Attempts = m.Successes + m.Failures
		n.counts.tries.Add(-m.Attempts)
		for i := range n.counts.loads.Load() {
			m.Load = append(m.Load, n.counts.load[i].Load())
		}
		if m.Attempts == 0 {
			continue
		}
		if r.Outcomes = append(r.Outcomes, m); len(r.Outcomes) >= batchRows {
			flush()
		}
	}
	if all := c.classes.Load(); all != nil {
		came := *c.came.Load()
		for i, k := range *all {
			visits := came[i].visits.Load()
			if visits == 0 {
				continue
			}
			none := min(came[i].noAnswer.Load(), visits)
			came[i].visits.Add(-visits)
			came[i].noAnswer.Add(-none)
			r.Demands = append(r.Demands, service.ClassDemand{Class: k.Name, Requests: visits, Unanswered: none})
		}
	}
	flush()
}
