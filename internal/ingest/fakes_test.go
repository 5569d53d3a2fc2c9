package ingest

import (
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
)

const (
	second      = fleet.Second
	millisecond = fleet.Millisecond
)

// testServers is the number of servers of a fakeProxy.
const testServers = 4

func testSite() fleet.Site {
	return fleet.Site{
		Zones:            []string{"a", "b"},
		Classes:          make([]fleet.RequestClass, 2),
		ReportInterval:   second,
		ReportsPerSecond: 5,
		LoadFields:       []fleet.LoadField{fleet.LoadFieldUtilization},
	}
}

// fakeProxy holds the counters of a simulated proxy.
type fakeProxy struct {
	servers  map[fleet.ServerID]counters.ServerCounters
	requests uint64
}

func newFakeProxy() *fakeProxy {
	return &fakeProxy{servers: map[fleet.ServerID]counters.ServerCounters{}}
}

// newFakeProxies returns proxies that have joined the pipeline, in alternating zones.
func newFakeProxies(p *Pipeline, count int) (proxies []*fakeProxy) {
	for i := range count {
		proxies = append(proxies, newFakeProxy())
		p.Join(0, fleet.ProxyID(i), fleet.ZoneID(i%2), true)
	}
	return proxies
}

// reading returns the current counters. The caller may release the reading.
func (f *fakeProxy) reading(at fleet.Time) *counters.Reading {
	reading := counters.NewReading(2)
	reading.At = at
	for server := range fleet.ServerID(testServers) {
		if c, ok := f.servers[server]; ok {
			reading.Row(server).ServerCounters = c
		}
	}
	reading.Classes[0].Requests = f.requests
	return reading
}

// attempt adds completed attempts at a server to the counters.
func (f *fakeProxy) attempt(server fleet.ServerID, attempts, failures uint64) {
	const latency = 100
	c := f.servers[server]
	c.Attempts += attempts
	c.Failures += failures
	c.Successes += attempts - failures
	c.SuccessMillis += latency * (attempts - failures)
	f.servers[server] = c
	f.requests += attempts
}

// outcomeReports returns the outcome reports that are due.
func outcomeReports(p *Pipeline, now fleet.Time) (reports []fleet.OutcomeReport) {
	events, _ := p.Reports(now)
	for _, event := range events {
		if report, ok := event.(fleet.OutcomeReport); ok {
			reports = append(reports, report)
		}
	}
	return reports
}

func attemptRate(report fleet.OutcomeReport) float64 {
	return float64(report.Attempts) / report.Interval.Seconds()
}

// listAll lists the first count servers.
func listAll(p *Pipeline, count int) {
	for server := range fleet.ServerID(count) {
		p.SetListed(server, false)
	}
}

// push adds a record, which arrives now unless it has a later time of arrival.
func push(t *testing.T, p *Pipeline, record Record) {
	t.Helper()
	record.Arrived = max(record.Arrived, p.now)
	p.AddRecord(record.Arrived, record)
}
