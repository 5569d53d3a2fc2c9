package reconcile

import (
	"fmt"
	"strings"
	"testing"

	"cressknot/internal/fleet"
)

// pinnedTable is a settled reconciler with versions, for tests that pin table 0.
type pinnedTable struct {
	*testing.T
	r   *Reconciler
	now fleet.Time
}

func newPinnedTable(t *testing.T) *pinnedTable {
	t.Helper()
	r, now := newSettledReconciler(t, testSite(), 2, 6)
	r.SetEpoch(9, func(id fleet.ServerID) string { return fmt.Sprint("n", id) })
	r.Apply(now, []fleet.Order{fleet.SetWeight{Server: 0, Weight: 0.6}})
	p := &pinnedTable{t, r, now}
	p.run(1)
	return p
}

func (p *pinnedTable) run(seconds float64) { runFor(p.r, &p.now, seconds) }

func (p *pinnedTable) sentWeight(server int) int16 { return p.r.proxies[0].sent[server*2].Weight }

// TestPinEndsWithTimeOrWithoutUsableServers guards against pins that outlive their purpose. A pinned table ignores
// the balancer until the pin expires, a rollback leaves out draining servers and names them, a pin without a usable
// server ends early with one notice, and a rollback to servers that are all gone is refused.
func TestPinEndsWithTimeOrWithoutUsableServers(t *testing.T) {
	p := newPinnedTable(t)
	first, pinnedWeight := p.r.TableVersions(0).Version(), p.sentWeight(0)
	if err := p.r.Pin(p.now, 0, p.now+3*fleet.Second); err != nil {
		t.Fatal(err)
	}
	p.r.Apply(p.now, []fleet.Order{fleet.SetWeight{Server: 0, Weight: 0.9}})
	if p.run(1); p.sentWeight(0) != pinnedWeight || p.r.TableVersions(0).Version() != first {
		t.Errorf("weight of a pinned entry changed from %d to %d", pinnedWeight, p.sentWeight(0))
	}
	if p.run(4); p.sentWeight(0) == pinnedWeight || p.r.TableVersions(0).Version() == first {
		t.Errorf("the balancer's weight is not in effect after the pin expired")
	}

	second := p.r.TableVersions(0).Version()
	p.r.SetEndpoints(p.now, changeList(fleet.ServerDraining, 5))
	differences, err := p.r.Rollback(p.now, 0, first, p.now+60*fleet.Second)
	if err != nil || len(differences) != 1 || differences[0].Server != 5 || differences[0].Reason != "draining" {
		t.Errorf("rollback: differences %v, error %v; want server 5 as draining", differences, err)
	}
	p.run(1)
	newer := p.r.TableVersions(0).Version().Compare(second) > 0
	if p.sentWeight(0) != pinnedWeight || p.sentWeight(5) != 0 || !newer {
		t.Errorf("weights after rollback are %d and %d, want %d and 0 in a newer version",
			p.sentWeight(0), p.sentWeight(5), pinnedWeight)
	}

	p.r.Notices()
	p.r.SetEndpoints(p.now, changeList(fleet.ServerGone, 0, 1, 2, 3, 4)) // all servers of the pinned table
	p.run(3)
	if until, _ := p.r.Pinned(0); until != 0 {
		t.Error("a pin without a usable server is still in force")
	}
	if notices := p.r.Notices(); len(notices) != 1 || !strings.Contains(notices[0].Text, "ended early") {
		t.Errorf("notices %+v, want one that the pin ended early", notices)
	}
	_, err = p.r.Rollback(p.now, 0, first, p.now+60*fleet.Second)
	if err == nil || !strings.Contains(err.Error(), "servers of version") {
		t.Errorf("rollback to servers that are all gone: error %v, want a refusal", err)
	}
}
