package timeseries

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/pebble/v2"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest"
)

func nameOf(id fleet.ServerID) string { return fmt.Sprintf("node-%03d", id) }

func open(t testing.TB, folder string) *Store {
	t.Helper()
	s, err := Open(folder, nameOf)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// testDuration is longer than the retention.
const testDuration = retention + 3600*fleet.Second

// fill adds rows of two servers for testDuration.
func fill(s *Store) {
	for at := rowInterval; at < testDuration; at += rowInterval {
		for server := range fleet.ServerID(2) {
			s.Add(ingest.CounterDelta{
				At: at, Server: server, Attempts: 10, Failures: uint64(server), Successes: 9, SuccessMillis: 9 * 100})
			s.Add(ingest.CounterDelta{
				At: at, Server: server, Attempts: 1, Successes: 1, SuccessMillis: 5000,
				HasLoad: true, Load: [4]float32{0.5}})
		}
	}
}

// check verifies that the rows that fill added within the retention can be read, except wantDamaged damaged ones, that
// their sums and latency quantiles are those of the added measurements, and that a read of the last rows returns only
// these.
func check(t *testing.T, s *Store, wantDamaged int) {
	t.Helper()
	points, damaged, err := s.Read(1, 0)
	if err != nil || damaged != wantDamaged {
		t.Fatalf("%v, %d damaged", err, damaged)
	}
	sum := Sum(points)
	rows := len(points)
	if n := rows + wantDamaged; n < 1440 || n > 1442 {
		t.Errorf("%d rows", n)
	}
	if sum.Attempts != uint64(11*rows) || sum.Failures != uint64(rows) || sum.Load != 0.5 {
		t.Errorf("%d rows, %d attempts, %d failures, load %f", rows, sum.Attempts, sum.Failures, sum.Load)
	}
	if median := sum.Latencies.ValueAtQuantile(50); median < 99 || median > 101 {
		t.Errorf("median %d ms", median)
	}
	if high := sum.Latencies.ValueAtQuantile(95); high < 4950 || high > 5050 {
		t.Errorf("95th percentile %d ms", high)
	}
	recent, _, err := s.Read(0, testDuration-5*rowInterval)
	if err != nil || len(recent) != 5 {
		t.Errorf("%d rows of the last 5 minutes, %v", len(recent), err)
	}
}

// Sums over more than a day are exact, and quantiles cover all attempts. Rows older than retention are deleted, the
// others survive a restart. A damaged row is counted, and doesn't prevent the others from being read.
func TestStoreAddsUpAndDeletesOldRows(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	fill(s)
	check(t, s, 0)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open(t, folder)
	defer func() { _ = s.Close() }()
	check(t, s, 0)
	damaged := rowKey(testDuration-10*rowInterval, nameOf(1))
	if err := s.db.Set(damaged, []byte{rowFormat, 1}, pebble.NoSync); err != nil {
		t.Fatal(err)
	}
	check(t, s, 1)
	if s.UnwrittenRows() != 0 {
		t.Errorf("%d rows lost", s.UnwrittenRows())
	}
}

// BenchmarkAdd measures adding the measurements of a proxy at one of 700 servers.
func BenchmarkAdd(b *testing.B) {
	s := open(b, "")
	defer func() { _ = s.Close() }()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.Add(ingest.CounterDelta{
			At:            rowInterval + fleet.Time(i)*fleet.Millisecond,
			Server:        fleet.ServerID(i % 700),
			Attempts:      3,
			Successes:     3,
			SuccessMillis: uint64(i % 900),
		})
	}
	b.ReportMetric(float64(s.Size())/float64(1+b.N/60_000), "B-a-minute")
}
