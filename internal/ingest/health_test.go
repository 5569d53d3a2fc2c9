package ingest

import (
	"strings"
	"testing"

	"cressknot/internal/fleet"
)

// behavior describes how a server and its reporter act after a fault.
type behavior struct {
	reports      bool
	good         bool // attempts succeed
	failed       bool // attempts fail
	servesOthers bool // it answers requests of clients that are not polled
	lateReport   bool // one of its reports is late
	zoneFails    bool // attempts of one zone fail
}

const (
	// faultAt is the time from which server 1 has the behavior under test.
	faultAt = 10 * second

	faultyServer = 1
)

// healthRun simulates four proxies and four servers in steps of a quarter of a second.
type healthRun struct {
	pipeline *Pipeline
	proxies  []*fakeProxy
	fault    behavior
	served   uint64
}

func newHealthRun(fault behavior) *healthRun {
	r := &healthRun{pipeline: New(testSite()), fault: fault}
	r.proxies = newFakeProxies(r.pipeline, 4)
	listAll(r.pipeline, testServers)
	return r
}

func (r *healthRun) step(now fleet.Time) {
	for server := range fleet.ServerID(testServers) {
		current := behavior{reports: true, good: true}
		if server == faultyServer && now > faultAt {
			current = r.fault
		}
		r.attempt(server, current)
		r.served += 3
		r.report(server, current, now)
	}
	for i, proxy := range r.proxies {
		if now%second == fleet.Time(i)*second/4 {
			r.pipeline.AddReading(now, fleet.ProxyID(i), proxy.reading(now))
		}
	}
}

func (r *healthRun) attempt(server fleet.ServerID, current behavior) {
	for i, proxy := range r.proxies {
		switch {
		case current.failed, current.zoneFails && i%2 == 1:
			proxy.attempt(server, 3, 3)
		case current.good:
			proxy.attempt(server, 3, 0)
		}
	}
}

// report pushes the record of a server if one is due; records are due every second.
func (r *healthRun) report(server fleet.ServerID, current behavior, now fleet.Time) {
	due := (current.reports || current.servesOthers) && now%second == 0
	if current.lateReport {
		missed := now >= faultAt+second && now <= faultAt+3*second
		due = due && !missed || now == faultAt+3*second+second/4
	}
	if !due {
		return
	}
	served := r.served
	if !current.good && !current.servesOthers {
		served = 500
	}
	r.pipeline.AddRecord(now, Record{Server: server, Stated: now, Arrived: now, Attempts: served})
}

func TestHealthVerdicts(t *testing.T) {
	for name, test := range map[string]struct {
		fault behavior
		want  HealthVerdict
	}{
		"healthy":                      {behavior{reports: true, good: true}, Healthy},
		"reporter failed":              {behavior{good: true}, ReportsMissing},
		"down":                         {behavior{failed: true}, Down},
		"no reports and no requests":   {behavior{}, Unknown},
		"unreachable by all proxies":   {behavior{reports: true, failed: true}, Unreachable},
		"unreachable from one zone":    {behavior{reports: true, good: true, zoneFails: true}, PartlyUnreachable},
		"requests of unpolled clients": {behavior{reports: true, servesOthers: true}, UnpolledTraffic},
		"idle":                         {behavior{reports: true}, Healthy},
		"one late report":              {behavior{reports: true, good: true, lateReport: true}, Healthy},
	} {
		t.Run(name, func(t *testing.T) {
			const end = 30 * second
			run := newHealthRun(test.fault)
			noticedAt := fleet.Time(0)
			notices := 0
			for now := second; now < end; now += second / 4 {
				run.step(now)
				for _, notice := range run.pipeline.Examine(now) {
					if notice.OfProxy || notice.OfAll || notice.Server != faultyServer || notice.Good {
						t.Errorf("unexpected notice at %.1f s: %+v", now.Seconds(), notice)
						continue
					}
					notices++
					if notice.Verdict == test.want && noticedAt == 0 {
						noticedAt = now
					}
				}
			}
			if got := run.pipeline.Views(end)[faultyServer].Verdict; got != test.want {
				t.Errorf("verdict %s, want %s", got, test.want)
			}
			if test.want != Healthy && (noticedAt == 0 || noticedAt > faultAt+5*second) {
				t.Errorf("noticed after %.1f s", (noticedAt - faultAt).Seconds())
			}
			if notices > 2 {
				t.Errorf("%d notices, want at most 2", notices)
			}
		})
	}
}

// If most sources are silent while their servers answer, the network path of reports has failed: operators must get one
// notice instead of one for each server. A proxy that stops answering polls gets a separate notice.
func TestLostReportPathBlamesNoServer(t *testing.T) {
	p := New(testSite())
	proxy := newFakeProxy()
	p.Join(0, 0, 0, true)
	p.Join(0, 1, 1, true)
	listAll(p, testServers)
	var texts []string
	for now := second; now < 40*second; now += second {
		for server := range fleet.ServerID(testServers) {
			proxy.attempt(server, 5, 0)
			if now < 10*second || now > 20*second {
				p.AddRecord(now, Record{Server: server, Stated: now, Arrived: now, Attempts: uint64(now)})
			}
		}
		polls, _ := p.Polls(now)
		for _, id := range polls {
			if id == 0 || now < 25*second {
				p.AddReading(now, id, proxy.reading(now))
			}
		}
		for _, notice := range p.Examine(now) {
			texts = append(texts, notice.Text)
		}
	}
	if len(texts) != 3 || !strings.Contains(texts[0], "no load reports from 4 of 4") ||
		!strings.Contains(texts[1], "arriving again") || !strings.Contains(texts[2], "has not answered a counter poll") {
		t.Errorf("notices:\n%s", strings.Join(texts, "\n"))
	}
}
