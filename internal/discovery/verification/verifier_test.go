package verification

import (
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

// Half of the servers of a list that is a day old are gone. They are ejected within three seconds, and one that starts
// again is readmitted. After the endpoint source delivers its list, the weights rise in steps, and no server remains
// under verification.
func TestVerifierOfADayOldList(t *testing.T) {
	s := newSimulation(fleet.Site{}, day, true, true, false, true, false, true, false, true, false)
	s.run(t, sourceGracePeriod, true, func(Plan) {
		if s.ejectedCount() > 0 {
			t.Fatal("a server is ejected before any probe")
		}
	})
	s.run(t, 5*second/2, true, nil)
	for server, up := range s.up {
		if s.ejected[server] == up {
			t.Errorf("server %d: up %v, ejected %v: %+v", server, up, s.ejected[server], s.verifier.Statuses())
		}
	}
	if !strings.Contains(s.notices, "4 accept connections, 4 are refuted") ||
		strings.Count(s.notices, "get no answer") != 4 {
		t.Errorf("notices: %s", s.notices)
	}
	s.up[1] = true // it has started late
	s.run(t, 6*second, true, nil)
	if s.ejected[1] {
		t.Error("a server that is up again remains ejected")
	}
	s.confirmAllExcept(3)
	s.run(t, 10*second, true, nil)
	if s.verifier.Active() || !strings.Contains(s.notices, "confirms 7 of the 8 servers") {
		t.Errorf("%+v\n%s", s.verifier.Statuses(), s.notices)
	}
	for server, factor := range s.factors {
		if factor != 1 {
			t.Errorf("server %d ends with the weight factor %v", server, factor)
		}
	}
}

// A prober that reaches no server at all may be at fault itself, so its failed probes eject none. The outcomes of
// requests decide instead: the server whose requests all fail is ejected.
func TestVerifierWhoseProberReachesNothing(t *testing.T) {
	s := newSimulation(fleet.Site{}, day, true, true, true, true, false)
	s.run(t, 4*second, false, func(Plan) {
		if s.ejectedCount() > 0 {
			t.Fatal("a server is ejected although the prober reaches none")
		}
	})
	for range 40 {
		s.sendRequests()
		s.step(t, false)
	}
	if s.ejectedCount() != 1 || !s.ejected[3] {
		t.Errorf("want only server 3 ejected: %+v", s.verifier.Statuses())
	}
}

// All servers of a list but two of one zone are gone. As a class is confined to its zone, each zone must keep a server
// in use. When the requests to all servers fail, the outcomes no longer tell the servers apart, and the ejected servers
// are used again.
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
			t.Fatal("zone 1 has no server in use")
		}
	}
	if s.ejectedCount() != 4 {
		t.Errorf("%d servers are ejected, want 4: %+v", s.ejectedCount(), s.verifier.Statuses())
	}
	s.up[0] = false
	readmitted := false
	for range 200 {
		s.sendRequests()
		s.step(t, false)
		readmitted = readmitted || s.ejectedCount() == 0
	}
	if !readmitted {
		t.Errorf("the ejected servers were not readmitted: %+v", s.verifier.Statuses())
	}
}

// usedInZone reports whether the zone has a server that is not ejected.
func (s *simulation) usedInZone(zone fleet.ServerID) bool {
	for server := range s.up {
		if server%2 == zone && !s.ejected[server] {
			return true
		}
	}
	return false
}

// A stale list may contain addresses that have passed to other servers. Of two servers with the same address, the one
// that started earlier is ejected. So are a server whose address answers with another name, and one whose address
// accepts connections while its requests fail.
func TestVerifierEjectsServersOfOtherAddresses(t *testing.T) {
	v := NewVerifier(fleet.Site{}, true)
	v.Begin(0, day, []AddressedEndpoint{
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
		t.Errorf("ejected %v, want 1, 3 and 4: %+v", ejected, v.Statuses())
	}
}

func TestServersThatShareAnAddressShareTheirWeight(t *testing.T) {
	v := NewVerifier(fleet.Site{}, true)
	v.Begin(0, 0, []AddressedEndpoint{
		{Endpoint: fleet.Endpoint{Server: 1}, Addr: "x"},
		{Endpoint: fleet.Endpoint{Server: 2}, Addr: "x"},
		{Endpoint: fleet.Endpoint{Server: 3}, Addr: "y"},
	})
	plan := v.NextPlan(0)
	fractions := plan.WeightFractions
	if len(plan.Ejected) != 0 || len(fractions) != 2 || fractions[0].Fraction != 0.5 || fractions[1].Fraction != 0.5 {
		t.Errorf("want no ejection and two weight fractions of 0.5: %+v", plan)
	}
}

// Of ten servers, some are proven, some accept connections, and the others are unknown or from an older list.
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
		"all servers are unknown":        {age: day, want: factors{unknown: 1}},
		"minimum trust after a day":      {proven: 9, age: day, want: factors{proven: 1, unknown: 0.05}},
		"half the trust after an hour":   {proven: 9, age: hour, want: factors{proven: 1, unknown: 0.506}},
		"a quarter for unknown servers":  {proven: 5, age: hour, want: factors{proven: 1, unknown: 1.0 / 3}},
		"bounded overload of known ones": {proven: 2, age: day, want: factors{proven: 1, unknown: 3.0 / 8}},
		"half for an open address":       {proven: 5, reachable: 4, age: day, want: factors{1, 0.5, 0.05}},
		"more in a recent list":          {proven: 5, reachable: 4, age: 10 * minute, want: factors{1, 0.901, 0.901}},
		"minimum trust in an older list": {
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
			v.NextPlan(sourceGracePeriod) // requests a probe of every server
			for i := range test.proven {
				v.ProbeFinished(sourceGracePeriod, fleet.ServerID(i), EvidenceConfirmed)
			}
			for i := range test.reachable {
				v.ProbeFinished(sourceGracePeriod, fleet.ServerID(test.proven+i), EvidenceConnection)
			}
			for at := sourceGracePeriod; at < 20*second; at += second {
				v.NextPlan(at)
			}
			views := v.Statuses()
			expectFactor(t, views[0], test.want.proven)
			expectFactor(t, views[test.proven], test.want.reachable)
			expectFactor(t, views[servers-1], test.want.unknown)
		})
	}
}

