package tableversion

import (
	"fmt"
	"math"
	"runtime"
	"testing"

	"cressknot/internal/fleet"
)

// newLargeTable returns a table of the given number of entries at its first version.
func newLargeTable(size int) *Table {
	table := New(1, serverName, HistoryLimits{MaxEntries: 1 << 20, MaxAge: math.MaxInt64})
	var entries []Entry
	for i := range size {
		entries = append(entries, Entry{Server: fleet.ServerID(i), Weight: 100})
	}
	table.Change(1, entries, "")
	return table
}

// BenchmarkChangedLine changes one entry of tables of different sizes. The time must not depend on the size.
func BenchmarkChangedLine(b *testing.B) {
	for _, size := range []int{100, 10_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			table := newLargeTable(size)
			table.limits.MaxEntries = size + 1000
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.Change(2, []Entry{{Server: 5, Weight: 1 + i%200}}, "")
			}
		})
	}
}

// BenchmarkDelta1Percent changes 100 of 10,000 entries.
func BenchmarkDelta1Percent(b *testing.B) {
	table := newLargeTable(10_000)
	table.limits.MaxEntries = 20_000
	for i := 0; b.Loop(); i++ {
		entries := make([]Entry, 100)
		for j := range entries {
			entries[j] = Entry{Server: fleet.ServerID(j * 100), Weight: 1 + i%200}
		}
		table.Change(2, entries, "")
	}
}

// BenchmarkFold100 folds 100 deltas of 100 entries each, of a table of 10,000 entries.
func BenchmarkFold100(b *testing.B) {
	table := newLargeTable(10_000)
	from := table.Version()
	for i := range 100 {
		entries := make([]Entry, 100)
		for j := range entries {
			entries[j] = Entry{Server: fleet.ServerID((i*37 + j*100) % 10_000), Weight: 1 + i}
		}
		table.Change(2, entries, "")
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := table.Fold(from); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPlans930 makes a new version of a table of 10,000 entries and plans the updates of 930 followers, which have
// different earlier versions.
func BenchmarkPlans930(b *testing.B) {
	for _, distinct := range []int{1, 10, 100, 300} {
		b.Run(fmt.Sprint("versions=", distinct), func(b *testing.B) {
			table := newLargeTable(10_000)
			table.limits.MaxEntries = 20_000
			for i := 0; b.Loop(); i++ {
				entries := make([]Entry, 20)
				for j := range entries {
					entries[j] = Entry{Server: fleet.ServerID((i*31 + j*97) % 10_000), Weight: 1 + i%200}
				}
				table.Change(2, entries, "")
				for follower := range 930 {
					delta := table.history[max(0, len(table.history)-2-follower%distinct)]
					table.Plan(delta.To, delta.ToDigest, messageOverhead)
				}
			}
		})
	}
}

// BenchmarkMemoryOfAVersion measures the memory per version when 10 entries of a table of 700 change.
func BenchmarkMemoryOfAVersion(b *testing.B) {
	table := newLargeTable(700)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	versions := 0
	for b.Loop() {
		entries := make([]Entry, 10)
		for j := range entries {
			entries[j] = Entry{Server: fleet.ServerID((versions*13 + j*70) % 700), Weight: 1 + (versions+j)%200}
		}
		table.Change(2, entries, "")
		versions++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(versions), "B/version")
	runtime.KeepAlive(table)
}
