package haproxy

import (
	"errors"
	"testing"

	"cressknot/internal/transport"
)

// TestClosedBeforeItBegan: a connection that is closed before its session has begun is told, and the session is not left locked.
func TestClosedBeforeItBegan(t *testing.T) {
	f := New(Options{})
	var told []transport.Event
	f.sink = func(e transport.Event) { told = append(told, e) }
	l := &link{front: f, kick: make(chan struct{}, 1)}
	s := l.session(nil, nil)
	s.closed(errors.New("gone"))
	if !s.mu.TryLock() || len(told) != 1 {
		t.Errorf("told %v", told)
	}
}
