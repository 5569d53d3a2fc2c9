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
	"cressknot/internal/transport"
	"cressknot/internal/transport/files"
)

const (
	folderMode = 0o755
	// countersInterval is the time between two writes of the counters.
	countersInterval = time.Second
	// trackedTableName is the name of the stick table in the file of server counters.
	trackedTableName = "nodes"
)

// Health states of endpoints in the tables file by admin state, and the reverse.
var (
	healthByAdmin = map[uint64]string{
		0:                     "HEALTHY",
		haproxyapi.AdminDrain: "DRAINING",
		haproxyapi.AdminMaint: "UNHEALTHY",
	}
	adminByHealth = map[string]uint64{"DRAINING": haproxyapi.AdminDrain, "UNHEALTHY": haproxyapi.AdminMaint}
)

// fileTransport is the state of a proxy that exchanges files with controllers instead of a runtime socket.
type fileTransport struct {
	stop        chan struct{}
	done        sync.WaitGroup
	ack         files.Ack
	acksStopped bool // writes no acknowledgements
}

// StopAcknowledging stops the writing of acknowledgements and current tables, or with false resumes it. Files are read
// and applied all the same.
func (p *Proxy) StopAcknowledging(stop bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.files.acksStopped = stop
}

// watchFolder applies files that change in the proxy's folder until Stop. Files written before the proxy's start are
// not read until they change.
func (p *Proxy) watchFolder() error {
	if err := os.MkdirAll(p.Folder, folderMode); err != nil {
		return fmt.Errorf("proxy %s: %w", p.Name, err)
	}
	watcher, err := fsnotify.NewWatcher()
	if err == nil {
		err = watcher.Add(p.Folder)
	}
	if err != nil {
		return fmt.Errorf("proxy %s: watch folder %s: %w", p.Name, p.Folder, err)
	}
	stop := make(chan struct{})
	p.mu.Lock()
	p.files.stop = stop
	p.files.ack = files.Ack{Proxy: p.Name, Started: strconv.FormatInt(p.started.UnixNano(), 10)}
	p.mu.Unlock()
	p.acknowledge()
	p.watch.Connected(p.Name)
	p.files.done.Add(1)
	go func() {
		defer p.files.done.Done()
		defer func() { _ = watcher.Close() }()
		p.handleFiles(watcher, stop)
	}()
	return nil
}

func (p *Proxy) handleFiles(watcher *fsnotify.Watcher, stop <-chan struct{}) {
	tick := time.NewTicker(countersInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case event := <-watcher.Events:
			switch filepath.Base(event.Name) {
			case files.TablesFile:
				p.readTables()
			case files.AdmissionFile:
				p.readAdmissions()
			}
		case <-tick.C:
			p.writeCounters()
		}
	}
}

func (p *Proxy) unwatchFolder() {
	close(p.files.stop)
	p.files.done.Wait()
	p.watch.Disconnected(p.Name)
}

// readTables applies a new version of the tables file as a whole. If the file is invalid, it keeps the present tables
// and acknowledges the error.
func (p *Proxy) readTables() {
	text, err := os.ReadFile(filepath.Join(p.Folder, files.TablesFile))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var tables files.Tables
	if err == nil {
		tables, err = files.DecodeTables(text)
	}
	p.mu.Lock()
	if err != nil {
		p.files.ack.Error = err.Error()
		p.mu.Unlock()
		p.acknowledge()
		return
	}
	if tables.Version == p.files.ack.Tables && p.files.ack.Error == "" {
		p.mu.Unlock()
		return
	}
	changed := map[string]bool{}
	for backend, endpoints := range tables.Backends {
		if _, known := p.totals[backend]; known {
			p.replaceBackend(backend, endpoints, changed)
		}
	}
	p.files.ack.Tables = tables.Version
	p.files.ack.Error = ""
	p.stalledUntil = time.Now().Add(time.Duration(len(changed)) * p.EntryDelay)
	delay := p.readDelay
	p.reportUsability()
	p.mu.Unlock()
	p.watch.Message(p.Name, len(changed))
	time.Sleep(delay)
	p.acknowledge()
}

