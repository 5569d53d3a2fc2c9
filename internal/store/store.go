// Package store persists what must survive the crash of a controller: typed records with checksums in an embedded
// key-value store, with one writer and group commit. It takes no decisions; docs/design/store.md lists what is
// persisted and why.
package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// NewerError reports that a directory was written by a newer program.
type NewerError struct {
	Directory string
	Format    int
}

func (e *NewerError) Error() string {
	return fmt.Sprintf("store %s has format %d, newer than the supported format %d; it was not modified",
		e.Directory, e.Format, Format)
}

// BusyError reports that another process has locked the directory.
type BusyError struct {
	Directory string
	Err       error
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("store %s: locked by another process, or the lock could not be acquired: %v", e.Directory, e.Err)
}

func (e *BusyError) Unwrap() error { return e.Err }

// Options configure a store.
type Options struct {
	Directory string
	FS        vfs.FS // nil: that of the operating system
	ReadOnly  bool
	// OnHealthChange is called by the writer when writes begin to fail, with the error, and when the store has caught
	// up again. It may be nil.
	OnHealthChange func(failing bool, cause error)
}

// Store is an open store. Its methods may be called from any goroutine.
type Store struct {
	options Options
	lock    *pebble.Lock

	mu          sync.Mutex
	db          *pebble.DB         // nil after a failed write, until the writer has opened it again
	pending     map[string]*record // not on disk yet, the newest of each key
	pendingKeys []string           // keys of pending, oldest first
	callbacks   []func(error)      // of the next commit
	writeError  error              // of the last commit
	corruption  error              // of a data block, as found by the library

	// Totals since the store was opened.
	commits, records, bytes uint64

	wake   chan struct{} // something is pending
	stop   chan struct{}
	writer sync.WaitGroup
}

// Open opens a store, creates it if it does not exist, and migrates it to the present format.
func Open(options Options) (*Store, error) {
	if options.FS == nil {
		options.FS = vfs.Default
	}
	if options.OnHealthChange == nil {
		options.OnHealthChange = func(bool, error) {}
	}
	if !options.ReadOnly {
		if err := options.FS.MkdirAll(options.Directory, 0o700); err != nil {
			return nil, fmt.Errorf("store %s: %w", options.Directory, err)
		}
	}
	format, err := readFormat(options)
	if err != nil {
		return nil, err
	}
	if format > Format { // before anything of it is touched
		return nil, &NewerError{options.Directory, format}
	}
	s := &Store{
		options: options,
		pending: map[string]*record{},
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
	}
	s.lock, err = pebble.LockDirectory(options.Directory, options.FS)
	if err != nil {
		return nil, &BusyError{options.Directory, err}
	}
	s.db, err = s.openDatabase()
	if err == nil && !options.ReadOnly {
		err = s.migrate(format)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("store %s: %w", options.Directory, err), s.lock.Close())
	}
	if !options.ReadOnly {
		s.writer.Add(1)
		go s.runWriter()
	}
	return s, nil
}

// Close writes what is pending and closes the store. The error says what could not be persisted.
func (s *Store) Close() error {
	if !s.options.ReadOnly {
		close(s.stop)
		s.writer.Wait()
	}
	s.mu.Lock()
	db, writeError := s.db, s.writeError
	s.mu.Unlock()
	var closeError error
	if db != nil {
		closeError = closeDatabase(db)
	}
	return errors.Join(writeError, closeError, s.lock.Close())
}

// Exists reports whether a directory has a store.
func Exists(directory string) bool {
	_, err := os.Stat(filepath.Join(directory, formatFile))
	return err == nil
}
