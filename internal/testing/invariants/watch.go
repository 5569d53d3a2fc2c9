// Package invariants checks the safety rules of controllers. Its input is what simulated proxies and nodes observed on
// their sockets and what the endpoint list service answered, never a controller's own records. The simulated parts
// record into a Watch while they run; Watch.Check evaluates the rules afterwards.
package invariants

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Observations at nodes, proxies and the endpoint list service. Times are since the watch's start.
type (
	// ownerChange is the time at which a controller began to serve a proxy.
	ownerChange struct {
		at         time.Duration
		controller string
	}
	// unusablePeriod is a period in which a proxy had no usable entry for a class.
	unusablePeriod struct {
		proxy, class string
		from, to     time.Duration // to: 0 until it ends
	}
	// session is a controller's session at a proxy.
	session struct {
		proxy    string
		from, to time.Duration // to: 0 until it ends
	}
	// attempt is an attempt of a request that a proxy sent to a node.
	attempt struct {
		at         time.Duration
		node       string
		proxy      string
		class      string
		request    uint64
		number     int  // within the request, from 0
		mayHaveRun bool // an earlier attempt of this request may have been executed
	}
	// execution is the execution of a request by a node.
	execution struct {
		at      time.Duration
		node    string
		request uint64
		class   string
	}
	// notification is a change of a node's listed state that a controller was sent.
	notification struct {
		at         time.Duration
		controller string
		node       string
		state      string // ready, draining, gone
		started    time.Duration
		slowStart  bool // started is known; otherwise the node is warmed up
	}
	// message is a message of a controller that a proxy read.
	message struct {
		at      time.Duration
		proxy   string
		entries int // servers in it
	}
	// overload is the overload of a node in slow start.
	overload struct {
		at          time.Duration
		node        string
		workByProxy map[string]float64 // within the overload window
		started     time.Duration
	}
)

// stateReady is the state of a listed server that accepts requests.
const stateReady = "ready"

// Keys by which observations are grouped.
type (
	proxyClass     struct{ proxy, class string }
	controllerNode struct{ controller, node string }
)

// Watch collects observations. Its exported methods may be called from any goroutine.
type Watch struct {
	start time.Time
	mu    sync.Mutex

	owners       map[string][]ownerChange // by proxy, sorted by time
	sessions     []session
	openSessions map[string]int // by proxy: index in sessions of the one that has not ended

	usabilityChecks int
	unusable        []unusablePeriod
	openUnusable    map[proxyClass]int // index in unusable of the period that has not ended

	epochs           map[string]uint64 // by proxy: highest epoch of the commands that it executed
	commands         int
	outdatedCommands []Violation // commands with an epoch lower than an earlier one's

	versions  int
	rollbacks []Violation

	attempts          []attempt
	executions        []execution
	notifications     []notification
	lastNotifications map[controllerNode]notification
	messages          []message
	overloads         []overload
	slowStartRequests int
}

// NewWatch returns an empty watch. Times of its observations count from now.
func NewWatch() *Watch {
	return &Watch{
		start:             time.Now(),
		owners:            map[string][]ownerChange{},
		epochs:            map[string]uint64{},
		openUnusable:      map[proxyClass]int{},
		openSessions:      map[string]int{},
		lastNotifications: map[controllerNode]notification{},
	}
}

func (w *Watch) now() time.Duration { return time.Since(w.start) }

// Owner records which controller serves a proxy from now on.
func (w *Watch) Owner(proxy, controller string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owners[proxy] = append(w.owners[proxy], ownerChange{w.now(), controller})
}

// owner returns the controller that served a proxy at a time: the one of the latest record up to then, or of the first
// record if all are later. It returns "" if the proxy has no records.
func (w *Watch) owner(proxy string, at time.Duration) string {
	controller := ""
	for i, o := range w.owners[proxy] {
		if i == 0 || o.at <= at {
			controller = o.controller
		}
	}
	return controller
}

