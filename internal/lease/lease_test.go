package lease

import (
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

var testControllers = []string{"a", "b", "c"}

func testRanked() []string { return Rank("p", testControllers) }

// simulatedProxy holds the entries of one proxy and the leases of some controllers, on a simulated clock. Takeovers
// run the steps of the transport, without delay.
type simulatedProxy struct {
	entries       map[string]Entry
	leases        map[string]*Lease
	holds         map[string]bool
	dead          map[string]bool
	clockOffset   map[string]fleet.Time // of a controller's clock from now
	now           fleet.Time
	handovers     HandoverLimiter
	checkOrder    []string // in which controllers check within a second
	holderChanges int
	lastHolder    string
}

func newSimulatedProxy() *simulatedProxy {
	ranked := testRanked()
	p := &simulatedProxy{
		entries:     map[string]Entry{},
		leases:      map[string]*Lease{},
		holds:       map[string]bool{},
		dead:        map[string]bool{},
		clockOffset: map[string]fleet.Time{},
		now:         1000 * fleet.Second,
		checkOrder:  []string{ranked[1], ranked[2], ranked[0]}, // the preferred one checks last and must still get the lease
	}
	for _, controller := range testControllers {
		p.leases[controller] = NewLease(controller, ranked)
	}
	return p
}

func (p *simulatedProxy) read() (entries []Entry) {
	for _, controller := range testRanked() {
		if entry, stored := p.entries[controller]; stored {
			entries = append(entries, entry)
		}
	}
	return entries
}

// tick advances the clock by a second and runs all live controllers once.
func (p *simulatedProxy) tick() {
	p.now += fleet.Second
	for _, controller := range p.checkOrder {
		if p.dead[controller] {
			continue
		}
		if p.holds[controller] {
			p.renew(controller)
		} else {
			p.check(controller)
		}
	}
	if holder := p.holder(); holder != "" && holder != p.lastHolder {
		p.holderChanges++
		p.lastHolder = holder
	}
}

func (p *simulatedProxy) clock(controller string) fleet.Time {
	return p.now + p.clockOffset[controller]
}

// store replaces the entry of a controller. Its request is stored under another key and is kept.
func (p *simulatedProxy) store(controller string, entry Entry) {
	entry.RequestCount = p.entries[controller].RequestCount
	entry.ManualRequest = p.entries[controller].ManualRequest
	p.entries[controller] = entry
}

// renew sends a heartbeat of a controller that holds the lease and carries out the resulting action.
func (p *simulatedProxy) renew(controller string) {
	lease := p.leases[controller]
	p.store(controller, lease.NextHeartbeat())
	switch lease.Renew(p.clock(controller), p.read(), &p.handovers) {
	case ActionYield:
		p.holds[controller] = false
		lease.Drop()
	case ActionRelease:
		p.holds[controller] = false
		p.store(controller, lease.ReleaseEntry(false))
		lease.Drop()
	}
}

// check runs the check of a controller without the lease and carries out the resulting action.
func (p *simulatedProxy) check(controller string) {
	lease := p.leases[controller]
	now := p.clock(controller)
	switch action, _ := lease.Check(now, p.read()); action {
	case ActionClaim:
		entry := lease.BeginTakeover(now, p.read())
		entry.RequestCount = p.entries[controller].RequestCount
		p.entries[controller] = entry
		p.endOtherSessions(controller)
		p.holds[controller] = lease.ConfirmTakeover(now, p.read())
	case ActionRequest:
		entry := p.entries[controller]
		entry.Controller = controller
		entry.RequestCount, entry.ManualRequest = ParseRequest(lease.NextRequest())
		p.entries[controller] = entry
	}
}

func (p *simulatedProxy) endOtherSessions(controller string) {
	for other := range p.holds {
		if other == controller || !p.holds[other] {
			continue
		}
		p.holds[other] = false
		if !p.dead[other] {
			p.leases[other].Drop()
		}
	}
}

// restart replaces a controller by a new process that knows nothing of the earlier one.
func (p *simulatedProxy) restart(controller string) {
	p.dead[controller] = false
	p.holds[controller] = false
	p.leases[controller] = NewLease(controller, testRanked())
}

// holder returns the live controllers that hold the lease, concatenated if there are several.
func (p *simulatedProxy) holder() (holder string) {
	for controller, holds := range p.holds {
		if holds && !p.dead[controller] {
			holder += controller
		}
	}
	return holder
}

// runUntil advances the clock until a controller holds the lease, for a limited number of seconds.
func (p *simulatedProxy) runUntil(t *testing.T, want string, seconds int) {
	t.Helper()
	for i := 0; p.holder() != want; i++ {
		if i >= seconds {
			t.Fatalf("%q holds the lease after %d s, want %s", p.holder(), seconds, want)
		}
		p.tick()
	}
}

// run advances the clock and checks which controller holds the lease in the end.
func (p *simulatedProxy) run(t *testing.T, seconds int, want string) {
	t.Helper()
	for range seconds {
		p.tick()
	}
	if p.holder() != want {
		t.Errorf("%q holds the lease, want %s", p.holder(), want)
	}
}

// runStable advances the clock and checks each second that the holder does not change.
func (p *simulatedProxy) runStable(t *testing.T, seconds int, want string) {
	t.Helper()
	for range seconds {
		if p.tick(); p.holder() != want {
			t.Fatalf("%q holds the lease, want %s", p.holder(), want)
		}
	}
}

// newHeldProxy returns a proxy whose lease the preferred controller holds, and the ranked controllers. Their clocks
// differ by an hour.
func newHeldProxy(t *testing.T) (*simulatedProxy, []string) {
	t.Helper()
	ranked := testRanked()
	p := newSimulatedProxy()
	p.clockOffset[ranked[1]] = 3600 * fleet.Second
	p.clockOffset[ranked[2]] = -3600 * fleet.Second
	p.runUntil(t, ranked[0], 3)
	p.runStable(t, 30, ranked[0])
	return p, ranked
}

// TestNextControllerTakesOverFromDeadHolder checks that the next controller takes over when the lease of a dead holder
// expires, even if its own session breaks in the meantime, and that it regains the lease at once after a restart.
func TestNextControllerTakesOverFromDeadHolder(t *testing.T) {
	p, ranked := newHeldProxy(t)
	p.dead[ranked[0]] = true
	diedAt := p.now
	p.tick()
	p.leases[ranked[1]].Drop() // its session breaks
	p.runUntil(t, ranked[1], 9)
	if after := p.now - diedAt; after < leaseDuration || after > leaseDuration+2*fleet.Second {
		t.Errorf("taken over after %.0f s, want %.0f to %.0f s", after.Seconds(),
			leaseDuration.Seconds(), (leaseDuration + 2*fleet.Second).Seconds())
	}
	p.restart(ranked[1])
	if p.tick(); p.holder() != ranked[1] {
		t.Errorf("%q holds the lease after the holder restarted, want %s", p.holder(), ranked[1])
	}
}

// TestPreferredControllerGetsLeaseBack checks that a preferred controller that returns gets the lease in one handover,
// but not before the other one has held it for minHoldDuration, and that a stale request has no effect.
func TestPreferredControllerGetsLeaseBack(t *testing.T) {
	p, ranked := newHeldProxy(t)
	p.dead[ranked[0]] = true
	p.runUntil(t, ranked[1], 10)
	p.restart(ranked[1])
	p.tick()
	p.restart(ranked[0])
	delete(p.entries, ranked[0]) // as after a graceful stop
	backAt, changes := p.now, p.holderChanges
	p.runUntil(t, ranked[0], 20)
	if p.holderChanges != changes+1 {
		t.Errorf("%d handovers, want 1", p.holderChanges-changes)
	}
	if p.now-backAt < minHoldDuration-fleet.Second {
		t.Errorf("handed over after %.0f s, want at least %.0f s", (p.now - backAt).Seconds(),
			(minHoldDuration - fleet.Second).Seconds())
	}
	p.dead[ranked[0]] = true
	p.dead[ranked[1]] = true
	p.runUntil(t, ranked[2], 12)
	p.entries[ranked[0]] = Entry{Controller: ranked[0], RequestCount: 77}
	p.runStable(t, 30, ranked[2])
}

// TestProcessOfSameNameIsAnotherHolder checks that a controller yields the lease to a later takeover by another
// process of the same name.
func TestProcessOfSameNameIsAnotherHolder(t *testing.T) {
	lease := NewLease("a", []string{"a"})
	if epoch := lease.BeginTakeover(0, nil).Epoch; epoch != 1 {
		t.Errorf("first epoch %d, want 1", epoch)
	}
	if action := lease.Renew(0, []Entry{{Controller: "a", Epoch: 2}}, &HandoverLimiter{}); action != ActionYield {
		t.Errorf("action %d, want ActionYield", action)
	}
}

// TestAtMostOneControllerHolds injects random controller crashes, stalls and restarts and proxy restarts. It checks
// that two controllers never hold the lease at the same time, and that one holds it within a bound once all are live.
func TestAtMostOneControllerHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newSimulatedProxy()
		for range rapid.IntRange(5, 120).Draw(t, "seconds") {
			controller := testControllers[rapid.IntRange(0, 2).Draw(t, "controller")]
			switch rapid.IntRange(0, 8).Draw(t, "fault") {
			case 0:
				p.dead[controller] = true
			case 1: // it had stalled and resumes with its old state
				p.dead[controller] = false
			case 2:
				p.restart(controller)
			case 3:
				p.entries = map[string]Entry{} // the proxy restarted
				p.endAllSessions()
			}
			p.checkOrder = rapid.Permutation(testControllers).Draw(t, "order")
			p.tick()
			if len(p.holder()) > 1 {
				t.Fatalf("several controllers hold the lease: %s", p.holder())
			}
		}
		for controller := range p.dead {
			p.dead[controller] = false
		}
		for i := 0; p.holder() == ""; i++ {
			if p.tick(); i > 12 {
				t.Fatal("no controller holds the lease")
			}
		}
	})
}

