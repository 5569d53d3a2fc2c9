package controller

import (
	"fmt"

	"cressknot/internal/discovery"
	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
	"cressknot/internal/gossip"
	"cressknot/internal/ingest"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// Input is an input of Core.Step: one of the types below.
type Input interface{ isInput() }

// The inputs of a step.
type (
	// TransportEvent is an event of the proxy transport other than a reading of counters.
	TransportEvent struct{ transport.Event }
	// CountersPolled is a reading of a proxy's counters.
	CountersPolled transport.CountersPolled
	// EndpointUpdate is an update from an endpoint source or a cache.
	EndpointUpdate discovery.Update
	// VerificationResult is the result of verifying that a server of a cached list exists.
	VerificationResult struct {
		Server   fleet.ServerID
		Evidence verification.Evidence
	}
	// GossipMessage is a gossip message from another controller.
	GossipMessage gossip.Message
	// ProbeResult is the result of probing a server.
	ProbeResult fleet.ProbeResult
	// PushedRecords are load reports that servers pushed. The slice is not retained after the step.
	PushedRecords []ingest.Record
)

func (TransportEvent) isInput()     {}
func (CountersPolled) isInput()     {}
func (EndpointUpdate) isInput()     {}
func (VerificationResult) isInput() {}
func (GossipMessage) isInput()      {}
func (ProbeResult) isInput()        {}
func (PushedRecords) isInput()      {}

// handle dispatches one input by its type.
func (c *Core) handle(now fleet.Time, in Input, out *Output) {
	switch in := in.(type) {
	case TransportEvent:
		c.handleTransport(now, in.Event, out)
	case CountersPolled:
		c.handleCounters(now, in)
	case EndpointUpdate:
		c.handleEndpoints(now, discovery.Update(in), out)
	case VerificationResult:
		c.endpoints.verifier.ProbeFinished(now, in.Server, in.Evidence)
	case GossipMessage:
		c.handleGossip(now, gossip.Message(in), out)
	case ProbeResult:
		c.events.current = append(c.events.current, fleet.ProbeResult(in))
	case PushedRecords:
		c.handlePushedRecords(now, in, out)
	}
}

func (c *Core) handleTransport(now fleet.Time, event transport.Event, out *Output) {
	switch event := event.(type) {
	case transport.Connected:
		c.handleConnected(now, event, out)
	case transport.Disconnected:
		c.handleDisconnected(now, event, out)
	case transport.Unreachable:
		c.handleUnreachable(now, event, out)
	case transport.Progress:
		if c.currentStream(event.Proxy, event.Stream) {
			c.reconciler.RecordProgress(now, event.Proxy)
		}
	case transport.Answered:
		if c.currentStream(event.Proxy, event.Stream) {
			c.reconciler.RecordAcknowledgement(now, event.Proxy, event.Sequence, event.Failures)
		}
	case transport.CountersPolled:
		c.handleCounters(now, CountersPolled(event))
	}
}

// currentStream reports whether an event belongs to a proxy's current stream. Events of older streams are dropped.
func (c *Core) currentStream(proxy fleet.ProxyID, stream uint64) bool {
	return c.proxies.streams[proxy] == stream
}

func (c *Core) handleConnected(now fleet.Time, event transport.Connected, out *Output) {
	c.proxies.streams[event.Proxy] = event.Stream
	c.raiseEpoch(now, reconcile.LatestEpoch(event.Snapshot.VersionStamps), out)
	delete(c.proxies.unreachable, event.Proxy)
	c.reconciler.Join(now, event.Proxy, event.Snapshot)
	c.pipeline.Join(now, event.Proxy, event.Snapshot.Zone, event.Snapshot.Fresh)
	text := fmt.Sprintf("proxy %s connected: %d entries, fresh %v",
		c.proxies.configured[event.Proxy].Name, len(event.Snapshot.Entries), event.Snapshot.Fresh)
	c.log(out, LogEntry{now, LevelInfo, "proxy", text})
}

func (c *Core) handleDisconnected(now fleet.Time, event transport.Disconnected, out *Output) {
	if !c.currentStream(event.Proxy, event.Stream) {
		return
	}
	delete(c.proxies.streams, event.Proxy)
	c.reconciler.Leave(event.Proxy)
	c.pipeline.Leave(event.Proxy)
	text := fmt.Sprintf("proxy %s disconnected: %v", c.proxies.configured[event.Proxy].Name, event.Err)
	c.log(out, LogEntry{now, LevelWarn, "proxy", text})
}

// handleUnreachable logs a reason only when it changes, as a proxy may be unreachable for hours.
func (c *Core) handleUnreachable(now fleet.Time, event transport.Unreachable, out *Output) {
	reason := event.Err.Error()
	if c.proxies.unreachable[event.Proxy] == reason {
		return
	}
	c.proxies.unreachable[event.Proxy] = reason
	text := fmt.Sprintf("proxy %s is unreachable: %s", c.proxies.configured[event.Proxy].Name, reason)
	c.log(out, LogEntry{now, LevelWarn, "proxy", text})
}

func (c *Core) handleCounters(now fleet.Time, event CountersPolled) {
	if !c.currentStream(event.Proxy, event.Stream) {
		return
	}
	c.pipeline.AddReading(now, event.Proxy, event.Reading)
	c.reconciler.ObserveEntries(now, event.Proxy, event.Reading.Entries)
	event.Reading.Release()
}

func (c *Core) handlePushedRecords(now fleet.Time, records PushedRecords, out *Output) {
	for i := range records {
		server := records[i].Server
		before := c.pipeline.UntrustedUntil(server)
		c.pipeline.AddRecord(now, records[i])
		if c.pipeline.UntrustedUntil(server) != before {
			out.TrustChanges = append(out.TrustChanges, server)
		}
	}
}
