package relay

import (
	"slices"
	"strings"

	"cressknot/internal/fleet"
)

const (
	// maxCallSize, in bytes, is the relay's limit for the text of the operations of one call.
	maxCallSize = 60_000

	// maxMalformedAttempts is the number of attempts for a call that the relay reports as malformed. There is more than
	// one because the report may be due to corruption on the network.
	maxMalformedAttempts = 3
)

// callQueue holds, in order, the operations that are not known to have been carried out. Its size is bounded by the
// number of settings that the operations change. It is not safe for concurrent use.
type callQueue struct {
	classes []string
	// call holds the operations of the call in flight, or those that remain of a partly accepted call.
	call []Operation
	// pending holds the operations to be sent after call.
	pending []Operation
	// leftDuringCall holds the proxies that left while the call was in flight.
	leftDuringCall map[fleet.ProxyID]bool
	// firstRejectedOnce reports that the relay has already rejected the first operation of the call once.
	firstRejectedOnce bool
	// attempts counts how often the call was sent.
	attempts int
}

// add appends the operations of a step.
func (q *callQueue) add(operations []Operation) {
	for _, operation := range operations {
		if assignment, ok := operation.Order.(fleet.AssignTable); ok {
			delete(q.leftDuringCall, assignment.Proxy)
		}
	}
	if len(q.pending) == 0 {
		q.pending = slices.Clone(operations)
		return
	}
	q.pending = coalesce(append(q.pending, operations...))
}

// dropProxy drops the assignments of tables to a proxy that has left.
func (q *callQueue) dropProxy(id fleet.ProxyID) {
	if len(q.call) > 0 {
		if q.leftDuringCall == nil {
			q.leftDuringCall = map[fleet.ProxyID]bool{}
		}
		q.leftDuringCall[id] = true
	}
	q.pending = dropAssignments(q.pending, func(proxy fleet.ProxyID) bool { return proxy == id })
}

func (q *callQueue) empty() bool { return len(q.call) == 0 && len(q.pending) == 0 }

// nextCall returns the text of the call to send and its number of operations. It returns the same call until finishCall
// is called.
func (q *callQueue) nextCall() (text string, operations int) {
	if len(q.call) == 0 {
		q.startCall()
	}
	parts := make([]string, len(q.call))
	for i, operation := range q.call {
		parts[i] = operation.Text(q.classes)
	}
	return strings.Join(parts, ";"), len(q.call)
}

// withdrawnServers returns the names of the servers that the next call withdraws, for the log.
func (q *callQueue) withdrawnServers() []string {
	var servers []string
	for _, operation := range q.call {
		if order, ok := operation.Order.(fleet.WithdrawServer); ok && order.Withdrawn {
			servers = append(servers, operation.Server)
		}
	}
	return servers
}

// startCall moves as many pending operations into the call as maxCallSize allows.
func (q *callQueue) startCall() {
	size := 0
	for _, operation := range q.pending {
		size += len(operation.Text(q.classes)) + len(";")
		if size > maxCallSize {
			break
		}
		q.call = append(q.call, operation)
	}
	q.pending = q.pending[len(q.call):]
	q.firstRejectedOnce = false
	q.attempts = 0
}

// finishCall updates the queue with the outcome of the call. It returns the operations that are dropped because the
// relay rejects them, and the unconfirmed ones: those that may or may not have been carried out and whose setting no
// pending operation changes. An unconfirmed operation is not sent again, since it might use the update channel's limit
// of table entries a second time.
func (q *callQueue) finishCall(outcome callOutcome, accepted int) (dropped, unconfirmed []Operation) {
	q.attempts++
	switch {
	case outcome == callRejected: // pending operations may replace some of the call
		q.pending = coalesce(append(q.call, q.pending...))
		q.call = nil
	case outcome == callUncertain, outcome == callMalformed && q.attempts >= maxMalformedAttempts:
		unconfirmed = q.unconfirmed()
		q.call = nil
	case outcome == callAnswered:
		dropped = q.removeAccepted(accepted)
	}
	q.call = dropAssignments(q.call, q.hasLeft)
	if len(q.call) == 0 {
		clear(q.leftDuringCall)
		q.call = nil
	}
	return dropped, unconfirmed
}

// hasLeft reports whether the proxy left while the call was in flight.
func (q *callQueue) hasLeft(proxy fleet.ProxyID) bool { return q.leftDuringCall[proxy] }

// unconfirmed returns the operations of the call whose settings no pending operation changes, without assignments to
// proxies that have left.
func (q *callQueue) unconfirmed() (operations []Operation) {
	replaced := make(map[settingKey]bool, len(q.pending))
	for _, operation := range q.pending {
		replaced[operation.key()] = true
	}
	for _, operation := range q.call {
		if !replaced[operation.key()] && !operation.assignsTableTo(q.hasLeft) {
			operations = append(operations, operation)
		}
	}
	return operations
}

// removeAccepted removes the accepted operations from the call. An operation that the relay rejects twice is dropped;
// a single rejection may be due to a corrupted answer.
func (q *callQueue) removeAccepted(accepted int) (dropped []Operation) {
	if accepted >= len(q.call) {
		q.call = nil
		return nil
	}
	q.call = q.call[accepted:]
	if accepted > 0 || !q.firstRejectedOnce {
		q.firstRejectedOnce = true
		return nil
	}
	dropped = []Operation{q.call[0]}
	q.call = q.call[1:]
	q.firstRejectedOnce = false
	return dropped
}
