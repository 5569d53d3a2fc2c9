// Package store keeps what must last over a governor's death: typed, checked records in an embedded store, one writer, group
// commit, nothing lost that was said to be kept. It decides nothing; what lasts and why is a table in docs/design/store.md.
package store

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// Format is that of folders this program writes. Older ones are brought up to it, newer ones refused untouched.
const Format = 2

const (
	formatFile  = "FORMAT"
	memBytes    = 4 << 20
	cacheBytes  = 4 << 20
	valueMost   = 16 << 20 // bytes of a record
	batchMost   = 4096     // changes of one commit
	retryFirst  = time.Second
	retryLast   = 30 * time.Second
	closeWithin = 10 * time.Second // of a store whose write failed
	headBytes   = 8                // checksum of key and payload
)

// Change sets a record, or deletes it with a nil value. Values are stored as JSON.
type Change struct {
	Key   string
	Value any
}

// NewerError tells that a folder was written by a newer program.
type NewerError struct {
	Folder string
	Format int
}

func (e *NewerError) Error() string {
	return fmt.Sprintf("store %s has format %d, this program knows up to %d: it is left untouched", e.Folder, e.Format, Format)
}

// BusyError tells that another process has the folder.
type BusyError struct {
	Folder string
	Err    error
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("store %s: another process has it, or it can't be locked: %v", e.Folder, e.Err)
}

func (e *BusyError) Unwrap() error { return e.Err }

// Options say where a store is.
type Options struct {
	Directory      string
	FS             vfs.FS                           // nil: the system's
	ReadOnly       bool                             // looks only
	OnHealthChange func(failing bool, behind error) // when it begins to fail, and when it has caught up; may be nil
}

// Store is an open store. Put may be called from any goroutine and never waits for the disk.
type Store struct {
	opt    Options
	lock   *pebble.Lock
	mu     sync.Mutex
	db     *pebble.DB
	dirty  map[string]*item // not yet on disk, the newest of each key
	order  []string         // keys of dirty, oldest first
	waits  []func(error)    // of the commit that comes
	err    error            // why it is behind
	damage error            // of a sealed block
	wake   chan struct{}
	quit   chan struct{}
	done   sync.WaitGroup

	commits, records, bytes uint64
}

type item struct {
	value  []byte
	delete bool
}

// Open opens a folder, makes it if it isn't there, and brings it up to the present format.
func Open(o Options) (*Store, error) {
	if o.FS == nil {
		o.FS = vfs.Default
	}
	if o.OnHealthChange == nil {
		o.OnHealthChange = func(bool, error) {}
	}
	if !o.ReadOnly {
		if err := o.FS.MkdirAll(o.Directory, 0o700); err != nil {
			return nil, fmt.Errorf("store %s: %w", o.Directory, err)
		}
	}
	format, err := readFormat(o)
	if err != nil {
		return nil, err
	}
	if format > Format { // before anything of it is touched
		return nil, &NewerError{o.Directory, format}
	}
	s := &Store{opt: o, dirty: map[string]*item{}, wake: make(chan struct{}, 1), quit: make(chan struct{})}
	if s.lock, err = pebble.LockDirectory(o.Directory, o.FS); err != nil {
		return nil, &BusyError{o.Directory, err}
	}
	if s.db, err = s.open(); err == nil && !o.ReadOnly {
		err = s.migrate(format)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("store %s: %w", o.Directory, err), s.lock.Close())
	}
	if !o.ReadOnly {
		s.done.Add(1)
		go s.write()
	}
	return s, nil
}

func (s *Store) open() (db *pebble.DB, err error) {
	defer caught(&err)
	cache := pebble.NewCache(cacheBytes)
	defer cache.Unref()
	return pebble.Open(s.opt.Directory, &pebble.Options{FS: s.opt.FS, Lock: s.lock, ReadOnly: s.opt.ReadOnly, Logger: logger{}, Cache: cache,
		MemTableSize: memBytes, FormatMajorVersion: pebble.FormatNewest, ErrorIfNotExists: s.opt.ReadOnly,
		EventListener: &pebble.EventListener{DataCorruption: func(i pebble.DataCorruptionInfo) { s.damaged(i.Details) }}})
}

// fatal is what the library says where it would end the process: a write that failed.
type fatal struct{ text string }

func (f fatal) Error() string { return f.text }

type logger struct{}

func (logger) Infof(string, ...any)  {}
func (logger) Errorf(string, ...any) {}

// Fatalf is where the library would end the process. A commit that failed is on the stack of the one who commits, who catches
// it; anything else ends that goroutine of the library and no more, as a governor must outlive its store.
func (logger) Fatalf(format string, args ...any) {
	if strings.Contains(format, "commit error") {
		panic(fatal{fmt.Sprintf(format, args...)})
	}
	runtime.Goexit()
}

// damaged notes a sealed block that can't be read, found by the library while it compacts.
func (s *Store) damaged(why error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.damage = why
}

// Damaged tells of a sealed block that can't be read, nil for none known.
func (s *Store) Damaged() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.damage
}

