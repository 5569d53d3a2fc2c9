package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes the lines of record.txt, each with the seconds since the start of the test.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: file, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// setupError ends a test that could not run: exit code 2.
type setupError string

func cannotRun(format string, args ...any) { panic(setupError(fmt.Sprintf(format, args...))) }
