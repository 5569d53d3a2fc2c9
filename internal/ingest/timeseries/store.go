// Package timeseries stores what proxies measured at each server for operators: a row for each minute and server,
// for a day, in an embedded store on disk or in memory. Latencies are stored as histograms, which add up exactly
// over minutes, zones and servers. No decision reads them.
package timeseries

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest"
)

const (
	// rowInterval is the time that a row covers.
	rowInterval = 60 * fleet.Second

	// retention reaches back to what operators still ask about.
	retention = 24 * 3600 * fleet.Second

	// cacheSize and memTableSize of the store are in bytes.
	cacheSize    = 4 << 20
	memTableSize = 4 << 20

	// memoryFolder is the name of the folder of a store in memory.
	memoryFolder = "series"
)

// Store holds the rows. Its methods may be called from several goroutines.
type Store struct {
	db            *pebble.DB
	nameOf        func(fleet.ServerID) string
	writeRequests chan struct{} // has an element when complete rows are to be written; closed by Close
	writing       sync.WaitGroup
	unwritten     atomic.Uint64 // rows that could not be written
	mu            sync.Mutex
	current       map[fleet.ServerID]*row
	currentAt     fleet.Time // begin of the current rows
	completed     []serverRow
}

// serverRow is a row that has ended and is not written yet.
type serverRow struct {
	server fleet.ServerID
	row    *row
}

// Open opens the store in a folder, or in memory if the folder is "".
func Open(folder string, nameOf func(fleet.ServerID) string) (*Store, error) {
	options := &pebble.Options{
		Logger:       silentLogger{},
		MemTableSize: memTableSize,
		Cache:        pebble.NewCache(cacheSize),
		DisableWAL:   true,
	}
	defer options.Cache.Unref()
	if folder == "" {
		options.FS = vfs.NewMem()
		folder = memoryFolder
	}
	db, err := pebble.Open(folder, options)
	if err != nil {
		return nil, fmt.Errorf("open time series in %s: %w", folder, err)
	}
	s := &Store{
		db:            db,
		nameOf:        nameOf,
		writeRequests: make(chan struct{}, 1),
		current:       map[fleet.ServerID]*row{},
	}
	s.writing.Go(s.writeRows)
	return s, nil
}

// Add adds what a proxy measured at a server. It doesn't wait for the disk.
func (s *Store) Add(delta ingest.CounterDelta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := delta.At / rowInterval * rowInterval; at > s.currentAt {
		s.completeRows()
		s.currentAt = at
		select {
		case s.writeRequests <- struct{}{}:
		default:
		}
	}
	r := s.current[delta.Server]
	if r == nil {
		r = newRow(s.currentAt)
		s.current[delta.Server] = r
	}
	r.add(delta)
}

// completeRows lets the current rows be written. The caller holds the lock.
func (s *Store) completeRows() {
	for server, r := range s.current {
		s.completed = append(s.completed, serverRow{server: server, row: r})
	}
	clear(s.current)
}

// writeRows writes rows that have ended. They remain readable from memory until they are written.
func (s *Store) writeRows() {
	for range s.writeRequests {
		s.mu.Lock()
		rows := s.completed
		at := s.currentAt
		s.mu.Unlock()
		if err := s.write(rows, at); err != nil {
			s.unwritten.Add(uint64(len(rows)))
		}
		s.mu.Lock()
		s.completed = slices.Delete(s.completed, 0, len(rows))
		s.mu.Unlock()
	}
}

// write writes rows, and deletes those that are past their retention. It doesn't sync: a crash loses the latest
// rows only.
func (s *Store) write(rows []serverRow, at fleet.Time) error {
	batch := s.db.NewBatch()
	defer func() { _ = batch.Close() }()
	for _, r := range rows {
		value, err := r.row.encode()
		if err != nil {
			return err
		}
		if err := batch.Set(rowKey(r.row.at, s.nameOf(r.server)), value, nil); err != nil {
			return err
		}
	}
	if expired := at - retention; expired > 0 {
		if err := batch.DeleteRange(rowKey(0, ""), rowKey(expired, ""), nil); err != nil {
			return err
		}
	}
	return batch.Commit(pebble.NoSync)
}

