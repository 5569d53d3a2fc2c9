package verification

import (
	"testing"

	"cressknot/internal/fleet"
)

const (
	second = fleet.Second
	minute = 60 * second
	hour   = 60 * minute
	day    = 24 * hour

	// stepDuration is the time between two plans of a simulation.
	stepDuration = second / 10

	// requestsPerStep is the number of requests per step to each server in use.
	requestsPerStep = 2
)

// simulation is the fleet of a cached list, some of whose servers are gone. Each server has an address of its own.
type simulation struct {
	verifier *Verifier
	now      fleet.Time
	up       map[fleet.ServerID]bool
	ejected  map[fleet.ServerID]bool
	factors  map[fleet.ServerID]float64
	notices  string
}

func newSimulation(site fleet.Site, age fleet.Time, probes bool, up ...bool) *simulation {
	s := &simulation{
		verifier: NewVerifier(site, probes),
		now:      1000 * second,
		up:       map[fleet.ServerID]bool{},
		ejected:  map[fleet.ServerID]bool{},
		factors:  map[fleet.ServerID]float64{},
	}
	endpoints := namedEndpoints(len(up))
	for i, isUp := range up {
		s.up[endpoints[i].Endpoint.Server] = isUp
		s.factors[endpoints[i].Endpoint.Server] = 1
	}
	s.verifier.Begin(s.now, age, endpoints)
	return s
}

// namedEndpoints returns ready servers, alternating between two zones.
func namedEndpoints(count int) (endpoints []AddressedEndpoint) {
	for i := range count {
		endpoints = append(endpoints, AddressedEndpoint{
			Endpoint: fleet.Endpoint{Server: fleet.ServerID(i), Zone: fleet.ZoneID(i % 2)},
			Addr:     string(rune('a' + i)),
		})
	}
	return endpoints
}

// fataler is implemented by *testing.T and *rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// step advances the time and carries out a plan. Probes end at once; all fail unless proberReaches is set.
func (s *simulation) step(t fataler, proberReaches bool) Plan {
	t.Helper()
	s.now += stepDuration
	plan := s.verifier.NextPlan(s.now)
	s.verifier.changed = true
	again := s.verifier.NextPlan(s.now)
	if len(again.Probes)+len(again.Ejected)+len(again.Readmitted)+len(again.WeightFractions) > 0 {
		t.Fatalf("a second plan at the same time is not empty: %+v", again)
	}
	s.applyEjections(t, plan)
	s.applyWeightFractions(t, plan)
	for _, notice := range plan.Notices {
		s.notices += notice.Text + "\n"
	}
	for _, server := range plan.Probes {
		evidence := EvidenceNone
		if proberReaches && s.up[server] {
			evidence = EvidenceConnection
		}
		s.verifier.ProbeFinished(s.now, server, evidence)
	}
	return plan
}

func (s *simulation) applyEjections(t fataler, plan Plan) {
	t.Helper()
	for _, endpoint := range plan.Ejected {
		if s.ejected[endpoint.Server] || endpoint.State != fleet.ServerGone {
			t.Fatalf("plan ejects %+v, ejected before: %v", endpoint, s.ejected[endpoint.Server])
		}
		s.ejected[endpoint.Server] = true
	}
	for _, endpoint := range plan.Readmitted {
		if !s.ejected[endpoint.Server] || endpoint.State != fleet.ServerReady {
			t.Fatalf("plan readmits %+v, ejected before: %v", endpoint, s.ejected[endpoint.Server])
		}
		s.ejected[endpoint.Server] = false
	}
}

func (s *simulation) applyWeightFractions(t fataler, plan Plan) {
	t.Helper()
	const tolerance = 1e-9
	for _, part := range plan.WeightFractions {
		before := s.factors[part.Server]
		tooSteep := before > 0 && part.Fraction > rampFactor*before+tolerance && !s.ejected[part.Server]
		if part.Fraction <= 0 || part.Fraction > 1 || tooSteep {
			t.Fatalf("server %d: weight factor changes from %v to %v", part.Server, before, part.Fraction)
		}
		s.factors[part.Server] = part.Fraction
	}
}

func (s *simulation) ejectedCount() (count int) {
	for _, ejected := range s.ejected {
		if ejected {
			count++
		}
	}
	return count
}

// sendRequests reports requestsPerStep requests to each server that is not ejected: successes if it is up.
func (s *simulation) sendRequests() {
	for server, up := range s.up {
		switch {
		case s.ejected[server]:
		case up:
			s.verifier.RequestsFinished(s.now, server, requestsPerStep, 0)
		default:
			s.verifier.RequestsFinished(s.now, server, 0, requestsPerStep)
		}
	}
}

// confirmAllExcept delivers a complete list of the endpoint source without the given server; -1: with all servers.
func (s *simulation) confirmAllExcept(except int) {
	var list fleet.EndpointList
	for server := range s.up {
		if int(server) == except {
			continue
		}
		list.Endpoints = append(list.Endpoints, fleet.Endpoint{Server: server})
		s.ejected[server] = false
	}
	s.verifier.ListReceived(s.now, list)
}

// run repeats step for the given time and passes each plan to each, unless that is nil.
func (s *simulation) run(t *testing.T, duration fleet.Time, proberReaches bool, each func(Plan)) {
	t.Helper()
	for range int(duration / stepDuration) {
		plan := s.step(t, proberReaches)
		if each != nil {
			each(plan)
		}
	}
}
