package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cressknot/internal/discovery"
	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
)

// endpointState is the endpoint list that the controller uses, and the state of its source.
type endpointState struct {
	zones map[string]fleet.ZoneID
	kinds map[string]fleet.KindID
	// byName is the list as its source sent it. listed is the list that the balancer uses; gossip and verification
	// may have changed it.
	byName      map[string]discovery.Endpoint
	listed      map[fleet.ServerID]fleet.Endpoint
	revision    uint64
	updatedAt   fleet.Time
	live        bool       // the source itself has delivered a list, not only a cache
	confirmedAt fleet.Time // when the source last confirmed the list
	cachedAt    fleet.Time // confirmedAt of the list that was cached last
	lastError   string     // the last error of the source that was logged; "" for none
	shrinkGate  *verification.ShrinkGate
	heldList    discovery.Update // the list that the shrink gate holds back
	verifier    *verification.Verifier
}

func newEndpointState(site fleet.Site) endpointState {
	e := endpointState{
		zones:      map[string]fleet.ZoneID{},
		kinds:      map[string]fleet.KindID{},
		byName:     map[string]discovery.Endpoint{},
		listed:     map[fleet.ServerID]fleet.Endpoint{},
		shrinkGate: verification.NewShrinkGate(site.DrainTimeout),
		verifier:   verification.NewVerifier(site, true),
	}
	for i, zone := range site.Zones {
		e.zones[zone] = fleet.ZoneID(i)
	}
	for i, kind := range site.Kinds {
		e.kinds[kind] = fleet.KindID(i)
	}
	return e
}

// fleetEndpoint returns a listed server in the balancer's form, with the given state and start time.
func (e *endpointState) fleetEndpoint(
	id fleet.ServerID, s discovery.Endpoint, state fleet.ServerState, started fleet.Time,
) fleet.Endpoint {
	return fleet.Endpoint{
		Server:  id,
		Zone:    e.zones[s.Zone],
		Kind:    e.kinds[s.Kind],
		Cell:    fleet.CellID(s.Cell),
		Weight:  cmp.Or(s.Weight, 1),
		State:   state,
		Started: started,
	}
}

// stateOf returns the state of a listed server. An unknown state counts as ready.
func stateOf(s discovery.Endpoint) fleet.ServerState {
	state, _ := fleet.ParseServerState(s.State)
	return state
}

// startTimeOf returns the start time that a server has reported, 0 for none.
func startTimeOf(s discovery.Endpoint) fleet.Time {
	if s.Started.IsZero() {
		return 0
	}
	return fleet.Time(s.Started.UnixNano())
}

// updateListed updates an endpoint in listed, or removes it if the server is gone.
func (e *endpointState) updateListed(endpoint fleet.Endpoint) {
	if endpoint.State == fleet.ServerGone {
		delete(e.listed, endpoint.Server)
	} else {
		e.listed[endpoint.Server] = endpoint
	}
}

