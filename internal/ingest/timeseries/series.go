// Package series keeps what proxies met at each server as a time series for operators: a row a minute and server, for a day,
// in an embedded store on disk or in memory. Times of answers are kept as histograms, which add up exactly over minutes,
// zones and servers; no figure is a mean of means. Nothing that is decided reads it.
package timeseries

import (
	"bytes"
	"encoding/binary"
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
	step       = 60 * fleet.Second        // of a row
	keptFor    = 24 * 3600 * fleet.Second // as the oldest evening that staff still ask about
	longest    = 600_000                  // ms in a histogram
	digits     = 2                        // exact to a hundredth
	cacheBytes = 4 << 20
	memBytes   = 4 << 20
	nameMost   = 255 // bytes of a key after its time
	format     = 1   // of a row
)

// Point is a row: what all proxies met at a server in a step.
type Point struct {
	At                 fleet.Time // the step's begin
	Attempts, Failures uint64
	Load               float64 // mean of what answers told, by polls; negative: none
	Latencies          *hdrhistogram.Histogram
}

type open struct {
	at            fleet.Time
	tries, failed uint64
	load          float64
	loads         uint64
	times         *hdrhistogram.Histogram
}

// Store keeps the rows. Add may be called while others read.
type Store struct {
	db    *pebble.DB
	names func(fleet.ServerID) string
	mu    sync.Mutex
	open  map[fleet.ServerID]*open
	at    fleet.Time    // step that is open
	due   []pair        // whole rows, oldest first; they stay until they are written
	lost  atomic.Uint64 // rows that could not be written
	wrote chan struct{}
	done  sync.WaitGroup
}

type pair struct {
	server fleet.ServerID
	row    *open
}

// Open opens the store in a folder, or in memory for "".
func Open(folder string, names func(fleet.ServerID) string) (*Store, error) {
	o := &pebble.Options{Logger: quiet{}, MemTableSize: memBytes, Cache: pebble.NewCache(cacheBytes), DisableWAL: true}
	defer o.Cache.Unref()
	if folder == "" {
		o.FS = vfs.NewMem()
		folder = "series"
	}
	db, err := pebble.Open(folder, o)
	if err != nil {
		return nil, fmt.Errorf("time series in %s: %w", folder, err)
	}
	s := &Store{db: db, names: names, open: map[fleet.ServerID]*open{}, wrote: make(chan struct{}, 1)}
	s.done.Add(1)
	go s.write()
	return s, nil
}

// Add takes what a proxy met at a server. It never waits for the disk.
func (s *Store) Add(c ingest.CounterDelta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := c.At / step * step; at > s.at { // rows of the step before are whole
		for id, row := range s.open {
			s.due = append(s.due, pair{id, row})
		}
		clear(s.open)
		s.at = at
		select {
		case s.wrote <- struct{}{}:
		default:
		}
	}
	row := s.open[c.Server]
	if row == nil {
		row = &open{at: s.at, times: hdrhistogram.New(1, longest, digits)}
		s.open[c.Server] = row
	}
	row.tries, row.failed = row.tries+c.Attempts, row.failed+c.Failures
	if c.Successes > 0 { // a proxy tells the sum of some visits' times: so many of their mean
		_ = row.times.RecordValues(int64(min(longest, max(1, c.SuccessMillis/c.Successes))), int64(min(c.Successes, math.MaxInt32)))
	}
	if c.HasLoad {
		row.load, row.loads = row.load+float64(c.Load[0]), row.loads+1
	}
}

// write writes whole rows, and forgets those past their time.
func (s *Store) write() {
	defer s.done.Done()
	for range s.wrote {
		s.mu.Lock()
		due, at := s.due, s.at
		s.mu.Unlock()
		if err := s.flush(due, at); err != nil {
			s.lost.Add(uint64(len(due)))
		}
		s.mu.Lock()
		s.due = slices.Delete(s.due, 0, len(due)) // read from the store from here on
		s.mu.Unlock()
	}
}

func (s *Store) flush(due []pair, at fleet.Time) error {
	b := s.db.NewBatch()
	defer b.Close()
	for _, p := range due {
		value, err := encode(p.row)
		if err == nil {
			err = b.Set(key(p.row.at, s.names(p.server)), value, nil)
		}
		if err != nil {
			return err
		}
	}
	if old := at - keptFor; old > 0 {
		if err := b.DeleteRange(key(0, ""), key(old, ""), nil); err != nil {
			return err
		}
	}
	return b.Commit(pebble.NoSync) // staff lose the last rows at a cut, and nothing else
}

