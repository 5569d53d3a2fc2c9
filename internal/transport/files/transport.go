// Package files is the transport that exchanges files with proxies, in one folder per proxy. The controller writes the
// weight tables as an xDS response of endpoints and the admission limits as a runtime layer, in the JSON format that
// xDS proxies read from the file system. The proxy writes files that acknowledge the versions in use and report its
// counters. All files are replaced atomically. docs/design/files.md compares the alternatives.
package files

import (
	"context"
	"fmt"
	"hash/maphash"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fsnotify/fsnotify"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

const (
	silenceCheckInterval = time.Second
	folderMode           = 0o755
	epochBase            = 36 // number base of the epoch in versions
)

// Options configure the transport. The Addr of a proxy is the path of its folder.
type Options struct {
	Proxies   []transport.Proxy
	Classes   []transport.Class
	Admission fleet.AdmissionMode
	Names     transport.ServerNames
	// MaxRetryInterval is the longest delay between two attempts to write the files of a proxy.
	MaxRetryInterval fleet.Time
	// Fault, set in tests only, is called before each step of replacing a file (0 to 4: create, write, sync, rename,
	// sync the folder). An error makes the step fail, as on a full disk; ErrSimulatedCrash simulates a crash.
	Fault func(path string, step int) error
}

// Transport carries messages through files. Its methods may be called from any goroutine after Start.
type Transport struct {
	options        Options
	files          replacer
	classByBackend map[string]fleet.ClassID
	folders        map[string]*folder // by path
	byProxy        map[fleet.ProxyID]*folder
	epoch          string // distinguishes the versions of this process from those of earlier ones
	watcher        *fsnotify.Watcher
	sink           transport.Sink
	ctx            context.Context
	cancel         context.CancelFunc
	running        sync.WaitGroup
}

var _ transport.Transport = (*Transport)(nil)

// New returns a transport that writes no files before Start.
func New(options Options) *Transport {
	t := &Transport{
		options:        options,
		files:          replacer{options.Fault},
		classByBackend: map[string]fleet.ClassID{},
		folders:        map[string]*folder{},
		byProxy:        map[fleet.ProxyID]*folder{},
		epoch:          strconv.FormatInt(time.Now().UnixNano(), epochBase),
	}
	for i, class := range options.Classes {
		t.classByBackend[class.Backend] = fleet.ClassID(i)
	}
	seed := maphash.MakeSeed()
	for _, proxy := range options.Proxies {
		f := &folder{
			transport:   t,
			proxy:       proxy,
			path:        filepath.Clean(proxy.Addr),
			lastWritten: map[string][]byte{},
			backoff:     reconcile.NewDialBackoff(maphash.String(seed, proxy.Name), options.MaxRetryInterval),
		}
		t.folders[f.path] = f
		t.byProxy[proxy.ID] = f
	}
	return t
}

// Start creates missing folders, removes temporary files left by a crash, and watches the folders until Stop.
func (t *Transport) Start(ctx context.Context, sink transport.Sink) error {
	t.sink = sink
	t.ctx, t.cancel = context.WithCancel(ctx)
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("files: %w", err)
	}
	t.watcher = watcher
	for path := range t.folders {
		if err := os.MkdirAll(path, folderMode); err != nil {
			return fmt.Errorf("files: %w", err)
		}
		if err := removeTemporaries(path); err != nil {
			return fmt.Errorf("files: %w", err)
		}
		if err := t.watcher.Add(path); err != nil {
			return fmt.Errorf("files: %s: %w", path, err)
		}
	}
	t.running.Add(1)
	go t.run()
	for _, f := range t.folders {
		f.handleFileChange(AckFile)
	}
	return nil
}

// run processes changes of files until the transport stops.
func (t *Transport) run() {
	defer t.running.Done()
	silenceCheck := time.NewTicker(silenceCheckInterval)
	defer silenceCheck.Stop()
	for {
		select {
		case <-t.ctx.Done():
			_ = t.watcher.Close()
			return
		case event := <-t.watcher.Events:
			f := t.folders[filepath.Dir(event.Name)]
			if f != nil && !strings.Contains(event.Name, temporaryMark) && !event.Has(fsnotify.Chmod) {
				f.handleFileChange(filepath.Base(event.Name))
			}
		case err := <-t.watcher.Errors:
			if err != nil { // events were lost
				t.readAll()
			}
		case now := <-silenceCheck.C:
			for _, f := range t.folders {
				f.checkSilence(now)
			}
		}
	}
}

func (t *Transport) readAll() {
	for _, f := range t.folders {
		for _, name := range []string{AckFile, StatFile, TablesFile, AdmissionFile} {
			f.handleFileChange(name)
		}
	}
}

// Send applies the changes of a message to the files of its proxy. It drops the message if the proxy is not connected.
func (t *Transport) Send(m reconcile.Message) {
	if f := t.byProxy[m.Proxy]; f != nil {
		f.send(m)
	}
}

// Poll makes the next counters that the proxy writes be reported as CountersPolled.
func (t *Transport) Poll(id fleet.ProxyID) {
	f := t.byProxy[id]
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polling = f.connected
}

// Drop ends the stream of a proxy. A new one begins when the acknowledgement changes or matches the files in the
// folder.
func (t *Transport) Drop(id fleet.ProxyID) {
	if f := t.byProxy[id]; f != nil {
		f.drop()
	}
}

// Stop waits until all messages are acknowledged or the context ends, then ends all streams. The files remain, and
// proxies continue to use them.
func (t *Transport) Stop(ctx context.Context) error {
	transport.WaitUntilIdle(ctx, t.busy)
	t.cancel()
	for _, f := range t.folders {
		f.drop()
	}
	t.running.Wait()
	return ctx.Err()
}

func (t *Transport) busy() bool {
	for _, f := range t.folders {
		if f.awaitsAcknowledgement() {
			return true
		}
	}
	return false
}

func (t *Transport) admissionKey(class string) string {
	return transport.AdmissionKey(t.options.Admission, class)
}

func (t *Transport) unlimitedAdmission() int {
	return int(transport.UnlimitedAdmission(t.options.Admission))
}

// formatVersion returns the version string for a version number of this process: the epoch, a dot and the number.
func (t *Transport) formatVersion(number uint64) string {
	return t.epoch + "." + strconv.FormatUint(number, 10)
}

// parseVersion returns the number of a version that this process wrote, 0 for any other.
func (t *Transport) parseVersion(version string) uint64 {
	epoch, text, ok := strings.Cut(version, ".")
	number, err := strconv.ParseUint(text, 10, 64)
	if !ok || err != nil || epoch != t.epoch {
		return 0
	}
	return number
}
