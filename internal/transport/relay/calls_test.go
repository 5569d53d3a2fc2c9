package relay

import (
	"fmt"
	"net"
	"testing"

	"github.com/rs/zerolog"

	"cressknot/internal/fleet"
	"cressknot/internal/testing/await"
)

func expectCall(t *testing.T, r *fakeRelay, answer, operations string) {
	t.Helper()
	if got, want := await.Receive(t, r.calls), answer+": "+operations; got != want {
		t.Errorf("call %q, want %q", got, want)
	}
}

func expectUnconfirmed(t *testing.T, from chan Unconfirmed, want Operation) {
	t.Helper()
	if got := await.Receive(t, from); fmt.Sprint(got.Operations) != fmt.Sprint([]Operation{want}) {
		t.Errorf("unconfirmed operations %v, want only %v", got.Operations, want)
	}
}

// A call rejected because of a limit is retried. A call without a complete answer is not, since the relay may have
// carried it out: its operations are reported once as unconfirmed, except those whose settings a pending operation
// changes, and newer operations are still sent.
func TestBrokenCallsAreReportedAndNotRepeated(t *testing.T) {
	relay := newFakeRelay(t, answerLimit, answerBroken, answerDropped, answerIncomplete, "")
	relay.release = make(chan struct{}, 10)
	client, _, unconfirmed := startClient(t, relay)
	weightOfX := func(weight float32) Operation {
		return Operation{Order: fleet.SetWeight{Table: 1, Weight: weight}, Server: "x"}
	}
	weightOfY := Operation{Order: fleet.SetWeight{Table: 1, Weight: 4}, Server: "y"}
	client.Enqueue([]Operation{weightOfX(1), weightOfY})
	expectCall(t, relay, answerLimit, "share,1,x,1;share,1,y,4")
	relay.release <- struct{}{}
	expectCall(t, relay, answerBroken, "share,1,x,1;share,1,y,4")
	client.Enqueue([]Operation{weightOfX(2)}) // while the first call is in flight
	relay.release <- struct{}{}
	expectUnconfirmed(t, unconfirmed, weightOfY)
	for i, answer := range []string{answerDropped, answerIncomplete} {
		weight := float32(2 + i)
		expectCall(t, relay, answer, fmt.Sprintf("share,1,x,%.0f", weight))
		relay.release <- struct{}{}
		expectUnconfirmed(t, unconfirmed, weightOfX(weight))
		client.Enqueue([]Operation{weightOfX(weight + 1)})
	}
	expectCall(t, relay, "", "share,1,x,4")
	relay.release <- struct{}{}
	if len(unconfirmed) > 0 || client.Statistics().Uncertain != 3 {
		t.Errorf("%d further unconfirmed reports, want 0; statistics %+v, want 3 uncertain calls",
			len(unconfirmed), client.Statistics())
	}
}

// An operation that the relay rejects in two calls is dropped, so that it does not block the operations behind it.
func TestUnusableOperationIsDroppedAndLaterOnesAreSent(t *testing.T) {
	relay := newFakeRelay(t)
	relay.state.joined = func(proxy string) bool { return proxy != "3" }
	client, _, _ := startClient(t, relay)
	client.Enqueue([]Operation{
		{Order: fleet.AssignTable{Proxy: 2, Table: 1}},
		{Order: fleet.AssignTable{Proxy: 3, Table: 1}},
		{Order: fleet.AssignTable{Proxy: 4, Table: 1}},
	})
	expectCall(t, relay, "", "bind,2,1,*;bind,3,1,*;bind,4,1,*")
	expectCall(t, relay, "", "bind,3,1,*;bind,4,1,*")
	expectCall(t, relay, "", "bind,4,1,*")
}

// A call that the relay reports as malformed in three attempts is reported as unconfirmed, so that it does not block
// the operations behind it. A call rejected because of a limit is retried.
func TestMalformedCallIsGivenUpAfterThreeAttempts(t *testing.T) {
	relay := newFakeRelay(t, answerMalformed, answerMalformed, answerMalformed, answerLimit, "")
	relay.release = make(chan struct{}, 10)
	client, _, unconfirmed := startClient(t, relay)
	withdrawX := Operation{Order: fleet.WithdrawServer{Withdrawn: true}, Server: "x"}
	withdrawY := Operation{Order: fleet.WithdrawServer{Withdrawn: true}, Server: "y"}
	client.Enqueue([]Operation{withdrawX})
	expectCall(t, relay, answerMalformed, "withdraw,x")
	client.Enqueue([]Operation{withdrawY})
	for range 5 {
		relay.release <- struct{}{}
	}
	expectCall(t, relay, answerMalformed, "withdraw,x")
	expectCall(t, relay, answerMalformed, "withdraw,x")
	expectCall(t, relay, answerLimit, "withdraw,y")
	expectCall(t, relay, "", "withdraw,y")
	expectUnconfirmed(t, unconfirmed, withdrawX)
}

// While the relay is unreachable, the queue must not grow beyond one operation per setting.
func TestPendingOperationsAreBoundedWithoutARelay(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	client := New(Options{
		Addr:       addr,
		Classes:    classes,
		ProxyCount: 10,
		Log:        zerolog.Nop(),
		OnEvent:    func(StreamEvent) {},
	})
	for i := range 10_000 {
		client.Enqueue([]Operation{
			{Order: fleet.SetWeight{Table: 1, Weight: float32(i)}, Server: fmt.Sprint(i % 7)},
			{Order: fleet.Barrier{ID: fleet.BarrierID(i % 9)}},
		})
	}
	if n := len(client.queue.pending); n > 8 {
		t.Errorf("%d operations are pending, want at most 7 weights and 1 barrier", n)
	}
}
