package service

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
	"cressknot/internal/reconcile"
	"cressknot/internal/tableversion"
	"cressknot/internal/transport"
)

const (
	// tickInterval is the interval at which slow watchers, due heartbeats and expired report sessions are handled.
	tickInterval = 100 * time.Millisecond
	// maxNameLength is the maximum length in bytes of a server name in a query, and the length in characters to which
	// names are cut in error texts.
	maxNameLength = 256
	// unreadyRetryAfter is the retry delay for a caller that asks before the first table is published.
	unreadyRetryAfter = fleet.Second
)

// Zone is a zone of the service. The controller treats all clients of the zone as one proxy.
type Zone struct {
	Name        string
	ID          fleet.ZoneID
	Proxy       fleet.ProxyID
	RequestRate float64 // usual requests per second
}

// HubOptions configure a hub.
type HubOptions struct {
	Controller string // name of the controller
	Epoch      uint64 // of the table versions that the hub creates
	Zones      []Zone
	Classes    []fleet.RequestClass
	Names      transport.ServerNames
	Now        func() fleet.Time
	Minor      uint32 // minor protocol version in updates, if newer than that of this program; 0: that of this program
}

// Hub is a transport whose proxies are the clients of zones. It applies the controller's messages to the view of a
// zone, sends the changes to the zone's watchers, and sums up the reports of clients to the counters of the zone's
// proxy. Its methods may be called from any goroutine. The sink must not call back into the hub.
type Hub struct {
	options HubOptions
	quit    chan struct{}
	done    sync.WaitGroup

	mu       sync.Mutex
	sink     transport.Sink
	closing  bool
	zones    []*zoneHub
	byName   map[string]*zoneHub
	byProxy  map[fleet.ProxyID]*zoneHub
	watchers int
	sessions map[uint64]*reportSession
	// addressSessions are the numbers of sessions by the address that began them.
	addressSessions map[string]int
}

var _ transport.Transport = (*Hub)(nil)

// zoneHub is the state of one zone.
type zoneHub struct {
	Zone
	stream   uint64
	view     *View
	messages uint64 // messages received so far
	pending  []*pendingMessage
	watchers map[*Watcher]struct{}

	sharedUpdates map[tableversion.Version]*SharedUpdate // to the current version, by the version that the watcher has
	heartbeat     *SharedUpdate

	serverCounters map[fleet.ServerID]*counters.ServerCounters
	classCounters  []counters.ClassCounters
}

// pendingMessage is a message that is not answered yet, because watchers have not acknowledged it or an earlier one is
// pending.
type pendingMessage struct {
	number          uint64 // counts the zone's messages, from 1
	sequence        uint64 // assigned by the controller
	sentAt          fleet.Time
	version         tableversion.Version
	waitingWatchers int // watchers whose acknowledgement is outstanding
	failures        []reconcile.Failure
}

// NewHub returns a hub. It ignores messages until Start.
func NewHub(options HubOptions) *Hub {
	h := &Hub{
		options:  options,
		byName:   map[string]*zoneHub{},
		byProxy:  map[fleet.ProxyID]*zoneHub{},
		sessions: map[uint64]*reportSession{},

		addressSessions: map[string]int{},
		quit:            make(chan struct{}),
	}
	var classes []string
	for _, class := range options.Classes {
		classes = append(classes, class.Name)
	}
	for _, zone := range options.Zones {
		z := &zoneHub{
			Zone:           zone,
			view:           NewView(options.Controller, zone.Name, options.Epoch, classes),
			watchers:       map[*Watcher]struct{}{},
			sharedUpdates:  map[tableversion.Version]*SharedUpdate{},
			serverCounters: map[fleet.ServerID]*counters.ServerCounters{},
			classCounters:  make([]counters.ClassCounters, len(classes)),
		}
		z.view.template.Minor = max(Minor, options.Minor)
		h.zones = append(h.zones, z)
		h.byName[zone.Name] = z
		h.byProxy[zone.Proxy] = z
	}
	return h
}

// Start reports the zones' proxies as connected, without tables, and starts the periodic work. Until the controller
// publishes a table, clients continue with the tables that they have.
func (h *Hub) Start(_ context.Context, sink transport.Sink) error {
	h.mu.Lock()
	h.sink = sink
	for _, z := range h.zones {
		h.connect(z)
	}
	h.mu.Unlock()
	h.done.Add(1)
	go h.run()
	return nil
}

func (h *Hub) run() {
	defer h.done.Done()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			h.Tick(h.options.Now())
		case <-h.quit:
			return
		}
	}
}

func (h *Hub) connect(z *zoneHub) {
	z.stream++
	snapshot := reconcile.Snapshot{Zone: z.ID, RequestRate: z.RequestRate, Fresh: true}
	h.sink(transport.Connected{Proxy: z.Proxy, Stream: z.stream, Snapshot: snapshot})
}

// zoneOf returns the zone of a proxy, or nil if there is none or the hub has not started.
func (h *Hub) zoneOf(id fleet.ProxyID) *zoneHub {
	if h.sink == nil {
		return nil
	}
	return h.byProxy[id]
}

