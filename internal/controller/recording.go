package controller

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"

	"cressknot/internal/eventlog"
	"cressknot/internal/fleet"
)

// stepRecorder writes the balancer's steps to an event log while one is open.
type stepRecorder struct {
	mu     sync.Mutex
	writer *eventlog.Writer // nil if nothing is recorded
	file   io.Closer
}

// open starts a new event log. An event log that is open must be closed first.
func (r *stepRecorder) open(path string, start eventlog.Header) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("setting records: create event log: %w", err)
	}
	writer, err := eventlog.NewWriter(file, start)
	if err != nil {
		_ = file.Close() // the first error is returned
		return fmt.Errorf("setting records: write header of event log %s: %w", path, err)
	}
	r.mu.Lock()
	r.writer = writer
	r.file = file
	r.mu.Unlock()
	return nil
}

// record writes a step, if an event log is open. An error ends the recording: it is returned once and nothing more is
// recorded.
func (r *stepRecorder) record(now fleet.Time, out Output, names *ServerNames) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writer == nil {
		return nil
	}
	r.writer.Step(now, out.Events, out.Orders, names.Count(), func(id fleet.ServerID) string {
		name, _ := names.Lookup(id)
		return name
	})
	err := r.writer.Flush()
	if err != nil {
		_ = r.file.Close() // the first error is returned
		r.writer = nil
		r.file = nil
	}
	return err
}

func (r *stepRecorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writer == nil {
		return nil
	}
	err := errors.Join(r.writer.Flush(), r.file.Close())
	r.writer = nil
	r.file = nil
	return err
}
