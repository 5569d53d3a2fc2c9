package store

import (
	"fmt"
	"runtime"
	"strings"

	"github.com/cockroachdb/pebble/v2"
)

// Memory of the embedded database, in bytes.
const (
	memTableSize = 4 << 20
	cacheSize    = 4 << 20
)

func (s *Store) openDatabase() (db *pebble.DB, err error) {
	defer recoverFatal(&err)
	cache := pebble.NewCache(cacheSize)
	defer cache.Unref()
	return pebble.Open(s.options.Directory, &pebble.Options{
		FS:                 s.options.FS,
		Lock:               s.lock,
		ReadOnly:           s.options.ReadOnly,
		Logger:             logger{},
		Cache:              cache,
		MemTableSize:       memTableSize,
		FormatMajorVersion: pebble.FormatNewest,
		ErrorIfNotExists:   s.options.ReadOnly,
		EventListener: &pebble.EventListener{
			DataCorruption: func(info pebble.DataCorruptionInfo) { s.recordCorruption(info.Details) },
		},
	})
}

func closeDatabase(db *pebble.DB) (err error) {
	defer recoverFatal(&err)
	return db.Close()
}

// fatalError is what the library reports where it would end the process: a write that failed.
type fatalError struct{ text string }

func (e fatalError) Error() string { return e.text }

// recoverFatal turns a panic with a fatalError into an error, as a controller continues without its store.
func recoverFatal(err *error) {
	switch cause := recover().(type) {
	case nil:
	case fatalError:
		*err = cause
	default:
		panic(cause)
	}
}

// logger drops the library's log and keeps it from ending the process.
type logger struct{}

func (logger) Infof(string, ...any)  {}
func (logger) Errorf(string, ...any) {}

// Fatalf is called where the library would end the process. A failed commit is on the stack of the goroutine that
// commits, which recovers. Anything else ends only that goroutine of the library, as a controller must survive its
// store.
func (logger) Fatalf(format string, args ...any) {
	if strings.Contains(format, "commit error") {
		panic(fatalError{fmt.Sprintf(format, args...)})
	}
	runtime.Goexit()
}

// recordCorruption notes a data block that the library could not read during a compaction.
func (s *Store) recordCorruption(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.corruption = cause
}

// Damaged returns why a data block can't be read, nil if none is known to be damaged.
func (s *Store) CorruptionCause() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.corruption
}