func (p *simulatedProxy) endAllSessions() {
	for controller, holds := range p.holds {
		if holds {
			p.holds[controller] = false
			p.leases[controller].Drop()
		}
	}
}

// TestRetiredControllerHandsOver checks that a controller that retires hands the lease over at once and takes it back
// only while no other controller is live.
func TestRetiredControllerHandsOver(t *testing.T) {
	ranked := testRanked()
	p := newSimulatedProxy()
	p.tick()
	p.leases[ranked[0]].SetRetired(true)
	p.run(t, 2, ranked[1]) // others do not wait for a retired controller
	p.run(t, 8, ranked[1])
	holder, changedAt := p.leases[ranked[2]].LastHolder()
	if holder.Controller != ranked[1] || changedAt < p.now-2*fleet.Second-2*3600*fleet.Second {
		t.Errorf("last holder %+v, changed at %d", holder, changedAt)
	}
	p.dead[ranked[1]] = true
	p.dead[ranked[2]] = true
	p.run(t, 14, ranked[0]) // no other controller is live
	p.dead[ranked[1]] = false
	p.dead[ranked[2]] = false
	p.holds[ranked[1]] = false
	for range 20 {
		p.tick()
	}
	if holder := p.holder(); holder == ranked[0] || holder == "" {
		t.Errorf("%q holds the lease, want another controller than %s", holder, ranked[0])
	}
	p.leases[ranked[0]].SetRetired(false)
	p.run(t, 20, ranked[0])
}

