package platform

import (
	"slices"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/transport/relay"
)

// The log must say when the last proxy has applied a withdrawal: without it, the time that a drain has left can't be
// read from a log.
func TestWithdrawalIsReportedOnceAllProxiesHaveAppliedIt(t *testing.T) {
	h := newHarness("s-1", "s-2", "s-3", "s-4", "s-5")
	h.run(15*fleet.Second, messageBatch(snapshot(1, false, 1, 2)...))
	started := h.now
	operations := h.run(fleet.Millisecond, messageBatch(endpointDelta(2, testEndpoint("s-1", "draining"))))
	barrier := slices.IndexFunc(operations, func(operation relay.Operation) bool {
		_, isBarrier := operation.Order.(fleet.Barrier)
		return isBarrier
	})
	if barrier < 0 {
		t.Fatalf("no barrier among %v", operations)
	}
	id := operations[barrier].Order.(fleet.Barrier).ID
	h.now = started + 200*fleet.Millisecond
	h.run(fleet.Millisecond, messageBatch(proxyEvent(1, fleet.BarrierReached{Proxy: 1, Barrier: id})))
	if len(h.last.AppliedWithdrawals) > 0 {
		t.Errorf("reported after one of two proxies: %+v", h.last.AppliedWithdrawals)
	}
	h.now = started + 300*fleet.Millisecond
	effects := h.controller.Step(h.now, messageBatch(proxyEvent(1, fleet.BarrierReached{Proxy: 2, Barrier: id})))
	want := AppliedWithdrawals{Servers: []string{"s-1"}, Proxies: 2, Duration: 300 * fleet.Millisecond}
	if len(effects.AppliedWithdrawals) != 1 || !slices.Equal(effects.AppliedWithdrawals[0].Servers, want.Servers) ||
		effects.AppliedWithdrawals[0].Proxies != want.Proxies || effects.AppliedWithdrawals[0].Duration != want.Duration {
		t.Errorf("got %+v, want %+v", effects.AppliedWithdrawals, want)
	}
}
