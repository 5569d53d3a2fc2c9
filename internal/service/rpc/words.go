// Package rpc puts the service's questions and answers on gRPC, as pb/cressknot.proto has them. It decides nothing.
package rpc

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
	"cressknot/internal/service/rpc/pb"
	"cressknot/internal/tableversion"
)

// codesOf are the statuses that go with codes of faults: what a reader who knows only gRPC makes of them.
var codesOf = map[service.Code]codes.Code{
	service.Unready: codes.Unavailable, service.NoZone: codes.NotFound, service.NoClass: codes.NotFound, service.NoServer: codes.NotFound,
	service.BadRequest: codes.InvalidArgument, service.TooLarge: codes.OutOfRange, service.Overloaded: codes.ResourceExhausted,
	service.Busy: codes.DeadlineExceeded, service.OtherMajor: codes.FailedPrecondition, service.Closing: codes.Unavailable,
	service.TooSlow: codes.Aborted,
}

// Status puts a fault into a status.
func Status(f *service.Error) error {
	s := status.New(codesOf[f.Code], f.Text)
	if with, err := s.WithDetails(&pb.Fault{Code: string(f.Code), Text: f.Text, RetryAfterNs: uint64(f.RetryAfter)}); err == nil {
		s = with
	}
	return s.Err()
}

// FaultOf reads a status, nil for none.
func FaultOf(err error) *service.Error {
	if err == nil {
		return nil
	}
	s := status.Convert(err)
	for _, d := range s.Details() {
		if f, ok := d.(*pb.Fault); ok {
			return &service.Error{Code: service.Code(f.Code), Text: f.Text, RetryAfter: fleet.Time(f.RetryAfterNs)}
		}
	}
	switch s.Code() {
	case codes.Unimplemented:
		return &service.Error{Code: service.OtherMajor, Text: s.Message()}
	case codes.DeadlineExceeded, codes.Canceled:
		return &service.Error{Code: service.Busy, Text: s.Message()}
	case codes.Internal, codes.ResourceExhausted: // of the library: frames that make no sense, or are over its bounds
		return &service.Error{Code: service.Malformed, Text: s.Message()}
	}
	return &service.Error{Code: service.Unreachable, Text: s.Message()}
}

// VersionOf and VersionTo turn versions.
func VersionOf(v *pb.Version) tableversion.Version {
	return tableversion.Version{Epoch: v.GetEpoch(), Count: v.GetCount()}
}

// VersionTo puts a version on the wire, None as absent.
func VersionTo(v tableversion.Version) *pb.Version {
	if v == tableversion.NoVersion {
		return nil
	}
	return &pb.Version{Epoch: v.Epoch, Count: v.Count}
}

// UpdateTo puts an update on the wire.
func UpdateTo(u *service.Update) *pb.Update {
	p := &pb.Update{Minor: u.Minor, Governor: u.Controller, ListRev: u.ListRevision, Live: u.Live, Zone: u.Zone, From: VersionTo(u.From), To: VersionTo(u.To),
		LimitsOpen: u.RestrictsToOpen, Open: u.OpenServers, Beat: u.Heartbeat}
	for _, c := range u.Classes {
		t := &pb.ClassTable{Class: c.Class, Laid: c.Published, Amount: int32(c.AdmissionLimit), Retry: uint32(c.Retry), Digest: uint64(c.Digest)}
		for _, l := range c.Endpoints {
			t.Lines = append(t.Lines, &pb.Line{Server: l.Server, Addr: l.Addr, Weight: uint32(l.Weight)})
		}
		p.Classes = append(p.Classes, t)
	}
	return p
}

// UpdateOf reads an update.
func UpdateOf(p *pb.Update) service.Update {
	u := service.Update{Minor: p.Minor, Controller: p.Governor, ListRevision: p.ListRev, Live: p.Live, Zone: p.Zone, From: VersionOf(p.From), To: VersionOf(p.To),
		RestrictsToOpen: p.LimitsOpen, OpenServers: p.Open, Heartbeat: p.Beat}
	for _, c := range p.Classes {
		t := service.ClassTable{Class: c.Class, Published: c.Laid, AdmissionLimit: int(c.Amount), Retry: fleet.RetryMode(c.Retry), Digest: tableversion.Digest(c.Digest)}
		for _, l := range c.Lines {
			t.Endpoints = append(t.Endpoints, service.Endpoint{Server: l.Server, Addr: l.Addr, Weight: int(l.Weight)})
		}
		u.Classes = append(u.Classes, t)
	}
	return u
}

// HelloTo puts a greeting on the wire.
func HelloTo(h service.Hello) *pb.Hello {
	p := &pb.Hello{Major: h.Major, Minor: h.Minor, Name: h.Name, Epoch: h.Epoch, Zones: h.Zones}
	for _, c := range h.Classes {
		p.Classes = append(p.Classes, &pb.Class{Name: c.Name, Effect: uint32(c.Idempotency), Group: uint32(c.DeduplicationScope), WindowNs: uint64(c.DeduplicationWindow),
			ExpectedNs: uint64(c.LatencyObjective), HardStopNs: uint64(c.Deadline)})
	}
	return p
}

