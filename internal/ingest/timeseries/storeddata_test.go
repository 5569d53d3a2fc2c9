package timeseries

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest"
)

var writeFixtures = flag.Bool("write-fixtures", false, "rewrite the stored data in testdata")

const (
	storedFolder  = "testdata/series"
	storedMinutes = 4
)

// TestSeriesOfAnEarlierProgramIsRead reads time series that an earlier version wrote. It guards against changes of the
// stored format that lose the data at an upgrade.
func TestSeriesOfAnEarlierProgramIsRead(t *testing.T) {
	if *writeFixtures {
		s, err := Open(storedFolder, nameOf)
		if err != nil {
			t.Fatal(err)
		}
		for minute := range fleet.Time(storedMinutes) {
			at := (minute + 1) * rowInterval
			s.Add(ingest.CounterDelta{
				At: at, Server: 1, Attempts: 10 + uint64(minute), Failures: 2, Successes: 8, SuccessMillis: 8 * 120,
				HasLoad: true, Load: [4]float32{0.25}})
			s.Add(ingest.CounterDelta{At: at + fleet.Second, Server: 1, Attempts: 1, Successes: 1, SuccessMillis: 900})
			s.Add(ingest.CounterDelta{At: at, Server: 2, Attempts: 3, Successes: 3, SuccessMillis: 30})
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	folder := filepath.Join(t.TempDir(), "series")
	if err := os.CopyFS(folder, os.DirFS(storedFolder)); err != nil {
		t.Fatal(err)
	}
	s, err := Open(folder, nameOf)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	points, damaged, err := s.Read(1, 0)
	if err != nil || damaged > 0 || len(points) != storedMinutes {
		t.Fatalf("%d rows, %d damaged, %v", len(points), damaged, err)
	}
	for i, p := range points {
		if p.At != fleet.Time(i+1)*rowInterval || p.Attempts != uint64(11+i) || p.Failures != 2 || p.Load != 0.25 ||
			p.Latencies.TotalCount() != 9 ||
			p.Latencies.ValueAtQuantile(50) != 120 || p.Latencies.Max() < 895 || p.Latencies.Max() > 905 {
			t.Errorf("row %d: %+v, median %d ms, largest %d ms", i, p, p.Latencies.ValueAtQuantile(50), p.Latencies.Max())
		}
	}
	if other, _, _ := s.Read(2, 0); len(other) != storedMinutes || other[0].Attempts != 3 || other[0].Load != -1 {
		t.Errorf("rows of the other server: %+v", other)
	}
}
