// Package front says what a front is: what carries the governor's messages to proxies and brings back what they
// answer. The governor's loop owns all state; a front posts to it and never decides.
package transport

import (
	"context"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
	"cressknot/internal/reconcile"
)

// Event is something that a front tells the governor.
type Event interface{ frontEvent() }

// The events of a front.
type (
	// Up tells that a proxy's stream stands and what the proxy was found to hold.
	Up struct {
		Proxy  fleet.ProxyID
		Stream uint64 // number of the stream; what comes of an older one is dropped
		Held   reconcile.Snapshot
	}
	// Down tells that a stream is gone, and why.
	Down struct {
		Proxy  fleet.ProxyID
		Stream uint64
		Why    error
	}
	// Unreached tells that a proxy could not be reached or read back, and why; the front goes on trying.
	Unreached struct {
		Proxy fleet.ProxyID
		Why   error
	}
	// Progress tells that some answer to a message came.
	Progress struct {
		Proxy  fleet.ProxyID
		Stream uint64
	}
	// Answer tells that all of a message has been answered.
	Answer struct {
		Proxy    fleet.ProxyID
		Stream   uint64
		Seq      uint64
		Failures []reconcile.Failure
	}
	// Polled brings a reading of a proxy's counters. They are sums since the proxy's start, so that a newer
	// reading makes an older one needless.
	Polled struct {
		Proxy   fleet.ProxyID
		Stream  uint64
		Reading *counters.Reading
	}
)

func (Up) frontEvent()        {}
func (Down) frontEvent()      {}
func (Unreached) frontEvent() {}
func (Progress) frontEvent()  {}
func (Answer) frontEvent()    {}
func (Polled) frontEvent()    {}

// Sink takes events; it never blocks for long and may be called from any goroutine.
type Sink func(Event)

// Front carries messages to proxies.
type Front interface {
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

// Holder is who serves a proxy, as it was read there last.
type Holder struct {
	Proxy    fleet.ProxyID
	Governor string // "" for nobody
	Epoch    uint64
	Moved    fleet.Time // when its beat was seen to move, on this governor's clock; 0: never
	Mine     bool
}

// Sharer is a front whose proxies other governors may serve, too.
type Sharer interface {
	// Retire hands on all proxies and takes none that another governor would, or ends that.
	Retire(on bool)
	// Take lets this governor have a proxy, whoever should by the plan, or ends that; false: no such proxy is shared.
	Take(id fleet.ProxyID, on bool) bool
	// Holders tells who serves each proxy.
	Holders() []Holder
}

// Names tells how things are called outside: ids end here.
type Names interface {
	// Server gives the id of a server name, and whether it is known; names never change their id.
	Server(name string) (fleet.ServerID, bool)
	// Learn gives the id of a server name that a proxy was found to hold, known or not.
	Learn(name, addr string) fleet.ServerID
	// Of gives the name and the address, host and port, of a server.
	Of(id fleet.ServerID) (name, addr string)
}

// Proxy is one proxy that a governor serves.
type Proxy struct {
	ID     fleet.ProxyID
	Name   string
	Zone   fleet.ZoneID
	Visits float64 // a second, as usual
	Addr   string  // of its runtime socket: host:port or the path of a Unix socket
}

// Class is how a class is called at proxies.
type Class struct {
	Name    string
	Backend string
}