// list returns the full list, sorted by name.
func (e *endpointState) list() *discovery.EndpointList {
	list := discovery.EndpointList{Revision: e.revision}
	for _, s := range e.byName {
		list.Endpoints = append(list.Endpoints, s)
	}
	slices.SortFunc(list.Endpoints, func(a, b discovery.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return &list
}

// handleEndpoints handles an update from the endpoint source or from a cache.
func (c *Core) handleEndpoints(now fleet.Time, update discovery.Update, out *Output) {
	c.logSourceError(now, update.Err, out)
	switch {
	case update.Scope == fleet.ListFailed:
		if c.site.ListOnRequest {
			c.events.current = append(c.events.current, fleet.EndpointList{Scope: fleet.ListFailed})
		}
	case update.Unchanged:
		c.endpoints.confirmedAt = now
	case update.Scope == fleet.ListCached:
		c.startFromCache(now, update, out)
	case update.Scope == fleet.ListFull:
		if !c.holdIfShrunk(now, update, out) {
			c.applyList(now, update, out)
		}
	default:
		if update.Scope == fleet.ListDelta && c.hasHeldList() { // the delta is relative to the held list
			c.endpoints.shrinkGate.Reset()
			c.applyHeldList(now, out)
		}
		c.applyList(now, update, out)
	}
}

// logSourceError logs an error only when it changes, as a source may be unavailable for hours.
func (c *Core) logSourceError(now fleet.Time, err error, out *Output) {
	if err == nil {
		c.endpoints.lastError = ""
		return
	}
	reason := err.Error()
	if reason != c.endpoints.lastError {
		c.endpoints.lastError = reason
		c.log(out, LogEntry{now, LevelWarn, "list", reason})
	}
}

func (c *Core) hasHeldList() bool {
	held := &c.endpoints.heldList
	return held.Scope == fleet.ListFull && held.List.Revision > 0
}

func (c *Core) applyHeldList(now fleet.Time, out *Output) {
	c.applyList(now, c.endpoints.heldList, out)
	c.endpoints.heldList = discovery.Update{}
}

// holdIfShrunk holds back a full list that contains too few of the known servers, and reports whether it did.
func (c *Core) holdIfShrunk(now fleet.Time, update discovery.Update, out *Output) bool {
	e := &c.endpoints
	remaining := 0
	digest := xxhash.New()
	for _, s := range update.List.Endpoints {
		if _, known := e.byName[s.Name]; known && s.State != fleet.ServerGoneName {
			remaining++
		}
		_, _ = fmt.Fprintln(digest, s.Name, s.State) // a hash never fails
	}
	known := len(e.byName) - e.verifier.EjectedCount() // ejected servers are already considered gone
	if e.shrinkGate.Check(now, known, remaining, digest.Sum64()) == verification.AcceptList {
		e.heldList = discovery.Update{}
		return false
	}
	e.heldList = update
	text := fmt.Sprintf(
		"endpoint list rev %d has only %d of %d known servers: holding it back and fetching the list again",
		update.List.Revision, remaining, known)
	c.log(out, LogEntry{now, LevelWarn, "list", text})
	return true
}

// releaseHeldList applies the list that is held back if no complete one has arrived in time.
func (c *Core) releaseHeldList(now fleet.Time, out *Output) (due fleet.Time) {
	release, fetch, due := c.endpoints.shrinkGate.Due(now)
	out.FetchEndpoints = out.FetchEndpoints || fetch
	if release {
		text := fmt.Sprintf("applying held endpoint list rev %d: no complete list arrived in time",
			c.endpoints.heldList.List.Revision)
		c.log(out, LogEntry{now, LevelWarn, "list", text})
		c.applyHeldList(now, out)
	}
	return due
}

// applyList applies an update of the endpoint list.
func (c *Core) applyList(now fleet.Time, update discovery.Update, out *Output) {
	e := &c.endpoints
	if update.Scope != fleet.ListDelta {
		clear(e.byName)
		clear(e.listed)
	}
	list := fleet.EndpointList{Scope: update.Scope, Revision: fleet.ListRevision(update.List.Revision)}
	for _, s := range update.List.Endpoints {
		if _, ok := e.zones[s.Zone]; !ok && s.State != fleet.ServerGoneName { // a server that is gone needs no zone
			text := fmt.Sprintf("server %s: zone %q is not configured for this site; ignoring the server", s.Name, s.Zone)
			c.log(out, LogEntry{now, LevelError, "list", text})
			continue
		}
		endpoint := c.applyEndpoint(s)
		if endpoint.State == fleet.ServerGone && update.Scope != fleet.ListDelta {
			continue
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	e.revision = update.List.Revision
	e.updatedAt = now
	if update.Scope != fleet.ListCached {
		e.live = true
		e.confirmedAt = now
		e.verifier.ListReceived(now, list)
		out.Endpoints = e.list()
	}
	c.distributeEndpoints(now, list)
	c.shareListWithGossip(now)
}

// applyEndpoint applies one endpoint of a list, and notifies the reconciler of a changed address.
func (c *Core) applyEndpoint(s discovery.Endpoint) fleet.Endpoint {
	id, addressChanged := c.names.SetAddress(s.Name, s.Addr)
	if addressChanged {
		c.reconciler.AddressChanged(id)
	}
	endpoint := c.endpoints.fleetEndpoint(id, s, stateOf(s), startTimeOf(s))
	c.endpoints.updateListed(endpoint)
	if endpoint.State == fleet.ServerGone {
		delete(c.endpoints.byName, s.Name)
	} else {
		c.endpoints.byName[s.Name] = s
	}
	return endpoint
}

// distributeEndpoints passes a list to the report pipeline, the safety checker, the reconciler and the balancer.
func (c *Core) distributeEndpoints(now fleet.Time, list fleet.EndpointList) {
	c.published.changed = true
	c.updateReportSources(list)
	c.guard.Observe(now, list) // before the reconciler, which checks the entries at proxies against the new list
	c.reconciler.SetEndpoints(now, list)
	c.events.current = append(c.events.current, list)
}

// updateReportSources updates the listed servers of the report pipeline. A full list removes all other servers.
func (c *Core) updateReportSources(list fleet.EndpointList) {
	if list.Scope != fleet.ListDelta {
		for id := range c.names.Count() {
			if _, listed := c.endpoints.listed[fleet.ServerID(id)]; !listed {
				c.pipeline.SetListed(fleet.ServerID(id), true)
			}
		}
	}
	for _, e := range list.Endpoints {
		c.pipeline.SetListed(e.Server, e.State == fleet.ServerGone)
	}
}
