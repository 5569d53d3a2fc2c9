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
	"time"

	"cressknot/internal/controller"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/testing/fakes"
	"cressknot/internal/testing/invariants"
	"cressknot/internal/transport"
	"cressknot/internal/transport/files"
)

// memoryDir gives a folder in memory where the machine has one: syncing a file may take seconds on a disk that builds
// write to, and these tests are not about that.
func memoryDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("/dev/shm", "files")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// newFolders is a yard whose proxies go by files.
func newFolders(t *testing.T, proxies, servers int) *yard {
	t.Helper()
	y := &yard{t: t, names: controller.NewNames(), watch: invariants.NewWatch(), dir: memoryDir(t), start: time.Now()}
	for i := range proxies {
		name := fmt.Sprintf("p%d", i)
		p := fakes.NewProxy(fakes.ProxySetup{Name: name, Map: "cressknot", Folder: filepath.Join(y.dir, name),
			Classes: []fakes.ProxyClass{{Name: backend, Backend: backend, HardStop: time.Second}}}, standing(min(3, servers)), y.watch, 1)
		if err := p.Up(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Down)
		y.proxies = append(y.proxies, p)
		y.to = append(y.to, transport.Proxy{ID: fleet.ProxyID(i), Name: name, Addr: p.Folder})
	}
	return y
}

// govern starts over with a new plane and front, as a governor's process does.
func (y *yard) govern(servers int, fault func(string, int) error) {
	y.t.Helper()
	y.plane, y.events = reconcile.New(testSite()), make(chan transport.Event, 1<<16)
	y.streams, y.why, y.joins = map[fleet.ProxyID]uint64{}, map[fleet.ProxyID]string{}, map[fleet.ProxyID]int{}
	y.plane.SetEpoch(uint64(time.Now().UnixNano()), func(id fleet.ServerID) string { name, _ := y.names.Of(id); return name })
	l := fleet.EndpointList{Scope: fleet.ListFull}
	for _, e := range standing(servers) {
		id, _ := y.names.Listed(e.Name, e.Addr)
		l.Endpoints = append(l.Endpoints, fleet.Endpoint{Server: id})
	}
	y.plane.SetEndpoints(1, l)
	y.begin(files.New(files.Options{Proxies: y.to, Classes: []transport.Class{{Name: backend, Backend: backend}},
		Admission: fleet.AdmissionFraction, Names: y.names, Fault: fault}))
	y.until("joined", y.allJoined)
}

// TestSwapCutAtEveryStep: a kill at any step of any swap leaves a whole file in place, old or new; the governor that
// starts after it reads back what the proxy holds, tidies up and ends on what is wanted.
func TestSwapCutAtEveryStep(t *testing.T) {
	const servers = 6
	for step := range 5 {
		for nth := range 3 { // of the swaps: tables, levels, tables again
			y := newFolders(t, 1, servers)
			var mu sync.Mutex // swaps are tried again from a timer
			swaps, dead := 0, false
			y.govern(servers, func(_ string, s int) error {
				mu.Lock()
				defer mu.Unlock()
				if s == 0 {
					swaps++
				}
				if dead = dead || swaps > nth && s == step; dead {
					return files.ErrCut
				}
				return nil
			})
			before := y.front
			y.lay(servers)
			y.until("cut", func() bool {
				mu.Lock()
				defer mu.Unlock()
				if swaps == 2 && !dead { // something for a third swap; until sends it with the lock free
					y.plane.Apply(y.now(), []fleet.Order{fleet.SetWeight{Server: 4, Weight: 0.9}})
				}
				return dead
			})
			text, err := os.ReadFile(filepath.Join(y.to[0].Addr, files.TablesFile))
			if err == nil {
				_, err = files.DecodeTables(text)
			}
			if err != nil && !errors.Is(err, os.ErrNotExist) {
				t.Fatalf("step %d of swap %d: %v", step, nth, err)
			}
			_ = before.Stop(cancelled())
			y.govern(servers, nil)
			laid := 0
			y.until(fmt.Sprintf("step %d of swap %d: on what is wanted", step, nth), func() bool {
				if laid < y.joins[0] { // on a slow disk it may join twice; its binding ends with a stream
					laid = y.joins[0]
					y.lay(servers)
				}
				return y.wants(y.proxies[0], servers) && y.plane.Idle()
			})
			left, _ := filepath.Glob(filepath.Join(y.to[0].Addr, files.TablesFile+".*"))
			if len(left) > 0 {
				t.Errorf("step %d: left aside: %v", step, left)
			}
			y.proxies[0].Down()
		}
	}
}

