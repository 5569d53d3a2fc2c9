package ingest

import "cressknot/internal/fleet"

// View is what operators see of a server as a source.
type View struct {
	Server      fleet.ServerID
	Verdict     HealthVerdict
	Since       fleet.Time
	Reports     bool       // it has reported
	Age         fleet.Time // of its newest report
	PolledAge   fleet.Time // since polls last showed attempts; 0: never
	Attempts    uint64     // attempts that proxies counted in the last seconds
	Failed      uint64     // failures, the same
	Served      uint64     // attempts by its own count
	OwnFailures uint64     // failures by its own count
	Load        [4]float32
	HasLoad     bool
	Distrust    fleet.Time // until when its reports don't count; 0: they count
	ClockOffset fleet.Time // by which its clock is behind
}

// Verdict returns the health verdict on a server.
func (p *Pipeline) Verdict(id fleet.ServerID) HealthVerdict { return p.source(id).health.verdict }

// Views returns the listed servers in the order of their numbers.
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
		Reports:     s.hasReported(),
		Attempts:    outcomes.attempts,
		Failed:      outcomes.failures,
		Served:      s.ownAttempts,
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
	if s.distrustedUntil > now {
		view.Distrust = s.distrustedUntil
	}
	if !view.HasLoad {
		view.Load, view.HasLoad = p.reportedLoad(server, view.Load)
	}
	return view
}

// reportedLoad returns the load that a server's answers reported, or the given one where there is none.
func (p *Pipeline) reportedLoad(server fleet.ServerID, fallback [4]float32) (load [4]float32, ok bool) {
	for _, byServer := range p.outcomes {
		if report := byServer[uint32(server)]; report != nil && report.load != [4]float32{} {
			return report.load, true
		}
	}
	return fallback, false
}

// ProxyAge returns how long ago a proxy's counters were read, and the period of polls. It returns false where they were
// never read.
func (p *Pipeline) ProxyAge(now fleet.Time, id fleet.ProxyID) (age, period fleet.Time, ok bool) {
	proxy := p.proxies[id]
	if proxy == nil || !proxy.hasReading {
		return 0, p.pollPeriod(), false
	}
	return now - proxy.readAt, p.pollPeriod(), true
}
