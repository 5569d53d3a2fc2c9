// Package files is the front that pushes files and swaps them atomically: for each proxy a folder, in it the tables as
// an xDS response of endpoints and the levels as a runtime layer, in the JSON form that proxies of that family read from
// their file system. The proxy tells by files of its own what it holds and what it counted. docs/design/files.md tells
// the ways weighed.
package files

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fsnotify/fsnotify"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/ingest/counters"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// Options say how the proxies are set up; Addr of a proxy is its folder.
type Options struct {
	Proxies   []transport.Proxy
	Classes   []transport.Class
	Admission fleet.AdmissionMode
	Names     transport.ServerNames
	// Fault, in tests, is asked before each step of a swap (0 to 4: create, write, sync, rename, sync the folder) and
	// fails it: as a full disk does, or, with ErrCut, as a kill does.
	Fault func(path string, step int) error
}

// Front is the front of files.
type Front struct {
	opt      Options
	disk     swapper
	backends map[string]fleet.ClassID
	folders  map[string]*folder // by path
	byID     map[fleet.ProxyID]*folder
	epoch    string // of this run: tells its versions from those of a run before
	watcher  *fsnotify.Watcher
	sink     transport.Sink
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	seed     maphash.Seed
}

var _ transport.Transport = (*Front)(nil)

// folder is one proxy's.
type folder struct {
	front *Front
	proxy transport.Proxy
	path  string

	mu       sync.Mutex
	stream   uint64
	up       bool
	started  string // of the proxy's run that is up
	shut     string // acknowledgement that stood when the stream was dropped: only another one begins anew
	tables   map[string]map[string]Endpoint
	laid     map[string]bool // backends that the files speak of; others stay as the proxy has them
	levels   map[string]int
	stamps   map[string]string // by class: version and digest of its table
	wrote    map[string][]byte // by file name: what was put in place
	sent     []sent            // not acknowledged
	version  uint64
	dirty    bool // tables or levels are newer than the files
	levelsAt uint64
	polling  bool
	heard    time.Time // last file of the proxy's
	redial   reconcile.DialBackoff
	retry    *time.Timer
}

type sent struct {
	seq            uint64
	tables, levels uint64 // versions that hold it
}

// New makes a front. It writes nothing before Start.
func New(opt Options) *Front {
	f := &Front{opt: opt, backends: map[string]fleet.ClassID{}, folders: map[string]*folder{}, byID: map[fleet.ProxyID]*folder{},
		disk: swapper{opt.Fault}, epoch: strconv.FormatInt(time.Now().UnixNano(), 36), seed: maphash.MakeSeed()}
	for i, c := range opt.Classes {
		f.backends[c.Backend] = fleet.ClassID(i)
	}
	for _, p := range opt.Proxies {
		path := filepath.Clean(p.Addr)
		o := &folder{front: f, proxy: p, path: path, wrote: map[string][]byte{},
			redial: reconcile.NewDialBackoff(maphash.String(f.seed, p.Name))}
		f.folders[path], f.byID[p.ID] = o, o
	}
	return f
}

// Start makes the folders, tidies what a cut left, and follows them.
func (f *Front) Start(ctx context.Context, sink transport.Sink) (err error) {
	f.sink = sink
	f.ctx, f.cancel = context.WithCancel(ctx)
	if f.watcher, err = fsnotify.NewWatcher(); err != nil {
		return fmt.Errorf("files: %w", err)
	}
	for path := range f.folders {
		if err := os.MkdirAll(path, 0o755); err != nil {
			return fmt.Errorf("files: %w", err)
		}
		if err := tidy(path); err != nil {
			return fmt.Errorf("files: %w", err)
		}
		if err := f.watcher.Add(path); err != nil {
			return fmt.Errorf("files: %s: %w", path, err)
		}
	}
	f.running.Add(1)
	go f.run()
	for _, o := range f.folders {
		o.look(AckFile)
	}
	return nil
}

func (f *Front) run() {
	defer f.running.Done()
	silent := time.NewTicker(time.Second)
	defer silent.Stop()
	for {
		select {
		case <-f.ctx.Done():
			_ = f.watcher.Close()
			return
		case e := <-f.watcher.Events:
			if o := f.folders[filepath.Dir(e.Name)]; o != nil && !strings.Contains(e.Name, asideMark) && !e.Has(fsnotify.Chmod) {
				o.look(filepath.Base(e.Name))
			}
		case err := <-f.watcher.Errors:
			if err == nil {
				continue
			}
			// Events were lost: look at all files.
			for _, o := range f.folders {
				for _, name := range []string{AckFile, StatFile, TablesFile, LevelsFile} {
					o.look(name)
				}
			}
		case now := <-silent.C:
			for _, o := range f.folders {
				o.silent(now)
			}
		}
	}
}

