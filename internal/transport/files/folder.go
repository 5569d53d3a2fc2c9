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

// folder exchanges files with one proxy through its folder.
type folder struct {
	transport *Transport
	proxy     transport.Proxy
	path      string

	mu              sync.Mutex
	stream          uint64
	connected       bool
	connectedRun    string    // Ack.Started of the connected run of the proxy
	ackAtDisconnect string    // acknowledgement at the end of the previous stream
	lastSeen        time.Time // when the proxy last wrote a file
	polling         bool

	// Wanted content of the files.
	version          uint64
	admissionVersion uint64
	tables           map[string]map[string]Endpoint // by backend and server
	published        map[string]bool                // backends in the files; the proxy keeps its tables of others
	admissions       map[string]int
	versionStamps    map[string]string // version and digest of the weight table, by class

	unacknowledged []sentMessage     // oldest first
	dirty          bool              // the files may differ from their wanted content
	lastWritten    map[string][]byte // latest content written, by file name
	backoff        reconcile.DialBackoff
	retryTimer     *time.Timer // nil: no write has failed
}

// sentMessage is a message that counts as answered once the proxy acknowledges these versions.
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
		f.admissions[class.Name+transport.RetryKeySuffix] = int(change.Admission.Retry)
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

// write updates the files if they are dirty. A failure is reported and retried with backoff.
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

// reportWriteFailure posts the failure from a separate goroutine, because the caller holds the folder's lock. Stop
// waits for that goroutine, so that nothing is posted afterwards.
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

// wantedTables returns the published tables without entries of weight 0, which the file format cannot represent.
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

// writeFile replaces a file unless its latest written content is the same.
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

// restore writes a file again if another program has removed or changed it.
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

// checkSilence ends the stream if the proxy has written no file for reconcile.SilenceTimeout.
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

// drop ends the stream, if there is one, without posting an event.
func (f *folder) drop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.connected {
		f.disconnect()
	}
}

// disconnect ends the stream. A new one begins when the acknowledgement changes or matches the files in the folder. The
// caller holds the folder's lock.
func (f *folder) disconnect() {
	ack, _ := readFile(filepath.Join(f.path, AckFile)) // "" if unreadable: matches no acknowledgement
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

// admission returns the admission limit and retry mode of a class from the values of AdmissionFile.
func (f *folder) admission(class string, values map[string]int) reconcile.Admission {
	limit, hasLimit := values[f.transport.admissionKey(class)]
	retry, hasRetry := values[class+transport.RetryKeySuffix]
	if limit == f.transport.unlimitedAdmission() {
		limit = -1
	}
	return reconcile.Admission{
		Known: hasLimit && hasRetry,
		Limit: int32(limit),
		Retry: fleet.RetryMode(retry),
	}
}
