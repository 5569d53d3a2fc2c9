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
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
)

func mustOpen(t testing.TB, fs vfs.FS) *Store {
	t.Helper()
	s, err := Open(Options{Directory: "store", FS: fs})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// put waits until changes are on disk.
func put(t testing.TB, s *Store, changes ...Change) {
	t.Helper()
	done := make(chan error, 1)
	if err := s.Put(changes, func(err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func content(s *Store) (map[string]int, []Corruption, error) {
	all := map[string]int{}
	damage, err := s.Read("", func(key string, payload []byte) error {
		var n int
		err := json.Unmarshal(payload, &n)
		all[key] = n
		return err
	})
	return all, damage, err
}

// script gives the states that a run of commits goes through: each sets some keys and deletes one.
func script(seed uint64, commits int) (changes [][]Change, states []map[string]int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	state := map[string]int{}
	states = append(states, maps.Clone(state))
	for n := range commits {
		var one []Change
		for range 1 + rng.IntN(4) {
			k := fmt.Sprint("k/", rng.IntN(9))
			one = append(one, Change{k, n})
			state[k] = n
		}
		if k := fmt.Sprint("k/", rng.IntN(9)); n%3 == 2 {
			one = append(one, Change{Key: k})
			delete(state, k)
		}
		changes, states = append(changes, one), append(states, maps.Clone(state))
	}
	return changes, states
}

func among(state map[string]int, states []map[string]int, from int) int {
	for i := len(states) - 1; i >= from; i-- {
		if maps.Equal(state, states[i]) {
			return i
		}
	}
	return -1
}

// TestPowerFails cuts the power at a random moment of 150 runs: what was said to be kept is there, and what is
// there is what stood after some commit, whole; on what is left the run goes on and is cut again. Unsynced blocks
// are lost by chance.
func TestPowerFails(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 2))
		fs := vfs.NewCrashableMem()
		changes, states := script(seed, 30)
		kept := 0
		for cut := 0; kept < len(changes) && cut < 4; cut++ {
			s := mustOpen(t, fs)
			for range rng.IntN(12) {
				if kept < len(changes) {
					put(t, s, changes[kept]...)
					kept++
				}
			}
			if kept < len(changes) { // in flight when the power goes
				_ = s.Put(changes[kept], nil)
			}
			if rng.IntN(3) == 0 {
				_ = s.Compact()
			}
			fs2 := fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: rng.IntN(101), RNG: rand.New(rand.NewPCG(seed, 3))})
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			fs = fs2
			s = mustOpen(t, fs)
			got, damage, err := content(s)
			at := among(got, states[:min(kept+2, len(states))], kept)
			if err != nil || len(damage) > 0 || at < 0 {
				t.Fatalf("seed %d, cut %d: %v after %d commits (%v, %v)", seed, cut, got, kept, damage, err)
			}
			kept = at
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// points calls what it is told before each operation that writes.
type points struct{ at func() }

func (p points) MaybeError(op errorfs.Op) error {
	if op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
		p.at()
	}
	return nil
}

func (p points) String() string { return "points" }

// TestPowerFailsAtEachWrite cuts the power before each single operation on the disk of a run with flushes and
// compactions, unsynced blocks lost all, in part or not at all: what was said to be kept is there, and whole.
func TestPowerFailsAtEachWrite(t *testing.T) {
	changes, states := script(5, 24)
	mem := vfs.NewCrashableMem()
	type point struct {
		fs          *vfs.MemFS
		kept, later int // before and after the cut: writes of the library go on beside those of the test
	}
	var mu sync.Mutex
	var cuts []point
	var kept atomic.Int64
	s := mustOpen(t, errorfs.Wrap(mem, points{func() {
		mu.Lock()
		defer mu.Unlock()
		n := int(kept.Load())
		for _, percent := range []int{0, 50, 100} {
			left := mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: percent, RNG: rand.New(rand.NewPCG(uint64(len(cuts)), 4))})
			cuts = append(cuts, point{left, n, int(kept.Load())})
		}
	}}))
	for i, c := range changes {
		put(t, s, c...)
		if kept.Store(int64(i + 1)); i%6 == 5 {
			if err := s.Compact(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	began, inside := 0, 0
	for i, c := range cuts {
		s, err := Open(Options{Directory: "store", FS: c.fs})
		if err != nil {
			if c.kept == 0 { // the folder itself was being made
				began++
				continue
			}
			t.Fatalf("cut %d after %d commits: %v", i, c.kept, err)
		}
		got, damage, err := content(s)
		if at := among(got, states[:min(c.later+2, len(states))], c.kept); err != nil || len(damage) > 0 || at < 0 {
			t.Fatalf("cut %d: %v after %d commits (%v, %v)", i, got, c.kept, damage, err)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		inside++
	}
	t.Logf("%d cuts, %d while the folder was made", inside, began)
	if inside < 300 {
		t.Errorf("only %d cuts", inside)
	}
}

func files(t testing.TB, fs vfs.FS) (logs, tables []string) {
	names, err := fs.List("store")
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		if strings.HasSuffix(n, ".log") {
			logs = append(logs, filepath.Join("store", n))
		} else if strings.HasSuffix(n, ".sst") {
			tables = append(tables, filepath.Join("store", n))
		}
	}
	return logs, tables
}

func read(t testing.TB, fs vfs.FS, name string) []byte {
	f, err := fs.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	text, err := io.ReadAll(f)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func overwrite(t testing.TB, fs vfs.FS, name string, text []byte) {
	f, err := fs.Create(name, "test")
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.Write(append([]byte(nil), text...)) // which may be overwritten there
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		t.Fatal(err)
	}
}

// TestCutAndFlippedFiles cuts the log at every byte, and flips bits in log and sealed tables: what opens holds a
// state that was once committed, or says what is damaged; nothing is ever made up.
func TestCutAndFlippedFiles(t *testing.T) {
	changes, states := script(5, 40)
	made := func(seal bool) vfs.FS {
		fs := vfs.NewCrashableMem()
		s := mustOpen(t, fs)
		for i, c := range changes {
			if put(t, s, c...); seal && i == 25 {
				if err := s.db.Flush(); err != nil {
					t.Fatal(err)
				}
			}
		}
		clone := fs.CrashClone(vfs.CrashCloneCfg{})
		_ = s.Close()
		return clone
	}
	cases, refused, whole, short := 0, 0, 0, 0
	if testing.Short() {
		short = 6
	}
	try := func(name string, fs vfs.FS) {
		cases++
		s, err := Open(Options{Directory: "store", FS: fs})
		if err != nil {
			if refused++; !strings.HasPrefix(err.Error(), "store store: ") {
				t.Errorf("%s: %v", name, err)
			}
			return
		}
		got, damage, err := content(s)
		at := among(got, states, 0)
		if err == nil && len(damage) == 0 && at < 0 {
			t.Errorf("%s: a state that never was: %v", name, got)
		}
		switch {
		case err != nil || len(damage) > 0:
			refused++
		case at == len(states)-1:
			whole++
		}
		_ = s.Close()
	}
	plain := made(false).(*vfs.MemFS)
	logs, _ := files(t, plain)
	text := read(t, plain, logs[len(logs)-1])
	for at := 0; at <= len(text); at += 1 + short { // -short takes a sample
		fs := made2(t, plain)
		overwrite(t, fs, logs[len(logs)-1], text[:at])
		try(fmt.Sprint("cut at ", at), fs)
	}
	rng := rand.New(rand.NewPCG(8, 8))
	for range 300 {
		fs := made2(t, plain)
		flipped := append([]byte(nil), text...)
		at := rng.IntN(len(flipped))
		flipped[at] ^= 1 << rng.IntN(8)
		overwrite(t, fs, logs[len(logs)-1], flipped)
		try(fmt.Sprint("log flipped at ", at), fs)
	}
	sealed := made(true).(*vfs.MemFS)
	_, tables := files(t, sealed)
	if len(tables) == 0 {
		t.Fatal("nothing was sealed")
	}
	text = read(t, sealed, tables[0])
	for range 300 {
		fs := made2(t, sealed)
		flipped := append([]byte(nil), text...)
		at := rng.IntN(len(flipped))
		flipped[at] ^= 1 << rng.IntN(8)
		overwrite(t, fs, tables[0], flipped)
		try(fmt.Sprint("table flipped at ", at), fs)
	}
	t.Logf("%d cases, %d refused, %d whole", cases, refused, whole)
	if cases < 900 || refused < 100 || whole == 0 {
		t.Errorf("%d cases, %d refused, %d whole", cases, refused, whole)
	}
}

// made2 copies a store to a file system of its own.
func made2(t testing.TB, fs *vfs.MemFS) *vfs.MemFS {
	t.Helper()
	clone := vfs.NewCrashableMem()
	if ok, err := vfs.Clone(fs, clone, "store", "store"); err != nil || !ok {
		t.Fatal(ok, err)
	}
	return clone
}

// failing is a file system whose writes fail while told to.
type failing struct {
	vfs.FS
	broken *atomic.Bool
}

var errFull = errors.New("no space left on device")

type failingFile struct {
	vfs.File
	broken *atomic.Bool
}

func (f failing) wrap(file vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return failingFile{file, f.broken}, nil
}

func (f failing) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	if f.broken.Load() {
		return nil, errFull
	}
	return f.wrap(f.FS.Create(name, c))
}

func (f failing) ReuseForWrite(old, name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	if f.broken.Load() {
		return nil, errFull
	}
	return f.wrap(f.FS.ReuseForWrite(old, name, c))
}

func (f failingFile) Write(p []byte) (int, error) {
	if f.broken.Load() {
		return 0, errFull
	}
	return f.File.Write(p)
}

func (f failingFile) Sync() error {
	if f.broken.Load() {
		return errFull
	}
	return f.File.Sync()
}

func (f failingFile) SyncData() error { return f.Sync() }

// TestFullDisk: while nothing can be written the store says so at once and keeps the newest of each record in hand;
// once there is room it catches up by itself, and what it then holds outlasts a cut.
func TestFullDisk(t *testing.T) {
	mem, broken := vfs.NewCrashableMem(), atomic.Bool{}
	told := make(chan string, 8)
	s, err := Open(Options{Directory: "store", FS: failing{mem, &broken}, OnHealthChange: func(failing bool, err error) { told <- fmt.Sprint(failing, " ", err) }})
	if err != nil {
		t.Fatal(err)
	}
	put(t, s, Change{"k/1", 1}, Change{"k/2", 1})
	broken.Store(true)
	for n := 2; n < 50; n++ {
		done := make(chan error, 1)
		if err := s.Put([]Change{{"k/1", n}, {fmt.Sprint("k/", n), n}}, func(err error) { done <- err }); err != nil {
			t.Fatal(err)
		}
		if err := <-done; err == nil {
			t.Fatal("kept on a full disk")
		}
	}
	if got := <-told; !strings.HasPrefix(got, "true ") || !strings.Contains(got, "no space left") {
		t.Errorf("told %q", got)
	}
	if f := s.Statistics(); f.Behind != 49 {
		t.Errorf("%d records in hand", f.Behind)
	}
	broken.Store(false)
	if got := <-told; got != "false <nil>" {
		t.Errorf("told %q", got)
	}
	s = mustOpen(t, mem.CrashClone(vfs.CrashCloneCfg{}))
	defer s.Close()
	if got, damage, err := content(s); err != nil || len(damage) > 0 || len(got) != 49 || got["k/1"] != 49 || got["k/49"] != 49 {
		t.Errorf("%d records, k/1 %d (%v, %v)", len(got), got["k/1"], damage, err)
	}
}

// TestOtherTroubles: two processes, a newer format, an older one, a record in another's place, a backup while it is
// written.
func TestOtherTroubles(t *testing.T) {
	fs := vfs.NewCrashableMem()
	s := mustOpen(t, fs)
	put(t, s, Change{"k/1", 1}, Change{"k/2", 2})
	var busy *BusyError
	if _, err := Open(Options{Directory: "store", FS: fs}); !errors.As(err, &busy) {
		t.Errorf("a second opening: %v", err)
	}
	if err := s.Put([]Change{{"k/3", func() {}}}, nil); err == nil || !strings.Contains(err.Error(), "k/3") {
		t.Error(err)
	}
	if err := s.Backup("copy"); err != nil {
		t.Fatal(err)
	}
	put(t, s, Change{"k/1", 5})
	copied, err := Open(Options{Directory: "copy", FS: fs, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	if got, _, err := content(copied); err != nil || !maps.Equal(got, map[string]int{"k/1": 1, "k/2": 2}) {
		t.Errorf("the copy holds %v (%v)", got, err)
	}
	_ = copied.Close()
	if err := s.Backup("copy"); err == nil {
		t.Error("a backup over a backup")
	}
	// k/2's record in the place of k/1
	raw, closer, err := s.db.Get([]byte("k/2"))
	if err != nil {
		t.Fatal(err)
	}
	_ = s.db.Set([]byte("k/1"), raw, pebble.Sync)
	_ = closer.Close()
	if got, damage, err := content(s); err != nil || len(damage) != 1 || damage[0].Key != "k/1" || len(got) != 1 {
		t.Errorf("%v, %v, %v", got, damage, err)
	}
	_ = s.db.Set([]byte("k/1"), []byte("7"), pebble.Sync) // as format 1 had it
	_ = s.db.Set([]byte("k/2"), []byte("8"), pebble.Sync)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	overwrite(t, fs, "store/FORMAT", []byte("cressknot store 1\n"))
	s = mustOpen(t, fs)
	if got, damage, err := content(s); err != nil || len(damage) > 0 || !maps.Equal(got, map[string]int{"k/1": 7, "k/2": 8}) {
		t.Errorf("from format 1: %v, %v, %v", got, damage, err)
	}
	_ = s.Close()
	overwrite(t, fs, "store/FORMAT", []byte("cressknot store 9\n"))
	before, _ := fs.List("store")
	var newer *NewerError
	if _, err := Open(Options{Directory: "store", FS: fs}); !errors.As(err, &newer) || newer.Format != 9 {
		t.Errorf("a newer format: %v", err)
	}
	if after, _ := fs.List("store"); len(after) != len(before) {
		t.Error("a folder of a newer format was touched")
	}
}

func BenchmarkCommit(b *testing.B) {
	for _, group := range []bool{false, true} {
		b.Run(fmt.Sprint("group=", group), func(b *testing.B) {
			s, err := Open(Options{Directory: b.TempDir()})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			b.ResetTimer()
			done := make(chan error, b.N)
			for i := range b.N {
				_ = s.Put([]Change{{fmt.Sprint("k/", i%1000), i}}, func(err error) { done <- err })
				if !group {
					<-done
				}
			}
			for group && len(done) < b.N {
				if err := <-done; err != nil {
					b.Fatal(err)
				}
				b.N--
			}
			f := s.Statistics()
			b.ReportMetric(float64(f.Written)/float64(max(1, f.Bytes)), "write-amplification")
		})
	}
}