// TestReaderNeverSeesAPart: while tables are swapped again and again, whoever reads finds a whole file.
func TestReaderNeverSeesAPart(t *testing.T) {
	y := newFolders(t, 1, 200)
	y.govern(200, nil)
	y.lay(200)
	y.until("laid", func() bool { return y.wants(y.proxies[0], 200) })
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
				text, err := os.ReadFile(filepath.Join(y.to[0].Addr, files.TablesFile))
				if err == nil {
					_, err = files.DecodeTables(text)
				}
				if err != nil {
					t.Errorf("read a part: %v", err)
					return
				}
				reads.Add(1)
			}
		}()
	}
	for i := range 40 {
		y.plane.Apply(y.now(), []fleet.Order{fleet.SetWeight{Server: fleet.ServerID(i), Weight: 0.95}})
		y.until("swapped", y.plane.Idle)
	}
	close(stop)
	done.Wait()
	if reads.Load() < 40 {
		t.Errorf("only %d reads", reads.Load())
	}
}

// TestFullDiskAndHands: while the disk is full the old files stand and the reason is told; once there is room the proxy
// ends on what is wanted. A file that somebody removes, empties or damages is put back.
func TestFullDiskAndHands(t *testing.T) {
	const servers = 5
	y := newFolders(t, 1, servers)
	var full atomic.Bool
	y.govern(servers, func(string, int) error {
		if full.Load() {
			return syscall.ENOSPC
		}
		return nil
	})
	p, path := y.proxies[0], filepath.Join(y.to[0].Addr, files.TablesFile)
	y.lay(servers)
	y.until("laid", func() bool { return y.wants(p, servers) && y.plane.Idle() })
	full.Store(true)
	y.plane.Apply(y.now(), []fleet.Order{fleet.SetWeight{Server: 2, Weight: 0.31}})
	y.until("told", func() bool { return strings.Contains(y.why[0], "no space left") })
	if held := p.Held(backend, "n2"); held == "" || y.wants(p, servers) {
		t.Errorf("holds %q though nothing could be written", held)
	}
	full.Store(false)
	y.until("written after all", func() bool { return y.wants(p, servers) && y.plane.Idle() })
	for what, harm := range map[string]func() error{
		"removed":   func() error { return os.Remove(path) },
		"emptied":   func() error { return os.WriteFile(path, nil, 0o644) },
		"truncated": func() error { return os.Truncate(path, 100) },
		"replaced":  func() error { return os.WriteFile(path, []byte(`{"version_info": "x", "resources": []}`), 0o644) },
	} {
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := harm(); err != nil {
			t.Fatal(err)
		}
		y.until(what+" and put back", func() bool {
			text, err := os.ReadFile(path)
			return err == nil && string(text) == string(want) && y.wants(p, servers)
		})
	}
}

// TestBrokenOffThoughAcknowledged: a stream that is broken off while the proxy goes by all that is in place begins anew.
func TestBrokenOffThoughAcknowledged(t *testing.T) {
	y := newFolders(t, 1, 3)
	y.govern(3, nil)
	y.lay(3)
	y.until("laid", func() bool { return y.wants(y.proxies[0], 3) && y.plane.Idle() })
	y.front.Drop(0)
	y.until("joined again", func() bool { return y.joins[0] == 2 })
}

// TestMuteProxy: one that never acknowledges is given up on, and taken up again when it acknowledges something new.
func TestMuteProxy(t *testing.T) {
	const servers = 4
	y := newFolders(t, 2, servers)
	y.govern(servers, nil)
	y.proxies[0].Mute(true)
	y.lay(servers)
	y.until("the other one is served", func() bool { return y.wants(y.proxies[1], servers) })
	y.until("given up on", func() bool { return len(y.plane.Proxies()) == 1 })
	y.proxies[0].Mute(false)
	y.proxies[0].Down()
	if err := y.proxies[0].Up(); err != nil {
		t.Fatal(err)
	}
	y.until("taken up again", func() bool { return y.joins[0] == 2 })
	y.plane.Apply(y.now(), []fleet.Order{fleet.AssignTable{Proxy: 0}})
	y.until("on what is wanted", func() bool { return y.wants(y.proxies[0], servers) })
}
