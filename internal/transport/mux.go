package transport

import (
	"context"
	"errors"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// Mux lets some proxies go by a front of their own.
type Mux struct {
	Default Transport
	ByProxy map[fleet.ProxyID]Transport // those that don't go by Most
	inner   []Transport
}

var _ Transport = (*Mux)(nil)

func (m *Mux) of(id fleet.ProxyID) Transport {
	if f := m.ByProxy[id]; f != nil {
		return f
	}
	return m.Default
}

// Start starts each front once.
func (m *Mux) Start(ctx context.Context, sink Sink) error {
	started := map[Transport]bool{}
	for _, f := range append([]Transport{m.Default}, m.others()...) {
		if started[f] {
			continue
		}
		started[f] = true
		if err := f.Start(ctx, sink); err != nil {
			return errors.Join(err, m.Stop(ctx))
		}
		m.inner = append(m.inner, f)
	}
	return nil
}

func (m *Mux) others() (all []Transport) {
	for _, f := range m.ByProxy {
		all = append(all, f)
	}
	return all
}

// Send carries a message over the transport of its proxy.
func (m *Mux) Send(msg reconcile.Message) { m.of(msg.Proxy).Send(msg) }

// Poll asks a proxy for its counters.
func (m *Mux) Poll(id fleet.ProxyID) { m.of(id).Poll(id) }

// Drop breaks a proxy's stream.
func (m *Mux) Drop(id fleet.ProxyID) { m.of(id).Drop(id) }

// Stop stops each front that was started.
func (m *Mux) Stop(ctx context.Context) (err error) {
	for _, f := range m.inner {
		err = errors.Join(err, f.Stop(ctx))
	}
	m.inner = nil
	return err
}
