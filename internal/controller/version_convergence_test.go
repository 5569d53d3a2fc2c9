package controller_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/testing/fakes"
)

// TestAllProxiesConvergeOnNewestVersion cuts streams, restarts proxies, changes them by hand, slows them down and rolls
// back during updates. Every proxy must end on the same verified version, over both transports.
func TestAllProxiesConvergeOnNewestVersion(t *testing.T) {
	const servers, proxies = 8, 4
	for _, on := range []string{"sockets", "files"} {
		t.Run(on, func(t *testing.T) {
			var sim *simulatedFleet
			if on == "files" {
				sim = newFileFleet(t, proxies, servers)
				sim.restartController(servers, nil)
			} else {
				sim = newSocketFleet(t, proxies, servers, nil)
				sim.waitUntil("connected", sim.allConnected)
			}
			assignedAt := map[fleet.ProxyID]int{} // the number of the connection in which a proxy was last assigned its table
			assign := func() {
				for i := range sim.proxies {
					if id := fleet.ProxyID(i); assignedAt[id] < sim.joins[id] {
						assignedAt[id] = sim.joins[id]
						sim.reconciler.Apply(sim.now(), []fleet.Order{fleet.AssignTable{Proxy: id}})
					}
				}
			}
			all := func() bool {
				assign()
				return !slices.ContainsFunc(sim.proxies, func(p *fakes.Proxy) bool { return !sim.hasNewestVersion(p, servers) })
			}
			sim.applyTable(servers)
			sim.waitUntil("table applied", all)
			firstVersion := sim.reconciler.TableVersions(0).Version()
			rng := rand.New(rand.NewPCG(1, 9))
			for round := range 12 {
				sim.reconciler.Apply(sim.now(), []fleet.Order{fleet.SetWeight{
					Server: fleet.ServerID(rng.IntN(servers)),
					Weight: 0.1 + rng.Float32()/2,
				}})
				p := sim.proxies[rng.IntN(proxies)]
				switch rng.IntN(5) {
				case 0:
					p.CutOnce(100 + rng.IntN(200))
					sim.transport.Drop(fleet.ProxyID(rng.IntN(proxies)))
				case 1:
					p.Stop()
					if err := p.Start(); err != nil {
						t.Fatal(err)
					}
				case 2:
					if on == "sockets" { // detected by the next poll
						p.Execute("set", "server", backend+"/n2", "weight", "3")
						p.Execute("del", "server", backend+"/n1")
						p.Execute("set", "server", backend+"/n4", "state", "maint")
					}
				case 3:
					p.ReadSlowly(5 * time.Millisecond)
				}
				if round == 6 || round == 9 { // while the last change may be in flight or not yet sent
					if _, err := sim.reconciler.Rollback(sim.now(), 0, firstVersion, sim.now()+fleet.Second/2); err != nil &&
						!strings.Contains(err.Error(), "already has this content") {
						t.Fatal(err)
					}
				}
				for id := range sim.proxies {
					sim.transport.Poll(fleet.ProxyID(id))
				}
				for range rng.IntN(3) {
					sim.waitUntil("one round", func() bool { assign(); return true })
				}
			}
			polled := func() bool {
				for id := range sim.proxies {
					sim.transport.Poll(fleet.ProxyID(id))
				}
				return all()
			}
			sim.waitUntil("all on the newest version", polled)
			if on == "files" {
				return // TestFullDiskAndManualFileChanges covers manual changes of files
			}
			sim.waitUntil("idle", sim.reconciler.Idle)
			sim.reconciler.Notices()
			p := sim.proxies[1]
			p.Commands()
			p.Execute("set", "server", backend+"/n2", "weight", "3")
			p.Execute("set", "server", backend+"/n3", "state", "maint")
			p.Execute("del", "server", backend+"/n3")
			sim.waitUntil("corrected", func() bool { return polled() && sim.reconciler.Idle() })
			if _, log := p.Commands(); len(log) > 12 {
				t.Errorf("more than the difference was sent: %q", log)
			}
			if notices := sim.reconciler.Notices(); len(notices) == 0 ||
				!strings.Contains(notices[0].Text, "entries differ from what was sent") {
				t.Errorf("the manual change was not reported: %+v", notices)
			}
		})
	}
}

// TestReadBackIsVerified changes one of two proxies while they are disconnected. Its entries no longer match the
// version that it reports, which must be logged and corrected. The other proxy must be left unchanged.
func TestReadBackIsVerified(t *testing.T) {
	const servers = 5
	sim := newSocketFleet(t, 2, servers, nil)
	sim.waitUntil("connected", sim.allConnected)
	sim.applyTable(servers)
	sim.waitUntil("table applied", func() bool {
		return sim.hasNewestVersion(sim.proxies[0], servers) && sim.hasNewestVersion(sim.proxies[1], servers) &&
			sim.reconciler.Idle()
	})
	sim.reconciler.Notices()
	sim.transport.Drop(0)
	sim.transport.Drop(1)
	sim.proxies[1].Execute("set", "server", backend+"/n2", "weight", "7")
	sim.waitUntil("connected again", func() bool { return sim.joins[0] == 2 && sim.joins[1] == 2 })
	notices := sim.reconciler.Notices()
	if len(notices) != 1 || notices[0].Proxy != 1 || !strings.Contains(notices[0].Text, "reports version ") {
		t.Errorf("want one notice for proxy 1 about its version, got %+v", notices)
	}
	sim.reconciler.Apply(sim.now(), []fleet.Order{fleet.AssignTable{Proxy: 0}, fleet.AssignTable{Proxy: 1}})
	sim.waitUntil("corrected", func() bool {
		return sim.hasNewestVersion(sim.proxies[1], servers) &&
			sim.reconciler.Idle()
	})
}
