package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cressknot/internal/testing/invariants"
)

// States of servers in the endpoint list.
const (
	stateReady = "ready"
	stateGone  = "gone"
)

// ListedServer is a server of the endpoint list, in the format that package discovery reads. An empty state means
// ready; a zero start time means that the server is warmed up.
type ListedServer struct {
	Name    string    `json:"name"`
	Addr    string    `json:"addr"`
	Zone    string    `json:"zone"`
	Kind    string    `json:"kind,omitempty"`
	State   string    `json:"state,omitempty"`
	Started time.Time `json:"started,omitzero"`
}

// listAnswer is an answer of the endpoint list service: a complete list, or the changes since a revision.
type listAnswer struct {
	Revision uint64         `json:"rev"`
	Changes  bool           `json:"changes"`
	Servers  []ListedServer `json:"servers"`
}

// ListService is a simulated endpoint list service with long polls: GET /list?governor=G&rev=N&wait=S. G is the name of
// the controller, N the revision that it has and S the longest wait for a change in seconds.
type ListService struct {
	URL    string
	watch  *invariants.Watch
	server *http.Server

	mu         sync.Mutex
	revision   uint64
	entries    map[string]ListedServer
	changed    map[string]uint64 // revision of each server's last change; removed servers stay in it
	nextChange chan struct{}     // closed at the next change

	down       bool
	failingFor map[string]bool // by controller
	delay      time.Duration   // until a change is applied
	frozen     bool
}

// NewListService starts the service with an empty list on a free loopback port.
func NewListService(watch *invariants.Watch) (*ListService, error) {
	listener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return nil, fmt.Errorf("list service: %w", err)
	}
	s := &ListService{
		URL:        "http://" + listener.Addr().String() + "/list",
		watch:      watch,
		entries:    map[string]ListedServer{},
		changed:    map[string]uint64{},
		failingFor: map[string]bool{},
		nextChange: make(chan struct{}),
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Close ends the service and all its connections.
func (s *ListService) Close() { _ = s.server.Close() }

// Put adds or replaces servers in the list after the service's delay. Servers in state "gone" are removed.
func (s *ListService) Put(entries ...ListedServer) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay == 0 {
		s.apply(entries)
		return
	}
	time.AfterFunc(delay, func() { s.apply(entries) })
}

func (s *ListService) apply(entries []ListedServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, entry := range entries {
		s.changed[entry.Name] = s.revision
		if entry.State == stateGone {
			delete(s.entries, entry.Name)
		} else {
			s.entries[entry.Name] = entry
		}
	}
	s.notifyPolls()
}

// notifyPolls wakes all waiting polls. The caller holds the lock.
func (s *ListService) notifyPolls() {
	close(s.nextChange)
	s.nextChange = make(chan struct{})
}

// State returns the state of a server as listed, "gone" if it is not in the list.
func (s *ListService) State(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, listed := s.entries[name]
	if !listed {
		return stateGone
	}
	return entry.State
}

// SetDown sets whether the service answers every poll with status 503.
func (s *ListService) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyPolls()
}

// SetDownFor sets whether the service answers the polls of one controller with status 503.
func (s *ListService) SetDownFor(controller string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failingFor[controller] = down
	s.notifyPolls()
}

// SetFrozen sets whether the service leaves all changes out of its answers, so that controllers keep their first list.
// The watch records the changes as sent nevertheless.
func (s *ListService) SetFrozen(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = frozen
}

// SetDelay sets the time until later changes are applied; 0: at once.
func (s *ListService) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// serve answers a poll: at once if the caller's revision is not the current one, otherwise at the next change, or with
// status 304 when the wait ends.
func (s *ListService) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	controller := query.Get("governor")
	revision, _ := strconv.ParseUint(query.Get("rev"), 10, 64)
	seconds, _ := strconv.ParseFloat(query.Get("wait"), 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(seconds*float64(time.Second)))
	defer cancel()
	for {
		waited := ctx.Err() != nil
		s.mu.Lock()
		nextChange := s.nextChange
		if s.down || s.failingFor[controller] {
			s.mu.Unlock()
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if revision == 0 || revision != s.revision {
			answer := s.answer(controller, revision)
			s.mu.Unlock()
			writeAnswer(w, answer)
			return
		}
		s.mu.Unlock()
		if waited {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		select {
		case <-nextChange:
		case <-ctx.Done():
			if r.Context().Err() != nil {
				return
			}
		}
	}
}

// answer returns the changes since a revision, or the complete list if the revision is 0 or newer than the list. The
// caller holds the lock.
func (s *ListService) answer(controller string, revision uint64) listAnswer {
	answer := listAnswer{
		Revision: s.revision,
		Changes:  revision > 0 && revision < s.revision,
		Servers:  []ListedServer{},
	}
	for name, changedAt := range s.changed {
		if answer.Changes && changedAt <= revision {
			continue
		}
		entry, listed := s.entries[name]
		switch {
		case listed:
			answer.Servers = append(answer.Servers, entry)
		case answer.Changes:
			answer.Servers = append(answer.Servers, ListedServer{Name: name, State: stateGone})
		}
	}
	slices.SortFunc(answer.Servers, func(a, b ListedServer) int { return strings.Compare(a.Name, b.Name) })
	s.recordNotifications(controller)
	if s.frozen && answer.Changes {
		answer.Servers = answer.Servers[:0]
	}
	return answer
}

// recordNotifications reports to the watch the state of all servers as sent to a controller. The caller holds the lock.
func (s *ListService) recordNotifications(controller string) {
	for name := range s.changed {
		entry, listed := s.entries[name]
		if !listed {
			s.watch.Notified(controller, name, stateGone, time.Time{})
			continue
		}
		state := entry.State
		if state == "" {
			state = stateReady
		}
		s.watch.Notified(controller, name, state, entry.Started)
	}
}

func writeAnswer(w http.ResponseWriter, answer listAnswer) {
	text, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}