// caught makes an error of the library's last word: a governor goes on without its store.
func caught(err *error) {
	switch r := recover().(type) {
	case nil:
	case fatal:
		*err = r
	default:
		panic(r)
	}
}

func readFormat(o Options) (int, error) {
	f, err := o.FS.Open(filepath.Join(o.Directory, formatFile))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("store %s: %w", o.Directory, err)
	}
	defer f.Close()
	var text [32]byte
	n, _ := f.Read(text[:])
	var format int
	if _, err := fmt.Sscanf(string(text[:n]), "cressknot store %d\n", &format); err != nil || format < 1 {
		return 0, fmt.Errorf("store %s: %s can't be read: it is no store, or a damaged one", o.Directory, formatFile)
	}
	return format, nil
}

func writeFormat(o Options) error {
	path, aside := filepath.Join(o.Directory, formatFile), filepath.Join(o.Directory, formatFile+".new")
	f, err := o.FS.Create(aside, "format")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f, "cressknot store %d\n", Format)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = o.FS.Rename(aside, path)
	}
	if err != nil {
		return err
	}
	d, err := o.FS.OpenDir(o.Directory)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// migrations bring a folder of each earlier format to the next one, in one commit each.
var migrations = map[int]func(s *Store, b *pebble.Batch) error{
	1: func(s *Store, b *pebble.Batch) error { // records had no checksums
		return s.each("", func(key string, raw []byte) error {
			return b.Set([]byte(key), seal(key, raw), nil)
		})
	},
}

func (s *Store) migrate(from int) error {
	if from == 0 {
		return writeFormat(s.opt)
	}
	for ; from < Format; from++ {
		b := s.db.NewBatch()
		if err := migrations[from](s, b); err != nil {
			return errors.Join(fmt.Errorf("from format %d: %w", from, err), b.Close())
		}
		if err := b.Commit(pebble.Sync); err != nil {
			return fmt.Errorf("from format %d: %w", from, err)
		}
		if err := writeFormat(s.opt); err != nil {
			return err
		}
	}
	return nil
}

// seal puts a checksum of key and payload before the payload, so that a record in another's place shows, too.
func seal(key string, payload []byte) []byte {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write(payload)
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, headBytes+len(payload)), d.Sum64()), payload...)
}

func unseal(key string, raw []byte) ([]byte, bool) {
	if len(raw) < headBytes {
		return nil, false
	}
	sealed := seal(key, raw[headBytes:])
	return raw[headBytes:], string(sealed[:headBytes]) == string(raw[:headBytes])
}

