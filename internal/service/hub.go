package service

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
	"cressknot/internal/reconcile"
	"cressknot/internal/tableversion"
	"cressknot/internal/transport"
)

const (
	tickEvery    = 100 * time.Millisecond // looks at slow watchers and signs of life
	windowMost   = 2                      // updates that a watcher may not have acknowledged: one is taken in while one travels
	sessionsMost = 20_000                 // callers whose batches are numbered
	sessionKeeps = 120 * fleet.Second     // without a batch: four longest waits between tries
	rowsMost     = 4096                   // of a batch
	countMost    = 1 << 32                // of anything in one batch: what is more is no count
	namesMost    = 256                    // bytes of a name
)

// Zone is a zone whose callers are one proxy to the governor.
type Zone struct {
	Name        string
	ID          fleet.ZoneID
	Proxy       fleet.ProxyID
	RequestRate float64 // a second, as usual
}

// HubOptions say what a hub serves.
type HubOptions struct {
	Controller string
	Epoch      uint64
	Zones      []Zone
	Classes    []fleet.RequestClass
	Names      transport.ServerNames
	Now        func() fleet.Time
	Minor      uint32 // of the protocol that updates say they are written for; 0: this program's
}

// Hub is the front whose proxies are the callers of zones: messages become versions of a view, watchers get what has changed, and what
// they report becomes the proxy's counters. All methods may be called from any goroutine.
type Hub struct {
	opt      HubOptions
	mu       sync.Mutex
	zones    []*zoneHub
	byName   map[string]*zoneHub
	byProxy  map[fleet.ProxyID]*zoneHub
	sessions map[uint64]*session
	watchers int
	sink     transport.Sink
	closing  bool
	quit     chan struct{}
	done     sync.WaitGroup
}

var _ transport.Transport = (*Hub)(nil)

type session struct {
	seq uint64
	at  fleet.Time
}

type zoneHub struct {
	Zone
	view     *View
	watchers map[*Watcher]struct{}
	n        uint64 // messages so far
	pending  []*pending
	shared   map[tableversion.Version]*Shared // of the present version, by what a watcher holds
	beat     *Shared
	stream   uint64
	met      map[fleet.ServerID]*counters.ServerCounters
	came     []counters.ClassCounters
}

// pending is a message that some watchers have not taken in yet.
type pending struct {
	n, seq   uint64
	at       fleet.Time
	version  tableversion.Version
	waiting  int
	failures []reconcile.Failure
}

// Shared is an update that goes to many watchers: each wire makes its own form of it once.
type Shared struct {
	Update
	forms [2]struct {
		once sync.Once
		form any
	}
}

// The wires that share forms.
const (
	WireRPC = iota
	WireText
)

// Form gives a wire's form of the update, made at the first call.
func (s *Shared) Form(wire int, of func(*Update) any) any {
	f := &s.forms[wire]
	f.once.Do(func() { f.form = of(&s.Update) })
	return f.form
}

// Watcher follows a zone. Its wire calls Next when it can send and Ack when its caller has taken in.
type Watcher struct {
	hub     *Hub
	zone    *zoneHub
	wake    func()
	started bool // the first update was given
	sent    tableversion.Version
	acked   tableversion.Version
	waits   []sent // not acknowledged, oldest first
	base    uint64 // messages before it that it holds up none of
	free    bool   // nobody waits for it
	spoke   fleet.Time
	beat    bool
	ended   *Error
}

type sent struct {
	version tableversion.Version
	at      fleet.Time
}

// NewHub makes a hub that serves nothing before Start.
func NewHub(o HubOptions) *Hub {
	h := &Hub{opt: o, byName: map[string]*zoneHub{}, byProxy: map[fleet.ProxyID]*zoneHub{}, sessions: map[uint64]*session{}, quit: make(chan struct{})}
	var classes []string
	for _, c := range o.Classes {
		classes = append(classes, c.Name)
	}
	for _, z := range o.Zones {
		one := &zoneHub{Zone: z, view: NewView(o.Controller, z.Name, o.Epoch, classes), watchers: map[*Watcher]struct{}{},
			shared: map[tableversion.Version]*Shared{}, met: map[fleet.ServerID]*counters.ServerCounters{}, came: make([]counters.ClassCounters, len(classes))}
		one.view.origin.Minor = max(Minor, o.Minor)
		h.zones = append(h.zones, one)
		h.byName[z.Name], h.byProxy[z.Proxy] = one, one
	}
	return h
}

