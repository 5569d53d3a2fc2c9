package haproxy

import (
	"errors"
	"testing"

	"cressknot/internal/transport"
)

// TestConnectionClosedBeforeBegin checks that a connection that closes before its session has begun is reported and
// leaves the session unlocked.
func TestConnectionClosedBeforeBegin(t *testing.T) {
	tr := New(Options{})
	var events []transport.Event
	tr.sink = func(event transport.Event) { events = append(events, event) }
	l := &link{transport: tr, sessionEnded: make(chan struct{}, 1)}
	s := l.newSession(nil, nil)
	s.connectionClosed(errors.New("gone"))
	if !s.mu.TryLock() || len(events) != 1 {
		t.Errorf("session is locked, or events are %v, want one", events)
	}
}
