package store

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
)

// TestAcknowledgedCommitsSurvivePowerLoss simulates power losses at random moments of 150 runs, with a random part of
// the unsynced blocks lost. All acknowledged commits must survive, and the records must be the complete state after
// one commit. Each run continues with the remaining state up to the next power loss.
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
			if committed < len(changes) { // in flight at the power loss
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

// powerLoss is the state of a disk after a power loss.
type powerLoss struct {
	fs *vfs.MemFS
	// committedBefore and committedAfter are the numbers of commits before and after the copy of the disk was made,
	// because the library also writes in the background.
	committedBefore, committedAfter int
}

// powerLossAtEachWrite runs commits, flushes and compactions, and returns the states of the disk after a power loss
// before each write operation, with all, some or none of the unsynced blocks lost.
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

// TestPowerLossAtEachWriteLosesNoCommit checks that all acknowledged commits survive completely, whichever write the
// power loss precedes.
func TestPowerLossAtEachWriteLosesNoCommit(t *testing.T) {
	changes, states := commitSequence(5, 24)
	duringCreation, afterCreation := 0, 0
	for i, loss := range powerLossAtEachWrite(t, changes) {
		s, err := Open(Options{Directory: testDirectory, FS: loss.fs})
		if err != nil {
			if loss.committedBefore == 0 { // power loss while the store was being created
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
