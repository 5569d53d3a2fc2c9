package platform

import (
	"slices"

	"cressknot/internal/fleet"
	"cressknot/internal/transport/relay"
)

// proxyTracker tracks which proxies are joined across the relay's successive event streams. Each stream begins with a
// snapshot of the joined proxies.
type proxyTracker struct {
	currentStream uint64 // number of the newest stream; events of older ones are ignored
	joined        map[fleet.ProxyID]bool
	// snapshotProxies are the proxies in the current stream's snapshot so far; nil once the snapshot is complete.
	snapshotProxies map[fleet.ProxyID]bool
	// continuous reports that no event was missed between the previous stream and the current one.
	continuous bool
}

func newProxyTracker() proxyTracker {
	return proxyTracker{joined: map[fleet.ProxyID]bool{}}
}

// handleStreamEvent handles an event of the relay's event stream.
func (c *Controller) handleStreamEvent(now fleet.Time, event relay.StreamEvent, effects *Effects) {
	if event.Stream < c.proxies.currentStream {
		return
	}
	switch event.Kind {
	case relay.StreamOpened:
		c.proxies.currentStream = event.Stream
		c.proxies.snapshotProxies = map[fleet.ProxyID]bool{}
		c.proxies.continuous = event.Continuous
	case relay.SnapshotComplete:
		c.completeSnapshot(effects)
	case relay.ProxyEvent:
		c.handleProxyEvent(now, event.Event, effects)
	}
}

// completeSnapshot reports the joined proxies that are missing from the snapshot as left, in the order of their IDs.
func (c *Controller) completeSnapshot(effects *Effects) {
	if c.proxies.snapshotProxies == nil {
		return
	}
	var missing []fleet.ProxyID
	for proxy := range c.proxies.joined {
		if !c.proxies.snapshotProxies[proxy] {
			missing = append(missing, proxy)
		}
	}
	slices.Sort(missing)
	for _, proxy := range missing {
		c.handleProxyLeft(proxy, effects)
	}
	c.proxies.snapshotProxies = nil
}

func (c *Controller) handleProxyEvent(now fleet.Time, event fleet.Event, effects *Effects) {
	switch e := event.(type) {
	case fleet.ProxyJoined:
		c.handleProxyJoined(e, effects)
	case fleet.ProxyLeft:
		c.handleProxyLeft(e.Proxy, effects)
	case fleet.BarrierReached:
		c.applying.acknowledge(now, e.Barrier, effects)
		c.events = append(c.events, e)
	default:
		c.events = append(c.events, e)
	}
}

// handleProxyJoined handles a join. When a snapshot first lists a proxy that is already joined, the proxy may have left
// and rejoined while no stream was read, in which case it uses none of the controller's tables. The balancer therefore
// gets a join without a leave and assigns the tables again. If the streams are continuous, the proxy cannot have left
// unseen and the join is ignored, unless the proxy reports itself as fresh.
func (c *Controller) handleProxyJoined(event fleet.ProxyJoined, effects *Effects) {
	if c.proxies.snapshotProxies != nil {
		seen := c.proxies.snapshotProxies[event.Proxy]
		c.proxies.snapshotProxies[event.Proxy] = true
		if !seen && c.proxies.joined[event.Proxy] && !event.Fresh {
			if !c.proxies.continuous {
				c.events = append(c.events, event)
			}
			return
		}
	}
	c.handleProxyLeft(event.Proxy, effects)
	c.proxies.joined[event.Proxy] = true
	c.events = append(c.events, event)
}

// handleProxyLeft reports a proxy as left. It ignores a proxy that is not joined.
func (c *Controller) handleProxyLeft(proxy fleet.ProxyID, effects *Effects) {
	if !c.proxies.joined[proxy] {
		return
	}
	delete(c.proxies.joined, proxy)
	c.events = append(c.events, fleet.ProxyLeft{Proxy: proxy})
	effects.ProxiesLeft = append(effects.ProxiesLeft, proxy)
}
