package simwire

import "cressknot/internal/fleet"

// decodeEvent reads the fields of an event that refers to no registered list. It returns nil if the code is unknown.
func decodeEvent(code uint16, c *cursor) fleet.Event {
	switch code {
	case codeProbeResult:
		return decodeProbeResult(c)
	case codeTimerFired:
		return fleet.TimerFired{ID: fleet.TimerID(c.uint32("token"))}
	case codeStoredEntry:
		return decodeStoredEntry(c)
	case codeProxyLeft:
		return fleet.ProxyLeft{Proxy: fleet.ProxyID(c.uint16("agent"))}
	case codePeerMessage:
		return decodePeerMessage(c)
	case codeBarrierReached:
		return decodeBarrierReached(c)
	case codeSliceAssigned:
		return decodeSliceAssigned(c)
	case codeProxyJoined:
		return decodeProxyJoined(c)
	case codeOutcomeReport:
		return decodeOutcomeReport(c)
	case codeSliceDemand:
		return decodeSliceDemand(c)
	case codeProxyDemand:
		return decodeProxyDemand(c)
	}
	return nil
}

// The decoders below read the fields in the order of their calls, which is that of the protocol.

func decodeProbeResult(c *cursor) fleet.ProbeResult {
	return fleet.ProbeResult{
		Server:   fleet.ServerID(c.uint32("replica")),
		Outcome:  probeOutcome(c.uint16("result")),
		Duration: c.milliseconds("durationMs"),
		Load:     c.loadValues(),
	}
}

func probeOutcome(result uint16) fleet.ProbeOutcome {
	switch result {
	case resultAnswered:
		return fleet.ProbeAnswered
	case resultFailed:
		return fleet.ProbeFailed
	case resultRejected:
		return fleet.ProbeRejected
	case resultTimedOut:
		return fleet.ProbeTimedOut
	case resultUnreachable:
		return fleet.ProbeUnreachable
	case resultConnectionBroken:
		return fleet.ProbeConnectionBroken
	}
	return fleet.ProbeOtherOutcome
}

func decodeStoredEntry(c *cursor) fleet.StoredEntry {
	return fleet.StoredEntry{
		Slice:  fleet.TableID(c.uint16("sheet")),
		Server: fleet.ServerID(c.uint32("replica")),
		Weight: c.float32("heft"),
	}
}

func decodePeerMessage(c *cursor) fleet.PeerMessage {
	return fleet.PeerMessage{
		From: fleet.ControllerID(c.uint16("neighbour")),
		Data: c.bytes(int(c.uint16("octets"))),
	}
}

func decodeBarrierReached(c *cursor) fleet.BarrierReached {
	return fleet.BarrierReached{
		Delay:   c.milliseconds("durationMs"),
		Proxy:   fleet.ProxyID(c.uint16("agent")),
		Barrier: fleet.BarrierID(c.uint64("rev")),
	}
}

func decodeSliceAssigned(c *cursor) fleet.SliceAssigned {
	return fleet.SliceAssigned{
		Slice:    fleet.TableID(c.uint16("sheet")),
		Assigned: c.flag("active"),
	}
}

func decodeProxyJoined(c *cursor) fleet.ProxyJoined {
	return fleet.ProxyJoined{
		RequestRate: c.float32("heft"),
		Zone:        fleet.ZoneID(c.uint8("az")),
		Proxy:       fleet.ProxyID(c.uint16("agent")),
		Fresh:       c.flag("active"),
	}
}

func decodeOutcomeReport(c *cursor) fleet.OutcomeReport {
	return fleet.OutcomeReport{
		Server:   fleet.ServerID(c.uint32("replica")),
		Failures: c.uint32("unanswered"),
		Attempts: c.uint32("total"),
		Latency:  c.milliseconds("durationMs"),
		Interval: c.milliseconds("spanMs"),
		Zone:     fleet.ZoneID(c.uint8("az")),
		Load:     c.loadValues(),
	}
}

func decodeSliceDemand(c *cursor) fleet.SliceDemandReport {
	return fleet.SliceDemandReport{
		Slice:      fleet.TableID(c.uint16("sheet")),
		Class:      fleet.ClassID(c.uint8("profile")),
		Requests:   c.uint32("total"),
		Unanswered: c.uint32("unanswered"),
		Interval:   c.milliseconds("spanMs"),
	}
}

func decodeProxyDemand(c *cursor) fleet.DemandReport {
	return fleet.DemandReport{
		Proxy:      fleet.ProxyID(c.uint16("agent")),
		Class:      fleet.ClassID(c.uint8("profile")),
		Requests:   c.uint32("total"),
		Unanswered: c.uint32("unanswered"),
		Interval:   c.milliseconds("spanMs"),
	}
}
