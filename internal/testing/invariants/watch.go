// Package invariants judges the rules that a controller must keep, from what simulated proxies and nodes saw on their
// sockets and from what the list service answered. It never reads a controller's own records. The simulated parts
// write into a Watch while they run; Judge evaluates it afterwards.
package invariants

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Observations of nodes and proxies. Times are since the watch's start.
type (
	// ownership begins a controller's service of a proxy.
	ownership struct {
		at         time.Duration
		controller string
	}
	// unusableSpan is a time in which a proxy had no usable entry for a class.
	unusableSpan struct {
		proxy, class string
		from, to     time.Duration // to: 0 while it lasts
	}
	// session is a controller's session at a proxy.
	session struct {
		proxy    string
		from, to time.Duration // to: 0 while it lasts
	}
	// attempt is an attempt that a proxy sent.
	attempt struct {
		at         time.Duration
		node       string
		proxy      string
		class      string
		request    uint64
		number     int
		mayHaveRun bool // an earlier attempt of this request may have been executed
	}
	// execution is a request that a node executed.
	execution struct {
		at      time.Duration
		node    string
		request uint64
		class   string
	}
	// notification is what a controller was sent about a node.
	notification struct {
		at         time.Duration
		controller string
		node       string
		state      string // ready, draining, gone
		started    time.Duration
		slowStart  bool // started is since the watch began
	}
	// message is a message that a proxy read.
	message struct {
		at      time.Duration
		proxy   string
		entries int
	}
	// overload is a node in slow start that got too much work.
	overload struct {
		at          time.Duration
		node        string
		workByProxy map[string]float64 // in the window before
		started     time.Duration
	}
)

// stateReady is the state of a listed server that takes requests.
const stateReady = "ready"

// proxyClass and controllerNode are keys of observations.
type (
	proxyClass     struct{ proxy, class string }
	controllerNode struct{ controller, node string }
)

// Watch collects observations; all its methods may be called from any goroutine.
type Watch struct {
	start time.Time
	mu    sync.Mutex

	owners   map[string][]ownership // by proxy, in time
	sessions []session
	live     map[string]int // by proxy: index of the session that lasts

	usabilityChecks int
	unusable        []unusableSpan
	unusableNow     map[proxyClass]int // index of the span that lasts

	epochs           map[string]uint64 // by proxy: of the latest controller whose command it followed
	commands         int
	outdatedCommands []Break // of a controller after those of a later one

	versions  int
	rollbacks []Break

	attempts          []attempt
	executions        []execution
	notifications     []notification
	lastNotifications map[controllerNode]notification
	messages          []message
	overloads         []overload
	slowStartRequests int
}

// NewWatch begins a watch.
func NewWatch() *Watch {
	return &Watch{
		start:             time.Now(),
		owners:            map[string][]ownership{},
		epochs:            map[string]uint64{},
		unusableNow:       map[proxyClass]int{},
		live:              map[string]int{},
		lastNotifications: map[controllerNode]notification{},
	}
}

func (w *Watch) now() time.Duration { return time.Since(w.start) }

// Owner records which controller serves a proxy from now on.
func (w *Watch) Owner(proxy, controller string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owners[proxy] = append(w.owners[proxy], ownership{w.now(), controller})
}

// owner returns the controller that served a proxy at a time.
func (w *Watch) owner(proxy string, at time.Duration) string {
	controller := ""
	for i, o := range w.owners[proxy] {
		if i == 0 || o.at <= at {
			controller = o.controller
		}
	}
	return controller
}

// CommandFollowed records that a proxy followed a command of a controller that serves it since an epoch, where
// several could.
func (w *Watch) CommandFollowed(proxy, controller string, epoch uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commands++
	if last := w.epochs[proxy]; epoch < last {
		text := fmt.Sprintf(
			"proxy %s executed a command of controller %s with epoch %d after one with epoch %d",
			proxy,
			controller,
			epoch,
			last,
		)
		w.outdatedCommands = append(w.outdatedCommands, Break{RuleSingleController, w.now(), text})
	}
	w.epochs[proxy] = max(w.epochs[proxy], epoch)
}

