package ingest

import (
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

// conservationRun drives a pipeline, and sums the attempts that proxies counted and those that were reported.
type conservationRun struct {
	pipeline *Pipeline
	start    fleet.Time
	now      fleet.Time
	proxies  [3]conservedProxy
	gone     map[fleet.ServerID]bool
	// lastReport is the time of the last outcome report by server and zone.
	lastReport map[seriesKey]fleet.Time
	counted    uint64 // attempts that proxies counted between readings
	reported   uint64
	reports    int
}

type seriesKey struct {
	server fleet.ServerID
	zone   fleet.ZoneID
}

type conservedProxy struct {
	*fakeProxy
	attempts uint64 // since the test began
	base     uint64 // attempts at the last reading
	hasBase  bool
}

func newConservationRun() *conservationRun {
	r := &conservationRun{
		pipeline:   New(testSite()),
		start:      second,
		now:        second,
		gone:       map[fleet.ServerID]bool{},
		lastReport: map[seriesKey]fleet.Time{},
	}
	for i := range r.proxies {
		r.proxies[i].fakeProxy = newFakeProxy()
		r.pipeline.Join(r.now, fleet.ProxyID(i), fleet.ZoneID(i%2), true)
	}
	return r
}

// step performs a random action on a random proxy or server.
func (r *conservationRun) step(t *rapid.T) {
	r.now += fleet.Time(rapid.SampledFrom([]int{20, 300, 900, 900, 20_000}).Draw(t, "ms")) * millisecond
	i := rapid.IntRange(0, len(r.proxies)-1).Draw(t, "proxy")
	switch rapid.IntRange(0, 7).Draw(t, "action") {
	case 0, 1, 2:
		attempts := uint64(rapid.IntRange(1, 50).Draw(t, "attempts"))
		server := fleet.ServerID(rapid.IntRange(0, testServers-1).Draw(t, "server"))
		r.proxies[i].attempt(server, attempts, attempts/3)
		r.proxies[i].attempts += attempts
	case 3, 4:
		r.poll(i)
	case 5:
		r.rejoin(i, rapid.Bool().Draw(t, "fresh"))
	case 6:
		server := fleet.ServerID(rapid.IntRange(0, testServers-1).Draw(t, "listed"))
		r.gone[server] = rapid.Bool().Draw(t, "gone")
		r.pipeline.SetListed(server, r.gone[server])
	default:
		r.checkReports(t)
	}
	r.pipeline.Examine(r.now)
}

func (r *conservationRun) poll(i int) {
	proxy := &r.proxies[i]
	if proxy.hasBase {
		r.counted += proxy.attempts - proxy.base
	}
	proxy.hasBase = true
	proxy.base = proxy.attempts
	reading := proxy.reading(r.now)
	r.pipeline.AddReading(r.now, fleet.ProxyID(i), reading)
	reading.Release()
}

// rejoin makes a proxy leave and join again. If fresh is set, it has restarted in between.
func (r *conservationRun) rejoin(i int, fresh bool) {
	r.pipeline.Leave(fleet.ProxyID(i))
	if fresh {
		r.proxies[i].fakeProxy = newFakeProxy()
		r.proxies[i].hasBase = false
	}
	r.pipeline.Join(r.now, fleet.ProxyID(i), fleet.ZoneID(i%2), fresh)
}

// checkReports takes the due reports, and checks their number, their values and the totals.
func (r *conservationRun) checkReports(t *rapid.T) {
	events, _ := r.pipeline.Reports(r.now)
	for _, event := range events {
		r.reports++
		switch event := event.(type) {
		case fleet.OutcomeReport:
			r.checkOutcome(t, event)
		case fleet.DemandReport:
			if event.Interval <= 0 || event.Requests > 1e6 {
				t.Fatalf("%+v", event)
			}
		default:
			t.Fatalf("%+v", event)
		}
	}
	if limit := int((r.now-r.start).Seconds()*5) + 6; r.reports > limit {
		t.Fatalf("%d reports, want at most %d", r.reports, limit)
	}
	totals := r.pipeline.Totals()
	if totals.Counted != r.counted || totals.Reported != r.reported ||
		totals.Counted != totals.Reported+totals.Pending+totals.Aged+totals.Gone {
		t.Fatalf("totals %+v, but proxies counted %d attempts and %d were reported", totals, r.counted, r.reported)
	}
}

func (r *conservationRun) checkOutcome(t *rapid.T, report fleet.OutcomeReport) {
	r.reported += uint64(report.Attempts)
	key := seriesKey{server: report.Server, zone: report.Zone}
	last := r.lastReport[key]
	invalid := report.Failures > report.Attempts || report.Interval <= 0 || report.Attempts > 1e6 || report.Load != nil
	tooEarly := last > 0 && r.now < last+second*3/4
	if invalid || tooEarly || r.gone[report.Server] {
		t.Fatalf("invalid or early report %+v: gone %v, last at %d, now %d", report, r.gone[report.Server], last, r.now)
	}
	r.lastReport[key] = r.now
}

// With any order of polls, departures, restarts and late readings, each attempt that proxies counted is reported,
// pending, dropped as too old, or dropped because its server is gone; none is lost or counted twice. The rate of
// reports stays within the limit of the site.
func TestAttemptsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := newConservationRun()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			run.step(t)
		}
		for range 200 {
			run.now += second
			run.checkReports(t)
		}
		if pending, _ := run.pipeline.PendingReports(run.now); pending != 0 || run.pipeline.totals.Pending != 0 {
			t.Fatalf("%d reports remain pending: %+v", pending, run.pipeline.totals)
		}
	})
}
