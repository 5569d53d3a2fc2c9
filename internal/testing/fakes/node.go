// Package fakes has simulated parts of a fleet that controllers are run against: booking nodes, proxies, the list
// service and network relays. They use loopback sockets only and report what they see to an invariants.Watch.
package fakes

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"cressknot/internal/testing/invariants"
)

const (
	// nodeRandomStream distinguishes a node's random numbers from others of the same seed.
	nodeRandomStream = 1
	// listenAttempts and listenRetryInterval bound the wait for an address that was in use a moment ago.
	listenAttempts      = 100
	listenRetryInterval = 20 * time.Millisecond
	// overloadSlackRequests is how many requests of the present size may come on top of the overload limit by chance,
	// because single requests are large.
	overloadSlackRequests = 4
)

// NodeCapacity is how much work a node can do.
type NodeCapacity struct {
	Cores             int
	Speed             float64 // of a core
	Queue             int     // requests that may wait
	SlowStartFraction float64 // of the capacity at the start
	SlowStartDuration time.Duration
	OverloadFactor    float64 // of the present capacity: more work overloads a node in slow start for good
	OverloadWindow    time.Duration
	Work              map[string]time.Duration // by class, on a core of speed 1
}

// Node is a booking node: HTTP on loopback.
type Node struct {
	Name     string
	Addr     string
	capacity NodeCapacity
	watch    *invariants.Watch

	mu             sync.Mutex
	rng            *rand.Rand
	server         *http.Server
	crashed        chan struct{} // closed when the process dies
	processStarted time.Time
	started        time.Time // of the slow start; zero: warmed up since before the watch

	faults     []*Fault
	resume     chan struct{} // closed when a pause ends
	overloaded bool
	recent     []recentWork // in the overload window, during slow start

	slots          chan struct{} // one for each core
	inFlight       int
	busyFraction   float64 // smoothed
	busyUpdated    time.Time
	serviceMillis  float64 // smoothed
	counters       nodeCounters
	reportsStopped bool
}

// recentWork is the work of one request.
type recentWork struct {
	at    time.Time
	size  float64 // seconds on all cores at full capacity
	proxy string
}

// NewNode makes a node that is warmed up and not yet up.
func NewNode(name string, capacity NodeCapacity, watch *invariants.Watch, seed uint64) *Node {
	return &Node{
		Name:     name,
		capacity: capacity,
		watch:    watch,
		rng:      rand.New(rand.NewPCG(seed, nodeRandomStream)),
		slots:    make(chan struct{}, capacity.Cores),
	}
}