// Start joins the zones' proxies. They hold nothing: what callers hold from before they keep until it is laid anew.
func (h *Hub) Start(_ context.Context, sink transport.Sink) error {
	h.mu.Lock()
	h.sink = sink
	for _, z := range h.zones {
		h.join(z)
	}
	h.mu.Unlock()
	h.done.Add(1)
	go func() {
		defer h.done.Done()
		tick := time.NewTicker(tickEvery)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				h.Tick(h.opt.Now())
			case <-h.quit:
				return
			}
		}
	}()
	return nil
}

func (h *Hub) join(z *zoneHub) {
	z.stream++
	h.sink(transport.Connected{Proxy: z.Proxy, Stream: z.stream, Snapshot: reconcile.Snapshot{Zone: z.ID, RequestRate: z.RequestRate, Fresh: true}})
}

// Send takes a message in and wakes the zone's watchers.
func (h *Hub) Send(m reconcile.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	z := h.byProxy[m.Proxy]
	if z == nil || h.sink == nil {
		return
	}
	failures, changed := z.view.Apply(m.Changes, h.opt.Names.Of)
	z.n++
	p := &pending{n: z.n, seq: m.Sequence, at: h.opt.Now(), version: z.view.Version(), failures: failures}
	if changed {
		for w := range z.watchers {
			if !w.free {
				p.waiting++
			}
		}
		h.changed(z)
	}
	z.pending = append(z.pending, p)
	h.settle(z)
}

func (h *Hub) changed(z *zoneHub) {
	clear(z.shared)
	z.beat = nil
	for w := range z.watchers {
		w.wake()
	}
}

// settle answers the messages that nobody holds up any more, in their order.
func (h *Hub) settle(z *zoneHub) {
	for len(z.pending) > 0 && z.pending[0].waiting <= 0 {
		p := z.pending[0]
		z.pending = z.pending[1:]
		h.sink(transport.Answered{Proxy: z.Proxy, Stream: z.stream, Sequence: p.seq, Failures: p.failures})
	}
}

// holdsUp tells whether a message waits for the watcher.
func (w *Watcher) holdsUp(p *pending) bool {
	return !w.free && p.n > w.base && p.version.Compare(w.acked) > 0
}

// release counts a watcher out of all that wait for what comes after what it has acknowledged.
func (h *Hub) release(w *Watcher) {
	for _, p := range w.zone.pending {
		if w.holdsUp(p) {
			p.waiting--
		}
	}
	w.free, w.base = true, w.zone.n
}

// Facts tells what the governor's list says.
func (h *Hub) Facts(f PublishedState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, z := range h.zones {
		if z.view.Facts(f) {
			h.changed(z)
		}
		clear(z.shared)
		z.beat = nil
	}
}

// Tick looks at slow watchers and gives signs of life.
func (h *Hub) Tick(now fleet.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, z := range h.zones {
		for w := range z.watchers {
			since := fleet.Time(0)
			if len(w.waits) > 0 {
				since = w.waits[0].at
			} else if i := slices.IndexFunc(z.pending, func(p *pending) bool { return w.holdsUp(p) }); i >= 0 {
				since = z.pending[i].at // its wire did not even ask for it
			}
			switch Judge(now, since) {
			case Slow:
				if !w.free {
					h.release(w)
				}
			case Cut:
				h.end(w, fault(TooSlow, "nothing was acknowledged for %.0f s", (now-since).Seconds()))
				continue
			}
			if now >= w.spoke+heartbeatInterval && len(w.waits) < windowMost {
				w.beat = true
				w.wake()
			}
		}
		h.settle(z)
	}
	for id, s := range h.sessions {
		if now >= s.at+sessionKeeps {
			delete(h.sessions, id)
		}
	}
}

func (h *Hub) end(w *Watcher, why *Error) {
	if w.ended != nil {
		return
	}
	if w.ended = why; !w.free {
		h.release(w)
	}
	delete(w.zone.watchers, w)
	h.watchers--
	w.wake()
}

