package store

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
)

var errDiskFull = errors.New("no space left on device")

// fullDisk is a file system whose writes fail while full is set.
type fullDisk struct {
	vfs.FS
	full *atomic.Bool
}

// fullDiskFile is a file of a fullDisk.
type fullDiskFile struct {
	vfs.File
	full *atomic.Bool
}

func (d fullDisk) wrap(file vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return fullDiskFile{file, d.full}, nil
}

func (d fullDisk) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	if d.full.Load() {
		return nil, errDiskFull
	}
	return d.wrap(d.FS.Create(name, category))
}

func (d fullDisk) ReuseForWrite(old, name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	if d.full.Load() {
		return nil, errDiskFull
	}
	return d.wrap(d.FS.ReuseForWrite(old, name, category))
}

func (f fullDiskFile) Write(p []byte) (int, error) {
	if f.full.Load() {
		return 0, errDiskFull
	}
	return f.File.Write(p)
}

func (f fullDiskFile) Sync() error {
	if f.full.Load() {
		return errDiskFull
	}
	return f.File.Sync()
}

func (f fullDiskFile) SyncData() error { return f.Sync() }

// TestStoreCatchesUpAfterFullDisk checks that while the disk is full the store reports each failure at once and keeps
// the newest change of each record pending, and that it writes them durably by itself once there is space.
func TestStoreCatchesUpAfterFullDisk(t *testing.T) {
	disk := vfs.NewCrashableMem()
	full := atomic.Bool{}
	health := make(chan string, 8)
	s, err := Open(Options{
		Directory:      testDirectory,
		FS:             fullDisk{disk, &full},
		OnHealthChange: func(failing bool, err error) { health <- fmt.Sprint(failing, " ", err) },
	})
	if err != nil {
		t.Fatal(err)
	}
	mustPut(t, s, Change{"k/1", 1}, Change{"k/2", 1})
	full.Store(true)
	for n := 2; n < 50; n++ {
		done := make(chan error, 1)
		err := s.Put([]Change{{"k/1", n}, {fmt.Sprint("k/", n), n}}, func(err error) { done <- err })
		if err != nil {
			t.Fatal(err)
		}
		if err := <-done; err == nil {
			t.Fatal("changes were reported as persisted on a full disk")
		}
	}
	if got := <-health; !strings.HasPrefix(got, "true ") || !strings.Contains(got, "no space left") {
		t.Errorf("health %q, want a failure for lack of space", got)
	}
	if statistics := s.Statistics(); statistics.Pending != 49 {
		t.Errorf("%d records pending, want 49", statistics.Pending)
	}
	full.Store(false)
	if got := <-health; got != "false <nil>" {
		t.Errorf("health %q, want recovery", got)
	}
	s = mustOpen(t, disk.CrashClone(vfs.CrashCloneCfg{}))
	defer mustClose(t, s)
	got, corruptions, err := readAll(s)
	if err != nil || len(corruptions) > 0 || len(got) != 49 || got["k/1"] != 49 || got["k/49"] != 49 {
		t.Errorf("%d records, k/1=%d (corrupt records %v, error %v)", len(got), got["k/1"], corruptions, err)
	}
}
