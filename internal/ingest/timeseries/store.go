// Package timeseries stores the measurements of proxies at each server for operators: one row for each minute and
// server, kept for a day in an embedded store on disk or in memory. Latencies are stored as histograms, which can be
// merged exactly over minutes, zones and servers. Decisions of the controller don't depend on the stored data.
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
	// rowInterval is the interval of a row.
	rowInterval = 60 * fleet.Second

	// retention is the time for which rows are kept, as long as operators need them.
	retention = 24 * 3600 * fleet.Second

	// cacheSize and memTableSize limit the memory of the embedded store, in bytes.
	cacheSize    = 4 << 20
	memTableSize = 4 << 20

	// memoryFolder is the folder of a store in memory, in its virtual file system.
	memoryFolder = "series"
)

// Store stores the rows of all servers. It is safe for concurrent use. No method may be called after Close.
type Store struct {
	db            *pebble.DB
	nameOf        func(fleet.ServerID) string
	writeRequests chan struct{} // capacity 1; signalled when there are completed rows to write; closed by Close
	writing       sync.WaitGroup
	unwritten     atomic.Uint64 // rows that could not be written
	mu            sync.Mutex
	current       map[fleet.ServerID]*row
	currentAt     fleet.Time  // begin of the current rows
	completed     []serverRow // not written yet
}

// serverRow is a completed row of a server that is not written yet.
type serverRow struct {
	server fleet.ServerID
	row    *row
}

// Open opens the store in a folder, or in memory if folder is "". NameOf returns the name under which the rows of a
// server are stored. The caller must call Close.
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

// Add adds the measurements of a proxy at a server. It doesn't wait for the disk.
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

// completeRows queues the current rows to be written. The caller holds the lock.
func (s *Store) completeRows() {
	for server, r := range s.current {
		s.completed = append(s.completed, serverRow{server: server, row: r})
	}
	clear(s.current)
}

// writeRows writes completed rows until writeRequests is closed. Rows remain readable from memory until they are
// written.
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

// write stores rows and deletes those that are older than the retention time. It does not sync the database to disk, so
// a crash may lose the latest rows, but no others.
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

// UnwrittenRows returns the number of rows that were lost since Open because a write failed.
func (s *Store) UnwrittenRows() uint64 { return s.unwritten.Load() }

// Size returns the size of the store on disk and in memory, in bytes.
func (s *Store) Size() uint64 {
	metrics := s.db.Metrics()
	return metrics.DiskSpaceUsage() + metrics.MemTable.Size
}

// Close writes all rows that are not written yet and closes the store.
func (s *Store) Close() error {
	s.mu.Lock()
	s.completeRows()
	close(s.writeRequests)
	s.mu.Unlock()
	s.writing.Wait()
	return errors.Join(s.write(s.completed, s.currentAt), s.db.Flush(), s.db.Close())
}

// Read returns the rows of a server from the given time on, ordered by time, including the current one. Damaged rows
// are skipped and counted.
func (s *Store) Read(server fleet.ServerID, from fleet.Time) (points []Point, damaged int, err error) {
	// Memory is read first: a row that is written in between is then found twice, but never missed.
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

// readMemory returns the rows of a server that are not written yet, and the begin of the first row to read.
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

// readStore returns the written rows of a server. It seeks from one row of the server to the next, as each minute holds
// rows of all servers.
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

// silentLogger discards the log of the embedded store, as its methods return the relevant errors.
type silentLogger struct{}

// Infof discards the message.
func (silentLogger) Infof(string, ...any) {}

// Errorf discards the message.
func (silentLogger) Errorf(string, ...any) {}

// Fatalf panics, as the store can't continue.
func (silentLogger) Fatalf(format string, args ...any) {
	panic(fmt.Sprintf("time series: "+format, args...))
}

// Sum returns the sum of points. Its load is the highest one, its time that of the last point.
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
