// Package transport defines the interface between the controller and the transports that carry its messages to proxies
// and report their answers. The control loop owns all state; a transport posts events to it and makes no decisions.
package transport

import (
	"context"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
	"cressknot/internal/reconcile"
)

// Event is reported by a transport to the controller. It is one of the types below.
type Event interface{ transportEvent() }

// The events of a transport.
type (
	// Connected reports that a proxy's stream is open, with the state that was read from the proxy.
	Connected struct {
		Proxy    fleet.ProxyID
		Stream   uint64 // number of the stream; the controller drops events of older streams
		Snapshot reconcile.Snapshot
	}
	// Disconnected reports that a stream was closed, and why.
	Disconnected struct {
		Proxy  fleet.ProxyID
		Stream uint64
		Err    error
	}
	// Unreachable reports that a proxy could not be reached or its state could not be read, and why. The transport
	// retries without being asked.
	Unreachable struct {
		Proxy fleet.ProxyID
		Err   error
	}
	// Progress reports that an answer of the proxy arrived.
	Progress struct {
		Proxy  fleet.ProxyID
		Stream uint64
	}
	// Answered reports that every change of a message was answered, with the changes that failed.
	Answered struct {
		Proxy    fleet.ProxyID
		Stream   uint64
		Sequence uint64
		Failures []reconcile.Failure
	}
	// CountersPolled carries a reading of a proxy's counters. They are totals since the proxy's start, so a newer
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

// Sink receives events. It may be called from any goroutine and must not block for long.
type Sink func(Event)

// Transport carries messages to proxies.
type Transport interface {
	// Start connects to the proxies in the background and posts events to the sink until Stop.
	Start(ctx context.Context, sink Sink) error
	// Send sends a message. Failures are reported by events.
	Send(m reconcile.Message)
	// Poll requests the counters of a proxy, which CountersPolled reports.
	Poll(id fleet.ProxyID)
	// Drop closes the stream of a proxy. The transport reconnects without being asked.
	Drop(id fleet.ProxyID)
	// Stop waits for outstanding answers until the context ends, then closes all streams.
	Stop(ctx context.Context) error
}

// LeaseHolder is the controller that holds the lease of a proxy, as last read from the proxy.
type LeaseHolder struct {
	Proxy         fleet.ProxyID
	Controller    string // "" for none
	Epoch         uint64
	LastHeartbeat fleet.Time // when the holder's entry was last seen to change, on this controller's clock; 0: never
	Own           bool       // this controller is the holder
}

// LeaseTransport is a transport to proxies that several controllers share by leases.
type LeaseTransport interface {
	// Retire hands all proxies over to other controllers, and takes none that another controller can serve, if on is
	// true. It ends that otherwise.
	Retire(on bool)
	// Take makes this controller request and keep the lease of a proxy if on is true, even if the proxy's order of
	// preference (see lease.Plan) ranks other controllers first. If on is false, that order applies again. Take returns
	// false if the proxy is unknown or not shared.
	Take(id fleet.ProxyID, on bool) bool
	// Holders returns the lease holder of each shared proxy.
	Holders() []LeaseHolder
}

// ServerNames maps server ids to the names and addresses of servers at proxies, and back.
type ServerNames interface {
	// Server returns the id of a server name, and whether it is known. The id of a name never changes.
	Server(name string) (fleet.ServerID, bool)
	// GetOrAssign returns the id of a server name that was read from a proxy, and assigns one if the name is new.
	GetOrAssign(name, addr string) fleet.ServerID
	// Lookup returns the name and the address, host:port, of a server.
	Lookup(id fleet.ServerID) (name, addr string)
}

// Proxy is one proxy that a controller serves.
type Proxy struct {
	ID          fleet.ProxyID
	Name        string
	Zone        fleet.ZoneID
	RequestRate float64 // usual rate in requests per second
	Addr        string  // host:port or Unix socket path of its runtime API; with transport files, its folder
}

// Class is a request class: its name, and that of its backend at proxies.
type Class struct {
	Name    string
	Backend string
}