// look acts on a change of a file.
func (o *folder) look(name string) {
	if o.front.ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	var events []transport.Event
	var err error
	switch name {
	case AckFile:
		events, err = o.acknowledged()
	case StatFile:
		if o.heard = time.Now(); !o.up { // it lives; its acknowledgement may say by now what is in place
			events, err = o.acknowledged()
		}
		if o.up && o.polling {
			o.polling = false
			var e transport.Event
			if e, err = o.polled(); err == nil {
				events = append(events, e)
			}
		}
	case TablesFile, LevelsFile:
		o.guard(name)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		events = append(events, transport.Unreachable{Proxy: o.proxy.ID, Err: err})
	}
	o.mu.Unlock()
	for _, e := range events {
		o.front.sink(e)
	}
}

// guard puts a file back that somebody else removed or changed.
func (o *folder) guard(name string) {
	want := o.wrote[name]
	if !o.up || want == nil {
		return
	}
	if text, err := readFile(filepath.Join(o.path, name)); err == nil && string(text) == string(want) {
		return
	}
	o.dirty = true
	o.wrote[name] = nil
	o.write()
}

// acknowledged takes in what the proxy says that it holds.
func (o *folder) acknowledged() (events []transport.Event, err error) {
	text, err := readFile(filepath.Join(o.path, AckFile))
	if err != nil {
		return nil, err
	}
	ack, err := DecodeAck(text)
	if err != nil {
		return nil, err
	}
	if ack.Proxy != o.proxy.Name {
		return nil, fmt.Errorf("%s: the proxy there calls itself %.40q", AckFile, ack.Proxy)
	}
	o.heard = time.Now()
	if o.up && ack.Started != o.started {
		o.up = false
		events = append(events, transport.Disconnected{Proxy: o.proxy.ID, Stream: o.stream, Err: errors.New("the proxy has started anew")})
	}
	if !o.up {
		if string(text) == o.shut && !o.inPlace(ack) {
			return events, nil
		}
		return append(events, o.begin(ack)), nil
	}
	if ack.Error != "" { // it could not take a file: what is wanted is put in place again
		events = append(events, transport.Unreachable{Proxy: o.proxy.ID, Err: errors.New(ack.Error)})
		o.wrote[TablesFile], o.wrote[LevelsFile], o.dirty = nil, nil, true
		o.write()
	}
	tables, levels := o.front.number(ack.Tables), o.front.number(ack.Levels)
	for len(o.sent) > 0 && o.sent[0].tables <= tables && o.sent[0].levels <= levels {
		events = append(events, transport.Answered{Proxy: o.proxy.ID, Stream: o.stream, Sequence: o.sent[0].seq})
		o.sent = o.sent[1:]
	}
	return events, nil
}

// inPlace tells whether a proxy goes by the files that are in place. A stream that was broken off, say because a disk was
// slow, begins anew then, though the acknowledgement is the one that stood.
func (o *folder) inPlace(ack Ack) bool {
	text, err := readFile(filepath.Join(o.path, TablesFile))
	if err != nil {
		return false
	}
	t, err := DecodeTables(text)
	if err != nil || t.Version != ack.Tables {
		return false
	}
	if text, err = readFile(filepath.Join(o.path, LevelsFile)); err != nil {
		return errors.Is(err, fs.ErrNotExist)
	}
	version, _, _, err := DecodeLevels(text)
	return err == nil && version == ack.Levels
}

// number gives the counter of a version of this run, 0 for any other.
func (f *Front) number(version string) uint64 {
	epoch, count, ok := strings.Cut(version, ".")
	if n, err := strconv.ParseUint(count, 10, 64); ok && err == nil && epoch == f.epoch {
		return n
	}
	return 0
}

func (f *Front) versionOf(n uint64) string { return f.epoch + "." + strconv.FormatUint(n, 10) }