// Watch begins to follow a zone from what a caller holds. Wake is called whenever Next may have something, from any goroutine; it
// must not block and not call back.
func (h *Hub) Watch(zone string, holds tableversion.Version, wake func()) (*Watcher, *Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	z, f := h.zone(zone)
	if f != nil {
		return nil, f
	}
	if h.watchers >= watchersMost {
		return nil, &Error{Overloaded, "too many watchers", retryMost}
	}
	w := &Watcher{hub: h, zone: z, wake: wake, sent: holds, acked: holds, free: true, base: z.n, spoke: h.opt.Now()}
	z.watchers[w] = struct{}{}
	h.watchers++
	return w, nil
}

func (h *Hub) zone(name string) (*zoneHub, *Error) {
	if h.closing {
		return nil, fault(Closing, "governor %s stops", h.opt.Controller)
	}
	z := h.byName[name]
	if z == nil {
		return nil, fault(NoZone, "zone %.*q is none of this governor's", namesMost, name)
	}
	return z, nil
}

// known tells whether there is anything to tell: a list was heard.
func (z *zoneHub) known() bool { return z.view.Any() || z.view.facts.Open != nil }

// Next gives what is to be sent now, nil for nothing, or why the watch is over.
func (w *Watcher) Next() (*Shared, *Error) {
	h := w.hub
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.ended != nil {
		return nil, w.ended
	}
	z, now := w.zone, h.opt.Now()
	if len(w.waits) >= windowMost {
		return nil, nil
	}
	if z.known() && (!w.started || w.sent != z.view.Version()) {
		s := z.shared[w.sent]
		if s == nil {
			s = &Shared{Update: z.view.Since(w.sent)}
			z.shared[w.sent] = s
		}
		w.started, w.beat, w.sent, w.spoke = true, false, z.view.Version(), now
		w.waits = append(w.waits, sent{w.sent, now})
		return s, nil
	}
	if !w.beat {
		return nil, nil
	}
	if z.beat == nil {
		z.beat = &Shared{Update: z.view.Beat()}
	}
	w.beat, w.spoke = false, now
	w.waits = append(w.waits, sent{w.sent, now})
	return z.beat, nil
}

// Ack tells that the caller has taken in all up to a version.
func (w *Watcher) Ack(version tableversion.Version) {
	h := w.hub
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.ended != nil {
		return
	}
	n := 0
	for n < len(w.waits) && w.waits[n].version.Compare(version) <= 0 {
		n++
	}
	if n == 0 { // of nothing that was sent
		return
	}
	full := len(w.waits) >= windowMost
	w.waits = append(w.waits[:0], w.waits[n:]...)
	old := w.acked
	w.acked = version
	switch {
	case !w.free:
		for _, p := range w.zone.pending {
			if p.n > w.base && p.version.Compare(old) > 0 && p.version.Compare(version) <= 0 {
				p.waiting--
			}
		}
		h.settle(w.zone)
	case len(w.waits) == 0: // caught up: from here on it is waited for
		w.free, w.base = false, w.zone.n
	}
	if full {
		w.wake()
	}
}

// Close ends the watch from the caller's side.
func (w *Watcher) Close() {
	w.hub.mu.Lock()
	defer w.hub.mu.Unlock()
	if w.ended == nil {
		w.hub.end(w, fault(Closing, "the caller left"))
		w.hub.settle(w.zone)
	}
}

// Table gives the whole of a zone.
func (h *Hub) Table(zone string) (*Shared, *Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	z, f := h.zone(zone)
	if f != nil {
		return nil, f
	}
	if !z.view.Any() {
		return nil, &Error{Unready, "no table is laid yet", fleet.Second}
	}
	s := z.shared[tableversion.NoVersion]
	if s == nil {
		s = &Shared{Update: z.view.Since(tableversion.NoVersion)}
		z.shared[tableversion.NoVersion] = s
	}
	return s, nil
}

