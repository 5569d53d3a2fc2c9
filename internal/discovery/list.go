// Package list is where a governor's list of servers comes from: a file that is watched, or a service over HTTP
// that is asked by long poll. Both tell whole lists and changes with a revision, and failures only to those who
// asked; what to do then is the module's to decide.
package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fsnotify/fsnotify"

	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

const (
	sizeMost    = 64 << 20 // bytes of a list: 100,000 servers take some 15 MB
	serversMost = 200_000
)

// Endpoint is one entry, as files and the service write it.
type Endpoint struct {
	Name    string    `json:"name"`
	Addr    string    `json:"addr"` // host:port
	Zone    string    `json:"zone"`
	Kind    string    `json:"kind,omitempty"`
	Cell    uint16    `json:"cell,omitempty"`
	State   string    `json:"state,omitempty"`  // "ready" (also ""), "draining" or "gone"
	Started time.Time `json:"started,omitzero"` // its latest start; absent: long ago
	Weight  float64   `json:"weight,omitempty"`
}

// EndpointList is a whole list, or the changes since a revision.
type EndpointList struct {
	Revision  uint64     `json:"rev"`
	Delta     bool       `json:"changes,omitempty"` // only what changed
	Endpoints []Endpoint `json:"servers"`
}

// Update is what a source tells.
type Update struct {
	Scope     fleet.ListScope
	List      EndpointList
	Err       error // of a ListFailed, or a note beside a list that was kept
	Unchanged bool  // the source answered: what it told last still stands; nothing else is set

	ConfirmedAt fleet.Time      // of a ListCached: when its source confirmed it last
	Unverified  map[string]bool // of a ListCached: entries of a list before it
}

// EndpointSource is where lists come from. Watch and Fetch are as the module orders them; a source that follows by itself
// does so from Start on.
type EndpointSource interface {
	Start(ctx context.Context, sink func(Update)) error
	Watch(on bool)
	Fetch()
}

// Decode reads a document. Errors name the byte or the entry.
func Decode(text []byte) (EndpointList, error) {
	var d EndpointList
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return EndpointList{}, fmt.Errorf("list: byte %d: %w", dec.InputOffset(), err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return EndpointList{}, fmt.Errorf("list: byte %d: more after its end", dec.InputOffset())
	}
	if len(d.Endpoints) > serversMost {
		return EndpointList{}, fmt.Errorf("list: %d servers, %d are the most", len(d.Endpoints), serversMost)
	}
	seen := make(map[string]bool, len(d.Endpoints))
	for i, s := range d.Endpoints {
		if what := check(s); what != "" {
			return EndpointList{}, fmt.Errorf("list: servers[%d]: %s", i, what)
		}
		if seen[s.Name] {
			return EndpointList{}, fmt.Errorf("list: servers[%d]: %q stands twice", i, s.Name)
		}
		seen[s.Name] = true
	}
	return d, nil
}

// check tells what is wrong with an entry, "" for nothing.
func check(s Endpoint) string {
	switch {
	case s.Name == "":
		return "no name"
	case s.State != "" && s.State != "ready" && s.State != "draining" && s.State != "gone":
		return fmt.Sprintf("state %q is none of ready, draining, gone", s.State)
	case s.Addr == "" && s.State != "gone":
		return fmt.Sprintf("%q has no addr", s.Name)
	}
	return ""
}

