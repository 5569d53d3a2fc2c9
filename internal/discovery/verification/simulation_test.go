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

	// requestsPerStep of each server that is used.
	requestsPerStep = 2
)

// simulation is a fleet that a cached list names, of which some servers are gone. The address of each server is its
// own.
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

// namedEndpoints returns servers of two zones.
func namedEndpoints(count int) (endpoints []NamedEndpoint) {
	for i := range count {
		endpoints = append(endpoints, NamedEndpoint{
			Endpoint: fleet.Endpoint{Server: fleet.ServerID(i), Zone: fleet.ZoneID(i % 2)},
			Addr:     string(rune('a' + i)),
		})
	}
	return endpoints
}

// fataler is a *testing.T or *rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// step advances the time and carries out a plan. Probes are answered at once if the prober reaches servers.
func (s *simulation) step(t fataler, proberReaches bool) Plan {
	t.Helper()
	s.now += stepDuration
	plan := s.verifier.NextPlan(s.now)
	s.verifier.changed = true
	again := s.verifier.NextPlan(s.now)
	if len(again.Probes)+len(again.Ejected)+len(again.Readmitted)+len(again.WeightFractions) > 0 {
		t.Fatalf("another plan at the same time: %+v", again)
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
			t.Fatalf("%+v is ejected, ejected before: %v", endpoint, s.ejected[endpoint.Server])
		}
		s.ejected[endpoint.Server] = true
	}
	for _, endpoint := range plan.Readmitted {
		if !s.ejected[endpoint.Server] || endpoint.State != fleet.ServerReady {
			t.Fatalf("%+v is readmitted, ejected before: %v", endpoint, s.ejected[endpoint.Server])
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
			t.Fatalf("factor of %d from %v to %v", part.Server, before, part.Fraction)
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

// request sends some requests to each server that is not ejected.
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

// confirm lets the list's source name the servers but one; -1 is none.
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

// run steps for the given time, calling each after each plan.
func (s *simulation) run(t *testing.T, duration fleet.Time, proberReaches bool, each func(Plan)) {
	t.Helper()
	for range int(duration / stepDuration) {
		plan := s.step(t, proberReaches)
		if each != nil {
			each(plan)
		}
	}
}
