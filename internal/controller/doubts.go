package controller

import (
	"fmt"
	"strings"

	"cressknot/internal/discovery"
	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// Starting without discovery: what package boot decides of a kept list is carried out here.

// Proof is an Input: what came of asking a server of a kept list whether it is there.
type Proof struct {
	Server fleet.ServerID
	Of     verification.Evidence
}

// cached takes a kept list up, unless the source itself was quicker.
func (c *Core) cached(now fleet.Time, u discovery.Update, out *Output) {
	switch {
	case c.live:
		return
	case len(u.List.Endpoints) == 0: // told as a list it would take every server out
		c.log(out, Line{now, "warn", "list", "the kept list is empty: proxies go on by what they hold until the list's source is heard"})
		return
	}
	c.takeList(now, u, out)
	age, known := verification.Age(now, u.ConfirmedAt)
	var names []verification.NamedEndpoint
	for id, e := range c.entries {
		name, addr := c.names.Of(id)
		names = append(names, verification.NamedEndpoint{Endpoint: e, Addr: addr, Unverified: u.Unverified[name]})
	}
	c.doubts.Begin(now, age, names)
	text := fmt.Sprintf("starts from a list of %d servers that is %.0f s old", len(names), age.Seconds())
	if !known {
		text = fmt.Sprintf("starts from a list of %d servers whose age can't be told", len(names))
	}
	c.log(out, Line{now, "info", "list", fmt.Sprintf("%s; a name is worth %.2f", text, verification.Trust(age))})
}

// doubting carries out what is to be done about servers of a kept list.
func (c *Core) doubting(now fleet.Time, out *Output) (wake fleet.Time) {
	p := c.doubts.Next(now)
	out.Proves = p.Ask
	if len(p.Out)+len(p.In) > 0 {
		l := fleet.EndpointList{Scope: fleet.ListDelta, Revision: fleet.ListRevision(c.rev), Endpoints: append(p.Out, p.In...)}
		for _, e := range l.Endpoints {
			if e.State == fleet.ServerGone {
				delete(c.entries, e.Server)
			} else {
				c.entries[e.Server] = e
			}
		}
		c.tell(now, l)
	}
	if len(p.Parts) > 0 {
		var parts []reconcile.Part
		for _, one := range p.Parts {
			parts = append(parts, reconcile.Part(one))
		}
		c.plane.Parts(now, parts, "a kept list's names")
	}
	for _, s := range p.Notices {
		l := Line{now, "info", "list", s.Text}
		if s.OfServer {
			name, addr := c.names.Of(s.Server)
			l.Level, l.Text = "warn", fmt.Sprintf("server %s (%s) %s", name, addr, s.Text)
		}
		c.log(out, l)
	}
	return p.Wake
}

func (o *Operators) showDoubts(c *Core, _ []string) string {
	var b strings.Builder
	b.WriteString("# server sight part out why\n")
	for _, v := range c.doubts.Views() {
		name, _ := c.names.Of(v.Server)
		why := v.Why
		if why == "" {
			why = "-"
		}
		fmt.Fprintf(&b, "%s %s %.2f %v %s\n", name, v.Sight, v.Part, v.Out, why)
	}
	return b.String()
}
