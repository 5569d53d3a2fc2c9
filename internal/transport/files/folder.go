package files

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// folder is the folder of one proxy.
type folder struct {
	transport *Transport
	proxy     transport.Proxy
	path      string

	mu              sync.Mutex
	stream          uint64
	connected       bool
	connectedRun    string    // of the proxy's run that is connected
	ackAtDisconnect string    // the acknowledgement when the stream ended: only another one begins a new stream
	lastSeen        time.Time // when the proxy last wrote a file
	polling         bool

	// What the files are to contain.
	version          uint64
	admissionVersion uint64
	tables           map[string]map[string]Endpoint // by backend and server
	published        map[string]bool                // backends in the files; others stay as the proxy has them
	admissions       map[string]int
	versionStamps    map[string]string // by class: version and digest of its table

	unacknowledged []sentMessage     // oldest first
	dirty          bool              // the files are older than their wanted content
	lastWritten    map[string][]byte // by file name: what was written last
	backoff        reconcile.DialBackoff
	retryTimer     *time.Timer // nil: no write has failed
}

// sentMessage is a message that is acknowledged by these versions.
type sentMessage struct {
	sequence         uint64
	tablesVersion    uint64
	admissionVersion uint64
}

var healthByState = map[reconcile.State]string{
	reconcile.StateReady:       healthReady,
	reconcile.StateDrain:       healthDraining,
	reconcile.StateMaintenance: healthMaintenance,
}

// send applies a message's changes and writes the files.
func (f *folder) send(m reconcile.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.connected {
		return
	}
	f.version++
	for i := range m.Changes {
		f.apply(&m.Changes[i])
	}
	f.unacknowledged = append(f.unacknowledged, sentMessage{m.Sequence, f.version, f.admissionVersion})
	f.dirty = true
	f.write()
}

func (f *folder) apply(change *reconcile.Change) {
	t := f.transport
	class := t.options.Classes[change.Class]
	switch change.Kind {
	case reconcile.UpdateVersion:
		f.versionStamps[class.Name] = change.VersionStamp
		f.admissionVersion = f.version
	case reconcile.UpdateAdmission:
		limit := int(change.Admission.Limit)
		if limit < 0 {
			limit = t.unlimitedAdmission()
		}
		f.admissions[t.admissionKey(class.Name)] = limit
		f.admissions[class.Name+transport.RetryKey] = int(change.Admission.Retry)
		f.admissionVersion = f.version
	default:
		f.applyEntry(class.Backend, change)
	}
}

func (f *folder) applyEntry(backend string, change *reconcile.Change) {
	f.published[backend] = true
	table := f.tables[backend]
	name, addr := f.transport.options.Names.Lookup(change.Server)
	if change.Kind == reconcile.DeleteEntry {
		delete(table, name)
		return
	}
	entry := table[name]
	entry.Name = name
	entry.Addr = addr
	if change.Weight >= 0 {
		entry.Weight = int(change.Weight)
	}
	if change.State != reconcile.StateUnchanged {
		entry.Health = healthByState[change.State]
	}
	table[name] = entry
}

// write brings the files up to date. If that fails it is retried with backoff, and the reason is reported.
func (f *folder) write() {
	if !f.dirty || !f.connected || f.retryTimer != nil {
		return
	}
	err := f.writeFiles()
	if err == nil {
		f.dirty = false
		f.backoff.Reset()
		return
	}
	f.reportWriteFailure(err)
	f.retryTimer = time.AfterFunc(time.Duration(f.backoff.Next()), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.retryTimer = nil
		f.write()
	})
}

// reportWriteFailure posts from a goroutine of its own, because the folder is locked. Stop waits for it: nothing is
// posted after.
func (f *folder) reportWriteFailure(err error) {
	t := f.transport
	reason := fmt.Errorf("writing its files failed and will be retried: %w", err)
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		t.sink(transport.Unreachable{Proxy: f.proxy.ID, Err: reason})
	}()
}

func (f *folder) writeFiles() error {
	err := f.writeFile(TablesFile, func() ([]byte, error) { return EncodeTables(f.wantedTables()) })
	if err != nil || len(f.admissions)+len(f.versionStamps) == 0 {
		return err
	}
	return f.writeFile(AdmissionFile, func() ([]byte, error) {
		return EncodeAdmissions(Admissions{
			Version: f.transport.formatVersion(f.admissionVersion),
			Values:  f.admissions,
			Stamps:  f.versionStamps,
		})
	})
}

// wantedTables returns the published tables. An entry of weight 0 has no form in the file and is left out.
func (f *folder) wantedTables() Tables {
	tables := Tables{Version: f.transport.formatVersion(f.version), Backends: map[string][]Endpoint{}}
	for backend, published := range f.published {
		if !published {
			continue
		}
		entries := []Endpoint{}
		for _, entry := range f.tables[backend] {
			if entry.Weight > 0 {
				entries = append(entries, entry)
			}
		}
		tables.Backends[backend] = entries
	}
	return tables
}

// writeFile replaces a file unless it was written with the same content already.
func (f *folder) writeFile(name string, encode func() ([]byte, error)) error {
	text, err := encode()
	if err != nil {
		return err
	}
	if string(f.lastWritten[name]) == string(text) {
		return nil
	}
	if err := f.transport.files.replace(filepath.Join(f.path, name), text); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	f.lastWritten[name] = text
	return nil
}

// restore writes a file again that somebody else has removed or changed.
func (f *folder) restore(name string) {
	want := f.lastWritten[name]
	if !f.connected || want == nil {
		return
	}
	text, err := readFile(filepath.Join(f.path, name))
	if err == nil && string(text) == string(want) {
		return
	}
	f.dirty = true
	f.lastWritten[name] = nil
	f.write()
}

// checkSilence ends a stream whose proxy has written nothing for long.
func (f *folder) checkSilence(now time.Time) {
	f.mu.Lock()
	if !f.connected || now.Sub(f.lastSeen) < time.Duration(reconcile.SilenceTimeout) {
		f.mu.Unlock()
		return
	}
	event := transport.Disconnected{
		Proxy:  f.proxy.ID,
		Stream: f.stream,
		Err: fmt.Errorf("proxy wrote neither %s nor %s within %v", StatFile, AckFile,
			time.Duration(reconcile.SilenceTimeout)),
	}
	f.disconnect()
	f.mu.Unlock()
	f.transport.sink(event)
}

// drop ends the stream if there is one.
func (f *folder) drop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.connected {
		f.disconnect()
	}
}

// disconnect ends the stream until the proxy's acknowledgement changes. The folder is locked.
func (f *folder) disconnect() {
	ack, _ := readFile(filepath.Join(f.path, AckFile)) // one that can't be read never matches
	f.connected = false
	f.ackAtDisconnect = string(ack)
	f.unacknowledged = nil
	if f.retryTimer != nil {
		f.retryTimer.Stop()
		f.retryTimer = nil
	}
}

func (f *folder) awaitsAcknowledgement() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.unacknowledged) > 0
}

// admission reads a class's admission limit out of the values of AdmissionFile.
func (f *folder) admission(class string, values map[string]int) reconcile.Admission {
	limit, hasLimit := values[f.transport.admissionKey(class)]
	retry, hasRetry := values[class+transport.RetryKey]
	if limit == f.transport.unlimitedAdmission() {
		limit = -1
	}
	return reconcile.Admission{
		Known: hasLimit && hasRetry,
		Limit: int32(limit),
		Retry: fleet.RetryMode(retry),
	}
}