// TestManualHolderKeepsLease checks that a controller to which operators assigned the lease holds it although others
// are preferred, until operators end the assignment, and that others take the lease over as usual if it dies.
func TestManualHolderKeepsLease(t *testing.T) {
	ranked := testRanked()
	p := newSimulatedProxy()
	p.run(t, 5, ranked[0])
	p.leases[ranked[2]].SetManual(true)
	p.run(t, 5, ranked[2])
	p.run(t, 40, ranked[2])
	p.dead[ranked[2]] = true
	p.run(t, 12, ranked[0])
	p.dead[ranked[2]] = false
	p.holds[ranked[2]] = false
	p.run(t, 6, ranked[2])
	p.leases[ranked[2]].SetManual(false)
	p.run(t, 16, ranked[0])
}

// TestMovesAreLimited checks that handovers are allowed at handoversPerSecond after the initial burst, however often
// they are requested.
func TestMovesAreLimited(t *testing.T) {
	handovers := HandoverLimiter{}
	now := 10 * fleet.Second
	for range 10 {
		for range 1000 {
			handovers.Allow(now)
		}
		now += fleet.Second
	}
	if handovers.Allowed > maxHandoverBurst+9*handoversPerSecond+1 || handovers.Allowed < 9*handoversPerSecond {
		t.Errorf("%d handovers in ten seconds", handovers.Allowed)
	}
}

// TestParseEntryReadsWhatStringPrints checks that entries survive encoding and decoding, and that an invalid value
// holds no lease.
func TestParseEntryReadsWhatStringPrints(t *testing.T) {
	for _, entry := range []Entry{
		{Controller: "g", Epoch: 1 << 60, Heartbeat: 9},
		{Controller: "g", Epoch: 7, Retired: true},
		{Controller: "g", Epoch: 7, Manual: true},
	} {
		if got := ParseEntry("g", entry.String()); got != entry {
			t.Errorf("parsed as %+v, want %+v", got, entry)
		}
	}
	for _, value := range []string{"", "1", "x.y", "-1.2", "zzzzzzzzzzzzzzzzz.1"} {
		if got := ParseEntry("g", value); got.Epoch != 0 {
			t.Errorf("%q: parsed as %+v, want no lease", value, got)
		}
	}
}