func expectFactor(t *testing.T, status ServerStatus, want float64) {
	t.Helper()
	const tolerance = 0.12
	if want > 0 && math.Abs(status.WeightFraction-want) > tolerance*want {
		t.Errorf("server %d has the weight factor %.3f, want %.3f", status.Server, status.WeightFraction, want)
	}
}

func TestProbesInFlightAreBounded(t *testing.T) {
	s := newSimulation(fleet.Site{}, day, true, make([]bool, 300)...)
	s.up[0] = true
	s.now += sourceGracePeriod
	if n := len(s.verifier.NextPlan(s.now).Probes); n != maxProbesInFlight {
		t.Errorf("%d probes in flight, want %d", n, maxProbesInFlight)
	}
}

// An absent server is probed at increasing intervals. Its ejection is reported only once, even if the server repeatedly
// starts and stops: otherwise it would fill the log for hours.
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
	if probes < 5 || probes > 12 || strings.Count(s.notices, "get no answer") != 1 {
		t.Errorf("%d probes in two minutes, want 5 to 12; notices: %s", probes, s.notices)
	}
	for i := range 1600 {
		s.up[1] = i/400%2 == 0
		s.step(t, true)
		s.sendRequests()
	}
	if strings.Count(s.notices, "get no answer") != 1 || !s.ejected[1] {
		t.Errorf("server 1 ejected: %v, notices: %s", s.ejected[1], s.notices)
	}
}

// A server that handles requests must not be ejected because its probes get no answer. If its requests fail, it is
// probed: it remains in use if its address accepts connections, and is ejected otherwise.
func TestProvenServerIsProbedWhenItsRequestsFail(t *testing.T) {
	v := NewVerifier(fleet.Site{}, true)
	v.Begin(0, day, namedEndpoints(2))
	v.NextPlan(sourceGracePeriod)
	v.ProbeFinished(sourceGracePeriod, 1, EvidenceConfirmed)
	v.RequestsFinished(sourceGracePeriod, 0, 5, 0) // while its probe is in flight
	for at := sourceGracePeriod; at < 4*second; at += stepDuration {
		v.ProbeFinished(at, 0, EvidenceNone)
		if plan := v.NextPlan(at); len(plan.Ejected)+len(plan.Probes) > 0 {
			t.Fatalf("a server that handles requests is ejected or probed: %+v", plan)
		}
	}
	probes := 0
	for at := 4 * second; at < 8*second; at += stepDuration {
		plan := failingStep(v, at, EvidenceConnection)
		probes += len(plan.Probes)
		if len(plan.Ejected) > 0 || v.Statuses()[0].Verdict != VerdictProven {
			t.Fatalf("a server that accepts connections is ejected or not proven: %+v %+v", plan, v.Statuses())
		}
	}
	if probes < 2 || probes > 12 {
		t.Errorf("%d probes while its requests fail, want 2 to 12", probes)
	}
	for at := 8 * second; at < 12*second; at += stepDuration {
		failingStep(v, at, EvidenceNone)
	}
	if status := v.Statuses()[0]; status.Verdict != VerdictRefuted || !status.Ejected {
		t.Errorf("a server that is gone is not ejected: %+v", status)
	}
}

// failingStep reports failed requests to server 0 and successful ones to server 1, and answers a probe of server 0.
func failingStep(v *Verifier, at fleet.Time, answer Evidence) Plan {
	v.RequestsFinished(at, 0, 0, requestsPerStep)
	v.RequestsFinished(at, 1, requestsPerStep, 0)
	plan := v.NextPlan(at)
	if len(plan.Probes) > 0 {
		v.ProbeFinished(at, 0, answer)
	}
	return plan
}

// With random probes, requests and lists, some server remains in use, weight factors rise only in steps, a second plan
// at the same time is empty, and a list of the endpoint source ends the verification.
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
				t.Fatalf("all servers are ejected: %+v", s.verifier.Statuses())
			}
		}
		s.confirmAllExcept(-1)
		for range 80 {
			s.step(t, true)
		}
		if s.verifier.Active() || s.verifier.probesInFlight != 0 {
			t.Fatalf("servers are still under verification: %+v", s.verifier.Statuses())
		}
		for server, factor := range s.factors {
			if math.Abs(factor-1) > 1e-9 {
				t.Fatalf("server %d ends with the weight factor %v", server, factor)
			}
		}
	})
}
