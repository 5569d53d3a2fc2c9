package service

import (
	"fmt"
	"slices"
	"sync"

	"cressknot/internal/fleet"
	"cressknot/internal/tableversion"
)

const (
	// maxWatchers bounds the number of watchers of a controller.
	maxWatchers = 8192
	// maxUnacknowledged is the maximum number of unacknowledged updates of a watcher: a client applies one while the
	// next is in transit.
	maxUnacknowledged = 2
	// slowWatcherDelay is the time without an acknowledgement after which a watcher lags: it no longer delays the answers
	// to messages.
	slowWatcherDelay = fleet.Second
	// watcherTimeout is the time without an acknowledgement after which a watch ends, because a client that applies no
	// updates routes by an outdated table.
	watcherTimeout = 3 * fleet.Second
	// heartbeatInterval is the time since the last update after which a watcher gets a heartbeat.
	heartbeatInterval = fleet.Second
)

// tooManyWatchers is the error text for a watcher beyond maxWatchers.
var tooManyWatchers = fmt.Sprintf("limit of %d concurrent watchers reached", maxWatchers)

// SharedUpdate is an update that is sent to many watchers. Each protocol encodes it once.
type SharedUpdate struct {
	Update
	encodings [encodingCount]sharedEncoding
}

type sharedEncoding struct {
	once  sync.Once
	value any // type chosen by the package of the protocol
}

// Encoding identifies a protocol that shares encoded updates.
type Encoding int

// The protocols that share encoded updates.
const (
	RPCEncoding Encoding = iota // a prepared message
	RPCMessage                  // a message that is not encoded
	TextEncoding
	encodingCount
)

// Encoded returns the encoding of the update for a protocol. The first call computes it with encode, later calls and
// concurrent ones return the same value. It may be called from any goroutine.
func (s *SharedUpdate) Encoded(encoding Encoding, encode func(*Update) any) any {
	e := &s.encodings[encoding]
	e.once.Do(func() { e.value = encode(&s.Update) })
	return e.value
}

// Watcher sends the updates of a zone to one client. The protocol calls Next when it can send, Ack when the client
// acknowledges updates, and Close when the connection ends. Its methods may be called from any goroutine.
type Watcher struct {
	hub            *Hub
	zone           *zoneHub
	wake           func()
	started        bool                 // the first update was sent
	sent           tableversion.Version // newest version that was sent
	acked          tableversion.Version // newest version that was acknowledged
	unacknowledged []sentUpdate         // oldest first
	joinedAfter    uint64               // messages up to this number do not wait for the watcher
	lagging        bool                 // no message waits for the watcher
	lastSent       fleet.Time
	heartbeatDue   bool
	endErr         *Error // why the watch has ended; nil: it has not
}

type sentUpdate struct {
	version tableversion.Version
	sentAt  fleet.Time
}

// Watch starts to watch a zone from the version that the client has, NoVersion for none. Wake is called from any
// goroutine whenever Next may return an update or an error; it must not block nor call the hub or the watcher.
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

// Watchers returns the number of current watchers in all zones.
func (h *Hub) Watchers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.watchers
}

// hasState reports whether there is anything to send: a table is published or an endpoint list was received.
func (z *zoneHub) hasState() bool { return z.view.AnyPublished() || z.view.state.OpenServers != nil }

// Next returns the update to send now, or nil if there is none or too many are unacknowledged. The error says why the
// watch has ended.
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

// Ack records that the client has applied all updates up to a version. Versions that were not sent are ignored.
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
	if count == 0 { // that version was not sent or is acknowledged already
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
	case len(w.unacknowledged) == 0: // caught up: later messages wait for the watcher again
		w.lagging = false
		w.joinedAfter = w.zone.messages
	}
	if full {
		w.wake()
	}
}

// unblock removes the watcher from the count of the messages that it has just acknowledged.
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

// markLagging removes the watcher from the count of all messages that wait for it.
func (w *Watcher) markLagging() {
	for _, message := range w.zone.pending {
		if w.blocks(message) {
			message.waitingWatchers--
		}
	}
	w.lagging = true
	w.joinedAfter = w.zone.messages
}

// Close ends the watch on behalf of the client. Further calls have no effect.
func (w *Watcher) Close() {
	w.hub.mu.Lock()
	defer w.hub.mu.Unlock()
	if w.endErr == nil {
		w.hub.endWatch(w, errorf(Closing, "watch closed by the caller"))
		w.hub.answerAcknowledged(w.zone)
	}
}

// endWatch ends a watch for the given reason and wakes the watcher, so that its protocol sends the reason.
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

// checkWatcher marks a slow watcher as lagging, ends the watch of one that timed out, and wakes one that is due for a
// heartbeat.
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

// waitingSince returns the time of the oldest update that the watcher has not acknowledged, whether or not it was sent;
// 0 for none.
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

// watcherState says how far a watcher is behind.
type watcherState uint8

const (
	watcherCurrent watcherState = iota
	watcherSlow
	watcherTimedOut
)

// classifyWatcher returns the state of a watcher by the time of its oldest unacknowledged update, 0 for none.
func classifyWatcher(now, since fleet.Time) watcherState {
	switch {
	case since == 0 || now < since+slowWatcherDelay:
		return watcherCurrent
	case now < since+watcherTimeout:
		return watcherSlow
	}
	return watcherTimedOut
}
