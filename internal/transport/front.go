// Package transport says what a transport is: what carries the governor's messages to proxies and brings back what they
// answer. The governor's loop owns all state; a front posts to it and never decides.
package transport

import (
	"context"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
	"cressknot/internal/reconcile"
)

// Event is something that a front tells the governor.
type Event interface{ transportEvent() }

// The events of a front.
type (
	// Connected tells that a proxy's stream stands and what the proxy was found to hold.
	Connected struct {
		Proxy    fleet.ProxyID
		Stream   uint64 // number of the stream; what comes of an older one is dropped
		Snapshot reconcile.Snapshot
	}
	// Disconnected tells that a stream is gone, and why.
	Disconnected struct {
		Proxy  fleet.ProxyID
		Stream uint64
		Err    error
	}
	// Unreachable tells that a proxy could not be reached or read back, and why; the front goes on trying.
	Unreachable struct {
		Proxy fleet.ProxyID
		Err   error
	}
	// Progress tells that some answer to a message came.
	Progress struct {
		Proxy  fleet.ProxyID
		Stream uint64
	}
	// Answered tells that all of a message has been answered.
	Answered struct {
		Proxy    fleet.ProxyID
		Stream   uint64
		Sequence uint64
		Failures []reconcile.Failure
	}
	// CountersPolled brings a reading of a proxy's counters. They are sums since the proxy's start, so that a newer
	// reading makes an older one needless.
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
	// Start begins to reach the proxies and posts what happens to the sink until Stop.
	Start(ctx context.Context, sink Sink) error
	// Send carries a message. An error is told by Down, not here.
	Send(m reconcile.Message)
	// Poll asks a proxy for its counters.
	Poll(id fleet.ProxyID)
	// Drop breaks a proxy's stream; the front dials again by itself.
	Drop(id fleet.ProxyID)
	// Stop lets what was sent leave for as long as the context stands, then closes all streams.
	Stop(ctx context.Context) error
}

// LeaseHolder is who serves a proxy, as it was read there last.
type LeaseHolder struct {
	Proxy         fleet.ProxyID
	Controller    string // "" for nobody
	Epoch         uint64
	LastHeartbeat fleet.Time // when its beat was seen to move, on this governor's clock; 0: never
	Own           bool
}

// LeaseTransport is a front whose proxies other governors may serve, too.
type LeaseTransport interface {
	// Retire hands on all proxies and takes none that another governor would, or ends that.
	Retire(on bool)
	// Take lets this governor have a proxy, whoever should by the plan, or ends that; false: no such proxy is shared.
	Take(id fleet.ProxyID, on bool) bool
	// Holders tells who serves each proxy.
	Holders() []LeaseHolder
}

// ServerNames tells how things are called outside: ids end here.
type ServerNames interface {
	// Server gives the id of a server name, and whether it is known; names never change their id.
	Server(name string) (fleet.ServerID, bool)
	// Learn gives the id of a server name that a proxy was found to hold, known or not.
	Learn(name, addr string) fleet.ServerID
	// Of gives the name and the address, host and port, of a server.
	Of(id fleet.ServerID) (name, addr string)
}

// Proxy is one proxy that a governor serves.
type Proxy struct {
	ID          fleet.ProxyID
	Name        string
	Zone        fleet.ZoneID
	RequestRate float64 // a second, as usual
	Addr        string  // of its runtime socket: host:port or the path of a Unix socket
}

// Class is how a class is called at proxies.
type Class struct {
	Name    string
	Backend string
}
