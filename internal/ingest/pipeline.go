// Package ingest stands between the sources of load reports and the balancer: proxies are polled for their
// counters, servers push reports as they like, and the balancer receives reports at a limited rate. The package
// decides which reports count when more come than may be passed on, how they add up and age, whether a source is
// trusted, what its silence means, and what is shed when turns of the control loop take too long. It is pure: it
// has no I/O and no clock. Only Queue may be used by several goroutines. docs/design/ingest.md describes the
// alternatives.
package ingest

import (
	"cressknot/internal/fleet"
)

// Record is what a server reports of itself. The sums count from its start, so that the newest record replaces all
// earlier ones.
type Record struct {
	Server        fleet.ServerID
	Started       fleet.Time // begin of the sums; 0: not stated
	Stated        fleet.Time // when the server took the sums; 0: not stated
	Arrived       fleet.Time
	Attempts      uint64 // attempts that ended
	Failures      uint64
	Successes     uint64 // those that SuccessMillis is the sum of
	SuccessMillis uint64
	Load          [4]float32
	HasLoad       bool
}

// Totals count where the attempts of the proxies' counters went. Counted is the sum of the others.
type Totals struct {
	Counted  uint64 // differences between counters
	Reported uint64 // reported to the balancer
	Pending  uint64 // in pending reports
	Aged     uint64 // too old when they came
	Gone     uint64 // of servers that were gone by then
}

// Pipeline holds the state of all reports of one controller. It is not safe for concurrent use. Times must not
// decrease.
type Pipeline struct {
	site fleet.Site
	now  fleet.Time // the latest time that was given

	proxies  map[fleet.ProxyID]*polledProxy
	departed map[fleet.ProxyID]*polledProxy // they may come back with their counters
	polls    indexedHeap[*polledProxy]
	rowCount int // of the last readings of all proxies
	resets   uint64

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
	reportPathDown bool // most sources are silent though their servers answer
	notices        []Notice
}

// New returns an empty pipeline for a site.
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

// PushedLoads makes the load that servers push take precedence over the load that their answers report.
func (p *Pipeline) PushedLoads() { p.usePushedLoad = true }

// Observe sets a function that receives what each reading of counters adds, for time series.
func (p *Pipeline) Observe(observer func(CounterDelta)) { p.observer = observer }

// advance notes the current time.
func (p *Pipeline) advance(now fleet.Time) { p.now = max(p.now, now) }

// Resets returns how many readings were dropped because counters had fallen or jumped.
func (p *Pipeline) Resets() uint64 { return p.resets }

// Totals returns where the counted attempts went.
func (p *Pipeline) Totals() Totals { return p.totals }

// UntrustedUntil returns until when the reports of a server don't count; 0: they count.
func (p *Pipeline) UntrustedUntil(id fleet.ServerID) fleet.Time { return p.source(id).distrustedUntil }

// Violations returns the latest violations, oldest first, and how many records were repeated, violated a rule, or came
// from a source that was not trusted.
func (p *Pipeline) Violations() (violations []Violation, repeated, invalid, untrusted uint64) {
	return p.validator.violations, p.validator.repeated, p.validator.invalid, p.validator.untrusted
}
