package collector

import (
	"slices"
	"sync"

	"cressknot/internal/fleet"
)

// maxCollectorsPerZone is above 1 because the successor of a collector may connect before the server notices that the
// old connection has ended.
const maxCollectorsPerZone = 3

// registry tracks the open connections, unregistered ones and the collectors of each zone, and limits the number of
// both. It is safe for concurrent use.
type registry struct {
	maxUnregistered int

	mu           sync.Mutex
	unregistered []*connection                  // oldest first
	collectors   map[fleet.ZoneID][]*connection // earliest registration first
}

// newRegistry returns a registry that holds at most maxUnregistered unregistered connections.
func newRegistry(maxUnregistered int) *registry {
	return &registry{maxUnregistered: maxUnregistered, collectors: map[fleet.ZoneID][]*connection{}}
}

// add adds an unregistered connection. If there are too many, it removes and returns the oldest ones: a collector
// registers at once, so the oldest are the least likely to be collectors.
func (r *registry) add(c *connection) (surplus []*connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unregistered = append(r.unregistered, c)
	count := len(r.unregistered) - r.maxUnregistered
	if count <= 0 {
		return nil
	}
	surplus = slices.Clone(r.unregistered[:count])
	r.unregistered = slices.Delete(r.unregistered, 0, count)
	return surplus
}

// register makes the connection a collector of the zone. ok is false if the connection was excluded before. surplus is
// the zone's oldest collector if there are too many, otherwise nil; the caller rejects it.
func (r *registry) register(c *connection, zone fleet.ZoneID) (surplus *connection, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.excluded {
		return nil, false
	}
	c.registered = true
	c.zone = zone
	r.unregistered = deleteConnection(r.unregistered, c)
	r.collectors[zone] = append(r.collectors[zone], c)
	if len(r.collectors[zone]) > maxCollectorsPerZone {
		surplus = r.collectors[zone][0]
	}
	return surplus, true
}

// exclude prevents the connection from registering. It returns false if the connection has registered already or was
// excluded before.
func (r *registry) exclude(c *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.registered || c.excluded {
		return false
	}
	c.excluded = true
	return true
}

// remove removes a closed connection.
func (r *registry) remove(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.excluded = true
	r.unregistered = deleteConnection(r.unregistered, c)
	if c.registered {
		r.collectors[c.zone] = deleteConnection(r.collectors[c.zone], c)
	}
}

// deleteConnection removes a connection from the slice in place.
func deleteConnection(connections []*connection, removed *connection) []*connection {
	return slices.DeleteFunc(connections, func(c *connection) bool { return c == removed })
}
