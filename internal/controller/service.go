package controller

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
)

const (
	whyShown = 10 // reasons told of a server
)

// QueryHandler answers what only the governor's loop knows, for the service.
type QueryHandler struct {
	Loop    *Loop
	Program string
}

var _ service.QueryHandler = QueryHandler{}

// facts tells what callers of the service are told beside tables, where that has changed.
func (c *Core) facts(out *Output) {
	if !c.factsDue {
		return
	}
	c.factsDue = false
	f := service.PublishedState{ListRevision: c.rev, Live: c.live, Open: []string{}}
	for id, e := range c.entries {
		if e.State == fleet.ServerReady && !c.plane.Withdrawn(id) {
			name, _ := c.names.Of(id)
			f.Open = append(f.Open, name)
		}
	}
	slices.Sort(f.Open)
	out.Facts = &f
}

// Server tells of a server.
func (d QueryHandler) Server(ctx context.Context, name string) (s service.ServerState, err error) {
	asked := d.Loop.Ask(ctx, func(c *Core) {
		id, known := c.names.Server(name)
		if !known {
			err = &service.Fault{Code: service.NoServer, Text: fmt.Sprintf("%q was never heard of", name)}
			return
		}
		now := d.Loop.now()
		e, listed := c.entries[id]
		s.Name, s.Addr = c.names.Of(id)
		if s.State = stateWords[fleet.ServerGone]; listed {
			s.State, s.Zone, s.Verdict = stateWords[e.State], c.site.Zones[e.Zone], c.intake.Verdict(id).String()
			if c.isCold(now, id) {
				s.SlowStartRemaining = e.Started + c.site.SlowStart.Duration - now
			}
		}
		s.Withdrawn = c.plane.Withdrawn(id)
		for _, z := range c.callers {
			for class, of := range c.site.Classes {
				if table, bound := c.plane.TableOf(z.Proxy, fleet.ClassID(class)); bound {
					s.Weights = append(s.Weights, service.ClassWeight{Zone: z.Name, Class: of.Name, Weight: int(c.plane.Published(table, id))})
				}
			}
		}
		reasons := c.reasons(name)
		for _, l := range reasons[max(0, len(reasons)-whyShown):] {
			s.Reasons = append(s.Reasons, fmt.Sprintf("%s %s: %s", stamp(l.At), l.From, l.Text))
		}
	})
	if asked != nil {
		return s, asked
	}
	return s, err
}

// reasons gives the log lines that name a server, oldest first.
func (c *Core) reasons(name string) (lines []Line) {
	for _, l := range c.logs {
		if words := strings.FieldsFunc(l.Text, func(r rune) bool { return r == ' ' || r == ':' || r == ',' }); slices.Contains(words, name) {
			lines = append(lines, l)
		}
	}
	return lines
}

// History tells of the table that a class goes by in a zone.
func (d QueryHandler) History(ctx context.Context, zone, class string, most int) (rows []service.VersionRow, err error) {
	asked := d.Loop.Ask(ctx, func(c *Core) {
		z := slices.IndexFunc(c.callers, func(z service.Zone) bool { return z.Name == zone })
		at := slices.IndexFunc(c.site.Classes, func(k fleet.RequestClass) bool { return k.Name == class })
		switch {
		case z < 0:
			err = &service.Fault{Code: service.NoZone, Text: fmt.Sprintf("zone %.256q is none of this governor's", zone)}
			return
		case at < 0:
			err = &service.Fault{Code: service.NoClass, Text: fmt.Sprintf("%.256q is none of the classes", class)}
			return
		}
		table, bound := c.plane.TableOf(c.callers[z].Proxy, fleet.ClassID(at))
		if !bound || c.plane.TableVersions(table) == nil {
			err = &service.Fault{Code: service.Unready, Text: "no table is laid yet", RetryAfter: fleet.Second}
			return
		}
		history := c.plane.TableVersions(table).History()
		for _, v := range history[max(0, len(history)-most):] {
			rows = append(rows, service.VersionRow{Version: v.To, Digest: v.ToDigest, CreatedAt: v.CreatedAt, Entries: len(v.Entries), Reason: v.Reason})
		}
	})
	if asked != nil {
		return nil, asked
	}
	return rows, err
}

// Summary tells how the fleet stands.
func (d QueryHandler) Summary(ctx context.Context) (m service.Summary, err error) {
	err = d.Loop.Ask(ctx, func(c *Core) {
		now := d.Loop.now()
		m = service.Summary{Program: d.Program, Epoch: c.epoch, ListRevision: c.rev, ListAge: now - c.listed, Live: c.live, Servers: len(c.entries),
			ProxiesUp: len(c.streams), ProxiesAll: len(c.proxies)}
		for id, e := range c.entries {
			if e.State == fleet.ServerReady {
				m.Ready++
			}
			if c.isCold(now, id) {
				m.WarmingUp++
			}
			if c.plane.Withdrawn(id) {
				m.Withdrawn++
			}
		}
	})
	m.Controller = d.Loop.name
	return m, err
}
