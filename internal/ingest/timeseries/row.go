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
	// Range of the latencies in a histogram in ms, and their precision in significant decimal digits.
	minLatency    = 1
	maxLatency    = 600_000
	latencyDigits = 2

	// rowFormat is the first byte of a stored row, the version of its format.
	rowFormat = 1

	// timeSize is the size of the time at the begin of a key, in bytes. The name of the server follows.
	timeSize = 8

	// maxNameSize is the largest size of the name in a key, in bytes. Longer names are truncated.
	maxNameSize = 255

	// noLoad is the load of a Point without load reports.
	noLoad = -1
)

// errDamagedRow is returned for a stored row that can't be decoded.
var errDamagedRow = errors.New("damaged row")

// Point holds the measurements of all proxies at a server in the interval of a row, or in several intervals.
type Point struct {
	At        fleet.Time // begin of the interval
	Attempts  uint64
	Failures  uint64
	Load      float64                 // mean of the first load figure that answers reported; negative: none
	Latencies *hdrhistogram.Histogram // of successful attempts, in ms
}

// row accumulates the measurements of a Point.
type row struct {
	at        fleet.Time
	attempts  uint64
	failures  uint64
	loadSum   float64
	loadCount uint64
	latencies *hdrhistogram.Histogram
}

func newRow(at fleet.Time) *row { return &row{at: at, latencies: newHistogram()} }

// add adds the measurements of a proxy. The proxy reports only the sum of the latencies, so each successful attempt is
// recorded with their mean.
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

// rowKey returns the key of a row. Keys are ordered by time, then by server name.
func rowKey(at fleet.Time, name string) []byte {
	key := binary.BigEndian.AppendUint64(make([]byte, 0, timeSize+len(name)), uint64(at))
	return append(key, name[:min(len(name), maxNameSize)]...)
}

// compareKey returns the time in a key, and the order of the name in the key relative to the given one, as
// bytes.Compare does.
func compareKey(key []byte, name string) (at fleet.Time, order int) {
	at = fleet.Time(binary.BigEndian.Uint64(key))
	return at, bytes.Compare(key[timeSize:], []byte(name))
}

// encode returns the stored form of the row: the format, four unsigned varints and the histogram.
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

// decodeRow decodes the result of encode. It returns errDamagedRow if that is not possible.
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
