// Package verification handles endpoint lists that may be outdated or incomplete. It chooses the cached list to start
// from, verifies the servers of that list until the endpoint source delivers one, and holds back a complete list that
// contains far fewer servers than the one before. It performs no I/O and reads no clock.
package verification

import (
	"cmp"
	"fmt"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// sourceGracePeriod is how long the endpoint source has to answer before servers are probed. After a restart it
	// answers within this time.
	sourceGracePeriod = 500 * fleet.Millisecond

	// minEjectionDuration is the time from the first refutation of a server to its next probe. The time doubles with each
	// further refutation up to maxEjectionDuration, which bounds how long a server that has started stays unused.
	minEjectionDuration = 2 * fleet.Second
	maxEjectionDuration = 30 * fleet.Second
)

// HealthVerdict is the result of verifying a server from a list that its source has not confirmed.
type HealthVerdict uint8

// The verdicts follow from probes and from the outcomes of requests.
const (
	VerdictUnknown   HealthVerdict = iota // not verified yet
	VerdictReachable                      // its address accepts connections; the server there is not identified
	VerdictProven                         // it has handled requests, or answered a probe with its name
	VerdictRefuted                        // it is absent, or its requests fail
	VerdictConfirmed                      // a list of the endpoint source contains it
)

// String returns the verdict as operators see it: untried, reached, proven, refuted or told.
func (v HealthVerdict) String() string {
	return [...]string{"untried", "reached", "proven", "refuted", "told"}[v]
}

// AddressedEndpoint is one server of a cached list, with its address.
type AddressedEndpoint struct {
	Endpoint   fleet.Endpoint
	Addr       string // host:port; empty: unknown
	Unverified bool   // taken from an older list than the others
}

// candidate is a server under verification.
type candidate struct {
	AddressedEndpoint
	verdict          HealthVerdict
	reason           string     // set with VerdictRefuted
	unverifiedFactor float64    // weight factor while the verdict is VerdictUnknown
	sharesAddress    *candidate // another candidate with the same address and start time, or nil
	successes        float64    // successful requests since the verdict changed
	failures         float64    // failed requests since the verdict changed or a request succeeded
	probing          bool       // a probe is in flight
	probeAt          fleet.Time // when the next probe is due; 0: none
	failedProbes     int        // consecutive probes without an answer
	ejectionDuration fleet.Time // duration of the next ejection

	// State of the last plan.
	factor   float64    // weight factor
	raisedAt fleet.Time // when factor last changed
	ejected  bool
	retained bool // refuted, but kept in use as the last server that some class could use
	reported bool // its ejection has been reported to operators
}

// Verifier decides which servers of a cached list are used, and with what fraction of their weight, until the endpoint
// source delivers a list. Unverified servers of an old list get a small fraction, servers that respond get more,
// servers that don't are ejected, and no class is left without servers. NextPlan returns probes and changes to carry
// out; ProbeFinished, RequestsFinished and ListReceived take observations. A Verifier is not safe for concurrent use.
type Verifier struct {
	site         fleet.Site
	outcomesOnly bool // servers are not probed
	byServer     map[fleet.ServerID]*candidate
	candidates   []*candidate // sorted by server

	probesInFlight int
	// reachedAny is set once any server was reached. Before that, failed probes may be a fault of the prober itself and
	// refute no server.
	reachedAny           bool
	lastSuccess          fleet.Time // time of the last successful request to any server
	failuresSinceSuccess float64    // failed requests to all servers since then

	changed    bool             // there were observations since the last plan
	nextWake   fleet.Time       // when the last plan asked for the next call of NextPlan; 0: after an observation
	restored   []WeightFraction // full weights of servers that are no longer candidates, for the next plan
	notices    []Notice         // for the next plan
	summarized bool             // summarize has reported
}

// NewVerifier returns a verifier without servers. If probes is false, it requests no probes and judges servers by the
// outcomes of their requests alone.
func NewVerifier(site fleet.Site, probes bool) *Verifier {
	return &Verifier{site: site, byServer: map[fleet.ServerID]*candidate{}, outcomesOnly: !probes}
}

// Begin starts the verification of the ready servers of a cached list that was confirmed age ago. If two servers have
// the same address, the one that started earlier is refuted; if their start times are equal or unknown, they share the
// weight of one server.
func (v *Verifier) Begin(now, age fleet.Time, endpoints []AddressedEndpoint) {
	v.lastSuccess = now
	v.changed = true
	holders := map[string]*candidate{}
	for _, endpoint := range endpoints {
		if endpoint.Endpoint.State != fleet.ServerReady {
			continue // a draining server is not used
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

// newCandidate returns an unverified candidate of a list of the given age, with its full weight.
func newCandidate(now, age fleet.Time, endpoint AddressedEndpoint) *candidate {
	c := &candidate{
		AddressedEndpoint: endpoint,
		unverifiedFactor:  UnverifiedWeightFactor(age),
		probeAt:           now + sourceGracePeriod,
		ejectionDuration:  minEjectionDuration,
		factor:            1,
	}
	if endpoint.Unverified {
		c.unverifiedFactor = minUnverifiedFactor
	}
	return c
}

// resolveAddress decides between the candidate and the earlier candidate with the same address, if any. holders maps an
// address to the candidate that has it.
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

// Active reports whether any server is under verification.
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

// ListReceived processes a list of the endpoint source. Ready servers of the list are confirmed. Other servers of the
// list are removed, and so are servers that a complete list does not contain.
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
			"the endpoint source is back: its list confirms %d of the %d servers under verification, of which %d were ejected",
			confirmed, before, readmitted)})
	}
}

// confirm records that a list of the endpoint source contains the server as ready.
func (c *candidate) confirm() {
	c.verdict = VerdictConfirmed
	c.ejected = false
	c.retained = false
	c.probeAt = 0
}

// remove ends the verification of a server and restores its full weight with the next plan.
func (v *Verifier) remove(c *candidate) {
	if c.probing {
		v.probesInFlight--
	}
	if c.factor != 1 {
		v.restored = append(v.restored, WeightFraction{Server: c.Endpoint.Server, Fraction: 1})
	}
	delete(v.byServer, c.Endpoint.Server)
}
