package files

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"time"

	"cressknot/internal/haproxyapi"
	"cressknot/internal/ingest/counters"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

var stateByHealth = map[string]reconcile.State{
	healthReady:       reconcile.StateReady,
	healthDraining:    reconcile.StateDrain,
	healthMaintenance: reconcile.StateMaintenance,
}

// handleFileChange handles a change of a file.
func (f *folder) handleFileChange(name string) {
	if f.transport.ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	var events []transport.Event
	var err error
	switch name {
	case AckFile:
		events, err = f.handleAck()
	case StatFile:
		events, err = f.handleCountersFile()
	case TablesFile, AdmissionFile:
		f.restore(name)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		events = append(events, transport.Unreachable{Proxy: f.proxy.ID, Err: err})
	}
	f.mu.Unlock()
	for _, event := range events {
		f.transport.sink(event)
	}
}

// handleAck handles the proxy's acknowledgement.
func (f *folder) handleAck() ([]transport.Event, error) {
	text, err := readFile(filepath.Join(f.path, AckFile))
	if err != nil {
		return nil, err
	}
	ack, err := DecodeAck(text)
	if err != nil {
		return nil, err
	}
	if ack.Proxy != f.proxy.Name {
		return nil, fmt.Errorf("%s: proxy reports the name %.40q", filepath.Join(f.path, AckFile), ack.Proxy)
	}
	f.lastSeen = time.Now()
	var events []transport.Event
	if f.connected && ack.Started != f.connectedRun {
		f.connected = false
		restarted := errors.New("proxy restarted")
		events = append(events, transport.Disconnected{Proxy: f.proxy.ID, Stream: f.stream, Err: restarted})
	}
	if !f.connected {
		if string(text) == f.ackAtDisconnect && !f.usesCurrentFiles(ack) {
			return events, nil
		}
		return append(events, f.connect(ack)), nil
	}
	if ack.Error != "" { // the proxy could not accept a file: write both again
		events = append(events, transport.Unreachable{Proxy: f.proxy.ID, Err: errors.New(ack.Error)})
		f.lastWritten[TablesFile] = nil
		f.lastWritten[AdmissionFile] = nil
		f.dirty = true
		f.write()
	}
	return append(events, f.acknowledge(ack)...), nil
}

// acknowledge returns the answers of the messages that an acknowledgement covers.
func (f *folder) acknowledge(ack Ack) []transport.Event {
	var events []transport.Event
	tables := f.transport.parseVersion(ack.Tables)
	admissions := f.transport.parseVersion(ack.Admissions)
	for len(f.unacknowledged) > 0 {
		oldest := f.unacknowledged[0]
		if oldest.tablesVersion > tables || oldest.admissionVersion > admissions {
			break
		}
		events = append(events, transport.Answered{
			Proxy:    f.proxy.ID,
			Stream:   f.stream,
			Sequence: oldest.sequence,
		})
		f.unacknowledged = f.unacknowledged[1:]
	}
	return events
}

// usesCurrentFiles reports whether a proxy uses the files that are in the folder. A stream that was dropped, say
// because a disk was slow, begins again then, though the acknowledgement has not changed.
func (f *folder) usesCurrentFiles(ack Ack) bool {
	text, err := readFile(filepath.Join(f.path, TablesFile))
	if err != nil {
		return false
	}
	tables, err := DecodeTables(text)
	if err != nil || tables.Version != ack.Tables {
		return false
	}
	text, err = readFile(filepath.Join(f.path, AdmissionFile))
	if err != nil {
		return errors.Is(err, fs.ErrNotExist)
	}
	admissions, err := DecodeAdmissions(text)
	return err == nil && admissions.Version == ack.Admissions
}

