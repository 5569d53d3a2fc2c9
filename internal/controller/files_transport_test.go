package controller_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/transport/files"
)

// TestFileSwapCutAtAnyStepConverges kills the controller at each step of each file swap. A complete file, old or new,
// must remain in place, and the next controller must read back what the proxy holds, remove temporary files and reach
// the desired state.
func TestFileSwapCutAtAnyStepConverges(t *testing.T) {
	const servers = 6
	for step := range 5 {
		for nth := range 3 { // the swaps are: tables, admission limits, tables again
			sim := newFileFleet(t, 1, servers)
			var mu sync.Mutex // swaps are retried from a timer
			swaps := 0
			dead := false
			sim.restartController(servers, func(_ string, s int) error {
				mu.Lock()
				defer mu.Unlock()
				if s == 0 {
					swaps++
				}
				dead = dead || swaps > nth && s == step
				if dead {
					return files.ErrSimulatedCrash
				}
				return nil
			})
			before := sim.transport
			sim.applyTable(servers)
			sim.waitUntil("cut", func() bool {
				mu.Lock()
				defer mu.Unlock()
				if swaps == 2 && !dead { // causes a third swap; waitUntil sends it after the lock is released
					sim.reconciler.Apply(sim.now(), []fleet.Order{fleet.SetWeight{Server: 4, Weight: 0.9}})
				}
				return dead
			})
			text, err := os.ReadFile(filepath.Join(sim.addresses[0].Addr, files.TablesFile))
			if err == nil {
				_, err = files.DecodeTables(text)
			}
			if err != nil && !errors.Is(err, os.ErrNotExist) {
				t.Fatalf("step %d of swap %d: %v", step, nth, err)
			}
			_ = before.Stop(cancelledContext())
			sim.restartController(servers, nil)
			connections := 0
			sim.waitUntil(fmt.Sprintf("step %d of swap %d: in the desired state", step, nth), func() bool {
				// On a slow disk the proxy may connect twice, and it needs an assignment on each stream.
				if connections < sim.joins[0] {
					connections = sim.joins[0]
					sim.applyTable(servers)
				}
				return sim.hasTable(sim.proxies[0], servers) && sim.reconciler.Idle()
			})
			left, _ := filepath.Glob(filepath.Join(sim.addresses[0].Addr, files.TablesFile+".*"))
			if len(left) > 0 {
				t.Errorf("step %d: temporary files were not removed: %v", step, left)
			}
			sim.proxies[0].Stop()
		}
	}
}

// TestReaderNeverSeesPartialFile swaps tables repeatedly while other goroutines read the file. Each read must find a
// complete file.
func TestReaderNeverSeesPartialFile(t *testing.T) {
	sim := newFileFleet(t, 1, 200)
	sim.restartController(200, nil)
	sim.applyTable(200)
	sim.waitUntil("table applied", func() bool { return sim.hasTable(sim.proxies[0], 200) })
	stop := make(chan struct{})
	var reads atomic.Int64
	var done sync.WaitGroup
	for range 2 {
		done.Add(1)
		go func() {
			defer done.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				text, err := os.ReadFile(filepath.Join(sim.addresses[0].Addr, files.TablesFile))
				if err == nil {
					_, err = files.DecodeTables(text)
				}
				if err != nil {
					t.Errorf("read a partial file: %v", err)
					return
				}
				reads.Add(1)
			}
		}()
	}
	for i := range 40 {
		sim.reconciler.Apply(sim.now(), []fleet.Order{fleet.SetWeight{Server: fleet.ServerID(i), Weight: 0.95}})
		sim.waitUntil("swapped", sim.reconciler.Idle)
	}
	close(stop)
	done.Wait()
	if reads.Load() < 40 {
		t.Errorf("only %d reads, want at least 40", reads.Load())
	}
}

// TestFullDiskAndManualFileChanges fills the disk: the old files must stay and the reason must be reported, and the
// proxy must reach the desired state once there is space. Files that are removed, emptied or damaged by hand must be
// written again.
func TestFullDiskAndManualFileChanges(t *testing.T) {
	const servers = 5
	sim := newFileFleet(t, 1, servers)
	var full atomic.Bool
	sim.restartController(servers, func(string, int) error {
		if full.Load() {
			return syscall.ENOSPC
		}
		return nil
	})
	p := sim.proxies[0]
	path := filepath.Join(sim.addresses[0].Addr, files.TablesFile)
	sim.applyTable(servers)
	sim.waitUntil("table applied", func() bool { return sim.hasTable(p, servers) && sim.reconciler.Idle() })
	full.Store(true)
	sim.reconciler.Apply(sim.now(), []fleet.Order{fleet.SetWeight{Server: 2, Weight: 0.31}})
	sim.waitUntil("reported", func() bool { return strings.Contains(sim.lastErrors[0], "no space left") })
	if held := p.EntryState(backend, "n2"); held == "" || sim.hasTable(p, servers) {
		t.Errorf("entry n2 is %q while the disk is full, want the old value", held)
	}
	full.Store(false)
	sim.waitUntil("written once there is space", func() bool { return sim.hasTable(p, servers) && sim.reconciler.Idle() })
	for what, damage := range map[string]func() error{
		"removed":   func() error { return os.Remove(path) },
		"emptied":   func() error { return os.WriteFile(path, nil, 0o644) },
		"truncated": func() error { return os.Truncate(path, 100) },
		"replaced":  func() error { return os.WriteFile(path, []byte(`{"version_info": "x", "resources": []}`), 0o644) },
	} {
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := damage(); err != nil {
			t.Fatal(err)
		}
		sim.waitUntil(what+" and written again", func() bool {
			text, err := os.ReadFile(path)
			return err == nil && string(text) == string(want) && sim.hasTable(p, servers)
		})
	}
}

// TestDroppedStreamReconnectsWhileAcknowledged checks that a stream connects again if it was dropped while the proxy
// had acknowledged all files.
func TestDroppedStreamReconnectsWhileAcknowledged(t *testing.T) {
	sim := newFileFleet(t, 1, 3)
	sim.restartController(3, nil)
	sim.applyTable(3)
	sim.waitUntil("table applied", func() bool { return sim.hasTable(sim.proxies[0], 3) && sim.reconciler.Idle() })
	sim.transport.Drop(0)
	sim.waitUntil("connected again", func() bool { return sim.joins[0] == 2 })
}

// TestSilentProxyIsDroppedAndTakenUpAgain checks that a proxy that does not acknowledge is dropped, and connects again
// when it acknowledges something new.
func TestSilentProxyIsDroppedAndTakenUpAgain(t *testing.T) {
	const servers = 4
	sim := newFileFleet(t, 2, servers)
	sim.restartController(servers, nil)
	sim.proxies[0].StopAcknowledging(true)
	sim.applyTable(servers)
	sim.waitUntil("the other proxy is served", func() bool { return sim.hasTable(sim.proxies[1], servers) })
	sim.waitUntil("dropped", func() bool { return len(sim.reconciler.Proxies()) == 1 })
	sim.proxies[0].StopAcknowledging(false)
	sim.proxies[0].Stop()
	if err := sim.proxies[0].Start(); err != nil {
		t.Fatal(err)
	}
	sim.waitUntil("connected again", func() bool { return sim.joins[0] == 2 })
	sim.reconciler.Apply(sim.now(), []fleet.Order{fleet.AssignTable{Proxy: 0}})
	sim.waitUntil("in the desired state", func() bool { return sim.hasTable(sim.proxies[0], servers) })
}
