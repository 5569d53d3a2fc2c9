// Package ingest connects the sources of load reports to the balancer: proxies are polled for their counters, servers
// push load reports at any rate, and the balancer receives reports at a limited rate. The package selects the reports
// to pass on when there are more than that rate allows, aggregates and ages them, ignores sources of invalid records,
// derives the health of servers, and sheds load when steps of the control loop take too long. It does no I/O and reads
// no clock. Only Queue is safe for concurrent use.
// docs/design/ingest.md describes the alternatives.
package ingest

import (
	"cressknot/internal/fleet"
)

// Record is a load report that a server pushed. Its counters are cumulative since the server's start, so that the
// newest record replaces all earlier ones.
type Record struct {
	Server        fleet.ServerID
	Started       fleet.Time // start of the server, from which counters are cumulative; 0: not stated
	Stated        fleet.Time // when the server read the counters; 0: not stated
	Arrived       fleet.Time
	Attempts      uint64 // attempts that ended
	Failures      uint64
	Successes     uint64 // successful attempts that SuccessMillis covers
	SuccessMillis uint64 // sum of their latencies, in ms
	Load          [4]float32
	HasLoad       bool
}

// Totals account for the attempts that proxies counted. Counted is the sum of the other fields.
type Totals struct {
	Counted  uint64 // increases between readings of counters
	Reported uint64 // reported to the balancer
	Pending  uint64 // in pending reports
	Aged     uint64 // dropped because the interval of the reading was too long
	Gone     uint64 // dropped because the server was gone
}

// Pipeline processes all load reports of one controller. It is not safe for concurrent use. Times passed to its methods
// must not decrease.
type Pipeline struct {
	site fleet.Site
	now  fleet.Time // the latest time passed to a method

	proxies  map[fleet.ProxyID]*polledProxy
	departed map[fleet.ProxyID]*polledProxy // kept, as a proxy may rejoin with its counters
	polls    indexedHeap[*polledProxy]
	rowCount int    // sum over the last readings of all proxies
	resets   uint64 // readings with reset counters

	outcomes     []map[uint32]*pendingReport // by zone, then by server
	coverage     []zoneCoverage              // by zone
	demand       map[demandKey]*pendingReport
	due          indexedHeap[*pendingReport]
	reportTokens tokenBucket
	totals       Totals

	sources       []source // by server
	validator     recordValidator
	usePushedLoad bool
	observer      func(CounterDelta) // may be nil

	shedder        loadShedder
	examinedAt     fleet.Time
	reportPathDown bool // most sources are silent although their servers answer
	notices        []Notice
}

// New returns a pipeline without proxies and servers.
func New(site fleet.Site) *Pipeline {
	zones := max(1, len(site.Zones))
	p := &Pipeline{
		site:         site,
		proxies:      map[fleet.ProxyID]*polledProxy{},
		departed:     map[fleet.ProxyID]*polledProxy{},
		coverage:     make([]zoneCoverage, zones),
		demand:       map[demandKey]*pendingReport{},
		reportTokens: tokenBucket{startsEmpty: true},
	}
	for range zones {
		p.outcomes = append(p.outcomes, map[uint32]*pendingReport{})
	}
	return p
}

// UsePushedLoads makes the load that servers push take precedence over the load in their responses to proxies.
func (p *Pipeline) UsePushedLoads() { p.usePushedLoad = true }

// Observe sets a function that is called with each increase of counters, for time series. It runs in the goroutine that
// calls AddReading.
func (p *Pipeline) Observe(observer func(CounterDelta)) { p.observer = observer }

func (p *Pipeline) advance(now fleet.Time) { p.now = max(p.now, now) }

// Resets returns the number of readings that were dropped because counters had decreased or increased implausibly.
func (p *Pipeline) Resets() uint64 { return p.resets }

// Totals returns the account of all attempts since the start.
func (p *Pipeline) Totals() Totals { return p.totals }

// UntrustedUntil returns the time until which the reports of a server are ignored, which may have passed; 0 if they
// were never ignored.
func (p *Pipeline) UntrustedUntil(id fleet.ServerID) fleet.Time { return p.source(id).untrustedUntil }

// Violations returns the latest violations, oldest first, and the numbers of records since the start that were
// repeated, invalid, or from an untrusted source. The caller must not modify the slice.
func (p *Pipeline) Violations() (violations []Violation, repeated, invalid, untrusted uint64) {
	return p.validator.violations, p.validator.repeated, p.validator.invalid, p.validator.untrusted
}
