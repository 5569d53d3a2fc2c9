package transport

import (
	"context"
	"errors"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// Mux lets some proxies go by a front of their own.
type Mux struct {
	Most  Front
	Of    map[fleet.ProxyID]Front // those that don't go by Most
	inner []Front
}

var _ Front = (*Mux)(nil)

func (m *Mux) of(id fleet.ProxyID) Front {
	if f := m.Of[id]; f != nil {
		return f
	}
	return m.Most
}

// Start starts each front once.
func (m *Mux) Start(ctx context.Context, sink Sink) error {
	started := map[Front]bool{}
	for _, f := range append([]Front{m.Most}, m.others()...) {
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

func (m *Mux) others() (all []Front) {
	for _, f := range m.Of {
		all = append(all, f)
	}
	return all
}

// Send, Poll and Drop go to the proxy's front.
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
