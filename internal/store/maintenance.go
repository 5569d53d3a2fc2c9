package store

import (
	"context"
	"fmt"

	"github.com/cockroachdb/pebble/v2"
)

// Statistics are totals of writes since the store was opened, and its current size.
type Statistics struct {
	Commits, Records, Bytes uint64 // Bytes is the size of the records that were set
	Written                 uint64 // bytes written by the library, including logs and compactions
	OnDisk                  uint64 // size of the store in bytes
	Pending                 int    // changed records that are not on disk yet
}

// Statistics returns the statistics of the store. While the database is closed after a failed write, OnDisk and Written
// are 0.
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

// Compact rewrites the data without replaced and deleted records. It waits until that is done.
func (s *Store) Compact() (err error) {
	defer recoverFatal(&err)
	return s.db.Compact(context.Background(), nil, []byte{0xff}, true)
}

// Backup copies the current state on disk to a directory that must not exist yet. Writes may continue during the copy
// and are not part of it.
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
