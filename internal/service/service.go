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
	answerWithin = 2 * fleet.Second // for a question to the governor's loop: some of its turns
	historyMost  = 1000             // versions of one answer
)

// Service is the one core of questions and answers behind both wires.
type Service struct {
	Hub    *Hub
	desk   QueryHandler
	now    func() fleet.Time
	mu     sync.Mutex
	limits *Limits
}

// New makes a service.
func New(hub *Hub, desk QueryHandler) *Service {
	return &Service{Hub: hub, desk: desk, now: hub.opt.Now, limits: NewLimits()}
}

// take asks the limits; done ends what they took.
func (s *Service) take(caller string, k Kind) (done func(), f *Error) {
	began := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.limits.Ask(began, caller, k); f != nil {
		return nil, f
	}
	return func() {
		now := s.now()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.limits.Done(now, now-began)
	}, nil
}

// Greet answers a caller's words about itself.
func (s *Service) Greet(h Hello) (Hello, *Error) {
	if h.Major != Major {
		return Hello{}, fault(OtherMajor, "version %d.%d of the protocol is not spoken here, %d.%d is", h.Major, h.Minor, Major, Minor)
	}
	return s.Hub.Hello(), nil
}

// Table gives the whole of a zone.
func (s *Service) Table(caller, zone string) (*Shared, *Error) {
	done, f := s.take(caller, AskTable)
	if f != nil {
		return nil, f
	}
	defer done()
	return s.Hub.Table(zone)
}

// Watch follows a zone.
func (s *Service) Watch(caller, zone string, holds tableversion.Version, wake func()) (*Watcher, *Error) {
	done, f := s.take(caller, AskWatch)
	if f != nil {
		return nil, f
	}
	defer done()
	return s.Hub.Watch(zone, holds, wake)
}

// Report counts a batch.
func (s *Service) Report(caller string, r *Report) (uint64, *Error) {
	done, f := s.take(caller, AskReport)
	if f != nil {
		return 0, f
	}
	defer done()
	return s.Hub.Report(r)
}

// Server tells of a server.
func (s *Service) Server(ctx context.Context, caller, name string) (st ServerState, f *Error) {
	if len(name) > namesMost {
		return st, fault(TooLarge, "a name of %d bytes, %d are the most", len(name), namesMost)
	}
	f = s.ask(ctx, caller, AskServer, func(ctx context.Context) (err error) { st, err = s.desk.Server(ctx, name); return err })
	st.Minor = Minor
	return st, f
}

// History tells of a class's versions in a zone.
func (s *Service) History(ctx context.Context, caller, zone, class string, most int) (h History, f *Error) {
	if most < 0 || most > historyMost {
		return h, fault(BadRequest, "%d versions; 0 to %d can be asked for", most, historyMost)
	}
	f = s.ask(ctx, caller, AskHistory, func(ctx context.Context) (err error) {
		h.Versions, err = s.desk.History(ctx, zone, class, most)
		return err
	})
	h.Minor = Minor
	return h, f
}

// Summary tells how the fleet stands.
func (s *Service) Summary(ctx context.Context, caller string) (m Summary, f *Error) {
	f = s.ask(ctx, caller, AskSummary, func(ctx context.Context) (err error) { m, err = s.desk.Summary(ctx); return err })
	m.Minor, m.Watchers = Minor, s.Hub.Watchers()
	return m, f
}

func (s *Service) ask(ctx context.Context, caller string, k Kind, question func(context.Context) error) *Error {
	done, f := s.take(caller, k)
	if f != nil {
		return f
	}
	defer done()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(answerWithin))
	defer cancel()
	err := question(ctx)
	var of *Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &of):
		return of
	}
	return &Error{Busy, err.Error(), fleet.Second}
}

// Limits tells what is taken and refused.
func (s *Service) Limits() (limit float64, flying int, taken, refused, repeated uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, flying = s.limits.Limit()
	return limit, flying, s.limits.Taken, s.limits.Refused, s.limits.Repeated
}
