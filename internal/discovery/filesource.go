package discovery

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fsnotify/fsnotify"

	"cressknot/internal/fleet"
)

// resyncInterval is the time between two reads of a file whose directory reports nothing: some file systems never do.
const resyncInterval = 20 * time.Second

// FileSource watches a list in a file. It reads the file when the file's directory reports a change, and resyncs
// now and then, as some file systems report nothing.
type FileSource struct {
	Path      string
	OnRequest bool // watch only after Watch(true)

	sink func(Update)

	mu       sync.Mutex
	watching bool
	checksum uint64 // of the text that was read last, or of no text after a failure
}

// Start reads the file and watches it until the context ends.
func (f *FileSource) Start(ctx context.Context, sink func(Update)) error {
	f.sink = sink
	f.watching = !f.OnRequest
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if err := watcher.Add(filepath.Dir(f.Path)); err != nil {
		_ = watcher.Close()
		return fmt.Errorf("list: %w", err)
	}
	go f.run(ctx, watcher)
	return nil
}

func (f *FileSource) run(ctx context.Context, watcher *fsnotify.Watcher) {
	defer func() { _ = watcher.Close() }()
	resync := time.NewTicker(resyncInterval)
	defer resync.Stop()
	f.readWatched()
	for {
		select {
		case <-ctx.Done():
			return
		case <-resync.C:
			f.resync()
		case event := <-watcher.Events:
			if f.affectsFile(event) {
				f.readWatched()
			}
		case err := <-watcher.Errors:
			if err != nil { // events were lost
				f.readWatched()
			}
		}
	}
}

// affectsFile reports whether the event may mean new content of the file.
func (f *FileSource) affectsFile(event fsnotify.Event) bool {
	sameFile := filepath.Base(event.Name) == filepath.Base(f.Path)
	return sameFile && !event.Has(fsnotify.Remove) && !event.Has(fsnotify.Chmod)
}

// Watch starts or ends the delivery of changes. A start delivers the complete list.
func (f *FileSource) Watch(enabled bool) {
	f.mu.Lock()
	f.watching = enabled
	f.mu.Unlock()
	if enabled {
		f.Fetch()
	}
}

// Fetch reads the file once.
func (f *FileSource) Fetch() { go f.read() }

// readWatched reads the file and delivers the list, if the file is watched.
func (f *FileSource) readWatched() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watching {
		f.readLocked()
	}
}

// read reads the file and delivers the list.
func (f *FileSource) read() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readLocked()
}

// readLocked delivers a failure where the file can't be read. A file that is half written is read again when its
// directory reports the next change.
func (f *FileSource) readLocked() {
	list, text, err := readListFile(f.Path)
	f.checksum = xxhash.Sum64(text)
	if err != nil {
		f.sink(failedUpdate(err))
		return
	}
	f.sink(Update{Scope: fleet.ListFull, List: list})
}

// resync confirms the list, or reads it where it has changed without a report. A file that can't be read was
// reported when it became so.
func (f *FileSource) resync() {
	f.mu.Lock()
	_, text, err := readListFile(f.Path)
	unchanged := f.checksum == xxhash.Sum64(text)
	f.mu.Unlock()
	switch {
	case err != nil:
	case unchanged:
		f.sink(Update{Unchanged: true})
	default:
		f.readWatched()
	}
}

// readListFile reads a list and returns its text, too.
func readListFile(path string) (list EndpointList, text []byte, err error) {
	file, err := os.Open(path)
	if err != nil {
		return EndpointList{}, nil, fmt.Errorf("list: %w", err)
	}
	defer func() { _ = file.Close() }()
	text, err = readAll(file, maxListSize)
	if err != nil {
		return EndpointList{}, nil, fmt.Errorf("list: %s: %w", path, err)
	}
	list, err = decodeList(text)
	if err != nil {
		return EndpointList{}, nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, text, nil
}
