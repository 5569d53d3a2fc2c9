package gossip

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"cressknot/internal/fleet"
)

const (
	// newerListDelay is how long a peer's list must be newer before it is applied. Usually the local list has caught up
	// by then.
	newerListDelay = 2 * fleet.Second
	// maxOverrideFraction bounds the fraction of ready servers to which peers may stop requests. More indicates a fault
	// of the peers.
	maxOverrideFraction = 0.5
	// alwaysAllowedOverrides is the number of servers to which peers may stop requests whatever fraction that is.
	alwaysAllowedOverrides = 3
)

// Change is a new state of a server, from a peer's newer list or from the local list again.
type Change struct {
	Name     string
	Server   LocalServer
	FromPeer bool // the state comes from a peer's list
}

// Notice is an event to report to operators.
type Notice struct {
	Server string // the server that Text is about; "": none
	Text   string // continues "server NAME" if there is a server
}

// overrideSet holds the servers whose state in newer lists of peers replaces that of the local list.
type overrideSet struct {
	servers map[string]LocalServer
	sources map[string]string // by server: the controller with the newer list
}

// Next merges the valid messages of peers with the local list. It returns the changes since the last call or since the
// list was replaced, and notices for operators.
func (p *PeerState) Next(now fleet.Time) (changes []Change, notices []Notice) {
	wanted := p.wantedOverrides(now)
	unready, ready := p.countUnready(wanted)
	ignored := unready > alwaysAllowedOverrides && float64(unready) > maxOverrideFraction*float64(ready)
	if ignored {
		if !p.overridesIgnored {
			text := fmt.Sprintf("ignoring newer endpoint lists of peers: "+
				"they would stop requests to %d of %d ready servers (limit %.0f%%)",
				unready, ready, 100*maxOverrideFraction)
			notices = append(notices, Notice{Text: text})
		}
		clear(wanted.servers)
	}
	p.overridesIgnored = ignored
	changes = p.endOverrides(wanted)
	for _, name := range slices.Sorted(maps.Keys(wanted.servers)) {
		server := wanted.servers[name]
		if p.overrides[name] == server {
			continue
		}
		p.overrides[name] = server
		changes = append(changes, Change{Name: name, Server: server, FromPeer: true})
		text := fmt.Sprintf("is treated as %s: controller %s has a newer endpoint list",
			describeOverride(server, p.servers[name]), wanted.sources[name])
		notices = append(notices, Notice{name, text})
	}
	return changes, append(notices, p.healthNotices(now)...)
}

// wantedOverrides merges the newer lists of peers. Each of them can only make the state of a server less ready or its
// start later.
func (p *PeerState) wantedOverrides(now fleet.Time) overrideSet {
	wanted := overrideSet{servers: map[string]LocalServer{}, sources: map[string]string{}}
	for _, peer := range p.activePeers(now) {
		if !peer.message.Live || peer.message.ListRevision <= p.revision {
			peer.newerSince = 0
			continue
		}
		peer.newerSince = cmp.Or(peer.newerSince, now)
		if now < peer.newerSince+newerListDelay {
			continue
		}
		for _, status := range peer.message.Servers {
			ours, listed := p.servers[status.Name]
			if !listed {
				continue // peers add no servers
			}
			server, overridden := wanted.servers[status.Name]
			if !overridden {
				server = ours
			}
			server.State = max(server.State, status.State)
			if status.Started > server.Started && status.Started <= now {
				server.Started = status.Started
			}
			if server != ours {
				wanted.servers[status.Name] = server
				wanted.sources[status.Name] = peer.message.Controller
			}
		}
	}
	return wanted
}

// countUnready counts the ready servers of the local list, and those of them to which overrides would stop requests.
func (p *PeerState) countUnready(wanted overrideSet) (unready, ready int) {
	for name, server := range p.servers {
		if server.State != fleet.ServerReady {
			continue
		}
		ready++
		if wanted.servers[name].State != fleet.ServerReady {
			unready++
		}
	}
	return unready, ready
}

// endOverrides removes overrides that are no longer wanted and returns the changes back to the local list.
func (p *PeerState) endOverrides(wanted overrideSet) (changes []Change) {
	for _, name := range slices.Sorted(maps.Keys(p.overrides)) {
		if _, overridden := wanted.servers[name]; overridden {
			continue
		}
		if ours, listed := p.servers[name]; listed {
			changes = append(changes, Change{Name: name, Server: ours})
		}
		delete(p.overrides, name)
	}
	return changes
}

// describeOverride returns, for a notice, the state by which a peer's endpoint list overrides that of the local list.
// A ready server whose start time differs from the local one counts as restarted.
func describeOverride(server, ours LocalServer) string {
	if server.State == fleet.ServerReady && server.Started != ours.Started {
		return "restarted"
	}
	return server.State.Name()
}

// OverrideCount returns the number of servers whose state differs from the local list because of peers.
func (p *PeerState) OverrideCount() int { return len(p.overrides) }

// healthNotices reports for servers that are unhealthy for this controller's proxies whether they are for peers, too.
// A server that is healthy for a peer indicates a fault on the network path rather than in the server.
func (p *PeerState) healthNotices(now fleet.Time) (notices []Notice) {
	active := p.activePeers(now)
	for _, name := range slices.Sorted(maps.Keys(p.outcomes)) {
		last := p.noticedAt[name]
		if !p.observation(now, name).isUnhealthy() || last > 0 && now < last+noticeInterval {
			continue
		}
		healthy, unhealthy := healthForPeers(active, name)
		if len(healthy)+len(unhealthy) == 0 {
			continue
		}
		p.noticedAt[name] = now
		text := "is unhealthy here and for " + strings.Join(unhealthy, ", ") + ": the server itself is faulty"
		if len(healthy) > 0 {
			text = "is unhealthy here but healthy for " + strings.Join(healthy, ", ") + ": fault on the network path"
		}
		notices = append(notices, Notice{name, text})
	}
	return notices
}

// healthForPeers returns the controllers for which a server is healthy, and those for which it is unhealthy.
func healthForPeers(peers []*peer, server string) (healthy, unhealthy []string) {
	for _, peer := range peers {
		for _, observation := range peer.message.Observations {
			if observation.Name != server {
				continue
			}
			if observation.isHealthy() {
				healthy = append(healthy, peer.message.Controller)
			} else if observation.isUnhealthy() {
				unhealthy = append(unhealthy, peer.message.Controller)
			}
		}
	}
	return healthy, unhealthy
}
