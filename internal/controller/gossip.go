package controller

import (
	"cressknot/internal/fleet"
	"cressknot/internal/gossip"
)

// gossipInterval is the time between two exchanges. It is not shorter than maxStepInterval, so it adds no steps.
const gossipInterval = fleet.Second / 4

// gossipState is the merged state of other controllers.
type gossipState struct {
	peers       *gossip.PeerState // nil if gossip is disabled
	exchangedAt fleet.Time
}

// EnableGossip makes the controller exchange gossip with others under the given name. It is called after the epoch has
// begun and before the first Step.
func (c *Core) EnableGossip(name string) { c.gossip.peers = gossip.NewPeerState(name, c.epoch) }

func (c *Core) handleGossip(now fleet.Time, message gossip.Message, out *Output) {
	if c.gossip.peers == nil {
		return
	}
	if err := c.gossip.peers.Merge(now, message); err != nil {
		c.log(out, LogEntry{now, LevelWarn, "peers", err.Error()})
	}
}

// shareListWithGossip passes this controller's own list to the merged state, which compares it with those of peers.
func (c *Core) shareListWithGossip(now fleet.Time) {
	if c.gossip.peers == nil {
		return
	}
	e := &c.endpoints
	own := make(map[string]gossip.LocalServer, len(e.byName))
	for name, s := range e.byName {
		own[name] = gossip.LocalServer{State: stateOf(s), Started: startTimeOf(s)}
	}
	c.gossip.peers.SetLocalList(now, e.revision, e.live, own)
}

func (c *Core) observeOutcomeForGossip(now fleet.Time, report fleet.OutcomeReport) {
	if c.gossip.peers != nil {
		c.gossip.peers.ObserveOutcome(now, c.serverName(report.Server), report.Attempts, report.Failures)
	}
}

// exchangeGossip applies the server states that result from the peers' messages, and outputs this controller's own
// message when one is due.
func (c *Core) exchangeGossip(now fleet.Time, out *Output) {
	if c.gossip.peers == nil || now < c.gossip.exchangedAt+gossipInterval {
		return
	}
	c.gossip.exchangedAt = now
	changes, notices := c.gossip.peers.Next(now)
	list := fleet.EndpointList{Scope: fleet.ListDelta, Revision: fleet.ListRevision(c.endpoints.revision)}
	for _, change := range changes {
		if endpoint, listed := c.applyPeerState(change.Name, change.Server); listed {
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	if len(list.Endpoints) > 0 {
		c.distributeEndpoints(now, list)
	}
	for _, notice := range notices {
		text := notice.Text
		if notice.Server != "" {
			text = "server " + notice.Server + " " + text
		}
		c.log(out, LogEntry{now, LevelWarn, "peers", text})
	}
	if message, due := c.gossip.peers.NextMessage(now, c.site.SlowStart.Duration); due {
		out.Gossip = &message
	}
}

// applyPeerState applies the state and start time that peers report for a server. listed is false if the server is not
// in this controller's list, in which case nothing changes.
func (c *Core) applyPeerState(name string, as gossip.LocalServer) (endpoint fleet.Endpoint, listed bool) {
	s, listed := c.endpoints.byName[name]
	id, known := c.names.Server(name)
	if !listed || !known {
		return fleet.Endpoint{}, false
	}
	endpoint = c.endpoints.fleetEndpoint(id, s, as.State, as.Started)
	c.endpoints.updateListed(endpoint)
	return endpoint, true
}
