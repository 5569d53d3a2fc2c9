package balancer

import (
	"testing"

	"cressknot/internal/fleet"
)

// newFleetWithChannel returns a fleet of 200 servers and 60 proxies whose update channel has the given capacity and
// limit, in entries.
func newFleetWithChannel(seed int64, entriesPerSecond, maxBacklog float64) *simulatedFleet {
	sim := newSimulatedFleet(seed, 200, 60)
	sim.site.EntriesPerSecond = entriesPerSecond
	sim.site.MaxBacklog = maxBacklog
	sim.site.MinServerConnections = 0
	sim.startBalancer(fleet.ListCached)
	return sim
}

// Guards against overfilling the update channel when it is eight times slower than assumed while six in ten servers are
// replaced. The balancer must learn of the delay from the acknowledgements.
func TestSlowChannelIsNotOverfilled(t *testing.T) {
	for seed := range int64(4) {
		sim := newFleetWithChannel(seed, 17600, 35200)
		sim.run(8, 0)
		sim.channelSlowdown = 8
		maxBacklog := 0.0
		for round := range 20 {
			sim.step([]fleet.Event{replaceServers(sim, sim.servers[6*round:6*round+6])})
			sim.run(1, 0)
			maxBacklog = max(maxBacklog, sim.backlog())
		}
		if sim.violation != "" || maxBacklog < sim.site.MaxBacklog/4 {
			t.Errorf("seed %d: largest backlog %.0f entries; %s", seed, maxBacklog, sim.violation)
		}
	}
}

// replaceServers drains servers and adds as many new ones. It extends the drain timeout, because the slow channel
// delays the withdrawals.
func replaceServers(sim *simulatedFleet, servers []*fakeServer) fleet.EndpointList {
	list := fleet.EndpointList{Scope: fleet.ListDelta}
	for _, server := range servers {
		server.State = fleet.ServerDraining
		server.stateChangedAt = sim.now + 100*fleet.Second
		replacement := &fakeServer{
			Endpoint:       fleet.Endpoint{Server: server.Server ^ 1<<31, Zone: server.Zone, Started: sim.now},
			stateChangedAt: sim.now,
		}
		sim.servers = append(sim.servers, replacement)
		list.Endpoints = append(list.Endpoints, server.Endpoint, replacement.Endpoint)
	}
	return list
}

// Guards against counting a weight of an unused table as a message to all proxies.
func TestOrderForUnusedTableCostsNothing(t *testing.T) {
	b := newMeasuredBalancer([]float64{10, 10}, []float64{0.6, 0.6})
	b.updateFleet()
	before := b.channel.entriesSent
	b.now += fleet.Second
	b.broadcast(fleet.SetWeight{Table: 1, Server: 1, Weight: 1}, 0)
	if b.channel.entriesSent != before {
		t.Errorf("a weight that no proxy uses costs %.0f entries, want 0", b.channel.entriesSent-before)
	}
}

// Guards against overfilling the update channel while the relay is cut off for some seconds: nothing is delivered, and
// what the balancer assumes to be delivered meanwhile would still wait once the relay is back.
func TestStalledChannelIsNotOverfilled(t *testing.T) {
	for seed := range int64(4) {
		sim := newFleetWithChannel(seed, 2600, 6300)
		sim.run(20, 0)
		sim.channelSlowdown = 1e9
		for round := range 5 {
			sim.step([]fleet.Event{replaceServers(sim, sim.servers[20*round:20*round+20])})
			sim.run(1, 0)
		}
		backlog := sim.backlog()
		sim.channelSlowdown = 1
		sim.run(20, 0)
		if sim.violation != "" || backlog < sim.site.MaxBacklog/4 {
			t.Errorf("seed %d: backlog of %.0f entries after the stall; %s", seed, backlog, sim.violation)
		}
		if entries := sim.backlog(); entries > usableBacklogFraction*sim.site.MaxBacklog {
			t.Errorf("seed %d: backlog is %.0f entries 20 s after the stall", seed, entries)
		}
	}
}

// Guards against waiting without end for acknowledgements that are lost, as with a break of the relay's event stream.
func TestLostAcknowledgementsStallForLimitedTime(t *testing.T) {
	site := fleet.Site{EntriesPerSecond: 100, MaxBacklog: 1000}
	channel := updateChannel{pendingBarriers: map[fleet.BarrierID]*pendingBarrier{}, entriesSent: 500, deliveredAt: 1}
	channel.addBarrier(1, 0, 10)
	for now := fleet.Time(1); now < maxAcknowledgementSilence; now += timerInterval {
		channel.advance(now, &site)
	}
	stalled := channel.backlog(&site)
	if stalled < 450 {
		t.Errorf("backlog is %.0f of 500 entries while acknowledgements are overdue", stalled)
	}
	for now := maxAcknowledgementSilence; now < 4*maxAcknowledgementSilence; now += timerInterval {
		channel.advance(now, &site)
	}
	if backlog := channel.backlog(&site); backlog > 0 {
		t.Errorf("backlog is %.0f entries long after the acknowledgements were lost", backlog)
	}
}
