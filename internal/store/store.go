// Package store persists the state of a controller that must survive a crash. It stores JSON records with checksums in
// an embedded key-value database, with one writer goroutine and group commit. docs/design/store.md lists the records
// and why they are persisted.
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

// NewerFormatError reports that a newer program version wrote the store. The store was not modified.
type NewerFormatError struct {
	Directory string
	Format    int // of the store
}

func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("store %s has format %d, newer than the supported format %d; it was not modified",
		e.Directory, e.Format, Format)
}

// LockedError reports that the lock of the directory could not be acquired, usually because another process has the
// store open.
type LockedError struct {
	Directory string
	Err       error
}

func (e *LockedError) Error() string {
	return fmt.Sprintf("store %s: locked by another process, or the lock could not be acquired: %v", e.Directory, e.Err)
}

// Unwrap returns the error of the attempt to lock the directory.
func (e *LockedError) Unwrap() error { return e.Err }

// Options configure a store.
type Options struct {
	Directory string
	FS        vfs.FS // nil: that of the operating system
	ReadOnly  bool   // the store must exist and is not migrated; changes of Put are never written
	// OnHealthChange is called by the writer goroutine when writes start to fail, with the error, and when all pending
	// changes are written again. It may be nil.
	OnHealthChange func(failing bool, cause error)
}

// Store is an open store. Its methods may be called from any goroutine, but not after Close. Close must be called once.
type Store struct {
	options Options
	lock    *pebble.Lock

	mu          sync.Mutex
	db          *pebble.DB         // nil after a failed write, until the writer reopens it
	pending     map[string]*record // changes that are not on disk yet, the newest of each key
	pendingKeys []string           // keys of pending, in the order of their first change
	callbacks   []func(error)      // to call after the next commit
	writeError  error              // of the last commit
	corruption  error              // of a data block, reported by the library

	// Totals since the store was opened.
	commits, records, bytes uint64

	wake   chan struct{} // changes or callbacks are pending
	stop   chan struct{}
	writer sync.WaitGroup
}

// Open opens a store, creates it if it does not exist, and migrates it to the current format. The error is a
// *NewerFormatError if a newer program version wrote the store, or a *LockedError if the directory cannot be locked.
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
	if format > Format { // checked before anything is modified
		return nil, &NewerFormatError{options.Directory, format}
	}
	s := &Store{
		options: options,
		pending: map[string]*record{},
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
	}
	s.lock, err = pebble.LockDirectory(options.Directory, options.FS)
	if err != nil {
		return nil, &LockedError{options.Directory, err}
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

// Close writes pending changes and closes the store. The error is that of the last write if it failed, in which case
// changes are lost, or of closing the database.
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

// Exists reports whether a directory of the operating system's file system contains a store.
func Exists(directory string) bool {
	_, err := os.Stat(filepath.Join(directory, formatFile))
	return err == nil
}
