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

// fakeProxy is a proxy with its counters.
type fakeProxy struct {
	servers  map[fleet.ServerID]counters.ServerCounters
	requests uint64
}

func newFakeProxy() *fakeProxy {
	return &fakeProxy{servers: map[fleet.ServerID]counters.ServerCounters{}}
}

// newFakeProxies joins proxies of alternating zones to the pipeline.
func newFakeProxies(p *Pipeline, count int) (proxies []*fakeProxy) {
	for i := range count {
		proxies = append(proxies, newFakeProxy())
		p.Join(0, fleet.ProxyID(i), fleet.ZoneID(i%2), true)
	}
	return proxies
}

// reading returns the counters. The caller may release it.
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

// attempt counts attempts at a server.
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

// listAll lists servers from 0 on.
func listAll(p *Pipeline, count int) {
	for server := range fleet.ServerID(count) {
		p.Listed(server, false)
	}
}

// push pushes a record that arrives now.
func push(t *testing.T, p *Pipeline, record Record) {
	t.Helper()
	record.Arrived = max(record.Arrived, p.now)
	p.AddRecord(record.Arrived, record)
}
