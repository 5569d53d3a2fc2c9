// Package gossip merges the messages of other controllers, the peers. It applies draining, gone and restarted servers
// from endpoint lists newer than the local one, and tells whether a server that is unhealthy for this controller is
// unhealthy for its peers, too.
//
// Messages may be lost, late or repeated; outdated ones are dropped. Peers can only stop requests to servers or put
// them into slow start; they never direct requests to a server. A faulty peer therefore costs capacity, within a
// bound. The package does no I/O and reads no clock. docs/design/gossip.md describes the alternatives considered.
package gossip

import (
	"fmt"
	"maps"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// MaxControllers bounds the peers whose messages are accepted: twice the supported number of controllers.
	MaxControllers = 64
	// SendInterval is the time between two messages. The drain timeout of a server covers several of them.
	SendInterval = fleet.Second
	// messageLifetime is how long a message is valid: five lost ones are tolerated.
	messageLifetime = 5 * fleet.Second
	// goneRetention is how long a server that was removed from the local list is sent as gone. The lists of peers lag
	// by seconds.
	goneRetention = 600 * fleet.Second
	// observationWindow is the greatest age of attempts that an observation counts.
	observationWindow = 10 * fleet.Second
	// noticeInterval is the shortest time between two health notices about a server. Peers without a message for twice
	// this time are removed.
	noticeInterval = 60 * fleet.Second
)

// LocalServer is the state of a server in this controller's endpoint list.
type LocalServer struct {
	State   fleet.ServerState
	Started fleet.Time // 0: unknown
}

// peer is the latest message of another controller.
type peer struct {
	message    Message
	receivedAt fleet.Time
	newerSince fleet.Time // since when its list is newer than the local one; 0: it is not
}

// outcome counts attempts at a server that were reported at one time.
type outcome struct {
	at                 fleet.Time
	attempts, failures uint32
}

// PeerState merges the messages of peers with the local endpoint list. It is not safe for concurrent use.
type PeerState struct {
	self  string
	epoch uint64

	// The local endpoint list.
	servers  map[string]LocalServer
	revision uint64
	live     bool
	goneAt   map[string]fleet.Time // when servers were removed from the list

	// Messages sent and received.
	peers    map[string]*peer
	sequence uint64
	sentAt   fleet.Time
	Invalid  uint64 // number of invalid messages received, and of those beyond MaxControllers
	Outdated uint64 // number of messages received that were not newer than the previous one

	// Results of merging.
	overrides        map[string]LocalServer // replace entries of the local list
	overridesIgnored bool                   // too many overrides; none is applied
	outcomes         map[string][]outcome   // recent ones, by server
	noticedAt        map[string]fleet.Time  // last health notice, by server
}

// NewPeerState returns the state of controller self without peers and with an empty list. The epoch must be higher at
// each start of the controller: peers drop messages of lower epochs.
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

// SetLocalList replaces the local list; live tells whether it came from its source since this controller started. It
// removes all overrides: Next returns those that still apply as changes again.
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

// ObserveOutcome adds attempts of this controller's proxies at a server.
func (p *PeerState) ObserveOutcome(now fleet.Time, name string, attempts, failures uint32) {
	recent := p.outcomes[name]
	for len(recent) > 0 && recent[0].at < now-observationWindow {
		recent = recent[1:]
	}
	p.outcomes[name] = append(recent, outcome{now, attempts, failures})
}

// observation counts the recent attempts of this controller's proxies at a server.
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

// Merge stores the message of a peer for the next call of Next. It returns an error for an invalid message and for one
// of a peer beyond MaxControllers, and stores neither. Outdated messages are dropped without an error, as are
// this controller's own.
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

// NextMessage returns the message to send to all peers, if one is due since SendInterval has passed. It includes
// servers that started less than warmUp ago.
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

// activePeers returns the peers whose messages are valid, sorted by name. It removes peers that sent nothing for twice
// noticeInterval.
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

// PeerStatus is the state of a peer as shown to operators.
type PeerStatus struct {
	Controller   string
	Age          fleet.Time // of its latest message
	ListRevision uint64
	Live         bool
	Servers      int  // number of servers in its latest message
	Ahead        bool // its list is newer than the local one
}

// Peers returns the status of all peers, sorted by name.
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
