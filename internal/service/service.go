// Package service answers the queries of programs that send requests themselves: which servers a class may use from a
// zone and with what weights, complete and as changes; reports of outcomes; the state of a server; the versions of a
// table; the state of the fleet. It knows no wire format: packages rpc and text serve the same answers over two
// protocols. To the controller the clients of a zone are one proxy, so that their tables are decided, checked for
// safety and paced as those of every proxy. docs/design/service.md compares the alternatives.
package service

import (
	"context"
	"errors"
	"sync"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/tableversion"
)

const (
	// queryTimeout bounds a query to the controller's loop: some of its turns.
	queryTimeout = 2 * fleet.Second
	// busyRetryAfter is when a query that was not answered in time may be asked again.
	busyRetryAfter = fleet.Second
	// maxHistoryVersions bounds one answer.
	maxHistoryVersions = 1000
)

// Service answers queries for both protocols.
type Service struct {
	Hub     *Hub
	queries QueryHandler
	now     func() fleet.Time
	mu      sync.Mutex
	limiter *QueryLimiter
}

// New makes a service.
func New(hub *Hub, queries QueryHandler) *Service {
	return &Service{Hub: hub, queries: queries, now: hub.options.Now, limiter: NewQueryLimiter()}
}

// admit asks the limiter; release ends an admitted query.
func (s *Service) admit(caller string, kind QueryKind) (release func(), rejected *Error) {
	began := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if rejected := s.limiter.Admit(began, caller, kind); rejected != nil {
		return nil, rejected
	}
	return func() {
		now := s.now()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.limiter.Release(now, now-began)
	}, nil
}

// Greet answers a caller's introduction.
func (s *Service) Greet(h Hello) (Hello, *Error) {
	if h.Major != Major {
		return Hello{}, errorf(OtherMajor, "protocol version %d.%d is not supported, this controller supports %d.%d",
			h.Major, h.Minor, Major, Minor)
	}
	return s.Hub.Hello(), nil
}

// Table returns the complete state of a zone.
func (s *Service) Table(caller, zone string) (*SharedUpdate, *Error) {
	release, err := s.admit(caller, TableQuery)
	if err != nil {
		return nil, err
	}
	defer release()
	return s.Hub.Table(zone)
}

// Watch begins to follow a zone; see Hub.Watch.
func (s *Service) Watch(caller, zone string, from tableversion.Version, wake func()) (*Watcher, *Error) {
	release, err := s.admit(caller, WatchQuery)
	if err != nil {
		return nil, err
	}
	defer release()
	return s.Hub.Watch(zone, from, wake)
}

// Report counts a batch; see Hub.Report.
func (s *Service) Report(caller string, r *Report) (uint64, *Error) {
	release, err := s.admit(caller, ReportQuery)
	if err != nil {
		return 0, err
	}
	defer release()
	return s.Hub.Report(r)
}

// Server returns the state of a server.
func (s *Service) Server(ctx context.Context, caller, name string) (ServerState, *Error) {
	if len(name) > maxNameLength {
		return ServerState{}, errorf(TooLarge, "server name of %d bytes, the limit is %d bytes", len(name), maxNameLength)
	}
	var state ServerState
	queryErr := s.query(ctx, caller, ServerQuery, func(ctx context.Context) (err error) {
		state, err = s.queries.Server(ctx, name)
		return err
	})
	state.Minor = Minor
	return state, queryErr
}

// History returns the newest versions of a class's table in a zone, at most maxVersions.
func (s *Service) History(ctx context.Context, caller, zone, class string, maxVersions int) (History, *Error) {
	if maxVersions < 0 || maxVersions > maxHistoryVersions {
		return History{}, errorf(BadRequest, "%d versions requested, the range is 0 to %d", maxVersions, maxHistoryVersions)
	}
	history := History{Minor: Minor}
	queryErr := s.query(ctx, caller, HistoryQuery, func(ctx context.Context) (err error) {
		history.Versions, err = s.queries.History(ctx, zone, class, maxVersions)
		return err
	})
	return history, queryErr
}

// Summary returns the state of the fleet.
func (s *Service) Summary(ctx context.Context, caller string) (Summary, *Error) {
	var summary Summary
	queryErr := s.query(ctx, caller, SummaryQuery, func(ctx context.Context) (err error) {
		summary, err = s.queries.Summary(ctx)
		return err
	})
	summary.Minor = Minor
	summary.Watchers = s.Hub.Watchers()
	return summary, queryErr
}

// query asks the controller's loop.
func (s *Service) query(
	ctx context.Context,
	caller string,
	kind QueryKind,
	handle func(context.Context) error,
) *Error {
	release, rejected := s.admit(caller, kind)
	if rejected != nil {
		return rejected
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(queryTimeout))
	defer cancel()
	err := handle(ctx)
	if err == nil {
		return nil
	}
	var answer *Error
	if errors.As(err, &answer) {
		return answer
	}
	return &Error{Busy, err.Error(), busyRetryAfter}
}
