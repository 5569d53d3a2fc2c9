package fakes

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fsnotify/fsnotify"

	"cressknot/internal/haproxyapi"
	"cressknot/internal/transport/files"
)

// filesState is what a proxy on the files front keeps besides its tables.
type filesState struct {
	stop chan struct{}
	done sync.WaitGroup
	ack  files.Ack
	mute bool // never acknowledges
}

// Mute lets it acknowledge nothing, or again.
func (p *Proxy) Mute(mute bool) {
	p.mu.Lock()
	p.files.mute = mute
	p.mu.Unlock()
}

// follow goes by the files of its folder until Down.
func (p *Proxy) follow() error {
	if err := os.MkdirAll(p.Folder, 0o755); err != nil {
		return fmt.Errorf("proxy %s: %w", p.Name, err)
	}
	w, err := fsnotify.NewWatcher()
	if err == nil {
		err = w.Add(p.Folder)
	}
	if err != nil {
		return fmt.Errorf("proxy %s: %w", p.Name, err)
	}
	p.mu.Lock()
	stop := make(chan struct{})
	p.files.stop = stop
	p.files.ack = files.Ack{Proxy: p.Name, Started: strconv.FormatInt(p.started.UnixNano(), 10)}
	p.mu.Unlock()
	p.acknowledge() // its standing tables: files of before its start are not read
	p.watch.Joined(p.Name)
	p.files.done.Add(1)
	go func() {
		defer p.files.done.Done()
		defer func() { _ = w.Close() }()
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case e := <-w.Events:
				switch filepath.Base(e.Name) {
				case files.TablesFile:
					p.readTables()
				case files.AdmissionFile:
					p.readLevels()
				}
			case <-tick.C:
				p.writeCounters()
			}
		}
	}()
	return nil
}

func (p *Proxy) unfollow() {
	close(p.files.stop)
	p.files.done.Wait()
	p.watch.Parted(p.Name)
}

// readTables takes a new tables' file whole, or keeps what it holds and tells why.
func (p *Proxy) readTables() {
	text, err := os.ReadFile(filepath.Join(p.Folder, files.TablesFile))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var t files.Tables
	if err == nil {
		t, err = files.DecodeTables(text)
	}
	p.mu.Lock()
	if err != nil {
		p.files.ack.Error = err.Error()
		p.mu.Unlock()
		p.acknowledge()
		return
	}
	if t.Version == p.files.ack.Tables && p.files.ack.Error == "" {
		p.mu.Unlock()
		return
	}
	touched := map[string]bool{}
	for backend, ends := range t.Backends {
		if _, known := p.totals[backend]; !known {
			continue
		}
		named := map[string]files.Endpoint{}
		for _, e := range ends {
			named[e.Name] = e
		}
		p.backends[backend] = slices.DeleteFunc(p.backends[backend], func(l *line) bool {
			_, stays := named[l.name]
			touched[l.name] = touched[l.name] || !stays
			return !stays
		})
		for _, e := range ends {
			admin := map[string]uint64{"DRAINING": haproxyapi.AdminDrain, "UNHEALTHY": haproxyapi.AdminMaint}[e.Health]
			l, _ := p.find(backend + "/" + e.Name)
			if l == nil {
				p.add(backend, e.Name, e.Addr, e.Weight, admin)
				touched[e.Name] = true
			} else if l.weight != e.Weight || l.admin != admin || l.addr != e.Addr {
				l.weight, l.admin, l.addr = e.Weight, admin, e.Addr
				touched[e.Name] = true
			}
		}
	}
	p.files.ack.Tables, p.files.ack.Error = t.Version, ""
	lines := 0
	for _, is := range touched {
		if is {
			lines++
		}
	}
	p.stall = time.Now().Add(time.Duration(lines) * p.LineDelay)
	slow := p.slowRead
	p.look()
	p.mu.Unlock()
	p.watch.Message(p.Name, lines)
	time.Sleep(slow)
	p.acknowledge()
}

func (p *Proxy) readLevels() {
	text, err := os.ReadFile(filepath.Join(p.Folder, files.AdmissionFile))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var admissions files.Admissions
	if err == nil {
		admissions, err = files.DecodeAdmissions(text)
	}
	p.mu.Lock()
	if err != nil {
		p.files.ack.Error = err.Error()
	} else {
		p.files.ack.Admissions, p.files.ack.Error = admissions.Version, ""
		for k, v := range admissions.Values {
			p.levels[k] = strconv.Itoa(v)
		}
		for class, stamp := range admissions.Stamps {
			p.levels[class+".version"] = stamp
		}
	}
	p.mu.Unlock()
	p.acknowledge()
}

// acknowledge tells what it holds.
func (p *Proxy) acknowledge() {
	p.mu.Lock()
	ack, mute := p.files.ack, p.files.mute
	held := files.Tables{Version: ack.Tables, Backends: map[string][]files.Endpoint{}}
	for _, c := range p.Classes {
		ends := []files.Endpoint{}
		for _, l := range p.backends[c.Backend] {
			if _, _, err := net.SplitHostPort(l.addr); err == nil && l.weight > 0 {
				health := map[uint64]string{0: "HEALTHY", haproxyapi.AdminDrain: "DRAINING", haproxyapi.AdminMaint: "UNHEALTHY"}[l.admin]
				ends = append(ends, files.Endpoint{Name: l.name, Addr: l.addr, Health: health, Weight: l.weight})
			}
		}
		held.Backends[c.Backend] = ends
	}
	p.mu.Unlock()
	if mute {
		return
	}
	if text, err := files.EncodeTables(held); err == nil {
		_ = files.ReplaceFile(filepath.Join(p.Folder, files.CurrentTablesFile), text)
	}
	_ = files.ReplaceFile(filepath.Join(p.Folder, files.AckFile), fmt.Appendf(nil, `{"proxy": %q, "started": %q, "tables": %q, "levels": %q, "error": %q}`+"\n",
		ack.Proxy, ack.Started, ack.Tables, ack.Admissions, ack.Error))
}

// writeCounters writes what it counted.
func (p *Proxy) writeCounters() {
	p.mu.Lock()
	stat := p.shown("stat", p.stat())
	nodes := fmt.Appendf(nil, "# table: nodes, type: string, size:10240, used:%d\n", len(p.tracks))
	for i, name := range p.tracks {
		nodes = haproxyapi.AppendTracked(nodes, i+1, p.tracked[name])
	}
	nodes = p.shown("table", nodes)
	p.mu.Unlock()
	_ = files.ReplaceFile(filepath.Join(p.Folder, files.ServersFile), nodes)
	_ = files.ReplaceFile(filepath.Join(p.Folder, files.StatFile), stat)
}
