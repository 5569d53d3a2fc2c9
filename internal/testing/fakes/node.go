// Package fakes has the small stand-ins that governors are run against: booking nodes, proxies, the list service
// and callers. They speak on loopback sockets only and tell a rules.Watch what they see.
package fakes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"cressknot/internal/testing/invariants"
)

// Load says how a node works.
type Load struct {
	Cores      int
	Speed      float64 // of a core
	Queue      int     // visits that may wait
	ColdFrom   float64
	ColdFor    time.Duration
	FallFactor float64
	FallFor    time.Duration
	Work       map[string]time.Duration // by class, on a core of speed 1
}

// Trouble is something that ails a node.
type Trouble struct {
	Hang    bool    // takes visits and answers none
	Slow    float64 // times slower; 0: not
	Errors  float64 // share that fails at once
	Lost    float64 // share whose answer is lost after the work
	Pause   bool    // stands still
	Heavy   float64 // share of visits that take HeavyBy times the work
	HeavyBy float64
	Link    time.Duration   // longer way there and back
	Class   string          // only visits of this class
	Proxies map[string]bool // only visits of these proxies; nil: all
}

func (t *Trouble) strikes(class, proxy string) bool {
	return (t.Class == "" || t.Class == class) && (t.Proxies == nil || t.Proxies[proxy])
}

// Node is a booking node: HTTP on loopback.
type Node struct {
	Name  string
	Addr  string
	load  Load
	watch *invariants.Watch

	mu       sync.Mutex
	troubles []*Trouble
	resume   chan struct{} // closed when a pause ends
	started  time.Time     // zero: warm since before
	fallen   bool
	held     int
	busy     float64 // smoothed
	busyAt   time.Time
	service  float64 // ms, smoothed
	recent   []work  // in the last FallFor, while cold
	rng      *rand.Rand
	slots    chan struct{}
	sums     sums
	begun    time.Time
	mute     bool // sends no reports
	server   *http.Server
	gone     chan struct{} // closed when the process dies
}

type work struct {
	at    time.Time
	size  float64 // seconds on the whole machine when warm
	proxy string
}

// NewNode makes a node that is warm and not yet up.
func NewNode(name string, load Load, watch *invariants.Watch, seed uint64) *Node {
	return &Node{Name: name, load: load, watch: watch, rng: rand.New(rand.NewPCG(seed, 1)), slots: make(chan struct{}, load.Cores)}
}