// UnwrittenRows returns the number of rows that could not be written.
func (s *Store) UnwrittenRows() uint64 { return s.unwritten.Load() }

// Size returns the bytes on disk or in memory.
func (s *Store) Size() uint64 {
	metrics := s.db.Metrics()
	return metrics.DiskSpaceUsage() + metrics.MemTable.Size
}

// Close writes the current rows and closes the store.
func (s *Store) Close() error {
	s.mu.Lock()
	s.completeRows()
	close(s.writeRequests)
	s.mu.Unlock()
	s.writing.Wait()
	return errors.Join(s.write(s.completed, s.currentAt), s.db.Flush(), s.db.Close())
}

// Read returns a server's rows from a time on, the current one last. It counts the rows that are damaged, and skips
// them.
func (s *Store) Read(server fleet.ServerID, from fleet.Time) (points []Point, damaged int, err error) {
	// What is not written yet is read first: a row may be in both places for a moment, but not in none.
	from, recent := s.readMemory(server, from)
	points, damaged, err = s.readStore(s.nameOf(server), from)
	if err != nil {
		return points, damaged, err
	}
	for _, point := range recent {
		if n := len(points); n == 0 || points[n-1].At < point.At {
			points = append(points, point)
		}
	}
	return points, damaged, nil
}

// readMemory returns the rows that are not written yet, and the begin of the first row to read.
func (s *Store) readMemory(server fleet.ServerID, from fleet.Time) (first fleet.Time, points []Point) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = max(0, from, s.currentAt-retention) / rowInterval * rowInterval
	for _, r := range s.completed {
		if r.server == server && r.row.at >= first {
			points = append(points, r.row.point())
		}
	}
	if r := s.current[server]; r != nil && r.at >= first {
		points = append(points, r.point())
	}
	return first, points
}

// readStore returns the rows that are written. It seeks from one row of the server to its next one.
func (s *Store) readStore(name string, from fleet.Time) (points []Point, damaged int, err error) {
	iterator, err := s.db.NewIter(&pebble.IterOptions{
		LowerBound: rowKey(from, ""),
		UpperBound: rowKey(math.MaxInt64, ""),
	})
	if err != nil {
		return nil, 0, fmt.Errorf("read time series: %w", err)
	}
	defer func() { _ = iterator.Close() }()
	for valid := iterator.First(); valid; {
		at, order := compareKey(iterator.Key(), name)
		if order < 0 {
			valid = iterator.SeekGE(rowKey(at, name))
			continue
		}
		if order == 0 {
			value, err := iterator.ValueAndErr()
			if err != nil {
				return points, damaged, fmt.Errorf("read time series: %w", err)
			}
			point, err := decodeRow(at, value)
			if err != nil {
				damaged++
			} else {
				points = append(points, point)
			}
		}
		valid = iterator.SeekGE(rowKey(at+rowInterval, name))
	}
	return points, damaged, nil
}

// silentLogger drops the log of the embedded store, whose methods return the errors that matter.
type silentLogger struct{}

// Infof drops the message.
func (silentLogger) Infof(string, ...any) {}

// Errorf drops the message.
func (silentLogger) Errorf(string, ...any) {}

// Fatalf panics, as the store can't continue.
func (silentLogger) Fatalf(format string, args ...any) {
	panic(fmt.Sprintf("time series: "+format, args...))
}

// Sum adds points up. The load is the highest one.
func Sum(points []Point) Point {
	sum := Point{Load: noLoad, Latencies: newHistogram()}
	for _, point := range points {
		sum.At = point.At
		sum.Attempts += point.Attempts
		sum.Failures += point.Failures
		sum.Load = max(sum.Load, point.Load)
		sum.Latencies.Merge(point.Latencies)
	}
	return sum
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, latencyDigits)
}
