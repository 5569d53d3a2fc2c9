package platform

import (
	"cressknot/internal/fleet"
)

// maxTrackedWithdrawalAge is how long the acknowledgements of withdrawals are awaited. Proxies that leave, and barriers
// that a broken call loses, are never acknowledged.
const maxTrackedWithdrawalAge = 30 * fleet.Second

// withdrawalTracker finds out, for the log, when proxies have applied the withdrawals of a step: each acknowledges the
// barrier of that step. The zero value is ready to use.
type withdrawalTracker struct {
	byBarrier map[fleet.BarrierID]*trackedWithdrawals
}

// trackedWithdrawals are the withdrawals of one step.
type trackedWithdrawals struct {
	servers         []string
	orderedAt       fleet.Time
	proxies         int // that are joined in that step
	acknowledgments int
}

// track starts to track the withdrawals among the effects of a step, if the step has a barrier.
func (t *withdrawalTracker) track(now fleet.Time, effects *Effects, joined int) {
	var servers []string
	for _, withdrawal := range effects.Withdrawals {
		if withdrawal.Withdrawn {
			servers = append(servers, withdrawal.Server)
		}
	}
	if len(servers) == 0 || joined == 0 {
		return
	}
	t.removeOld(now)
	for _, operation := range effects.Operations {
		if barrier, ok := operation.Order.(fleet.Barrier); ok {
			t.byBarrier[barrier.ID] = &trackedWithdrawals{servers: servers, orderedAt: now, proxies: joined}
		}
	}
}

func (t *withdrawalTracker) removeOld(now fleet.Time) {
	if t.byBarrier == nil {
		t.byBarrier = map[fleet.BarrierID]*trackedWithdrawals{}
	}
	for id, tracked := range t.byBarrier {
		if now > tracked.orderedAt+maxTrackedWithdrawalAge {
			delete(t.byBarrier, id)
		}
	}
}

// acknowledge counts a proxy that has reached a barrier, and adds the withdrawals to the effects once all have.
func (t *withdrawalTracker) acknowledge(now fleet.Time, id fleet.BarrierID, effects *Effects) {
	tracked := t.byBarrier[id]
	if tracked == nil {
		return
	}
	tracked.acknowledgments++
	if tracked.acknowledgments < tracked.proxies {
		return
	}
	delete(t.byBarrier, id)
	effects.AppliedWithdrawals = append(effects.AppliedWithdrawals, AppliedWithdrawals{
		Servers:  tracked.servers,
		Proxies:  tracked.proxies,
		Duration: now - tracked.orderedAt,
	})
}
