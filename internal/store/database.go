package store

import (
	"fmt"
	"runtime"
	"strings"

	"github.com/cockroachdb/pebble/v2"
)

// Memory limits of the embedded database, in bytes.
const (
	memTableSize = 4 << 20
	cacheSize    = 4 << 20
)

// openDatabase opens the embedded database. The directory is locked already.
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

// fatalError is a failed write that the library reports as fatal, where it would end the process by default.
type fatalError struct{ text string }

func (e fatalError) Error() string { return e.text }

// recoverFatal converts a panic with a fatalError to an error, because a controller continues without its store. Other
// panics continue.
func recoverFatal(err *error) {
	switch cause := recover().(type) {
	case nil:
	case fatalError:
		*err = cause
	default:
		panic(cause)
	}
}

// logger discards the log of the library and prevents the library from ending the process.
type logger struct{}

func (logger) Infof(string, ...any)  {}
func (logger) Errorf(string, ...any) {}

// Fatalf is called where the library would end the process, which a controller must survive. A failed commit is
// reported in the goroutine that commits: it panics and recoverFatal recovers. Any other failure only ends the
// goroutine of the library in which it occurs.
func (logger) Fatalf(format string, args ...any) {
	if strings.Contains(format, "commit error") {
		panic(fatalError{fmt.Sprintf(format, args...)})
	}
	runtime.Goexit()
}

// recordCorruption records the error of a data block that the library could not read during a compaction.
func (s *Store) recordCorruption(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.corruption = cause
}

// CorruptionCause returns the latest error of a data block that could not be read, nil if no corruption is known.
func (s *Store) CorruptionCause() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.corruption
}