// Send applies a message to the view of a zone and wakes the zone's watchers. The message is answered, with the changes
// that could not be applied, when all watchers that do not lag have acknowledged it.
func (h *Hub) Send(m reconcile.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	z := h.zoneOf(m.Proxy)
	if z == nil {
		return
	}
	failures, changed := z.view.Apply(m.Changes, h.options.Names.Lookup)
	z.messages++
	message := &pendingMessage{
		number:   z.messages,
		sequence: m.Sequence,
		sentAt:   h.options.Now(),
		version:  z.view.Version(),
		failures: failures,
	}
	if changed {
		for w := range z.watchers {
			if !w.lagging {
				message.waitingWatchers++
			}
		}
		z.notifyWatchers()
	}
	z.pending = append(z.pending, message)
	h.answerAcknowledged(z)
}

// notifyWatchers wakes the watchers because a new version or state is available.
func (z *zoneHub) notifyWatchers() {
	z.discardSharedUpdates()
	for w := range z.watchers {
		w.wake()
	}
}

// discardSharedUpdates drops the shared updates, which are out of date after any change of the view.
func (z *zoneHub) discardSharedUpdates() {
	clear(z.sharedUpdates)
	z.heartbeat = nil
}

// answerAcknowledged answers, in order, the messages without outstanding acknowledgements.
func (h *Hub) answerAcknowledged(z *zoneHub) {
	for len(z.pending) > 0 && z.pending[0].waitingWatchers <= 0 {
		message := z.pending[0]
		z.pending = z.pending[1:]
		h.sink(transport.Answered{
			Proxy:    z.Proxy,
			Stream:   z.stream,
			Sequence: message.sequence,
			Failures: message.failures,
		})
	}
}

// PublishState replaces the state of the endpoint list in all zones.
func (h *Hub) PublishState(state PublishedState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, z := range h.zones {
		if z.view.SetState(state) {
			z.notifyWatchers()
		}
		z.discardSharedUpdates()
	}
}

// Tick handles slow watchers, due heartbeats and expired report sessions. Start calls it periodically.
func (h *Hub) Tick(now fleet.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, z := range h.zones {
		for w := range z.watchers {
			h.checkWatcher(now, w)
		}
		h.answerAcknowledged(z)
	}
	h.expireSessions(now)
}

// Poll reports the counters of a zone's clients to the sink.
func (h *Hub) Poll(id fleet.ProxyID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	z := h.zoneOf(id)
	if z == nil {
		return
	}
	reading := counters.NewReading(len(z.classCounters))
	for server, serverCounters := range z.serverCounters {
		reading.Row(server).ServerCounters = *serverCounters
	}
	copy(reading.Classes, z.classCounters)
	h.sink(transport.CountersPolled{Proxy: id, Stream: z.stream, Reading: reading})
}

// Drop ends all watches with unacknowledged updates, discards pending messages and reconnects the zone's proxy.
func (h *Hub) Drop(id fleet.ProxyID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	z := h.zoneOf(id)
	if z == nil {
		return
	}
	for w := range z.watchers {
		if len(w.unacknowledged) > 0 {
			h.endWatch(w, errorf(TooSlow, "watch ended: an update was not acknowledged in time"))
		}
	}
	z.pending = nil
	reason := errors.New("clients did not acknowledge updates in time")
	h.sink(transport.Disconnected{Proxy: id, Stream: z.stream, Err: reason})
	h.connect(z)
}

// Stop ends all watches with code Closing. Clients then switch to another controller or keep the tables that they have.
func (h *Hub) Stop(context.Context) error {
	h.mu.Lock()
	if h.closing {
		h.mu.Unlock()
		return nil
	}
	h.closing = true
	for _, z := range h.zones {
		for w := range z.watchers {
			h.endWatch(w, h.closingError())
		}
	}
	h.mu.Unlock()
	close(h.quit)
	h.done.Wait()
	return nil
}

func (h *Hub) closingError() *Error {
	return errorf(Closing, "controller %s is shutting down", h.options.Controller)
}

// zoneByName returns a zone, or an error if this controller does not serve it or is shutting down.
func (h *Hub) zoneByName(name string) (*zoneHub, *Error) {
	if h.closing {
		return nil, h.closingError()
	}
	z := h.byName[name]
	if z == nil {
		return nil, errorf(NoZone, "zone %.*q is not served by this controller", maxNameLength, name)
	}
	return z, nil
}

// Table returns the complete tables of a zone. While no class is published the error has code Unready.
func (h *Hub) Table(zone string) (*SharedUpdate, *Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	z, err := h.zoneByName(zone)
	if err != nil {
		return nil, err
	}
	if !z.view.AnyPublished() {
		text := fmt.Sprintf("no class has a weight table in zone %s yet", zone)
		return nil, &Error{Unready, text, unreadyRetryAfter}
	}
	return z.updateSince(tableversion.NoVersion), nil
}

// updateSince returns the update from a version to the current one. It is computed once for all watchers that have the
// same version.
func (z *zoneHub) updateSince(from tableversion.Version) *SharedUpdate {
	update := z.sharedUpdates[from]
	if update == nil {
		update = &SharedUpdate{Update: z.view.Since(from)}
		z.sharedUpdates[from] = update
	}
	return update
}

// Hello describes the controller: its protocol version, name, epoch, zones and classes.
func (h *Hub) Hello() Hello {
	hello := Hello{
		Major:   Major,
		Minor:   Minor,
		Name:    h.options.Controller,
		Epoch:   h.options.Epoch,
		Classes: h.options.Classes,
	}
	for _, z := range h.zones {
		hello.Zones = append(hello.Zones, z.Name)
	}
	return hello
}
