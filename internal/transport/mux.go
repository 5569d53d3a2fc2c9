package transport

import (
	"context"
	"errors"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// Mux is a transport that forwards each call to the transport of the proxy concerned.
type Mux struct {
	Default Transport                   // of the proxies that ByProxy does not contain
	ByProxy map[fleet.ProxyID]Transport // several proxies may share one transport
	started []Transport
}

var _ Transport = (*Mux)(nil)

// Start starts each distinct transport once. If one fails, those already started are stopped.
func (m *Mux) Start(ctx context.Context, sink Sink) error {
	seen := map[Transport]bool{}
	for _, t := range m.transports() {
		if seen[t] {
			continue
		}
		seen[t] = true
		if err := t.Start(ctx, sink); err != nil {
			return errors.Join(err, m.Stop(ctx))
		}
		m.started = append(m.started, t)
	}
	return nil
}

// transports returns the default transport and those of ByProxy. A transport may occur more than once.
func (m *Mux) transports() []Transport {
	all := []Transport{m.Default}
	for _, t := range m.ByProxy {
		all = append(all, t)
	}
	return all
}

// Send sends a message over the transport of its proxy.
func (m *Mux) Send(message reconcile.Message) { m.forProxy(message.Proxy).Send(message) }

// Poll requests the counters of a proxy over its transport.
func (m *Mux) Poll(id fleet.ProxyID) { m.forProxy(id).Poll(id) }

// Drop closes the stream of a proxy, whose transport then reconnects.
func (m *Mux) Drop(id fleet.ProxyID) { m.forProxy(id).Drop(id) }

// Stop stops each transport that was started, and returns their errors joined.
func (m *Mux) Stop(ctx context.Context) error {
	var err error
	for _, t := range m.started {
		err = errors.Join(err, t.Stop(ctx))
	}
	m.started = nil
	return err
}

func (m *Mux) forProxy(id fleet.ProxyID) Transport {
	if t := m.ByProxy[id]; t != nil {
		return t
	}
	return m.Default
}
