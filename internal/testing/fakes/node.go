// Package fakes has the simulated parts of a fleet that controllers are tested against: servers (nodes), proxies, an
// endpoint list service and network relays. They use loopback and Unix sockets and files only, and report what they
// observe to an invariants.Watch.
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
	// nodeRandomStream separates a node's random numbers from those of other parts with the same seed.
	nodeRandomStream = 1
	// listenAttempts and listenRetryInterval bound the wait for the address of a server that has just been closed.
	listenAttempts      = 100
	listenRetryInterval = 20 * time.Millisecond
	// overloadSlackRequests is the number of requests of the present size by which the work may exceed the overload
	// limit. Single requests are large, so that without this slack random variation alone would overload a node.
	overloadSlackRequests = 4
)

// NodeCapacity is the capacity of a node and how it behaves during slow start.
type NodeCapacity struct {
	Cores             int
	Speed             float64 // of a core, relative to the core that Work refers to
	Queue             int     // requests that may wait for a core
	SlowStartFraction float64 // capacity at the start, as a fraction of full capacity
	SlowStartDuration time.Duration
	OverloadFactor    float64 // work within OverloadWindow that overloads a node in slow start, per present capacity
	OverloadWindow    time.Duration
	Work              map[string]time.Duration // duration of a request by class, on a core of speed 1
}

// Node is a simulated server, with HTTP on loopback. Name and Addr are set once. Its methods other than Start may be
// called from any goroutine.
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
	started        time.Time // of the slow start; zero: first start, warmed up

	faults     []*Fault
	resume     chan struct{} // closed when a pause ends; nil: not paused
	overloaded bool          // answers nothing until the next start
	recent     []recentWork  // in the overload window, during slow start

	slots          chan struct{} // an element for each busy core
	inFlight       int
	busyFraction   float64 // of the cores, smoothed
	busyUpdated    time.Time
	serviceMillis  float64 // service time in ms, smoothed
	counters       nodeCounters
	reportsStopped bool
}

// recentWork is the work of one request during slow start.
type recentWork struct {
	at    time.Time
	size  float64 // duration in seconds on all cores at full capacity
	proxy string
}

// NewNode returns a node that has not been started. Its first start is without slow start.
func NewNode(name string, capacity NodeCapacity, watch *invariants.Watch, seed uint64) *Node {
	return &Node{
		Name:     name,
		capacity: capacity,
		watch:    watch,
		rng:      rand.New(rand.NewPCG(seed, nodeRandomStream)),
		slots:    make(chan struct{}, capacity.Cores),
	}
}

// Start starts the node: the first time on a free port and warmed up, later on the same address and with a slow start.
func (n *Node) Start() error {
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
	if first { // later starts listen on the same address
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

// listenRetrying listens on an address, with retries while it is still in use.
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

// Crash ends the process at once and aborts all requests in flight. It does nothing if the node is down.
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

// Shutdown stops accepting requests and waits for those in flight. At the context's deadline it closes their
// connections.
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

// Started returns the time of the latest start, zero before the second start.
func (n *Node) Started() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started
}

// capacityFraction returns the present capacity as a fraction of full capacity. The caller holds the lock.
func (n *Node) capacityFraction() float64 {
	if n.started.IsZero() {
		return 1
	}
	initial := n.capacity.SlowStartFraction
	progress := time.Since(n.started).Seconds() / n.capacity.SlowStartDuration.Seconds()
	return min(1, initial+(1-initial)*progress)
}

// updateBusy updates the busy fraction, smoothed with a time constant of 1 s. The caller holds the lock.
func (n *Node) updateBusy() {
	now := time.Now()
	if !n.busyUpdated.IsZero() {
		keep := math.Exp(-now.Sub(n.busyUpdated).Seconds())
		busy := min(1, float64(len(n.slots))/float64(n.capacity.Cores))
		n.busyFraction = n.busyFraction*keep + (1-keep)*busy
	}
	n.busyUpdated = now
}

// addSlowStartWork adds work to the overload window of a node in slow start, and marks the node as overloaded when the
// sum exceeds the limit. The caller holds the lock.
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

// Fault is a fault of a node. The zero value is a node without faults.
type Fault struct {
	Hang          bool    // requests are accepted and never answered
	Slow          float64 // factor on the work of each request; 0 or 1: no change
	Errors        float64 // fraction of requests answered with status 500 at once
	LostAnswers   float64 // fraction of requests that are executed but never answered
	Pause         bool    // the process is stopped, as by SIGSTOP
	HeavyFraction float64 // fraction of requests that take HeavyFactor times the work
	HeavyFactor   float64
	LinkDelay     time.Duration   // added to each request
	Class         string          // only requests of this class
	Proxies       map[string]bool // only requests of these proxies; nil: all
}

func (f *Fault) appliesTo(class, proxy string) bool {
	return (f.Class == "" || f.Class == class) && (f.Proxies == nil || f.Proxies[proxy])
}

// Inject adds a fault and returns a function that removes it. Several faults apply together.
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

// remove removes a fault. Removing the last pause resumes the process.
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

// activeFaults combines the faults that apply to a request. The caller holds the lock.
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
