package rpc

import (
	"cressknot/internal/fleet"
	"cressknot/internal/service"
	"cressknot/internal/service/rpc/pb"
	"cressknot/internal/tableversion"
)

// VersionFromProto converts a version from its wire form; nil is NoVersion.
func VersionFromProto(v *pb.Version) tableversion.Version {
	return tableversion.Version{Epoch: v.GetEpoch(), Count: v.GetCount()}
}

// VersionToProto converts a version to its wire form, NoVersion to nil.
func VersionToProto(v tableversion.Version) *pb.Version {
	if v == tableversion.NoVersion {
		return nil
	}
	return &pb.Version{Epoch: v.Epoch, Count: v.Count}
}

// UpdateToProto converts an update to its wire form. The result shares OpenServers with u.
func UpdateToProto(u *service.Update) *pb.Update {
	p := &pb.Update{
		Minor:      u.Minor,
		Governor:   u.Controller,
		ListRev:    u.ListRevision,
		Live:       u.Live,
		Zone:       u.Zone,
		From:       VersionToProto(u.From),
		To:         VersionToProto(u.To),
		LimitsOpen: u.RestrictsToOpen,
		Open:       u.OpenServers,
		Beat:       u.Heartbeat,
	}
	for _, class := range u.Classes {
		table := &pb.ClassTable{
			Class:  class.Class,
			Laid:   class.Published,
			Amount: int32(class.AdmissionLimit),
			Retry:  uint32(class.Retry),
			Digest: uint64(class.Digest),
		}
		for _, endpoint := range class.Endpoints {
			table.Lines = append(table.Lines, &pb.Line{
				Server: endpoint.Server,
				Addr:   endpoint.Addr,
				Weight: uint32(endpoint.Weight),
			})
		}
		p.Classes = append(p.Classes, table)
	}
	return p
}

// UpdateFromProto converts an update from its wire form and does not validate it. The result shares OpenServers with p.
func UpdateFromProto(p *pb.Update) service.Update {
	u := service.Update{
		Minor:           p.Minor,
		Controller:      p.Governor,
		ListRevision:    p.ListRev,
		Live:            p.Live,
		Zone:            p.Zone,
		From:            VersionFromProto(p.From),
		To:              VersionFromProto(p.To),
		RestrictsToOpen: p.LimitsOpen,
		OpenServers:     p.Open,
		Heartbeat:       p.Beat,
	}
	for _, class := range p.Classes {
		table := service.ClassTable{
			Class:          class.Class,
			Published:      class.Laid,
			AdmissionLimit: int(class.Amount),
			Retry:          fleet.RetryMode(class.Retry),
			Digest:         tableversion.Digest(class.Digest),
		}
		for _, line := range class.Lines {
			table.Endpoints = append(
				table.Endpoints,
				service.Endpoint{Server: line.Server, Addr: line.Addr, Weight: int(line.Weight)},
			)
		}
		u.Classes = append(u.Classes, table)
	}
	return u
}

// HelloToProto converts the first message of a caller, or the answer to it, to its wire form.
func HelloToProto(h service.Hello) *pb.Hello {
	p := &pb.Hello{Major: h.Major, Minor: h.Minor, Name: h.Name, Epoch: h.Epoch, Zones: h.Zones}
	for _, class := range h.Classes {
		p.Classes = append(p.Classes, &pb.Class{
			Name:       class.Name,
			Effect:     uint32(class.Idempotency),
			Group:      uint32(class.DeduplicationScope),
			WindowNs:   uint64(class.DeduplicationWindow),
			ExpectedNs: uint64(class.LatencyObjective),
			HardStopNs: uint64(class.Deadline),
		})
	}
	return p
}

// HelloFromProto converts the first message of a caller, or the answer to it, from its wire form.
func HelloFromProto(p *pb.Hello) service.Hello {
	h := service.Hello{Major: p.Major, Minor: p.Minor, Name: p.Name, Epoch: p.Epoch, Zones: p.Zones}
	for _, class := range p.Classes {
		h.Classes = append(h.Classes, fleet.RequestClass{
			Name:                class.Name,
			Idempotency:         fleet.Idempotency(class.Effect),
			DeduplicationScope:  fleet.DeduplicationScope(class.Group),
			DeduplicationWindow: fleet.Time(class.WindowNs),
			LatencyObjective:    fleet.Time(class.ExpectedNs),
			Deadline:            fleet.Time(class.HardStopNs),
		})
	}
	return h
}

// ReportToProto converts a report to its wire form. The caller's name is not part of service.Report and remains empty.
func ReportToProto(r *service.Report) *pb.ReportRequest {
	p := &pb.ReportRequest{Zone: r.Zone, Session: r.Session, Seq: r.Sequence}
	for _, outcome := range r.Outcomes {
		p.Met = append(p.Met, &pb.Met{
			Server: outcome.Server,
			Tries:  outcome.Attempts,
			Failed: outcome.Failures,
			Good:   outcome.Successes,
			GoodMs: outcome.SuccessMillis,
			Load:   outcome.Load,
		})
	}
	for _, demand := range r.Demands {
		p.Came = append(p.Came, &pb.Came{Class: demand.Class, Visits: demand.Requests, NoAnswer: demand.Unanswered})
	}
	return p
}

