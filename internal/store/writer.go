package store

import (
	"errors"
	"fmt"
	"time"

	"github.com/cockroachdb/pebble/v2"
)

const (
	initialRetryDelay = time.Second // after a failed commit, doubled after each further failure
	maxRetryDelay     = 30 * time.Second
	closeTimeout      = 10 * time.Second // for closing the database after a failed write
)

// Put queues changes for the writer and does not wait for the disk. Calls are persisted in order, and the changes of
// one call atomically. The writer calls the callback, which may be nil, with nil when the changes are on disk, or with
// an error if they could not be written; they then remain pending and the writer retries. Put itself only returns an
// error if a value cannot be encoded or is too large, in which case no change is queued.
func (s *Store) Put(changes []Change, callback func(error)) error {
	records := make([]*record, len(changes))
	for i, change := range changes {
		record, err := newRecord(change)
		if err != nil {
			return fmt.Errorf("store: record %s: %w", change.Key, err)
		}
		records[i] = record
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, change := range changes {
		if s.pending[change.Key] == nil {
			s.pendingKeys = append(s.pendingKeys, change.Key)
		}
		s.pending[change.Key] = records[i]
	}
	if callback != nil {
		s.callbacks = append(s.callbacks, callback)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

// runWriter commits all pending changes together until the store is closed. Changes that arrive during a commit are
// part of the next one. After a failure it retries with backoff.
func (s *Store) runWriter() {
	defer s.writer.Done()
	retryDelay := time.Duration(0) // 0: the last commit succeeded
	for {
		var retry <-chan time.Time
		if retryDelay > 0 {
			retry = time.After(retryDelay)
		}
		select {
		case <-s.wake:
			if retryDelay > 0 {
				s.failCallbacks() // report the failure without waiting for the retry
				continue
			}
		case <-retry:
		case <-s.stop:
			_ = s.commit() // Close returns the error
			return
		}
		err := s.commit()
		switch {
		case err != nil && retryDelay == 0:
			retryDelay = initialRetryDelay
			s.options.OnHealthChange(true, err)
		case err != nil:
			retryDelay = min(maxRetryDelay, 2*retryDelay)
		case retryDelay > 0:
			retryDelay = 0
			s.options.OnHealthChange(false, nil)
		}
	}
}

// failCallbacks calls all waiting callbacks with the error of the last commit.
func (s *Store) failCallbacks() {
	s.mu.Lock()
	callbacks, err := s.callbacks, s.writeError
	s.callbacks = nil
	s.mu.Unlock()
	for _, callback := range callbacks {
		callback(err)
	}
}

// commit writes the pending changes and calls their callbacks. After a failure the changes remain pending.
func (s *Store) commit() (err error) {
	s.mu.Lock()
	keys, records, callbacks := s.pendingKeys, s.pending, s.callbacks
	s.pendingKeys, s.pending, s.callbacks = nil, map[string]*record{}, nil
	s.mu.Unlock()
	if len(keys) > 0 {
		err = s.writeRecords(keys, records)
	}
	s.mu.Lock()
	s.writeError = err
	if err != nil {
		s.restorePending(keys, records)
	} else if len(keys) > 0 {
		s.commits++
		s.records += uint64(len(keys))
	}
	s.mu.Unlock()
	for _, callback := range callbacks {
		callback(err)
	}
	return err
}

// restorePending puts records that could not be written back into pending, before those that were added in the
// meantime, which are newer and replace them. The caller must hold s.mu.
func (s *Store) restorePending(keys []string, records map[string]*record) {
	for _, key := range s.pendingKeys {
		if records[key] == nil {
			keys = append(keys, key)
		}
		records[key] = s.pending[key]
	}
	s.pendingKeys = keys
	s.pending = records
}

// writeRecords writes records in one batch. After a failure it closes the database.
func (s *Store) writeRecords(keys []string, records map[string]*record) error {
	err := s.writeBatch(keys, records)
	if err != nil {
		s.abandonDatabase()
	}
	return err
}

// writeBatch reopens the database if necessary, and commits records durably in one batch.
func (s *Store) writeBatch(keys []string, records map[string]*record) (err error) {
	defer recoverFatal(&err)
	if s.db == nil {
		db, err := s.openDatabase()
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.db = db
		s.mu.Unlock()
	}
	batch := s.db.NewBatch()
	for _, key := range keys {
		if record := records[key]; record.delete {
			err = batch.Delete([]byte(key), nil)
		} else {
			err = batch.Set([]byte(key), record.value, nil)
			s.bytes += uint64(len(record.value))
		}
		if err != nil {
			return errors.Join(err, batch.Close())
		}
	}
	return batch.Commit(pebble.Sync)
}

// abandonDatabase closes the database after a failed write, because its state is unknown then; the next commit reopens
// it. It waits up to closeTimeout for that, because two databases must not write to the same directory.
func (s *Store) abandonDatabase() {
	s.mu.Lock()
	db := s.db
	s.db = nil
	s.mu.Unlock()
	if db == nil {
		return
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = closeDatabase(db) // the error adds nothing to that of the write
	}()
	select {
	case <-closed:
	case <-time.After(closeTimeout):
	}
}
