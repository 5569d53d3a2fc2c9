package service

import (
	"fmt"
	"slices"
	"sync"

	"cressknot/internal/fleet"
	"cressknot/internal/tableversion"
)

const (
	// maxWatchers bounds the watchers of a controller.
	maxWatchers = 8192
	// maxUnacknowledged is how many updates a watcher may not have acknowledged: one is applied while one is on its way.
	maxUnacknowledged = 2
	// slowWatcherDelay without an acknowledgement makes a watcher lagging: messages don't wait for it any more.
	slowWatcherDelay = fleet.Second
	// watcherTimeout without an acknowledgement ends a watch, because a table that is not updated misleads.
	watcherTimeout = 3 * fleet.Second
	// heartbeatInterval is the time between two updates of a watcher when nothing changes.
	heartbeatInterval = fleet.Second
)

// tooManyWatchers is the text of the error for a watcher beyond maxWatchers.
var tooManyWatchers = fmt.Sprintf("limit of %d concurrent watchers reached", maxWatchers)

// SharedUpdate is an update that goes to many watchers: each protocol encodes it once.
type SharedUpdate struct {
	Update
	encodings [encodingCount]sharedEncoding
}

type sharedEncoding struct {
	once  sync.Once
	value any // what the protocol's package made
}

// Encoding is a protocol that shares encoded updates.
type Encoding int

// The encodings.
const (
	RPCEncoding Encoding = iota
	TextEncoding
	encodingCount
)

// Encoded returns a protocol's encoding of the update, made by the first call.
func (s *SharedUpdate) Encoded(encoding Encoding, encode func(*Update) any) any {
	e := &s.encodings[encoding]
	e.once.Do(func() { e.value = encode(&s.Update) })
	return e.value
}

// Watcher follows a zone. Its protocol calls Next when it can send, and Ack when the caller has applied updates.
type Watcher struct {
	hub            *Hub
	zone           *zoneHub
	wake           func()
	started        bool // the first update was returned
	sent           tableversion.Version
	acked          tableversion.Version
	unacknowledged []sentUpdate // oldest first
	joinedAfter    uint64       // messages up to this number don't wait for it
	lagging        bool         // no message waits for it
	lastSent       fleet.Time
	heartbeatDue   bool
	endErr         *Error
}

type sentUpdate struct {
	version tableversion.Version
	sentAt  fleet.Time
}

// Watch begins to follow a zone from the version that a caller has. Wake is called whenever Next may have something,
// from any goroutine; it must not block and not call back.
func (h *Hub) Watch(zone string, from tableversion.Version, wake func()) (*Watcher, *Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	z, err := h.zoneByName(zone)
	if err != nil {
		return nil, err
	}
	if h.watchers >= maxWatchers {
		return nil, &Error{Overloaded, tooManyWatchers, maxRetryAfter}
	}
	w := &Watcher{
		hub:         h,
		zone:        z,
		wake:        wake,
		sent:        from,
		acked:       from,
		lagging:     true,
		joinedAfter: z.messages,
		lastSent:    h.options.Now(),
	}
	z.watchers[w] = struct{}{}
	h.watchers++
	return w, nil
}

// Watchers returns the number of watchers.
func (h *Hub) Watchers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.watchers
}

// hasState reports whether there is anything to send: a list was received.
func (z *zoneHub) hasState() bool { return z.view.AnyPublished() || z.view.state.OpenServers != nil }

// Next returns what is to be sent now, nil for nothing, or why the watch has ended.
func (w *Watcher) Next() (*SharedUpdate, *Error) {
	w.hub.mu.Lock()
	defer w.hub.mu.Unlock()
	if w.endErr != nil {
		return nil, w.endErr
	}
	if len(w.unacknowledged) >= maxUnacknowledged {
		return nil, nil
	}
	z := w.zone
	if z.hasState() && (!w.started || w.sent != z.view.Version()) {
		update := z.updateSince(w.sent)
		w.started = true
		w.sent = z.view.Version()
		w.recordSent()
		return update, nil
	}
	if !w.heartbeatDue {
		return nil, nil
	}
	if z.heartbeat == nil {
		z.heartbeat = &SharedUpdate{Update: z.view.Heartbeat()}
	}
	w.recordSent()
	return z.heartbeat, nil
}

