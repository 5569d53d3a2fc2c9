package verification

import (
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

// Half of the servers of a list that is a day old are gone. They are ejected within three seconds, and one that
// comes back is used again. When the list's source is back, the weights rise by steps, and no server remains under
// verification.
func TestVerifierOfADayOldList(t *testing.T) {
	s := newSimulation(fleet.Site{}, day, true, true, false, true, false, true, false, true, false)
	s.run(t, sourceGracePeriod, true, func(Plan) {
		if s.ejectedCount() > 0 {
			t.Fatal("ejected before any probe")
		}
	})
	s.run(t, 5*second/2, true, nil)
	for server, up := range s.up {
		if s.ejected[server] == up {
			t.Errorf("server %d: up %v, ejected %v: %+v", server, up, s.ejected[server], s.verifier.Views())
		}
	}
	if !strings.Contains(s.notices, "4 accept connections, 4 are refuted") ||
		strings.Count(s.notices, "nobody answers") != 4 {
		t.Error(s.notices)
	}
	s.up[1] = true // it was only late
	s.run(t, 6*second, true, nil)
	if s.ejected[1] {
		t.Error("a server that is back remains ejected")
	}
	s.confirmAllExcept(3)
	s.run(t, 10*second, true, nil)
	if s.verifier.Active() || !strings.Contains(s.notices, "names 7 of the 8 servers") {
		t.Errorf("%+v\n%s", s.verifier.Views(), s.notices)
	}
	for server, factor := range s.factors {
		if factor != 1 {
			t.Errorf("server %d ends with the factor %v", server, factor)
		}
	}
}

// A controller that reaches no server ejects none for that. The outcomes of requests decide, so that the server
// that handles nothing is ejected in the end.
func TestVerifierWhoseProberReachesNothing(t *testing.T) {
	s := newSimulation(fleet.Site{}, day, true, true, true, true, false)
	s.run(t, 4*second, false, func(Plan) {
		if s.ejectedCount() > 0 {
			t.Fatal("ejected by a prober that reaches nothing")
		}
	})
	for range 40 {
		s.sendRequests()
		s.step(t, false)
	}
	if s.ejectedCount() != 1 || !s.ejected[3] {
		t.Errorf("%+v", s.verifier.Views())
	}
}

// All servers of a list are gone but one; each zone keeps one where a class is confined to its zone. When that one
// is gone as well, the outcomes tell nothing any more, and the ejected servers are used again.
func TestVerifierLeavesServersInEachZone(t *testing.T) {
	site := fleet.Site{Classes: []fleet.RequestClass{{ZoneLocal: true}}}
	s := newSimulation(site, day, true, true, false, false, false, false, false)
	for range 100 {
		s.sendRequests()
		s.step(t, true)
		if s.ejectedCount() == len(s.up) {
			t.Fatal("all servers are ejected")
		}
		if !s.usedInZone(1) {
			t.Fatal("a zone is empty")
		}
	}
	if s.ejectedCount() != 4 {
		t.Errorf("%d are ejected: %+v", s.ejectedCount(), s.verifier.Views())
	}
	s.up[0] = false
	readmitted := false
	for range 200 {
		s.sendRequests()
		s.step(t, false)
		readmitted = readmitted || s.ejectedCount() == 0
	}
	if !readmitted {
		t.Errorf("no server was used again: %+v", s.verifier.Views())
	}
}

// usedInZone reports whether a server of the zone is not ejected.
func (s *simulation) usedInZone(zone fleet.ServerID) bool {
	for server := range s.up {
		if server%2 == zone && !s.ejected[server] {
			return true
		}
	}
	return false
}

// Of two servers at one address the one that started later holds it. A server whose address answers with another
// name is ejected, and so is one that accepts connections and handles nothing.
func TestVerifierEjectsServersOfOtherAddresses(t *testing.T) {
	v := NewVerifier(fleet.Site{}, true)
	v.Begin(0, day, []NamedEndpoint{
		{Endpoint: fleet.Endpoint{Server: 1, Started: 5 * second}, Addr: "x"},
		{Endpoint: fleet.Endpoint{Server: 2, Started: 9 * second}, Addr: "x"},
		{Endpoint: fleet.Endpoint{Server: 3}, Addr: "y"},
		{Endpoint: fleet.Endpoint{Server: 4}, Addr: "z"},
		{Endpoint: fleet.Endpoint{Server: 5}, Addr: "w"},
	})
	answers := map[fleet.ServerID]Evidence{
		2: EvidenceConfirmed,
		3: EvidenceOtherServer,
		4: EvidenceConnection,
		5: EvidenceConfirmed,
	}
	ejected := map[fleet.ServerID]bool{}
	for now := fleet.Time(0); now < 5*second; now += stepDuration {
		plan := v.NextPlan(now)
		for _, endpoint := range plan.Ejected {
			ejected[endpoint.Server] = true
		}
		for _, server := range plan.Probes {
			v.ProbeFinished(now, server, answers[server])
		}
		if now > 2*second {
			v.RequestsFinished(now, 4, 0, 3)
			v.RequestsFinished(now, 5, 1, 0)
		}
	}
	if len(ejected) != 3 || !ejected[1] || !ejected[3] || !ejected[4] {
		t.Errorf("%v %+v", ejected, v.Views())
	}
}

func TestServersThatShareAnAddressShareTheirWeight(t *testing.T) {
	v := NewVerifier(fleet.Site{}, true)
	v.Begin(0, 0, []NamedEndpoint{
		{Endpoint: fleet.Endpoint{Server: 1}, Addr: "x"},
		{Endpoint: fleet.Endpoint{Server: 2}, Addr: "x"},
		{Endpoint: fleet.Endpoint{Server: 3}, Addr: "y"},
	})
	plan := v.NextPlan(0)
	fractions := plan.WeightFractions
	if len(plan.Ejected) != 0 || len(fractions) != 2 || fractions[0].Fraction != 0.5 || fractions[1].Fraction != 0.5 {
		t.Errorf("%+v", plan)
	}
}

// Of ten servers some are proven, some accept connections and the others are unknown.
func TestWeightFactorsByVerdict(t *testing.T) {
	const servers = 10
	type factors struct{ proven, reachable, unknown float64 } // 0: not checked
	for name, test := range map[string]struct {
		proven     int
		reachable  int
		unverified int
		age        fleet.Time
		want       factors
	}{
		"nothing is known":                 {age: day, want: factors{unknown: 1}},
		"least trust after a day":          {proven: 9, age: day, want: factors{proven: 1, unknown: 0.05}},
		"half the trust after an hour":     {proven: 9, age: hour, want: factors{proven: 1, unknown: 0.506}},
		"unknown ones get a quarter":       {proven: 5, age: hour, want: factors{proven: 1, unknown: 1.0 / 3}},
		"two would be overloaded":          {proven: 2, age: day, want: factors{proven: 1, unknown: 3.0 / 8}},
		"half for an address that answers": {proven: 5, reachable: 4, age: day, want: factors{1, 0.5, 0.05}},
		"more where the list is young":     {proven: 5, reachable: 4, age: 10 * minute, want: factors{1, 0.901, 0.901}},
		"least trust in an older list": {
			proven: 9, unverified: 1, age: 40 * minute, want: factors{proven: 1, unknown: 0.05}},
		"full trust in a list of 30 seconds": {proven: 9, age: 30 * second, want: factors{proven: 1, unknown: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			v := NewVerifier(fleet.Site{}, true)
			endpoints := namedEndpoints(servers)
			for i := servers - test.unverified; i < servers; i++ {
				endpoints[i].Unverified = true
			}
			v.Begin(0, test.age, endpoints)
			v.NextPlan(sourceGracePeriod) // all are probed
			for i := range test.proven {
				v.ProbeFinished(sourceGracePeriod, fleet.ServerID(i), EvidenceConfirmed)
			}
			for i := range test.reachable {
				v.ProbeFinished(sourceGracePeriod, fleet.ServerID(test.proven+i), EvidenceConnection)
			}
			for at := sourceGracePeriod; at < 20*second; at += second {
				v.NextPlan(at)
			}
			views := v.Views()
			expectFactor(t, views[0], test.want.proven)
			expectFactor(t, views[test.proven], test.want.reachable)
			expectFactor(t, views[servers-1], test.want.unknown)
		})
	}
}

func expectFactor(t *testing.T, view View, want float64) {
	t.Helper()
	const tolerance = 0.12
	if want > 0 && math.Abs(view.WeightFraction-want) > tolerance*want {
		t.Errorf("server %d has the factor %.3f, want %.3f", view.Server, view.WeightFraction, want)
	}
}

func TestProbesInFlightAreBounded(t *testing.T) {
	s := newSimulation(fleet.Site{}, day, true, make([]bool, 300)...)
	s.up[0] = true
	s.now += sourceGracePeriod
	if n := len(s.verifier.NextPlan(s.now).Probes); n != maxProbesInFlight {
		t.Errorf("%d probes at once", n)
	}
}

// A server that stays away is probed less and less often, and its ejection is reported once, also if it comes and goes.
func TestAbsentServerIsProbedLessAndLess(t *testing.T) {
	s := newSimulation(fleet.Site{}, day, true, true, false, true)
	probes := 0
	for range 1200 {
		plan := s.step(t, true)
		for _, server := range plan.Probes {
			if server == 1 {
				probes++
			}
		}
		s.sendRequests()
	}
	if probes < 5 || probes > 12 || strings.Count(s.notices, "nobody answers") != 1 {
		t.Errorf("%d probes in two minutes: %s", probes, s.notices)
	}
	for i := range 1600 {
		s.up[1] = i/400%2 == 0
		s.step(t, true)
		s.sendRequests()
	}
	if strings.Count(s.notices, "nobody answers") != 1 || !s.ejected[1] {
		t.Errorf("ejected %v: %s", s.ejected[1], s.notices)
	}
}

// A server that handles requests is not ejected by probes without an answer. One whose requests fail is probed: it
// remains in use if it is there, and is ejected if it is gone.
func TestProvenServerIsProbedWhenItsRequestsFail(t *testing.T) {
	v := NewVerifier(fleet.Site{}, true)
	v.Begin(0, day, namedEndpoints(2))
	v.NextPlan(sourceGracePeriod)
	v.ProbeFinished(sourceGracePeriod, 1, EvidenceConfirmed)
	v.RequestsFinished(sourceGracePeriod, 0, 5, 0) // while it is probed
	for at := sourceGracePeriod; at < 4*second; at += stepDuration {
		v.ProbeFinished(at, 0, EvidenceNone)
		if plan := v.NextPlan(at); len(plan.Ejected)+len(plan.Probes) > 0 {
			t.Fatalf("it handles requests: %+v", plan)
		}
	}
	probes := 0
	for at := 4 * second; at < 8*second; at += stepDuration {
		plan := failingStep(v, at, EvidenceConnection)
		probes += len(plan.Probes)
		if len(plan.Ejected) > 0 || v.Views()[0].Verdict != VerdictProven {
			t.Fatalf("it is there, with a fault: %+v %+v", plan, v.Views())
		}
	}
	if probes < 2 || probes > 12 {
		t.Errorf("%d probes while its requests fail", probes)
	}
	for at := 8 * second; at < 12*second; at += stepDuration {
		failingStep(v, at, EvidenceNone)
	}
	if view := v.Views()[0]; view.Verdict != VerdictRefuted || !view.Ejected {
		t.Errorf("it handled requests and is gone: %+v", view)
	}
}

// failingStep lets requests to server 0 fail and to server 1 succeed, and answers a probe.
func failingStep(v *Verifier, at fleet.Time, answer Evidence) Plan {
	v.RequestsFinished(at, 0, 0, requestsPerStep)
	v.RequestsFinished(at, 1, requestsPerStep, 0)
	plan := v.NextPlan(at)
	if len(plan.Probes) > 0 {
		v.ProbeFinished(at, 0, answer)
	}
	return plan
}

// Whatever is reached, requested and named when, some server remains in use, factors rise by steps only, a plan never
// repeats itself, and a list of the source ends the verification.
func TestVerifierInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		up := rapid.SliceOfN(rapid.Bool(), 1, 12).Draw(t, "up")
		age := fleet.Time(rapid.IntRange(0, 90_000).Draw(t, "age")) * second
		s := newSimulation(fleet.Site{}, age, rapid.Bool().Draw(t, "probes"), up...)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				server := fleet.ServerID(rapid.IntRange(0, len(up)-1).Draw(t, "toggled"))
				s.up[server] = !s.up[server]
			case 1, 2, 3:
				s.sendRequests()
			}
			s.step(t, rapid.IntRange(0, 3).Draw(t, "reaches") > 0)
			if s.ejectedCount() == len(up) {
				t.Fatalf("all servers are ejected: %+v", s.verifier.Views())
			}
		}
		s.confirmAllExcept(-1)
		for range 80 {
			s.step(t, true)
		}
		if s.verifier.Active() || s.verifier.probesInFlight != 0 {
			t.Fatalf("still under verification: %+v", s.verifier.Views())
		}
		for server, factor := range s.factors {
			if math.Abs(factor-1) > 1e-9 {
				t.Fatalf("server %d ends with the factor %v", server, factor)
			}
		}
	})
}