// connect begins a stream. The proxy has what the files say, if it acknowledges those versions.
func (f *folder) connect(ack Ack) transport.Event {
	classes := f.transport.options.Classes
	f.stream++
	f.connected = true
	f.connectedRun = ack.Started
	f.ackAtDisconnect = ""
	f.unacknowledged = nil
	f.polling = false
	f.tables = map[string]map[string]Endpoint{}
	f.published = map[string]bool{}
	f.admissions = map[string]int{}
	f.versionStamps = map[string]string{}
	f.lastWritten = map[string][]byte{}
	for _, class := range classes {
		f.tables[class.Backend] = map[string]Endpoint{}
	}
	snapshot := reconcile.Snapshot{
		Zone:        f.proxy.Zone,
		RequestRate: f.proxy.RequestRate,
		Fresh:       ack.Tables == "",
		Admissions:  make([]reconcile.Admission, len(classes)),
	}
	f.readCurrentTables(ack, &snapshot)
	f.readCurrentAdmissions(ack, &snapshot)
	return transport.Connected{Proxy: f.proxy.ID, Stream: f.stream, Snapshot: snapshot}
}

// readCurrentTables takes over the proxy's tables. Where they can't be read or are of another version, all is sent
// anew.
func (f *folder) readCurrentTables(ack Ack, snapshot *reconcile.Snapshot) {
	text, err := readFile(filepath.Join(f.path, CurrentTablesFile))
	if err != nil {
		return
	}
	current, err := DecodeTables(text)
	if err != nil || current.Version != ack.Tables {
		return
	}
	for backend, entries := range current.Backends {
		class, known := f.transport.classByBackend[backend]
		if !known {
			continue
		}
		f.published[backend] = ack.Tables != ""
		for _, entry := range entries {
			f.tables[backend][entry.Name] = entry
			snapshot.Entries = append(snapshot.Entries, reconcile.SnapshotEntry{
				Class:  class,
				Server: f.transport.options.Names.Learn(entry.Name, entry.Addr),
				State: reconcile.EntryState{
					Present: true,
					Weight:  int16(min(entry.Weight, haproxyapi.MaxWeight)),
					State:   stateByHealth[entry.Health],
				},
			})
		}
	}
}

// readCurrentAdmissions takes over the admission limits if the proxy uses those of the file.
func (f *folder) readCurrentAdmissions(ack Ack, snapshot *reconcile.Snapshot) {
	text, err := readFile(filepath.Join(f.path, AdmissionFile))
	if err != nil {
		return
	}
	current, err := DecodeAdmissions(text)
	if err != nil || current.Version != ack.Admissions {
		return
	}
	f.admissions = current.Values
	f.versionStamps = current.Stamps
	for i, class := range f.transport.options.Classes {
		snapshot.VersionStamps = append(snapshot.VersionStamps, current.Stamps[class.Name])
		snapshot.Admissions[i] = f.admission(class.Name, current.Values)
	}
}

// handleCountersFile handles new counters. They show that the proxy runs, and its acknowledgement may match the files by now.
func (f *folder) handleCountersFile() ([]transport.Event, error) {
	var events []transport.Event
	var err error
	f.lastSeen = time.Now()
	if !f.connected {
		events, err = f.handleAck()
	}
	if !f.connected || !f.polling {
		return events, err
	}
	f.polling = false
	polled, err := f.readCounters()
	if err != nil {
		return events, err
	}
	return append(events, polled), nil
}

func (f *folder) readCounters() (transport.Event, error) {
	options := &f.transport.options
	text, err := readFile(filepath.Join(f.path, StatFile))
	if err != nil {
		return nil, err
	}
	reading, err := counters.ParseCounters(text, f.transport.classByBackend, len(options.Classes), options.Names.Server)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", StatFile, err)
	}
	reading.Entries = nil // they may be older than what was acknowledged; the files are watched themselves
	text, err = readFile(filepath.Join(f.path, ServersFile))
	if err == nil {
		if err := reading.AddTracked(text, options.Names.Server); err != nil {
			return nil, fmt.Errorf("%s: %w", ServersFile, err)
		}
	}
	return transport.CountersPolled{Proxy: f.proxy.ID, Stream: f.stream, Reading: reading}, nil
}