// begin makes a stream: what the proxy holds is what the files say, if it says that it holds those.
func (o *folder) begin(ack Ack) transport.Event {
	f := o.front
	o.stream++
	o.up, o.started, o.shut, o.sent, o.polling = true, ack.Started, "", nil, false
	o.tables, o.levels, o.stamps = map[string]map[string]Endpoint{}, map[string]int{}, map[string]string{}
	o.wrote, o.laid = map[string][]byte{}, map[string]bool{}
	snap := reconcile.Snapshot{Zone: o.proxy.Zone, RequestRate: o.proxy.RequestRate, Fresh: ack.Tables == "",
		Admissions: make([]reconcile.Admission, len(f.opt.Classes))}
	for _, c := range f.opt.Classes {
		o.tables[c.Backend] = map[string]Endpoint{}
	}
	text, err := readFile(filepath.Join(o.path, HeldFile))
	var held Tables
	if err == nil {
		held, err = DecodeTables(text)
	}
	for backend, lines := range held.Backends {
		class, ours := f.backends[backend]
		if !ours || err != nil || held.Version != ack.Tables { // then all is sent anew
			continue
		}
		o.laid[backend] = ack.Tables != ""
		for _, l := range lines {
			o.tables[backend][l.Name] = l
			snap.Entries = append(snap.Entries, reconcile.SnapshotEntry{Class: class, Server: f.opt.Names.Learn(l.Name, l.Addr),
				State: reconcile.EntryState{Present: true, Weight: int16(min(l.Weight, haproxyapi.MaxWeight)), State: states[l.Health]}})
		}
	}
	if text, err := readFile(filepath.Join(o.path, LevelsFile)); err == nil {
		if version, levels, stamps, err := DecodeLevels(text); err == nil && version == ack.Levels {
			o.levels, o.stamps = levels, stamps
			for c, class := range f.opt.Classes {
				amount, told := levels[f.amountKey(class.Name)]
				retry, too := levels[class.Name+transport.RetryKey]
				if amount == f.amountAll() {
					amount = -1
				}
				snap.VersionStamps = append(snap.VersionStamps, stamps[class.Name])
				snap.Admissions[c] = reconcile.Admission{Known: told && too, Limit: int32(amount), Retry: fleet.RetryMode(retry)}
			}
		}
	}
	return transport.Connected{Proxy: o.proxy.ID, Stream: o.stream, Snapshot: snap}
}

var states = map[string]reconcile.State{healthIn: reconcile.StateReady, healthEnds: reconcile.StateDrain, healthSick: reconcile.StateMaintenance}
var healths = map[reconcile.State]string{reconcile.StateReady: healthIn, reconcile.StateDrain: healthEnds, reconcile.StateMaintenance: healthSick}

func (f *Front) amountKey(class string) string { return transport.AdmissionKey(f.opt.Admission, class) }

func (f *Front) amountAll() int { return int(transport.UnlimitedAdmission(f.opt.Admission)) }

// silent ends a stream whose proxy has written nothing for long.
func (o *folder) silent(now time.Time) {
	o.mu.Lock()
	if !o.up || now.Sub(o.heard) < time.Duration(reconcile.SilenceTimeout) {
		o.mu.Unlock()
		return
	}
	e := transport.Disconnected{Proxy: o.proxy.ID, Stream: o.stream, Err: errors.New("it writes no counters any more")}
	o.end()
	o.mu.Unlock()
	o.front.sink(e)
}

// end closes the stream until the proxy acknowledges something else.
func (o *folder) end() {
	text, _ := readFile(filepath.Join(o.path, AckFile))
	o.up, o.shut, o.sent = false, string(text), nil
	if o.retry != nil {
		o.retry.Stop()
		o.retry = nil
	}
}

// polled reads the counters.
func (o *folder) polled() (transport.Event, error) {
	f := o.front
	text, err := readFile(filepath.Join(o.path, StatFile))
	if err != nil {
		return nil, err
	}
	r, err := counters.ParseCounters(text, f.backends, len(f.opt.Classes), f.opt.Names.Server)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", StatFile, err)
	}
	r.Entries = nil // these may be older than what was acknowledged; what stands in the files is watched itself
	if text, err = readFile(filepath.Join(o.path, NodesFile)); err == nil {
		if err := r.AddTracked(text, f.opt.Names.Server); err != nil {
			return nil, fmt.Errorf("%s: %w", NodesFile, err)
		}
	}
	return transport.CountersPolled{Proxy: o.proxy.ID, Stream: o.stream, Reading: r}, nil
}

