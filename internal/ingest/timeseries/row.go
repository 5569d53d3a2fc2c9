package timeseries

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest"
)

const (
	// Latencies in a histogram are in ms, exact to a hundredth.
	minLatency    = 1
	maxLatency    = 600_000
	latencyDigits = 2

	// rowFormat is the first byte of a stored row.
	rowFormat = 1

	// timeSize of a key, in bytes; the name of a server follows the time.
	timeSize = 8

	// maxNameSize of a key, in bytes.
	maxNameSize = 255

	// noLoad is the load of a Point without load reports.
	noLoad = -1
)

// errDamagedRow reports a stored row that can't be read.
var errDamagedRow = errors.New("damaged row")

// Point holds what all proxies measured at a server in a row's interval.
type Point struct {
	At        fleet.Time // begin of the interval
	Attempts  uint64
	Failures  uint64
	Load      float64 // mean of the load that answers reported; negative: none
	Latencies *hdrhistogram.Histogram
}

// row is a Point that is added to.
type row struct {
	at        fleet.Time
	attempts  uint64
	failures  uint64
	loadSum   float64
	loadCount uint64
	latencies *hdrhistogram.Histogram
}

func newRow(at fleet.Time) *row { return &row{at: at, latencies: newHistogram()} }

// add adds what a proxy measured. The proxy reports the sum of some latencies, which count as so many of their mean.
func (r *row) add(delta ingest.CounterDelta) {
	r.attempts += delta.Attempts
	r.failures += delta.Failures
	if delta.Successes > 0 {
		mean := min(maxLatency, max(minLatency, delta.SuccessMillis/delta.Successes))
		count := min(delta.Successes, math.MaxInt32)
		_ = r.latencies.RecordValues(int64(mean), int64(count)) // the mean is in range
	}
	if delta.HasLoad {
		r.loadSum += float64(delta.Load[0])
		r.loadCount++
	}
}

func (r *row) point() Point {
	return Point{
		At:        r.at,
		Attempts:  r.attempts,
		Failures:  r.failures,
		Load:      meanLoad(r.loadSum, r.loadCount),
		Latencies: hdrhistogram.Import(r.latencies.Export()),
	}
}

func meanLoad(sum float64, count uint64) float64 {
	if count == 0 {
		return noLoad
	}
	return sum / float64(count)
}

// rowKey orders rows by time, then by server.
func rowKey(at fleet.Time, name string) []byte {
	key := binary.BigEndian.AppendUint64(make([]byte, 0, timeSize+len(name)), uint64(at))
	return append(key, name[:min(len(name), maxNameSize)]...)
}

// compareKey returns the time of a key, and how its name compares to the given one.
func compareKey(key []byte, name string) (at fleet.Time, order int) {
	at = fleet.Time(binary.BigEndian.Uint64(key))
	return at, bytes.Compare(key[timeSize:], []byte(name))
}

// encode writes the format, four unsigned varints and the histogram.
func (r *row) encode() ([]byte, error) {
	latencies, err := r.latencies.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, fmt.Errorf("encode latency histogram: %w", err)
	}
	value := []byte{rowFormat}
	value = binary.AppendUvarint(value, r.attempts)
	value = binary.AppendUvarint(value, r.failures)
	value = binary.AppendUvarint(value, r.loadCount)
	value = binary.AppendUvarint(value, math.Float64bits(r.loadSum))
	return append(value, latencies...), nil
}

// decodeRow reads what encode wrote.
func decodeRow(at fleet.Time, value []byte) (Point, error) {
	if len(value) == 0 || value[0] != rowFormat {
		return Point{}, errDamagedRow
	}
	value = value[1:]
	var attempts, failures, loadCount, loadBits uint64
	for _, number := range []*uint64{&attempts, &failures, &loadCount, &loadBits} {
		decoded, size := binary.Uvarint(value)
		if size <= 0 {
			return Point{}, errDamagedRow
		}
		*number = decoded
		value = value[size:]
	}
	latencies, err := hdrhistogram.Decode(value)
	if err != nil {
		return Point{}, errors.Join(errDamagedRow, err)
	}
	return Point{
		At:        at,
		Attempts:  attempts,
		Failures:  failures,
		Load:      meanLoad(math.Float64frombits(loadBits), loadCount),
		Latencies: latencies,
	}, nil
}