// Report counts a batch, all of it or nothing, and gives the number of the newest batch that is counted. Rows of servers that this
// governor never heard of are left out.
func (h *Hub) Report(r *Report) (uint64, *Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	z, f := h.zone(r.Zone)
	if f != nil {
		return 0, f
	}
	if len(r.Outcomes) > rowsMost || len(r.Demands) > len(h.opt.Classes) {
		return 0, fault(TooLarge, "a batch of %d servers and %d classes; %d and %d are the most", len(r.Outcomes), len(r.Demands), rowsMost, len(h.opt.Classes))
	}
	servers, classes := make([]fleet.ServerID, len(r.Outcomes)), make([]int, len(r.Demands))
	for i, m := range r.Outcomes {
		var known bool
		if servers[i], known = h.opt.Names.Server(m.Server); !known { // of another governor's list: nobody here could use it
			servers[i] = noServer
		}
		switch {
		case m.Attempts > countMost || m.Failures > m.Attempts || m.Successes > m.Attempts || m.SuccessMillis > countMost*1000 || len(m.Load) > len(counters.ServerCounters{}.Load):
			return 0, fault(BadRequest, "met[%d]: %q: counts that don't add up", i, m.Server)
		}
	}
	for i, c := range r.Demands {
		classes[i] = -1
		for k, known := range h.opt.Classes {
			if known.Name == c.Class {
				classes[i] = k
			}
		}
		switch {
		case classes[i] < 0:
			return 0, fault(NoClass, "came[%d]: %.*q is none of the classes", i, namesMost, c.Class)
		case c.Requests > countMost || c.Unanswered > c.Requests:
			return 0, fault(BadRequest, "came[%d]: %q: counts that don't add up", i, c.Class)
		}
	}
	s := h.sessions[r.Session]
	if s == nil {
		if len(h.sessions) >= sessionsMost {
			return 0, &Error{Overloaded, "too many callers report", retryMost}
		}
		s = &session{}
		h.sessions[r.Session] = s
	}
	if s.at = h.opt.Now(); r.Sequence <= s.seq { // it came twice
		return s.seq, nil
	}
	s.seq = r.Sequence
	for i, m := range r.Outcomes {
		if servers[i] == noServer {
			continue
		}
		c := z.met[servers[i]]
		if c == nil {
			c = &counters.ServerCounters{}
			z.met[servers[i]] = c
		}
		c.Attempts, c.Failures, c.Successes, c.SuccessMillis = c.Attempts+m.Attempts, c.Failures+m.Failures, c.Successes+m.Successes, c.SuccessMillis+m.SuccessMillis
		for k, v := range m.Load {
			c.Load[k], c.HasLoad = float32(v)/perMille, true
		}
	}
	for i, c := range r.Demands {
		came := &z.came[classes[i]]
		came.Requests, came.Unanswered = came.Requests+c.Requests, came.Unanswered+c.Unanswered
	}
	return s.seq, nil
}

const (
	perMille = 1000
	noServer = fleet.ServerID(1<<32 - 1)
)

// Poll gives the counters of a zone's callers.
func (h *Hub) Poll(id fleet.ProxyID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	z := h.byProxy[id]
	if z == nil || h.sink == nil {
		return
	}
	r := counters.NewReading(len(z.came))
	for server, m := range z.met {
		r.Row(server).ServerCounters = *m
	}
	copy(r.Classes, z.came)
	h.sink(transport.CountersPolled{Proxy: id, Stream: z.stream, Reading: r})
}

// Drop ends the watches that hold messages up, and joins the zone's proxy anew.
func (h *Hub) Drop(id fleet.ProxyID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	z := h.byProxy[id]
	if z == nil || h.sink == nil {
		return
	}
	for w := range z.watchers {
		if len(w.waits) > 0 {
			h.end(w, fault(TooSlow, "the governor waited for it too long"))
		}
	}
	z.pending = nil
	h.sink(transport.Disconnected{Proxy: id, Stream: z.stream, Err: errors.New("its callers took too long")})
	h.join(z)
}

// Stop ends all watches; callers go to another governor or go on by what they hold.
func (h *Hub) Stop(context.Context) error {
	h.mu.Lock()
	if h.closing {
		h.mu.Unlock()
		return nil
	}
	h.closing = true
	for _, z := range h.zones {
		for w := range z.watchers {
			h.end(w, fault(Closing, "governor %s stops", h.opt.Controller))
		}
	}
	h.mu.Unlock()
	close(h.quit)
	h.done.Wait()
	return nil
}

// Watchers tells how many there are.
func (h *Hub) Watchers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.watchers
}

// Hello tells who serves.
func (h *Hub) Hello() Hello {
	o := Hello{Major: Major, Minor: Minor, Name: h.opt.Controller, Epoch: h.opt.Epoch, Classes: h.opt.Classes}
	for _, z := range h.zones {
		o.Zones = append(o.Zones, z.Name)
	}
	return o
}
