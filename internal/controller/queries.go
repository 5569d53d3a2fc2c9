package controller

import (
	"context"
	"fmt"
	"slices"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
)

// maxServerLogEntries is how many of the latest log entries about a server the service returns with its state.
const maxServerLogEntries = 10

// QueryHandler answers the service's queries from the state of a controller's loop. Its methods may be called from any
// goroutine but the loop's own. They wait until the loop is free, and return an error if the context ends before that.
type QueryHandler struct {
	Loop    *Loop
	Program string // version of the program
}

var _ service.QueryHandler = QueryHandler{}

// Server returns the state of a server by name. A server that has left the list is "gone"; a name that the controller
// never saw is a service.Error with code NoServer.
func (h QueryHandler) Server(ctx context.Context, name string) (state service.ServerState, err error) {
	callErr := h.Loop.Do(ctx, func(c *Core) { state, err = c.serverState(h.Loop.Now(), name) })
	if callErr != nil {
		return state, callErr
	}
	return state, err
}

func (c *Core) serverState(now fleet.Time, name string) (service.ServerState, error) {
	var state service.ServerState
	id, known := c.names.Server(name)
	if !known {
		text := fmt.Sprintf("no server %q is known to this controller", name)
		return state, &service.Error{Code: service.NoServer, Text: text}
	}
	e, listed := c.endpoints.listed[id]
	state.Name, state.Addr = c.names.Lookup(id)
	state.State = fleet.ServerGoneName
	if listed {
		state.State = e.State.Name()
		state.Zone = c.site.Zones[e.Zone]
		state.Verdict = c.pipeline.Verdict(id).String()
		if c.warmingUp(now, id) {
			state.SlowStartRemaining = e.Started + c.site.SlowStart.Duration - now
		}
	}
	state.Withdrawn = c.reconciler.Withdrawn(id)
	state.Weights = c.serverWeights(id)
	entries := c.history.entriesNaming(name)
	for _, entry := range entries[max(0, len(entries)-maxServerLogEntries):] {
		reason := fmt.Sprintf("%s %s: %s", formatTime(entry.At), entry.Source, entry.Text)
		state.Reasons = append(state.Reasons, reason)
	}
	return state, nil
}

// serverWeights returns the weights that clients in each zone use for a server, by class.
func (c *Core) serverWeights(id fleet.ServerID) (weights []service.ClassWeight) {
	for _, zone := range c.published.zones {
		for class, requestClass := range c.site.Classes {
			table, assigned := c.reconciler.TableOf(zone.Proxy, fleet.ClassID(class))
			if !assigned {
				continue
			}
			weights = append(weights, service.ClassWeight{
				Zone:   zone.Name,
				Class:  requestClass.Name,
				Weight: int(c.reconciler.PublishedWeight(table, id)),
			})
		}
	}
	return weights
}

// History returns up to limit of the latest versions of the table that serves a class in a zone, oldest first. The
// error is a service.Error with code NoZone, NoClass, or Unready while the class has no table there.
func (h QueryHandler) History(
	ctx context.Context, zone, class string, limit int,
) (rows []service.VersionRow, err error) {
	callErr := h.Loop.Do(ctx, func(c *Core) { rows, err = c.tableHistory(zone, class, limit) })
	if callErr != nil {
		return nil, callErr
	}
	return rows, err
}

func (c *Core) tableHistory(zoneName, className string, limit int) (rows []service.VersionRow, err error) {
	zones := c.published.zones
	zoneIndex := slices.IndexFunc(zones, func(z service.Zone) bool { return z.Name == zoneName })
	classIndex := slices.IndexFunc(c.site.Classes, func(k fleet.RequestClass) bool { return k.Name == className })
	switch {
	case zoneIndex < 0:
		text := fmt.Sprintf("zone %.256q is not served by this controller", zoneName)
		return nil, &service.Error{Code: service.NoZone, Text: text}
	case classIndex < 0:
		text := fmt.Sprintf("class %.256q is not configured", className)
		return nil, &service.Error{Code: service.NoClass, Text: text}
	}
	id, assigned := c.reconciler.TableOf(zones[zoneIndex].Proxy, fleet.ClassID(classIndex))
	if !assigned || c.reconciler.TableVersions(id) == nil {
		text := fmt.Sprintf("class %s has no weight table in zone %s yet", className, zoneName)
		return nil, &service.Error{Code: service.Unready, Text: text, RetryAfter: fleet.Second}
	}
	history := c.reconciler.TableVersions(id).History()
	for _, v := range history[max(0, len(history)-limit):] {
		rows = append(rows, service.VersionRow{
			Version:   v.To,
			Digest:    v.ToDigest,
			CreatedAt: v.CreatedAt,
			Entries:   len(v.Entries),
			Reason:    v.Reason,
		})
	}
	return rows, nil
}

// Summary returns the state of the fleet in figures. The controller's name is set even with an error.
func (h QueryHandler) Summary(ctx context.Context) (summary service.Summary, err error) {
	err = h.Loop.Do(ctx, func(c *Core) { summary = c.summary(h.Loop.Now()) })
	if err == nil {
		summary.Program = h.Program
	}
	summary.Controller = h.Loop.name
	return summary, err
}

func (c *Core) summary(now fleet.Time) service.Summary {
	s := service.Summary{
		Epoch:        c.epoch,
		ListRevision: c.endpoints.revision,
		ListAge:      now - c.endpoints.updatedAt,
		Live:         c.endpoints.live,
		Servers:      len(c.endpoints.listed),
		ProxiesUp:    len(c.proxies.streams),
		ProxiesAll:   len(c.proxies.configured),
	}
	for id, e := range c.endpoints.listed {
		if e.State == fleet.ServerReady {
			s.Ready++
		}
		if c.warmingUp(now, id) {
			s.WarmingUp++
		}
		if c.reconciler.Withdrawn(id) {
			s.Withdrawn++
		}
	}
	return s
}