// replaceBackend replaces a backend's entries by the endpoints of a file, and adds the servers that differ to changed.
// Entries that stay keep their counters.
func (p *Proxy) replaceBackend(backend string, endpoints []files.Endpoint, changed map[string]bool) {
	named := map[string]bool{}
	for _, endpoint := range endpoints {
		named[endpoint.Name] = true
	}
	p.backends[backend] = slices.DeleteFunc(p.backends[backend], func(entry *proxyEntry) bool {
		if !named[entry.name] {
			changed[entry.name] = true
		}
		return !named[entry.name]
	})
	for _, endpoint := range endpoints {
		admin := adminByHealth[endpoint.Health]
		entry, _ := p.find(backend + "/" + endpoint.Name)
		switch {
		case entry == nil:
			p.add(backend, endpoint.Name, endpoint.Addr, endpoint.Weight, admin)
		case entry.weight != endpoint.Weight || entry.admin != admin || entry.addr != endpoint.Addr:
			entry.weight = endpoint.Weight
			entry.admin = admin
			entry.addr = endpoint.Addr
		default:
			continue
		}
		changed[endpoint.Name] = true
	}
}

// readAdmissions applies the file of admission limits. If it is invalid, it keeps the present limits and acknowledges
// the error.
func (p *Proxy) readAdmissions() {
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
		p.files.ack.Admissions = admissions.Version
		p.files.ack.Error = ""
		for key, value := range admissions.Values {
			p.mapEntries[key] = strconv.Itoa(value)
		}
		for class, stamp := range admissions.Stamps {
			p.mapEntries[class+transport.VersionKeySuffix] = stamp
		}
	}
	p.mu.Unlock()
	p.acknowledge()
}

// acknowledge writes the present tables, and the versions in use with the last error.
func (p *Proxy) acknowledge() {
	p.mu.Lock()
	ack := p.files.ack
	acksStopped := p.files.acksStopped
	tables := p.currentTables()
	p.mu.Unlock()
	if acksStopped {
		return
	}
	if text, err := files.EncodeTables(tables); err == nil {
		_ = files.ReplaceFile(filepath.Join(p.Folder, files.CurrentTablesFile), text)
	}
	const form = `{"proxy": %q, "started": %q, "tables": %q, "levels": %q, "error": %q}` + "\n"
	text := fmt.Appendf(nil, form, ack.Proxy, ack.Started, ack.Tables, ack.Admissions, ack.Error)
	_ = files.ReplaceFile(filepath.Join(p.Folder, files.AckFile), text)
}

// currentTables returns the entries that the tables file can express: those with an address, a port and a positive
// weight. The caller holds the lock.
func (p *Proxy) currentTables() files.Tables {
	tables := files.Tables{Version: p.files.ack.Tables, Backends: map[string][]files.Endpoint{}}
	for _, class := range p.Classes {
		endpoints := []files.Endpoint{}
		for _, entry := range p.backends[class.Backend] {
			if _, _, err := net.SplitHostPort(entry.addr); err != nil || entry.weight <= 0 {
				continue
			}
			endpoints = append(endpoints, files.Endpoint{
				Name:   entry.name,
				Addr:   entry.addr,
				Health: healthByAdmin[entry.admin],
				Weight: entry.weight,
			})
		}
		tables.Backends[class.Backend] = endpoints
	}
	return tables
}

// writeCounters writes the files of server counters and of statistics.
func (p *Proxy) writeCounters() {
	p.mu.Lock()
	stat := p.delayedOutput("stat", p.stat())
	tracked := p.delayedOutput("table", p.trackedTable(trackedTableName))
	p.mu.Unlock()
	_ = files.ReplaceFile(filepath.Join(p.Folder, files.ServersFile), tracked)
	_ = files.ReplaceFile(filepath.Join(p.Folder, files.StatFile), stat)
}