func (w *Watcher) recordSent() {
	now := w.hub.options.Now()
	w.heartbeatDue = false
	w.lastSent = now
	w.unacknowledged = append(w.unacknowledged, sentUpdate{w.sent, now})
}

// Ack reports that the caller has applied all updates up to a version.
func (w *Watcher) Ack(version tableversion.Version) {
	h := w.hub
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.endErr != nil {
		return
	}
	count := 0
	for count < len(w.unacknowledged) && w.unacknowledged[count].version.Compare(version) <= 0 {
		count++
	}
	if count == 0 { // nothing of that version was sent
		return
	}
	full := len(w.unacknowledged) >= maxUnacknowledged
	w.unacknowledged = append(w.unacknowledged[:0], w.unacknowledged[count:]...)
	previous := w.acked
	w.acked = version
	switch {
	case !w.lagging:
		w.unblock(previous, version)
		h.answerAcknowledged(w.zone)
	case len(w.unacknowledged) == 0: // caught up: later messages wait for it
		w.lagging = false
		w.joinedAfter = w.zone.messages
	}
	if full {
		w.wake()
	}
}

// unblock counts the watcher out of the messages between two acknowledged versions.
func (w *Watcher) unblock(previous, version tableversion.Version) {
	for _, message := range w.zone.pending {
		if message.number > w.joinedAfter &&
			message.version.Compare(previous) > 0 && message.version.Compare(version) <= 0 {
			message.waitingWatchers--
		}
	}
}

// blocks reports whether a message waits for the watcher.
func (w *Watcher) blocks(message *pendingMessage) bool {
	return !w.lagging && message.number > w.joinedAfter && message.version.Compare(w.acked) > 0
}

// markLagging counts a watcher out of all messages that wait for it.
func (w *Watcher) markLagging() {
	for _, message := range w.zone.pending {
		if w.blocks(message) {
			message.waitingWatchers--
		}
	}
	w.lagging = true
	w.joinedAfter = w.zone.messages
}

// Close ends the watch from the caller's side.
func (w *Watcher) Close() {
	w.hub.mu.Lock()
	defer w.hub.mu.Unlock()
	if w.endErr == nil {
		w.hub.endWatch(w, errorf(Closing, "watch closed by the caller"))
		w.hub.answerAcknowledged(w.zone)
	}
}

func (h *Hub) endWatch(w *Watcher, reason *Error) {
	if w.endErr != nil {
		return
	}
	w.endErr = reason
	if !w.lagging {
		w.markLagging()
	}
	delete(w.zone.watchers, w)
	h.watchers--
	w.wake()
}

// checkWatcher handles a watcher that acknowledges too slowly, or that is due for a heartbeat.
func (h *Hub) checkWatcher(now fleet.Time, w *Watcher) {
	since := w.waitingSince()
	switch classifyWatcher(now, since) {
	case watcherSlow:
		if !w.lagging {
			w.markLagging()
		}
	case watcherTimedOut:
		h.endWatch(w, errorf(TooSlow, "watch ended: no acknowledgement for %.0f s, the limit is %.0f s",
			(now-since).Seconds(), watcherTimeout.Seconds()))
		return
	}
	if now >= w.lastSent+heartbeatInterval && len(w.unacknowledged) < maxUnacknowledged {
		w.heartbeatDue = true
		w.wake()
	}
}

// waitingSince is the time of the oldest update that the watcher has not acknowledged, or not even asked for; 0 for
// none.
func (w *Watcher) waitingSince() fleet.Time {
	if len(w.unacknowledged) > 0 {
		return w.unacknowledged[0].sentAt
	}
	i := slices.IndexFunc(w.zone.pending, w.blocks)
	if i < 0 {
		return 0
	}
	return w.zone.pending[i].sentAt
}

// watcherState is how far a watcher is behind.
type watcherState uint8

const (
	watcherCurrent watcherState = iota
	watcherSlow
	watcherTimedOut
)

// judgeWatcher returns the state of a watcher whose oldest unacknowledged update is of the given time, 0 for none.
func classifyWatcher(now, since fleet.Time) watcherState {
	switch {
	case since == 0 || now < since+slowWatcherDelay:
		return watcherCurrent
	case now < since+watcherTimeout:
		return watcherSlow
	}
	return watcherTimedOut
}
