package balancer

import (
	"math/rand"

	"cressknot/internal/fleet"
)

// randomValues draws the IDs and numbers of random events.
type randomValues struct{ rng *rand.Rand }

func (r randomValues) server() fleet.ServerID { return fleet.ServerID(1 + r.rng.Intn(12)) }

func (r randomValues) proxy() fleet.ProxyID { return fleet.ProxyID(r.rng.Intn(20)) }

func (r randomValues) class() fleet.ClassID { return fleet.ClassID(r.rng.Intn(3)) }

func (r randomValues) zone() fleet.ZoneID { return fleet.ZoneID(r.rng.Intn(3)) }

func (r randomValues) slice() fleet.TableID { return fleet.TableID(r.rng.Intn(8)) }

func (r randomValues) load() []float32 {
	return []float32{float32(r.rng.Intn(9)), r.rng.Float32() * 1.1}
}

func (r randomValues) interval() fleet.Time {
	return fleet.Time(200+r.rng.Intn(2000)) * fleet.Millisecond
}

func (r randomValues) oneIn(n int) bool { return r.rng.Intn(n) == 0 }

// randomEvent returns an event of a random kind. The recorded digests depend on the order in which it draws numbers.
// lastOrders are the orders of the previous step.
func randomEvent(rng *rand.Rand, now fleet.Time, lastOrders []fleet.Order) fleet.Event {
	random := randomValues{rng}
	switch kind := rng.Intn(40); {
	case kind == 0:
		return randomEndpointList(random, now)
	case kind == 1:
		return fleet.TimerFired{ID: fleet.TimerID(rng.Intn(3))}
	case kind == 2:
		return fleet.ProbeResult{
			Server:   random.server(),
			Outcome:  fleet.ProbeOutcome(rng.Intn(7)),
			Duration: random.interval(),
			Load:     random.load(),
		}
	case kind == 3:
		return fleet.PeerMessage{From: 2, Data: []byte("hi")}
	case kind <= 8:
		return fleet.ProxyJoined{
			Proxy:       random.proxy(),
			Zone:        random.zone(),
			RequestRate: 10 * rng.Float64(),
			Fresh:       random.oneIn(2),
		}
	case kind == 9 && random.oneIn(2):
		return fleet.ProxyLeft{Proxy: random.proxy()}
	case kind >= 10 && kind <= 12:
		return randomSliceEvent(random, kind)
	case kind <= 17:
		return fleet.BarrierReached{
			Proxy:   random.proxy(),
			Barrier: fleet.BarrierID(rng.Intn(200)),
			Delay:   random.interval(),
		}
	case kind == 18 && random.oneIn(3):
		return fleet.OrdersUnconfirmed{Orders: append([]fleet.Order(nil), lastOrders...)}
	case kind <= 28:
		return randomOutcomeReport(random)
	}
	return fleet.DemandReport{
		Proxy:      random.proxy(),
		Class:      random.class(),
		Requests:   uint32(rng.Intn(40)),
		Unanswered: uint32(rng.Intn(3)),
		Interval:   random.interval(),
	}
}

// randomEndpointList returns a list of any scope, in which some servers are missing, restarted or not ready.
func randomEndpointList(random randomValues, now fleet.Time) fleet.EndpointList {
	list := fleet.EndpointList{
		Scope:    fleet.ListScope(random.rng.Intn(4)),
		Revision: fleet.ListRevision(random.rng.Intn(99)),
	}
	for id := range fleet.ServerID(12) {
		isOmitted := list.Scope == fleet.ListFailed ||
			list.Scope == fleet.ListDelta && random.rng.Intn(6) > 0 ||
			random.oneIn(20)
		if isOmitted {
			continue
		}
		endpoint := fleet.Endpoint{
			Server: id + 1,
			Zone:   fleet.ZoneID(id % 3),
			Kind:   fleet.KindID(id % 2),
			Weight: 0.5 + random.rng.Float64(),
		}
		if random.oneIn(15) {
			endpoint.State = fleet.ServerState(random.rng.Intn(3))
		}
		if random.oneIn(8) {
			endpoint.Started = now - fleet.Time(random.rng.Intn(20))*fleet.Second
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list
}

// randomSliceEvent returns an event of a site with slices.
func randomSliceEvent(random randomValues, kind int) fleet.Event {
	switch kind {
	case 10:
		return fleet.SliceDemandReport{
			Slice:    random.slice(),
			Class:    random.class(),
			Requests: uint32(random.rng.Intn(9)),
			Interval: random.interval(),
		}
	case 11:
		return fleet.SliceAssigned{Slice: random.slice(), Assigned: random.oneIn(2)}
	default:
		return fleet.StoredEntry{Slice: random.slice(), Server: random.server(), Weight: random.rng.Float64()}
	}
}

// randomOutcomeReport returns a report in which up to a quarter of the attempts failed.
func randomOutcomeReport(random randomValues) fleet.OutcomeReport {
	attempts := random.rng.Intn(30)
	return fleet.OutcomeReport{
		Server:   random.server(),
		Attempts: uint32(attempts),
		Failures: uint32(random.rng.Intn(attempts/4 + 1)),
		Latency:  random.interval() / 4,
		Interval: random.interval(),
		Zone:     random.zone(),
		Load:     random.load(),
	}
}