// ReportFromProto converts a report from its wire form. Hub.Report validates it.
func ReportFromProto(p *pb.ReportRequest) *service.Report {
	r := &service.Report{Zone: p.Zone, Session: p.Session, Sequence: p.Seq}
	for _, outcome := range p.Met {
		r.Outcomes = append(r.Outcomes, service.ServerOutcome{
			Server:        outcome.Server,
			Attempts:      outcome.Tries,
			Failures:      outcome.Failed,
			Successes:     outcome.Good,
			SuccessMillis: outcome.GoodMs,
			Load:          outcome.Load,
		})
	}
	for _, demand := range p.Came {
		r.Demands = append(
			r.Demands,
			service.ClassDemand{Class: demand.Class, Requests: demand.Visits, Unanswered: demand.NoAnswer},
		)
	}
	return r
}

// ServerStateToProto converts the state of a server to its wire form.
func ServerStateToProto(s service.ServerState) *pb.ServerState {
	p := &pb.ServerState{
		Minor:     s.Minor,
		Name:      s.Name,
		Addr:      s.Addr,
		Zone:      s.Zone,
		State:     s.State,
		ColdNs:    uint64(s.SlowStartRemaining),
		Withdrawn: s.Withdrawn,
		Sight:     s.Verdict,
		Why:       s.Reasons,
	}
	for _, weight := range s.Weights {
		p.Weights = append(
			p.Weights,
			&pb.ClassWeight{Zone: weight.Zone, Class: weight.Class, Weight: uint32(weight.Weight)},
		)
	}
	return p
}

// ServerStateFromProto converts the state of a server from its wire form.
func ServerStateFromProto(p *pb.ServerState) service.ServerState {
	s := service.ServerState{
		Minor:              p.Minor,
		Name:               p.Name,
		Addr:               p.Addr,
		Zone:               p.Zone,
		State:              p.State,
		SlowStartRemaining: fleet.Time(p.ColdNs),
		Withdrawn:          p.Withdrawn,
		Verdict:            p.Sight,
		Reasons:            p.Why,
	}
	for _, weight := range p.Weights {
		s.Weights = append(
			s.Weights,
			service.ClassWeight{Zone: weight.Zone, Class: weight.Class, Weight: int(weight.Weight)},
		)
	}
	return s
}

// HistoryToProto converts versions of a table to their wire form.
func HistoryToProto(h service.History) *pb.HistoryReply {
	p := &pb.HistoryReply{Minor: h.Minor}
	for _, row := range h.Versions {
		p.Versions = append(p.Versions, &pb.VersionRow{
			Version: VersionToProto(row.Version),
			Digest:  uint64(row.Digest),
			AtNs:    int64(row.CreatedAt),
			Lines:   uint32(row.Entries),
			Why:     row.Reason,
		})
	}
	return p
}

// HistoryFromProto converts versions of a table from their wire form.
func HistoryFromProto(p *pb.HistoryReply) service.History {
	h := service.History{Minor: p.Minor}
	for _, row := range p.Versions {
		h.Versions = append(h.Versions, service.VersionRow{
			Version:   VersionFromProto(row.Version),
			Digest:    tableversion.Digest(row.Digest),
			CreatedAt: fleet.Time(row.AtNs),
			Entries:   int(row.Lines),
			Reason:    row.Why,
		})
	}
	return h
}

// SummaryToProto converts a summary to its wire form.
func SummaryToProto(m service.Summary) *pb.SummaryReply {
	return &pb.SummaryReply{
		Minor:      m.Minor,
		Governor:   m.Controller,
		Program:    m.Program,
		Epoch:      m.Epoch,
		ListRev:    m.ListRevision,
		ListAgeNs:  uint64(m.ListAge),
		Live:       m.Live,
		Servers:    uint32(m.Servers),
		Ready:      uint32(m.Ready),
		Cold:       uint32(m.WarmingUp),
		Withdrawn:  uint32(m.Withdrawn),
		ProxiesUp:  uint32(m.ProxiesUp),
		ProxiesAll: uint32(m.ProxiesAll),
		Watchers:   uint32(m.Watchers),
	}
}

// SummaryFromProto converts a summary from its wire form.
func SummaryFromProto(p *pb.SummaryReply) service.Summary {
	return service.Summary{
		Minor:        p.Minor,
		Controller:   p.Governor,
		Program:      p.Program,
		Epoch:        p.Epoch,
		ListRevision: p.ListRev,
		ListAge:      fleet.Time(p.ListAgeNs),
		Live:         p.Live,
		Servers:      int(p.Servers),
		Ready:        int(p.Ready),
		WarmingUp:    int(p.Cold),
		Withdrawn:    int(p.Withdrawn),
		ProxiesUp:    int(p.ProxiesUp),
		ProxiesAll:   int(p.ProxiesAll),
		Watchers:     int(p.Watchers),
	}
}
