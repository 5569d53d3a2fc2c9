// Package verification decides what to make of endpoint lists that can't be trusted yet: it chooses the cached list
// to start from, verifies its servers until the list's source is heard, and holds back a complete list that names
// far fewer servers than the one before. It is pure: it has no I/O and no clock.
package verification

import (
	"cmp"
	"fmt"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// sourceGracePeriod is how long the list's source has to answer before servers are probed. After a restart it answers
	// within that time.
	sourceGracePeriod = 500 * fleet.Millisecond

	// minEjectionDuration precedes the first probe of a server that was refuted. It doubles each time, up to
	// maxEjectionDuration, which is what a server that comes up may lose.
	minEjectionDuration = 2 * fleet.Second
	maxEjectionDuration = 30 * fleet.Second
)

// HealthVerdict is what is known of a server whose list is not confirmed.
type HealthVerdict uint8

// The verdicts. A server rises to the better ones by probes and by the outcome of requests.
const (
	VerdictUnknown   HealthVerdict = iota
	VerdictReachable               // something accepts connections at its address
	VerdictProven                  // it has handled requests, or answered with its name
	VerdictRefuted                 // it isn't there, or handles nothing
	VerdictConfirmed               // the list's source names it
)

// String returns the name of the verdict that operators see.
func (v HealthVerdict) String() string {
	return [...]string{"untried", "reached", "proven", "refuted", "told"}[v]
}

// NamedEndpoint is one server of a cached list.
type NamedEndpoint struct {
	Endpoint   fleet.Endpoint
	Addr       string
	Unverified bool // it comes from an older list than the others
}

// candidate is a server under verification.
type candidate struct {
	NamedEndpoint
	verdict          HealthVerdict
	reason           string  // of VerdictRefuted
	trust            float64 // weight factor while nothing is known
	sharesAddress    *candidate
	successes        float64 // requests since the verdict changed
	failures         float64 // the same, since the last success
	probing          bool
	probeAt          fleet.Time // 0: no probe is due
	failedProbes     int        // in a row
	ejectionDuration fleet.Time // of the next ejection

	// What was planned last.
	factor   float64 // of its weight
	raisedAt fleet.Time
	ejected  bool
	retained bool // refuted, but the last server that some class could use
	reported bool // operators know of its ejection
}

// Verifier decides which servers of a cached list are used until the list's source is heard, and with what part of
// their weight. Servers of old lists get little; those that answer count, those that don't are ejected, and no
// class is left without servers. It requests probes and changes by Next, and learns by Asked, Met and Live. It is
// not safe for concurrent use.
type Verifier struct {
	site         fleet.Site
	outcomesOnly bool // servers are not probed
	byServer     map[fleet.ServerID]*candidate
	candidates   []*candidate // by server

	probesInFlight int
	// reachedAny reports that a server was reached, so that a failed probe speaks against its server and not against the
	// prober.
	reachedAny           bool
	lastSuccess          fleet.Time // of a request to any server
	failuresSinceSuccess float64

	changed    bool             // something was learned since the last plan
	nextWake   fleet.Time       // that of the last plan
	restored   []WeightFraction // weights of servers that are no longer candidates
	notices    []Notice
	summarized bool
}

// NewVerifier returns a verifier without servers. Unless probes is set, only the outcomes of requests count.
func NewVerifier(site fleet.Site, probes bool) *Verifier {
	return &Verifier{site: site, byServer: map[fleet.ServerID]*candidate{}, outcomesOnly: !probes}
}

// Begin starts the verification of the servers of a list of the given age. Of two servers at one address, the one that
// started later holds it; where that isn't known, they count as one server and share its weight.
func (v *Verifier) Begin(now, age fleet.Time, endpoints []NamedEndpoint) {
	v.lastSuccess = now
	v.changed = true
	holders := map[string]*candidate{}
	for _, endpoint := range endpoints {
		if endpoint.Endpoint.State != fleet.ServerReady {
			continue // a draining server is not used in any case
		}
		c := newCandidate(now, age, endpoint)
		v.byServer[endpoint.Endpoint.Server] = c
		v.resolveAddress(now, holders, c)
	}
	for _, c := range v.byServer {
		v.candidates = append(v.candidates, c)
	}
	slices.SortFunc(v.candidates, func(a, b *candidate) int { return cmp.Compare(a.Endpoint.Server, b.Endpoint.Server) })
}

func newCandidate(now, age fleet.Time, endpoint NamedEndpoint) *candidate {
	c := &candidate{
		NamedEndpoint:    endpoint,
		trust:            Trust(age),
		probeAt:          now + sourceGracePeriod,
		ejectionDuration: minEjectionDuration,
		factor:           1,
	}
	if endpoint.Unverified {
		c.trust = minTrust
	}
	return c
}

// resolveAddress decides between the candidate and the holder of its address, if any.
func (v *Verifier) resolveAddress(now fleet.Time, holders map[string]*candidate, c *candidate) {
	holder := holders[c.Addr]
	if c.Addr == "" || holder == nil {
		holders[c.Addr] = c
		return
	}
	older := c
	switch cmp.Compare(c.Endpoint.Started, holder.Endpoint.Started) {
	case 0:
		c.sharesAddress = holder
		holder.sharesAddress = c
		return
	case 1:
		older = holder
		holders[c.Addr] = c
	}
	v.refute(now, older, reasonAddressTaken)
	older.probeAt = 0
}

// Active reports whether servers are under verification.
func (v *Verifier) Active() bool { return len(v.candidates) > 0 }

// EjectedCount returns the number of ejected servers.
func (v *Verifier) EjectedCount() (count int) {
	for _, c := range v.candidates {
		if c.ejected {
			count++
		}
	}
	return count
}

// ListReceived takes in a list of the source itself. The servers that a complete list names are confirmed; the others
// are gone.
func (v *Verifier) ListReceived(now fleet.Time, list fleet.EndpointList) {
	states := make(map[fleet.ServerID]fleet.ServerState, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		states[endpoint.Server] = endpoint.State
	}
	v.changed = true
	before := len(v.candidates)
	confirmed := 0
	readmitted := 0
	v.candidates = slices.DeleteFunc(v.candidates, func(c *candidate) bool {
		state, named := states[c.Endpoint.Server]
		if !named && list.Scope == fleet.ListDelta {
			return false
		}
		if !named || state != fleet.ServerReady {
			v.remove(c)
			return true
		}
		confirmed++
		if c.ejected {
			readmitted++
		}
		c.confirm()
		return false
	})
	if list.Scope != fleet.ListDelta && before > 0 {
		v.notices = append(v.notices, Notice{Text: fmt.Sprintf(
			"the list's source is back: it names %d of the %d servers under verification; %d of these had been ejected",
			confirmed, before, readmitted)})
	}
}

// confirm records that the list's source names the server.
func (c *candidate) confirm() {
	c.verdict = VerdictConfirmed
	c.ejected = false
	c.retained = false
	c.probeAt = 0
}

// drop forgets a server, and restores its weight.
func (v *Verifier) remove(c *candidate) {
	if c.probing {
		v.probesInFlight--
	}
	if c.factor != 1 {
		v.restored = append(v.restored, WeightFraction{Server: c.Endpoint.Server, Fraction: 1})
	}
	delete(v.byServer, c.Endpoint.Server)
}