// ClassUsable records whether a proxy has a usable entry for a class now.
func (w *Watch) ClassUsable(proxy, class string, usable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usabilityChecks++
	key := proxyClass{proxy, class}
	i, lasts := w.unusableNow[key]
	switch {
	case usable && lasts:
		w.unusable[i].to = max(w.now(), 1)
		delete(w.unusableNow, key)
	case !usable && !lasts:
		w.unusableNow[key] = len(w.unusable)
		w.unusable = append(w.unusable, unusableSpan{proxy: proxy, class: class, from: w.now()})
	}
}

// Connected records that a controller's session at a proxy begins. It ends one that lasts.
func (w *Watch) Connected(proxy string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endSession(proxy)
	w.live[proxy] = len(w.sessions)
	w.sessions = append(w.sessions, session{proxy: proxy, from: w.now()})
}

// Disconnected records that the session at a proxy ends.
func (w *Watch) Disconnected(proxy string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endSession(proxy)
}

func (w *Watch) endSession(proxy string) {
	if i, ok := w.live[proxy]; ok {
		w.sessions[i].to = w.now()
		delete(w.live, proxy)
	}
}

// UnservedGaps returns how long proxies were without a session between two, sorted.
func (w *Watch) UnservedGaps() []time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var gaps []time.Duration
	lastEnd := map[string]time.Duration{}
	for _, s := range w.sessions {
		if end, known := lastEnd[s.proxy]; known && end > 0 {
			gaps = append(gaps, s.from-end)
		}
		lastEnd[s.proxy] = s.to
	}
	slices.Sort(gaps)
	return gaps
}

// Message records that a proxy read a message with a number of entries.
func (w *Watch) Message(proxy string, entries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messages = append(w.messages, message{w.now(), proxy, entries})
}

// AttemptSent records an attempt that a proxy sends.
func (w *Watch) AttemptSent(proxy, node, class string, request uint64, number int, mayHaveRun bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts = append(w.attempts, attempt{w.now(), node, proxy, class, request, number, mayHaveRun})
}

// SlowStartRequest records that a request came to a node in slow start.
func (w *Watch) SlowStartRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowStartRequests++
}

// Executed records that a node executed a request.
func (w *Watch) Executed(node, class string, request uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executions = append(w.executions, execution{w.now(), node, request, class})
}

// Notified records what the list service sent a controller about a node. Started is zero for long ago.
func (w *Watch) Notified(controller, node, state string, started time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sent := notification{at: w.now(), controller: controller, node: node, state: state}
	if !started.IsZero() {
		sent.started = started.Sub(w.start)
		sent.slowStart = true
	}
	key := controllerNode{controller, node}
	last, known := w.lastNotifications[key]
	if known && last.state == sent.state && last.started == sent.started {
		return
	}
	w.lastNotifications[key] = sent
	w.notifications = append(w.notifications, sent)
}

// NotifiedSince returns when a proxy's controller was first notified, since a time, that a node is not ready.
func (w *Watch) NotifiedSince(proxy, node string, since time.Time) (at time.Time, notified bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.notifications {
		if n.node != node || n.state == stateReady || n.at < since.Sub(w.start) {
			continue
		}
		if n.controller == w.owner(proxy, n.at) {
			return w.start.Add(n.at), true
		}
	}
	return time.Time{}, false
}

// history returns what a controller was sent about a node, in time.
func (w *Watch) history(controller, node string) []notification {
	var history []notification
	for _, n := range w.notifications {
		if n.controller == controller && n.node == node {
			history = append(history, n)
		}
	}
	return history
}

// Overloaded records that a node in slow start was overloaded, and whose work did it.
func (w *Watch) Overloaded(node string, started time.Time, workByProxy map[string]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.overloads = append(w.overloads, overload{w.now(), node, workByProxy, started.Sub(w.start)})
}

// Version records that a proxy got a version, and whether it is older than the one before.
func (w *Watch) Version(proxy, key, version string, older bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions++
	if older {
		text := fmt.Sprintf("proxy %s received version %s of %s, which is older than the one before", proxy, version, key)
		w.rollbacks = append(w.rollbacks, Break{RuleNoRollback, w.now(), text})
	}
}