func key(at fleet.Time, name string) []byte {
	k := binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(name)), uint64(at))
	return append(k, name[:min(len(name), nameMost)]...)
}

func encode(o *open) ([]byte, error) {
	times, err := o.times.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, fmt.Errorf("a histogram: %w", err)
	}
	v := []byte{format}
	for _, n := range []uint64{o.tries, o.failed, o.loads, math.Float64bits(o.load)} {
		v = binary.AppendUvarint(v, n)
	}
	return append(v, times...), nil
}

var errRow = errors.New("a row that can't be read")

func decode(at fleet.Time, v []byte) (p Point, err error) {
	if len(v) == 0 || v[0] != format {
		return p, errRow
	}
	v = v[1:]
	var n [4]uint64
	for i := range n {
		size := 0
		if n[i], size = binary.Uvarint(v); size <= 0 {
			return p, errRow
		}
		v = v[size:]
	}
	p = Point{At: at, Attempts: n[0], Failures: n[1], Load: -1}
	if n[2] > 0 {
		p.Load = math.Float64frombits(n[3]) / float64(n[2])
	}
	if p.Latencies, err = hdrhistogram.Decode(v); err != nil {
		return p, errors.Join(errRow, err)
	}
	return p, nil
}

// Read gives a server's rows from a time on, the open one last. Rows that can't be read are counted and left out.
func (s *Store) Read(server fleet.ServerID, from fleet.Time) (points []Point, damaged int, err error) {
	name := s.names(server)
	s.mu.Lock() // what is not in the store yet, before the store is looked at: a row is in both for a moment, in one at least
	from = max(0, from, s.at-keptFor) / step * step
	var late []Point
	for _, d := range s.due {
		if d.server == server && d.row.at >= from {
			late = append(late, pointOf(d.row))
		}
	}
	if row := s.open[server]; row != nil && row.at >= from {
		late = append(late, pointOf(row))
	}
	s.mu.Unlock()
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: key(from, ""), UpperBound: key(math.MaxInt64, "")})
	if err != nil {
		return nil, 0, fmt.Errorf("time series: %w", err)
	}
	defer it.Close()
	for ok := it.First(); ok; {
		k := it.Key()
		at := fleet.Time(binary.BigEndian.Uint64(k))
		switch bytes.Compare(k[8:], []byte(name)) {
		case -1: // to this server's row of the step
			ok = it.SeekGE(key(at, name))
			continue
		case 0:
			v, err := it.ValueAndErr()
			if err != nil {
				return points, damaged, fmt.Errorf("time series: %w", err)
			}
			if p, err := decode(at, v); err == nil {
				points = append(points, p)
			} else {
				damaged++
			}
		}
		ok = it.SeekGE(key(at+step, name))
	}
	for _, p := range late {
		if n := len(points); n == 0 || points[n-1].At < p.At {
			points = append(points, p)
		}
	}
	return points, damaged, nil
}

func pointOf(o *open) Point {
	p := Point{At: o.at, Attempts: o.tries, Failures: o.failed, Load: -1, Latencies: hdrhistogram.Import(o.times.Export())}
	if o.loads > 0 {
		p.Load = o.load / float64(o.loads)
	}
	return p
}

// Sum adds points up.
func Sum(points []Point) Point {
	all := Point{Load: -1, Latencies: hdrhistogram.New(1, longest, digits)}
	for _, p := range points {
		all.At = p.At
		all.Attempts, all.Failures, all.Load = all.Attempts+p.Attempts, all.Failures+p.Failures, max(all.Load, p.Load)
		all.Latencies.Merge(p.Latencies)
	}
	return all
}

// Lost tells how many rows could not be written.
func (s *Store) Lost() uint64 { return s.lost.Load() }

// Size tells the bytes on disk, or in memory.
func (s *Store) Size() uint64 { return s.db.Metrics().DiskSpaceUsage() + s.db.Metrics().MemTable.Size }

// Close writes what is open and ends it.
func (s *Store) Close() error {
	s.mu.Lock()
	for id, row := range s.open {
		s.due = append(s.due, pair{id, row})
	}
	clear(s.open)
	close(s.wrote)
	s.mu.Unlock()
	s.done.Wait()
	return errors.Join(s.flush(s.due, s.at), s.db.Flush(), s.db.Close())
}

// quiet keeps the store's own log to itself; what matters comes as errors.
type quiet struct{}

func (quiet) Infof(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(format string, args ...any) {
	panic(fmt.Sprintf("time series: "+format, args...))
}
