package server

import (
	"sync"
	"sync/atomic"
	"time"
)

// platformReadinessTimeout bounds how long the controller waits for the relay and an endpoint list before it listens.
// The relay may be unreachable for long.
const platformReadinessTimeout = 2 * time.Second

// platformReadiness tracks whether the controller may listen. The platform assigns proxies to a controller once it
// answers a health check, so the controller listens once it is connected to the relay and has an endpoint list, or
// after platformReadinessTimeout. It is safe for concurrent use.
type platformReadiness struct {
	connected atomic.Bool // an event has arrived from the relay
	listed    atomic.Bool // a list with endpoints is known
	ready     chan struct{}
	markReady func() // closes ready; further calls do nothing
}

func newPlatformReadiness(listed bool) *platformReadiness {
	r := &platformReadiness{ready: make(chan struct{})}
	r.listed.Store(listed)
	r.markReady = sync.OnceFunc(func() { close(r.ready) })
	return r
}

func (r *platformReadiness) relayConnected() {
	r.connected.Store(true)
	if r.listed.Load() {
		r.markReady()
	}
}

func (r *platformReadiness) endpointsListed() {
	r.listed.Store(true)
	if r.connected.Load() {
		r.markReady()
	}
}
