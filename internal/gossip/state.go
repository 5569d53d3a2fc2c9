// Package gossip decides what a controller makes of the messages of other controllers: draining, gone and restarted
// servers of a newer endpoint list than its own, and whether a server that is unhealthy for this controller is so
// for all.
//
// Messages may be lost, late or repeated; older ones are dropped. Peers can only keep requests away from servers or
// make this controller careful, never send requests to any: a peer that is wrong costs capacity, within a bound.
// The package is pure. docs/design/gossip.md describes the alternatives considered.
package gossip

import (
	"fmt"
	"maps"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// MaxControllers bounds the peers whose messages are taken: twice as many as are meant to be.
	MaxControllers = 64
	// SendInterval is the time between two messages. The timeout of a draining server covers several.
	SendInterval = fleet.Second
	// messageLifetime is how long a message counts: five lost ones are tolerated.
	messageLifetime = 5 * fleet.Second
	// goneRetention is how long a server that left the own list is sent as gone. Lists lag by seconds.
	goneRetention = 600 * fleet.Second
	// observationWindow is the age of the oldest attempts of an observation.
	observationWindow = 10 * fleet.Second
	// noticeInterval is the time between two notices about a server. Peers are forgotten after two of them.
	noticeInterval = 60 * fleet.Second
)

// LocalServer is what this controller's endpoint list says of a server.
type LocalServer struct {
	State   fleet.ServerState
	Started fleet.Time
}

type peer struct {
	message    Message
	receivedAt fleet.Time
	newerSince fleet.Time // since when its list is newer than ours; 0: it is not
}

// outcome sums up attempts at a server.
type outcome struct {
	at                 fleet.Time
	attempts, failures uint32
}

// PeerState merges the messages of peers. It is not safe for concurrent use.
type PeerState struct {
	self  string
	epoch uint64

	// The own list.
	servers  map[string]LocalServer
	revision uint64
	live     bool
	goneAt   map[string]fleet.Time // servers that left it

	// Messages.
	peers    map[string]*peer
	sequence uint64
	sentAt   fleet.Time
	Invalid  uint64 // invalid messages
	Outdated uint64 // messages that were not newer

	// Results.
	overrides        map[string]LocalServer // in place of the own list
	overridesIgnored bool                   // overrides are not followed, as they are too many
	outcomes         map[string][]outcome
	noticedAt        map[string]fleet.Time // by server
}

// NewPeerState returns the state of a controller without peers, in the epoch of its start.
func NewPeerState(self string, epoch uint64) *PeerState {
	return &PeerState{
		self:      self,
		epoch:     epoch,
		servers:   map[string]LocalServer{},
		goneAt:    map[string]fleet.Time{},
		peers:     map[string]*peer{},
		overrides: map[string]LocalServer{},
		outcomes:  map[string][]outcome{},
		noticedAt: map[string]fleet.Time{},
	}
}

// SetLocalList replaces the own list. Overrides of the list before are to be made again.
func (p *PeerState) SetLocalList(now fleet.Time, revision uint64, live bool, servers map[string]LocalServer) {
	for name := range p.servers {
		if _, listed := servers[name]; !listed {
			p.goneAt[name] = now
		}
	}
	for name, at := range p.goneAt {
		if _, listed := servers[name]; listed || now >= at+goneRetention {
			delete(p.goneAt, name)
		}
	}
	for name := range p.outcomes {
		if _, listed := servers[name]; !listed {
			delete(p.outcomes, name)
		}
	}
	p.revision = revision
	p.live = live
	p.servers = servers
	clear(p.overrides)
}

// ObserveOutcome adds attempts of our proxies at a server.
func (p *PeerState) ObserveOutcome(now fleet.Time, name string, attempts, failures uint32) {
	recent := p.outcomes[name]
	for len(recent) > 0 && recent[0].at < now-observationWindow {
		recent = recent[1:]
	}
	p.outcomes[name] = append(recent, outcome{now, attempts, failures})
}

// observation sums up the recent attempts of our proxies at a server.
func (p *PeerState) observation(now fleet.Time, name string) Observation {
	sum := Observation{Name: name}
	for _, outcome := range p.outcomes[name] {
		if outcome.at >= now-observationWindow {
			sum.Attempts += outcome.attempts
			sum.Failures += outcome.failures
		}
	}
	return sum
}