// CommandExecuted records that a proxy executed a command of a controller whose lease has an epoch. It is called only
// where several controllers may serve a proxy.
func (w *Watch) CommandExecuted(proxy, controller string, epoch uint64) {
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
		w.outdatedCommands = append(w.outdatedCommands, Violation{RuleSingleController, w.now(), text})
	}
	w.epochs[proxy] = max(w.epochs[proxy], epoch)
}

// ClassUsable records whether a proxy has a usable entry for a class now.
func (w *Watch) ClassUsable(proxy, class string, usable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usabilityChecks++
	key := proxyClass{proxy, class}
	i, open := w.openUnusable[key]
	switch {
	case usable && open:
		w.unusable[i].to = max(w.now(), 1)
		delete(w.openUnusable, key)
	case !usable && !open:
		w.openUnusable[key] = len(w.unusable)
		w.unusable = append(w.unusable, unusablePeriod{proxy: proxy, class: class, from: w.now()})
	}
}

// Connected records that a controller's session at a proxy begins. A session that has not ended yet ends now.
func (w *Watch) Connected(proxy string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endSession(proxy)
	w.openSessions[proxy] = len(w.sessions)
	w.sessions = append(w.sessions, session{proxy: proxy, from: w.now()})
}

// Disconnected records that the session at a proxy ends. Without a session it does nothing.
func (w *Watch) Disconnected(proxy string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endSession(proxy)
}

func (w *Watch) endSession(proxy string) {
	if i, ok := w.openSessions[proxy]; ok {
		w.sessions[i].to = w.now()
		delete(w.openSessions, proxy)
	}
}

// UnservedGaps returns the times that proxies were without a session between two sessions, sorted.
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

// Message records that a proxy read a controller's message with entries for a number of servers.
func (w *Watch) Message(proxy string, entries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messages = append(w.messages, message{w.now(), proxy, entries})
}

// AttemptSent records an attempt that a proxy sends to a node. The number counts from 0 within the request; mayHaveRun
// says whether an earlier attempt of the request may have been executed.
func (w *Watch) AttemptSent(proxy, node, class string, request uint64, number int, mayHaveRun bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts = append(w.attempts, attempt{w.now(), node, proxy, class, request, number, mayHaveRun})
}

// SlowStartRequestReceived records that a node in slow start received a request.
func (w *Watch) SlowStartRequestReceived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowStartRequests++
}

// RequestExecuted records that a node executed a request, or may have.
func (w *Watch) RequestExecuted(node, class string, request uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executions = append(w.executions, execution{w.now(), node, request, class})
}

// Notified records the state of a node that the endpoint list service sent a controller. A zero start time means that
// the node is warmed up.
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

// NotifiedSince returns the time of the first notification since the given time to the proxy's controller that a node
// is not ready, and false if there was none.
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

// history returns the notifications of a controller about a node, sorted by time.
func (w *Watch) history(controller, node string) []notification {
	var history []notification
	for _, n := range w.notifications {
		if n.controller == controller && n.node == node {
			history = append(history, n)
		}
	}
	return history
}

// NodeOverloaded records that a node in slow start was overloaded. workByProxy is the work within the overload window
// by the proxy that sent it; it is kept, so the caller must not change it.
func (w *Watch) NodeOverloaded(node string, started time.Time, workByProxy map[string]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.overloads = append(w.overloads, overload{w.now(), node, workByProxy, started.Sub(w.start)})
}

// VersionReceived records that a proxy received a version under a key of its map, and whether that is older than the
// previous one.
func (w *Watch) VersionReceived(proxy, key, version string, older bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions++
	if older {
		text := fmt.Sprintf("proxy %s received version %s of %s, which is older than the one before", proxy, version, key)
		w.rollbacks = append(w.rollbacks, Violation{RuleNoRollback, w.now(), text})
	}
}
