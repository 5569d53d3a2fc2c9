package controller

import (
	"cmp"
	"fmt"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/gossip"
)

// What other governors tell: package peers decides what is made of it, here it is carried out.

const heedEvery = fleet.Second / 4 // between two looks at peers' news: as often as a turn comes in any case

// Peers lets the governor hear others, and tell them.
func (c *Core) Peers(me string) { c.board = gossip.NewPeerState(me, c.epoch) }

// ownList tells the board what our list says.
func (c *Core) ownList(now fleet.Time) {
	if c.board == nil {
		return
	}
	own := make(map[string]gossip.LocalServer, len(c.docs))
	for name, s := range c.docs {
		o := gossip.LocalServer{State: stateNames[s.State]}
		if !s.Started.IsZero() {
			o.Started = fleet.Time(s.Started.UnixNano())
		}
		own[name] = o
	}
	c.board.SetLocalList(now, c.rev, c.live, own)
}

func (c *Core) meet(now fleet.Time, e fleet.OutcomeReport) {
	if c.board != nil {
		name, _ := c.names.Of(e.Server)
		c.board.ObserveOutcome(now, name, e.Attempts, e.Failures)
	}
}

// heed takes over what follows from peers' news, and gives ours.
func (c *Core) heed(now fleet.Time, out *Output) {
	if c.board == nil || now < c.boardAt+heedEvery {
		return
	}
	c.boardAt = now
	changes, says := c.board.Next(now)
	l := fleet.EndpointList{Scope: fleet.ListDelta, Revision: fleet.ListRevision(c.rev)}
	for _, ch := range changes {
		s, listed := c.docs[ch.Name]
		id, known := c.names.Server(ch.Name)
		if !listed || !known {
			continue
		}
		e := fleet.Endpoint{Server: id, Zone: c.zones[s.Zone], Kind: c.kinds[s.Kind], Cell: fleet.CellID(s.Cell), Weight: cmp.Or(s.Weight, 1), State: ch.As.State, Started: ch.As.Started}
		if e.State == fleet.ServerGone {
			delete(c.entries, id)
		} else {
			c.entries[id] = e
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	if len(l.Endpoints) > 0 {
		c.tell(now, l)
	}
	for _, s := range says {
		text := s.Text
		if s.Server != "" {
			text = "server " + s.Server + " " + text
		}
		c.log(out, Line{now, "warn", "peers", text})
	}
	if n, due := c.board.NextMessage(now, c.site.SlowStart.Duration); due {
		out.News = &n
	}
}

func (o *Operators) showPeers(c *Core, _ []string) string {
	if c.board == nil {
		return "No peers are heard.\n"
	}
	var b strings.Builder
	b.WriteString("# governor age_s list_rev live tells_of list_ahead\n")
	for _, p := range c.board.Peers(o.loop.now()) {
		fmt.Fprintf(&b, "%s %.1f %d %v %d %v\n", p.Controller, p.Age.Seconds(), p.ListRevision, p.Live, p.Servers, p.Ahead)
	}
	fmt.Fprintf(&b, "# %d servers count as peers say; %d news refused, %d old\n", c.board.Given(), c.board.Refused, c.board.Old)
	return b.String()
}
