package client

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
)

// newTestClient returns a client with a fixed table and without controllers. Its servers s0, s1, … have the given
// weights in an idempotent class at position 0 and a class at position 1 that is not idempotent.
func newTestClient(t testing.TB, mode fleet.RetryMode, unbounded bool, weights ...int) *Client {
	t.Helper()
	var now atomic.Int64
	c := &Client{
		config: Config{
			UnboundedRetries: unbounded,
			Clock:            func() fleet.Time { return fleet.Time(now.Add(1)) },
		},
		budget:  newRetryBudget(),
		cache:   newTableCache(),
		servers: map[string]*Server{},
		ready:   make(chan struct{}),
	}
	classes := []fleet.RequestClass{
		{Name: "look", Deadline: 60 * sec},
		{Name: "issue", Idempotency: fleet.NotIdempotent, Deadline: 60 * sec},
	}
	c.updateClasses(classes)
	class := classEndpoints{admissionLimit: -1, retry: mode}
	for i, weight := range weights {
		class.endpoints = append(class.endpoints, service.Endpoint{Server: fmt.Sprint("s", i), Weight: weight})
	}
	table := &routingTable{}
	for range classes {
		table.classes = append(table.classes, newClassTable(class, c.resolveServer))
	}
	c.table.Store(table)
	return c
}

// TestRequestEndsWithItsContext checks that Do returns at once when its context ends while an attempt is in flight, and
// that the request is not retried even if the attempt was not executed.
func TestRequestEndsWithItsContext(t *testing.T) {
	c := newTestClient(t, fleet.RetryTwice, false, 1, 1)
	ctx, cancel := context.WithCancel(context.Background())
	finish := make(chan struct{})
	sent := make(chan Attempt, 9)
	done := make(chan error, 1)
	go func() {
		done <- c.Do(ctx, 1, func(_ context.Context, attempt Attempt) Result {
			sent <- attempt
			<-finish
			return Result{Outcome: NotExecuted}
		})
	}()
	<-sent
	cancel()
	select {
	case err := <-done:
		if !errors.Is(err, context.Canceled) || !errors.Is(err, ErrFailed) {
			t.Errorf("error %v, want ErrFailed and context.Canceled", err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("Do did not return within 20 s after its context ended")
	}
	close(finish)
	if len(sent) != 0 {
		t.Error("request retried after its context ended")
	}
}

// TestHedgeOnlyIdempotentRequests checks that hedged requests are sent only for classes that are idempotent.
func TestHedgeOnlyIdempotentRequests(t *testing.T) {
	c := newTestClient(t, fleet.RetryTwice, false, 1, 1)
	c.config.Hedge = true
	for class, want := range []int{2, 1} {
		requestClass := &(*c.classes.Load())[class]
		requestClass.LatencyObjective = sec
		requestClass.Deadline = 60 * sec
		if class == 1 { // bounds the test: no hedged request ends it
			requestClass.Deadline = 50 * fleet.Millisecond
		}
		attempts := make(chan Attempt, 9)
		_ = c.Do(context.Background(), class, func(ctx context.Context, attempt Attempt) Result {
			attempts <- attempt
			if attempt.Number == 0 {
				<-ctx.Done() // ends by the attempt's timeout or when the hedged request succeeds
				return Result{Outcome: Failed}
			}
			return Result{}
		})
		if len(attempts) != want {
			t.Errorf("class %d: %d attempts, want %d", class, len(attempts), want)
		}
	}
}

func BenchmarkDo(b *testing.B) {
	c := newTestClient(b, fleet.RetryIfNotExecuted, false, 1, 2, 3, 4)
	b.ReportAllocs()
	for b.Loop() {
		err := c.Do(context.Background(), 0, func(context.Context, Attempt) Result { return Result{} })
		if err != nil {
			b.Fatal(err)
		}
	}
}
