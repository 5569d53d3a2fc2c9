package fakes

import (
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

// Entry is a server as the list service has it, in the form that package list reads.
type Entry struct {
	Name    string    `json:"name"`
	Addr    string    `json:"addr"`
	Zone    string    `json:"zone"`
	Kind    string    `json:"kind,omitempty"`
	State   string    `json:"state,omitempty"`
	Started time.Time `json:"started,omitzero"`
}

// Lister is the list service: GET /list?governor=G&rev=N&wait=S.
type Lister struct {
	URL     string
	watch   *invariants.Watch
	mu      sync.Mutex
	rev     uint64
	entries map[string]Entry
	changed map[string]uint64 // revision of an entry's last change; gone ones too
	since   chan struct{}     // closed at the next change
	down    bool
	dark    map[string]bool // governors that it fails
	late    time.Duration   // changes are told so much later
	server  *http.Server
	asked   int
	deaf    bool
}

// NewLister starts the service.
func NewLister(watch *invariants.Watch) (*Lister, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("list service: %w", err)
	}
	s := &Lister{URL: "http://" + l.Addr().String() + "/list", watch: watch, entries: map[string]Entry{},
		changed: map[string]uint64{}, since: make(chan struct{})}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Put lists servers anew, after the service's own delay.
func (s *Lister) Put(entries ...Entry) {
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	put := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.rev++
		for _, e := range entries {
			s.changed[e.Name] = s.rev
			if e.State == "gone" {
				delete(s.entries, e.Name)
			} else {
				s.entries[e.Name] = e
			}
		}
		close(s.since)
		s.since = make(chan struct{})
	}
	if late == 0 {
		put()
	} else {
		time.AfterFunc(late, put)
	}
}

// State tells how a server is listed.
func (s *Lister) State(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, listed := s.entries[name]
	if !listed {
		return "gone"
	}
	return e.State
}

// Fail takes the service down or up; Late delays what it hears.
func (s *Lister) Fail(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.since)
	s.since = make(chan struct{})
}

// Dark lets the service fail one governor, or no more.
func (s *Lister) Dark(governor string, dark bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dark == nil {
		s.dark = map[string]bool{}
	}
	s.dark[governor] = dark
	close(s.since)
	s.since = make(chan struct{})
}

// Deaf lets the service tell each governor its first list only, though the watch takes all changes as told.
func (s *Lister) Deaf(deaf bool) {
	s.mu.Lock()
	s.deaf = deaf
	s.mu.Unlock()
}

// Late delays changes by so much from now on.
func (s *Lister) Late(by time.Duration) {
	s.mu.Lock()
	s.late = by
	s.mu.Unlock()
}

func (s *Lister) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	rev, _ := strconv.ParseUint(q.Get("rev"), 10, 64)
	wait, _ := strconv.ParseFloat(q.Get("wait"), 64)
	governor := q.Get("governor")
	timer := time.NewTimer(time.Duration(wait * float64(time.Second)))
	defer timer.Stop()
	for waited := wait == 0; ; {
		s.mu.Lock()
		s.asked++
		since := s.since
		if s.down || s.dark[governor] {
			s.mu.Unlock()
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if rev == s.rev && rev > 0 {
			s.mu.Unlock()
			if waited {
				w.WriteHeader(http.StatusNotModified)
				return
			}
			select {
			case <-since:
			case <-timer.C:
				waited = true
			case <-r.Context().Done():
				return
			}
			continue
		}
		doc := struct {
			Rev     uint64  `json:"rev"`
			Changes bool    `json:"changes"`
			Servers []Entry `json:"servers"`
		}{Rev: s.rev, Changes: rev > 0 && rev < s.rev, Servers: []Entry{}}
		for name, at := range s.changed {
			e, listed := s.entries[name]
			if doc.Changes && at <= rev {
				continue
			}
			if !listed {
				if !doc.Changes {
					continue
				}
				e = Entry{Name: name, State: "gone"}
			}
			doc.Servers = append(doc.Servers, e)
		}
		slices.SortFunc(doc.Servers, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
		for name := range s.changed {
			if e, listed := s.entries[name]; listed {
				state := e.State
				if state == "" {
					state = "ready"
				}
				s.watch.Told(governor, name, state, e.Started)
			} else {
				s.watch.Told(governor, name, "gone", time.Time{})
			}
		}
		if s.deaf && doc.Changes {
			doc.Servers = doc.Servers[:0]
		}
		s.mu.Unlock()
		text, err := json.Marshal(doc)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
		return
	}
}

// Close ends the service.
func (s *Lister) Close() { _ = s.server.Close() }
