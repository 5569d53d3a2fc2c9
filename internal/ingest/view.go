package ingest

import "cressknot/internal/fleet"

// View is the state of a server as a source of load reports, as shown to operators.
type View struct {
	Server         fleet.ServerID
	Verdict        HealthVerdict
	Since          fleet.Time // when Verdict last changed
	HasReported    bool       // the server has pushed a report
	Age            fleet.Time // of its newest report
	PolledAge      fleet.Time // since polls last showed attempts; 0: never
	Attempts       uint64     // counted by proxies in the last 3 s
	Failed         uint64     // counted by proxies in the last 3 s
	OwnAttempts    uint64     // attempts counted by the server itself, since the controller's start
	OwnFailures    uint64     // failures counted by the server itself, since the controller's start
	Load           [4]float32
	HasLoad        bool
	UntrustedUntil fleet.Time // its reports are ignored until then; 0: they are accepted
	ClockOffset    fleet.Time // positive if its clock is behind the controller's
}

// Verdict returns the current health verdict on a server, Healthy for an unknown one.
func (p *Pipeline) Verdict(id fleet.ServerID) HealthVerdict { return p.source(id).health.verdict }

// Views returns the views of the listed servers, ordered by server ID.
func (p *Pipeline) Views(now fleet.Time) []View {
	var views []View
	for i := range p.sources {
		if p.sources[i].listed {
			views = append(views, p.view(fleet.ServerID(i), now))
		}
	}
	return views
}

func (p *Pipeline) view(server fleet.ServerID, now fleet.Time) View {
	s := p.source(server)
	outcomes := s.recentOutcomes()
	view := View{
		Server:      server,
		Verdict:     s.health.verdict,
		Since:       s.health.since,
		HasReported: s.hasReported(),
		Attempts:    outcomes.attempts,
		Failed:      outcomes.failures,
		OwnAttempts: s.ownAttempts,
		OwnFailures: s.ownFailures,
		Load:        s.last.Load,
		HasLoad:     s.last.HasLoad,
		ClockOffset: s.clock.offset,
	}
	if s.hasReported() {
		view.Age = s.age(now)
	}
	if s.polledAt > 0 {
		view.PolledAge = max(1, now-s.polledAt)
	}
	if s.untrustedUntil > now {
		view.UntrustedUntil = s.untrustedUntil
	}
	if !view.HasLoad {
		view.Load, view.HasLoad = p.reportedLoad(server, view.Load)
	}
	return view
}

// reportedLoad returns the load that a server reported in its responses to proxies, or fallback and false if there is
// none.
func (p *Pipeline) reportedLoad(server fleet.ServerID, fallback [4]float32) (load [4]float32, ok bool) {
	for _, byServer := range p.outcomes {
		if report := byServer[uint32(server)]; report != nil && report.load != [4]float32{} {
			return report.load, true
		}
	}
	return fallback, false
}

// ProxyAge returns the time since a proxy's counters were last read, and the poll period. It returns false if they were
// never read or the proxy is not polled.
func (p *Pipeline) ProxyAge(now fleet.Time, id fleet.ProxyID) (age, period fleet.Time, ok bool) {
	proxy := p.proxies[id]
	if proxy == nil || !proxy.hasReading {
		return 0, p.pollPeriod(), false
	}
	return now - proxy.readAt, p.pollPeriod(), true
}
