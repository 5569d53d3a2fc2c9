//go:build !race

package discovery_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 2 * time.Second
	// maxQueueTime is how long a call may wait before the service rejects it.
	maxQueueTime = time.Second

	initialRevision = 41
	drainingServer  = "s-1"
)

// fakeService is a discovery service that handles calls one after another, and rejects those that would have to wait
// longer than maxQueueTime. One of its servers can be drained.
type fakeService struct {
	callTime time.Duration // to handle one call

	mu       sync.Mutex
	freeAt   time.Time // when the calls accepted so far are handled
	draining bool
	changed  chan struct{} // closed when draining is set
	outage   chan struct{} // closed when an outage begins, which ends all watches
	failing  bool          // an outage is on: all calls are rejected
	calls    []time.Time
	rejected int
}

func newFakeService(callTime time.Duration) *fakeService {
	return &fakeService{callTime: callTime, changed: make(chan struct{}), outage: make(chan struct{})}
}

// beginOutage ends all watches and rejects calls until endOutage.
func (s *fakeService) beginOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = true
	close(s.outage)
}

func (s *fakeService) endOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = false
	s.outage = make(chan struct{})
}

// watchesEnd returns a channel that is closed as the next outage begins.
func (s *fakeService) watchesEnd() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

func (s *fakeService) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	close(s.changed)
}

// callsSince returns the times of the calls since a time.
func (s *fakeService) callsSince(since time.Time) (calls []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.calls {
		if !at.Before(since) {
			calls = append(calls, at)
		}
	}
	return calls
}

// rejectedCalls returns how many calls were rejected since they would have waited too long.
func (s *fakeService) rejectedCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// admit puts a call into the queue and returns how long it takes, or false if the call is rejected.
func (s *fakeService) admit() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.calls = append(s.calls, now)
	if s.failing {
		return 0, false
	}
	if now.After(s.freeAt) {
		s.freeAt = now
	}
	if s.freeAt.Sub(now) > maxQueueTime {
		s.rejected++
		return 0, false
	}
	s.freeAt = s.freeAt.Add(s.callTime)
	return s.freeAt.Sub(now), true
}

// ServeHTTP answers a watch.
func (s *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	duration, admitted := s.admit()
	if !admitted {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(duration)
	ended := s.watchesEnd()
	flush(w, "")
	changed := s.changed
	if !strings.HasSuffix(r.URL.RawQuery, fmt.Sprintf("after=%d", initialRevision)) {
		changed = nil // the change is known
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-ended:
			return
		case <-changed:
			changed = nil
			flush(w, changeLine)
		case <-heartbeat.C:
			flush(w, "\n")
		}
	}
}

// changeLine says that drainingServer drains.
const changeLine = `{"rev":42,"all":false,"targets":[{"uid":"` + drainingServer + `","endpoint":"10.1.0.1:7070",` +
	`"az":"a","model":"m","pod_group":1,"state":"terminating","capacity_hint":1.0,"boot_ms":0}]}` + "\n"

// flush sends text. Write errors are ignored, as the handler ends with the request's context.
func flush(w http.ResponseWriter, text string) {
	_, _ = fmt.Fprint(w, text)
	w.(http.Flusher).Flush()
}
