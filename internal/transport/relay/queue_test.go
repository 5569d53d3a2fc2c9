package relay

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

// drawOperation draws a random operation on a small set of tables, proxies and servers.
func drawOperation(t *rapid.T) Operation {
	table := fleet.TableID(rapid.IntRange(0, 2).Draw(t, "table"))
	server := fmt.Sprint("s-", rapid.IntRange(0, 3).Draw(t, "server"))
	set := fleet.ClassSet(rapid.IntRange(0, 7).Draw(t, "classes"))
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		return Operation{Order: fleet.ClearTable{Table: table}}
	case 1:
		proxy := fleet.ProxyID(rapid.IntRange(0, 2).Draw(t, "proxy"))
		return Operation{Order: fleet.AssignTable{Proxy: proxy, Table: table, Classes: set}}
	case 2:
		return Operation{Order: fleet.WithdrawServer{Withdrawn: rapid.Bool().Draw(t, "withdrawn")}, Server: server}
	case 3:
		limit := rapid.Float32Range(0, 1e6).Draw(t, "limit")
		return Operation{Order: fleet.SetAdmission{Table: table, Classes: set, Limit: limit, Retry: 2}}
	case 4:
		return Operation{Order: fleet.Barrier{ID: 7}}
	}
	weight := float32(rapid.IntRange(0, 3).Draw(t, "weight"))
	return Operation{Order: fleet.SetWeight{Table: table, Weight: weight}, Server: server}
}

// queueRun drives a queue against a model of the relay.
type queueRun struct {
	queue       callQueue
	relay       *relayState
	unconfirmed []Operation
}

// Results of a simulated call.
const (
	resultAnswered = iota
	resultAppliedUnanswered
	resultNotDelivered
	resultRejected
	resultCount = 6 // results above resultRejected are answered, too
)

// call sends the next call with a random one of the first results.
func (r *queueRun) call(t *rapid.T, results int) {
	text, _ := r.queue.nextCall()
	switch rapid.IntRange(0, results-1).Draw(t, "result") {
	case resultAppliedUnanswered:
		r.relay.apply(text)
		r.finish(t, callUncertain, 0)
	case resultNotDelivered:
		r.finish(t, callUncertain, 0)
	case resultRejected:
		r.finish(t, callRejected, 0)
	default:
		r.finish(t, callAnswered, r.relay.apply(text))
	}
}

// finish passes the outcome to the queue, checks it and collects the unconfirmed operations.
func (r *queueRun) finish(t *rapid.T, outcome callOutcome, accepted int) {
	_, unconfirmed := r.queue.finishCall(outcome, accepted)
	if outcome != callUncertain && len(unconfirmed) > 0 {
		t.Fatalf("outcome %v: %d operations unconfirmed, want 0", outcome, len(unconfirmed))
	}
	if outcome == callUncertain && len(r.queue.call) > 0 {
		t.Fatalf("%d operations of an uncertain call remain queued, want 0", len(r.queue.call))
	}
	r.unconfirmed = append(r.unconfirmed, unconfirmed...)
}

// Whatever the outcomes of the calls, the relay ends in the state that results from all operations in order, provided
// that the settings of unconfirmed operations are sent again. The queue becomes empty, so an invalid operation costs a
// bounded number of calls. Unconfirmed operations are reported once and not sent again by the queue.
func TestQueueLeadsToTheStateOfAllOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := newRelayState()
		run := queueRun{queue: callQueue{classes: classes}, relay: newRelayState()}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			operations := rapid.SliceOfN(rapid.Custom(drawOperation), 1, 6).Draw(t, "operations")
			if rapid.IntRange(0, 9).Draw(t, "unusable") == 0 {
				operations = append(operations, Operation{Order: fleet.SetWeight{Weight: -1}, Server: "s-9"})
			}
			for _, operation := range operations {
				want.apply(operation.Text(classes))
			}
			run.queue.add(operations)
			if rapid.Bool().Draw(t, "send") {
				run.call(t, resultCount)
			}
		}
		for _, operation := range run.unconfirmed {
			run.queue.add(want.restoreOperations(operation))
		}
		for calls := 0; !run.queue.empty(); calls++ {
			if calls > 100 {
				t.Fatal("queue is not empty after 100 calls")
			}
			run.call(t, resultAnswered+1)
		}
		if run.relay.String() != want.String() {
			t.Fatalf("relay settings\n%s, want\n%s", run.relay, want)
		}
	})
}