// Send puts a message's changes into the files.
func (f *Front) Send(m reconcile.Message) {
	o := f.byID[m.Proxy]
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.up {
		return
	}
	o.version++
	for _, c := range m.Changes {
		if c.Kind == reconcile.UpdateVersion {
			o.stamps[f.opt.Classes[c.Class].Name] = c.VersionStamp
			o.levelsAt = o.version
			continue
		}
		if c.Kind == reconcile.UpdateAdmission {
			amount := int(c.Admission.Limit)
			if amount < 0 {
				amount = f.amountAll()
			}
			name := f.opt.Classes[c.Class].Name
			o.levels[f.amountKey(name)], o.levels[name+transport.RetryKey] = amount, int(c.Admission.Retry)
			o.levelsAt = o.version
			continue
		}
		backend := f.opt.Classes[c.Class].Backend
		lines := o.tables[backend]
		o.laid[backend] = true
		name, addr := f.opt.Names.Of(c.Server)
		l := lines[name]
		if l.Name, l.Addr = name, addr; c.Kind == reconcile.DeleteEntry {
			delete(lines, name)
			continue
		}
		if c.Weight >= 0 {
			l.Weight = int(c.Weight)
		}
		if c.State != reconcile.StateUnchanged {
			l.Health = healths[c.State]
		}
		lines[name] = l
	}
	o.sent = append(o.sent, sent{m.Sequence, o.version, o.levelsAt})
	o.dirty = true
	o.write()
}

// write puts what is wanted in place. Where that fails it is tried again later and later, and the reason is told.
func (o *folder) write() {
	if !o.dirty || !o.up || o.retry != nil {
		return
	}
	f := o.front
	t := Tables{Version: f.versionOf(o.version), Backends: map[string][]Endpoint{}}
	for backend := range o.laid {
		if !o.laid[backend] {
			continue
		}
		lines, kept := o.tables[backend], []Endpoint{}
		for _, l := range lines {
			if l.Weight > 0 { // a weight of 0 has no form there: the line is left out
				kept = append(kept, l)
			}
		}
		t.Backends[backend] = kept
	}
	err := o.put(TablesFile, func() ([]byte, error) { return EncodeTables(t) })
	if err == nil && len(o.levels)+len(o.stamps) > 0 {
		err = o.put(LevelsFile, func() ([]byte, error) { return EncodeLevels(f.versionOf(o.levelsAt), o.levels, o.stamps) })
	}
	if err == nil {
		o.dirty = false
		o.redial.Reset()
		return
	}
	why := fmt.Errorf("its files were not written and will be again: %w", err)
	f.running.Add(1) // Stop waits for it: nothing is posted after
	go func() {
		defer f.running.Done()
		f.sink(transport.Unreachable{Proxy: o.proxy.ID, Err: why})
	}()
	o.retry = time.AfterFunc(time.Duration(o.redial.Next()), func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.retry = nil
		o.write()
	})
}

// put writes a file unless the same stands there by us already.
func (o *folder) put(name string, encode func() ([]byte, error)) error {
	text, err := encode()
	if err != nil {
		return err
	}
	if string(o.wrote[name]) == string(text) {
		return nil
	}
	if err := o.front.disk.swap(filepath.Join(o.path, name), text); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	o.wrote[name] = text
	return nil
}

// Poll asks for the counters: those that the proxy writes next.
func (f *Front) Poll(id fleet.ProxyID) {
	if o := f.byID[id]; o != nil {
		o.mu.Lock()
		o.polling = o.up
		o.mu.Unlock()
	}
}

// Drop ends a proxy's stream; it begins anew when the proxy acknowledges something else.
func (f *Front) Drop(id fleet.ProxyID) {
	o := f.byID[id]
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.up {
		o.end()
	}
}

// Stop waits for acknowledgements for as long as the context stands. The files stay: proxies go on by them.
func (f *Front) Stop(ctx context.Context) error {
	transport.DrainUntilIdle(ctx, f.busy)
	f.cancel()
	for _, o := range f.folders {
		o.mu.Lock()
		if o.up {
			o.end()
		}
		o.mu.Unlock()
	}
	f.running.Wait()
	return ctx.Err()
}

func (f *Front) busy() bool {
	for _, o := range f.folders {
		o.mu.Lock()
		n := len(o.sent)
		o.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}
