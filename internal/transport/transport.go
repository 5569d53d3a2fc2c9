// Package transport defines how the controller's messages reach proxies and how their answers come back. The
// controller's loop owns all state; a transport posts events to it and takes no decision.
package transport

import (
	"context"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
	"cressknot/internal/reconcile"
)

// Event is something that a transport reports to the controller.
type Event interface{ transportEvent() }

// The events of a transport.
type (
	// Connected reports that a proxy's stream is open, and the state that was read back from the proxy.
	Connected struct {
		Proxy    fleet.ProxyID
		Stream   uint64 // number of the stream; events of an older one are dropped
		Snapshot reconcile.Snapshot
	}
	// Disconnected reports that a stream is closed, and why.
	Disconnected struct {
		Proxy  fleet.ProxyID
		Stream uint64
		Err    error
	}
	// Unreachable reports that a proxy could not be reached or read back, and why; the transport retries by itself.
	Unreachable struct {
		Proxy fleet.ProxyID
		Err   error
	}
	// Progress reports that some answer to a message arrived.
	Progress struct {
		Proxy  fleet.ProxyID
		Stream uint64
	}
	// Answered reports that every change of a message has been answered.
	Answered struct {
		Proxy    fleet.ProxyID
		Stream   uint64
		Sequence uint64
		Failures []reconcile.Failure
	}
	// CountersPolled carries a reading of a proxy's counters. They are sums since the proxy's start, so that a newer
	// reading replaces an older one.
	CountersPolled struct {
		Proxy   fleet.ProxyID
		Stream  uint64
		Reading *counters.Reading
	}
)

func (Connected) transportEvent()      {}
func (Disconnected) transportEvent()   {}
func (Unreachable) transportEvent()    {}
func (Progress) transportEvent()       {}
func (Answered) transportEvent()       {}
func (CountersPolled) transportEvent() {}

// Sink takes events; it never blocks for long and may be called from any goroutine.
type Sink func(Event)

// Transport carries messages to proxies.
type Transport interface {
	// Start begins to connect to the proxies and posts events to the sink until Stop.
	Start(ctx context.Context, sink Sink) error
	// Send carries a message. A failure is reported by Disconnected, not here.
	Send(m reconcile.Message)
	// Poll asks a proxy for its counters.
	Poll(id fleet.ProxyID)
	// Drop closes a proxy's stream; the transport reconnects by itself.
	Drop(id fleet.ProxyID)
	// Stop waits for outstanding answers until the context ends, then closes all streams.
	Stop(ctx context.Context) error
}

// LeaseHolder is the controller that serves a proxy, as it was last read at that proxy.
type LeaseHolder struct {
	Proxy         fleet.ProxyID
	Controller    string // "" for none
	Epoch         uint64
	LastHeartbeat fleet.Time // when a heartbeat of the holder was last seen, on this controller's clock; 0: never
	Own           bool       // this controller is the holder
}

// LeaseTransport is a transport whose proxies may be served by other controllers, too.
type LeaseTransport interface {
	// Retire hands over all proxies and takes none that another controller would serve, or ends that.
	Retire(on bool)
	// Take assigns a proxy to this controller against the plan, or ends that; it returns false if no such proxy is shared.
	Take(id fleet.ProxyID, on bool) bool
	// Holders returns who serves each proxy.
	Holders() []LeaseHolder
}

// ServerNames translates between ids of servers and their names and addresses at proxies.
type ServerNames interface {
	// Server returns the id of a server name, and whether it is known; a name never changes its id.
	Server(name string) (fleet.ServerID, bool)
	// Learn returns the id of a server name that was read from a proxy, and assigns one if the name is new.
	Learn(name, addr string) fleet.ServerID
	// Of returns the name and the address, host:port, of a server.
	Lookup(id fleet.ServerID) (name, addr string)
}

// Proxy is one proxy that a controller serves.
type Proxy struct {
	ID          fleet.ProxyID
	Name        string
	Zone        fleet.ZoneID
	RequestRate float64 // usual requests per second
	Addr        string  // of its runtime socket: host:port or the path of a Unix socket
}

// Class is the name of a request class and of its backend at proxies.
type Class struct {
	Name    string
	Backend string
}
