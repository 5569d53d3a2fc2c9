package collector

import (
	"slices"
	"sync"

	"cressknot/internal/fleet"
)

// maxCollectorsPerZone is above 1, as the successor of a collector may connect before its end is seen.
const maxCollectorsPerZone = 3

// registry knows the open connections: those that have not registered yet, and the collectors of each zone. It bounds
// both.
type registry struct {
	maxUnregistered int

	mu           sync.Mutex
	unregistered []*connection                  // in the order of their opening
	collectors   map[fleet.ZoneID][]*connection // in the order of their registration
}

func newRegistry(maxUnregistered int) *registry {
	return &registry{maxUnregistered: maxUnregistered, collectors: map[fleet.ZoneID][]*connection{}}
}

// add adds a connection that has not registered. It returns the oldest ones where they are too many; a collector
// registers at once.
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

// register makes the connection a collector of the zone. It returns false where the connection was excluded before, and
// the zone's oldest collector where they are too many.
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

// exclude bars the connection from registering. It returns false where that has happened, or it was excluded before.
func (r *registry) exclude(c *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.registered || c.excluded {
		return false
	}
	c.excluded = true
	return true
}

// remove removes a connection that is closed.
func (r *registry) remove(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.excluded = true
	r.unregistered = deleteConnection(r.unregistered, c)
	if c.registered {
		r.collectors[c.zone] = deleteConnection(r.collectors[c.zone], c)
	}
}

func deleteConnection(connections []*connection, removed *connection) []*connection {
	return slices.DeleteFunc(connections, func(c *connection) bool { return c == removed })
}
