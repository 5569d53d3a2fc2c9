package store

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
)

// TestAcknowledgedCommitsSurvivePowerLoss cuts the power at a random moment of 150 runs, with unsynced blocks lost
// by chance: all acknowledged commits are there, and the content is the complete state after some commit. The run
// goes on with what is left and is cut again.
func TestAcknowledgedCommitsSurvivePowerLoss(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 2))
		fs := vfs.NewCrashableMem()
		changes, states := commitSequence(seed, 30)
		committed := 0
		for cut := 0; committed < len(changes) && cut < 4; cut++ {
			s := mustOpen(t, fs)
			for range rng.IntN(12) {
				if committed < len(changes) {
					mustPut(t, s, changes[committed]...)
					committed++
				}
			}
			if committed < len(changes) { // in flight when the power goes
				if err := s.Put(changes[committed], nil); err != nil {
					t.Fatal(err)
				}
			}
			if rng.IntN(3) == 0 {
				if err := s.Compact(); err != nil {
					t.Fatal(err)
				}
			}
			remaining := fs.CrashClone(vfs.CrashCloneCfg{
				UnsyncedDataPercent: rng.IntN(101),
				RNG:                 rand.New(rand.NewPCG(seed, 3)),
			})
			mustClose(t, s)
			fs = remaining
			s = mustOpen(t, fs)
			got, corruptions, err := readAll(s)
			at := latestMatch(got, states[:min(committed+2, len(states))], committed)
			if err != nil || len(corruptions) > 0 || at < 0 {
				t.Fatalf("seed %d, power cut %d: read %v after %d commits (corrupt records %v, error %v)",
					seed, cut, got, committed, corruptions, err)
			}
			committed = at
			mustClose(t, s)
		}
	}
}

// writeHook calls a function before each operation that writes.
type writeHook struct{ before func() }

func (h writeHook) MaybeError(op errorfs.Op) error {
	if op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
		h.before()
	}
	return nil
}

func (h writeHook) String() string { return "write hook" }

// powerLoss is the state of a disk after the power was cut.
type powerLoss struct {
	fs *vfs.MemFS
	// committedBefore and committedAfter count commits around the cut: the library writes beside the test.
	committedBefore, committedAfter int
}

// powerLossAtEachWrite runs commits with flushes and compactions, and returns the disks that are left if the power
// is cut before each operation, with unsynced blocks lost all, in part or not at all.
func powerLossAtEachWrite(t *testing.T, changes [][]Change) []powerLoss {
	t.Helper()
	disk := vfs.NewCrashableMem()
	var mu sync.Mutex
	var losses []powerLoss
	var committed atomic.Int64
	s := mustOpen(t, errorfs.Wrap(disk, writeHook{func() {
		mu.Lock()
		defer mu.Unlock()
		before := int(committed.Load())
		for _, percent := range []int{0, 50, 100} {
			remaining := disk.CrashClone(vfs.CrashCloneCfg{
				UnsyncedDataPercent: percent,
				RNG:                 rand.New(rand.NewPCG(uint64(len(losses)), 4)),
			})
			losses = append(losses, powerLoss{remaining, before, int(committed.Load())})
		}
	}}))
	for i, commit := range changes {
		mustPut(t, s, commit...)
		committed.Store(int64(i + 1))
		if i%6 == 5 {
			if err := s.Compact(); err != nil {
				t.Fatal(err)
			}
		}
	}
	mustClose(t, s)
	return losses
}

// TestPowerLossAtEachWriteLosesNoCommit checks that whichever single write the power is cut before, all
// acknowledged commits are there, completely.
func TestPowerLossAtEachWriteLosesNoCommit(t *testing.T) {
	changes, states := commitSequence(5, 24)
	duringCreation, afterCreation := 0, 0
	for i, loss := range powerLossAtEachWrite(t, changes) {
		s, err := Open(Options{Directory: testDirectory, FS: loss.fs})
		if err != nil {
			if loss.committedBefore == 0 { // the directory itself was being created
				duringCreation++
				continue
			}
			t.Fatalf("power cut %d after %d commits: %v", i, loss.committedBefore, err)
		}
		got, corruptions, err := readAll(s)
		at := latestMatch(got, states[:min(loss.committedAfter+2, len(states))], loss.committedBefore)
		if err != nil || len(corruptions) > 0 || at < 0 {
			t.Fatalf("power cut %d: read %v after %d commits (corrupt records %v, error %v)",
				i, got, loss.committedBefore, corruptions, err)
		}
		mustClose(t, s)
		afterCreation++
	}
	t.Logf("%d power cuts after the creation of the store, %d during it", afterCreation, duringCreation)
	if afterCreation < 300 {
		t.Errorf("%d power cuts after the creation of the store, want 300", afterCreation)
	}
}