// Merge takes a peer's message. An invalid one is an error and changes nothing; an older one is dropped.
func (p *PeerState) Merge(now fleet.Time, message Message) error {
	if err := message.Check(); err != nil {
		p.Invalid++
		return err
	}
	if message.Controller == p.self {
		return nil
	}
	sender := p.peers[message.Controller]
	if sender == nil {
		if len(p.peers) >= MaxControllers {
			p.Invalid++
			return fmt.Errorf("gossip from controller %q: dropped, already at the limit of %d peers",
				message.Controller, MaxControllers)
		}
		p.peers[message.Controller] = &peer{message: message, receivedAt: now}
		return nil
	}
	if !message.isNewer(&sender.message) {
		p.Outdated++
		return nil
	}
	sender.message = message
	sender.receivedAt = now
	return nil
}

// NextMessage returns our message to all peers, if it is due. Servers that started less than warmUp ago are in it.
func (p *PeerState) NextMessage(now fleet.Time, warmUp fleet.Time) (message Message, due bool) {
	if p.sentAt > 0 && now < p.sentAt+SendInterval {
		return Message{}, false
	}
	p.sentAt = now
	p.sequence++
	message = Message{
		Controller:   p.self,
		Epoch:        p.epoch,
		Sequence:     p.sequence,
		ListRevision: p.revision,
		Live:         p.live,
	}
	unhealthy := p.unhealthyForPeers(now)
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		server := p.servers[name]
		isWarmingUp := server.Started > 0 && now < server.Started+warmUp
		if server.State != fleet.ServerReady || isWarmingUp {
			message.addServer(ServerStatus{name, server.State, server.Started})
		}
		observation := p.observation(now, name)
		if observation.isUnhealthy() || unhealthy[name] && observation.Attempts > 0 {
			message.addObservation(observation)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.goneAt)) {
		message.addServer(ServerStatus{Name: name, State: fleet.ServerGone})
	}
	return message, true
}

func (m *Message) addServer(server ServerStatus) {
	if len(m.Servers) < maxServersPerMessage {
		m.Servers = append(m.Servers, server)
	}
}

func (m *Message) addObservation(observation Observation) {
	if len(m.Observations) < maxServersPerMessage {
		m.Observations = append(m.Observations, observation)
	}
}

// unhealthyForPeers returns the servers that are unhealthy for some peer.
func (p *PeerState) unhealthyForPeers(now fleet.Time) map[string]bool {
	unhealthy := map[string]bool{}
	for _, peer := range p.activePeers(now) {
		for _, observation := range peer.message.Observations {
			if observation.isUnhealthy() {
				unhealthy[observation.Name] = true
			}
		}
	}
	return unhealthy
}

// activePeers returns the peers whose messages count, by name, and forgets those that were silent for long.
func (p *PeerState) activePeers(now fleet.Time) (active []*peer) {
	for _, name := range slices.Sorted(maps.Keys(p.peers)) {
		peer := p.peers[name]
		switch {
		case now < peer.receivedAt+messageLifetime:
			active = append(active, peer)
		case now >= peer.receivedAt+2*noticeInterval:
			delete(p.peers, name)
		}
	}
	return active
}

// PeerView is what operators see of a peer.
type PeerStatus struct {
	Controller   string
	Age          fleet.Time // of its message
	ListRevision uint64
	Live         bool
	Servers      int
	Ahead        bool // its list is newer than ours
}

// Peers returns what operators see of all peers, by name.
func (p *PeerState) Peers(now fleet.Time) (statuses []PeerStatus) {
	for _, name := range slices.Sorted(maps.Keys(p.peers)) {
		peer := p.peers[name]
		statuses = append(statuses, PeerStatus{
			Controller:   name,
			Age:          now - peer.receivedAt,
			ListRevision: peer.message.ListRevision,
			Live:         peer.message.Live,
			Servers:      len(peer.message.Servers),
			Ahead:        peer.newerSince > 0,
		})
	}
	return statuses
}