// Up starts the node's process, at its previous address if any; with a slow start unless it is the first time.
func (n *Node) Up() error {
	addr := n.Addr
	first := addr == ""
	if first {
		addr = anyLoopbackPort
	}
	listener, err := listenRetrying(addr)
	if err != nil {
		return fmt.Errorf("node %s: %w", n.Name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if first { // it never changes after
		n.Addr = listener.Addr().String()
	} else {
		n.started = time.Now()
	}
	n.overloaded = false
	n.recent = nil
	n.inFlight = 0
	n.crashed = make(chan struct{})
	n.slots = make(chan struct{}, n.capacity.Cores)
	n.counters = nodeCounters{}
	n.processStarted = time.Now()
	server := &http.Server{Handler: http.HandlerFunc(n.serve)}
	n.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// listenRetrying listens on an address that may have been in use a moment ago.
func listenRetrying(addr string) (net.Listener, error) {
	var err error
	for range listenAttempts {
		var listener net.Listener
		listener, err = net.Listen("tcp", addr)
		if err == nil {
			return listener, nil
		}
		time.Sleep(listenRetryInterval)
	}
	return nil, err
}

// Crash ends the process at once, with all requests in flight.
func (n *Node) Crash() {
	n.mu.Lock()
	server := n.server
	n.server = nil
	if server != nil {
		close(n.crashed)
	}
	n.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Shutdown ends the process gracefully.
func (n *Node) Shutdown(ctx context.Context) error {
	n.mu.Lock()
	server := n.server
	n.server = nil
	n.mu.Unlock()
	if server == nil {
		return nil
	}
	if err := server.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return nil
}

// Started returns the time of the latest start, zero if it was before the watch.
func (n *Node) Started() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started
}

// capacityFraction returns the part of its capacity that it has now.
func (n *Node) capacityFraction() float64 {
	if n.started.IsZero() {
		return 1
	}
	initial := n.capacity.SlowStartFraction
	progress := time.Since(n.started).Seconds() / n.capacity.SlowStartDuration.Seconds()
	return min(1, initial+(1-initial)*progress)
}

// updateBusy smooths the busy fraction over about a second.
func (n *Node) updateBusy() {
	now := time.Now()
	if !n.busyUpdated.IsZero() {
		keep := math.Exp(-now.Sub(n.busyUpdated).Seconds())
		busy := min(1, float64(len(n.slots))/float64(n.capacity.Cores))
		n.busyFraction = n.busyFraction*keep + (1-keep)*busy
	}
	n.busyUpdated = now
}

// addSlowStartWork counts the work sent to a node in slow start, and overloads it when that is too much.
func (n *Node) addSlowStartWork(size float64, proxy string) {
	now := time.Now()
	slowStart := !n.started.IsZero() && now.Sub(n.started) < n.capacity.SlowStartDuration
	if !slowStart || n.overloaded {
		return
	}
	n.watch.SlowStartRequestReceived()
	n.recent = append(n.recent, recentWork{now, size, proxy})
	for len(n.recent) > 0 && now.Sub(n.recent[0].at) > n.capacity.OverloadWindow {
		n.recent = n.recent[1:]
	}
	sum := 0.0
	byProxy := map[string]float64{}
	for _, work := range n.recent {
		sum += work.size
		byProxy[work.proxy] += work.size
	}
	limit := n.capacity.OverloadFactor * n.capacityFraction() * n.capacity.OverloadWindow.Seconds()
	if sum > limit+overloadSlackRequests*size {
		n.overloaded = true
		n.watch.NodeOverloaded(n.Name, n.started, byProxy)
	}
}

// Fault is something that is wrong with a node.
type Fault struct {
	Hang          bool    // accepts requests and answers none
	Slow          float64 // times slower; 0: not
	Errors        float64 // fraction that fails at once
	LostAnswers   float64 // fraction whose answer is lost after the work
	Pause         bool    // the process is stopped
	HeavyFraction float64 // fraction of requests that take HeavyFactor times the work
	HeavyFactor   float64
	LinkDelay     time.Duration   // added to each request
	Class         string          // only requests of this class
	Proxies       map[string]bool // only requests of these proxies; nil: all
}

func (f *Fault) appliesTo(class, proxy string) bool {
	return (f.Class == "" || f.Class == class) && (f.Proxies == nil || f.Proxies[proxy])
}

// Inject adds a fault and returns the function that ends it.
func (n *Node) Inject(fault Fault) (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	injected := &fault
	n.faults = append(n.faults, injected)
	if fault.Pause && n.resume == nil {
		n.resume = make(chan struct{})
	}
	return func() { n.remove(injected) }
}

// remove ends a fault; the end of the last pause lets the process continue.
func (n *Node) remove(fault *Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = slices.DeleteFunc(n.faults, func(f *Fault) bool { return f == fault })
	paused := slices.ContainsFunc(n.faults, func(f *Fault) bool { return f.Pause })
	if !paused && n.resume != nil {
		close(n.resume)
		n.resume = nil
	}
}

// activeFaults combines the faults that apply to a request.
func (n *Node) activeFaults(class, proxy string) Fault {
	combined := Fault{Slow: 1}
	for _, fault := range n.faults {
		if !fault.appliesTo(class, proxy) {
			continue
		}
		combined.Hang = combined.Hang || fault.Hang
		combined.Pause = combined.Pause || fault.Pause
		combined.Errors = max(combined.Errors, fault.Errors)
		combined.LostAnswers = max(combined.LostAnswers, fault.LostAnswers)
		combined.LinkDelay += fault.LinkDelay
		combined.Slow *= max(1, fault.Slow)
		if fault.HeavyFraction > 0 && n.rng.Float64() < fault.HeavyFraction {
			combined.Slow *= fault.HeavyFactor
		}
	}
	return combined
}
