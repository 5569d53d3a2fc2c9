package platform

import (
	"slices"

	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/ingest/collector"
	"cressknot/internal/transport/relay"
)

// maxUnconfirmedNames limits the remembered names of dropped servers that the relay may still have withdrawn. It is
// enough for the lost calls of a few hundred rollouts.
const maxUnconfirmedNames = 4096

// serverRegistry maps the platform's server names to IDs and back. IDs are never reused: if a name is listed again
// after the balancer has dropped its server, the name gets a new ID.
type serverRegistry struct {
	ids    map[string]fleet.ServerID
	names  map[fleet.ServerID]string
	lastID fleet.ServerID
	// pendingIDs are the IDs assigned since the last step, which the balancer does not track yet.
	pendingIDs map[fleet.ServerID]bool
	// unconfirmed are the names of dropped servers whose last withdrawal or readmission is unconfirmed.
	unconfirmed map[string]bool
}

func newServerRegistry() serverRegistry {
	return serverRegistry{
		ids:         map[string]fleet.ServerID{},
		names:       map[fleet.ServerID]string{},
		pendingIDs:  map[fleet.ServerID]bool{},
		unconfirmed: map[string]bool{},
	}
}

// assignID assigns a new ID to a name.
func (r *serverRegistry) assignID(name string) fleet.ServerID {
	r.lastID++
	r.ids[name] = r.lastID
	r.names[r.lastID] = name
	r.pendingIDs[r.lastID] = true
	return r.lastID
}

// clearPendingIDs marks all assigned IDs as known to the balancer.
func (r *serverRegistry) clearPendingIDs() { clear(r.pendingIDs) }

// markUnconfirmed records that the last withdrawal or readmission of a dropped server is unconfirmed. Names beyond
// maxUnconfirmedNames are ignored.
func (r *serverRegistry) markUnconfirmed(name string) {
	if len(r.unconfirmed) < maxUnconfirmedNames {
		r.unconfirmed[name] = true
	}
}

// takeUnconfirmed removes the record of markUnconfirmed for a name and reports whether there was one.
func (r *serverRegistry) takeUnconfirmed(name string) bool {
	if !r.unconfirmed[name] {
		return false
	}
	delete(r.unconfirmed, name)
	return true
}

// isDropped reports whether the balancer has dropped the server.
func (c *Controller) isDropped(id fleet.ServerID) bool {
	return !c.balancer.Tracks(id) && !c.servers.pendingIDs[id]
}

// removeDroppedServers removes the servers that the balancer has dropped from the registry, because another server may
// use the name later.
func (c *Controller) removeDroppedServers() {
	for id, name := range c.servers.names {
		if c.isDropped(id) {
			delete(c.servers.names, id)
			delete(c.servers.ids, name)
		}
	}
}

// handleEndpoints converts an update of the endpoint list to an event of the balancer, with IDs in place of names.
func (c *Controller) handleEndpoints(update discovery.Update) {
	if update.Unchanged {
		return
	}
	c.removeDroppedServers()
	event := fleet.EndpointList{Scope: update.Scope, Revision: fleet.ListRevision(update.List.Revision)}
	var unconfirmed []fleet.Order
	for _, endpoint := range update.List.Endpoints {
		id, known := c.servers.ids[endpoint.Name]
		if !known {
			if endpoint.State == fleet.ServerGoneName {
				continue // this controller never used the server
			}
			id = c.servers.assignID(endpoint.Name)
			if c.servers.takeUnconfirmed(endpoint.Name) { // the relay may still have the name withdrawn
				unconfirmed = append(unconfirmed, fleet.WithdrawServer{Server: id})
			}
		}
		event.Endpoints = append(event.Endpoints, c.endpoint(id, endpoint))
	}
	c.events = append(c.events, event)
	if len(unconfirmed) > 0 {
		c.events = append(c.events, fleet.OrdersUnconfirmed{Orders: unconfirmed})
	}
}

// endpoint converts a listed endpoint. An endpoint whose zone or kind is not configured gets the first one.
func (c *Controller) endpoint(id fleet.ServerID, listed discovery.Endpoint) fleet.Endpoint {
	state, _ := fleet.ParseServerState(listed.State) // validated by package discovery
	endpoint := fleet.Endpoint{
		Server: id,
		State:  state,
		Cell:   fleet.CellID(listed.Cell),
		Weight: listed.Weight,
		Zone:   fleet.ZoneID(max(0, slices.Index(c.site.Zones, listed.Zone))),
		Kind:   fleet.KindID(max(0, slices.Index(c.site.Kinds, listed.Kind))),
	}
	if !listed.Started.IsZero() {
		endpoint.Started = fleet.Time(listed.Started.UnixNano())
	}
	return endpoint
}

// handleReport passes a load report to the balancer, or drops and counts it if its server is not listed.
func (c *Controller) handleReport(report *collector.Report, effects *Effects) {
	if report.IsDemand {
		c.events = append(c.events, report.Demand)
		return
	}
	id, known := c.servers.ids[report.Server]
	if !known {
		effects.UnknownServerReports++
		return
	}
	outcome := report.Outcome
	outcome.Server = id
	c.events = append(c.events, outcome)
}

// handleUnconfirmed tells the balancer which orders the relay may or may not have carried out.
func (c *Controller) handleUnconfirmed(operations []relay.Operation) {
	var orders []fleet.Order
	for _, operation := range operations {
		if order, ok := c.resolveOrder(operation); ok {
			orders = append(orders, order)
		}
	}
	c.events = append(c.events, fleet.OrdersUnconfirmed{Orders: orders})
}

// resolveOrder returns the order of an unconfirmed operation in terms of the servers that the balancer tracks now. The
// relay identifies servers by name, so the withdrawal of a dropped server applies to the server that uses its name now.
// If there is none, ok is false and the name is recorded: a server listed under it later may still be withdrawn.
func (c *Controller) resolveOrder(operation relay.Operation) (order fleet.Order, ok bool) {
	withdrawal, isWithdrawal := operation.Order.(fleet.WithdrawServer)
	if !isWithdrawal || !c.isDropped(withdrawal.Server) {
		return operation.Order, true
	}
	id, listed := c.servers.ids[operation.Server]
	if !listed || id == withdrawal.Server {
		c.servers.markUnconfirmed(operation.Server)
		return nil, false
	}
	withdrawal.Server = id
	return withdrawal, true
}
