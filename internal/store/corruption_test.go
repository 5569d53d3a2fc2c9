package store

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// copyStore copies a store to a new file system.
func copyStore(t testing.TB, fs *vfs.MemFS) *vfs.MemFS {
	t.Helper()
	clone := vfs.NewCrashableMem()
	if ok, err := vfs.Clone(fs, clone, testDirectory, testDirectory); err != nil || !ok {
		t.Fatal(ok, err)
	}
	return clone
}

// newStoreDisk returns the disk of a store after all commits. With flushed, the first commits are in a table file and
// the others in the log; otherwise all are in the log.
func newStoreDisk(t *testing.T, changes [][]Change, flushed bool) *vfs.MemFS {
	t.Helper()
	fs := vfs.NewCrashableMem()
	s := mustOpen(t, fs)
	for i, commit := range changes {
		mustPut(t, s, commit...)
		if flushed && i == 25 {
			if err := s.db.Flush(); err != nil {
				t.Fatal(err)
			}
		}
	}
	clone := fs.CrashClone(vfs.CrashCloneCfg{})
	mustClose(t, s)
	return clone
}

// damageResults counts the outcomes of opening and reading damaged stores.
type damageResults struct {
	t        *testing.T
	states   []map[string]int // committed states, oldest first
	cases    int
	reported int // the damage was reported
	complete int // the newest state was read
}

// check opens and reads a damaged store, which must yield a committed state or report the damage.
func (c *damageResults) check(name string, fs vfs.FS) {
	c.cases++
	s, err := Open(Options{Directory: testDirectory, FS: fs})
	if err != nil {
		c.reported++
		if !strings.HasPrefix(err.Error(), "store store: ") {
			c.t.Errorf("%s: %v", name, err)
		}
		return
	}
	got, corruptions, err := readAll(s)
	at := latestMatch(got, c.states, 0)
	if err == nil && len(corruptions) == 0 && at < 0 {
		c.t.Errorf("%s: read a state that was never committed: %v", name, got)
	}
	switch {
	case err != nil || len(corruptions) > 0:
		c.reported++
	case at == len(c.states)-1:
		c.complete++
	}
	_ = s.Close() // fails if the damage is only detected then
}

// checkFlipped flips a random bit of a file in 300 copies of a store.
func (c *damageResults) checkFlipped(rng *rand.Rand, fs *vfs.MemFS, file, name string) {
	content := readFile(c.t, fs, file)
	for range 300 {
		damaged := copyStore(c.t, fs)
		flipped := append([]byte(nil), content...)
		at := rng.IntN(len(flipped))
		flipped[at] ^= 1 << rng.IntN(8)
		overwriteFile(c.t, damaged, file, flipped)
		c.check(fmt.Sprint(name, " flipped at ", at), damaged)
	}
}

// TestDamagedFilesYieldNoInventedState truncates the log at each byte, and flips bits in the log and in a table file. A
// store must never return a state that was not committed without reporting the damage.
func TestDamagedFilesYieldNoInventedState(t *testing.T) {
	changes, states := commitSequence(5, 40)
	results := &damageResults{t: t, states: states}

	plain := newStoreDisk(t, changes, false)
	logs, _ := storeFiles(t, plain)
	log := logs[len(logs)-1]
	content := readFile(t, plain, log)
	step := 1
	if testing.Short() { // tests a sample only
		step = 7
	}
	for at := 0; at <= len(content); at += step {
		damaged := copyStore(t, plain)
		overwriteFile(t, damaged, log, content[:at])
		results.check(fmt.Sprint("cut at ", at), damaged)
	}
	rng := rand.New(rand.NewPCG(8, 8))
	results.checkFlipped(rng, plain, log, "log")

	flushed := newStoreDisk(t, changes, true)
	_, tables := storeFiles(t, flushed)
	if len(tables) == 0 {
		t.Fatal("no table file was written")
	}
	results.checkFlipped(rng, flushed, tables[0], "table")

	t.Logf("%d cases: %d with the damage reported, %d complete", results.cases, results.reported, results.complete)
	if results.cases < 900 || results.reported < 100 || results.complete == 0 {
		t.Errorf("%d cases, want 900; %d with the damage reported, want 100; %d complete, want 1",
			results.cases, results.reported, results.complete)
	}
}
