package controller_test

import (
	"strings"
	"testing"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/testing/fakes"
)

// TestStreamCutAtAnyByteConverges cuts the stream after each byte of an update of many commands. After the reconnect
// the proxy must reach the desired state, without being sent again what it already holds.
func TestStreamCutAtAnyByteConverges(t *testing.T) {
	const servers = 5
	uncut := newSocketFleet(t, 1, servers, nil)
	uncut.waitUntil("connected", uncut.allConnected)
	uncut.applyTable(servers)
	uncut.waitUntil("table applied", func() bool {
		return uncut.hasTable(uncut.proxies[0], servers) &&
			uncut.reconciler.Idle()
	})
	_, commands := uncut.proxies[0].Commands()
	bytes := 100 + len(strings.Join(commands, ";")) // of the read-back and of the update
	sim := newSocketFleet(t, bytes, servers, func(i int, p *fakes.Proxy) { p.CutOnce(i) })
	sim.waitUntil("connected", sim.allConnected)
	reassigned := map[fleet.ProxyID]bool{}
	sim.applyTable(servers)
	sim.waitUntil("all in the desired state", func() bool {
		for i := range sim.proxies {
			id := fleet.ProxyID(i)
			if sim.joins[id] > 1 && !reassigned[id] { // an assignment ends with its stream, so a balancer would assign again
				reassigned[id] = true
				sim.reconciler.Apply(sim.now(), []fleet.Order{fleet.AssignTable{Proxy: id}})
			}
		}
		for _, p := range sim.proxies {
			if !sim.hasTable(p, servers) {
				return false
			}
		}
		return sim.reconciler.Idle()
	})
	cut := 0
	for i := range sim.proxies {
		if sim.joins[fleet.ProxyID(i)] > 1 {
			cut++
		}
	}
	if cut < len(strings.Join(commands, ";"))*3/4 {
		t.Errorf("only %d of %d streams were cut inside the update", cut, bytes)
	}
	for i, p := range sim.proxies {
		_, log := p.Commands()
		counts := map[string]int{}
		for _, c := range log {
			counts[c]++
			if counts[c] > 1 && strings.Contains(c, "weight") {
				t.Errorf("cut at byte %d: %q was executed %d times", i, c, counts[c])
			}
		}
	}
}

// TestReconnectSendsNothingUnchanged checks that nothing is sent after a reconnect without a change.
func TestReconnectSendsNothingUnchanged(t *testing.T) {
	sim := newSocketFleet(t, 1, 4, nil)
	sim.waitUntil("connected", sim.allConnected)
	sim.applyTable(4)
	sim.waitUntil("table applied", func() bool { return sim.hasTable(sim.proxies[0], 4) && sim.reconciler.Idle() })
	sim.proxies[0].Commands()
	sim.transport.Drop(0)
	sim.waitUntil("connected again", func() bool { return sim.joins[0] == 2 })
	sim.reconciler.Apply(sim.now(), []fleet.Order{fleet.AssignTable{Proxy: 0}, fleet.Barrier{ID: 9}})
	sim.waitUntil("idle", sim.reconciler.Idle)
	if n, log := sim.proxies[0].Commands(); n > 0 {
		t.Errorf("%d commands were sent without a change: %q", n, log)
	}
}

// TestProxyRestartDuringUpdateConverges restarts a proxy in the middle of an update. It starts with its initial tables
// and must reach the desired state.
func TestProxyRestartDuringUpdateConverges(t *testing.T) {
	sim := newSocketFleet(t, 2, 30, nil)
	sim.waitUntil("connected", sim.allConnected)
	sim.proxies[0].ReadSlowly(20 * time.Millisecond)
	sim.applyTable(30)
	sim.waitUntil("half of the update applied",
		func() bool { return sim.proxies[0].EntryState(backend, "n8") != "No such server." })
	sim.proxies[0].Stop()
	sim.proxies[0].ReadSlowly(0)
	if err := sim.proxies[0].Start(); err != nil {
		t.Fatal(err)
	}
	sim.waitUntil("connected again", func() bool { return sim.joins[0] == 2 })
	sim.reconciler.Apply(sim.now(), []fleet.Order{fleet.AssignTable{Proxy: 0}})
	sim.waitUntil("all in the desired state", func() bool {
		return sim.hasTable(sim.proxies[0], 30) &&
			sim.hasTable(sim.proxies[1], 30)
	})
}

// TestSlowProxyDelaysNoOther slows one proxy down to 50 ms per command. The other must not wait for it.
func TestSlowProxyDelaysNoOther(t *testing.T) {
	sim := newSocketFleet(t, 2, 30, nil)
	sim.waitUntil("connected", sim.allConnected)
	sim.proxies[0].ReadSlowly(50 * time.Millisecond)
	sim.applyTable(30)
	sim.waitUntil("the fast proxy has its table", func() bool { return sim.hasTable(sim.proxies[1], 30) })
	if sim.hasTable(sim.proxies[0], 30) {
		t.Error("the slow proxy had its table as early as the fast one")
	}
	sim.waitUntil("the slow proxy has its table", func() bool { return sim.hasTable(sim.proxies[0], 30) })
}

// TestManualProxyChangesAreCorrected changes a proxy by hand: a server that is to be added exists already, and one
// whose weight is to be set is missing. The proxy must reach the desired state. A ready server can't be deleted.
func TestManualProxyChangesAreCorrected(t *testing.T) {
	sim := newSocketFleet(t, 1, 6, nil)
	sim.waitUntil("connected", sim.allConnected)
	p := sim.proxies[0]
	p.Execute("add", "server", backend+"/n5", "127.0.0.1:9005", "weight", "3")
	p.Execute("set", "server", backend+"/n0", "state", "maint")
	p.Execute("del", "server", backend+"/n0")
	sim.applyTable(6)
	sim.waitUntil("in the desired state", func() bool { return sim.hasTable(p, 6) && sim.reconciler.Idle() })
	if got := p.Execute("del", "server", backend+"/n2"); !strings.Contains(got, "maintenance") {
		t.Errorf("a ready server was deleted: %q", got)
	}
}

// TestChangedServerAddressIsFollowed lists a server at another address. Proxies must send requests to the new address,
// including one that was disconnected at the time of the change.
func TestChangedServerAddressIsFollowed(t *testing.T) {
	for _, on := range []string{"sockets", "files"} {
		var sim *simulatedFleet
		if on == "files" {
			sim = newFileFleet(t, 2, 4)
			sim.restartController(4, nil)
		} else {
			sim = newSocketFleet(t, 2, 4, nil)
			sim.waitUntil("connected", sim.allConnected)
		}
		sim.applyTable(4)
		sim.waitUntil("table applied", func() bool {
			return sim.hasTable(sim.proxies[0], 4) &&
				sim.hasTable(sim.proxies[1], 4)
		})
		sim.transport.Drop(1)
		id, addressChanged := sim.names.SetAddress("n2", "127.0.0.1:9999")
		if !addressChanged {
			t.Fatal("the new address was not reported as changed")
		}
		sim.reconciler.AddressChanged(id)
		sim.waitUntil("the new address is used", func() bool {
			return sim.proxies[0].Addr(backend, "n2") == "127.0.0.1:9999" && (on == "files" ||
				sim.proxies[1].Addr(backend, "n2") == "127.0.0.1:9999")
		})
	}
}