func readFile(path string) (d EndpointList, text []byte, err error) {
	f, err := os.Open(path)
	if err != nil {
		return d, nil, fmt.Errorf("list: %w", err)
	}
	defer f.Close()
	if text, err = io.ReadAll(io.LimitReader(f, sizeMost+1)); err != nil {
		return d, nil, fmt.Errorf("list: %w", err)
	}
	if len(text) > sizeMost {
		return d, nil, fmt.Errorf("list: %s is over %d bytes", path, sizeMost)
	}
	if d, err = Decode(text); err != nil {
		return d, nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, text, nil
}

// FileSource is a list in a file, read whenever its folder tells of a change.
type FileSource struct {
	Path      string
	OnRequest bool
	mu        sync.Mutex
	on        bool
	sink      func(Update)
	held      uint64 // checksum of what was told last, 0: nothing
}

// Start reads the file and follows it.
func (f *FileSource) Start(ctx context.Context, sink func(Update)) error {
	f.sink, f.on = sink, !f.OnRequest
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if err := w.Add(filepath.Dir(f.Path)); err != nil {
		w.Close()
		return fmt.Errorf("list: %w", err)
	}
	go func() {
		defer w.Close()
		look := time.NewTicker(time.Duration(verification.LookAgain))
		defer look.Stop()
		f.read(false)
		for {
			select {
			case <-ctx.Done():
				return
			case <-look.C:
				f.look()
			case e := <-w.Events:
				if filepath.Base(e.Name) == filepath.Base(f.Path) && !e.Has(fsnotify.Remove) && !e.Has(fsnotify.Chmod) {
					f.read(false)
				}
			case <-w.Errors: // events were lost: look again
				f.read(false)
			}
		}
	}()
	return nil
}

func (f *FileSource) read(asked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.on && !asked {
		return
	}
	d, text, err := readFile(f.Path)
	f.held = xxhash.Sum64(text)
	switch {
	case err == nil:
		f.sink(Update{Scope: fleet.ListFull, List: d})
	default: // what was held before stays; a half written file is read again when it is whole
		f.sink(Update{Scope: fleet.ListFailed, Err: err})
	}
}

// look tells that the file is as it was, or what it has become.
func (f *FileSource) look() {
	f.mu.Lock()
	_, text, err := readFile(f.Path)
	same := f.held == xxhash.Sum64(text)
	f.mu.Unlock()
	switch {
	case err != nil: // told when it came to be so
	case same:
		f.sink(Update{Unchanged: true})
	default:
		f.read(false)
	}
}

// Watch follows the file from now on, or no more.
func (f *FileSource) Watch(on bool) {
	f.mu.Lock()
	f.on = on
	f.mu.Unlock()
	if on {
		go f.read(true)
	}
}

// Fetch reads it once.
func (f *FileSource) Fetch() { go f.read(true) }

// HTTPSource is a list service: GET url?rev=N&wait=S answers with a document, or 304 where nothing changed since
// revision N for S seconds.
type HTTPSource struct {
	URL       string
	Wait      fleet.Time
	OnRequest bool
	ctx       context.Context
	sink      func(Update)
	client    http.Client
	mu        sync.Mutex
	rev       uint64
	cancel    context.CancelFunc // of the watch that runs
}

// Start begins to follow the service, unless it is to be asked first.
func (h *HTTPSource) Start(ctx context.Context, sink func(Update)) error {
	if _, err := url.Parse(h.URL); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	h.ctx, h.sink = ctx, sink
	if !h.OnRequest {
		h.Watch(true)
	}
	return nil
}

// Watch follows changes. On request, a failure ends the watch and is told; else it is tried again.
func (h *HTTPSource) Watch(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cancel != nil {
		h.cancel()
		h.cancel = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.cancel = cancel
	go h.follow(ctx)
}

func (h *HTTPSource) follow(ctx context.Context) {
	redial := reconcile.NewDialBackoff(uint64(time.Now().UnixNano()))
	first := true
	for ctx.Err() == nil {
		wait := h.Wait
		if first {
			wait = 0
		}
		if err := h.ask(ctx, wait, first); err != nil {
			if ctx.Err() != nil {
				return
			}
			h.sink(Update{Scope: fleet.ListFailed, Err: err})
			if h.OnRequest {
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(redial.Next())):
			}
			continue
		}
		first = false
		redial.Reset()
	}
}

// Fetch asks for the whole list once.
func (h *HTTPSource) Fetch() {
	go func() {
		if err := h.whole(h.ctx); err != nil && h.ctx.Err() == nil {
			h.sink(Update{Scope: fleet.ListFailed, Err: err})
		}
	}()
}

func (h *HTTPSource) whole(ctx context.Context) error {
	d, changed, err := h.get(ctx, 0, 0)
	if err != nil || !changed {
		return err
	}
	h.told(d)
	return nil
}

// ask polls once. The answer to the first poll of a watch is told even where nothing changed, as it is the answer
// that was asked for.
func (h *HTTPSource) ask(ctx context.Context, wait fleet.Time, first bool) error {
	h.mu.Lock()
	rev := h.rev
	h.mu.Unlock()
	d, changed, err := h.get(ctx, rev, wait)
	if err != nil {
		return err
	}
	switch {
	case changed:
		h.told(d)
	case first:
		h.sink(Update{Scope: fleet.ListDelta, List: EndpointList{Revision: rev, Delta: true}})
	default:
		h.sink(Update{Unchanged: true})
	}
	return nil
}

func (h *HTTPSource) told(d EndpointList) {
	h.mu.Lock()
	h.rev = d.Revision
	h.mu.Unlock()
	scope := fleet.ListFull
	if d.Delta {
		scope = fleet.ListDelta
	}
	h.sink(Update{Scope: scope, List: d})
}

func (h *HTTPSource) get(ctx context.Context, rev uint64, wait fleet.Time) (d EndpointList, changed bool, err error) {
	within, cancel := context.WithTimeout(ctx, time.Duration(wait+reconcile.AnswerTimeout))
	defer cancel()
	to, err := url.Parse(h.URL)
	if err != nil {
		return d, false, fmt.Errorf("list: %w", err)
	}
	q := to.Query()
	q.Set("rev", strconv.FormatUint(rev, 10))
	q.Set("wait", strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	to.RawQuery = q.Encode()
	req, err := http.NewRequestWithContext(within, http.MethodGet, to.String(), nil)
	if err != nil {
		return d, false, fmt.Errorf("list: %w", err)
	}
	res, err := h.client.Do(req)
	if err != nil {
		return d, false, fmt.Errorf("list: %w", err)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusNotModified:
		return d, false, nil
	case http.StatusOK:
	default:
		return d, false, fmt.Errorf("list: %s", res.Status)
	}
	text, err := io.ReadAll(io.LimitReader(res.Body, sizeMost+1))
	if err != nil {
		return d, false, fmt.Errorf("list: %w", err)
	}
	if len(text) > sizeMost {
		return d, false, fmt.Errorf("list: an answer of over %d bytes", sizeMost)
	}
	d, err = Decode(text)
	return d, true, err
}