// Put keeps changes: those of one call all or none, in the order of calls. Done, which may be nil, is told when they are on disk,
// or why they are not yet; they stay in hand then and are written when that is possible again.
func (s *Store) Put(changes []Change, done func(error)) error {
	items := make([]*item, len(changes))
	for i, c := range changes {
		items[i] = &item{delete: c.Value == nil}
		if c.Value == nil {
			continue
		}
		text, err := json.Marshal(c.Value)
		if err == nil && len(text) > valueMost {
			err = fmt.Errorf("%d bytes, %d are the most", len(text), valueMost)
		}
		if err != nil {
			return fmt.Errorf("store: record %s: %w", c.Key, err)
		}
		items[i].value = seal(c.Key, text)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range changes {
		if s.dirty[c.Key] == nil {
			s.order = append(s.order, c.Key)
		}
		s.dirty[c.Key] = items[i]
	}
	if done != nil {
		s.waits = append(s.waits, done)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

// write commits all that is in hand at once, again and again: while one commit syncs the next one gathers.
func (s *Store) write() {
	defer s.done.Done()
	wait := time.Duration(0)
	for {
		var again <-chan time.Time
		if wait > 0 {
			again = time.After(wait)
		}
		select {
		case <-s.wake:
			if wait > 0 {
				s.told(s.err) // those who wait hear at once that it fails
				continue
			}
		case <-again:
		case <-s.quit:
			_ = s.commit()
			return
		}
		switch err := s.commit(); {
		case err != nil && wait == 0:
			wait = retryFirst
			s.opt.OnHealthChange(true, err)
		case err != nil:
			wait = min(retryLast, 2*wait)
		case wait > 0:
			wait = 0
			s.opt.OnHealthChange(false, nil)
		}
	}
}

func (s *Store) told(err error) {
	s.mu.Lock()
	waits := s.waits
	s.waits = nil
	s.mu.Unlock()
	for _, w := range waits {
		w(err)
	}
}

func (s *Store) commit() (err error) {
	s.mu.Lock()
	keys, items, waits := s.order, s.dirty, s.waits
	s.order, s.dirty, s.waits = nil, map[string]*item{}, nil
	s.mu.Unlock()
	if len(keys) > 0 {
		err = s.apply(keys, items)
	}
	s.mu.Lock()
	if s.err = err; err != nil { // what came meanwhile is newer
		newer := s.order
		for _, k := range newer {
			if items[k] == nil {
				keys = append(keys, k)
			}
			items[k] = s.dirty[k]
		}
		s.order, s.dirty = keys, items
	} else if len(keys) > 0 {
		s.commits++
		s.records += uint64(len(keys))
	}
	s.mu.Unlock()
	for _, w := range waits {
		w(err)
	}
	return err
}

func (s *Store) apply(keys []string, items map[string]*item) (err error) {
	defer func() {
		if err != nil && s.db != nil { // nothing is known of a store whose write failed: it is opened anew
			s.mu.Lock()
			db := s.db
			s.db = nil
			s.mu.Unlock()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				defer caught(new(error))
				_ = db.Close()
			}()
			select { // before the next one: two must not write one folder
			case <-closed:
			case <-time.After(closeWithin):
			}
		}
	}()
	defer caught(&err)
	if s.db == nil {
		db, err := s.open()
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.db = db
		s.mu.Unlock()
	}
	b := s.db.NewBatch()
	for _, k := range keys {
		if it := items[k]; it.delete {
			err = b.Delete([]byte(k), nil)
		} else {
			err = b.Set([]byte(k), it.value, nil)
			s.bytes += uint64(len(it.value))
		}
		if err != nil {
			return errors.Join(err, b.Close())
		}
	}
	return b.Commit(pebble.Sync)
}

// Corruption is a record that can't be believed.
type Corruption struct{ Key, Why string }

func (d Corruption) String() string { return d.Key + ": " + d.Why }

func (s *Store) each(prefix string, do func(key string, raw []byte) error) (err error) {
	defer caught(&err)
	o := &pebble.IterOptions{}
	if prefix != "" { // an empty bound is no bound to the library
		o.LowerBound, o.UpperBound = []byte(prefix), []byte(prefix+"\xff")
	}
	it, err := s.db.NewIter(o)
	if err != nil {
		return err
	}
	for ok := it.First(); ok; ok = it.Next() {
		v, err := it.ValueAndErr()
		if err == nil {
			err = do(string(it.Key()), v)
		}
		if err != nil {
			return errors.Join(err, it.Close())
		}
	}
	return errors.Join(it.Error(), it.Close())
}

// Read gives the records whose keys begin with a prefix, in the order of keys, as they are on disk. Those that can't be believed
// are told, not given.
func (s *Store) Read(prefix string, each func(key string, payload []byte) error) (damage []Corruption, err error) {
	err = s.each(prefix, func(key string, raw []byte) error {
		payload, ok := unseal(key, raw)
		if !ok {
			damage = append(damage, Corruption{key, "its checksum differs"})
			return nil
		}
		return each(key, payload)
	})
	if err != nil {
		err = fmt.Errorf("store %s: %w", s.opt.Directory, err)
	}
	return damage, err
}

// Statistics tell what was written, and what is on disk.
type Statistics struct {
	Commits, Records, Bytes uint64
	Written                 uint64 // by the library, logs and compactions in it
	OnDisk                  uint64
	Behind                  int // records in hand that are not on disk
}

// Statistics of the store since it was opened.
func (s *Store) Statistics() Statistics {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := Statistics{Commits: s.commits, Records: s.records, Bytes: s.bytes, Behind: len(s.order)}
	if s.db != nil {
		m := s.db.Metrics()
		f.OnDisk = m.DiskSpaceUsage()
		f.Written = m.WAL.BytesWritten
		for _, l := range m.Levels {
			f.Written += l.TableBytesFlushed + l.TableBytesCompacted
		}
	}
	return f
}

// Compact rewrites what is on disk without what was replaced.
func (s *Store) Compact() (err error) {
	defer caught(&err)
	return s.db.Compact(context.Background(), nil, []byte{0xff}, true)
}

// Backup copies the store, as it is at this moment, to a folder that isn't there yet; it may be written meanwhile.
func (s *Store) Backup(folder string) (err error) {
	defer caught(&err)
	if _, err := s.opt.FS.Stat(folder); err == nil {
		return fmt.Errorf("store: %s is there already", folder)
	}
	if err := s.db.Checkpoint(folder, pebble.WithFlushedWAL()); err != nil {
		return fmt.Errorf("store: backup: %w", err)
	}
	return writeFormat(Options{Directory: folder, FS: s.opt.FS})
}

// Close writes what is in hand and ends it. The error tells what could not be kept.
func (s *Store) Close() error {
	if !s.opt.ReadOnly {
		close(s.quit)
		s.done.Wait()
	}
	s.mu.Lock()
	db, behind := s.db, s.err
	s.mu.Unlock()
	var err error
	if db != nil {
		func() {
			defer caught(&err)
			err = db.Close()
		}()
	}
	return errors.Join(behind, err, s.lock.Close())
}

// Exists tells whether a folder holds a store.
func Exists(folder string) bool {
	_, err := os.Stat(filepath.Join(folder, formatFile))
	return err == nil
}

// Key puts a key together; parts hold no slash.
func Key(parts ...string) string { return strings.Join(parts, "/") }