// HelloOf reads a greeting.
func HelloOf(p *pb.Hello) service.Hello {
	h := service.Hello{Major: p.Major, Minor: p.Minor, Name: p.Name, Epoch: p.Epoch, Zones: p.Zones}
	for _, c := range p.Classes {
		h.Classes = append(h.Classes, fleet.RequestClass{Name: c.Name, Idempotency: fleet.Idempotency(c.Effect), DeduplicationScope: fleet.DeduplicationScope(c.Group), DeduplicationWindow: fleet.Time(c.WindowNs),
			LatencyObjective: fleet.Time(c.ExpectedNs), Deadline: fleet.Time(c.HardStopNs)})
	}
	return h
}

// ReportTo puts a batch on the wire.
func ReportTo(r *service.Report) *pb.ReportRequest {
	p := &pb.ReportRequest{Zone: r.Zone, Session: r.Session, Seq: r.Sequence}
	for _, m := range r.Outcomes {
		p.Met = append(p.Met, &pb.Met{Server: m.Server, Tries: m.Attempts, Failed: m.Failures, Good: m.Successes, GoodMs: m.SuccessMillis, Load: m.Load})
	}
	for _, c := range r.Demands {
		p.Came = append(p.Came, &pb.Came{Class: c.Class, Visits: c.Requests, NoAnswer: c.Unanswered})
	}
	return p
}

// ReportOf reads a batch.
func ReportOf(p *pb.ReportRequest) *service.Report {
	r := &service.Report{Zone: p.Zone, Session: p.Session, Sequence: p.Seq}
	for _, m := range p.Met {
		r.Outcomes = append(r.Outcomes, service.ServerOutcome{Server: m.Server, Attempts: m.Tries, Failures: m.Failed, Successes: m.Good, SuccessMillis: m.GoodMs, Load: m.Load})
	}
	for _, c := range p.Came {
		r.Demands = append(r.Demands, service.ClassDemand{Class: c.Class, Requests: c.Visits, Unanswered: c.NoAnswer})
	}
	return r
}

// ServerTo puts what is known of a server on the wire.
func ServerTo(s service.ServerState) *pb.ServerState {
	p := &pb.ServerState{Minor: s.Minor, Name: s.Name, Addr: s.Addr, Zone: s.Zone, State: s.State, ColdNs: uint64(s.SlowStartRemaining), Withdrawn: s.Withdrawn, Sight: s.Verdict, Why: s.Reasons}
	for _, w := range s.Weights {
		p.Weights = append(p.Weights, &pb.ClassWeight{Zone: w.Zone, Class: w.Class, Weight: uint32(w.Weight)})
	}
	return p
}

// ServerOf reads it.
func ServerOf(p *pb.ServerState) service.ServerState {
	s := service.ServerState{Minor: p.Minor, Name: p.Name, Addr: p.Addr, Zone: p.Zone, State: p.State, SlowStartRemaining: fleet.Time(p.ColdNs), Withdrawn: p.Withdrawn, Verdict: p.Sight, Reasons: p.Why}
	for _, w := range p.Weights {
		s.Weights = append(s.Weights, service.ClassWeight{Zone: w.Zone, Class: w.Class, Weight: int(w.Weight)})
	}
	return s
}

// HistoryTo puts versions on the wire.
func HistoryTo(h service.History) *pb.HistoryReply {
	p := &pb.HistoryReply{Minor: h.Minor}
	for _, v := range h.Versions {
		p.Versions = append(p.Versions, &pb.VersionRow{Version: VersionTo(v.Version), Digest: uint64(v.Digest), AtNs: int64(v.CreatedAt), Lines: uint32(v.Entries), Why: v.Reason})
	}
	return p
}

// HistoryOf reads them.
func HistoryOf(p *pb.HistoryReply) service.History {
	h := service.History{Minor: p.Minor}
	for _, v := range p.Versions {
		h.Versions = append(h.Versions, service.VersionRow{Version: VersionOf(v.Version), Digest: tableversion.Digest(v.Digest), CreatedAt: fleet.Time(v.AtNs), Entries: int(v.Lines), Reason: v.Why})
	}
	return h
}

// SummaryTo puts a summary on the wire.
func SummaryTo(m service.Summary) *pb.SummaryReply {
	return &pb.SummaryReply{Minor: m.Minor, Governor: m.Controller, Program: m.Program, Epoch: m.Epoch, ListRev: m.ListRevision, ListAgeNs: uint64(m.ListAge), Live: m.Live,
		Servers: uint32(m.Servers), Ready: uint32(m.Ready), Cold: uint32(m.WarmingUp), Withdrawn: uint32(m.Withdrawn),
		ProxiesUp: uint32(m.ProxiesUp), ProxiesAll: uint32(m.ProxiesAll), Watchers: uint32(m.Watchers)}
}

// SummaryOf reads it.
func SummaryOf(p *pb.SummaryReply) service.Summary {
	return service.Summary{Minor: p.Minor, Controller: p.Governor, Program: p.Program, Epoch: p.Epoch, ListRevision: p.ListRev, ListAge: fleet.Time(p.ListAgeNs), Live: p.Live,
		Servers: int(p.Servers), Ready: int(p.Ready), WarmingUp: int(p.Cold), Withdrawn: int(p.Withdrawn),
		ProxiesUp: int(p.ProxiesUp), ProxiesAll: int(p.ProxiesAll), Watchers: int(p.Watchers)}
}