// Up starts the node's process, at the address that it had before if any; cold unless it is the first time.
func (n *Node) Up() error {
	addr := n.Addr
	first := addr == ""
	if first {
		addr = "127.0.0.1:0"
	}
	l, err := listenAgain(addr)
	if err != nil {
		return fmt.Errorf("node %s: %w", n.Name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if first { // it never changes after
		n.Addr = l.Addr().String()
	}
	n.fallen, n.recent, n.held = false, nil, 0
	n.gone, n.slots = make(chan struct{}), make(chan struct{}, n.load.Cores)
	n.sums, n.begun = sums{}, time.Now()
	if !first {
		n.started = time.Now()
	}
	n.server = &http.Server{Handler: http.HandlerFunc(n.serve)}
	go func(s *http.Server) { _ = s.Serve(l) }(n.server)
	return nil
}

// listenAgain takes an address that was in use a moment ago.
func listenAgain(addr string) (l net.Listener, err error) {
	for range 100 {
		if l, err = net.Listen("tcp", addr); err == nil {
			return l, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}

// Crash ends its process at once, with all that it holds.
func (n *Node) Crash() {
	n.mu.Lock()
	s := n.server
	n.server = nil
	if s != nil {
		close(n.gone)
	}
	n.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// Started tells its latest start, zero where that was before the watch.
func (n *Node) Started() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started
}

// Ail adds a trouble and gives what ends it.
func (n *Node) Ail(t Trouble) (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	one := &t
	n.troubles = append(n.troubles, one)
	if t.Pause && n.resume == nil {
		n.resume = make(chan struct{})
	}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.troubles = slices.DeleteFunc(n.troubles, func(o *Trouble) bool { return o == one })
		if !slices.ContainsFunc(n.troubles, func(o *Trouble) bool { return o.Pause }) && n.resume != nil {
			close(n.resume)
			n.resume = nil
		}
	}
}

// ailing adds up what strikes a visit.
func (n *Node) ailing(class, proxy string) (all Trouble) {
	all.Slow = 1
	for _, t := range n.troubles {
		if !t.strikes(class, proxy) {
			continue
		}
		all.Hang, all.Pause = all.Hang || t.Hang, all.Pause || t.Pause
		all.Errors, all.Lost, all.Link = max(all.Errors, t.Errors), max(all.Lost, t.Lost), all.Link+t.Link
		all.Slow *= max(1, t.Slow)
		if t.Heavy > 0 && n.rng.Float64() < t.Heavy {
			all.Slow *= t.HeavyBy
		}
	}
	return all
}

// can gives the part of its capacity that it has now.
func (n *Node) can() float64 {
	if n.started.IsZero() {
		return 1
	}
	return min(1, n.load.ColdFrom+(1-n.load.ColdFrom)*time.Since(n.started).Seconds()/n.load.ColdFor.Seconds())
}

func (n *Node) smooth() { // busy share over about a second
	now := time.Now()
	if !n.busyAt.IsZero() {
		keep := math.Exp(-now.Sub(n.busyAt).Seconds())
		n.busy = n.busy*keep + (1-keep)*min(1, float64(len(n.slots))/float64(n.load.Cores))
	}
	n.busyAt = now
}

// burden counts the work sent to a cold node and lets it fall over when it is too much.
func (n *Node) burden(size float64, proxy string) {
	now := time.Now()
	cold := !n.started.IsZero() && now.Sub(n.started) < n.load.ColdFor
	if !cold || n.fallen {
		return
	}
	n.watch.Cold()
	n.recent = append(n.recent, work{now, size, proxy})
	for len(n.recent) > 0 && now.Sub(n.recent[0].at) > n.load.FallFor {
		n.recent = n.recent[1:]
	}
	all, by := 0.0, map[string]float64{}
	for _, w := range n.recent {
		all, by[w.proxy] = all+w.size, by[w.proxy]+w.size
	}
	slack := 4 * size // for chance, as single visits are large
	if all > n.load.FallFactor*n.can()*n.load.FallFor.Seconds()+slack {
		n.fallen = true
		n.watch.Fell(n.Name, n.started, by)
	}
}

func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/probe" {
		n.mu.Lock()
		n.smooth()
		n.loadHeader(w)
		n.mu.Unlock()
		w.Header().Set("X-Server", n.Name)
		return
	}
	class, proxy := r.Header.Get("X-Class"), r.Header.Get("X-Proxy")
	visit, _ := strconv.ParseUint(r.Header.Get("X-Visit"), 10, 64)
	_, _ = io.Copy(io.Discard, r.Body)

	n.mu.Lock()
	n.smooth()
	size := n.load.Work[class].Seconds() / (n.load.Speed * float64(n.load.Cores))
	n.burden(size, proxy)
	t, resume, gone, slots := n.ailing(class, proxy), n.resume, n.gone, n.slots
	if n.fallen {
		t.Hang = true
	}
	failed := n.rng.Float64() < t.Errors
	lost := n.rng.Float64() < t.Lost
	held := n.held
	n.held++
	took := time.Duration(float64(n.load.Work[class]) / n.load.Speed / n.can() * t.Slow * (0.7 + 0.6*n.rng.Float64()))
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.held--
		n.mu.Unlock()
	}()
	abort := func() { panic(http.ErrAbortHandler) }
	hang := func() {
		select {
		case <-gone:
		case <-r.Context().Done():
		case <-time.After(30 * time.Second):
		}
		abort()
	}
	time.Sleep(t.Link)
	if t.Pause && resume != nil {
		select {
		case <-resume:
		case <-gone:
			abort()
		}
	}
	switch {
	case t.Hang:
		n.watch.Ran(n.Name, class, visit) // nobody knows whether it ran: it may have
		hang()
	case failed:
		n.count(false, 0)
		n.watch.Ran(n.Name, class, visit)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case held >= n.load.Cores+n.load.Queue:
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case slots <- struct{}{}:
	case <-gone:
		abort()
	}
	if r.Context().Err() != nil { // a visit whose time-out has passed is not begun
		<-slots
		abort()
	}
	n.watch.Ran(n.Name, class, visit)
	served := time.Now()
	timer := time.NewTimer(took)
	select {
	case <-timer.C:
	case <-gone:
		timer.Stop()
	}
	n.mu.Lock()
	n.smooth()
	n.service = 0.9*n.service + 0.1*float64(time.Since(served).Milliseconds())
	n.sums.tries, n.sums.good, n.sums.goodMs = n.sums.tries+1, n.sums.good+1, n.sums.goodMs+time.Since(served).Milliseconds()
	<-slots
	if !lost {
		n.loadHeader(w)
	}
	n.mu.Unlock()
	if lost {
		hang()
	}
	w.WriteHeader(http.StatusOK)
}

// loadHeader writes the load figures in thousandths: busy share, visits held, recent service time in ms.
func (n *Node) loadHeader(w http.ResponseWriter) {
	w.Header().Set("X-Load", fmt.Sprintf("%.0f,%d,%.0f", 1000*n.busy, 1000*n.held, 1000*n.service))
}

// Shutdown ends it in an orderly way.
func (n *Node) Shutdown(ctx context.Context) error {
	n.mu.Lock()
	s := n.server
	n.server = nil
	n.mu.Unlock()
	if s == nil {
		return nil
	}
	if err := s.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		return s.Close()
	}
	return nil
}
