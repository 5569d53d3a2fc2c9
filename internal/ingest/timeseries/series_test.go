package timeseries

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/pebble/v2"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest"
)

func names(id fleet.ServerID) string { return fmt.Sprintf("node-%03d", id) }

// TestRowsAddUpAndAge: more than a day of a server among others: sums are exact, quantiles are those of all visits, rows
// past their time are forgotten, and what is written outlasts a restart; a damaged row is counted and costs no other one.
func TestRowsAddUpAndAge(t *testing.T) {
	folder := t.TempDir()
	s, err := Open(folder, names)
	if err != nil {
		t.Fatal(err)
	}
	end := 25 * 3600 * fleet.Second
	for at := step; at < end; at += step {
		for id := range fleet.ServerID(2) {
			s.Add(ingest.CounterDelta{At: at, Server: id, Attempts: 10, Failures: uint64(id), Successes: 9, SuccessMillis: 9 * 100})
			s.Add(ingest.CounterDelta{At: at, Server: id, Attempts: 1, Successes: 1, SuccessMillis: 5000, HasLoad: true, Load: [4]float32{0.5}})
		}
	}
	check := func(s *Store, bad int) {
		t.Helper()
		points, damaged, err := s.Read(1, 0)
		if err != nil || damaged != bad {
			t.Fatalf("%v, %d damaged", err, damaged)
		}
		all := Sum(points)
		if n := len(points) + bad; n < 1440 || n > 1442 || all.Attempts != uint64(11*len(points)) || all.Failures != uint64(len(points)) {
			t.Errorf("%d rows, %d tries, %d failed", len(points), all.Attempts, all.Failures)
		}
		if p50, p99 := all.Latencies.ValueAtQuantile(50), all.Latencies.ValueAtQuantile(95); p50 < 99 || p50 > 101 || p99 < 4950 || p99 > 5050 || all.Load != 0.5 {
			t.Errorf("p50 %d ms, p95 %d ms, load %f", p50, p99, all.Load)
		}
		if recent, _, _ := s.Read(0, end-5*step); len(recent) != 5 {
			t.Errorf("%d rows of the last 5 minutes", len(recent))
		}
	}
	check(s, 0)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if s, err = Open(folder, names); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	check(s, 0)
	if err := s.db.Set(key(end-10*step, names(1)), []byte{format, 1}, pebble.NoSync); err != nil {
		t.Fatal(err)
	}
	check(s, 1)
	if s.Lost() != 0 {
		t.Errorf("%d rows lost", s.Lost())
	}
}

func BenchmarkAdd(b *testing.B) { // one op is what a proxy met at one of 700 servers
	s, err := Open("", names)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.Add(ingest.CounterDelta{At: step + fleet.Time(i)*fleet.Millisecond, Server: fleet.ServerID(i % 700), Attempts: 3, Successes: 3, SuccessMillis: uint64(i % 900)})
	}
	b.ReportMetric(float64(s.Size())/float64(1+b.N/60_000), "B-a-minute")
}
