package simwire

import "cressknot/internal/fleet"

// registerList reads an endpoint list that later records refer to. Events keep references to earlier lists, so each one
// gets its own allocation.
func (r *Reader) registerList(c *cursor) {
	number := c.listNumber()
	count := c.count("entries", endpointBytes)
	if c.err != nil {
		return
	}
	endpoints := make([]fleet.Endpoint, 0, count)
	for ; count > 0 && c.err == nil; count-- {
		endpoints = append(endpoints, decodeEndpoint(c))
	}
	if c.err == nil {
		r.lists[number] = registeredList{known: true, endpoints: endpoints}
	}
}

func decodeEndpoint(c *cursor) fleet.Endpoint {
	var endpoint fleet.Endpoint
	switch state := c.uint8("state"); state {
	case stateReady:
		endpoint.State = fleet.ServerReady
	case stateDraining:
		endpoint.State = fleet.ServerDraining
	case stateGone:
		endpoint.State = fleet.ServerGone
	default:
		c.fail("state: unknown server state %d", state)
	}
	endpoint.Cell = fleet.CellID(c.uint16("block"))
	endpoint.Started = c.milliseconds("launchedMs")
	endpoint.Zone = fleet.ZoneID(c.uint8("az"))
	endpoint.Kind = fleet.KindID(c.uint8("shape"))
	endpoint.Server = fleet.ServerID(c.uint32("replica"))
	endpoint.Weight = c.float32("heft")
	return endpoint
}

// decodeEndpointList reads an event that refers to a registered list.
func (r *Reader) decodeEndpointList(c *cursor) fleet.EndpointList {
	var list fleet.EndpointList
	switch scope := c.uint8("scope"); scope {
	case scopeFull:
		list.Scope = fleet.ListFull
	case scopeDelta:
		list.Scope = fleet.ListDelta
	case scopeFailed:
		list.Scope = fleet.ListFailed
	case scopeCached:
		list.Scope = fleet.ListCached
	default:
		c.fail("scope: unknown list scope %d", scope)
		return list
	}
	if list.Scope == fleet.ListFailed {
		c.uint16("page") // unused in this scope
	} else {
		list.Endpoints = r.registeredEndpoints(c)
	}
	list.Revision = fleet.ListRevision(c.uint64("rev"))
	return list
}

// registeredEndpoints reads the number of a registered list and returns that list.
func (r *Reader) registeredEndpoints(c *cursor) []fleet.Endpoint {
	number := c.listNumber()
	if c.err != nil {
		return nil
	}
	if !r.lists[number].known {
		c.fail("page: endpoint list %d is not registered", number)
	}
	return r.lists[number].endpoints
}
