// Package service is the API for programs that balance their requests themselves, without a proxy. Clients watch the
// weight tables of a zone, report the outcomes of their attempts, and query the state of a server, the versions of a
// table and a summary of the fleet. The package is independent of wire formats: packages rpc and text serve the same
// answers over two protocols. The controller treats the clients of a zone as one proxy, so their tables are computed,
// checked for safety and rate-limited like those of any proxy. docs/design/service.md compares the alternatives.
package service

import (
	"context"
	"errors"
	"sync"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/netlimit"
	"cressknot/internal/tableversion"
)

const (
	// queryTimeout bounds a query to the controller's loop; it allows for several iterations of the loop.
	queryTimeout = 2 * fleet.Second
	// busyRetryAfter is the retry delay after a query that was not answered in time.
	busyRetryAfter = fleet.Second
	// maxHistoryVersions bounds the versions in one answer.
	maxHistoryVersions = 1000
)

// Service answers the queries of both protocols, gRPC and the text protocol. Its methods may be called from any
// goroutine. Their caller argument is what a client's queries are rate-limited by.
type Service struct {
	Hub *Hub
	// Connections limits the connections of both protocols, with those of the other listeners; nil: no limits. It is set
	// before they listen.
	Connections *netlimit.Budget

	queries QueryHandler
	now     func() fleet.Time
	mu      sync.Mutex
	limiter *QueryLimiter
}

// New returns a service that serves the tables of a hub and takes the time from the hub's options.
func New(hub *Hub, queries QueryHandler) *Service {
	return &Service{Hub: hub, queries: queries, now: hub.options.Now, limiter: NewQueryLimiter()}
}

// admit admits or rejects a query by the limiter. The release function must be called when an admitted query ends.
func (s *Service) admit(caller Caller, kind QueryKind) (release func(), rejected *Error) {
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

// Greet answers the first message of a caller. If the major protocol versions differ the error has code OtherMajor.
func (s *Service) Greet(h Hello) (Hello, *Error) {
	if h.Major != Major {
		return Hello{}, errorf(OtherMajor, "protocol version %d.%d is not supported, this controller supports %d.%d",
			h.Major, h.Minor, Major, Minor)
	}
	return s.Hub.Hello(), nil
}

// Table returns the complete tables of a zone; see Hub.Table.
func (s *Service) Table(caller Caller, zone string) (*SharedUpdate, *Error) {
	release, err := s.admit(caller, TableQuery)
	if err != nil {
		return nil, err
	}
	defer release()
	return s.Hub.Table(zone)
}

// Watch starts to watch a zone; see Hub.Watch.
func (s *Service) Watch(caller Caller, zone string, from tableversion.Version, wake func()) (*Watcher, *Error) {
	release, err := s.admit(caller, WatchQuery)
	if err != nil {
		return nil, err
	}
	defer release()
	return s.Hub.Watch(zone, from, wake)
}

// Report adds a batch of outcomes to the counters of its zone; see Hub.Report.
func (s *Service) Report(caller Caller, r *Report) (uint64, *Error) {
	release, err := s.admit(caller, ReportQuery)
	if err != nil {
		return 0, err
	}
	defer release()
	return s.Hub.Report(caller, r)
}

// Server returns the state of a server by name.
func (s *Service) Server(ctx context.Context, caller Caller, name string) (ServerState, *Error) {
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

// History returns the newest versions of the weight table of a class in a zone, at most maxVersions, which may be 0 to
// 1000.
func (s *Service) History(ctx context.Context, caller Caller, zone, class string, maxVersions int) (History, *Error) {
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

// Summary returns a summary of the fleet.
func (s *Service) Summary(ctx context.Context, caller Caller) (Summary, *Error) {
	var summary Summary
	queryErr := s.query(ctx, caller, SummaryQuery, func(ctx context.Context) (err error) {
		summary, err = s.queries.Summary(ctx)
		return err
	})
	summary.Minor = Minor
	summary.Watchers = s.Hub.Watchers()
	return summary, queryErr
}

// query admits a query and runs it with queryTimeout. An error that is not an *Error gets code Busy.
func (s *Service) query(
	ctx context.Context,
	caller Caller,
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
