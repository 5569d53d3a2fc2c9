package platform

import (
	"slices"

	"cressknot/internal/fleet"
	"cressknot/internal/transport/relay"
)

// proxyTracker reconciles the relay's event streams with the proxies that the balancer counts as joined. Each stream
// begins with a snapshot of the joined proxies.
type proxyTracker struct {
	currentStream uint64 // the newest stream; events of older ones are ignored
	joined        map[fleet.ProxyID]bool
	// snapshot are the proxies that the current stream's snapshot has named so far; nil once it is complete.
	snapshotProxies map[fleet.ProxyID]bool
	// continuous says that no event was missed between the stream before and the current one.
	continuous bool
}

func newProxyTracker() proxyTracker {
	return proxyTracker{joined: map[fleet.ProxyID]bool{}}
}

// handleStreamEvent takes in an event of the relay's stream.
func (c *Controller) handleStreamEvent(event relay.StreamEvent, effects *Effects) {
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
		c.handleProxyEvent(event.Event, effects)
	}
}

// completeSnapshot reports the proxies that the snapshot did not name as left, in the order of their IDs.
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

func (c *Controller) handleProxyEvent(event fleet.Event, effects *Effects) {
	switch e := event.(type) {
	case fleet.ProxyJoined:
		c.handleProxyJoined(e, effects)
	case fleet.ProxyLeft:
		c.handleProxyLeft(e.Proxy, effects)
	default:
		c.events = append(c.events, e)
	}
}

// handleProxyJoined handles a join. A proxy that is joined already and that a snapshot names for the first time may have
// left and come back unseen, and then uses none of the controller's tables. The balancer receives its join without
// a leave, so that it assigns tables anew; unless the streams are continuous: then the proxy has not moved.
func (c *Controller) handleProxyJoined(event fleet.ProxyJoined, effects *Effects) {
	if c.proxies.snapshotProxies != nil {
		named := c.proxies.snapshotProxies[event.Proxy]
		c.proxies.snapshotProxies[event.Proxy] = true
		if !named && c.proxies.joined[event.Proxy] && !event.Fresh {
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

// handleProxyLeft reports a joined proxy as left.
func (c *Controller) handleProxyLeft(proxy fleet.ProxyID, effects *Effects) {
	if !c.proxies.joined[proxy] {
		return
	}
	delete(c.proxies.joined, proxy)
	c.events = append(c.events, fleet.ProxyLeft{Proxy: proxy})
	effects.ProxiesLeft = append(effects.ProxiesLeft, proxy)
}
