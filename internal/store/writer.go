package store

import (
	"errors"
	"fmt"
	"time"

	"github.com/cockroachdb/pebble/v2"
)

const (
	initialRetryDelay = time.Second // after a failed commit, doubled with each further one
	maxRetryDelay     = 30 * time.Second
	closeTimeout      = 10 * time.Second // for closing a database whose write failed
)

// Put persists changes: those of one call all or none, in the order of calls. It never waits for the disk. The
// callback, which may be nil, is called by the writer when the changes are on disk, or with the reason why they are
// not yet; they remain pending then and are written as soon as that is possible again.
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

// runWriter commits all that is pending at once, until the store is closed. While one commit syncs, the next one
// gathers.
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
				s.failCallbacks() // callers learn of the failure at once
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

// failCallbacks calls all that wait with the error of the last commit.
func (s *Store) failCallbacks() {
	s.mu.Lock()
	callbacks, err := s.callbacks, s.writeError
	s.callbacks = nil
	s.mu.Unlock()
	for _, callback := range callbacks {
		callback(err)
	}
}

// commit writes what is pending. After a failure it remains pending.
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

// restorePending puts records that were not written back before those that came meanwhile, which are newer. The
// caller has locked s.mu.
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

func (s *Store) writeRecords(keys []string, records map[string]*record) error {
	err := s.writeBatch(keys, records)
	if err != nil {
		s.abandonDatabase()
	}
	return err
}

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

// abandonDatabase closes the database after a failed write, as nothing is known of its state: the next commit opens
// it again. It waits for the end of that for a while, as two must not write to one directory.
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
		_ = closeDatabase(db) // its state is given up
	}()
	select {
	case <-closed:
	case <-time.After(closeTimeout):
	}
}
