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

// resyncInterval is the time between two reads without a change notification: some file systems send none.
const resyncInterval = 20 * time.Second

// FileSource reads the list from a file. It watches the file's directory for changes, and also rereads the file every
// resyncInterval, as some file systems send no change notifications. The exported fields are set before Start.
type FileSource struct {
	Path      string
	OnRequest bool // watch only after Watch(true)

	sink func(Update)

	mu       sync.Mutex
	watching bool
	checksum uint64 // of the text of the last read; of empty text if that read failed
}

// Start watches the file's directory until the context ends, and reads the file unless OnRequest is set. It returns an
// error if the directory can't be watched.
func (f *FileSource) Start(ctx context.Context, sink func(Update)) error {
	f.sink = sink
	f.watching = !f.OnRequest
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("endpoint list: %w", err)
	}
	if err := watcher.Add(filepath.Dir(f.Path)); err != nil {
		_ = watcher.Close()
		return fmt.Errorf("endpoint list: %w", err)
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

// affectsFile reports whether the file may have new content after the event.
func (f *FileSource) affectsFile(event fsnotify.Event) bool {
	sameFile := filepath.Base(event.Name) == filepath.Base(f.Path)
	return sameFile && !event.Has(fsnotify.Remove) && !event.Has(fsnotify.Chmod)
}

// Watch starts or ends the delivery of changes. When it starts it, the complete list is delivered first.
func (f *FileSource) Watch(enabled bool) {
	f.mu.Lock()
	f.watching = enabled
	f.mu.Unlock()
	if enabled {
		f.Fetch()
	}
}

// Fetch reads the file once and delivers the complete list, or the failure.
func (f *FileSource) Fetch() { go f.read() }

// readWatched reads the file and delivers the list if the watch is enabled.
func (f *FileSource) readWatched() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watching {
		f.readLocked()
	}
}

// read reads the file and delivers the list, whether or not the watch is enabled.
func (f *FileSource) read() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readLocked()
}

// readLocked reads the file and delivers the list, or the failure. A partly written file is read again after the next
// change notification. The caller holds mu.
func (f *FileSource) readLocked() {
	list, text, err := readListFile(f.Path)
	f.checksum = xxhash.Sum64(text)
	if err != nil {
		f.sink(failedUpdate(err))
		return
	}
	f.sink(Update{Scope: fleet.ListFull, List: list})
}

// resync confirms the list, or delivers it if it has changed without a notification. A file that can't be read delivers
// nothing: the failure was delivered when the file became unreadable.
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

// readListFile returns the list in a file and the text that was decoded. The text is nil after an error.
func readListFile(path string) (list EndpointList, text []byte, err error) {
	file, err := os.Open(path)
	if err != nil {
		return EndpointList{}, nil, fmt.Errorf("endpoint list: %w", err)
	}
	defer func() { _ = file.Close() }()
	text, err = readAll(file, maxListSize)
	if err != nil {
		return EndpointList{}, nil, fmt.Errorf("endpoint list: %s: %w", path, err)
	}
	list, err = decodeList(text)
	if err != nil {
		return EndpointList{}, nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, text, nil
}
