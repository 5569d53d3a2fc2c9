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

// handleFileChange processes a change of a file in the folder.
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

// handleAck processes the proxy's acknowledgement.
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
		return nil, fmt.Errorf("%s: proxy reports the name %.40q, want %q",
			filepath.Join(f.path, AckFile), ack.Proxy, f.proxy.Name)
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
	if ack.Error != "" { // the proxy did not accept a file: write both again
		events = append(events, transport.Unreachable{Proxy: f.proxy.ID, Err: errors.New(ack.Error)})
		f.lastWritten[TablesFile] = nil
		f.lastWritten[AdmissionFile] = nil
		f.dirty = true
		f.write()
	}
	return append(events, f.acknowledge(ack)...), nil
}

// acknowledge returns an Answered event for each message that an acknowledgement covers.
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

// usesCurrentFiles reports whether the acknowledgement names the versions of the files in the folder. In that case a
// stream that was dropped, for example because of a slow disk, begins again although the acknowledgement is unchanged.
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

// connect begins a stream. The snapshot has the content of each file whose version the proxy acknowledges.
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

// readCurrentTables adds the proxy's tables to the snapshot. If their file is unreadable or of another version than the
// acknowledged one, the snapshot stays empty and all entries are sent again.
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
				Server: f.transport.options.Names.GetOrAssign(entry.Name, entry.Addr),
				State: reconcile.EntryState{
					Present: true,
					Weight:  int16(min(entry.Weight, haproxyapi.MaxWeight)),
					State:   stateByHealth[entry.Health],
				},
			})
		}
	}
}

// readCurrentAdmissions adds the admission limits to the snapshot if the proxy uses the version in the file.
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

// handleCountersFile processes new counters. They show that the proxy runs. Without a stream, its acknowledgement is
// read again, as it may match the files by now.
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
	reading.Entries = nil // may be older than the acknowledged tables; changes of the files are watched directly
	text, err = readFile(filepath.Join(f.path, ServersFile))
	if err == nil {
		if err := reading.AddTracked(text, options.Names.Server); err != nil {
			return nil, fmt.Errorf("%s: %w", ServersFile, err)
		}
	}
	return transport.CountersPolled{Proxy: f.proxy.ID, Stream: f.stream, Reading: reading}, nil
}
