package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
)

const testDirectory = "store"

func mustOpen(t testing.TB, fs vfs.FS) *Store {
	t.Helper()
	s, err := Open(Options{Directory: testDirectory, FS: fs})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func mustClose(t testing.TB, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// mustPut puts changes and waits until they are on disk.
func mustPut(t testing.TB, s *Store, changes ...Change) {
	t.Helper()
	done := make(chan error, 1)
	if err := s.Put(changes, func(err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// readAll returns all records of a store; their values must be numbers.
func readAll(s *Store) (map[string]int, []Corruption, error) {
	records := map[string]int{}
	corruptions, err := s.Read("", func(key string, payload []byte) error {
		var value int
		err := json.Unmarshal(payload, &value)
		records[key] = value
		return err
	})
	return records, corruptions, err
}

// commitSequence returns commits that set keys, of which every third also deletes one, and the states before the first
// and after each commit.
func commitSequence(seed uint64, commits int) (changes [][]Change, states []map[string]int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	state := map[string]int{}
	states = append(states, maps.Clone(state))
	for value := range commits {
		var commit []Change
		for range 1 + rng.IntN(4) {
			key := fmt.Sprint("k/", rng.IntN(9))
			commit = append(commit, Change{key, value})
			state[key] = value
		}
		if key := fmt.Sprint("k/", rng.IntN(9)); value%3 == 2 {
			commit = append(commit, Change{Key: key})
			delete(state, key)
		}
		changes = append(changes, commit)
		states = append(states, maps.Clone(state))
	}
	return changes, states
}

// latestMatch returns the index of the latest state, from index first on, that equals the records, -1 for none.
func latestMatch(records map[string]int, states []map[string]int, first int) int {
	for i := len(states) - 1; i >= first; i-- {
		if maps.Equal(records, states[i]) {
			return i
		}
	}
	return -1
}

// storeFiles returns the log files and the table files of a store.
func storeFiles(t testing.TB, fs vfs.FS) (logs, tables []string) {
	t.Helper()
	names, err := fs.List(testDirectory)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, ".log") {
			logs = append(logs, filepath.Join(testDirectory, name))
		} else if strings.HasSuffix(name, ".sst") {
			tables = append(tables, filepath.Join(testDirectory, name))
		}
	}
	return logs, tables
}

func readFile(t testing.TB, fs vfs.FS, name string) []byte {
	t.Helper()
	file, err := fs.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(file)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func overwriteFile(t testing.TB, fs vfs.FS, name string, content []byte) {
	t.Helper()
	file, err := fs.Create(name, "test")
	if err != nil {
		t.Fatal(err)
	}
	_, err = file.Write(append([]byte(nil), content...)) // a copy, because the file system may modify its argument
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		t.Fatal(err)
	}
}

// newTestStore returns a store with two records.
func newTestStore(t *testing.T) (*vfs.MemFS, *Store) {
	t.Helper()
	fs := vfs.NewCrashableMem()
	s := mustOpen(t, fs)
	mustPut(t, s, Change{"k/1", 1}, Change{"k/2", 2})
	return fs, s
}

func TestOpenReportsLockedDirectory(t *testing.T) {
	fs, s := newTestStore(t)
	defer mustClose(t, s)
	var busy *LockedError
	if _, err := Open(Options{Directory: testDirectory, FS: fs}); !errors.As(err, &busy) {
		t.Errorf("opening a locked store: %v, want a LockedError", err)
	}
}

func TestPutReportsValueThatCannotBeEncoded(t *testing.T) {
	_, s := newTestStore(t)
	defer mustClose(t, s)
	if err := s.Put([]Change{{"k/3", func() {}}}, nil); err == nil || !strings.Contains(err.Error(), "k/3") {
		t.Error(err)
	}
}

// TestBackupHoldsStateOfItsMoment checks that later writes to the store do not change a backup, and that a backup does
// not overwrite an existing one.
func TestBackupHoldsStateOfItsMoment(t *testing.T) {
	fs, s := newTestStore(t)
	defer mustClose(t, s)
	if err := s.Backup("copy"); err != nil {
		t.Fatal(err)
	}
	mustPut(t, s, Change{"k/1", 5})
	backup, err := Open(Options{Directory: "copy", FS: fs, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	if got, _, err := readAll(backup); err != nil || !maps.Equal(got, map[string]int{"k/1": 1, "k/2": 2}) {
		t.Errorf("the backup has the records %v (error %v)", got, err)
	}
	mustClose(t, backup)
	if err := s.Backup("copy"); err == nil {
		t.Error("a second backup to the same directory succeeded")
	}
}

// TestRecordUnderOtherKeyIsCorrupt checks that the checksum covers the key: a record copied to another key is corrupt.
func TestRecordUnderOtherKeyIsCorrupt(t *testing.T) {
	_, s := newTestStore(t)
	defer mustClose(t, s)
	raw, closer, err := s.db.Get([]byte("k/2"))
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(s.db.Set([]byte("k/1"), raw, pebble.Sync), closer.Close()); err != nil {
		t.Fatal(err)
	}
	got, corruptions, err := readAll(s)
	if err != nil || len(corruptions) != 1 || corruptions[0].Key != "k/1" || len(got) != 1 {
		t.Errorf("%v, %v, %v", got, corruptions, err)
	}
}

func TestOpenMigratesFormat1(t *testing.T) {
	fs, s := newTestStore(t)
	for key, value := range map[string]string{"k/1": "7", "k/2": "8"} { // without checksums
		if err := s.db.Set([]byte(key), []byte(value), pebble.Sync); err != nil {
			t.Fatal(err)
		}
	}
	mustClose(t, s)
	overwriteFile(t, fs, "store/FORMAT", []byte("cressknot store 1\n"))
	s = mustOpen(t, fs)
	defer mustClose(t, s)
	got, corruptions, err := readAll(s)
	if err != nil || len(corruptions) > 0 || !maps.Equal(got, map[string]int{"k/1": 7, "k/2": 8}) {
		t.Errorf("after migration from format 1: records %v, corrupt %v, error %v", got, corruptions, err)
	}
}

func TestOpenLeavesNewerFormatUntouched(t *testing.T) {
	fs, s := newTestStore(t)
	mustClose(t, s)
	overwriteFile(t, fs, "store/FORMAT", []byte("cressknot store 9\n"))
	before, err := fs.List(testDirectory)
	if err != nil {
		t.Fatal(err)
	}
	var newer *NewerFormatError
	if _, err := Open(Options{Directory: testDirectory, FS: fs}); !errors.As(err, &newer) || newer.Format != 9 {
		t.Errorf("opening a store of format 9: %v, want a NewerFormatError", err)
	}
	after, err := fs.List(testDirectory)
	if err != nil {
		t.Fatal(err)
	}
	if len(after) != len(before) {
		t.Error("opening a store of a newer format changed its files")
	}
}

func BenchmarkCommit(b *testing.B) {
	for _, group := range []bool{false, true} {
		b.Run(fmt.Sprint("group=", group), func(b *testing.B) {
			s, err := Open(Options{Directory: b.TempDir()})
			if err != nil {
				b.Fatal(err)
			}
			defer mustClose(b, s)
			b.ResetTimer()
			done := make(chan error, b.N)
			for i := range b.N {
				change := Change{fmt.Sprint("k/", i%1000), i}
				if err := s.Put([]Change{change}, func(err error) { done <- err }); err != nil {
					b.Fatal(err)
				}
				if group {
					continue
				}
				if err := <-done; err != nil {
					b.Fatal(err)
				}
			}
			for group && len(done) < b.N {
				if err := <-done; err != nil {
					b.Fatal(err)
				}
				b.N--
			}
			statistics := s.Statistics()
			amplification := float64(statistics.Written) / float64(max(1, statistics.Bytes))
			b.ReportMetric(amplification, "write-amplification")
		})
	}
}
