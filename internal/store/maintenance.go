package store

import (
	"context"
	"fmt"

	"github.com/cockroachdb/pebble/v2"
)

// Statistics are totals of what was written since the store was opened, and its present size.
type Statistics struct {
	Commits, Records, Bytes uint64
	Written                 uint64 // bytes written by the library, logs and compactions included
	OnDisk                  uint64 // bytes
	Pending                 int    // pending records that are not on disk
}

// Statistics returns the statistics of the store.
func (s *Store) Statistics() Statistics {
	s.mu.Lock()
	defer s.mu.Unlock()
	statistics := Statistics{
		Commits: s.commits,
		Records: s.records,
		Bytes:   s.bytes,
		Pending: len(s.pendingKeys),
	}
	if s.db != nil {
		metrics := s.db.Metrics()
		statistics.OnDisk = metrics.DiskSpaceUsage()
		statistics.Written = metrics.WAL.BytesWritten
		for _, level := range metrics.Levels {
			statistics.Written += level.TableBytesFlushed + level.TableBytesCompacted
		}
	}
	return statistics
}

// Compact rewrites the data without what was replaced.
func (s *Store) Compact() (err error) {
	defer recoverFatal(&err)
	return s.db.Compact(context.Background(), nil, []byte{0xff}, true)
}

// Backup copies the store, as it is at this moment, to a directory that must not exist. Writes may continue
// meanwhile.
func (s *Store) Backup(directory string) (err error) {
	defer recoverFatal(&err)
	if _, err := s.options.FS.Stat(directory); err == nil {
		return fmt.Errorf("store: backup target %s already exists", directory)
	}
	if err := s.db.Checkpoint(directory, pebble.WithFlushedWAL()); err != nil {
		return fmt.Errorf("store: backup: %w", err)
	}
	return writeFormat(Options{Directory: directory, FS: s.options.FS})
}
