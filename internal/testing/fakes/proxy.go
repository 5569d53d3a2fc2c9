package fakes

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"cressknot/internal/haproxyapi"
	"cressknot/internal/testing/invariants"
)

const (
	// maxCommandLog bounds the commands that are recorded for tests.
	maxCommandLog = 4096
	// proxyRandomStream distinguishes a proxy's random numbers from others of the same seed.
	proxyRandomStream = 2
	// maxIdleConnections and idleConnectionTimeout bound the connections to nodes that are kept open.
	maxIdleConnections    = 64
	idleConnectionTimeout = 15 * time.Second
	// nodeDialTimeout bounds connecting to a node.
	nodeDialTimeout = 400 * time.Millisecond
	// anyLoopbackPort listens on a free port.
	anyLoopbackPort = "127.0.0.1:0"
)

// ProxyClass is the configuration of a class at a proxy.
type ProxyClass struct {
	Name           string
	Backend        string
	Deadline       time.Duration // deadline of a request
	AttemptTimeout time.Duration // timeout of an attempt that may be retried
}

// ProxySetup is a proxy's configuration.
type ProxySetup struct {
	Name              string
	Zone              string
	Classes           []ProxyClass
	Map               string
	Table             string
	EjectionThreshold int // failures in a row that eject a server; 0: never
	EjectionDuration  time.Duration
	EntryDelay        time.Duration // how long it stalls for each entry that a command changes
	Runtime           string        // path of its runtime socket
	Unresponsive      bool          // answers no runtime commands at all
	Folder            string        // reads files in this folder, and has no runtime socket
}

// proxyEntry is a server in a backend.
type proxyEntry struct {
	id                  int
	name                string
	addr                string
	weight              int
	admin               uint64
	stat                haproxyapi.Stat
	consecutiveFailures int
	ejectedUntil        time.Time
	inFlight            int
}

// pastOutput is what a command answered at a time.
type pastOutput struct {
	at      time.Time
	command string
	text    []byte
}

// Proxy is a plain proxy: it picks servers by weight, ejects after failures in a row, stalls for each entry that
// changes, retries as its map says and rejects by admission limits.
type Proxy struct {
	ProxySetup
	RequestAddr string // address for callers
	watch       *invariants.Watch
	http        http.Client // to nodes

	mu             sync.Mutex
	rng            *rand.Rand
	initialEntries []Entry
	nextID         int
	started        time.Time
	requestServer  *http.Server

	backends     map[string][]*proxyEntry
	totals       map[string]*haproxyapi.Stat // by backend
	mapEntries   map[string]string
	mapKeys      []string // in the order of their addition
	tracked      map[string]*haproxyapi.StickEntry
	trackedNames []string

	runtimeListener net.Listener
	conns           map[net.Conn]*runtimeSession
	lastSession     uint64
	commandLog      []string // the latest commands that change something
	files           fileTransport

	// Faults.
	stalledUntil time.Time
	readDelay    time.Duration // of each command
	cutAfter     int           // bytes of requests after which sessions are cut; negative: never
	cutOnce      bool
	outputDelay  time.Duration // counters are shown as they were this long ago
	pastOutputs  []pastOutput
}

// NewProxy makes a proxy that is not up. The initial entries are those of its own configuration.
func NewProxy(setup ProxySetup, initial []Entry, watch *invariants.Watch, seed uint64) *Proxy {
	p := &Proxy{
		ProxySetup:     setup,
		watch:          watch,
		rng:            rand.New(rand.NewPCG(seed, proxyRandomStream)),
		initialEntries: initial,
		cutAfter:       -1,
	}
	p.http.Transport = &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: nodeDialTimeout}).DialContext,
	}
	return p
}

// Up starts the proxy with its initial tables.
func (p *Proxy) Up() error {
	var runtimeListener net.Listener
	if p.Folder == "" {
		_ = os.Remove(p.Runtime)
		var err error
		runtimeListener, err = net.Listen("unix", p.Runtime)
		if err != nil {
			return fmt.Errorf("proxy %s: runtime socket: %w", p.Name, err)
		}
	}
	addr := p.RequestAddr
	if addr == "" {
		addr = anyLoopbackPort
	}
	requestListener, err := listenRetrying(addr)
	if err != nil {
		if runtimeListener != nil {
			_ = runtimeListener.Close()
		}
		return fmt.Errorf("proxy %s: request address: %w", p.Name, err)
	}
	p.start(runtimeListener, requestListener)
	if p.Folder != "" {
		return p.watchFolder()
	}
	go p.accept(runtimeListener)
	return nil
}

// start resets the proxy's state and serves requests.
func (p *Proxy) start(runtimeListener, requestListener net.Listener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.RequestAddr == "" { // it never changes after
		p.RequestAddr = requestListener.Addr().String()
	}
	p.runtimeListener = runtimeListener
	p.started = time.Now()
	p.backends = map[string][]*proxyEntry{}
	p.totals = map[string]*haproxyapi.Stat{}
	p.mapEntries = map[string]string{}
	p.mapKeys = nil
	p.tracked = map[string]*haproxyapi.StickEntry{}
	p.trackedNames = nil
	p.conns = map[net.Conn]*runtimeSession{}
	for _, class := range p.Classes {
		p.totals[class.Backend] = &haproxyapi.Stat{Proxy: []byte(class.Backend), Server: []byte("BACKEND")}
		for _, entry := range p.initialEntries {
			p.add(class.Backend, entry.Name, entry.Addr, initialWeight, 0)
		}
	}
	requestServer := &http.Server{Handler: http.HandlerFunc(p.serveRequest)}
	p.requestServer = requestServer
	p.reportUsability()
	go func() { _ = requestServer.Serve(requestListener) }()
}

func (p *Proxy) add(backend, name, addr string, weight int, admin uint64) {
	p.nextID++
	p.backends[backend] = append(p.backends[backend], &proxyEntry{
		name:   name,
		addr:   addr,
		weight: weight,
		admin:  admin,
		id:     p.nextID,
		stat:   haproxyapi.Stat{Proxy: []byte(backend), Server: []byte(name)},
	})
}

// Down ends the proxy at once.
func (p *Proxy) Down() {
	p.mu.Lock()
	runtimeListener := p.runtimeListener
	requestServer := p.requestServer
	conns := p.conns
	p.runtimeListener = nil
	p.requestServer = nil
	p.conns = nil
	p.mu.Unlock()
	if requestServer == nil {
		return
	}
	if runtimeListener != nil {
		_ = runtimeListener.Close()
	} else {
		p.unwatchFolder()
	}
	_ = requestServer.Close()
	for conn := range conns {
		_ = conn.Close()
	}
	p.http.CloseIdleConnections()
}

// CutSessions closes all runtime sessions, and each later one after a number of bytes of requests; negative: no more.
func (p *Proxy) CutSessions(after int) {
	p.mu.Lock()
	p.cutAfter = after
	conns := make([]net.Conn, 0, len(p.conns))
	for conn := range p.conns {
		conns = append(conns, conn)
	}
	p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// CutOnce closes the next session after a number of bytes of requests, and no later one.
func (p *Proxy) CutOnce(after int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAfter = after
	p.cutOnce = true
}

// Commands returns the commands that changed something since the last call, and their number.
func (p *Proxy) Commands() (n int, log []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log = p.commandLog
	p.commandLog = nil
	return len(log), log
}

// EntryState returns the state of a server in a backend, as "weight state".
func (p *Proxy) EntryState(backend, server string) string {
	stateByAdmin := map[uint64]string{0: "ready", haproxyapi.AdminDrain: "drain", haproxyapi.AdminMaint: "maint"}
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, failure := p.find(backend + "/" + server)
	if entry == nil {
		return strings.TrimSpace(failure)
	}
	return fmt.Sprintf("%d %s", entry.weight, stateByAdmin[entry.admin])
}

// Addr returns the address of a server in a backend, "" if there is none.
func (p *Proxy) Addr(backend, server string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, _ := p.find(backend + "/" + server)
	if entry == nil {
		return ""
	}
	return entry.addr
}

// MapEntry returns an entry of the map.
func (p *Proxy) MapEntry(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mapEntries[key]
}

// Execute executes a command as an operator would at the proxy itself.
func (p *Proxy) Execute(words ...string) string {
	s := &runtimeSession{changedServers: map[string]bool{}}
	return string(p.execute(haproxyapi.Command{Words: words}, s))
}

// DelayCounters lets it show counters as they were some time ago; 0: the present ones.
func (p *Proxy) DelayCounters(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outputDelay = delay
	p.pastOutputs = nil
}

// delayedOutput records the output of a command and returns that of the delay before, the oldest one if none is as old.
func (p *Proxy) delayedOutput(command string, text []byte) []byte {
	if p.outputDelay == 0 {
		return text
	}
	now := time.Now()
	p.pastOutputs = append(p.pastOutputs, pastOutput{now, command, text})
	for _, past := range slices.Backward(p.pastOutputs) {
		if past.command == command && now.Sub(past.at) >= p.outputDelay {
			return past.text
		}
	}
	for _, past := range p.pastOutputs {
		if past.command == command {
			return past.text
		}
	}
	return text
}

// StallUntil lets the proxy handle nothing until a time.
func (p *Proxy) StallUntil(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalledUntil = until
}

// ReadSlowly lets it wait before each command; 0: no more.
func (p *Proxy) ReadSlowly(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDelay = delay
}

// Weights returns each server's part of a class's weights.
func (p *Proxy) Weights(class string) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	parts := map[string]float64{}
	sum := 0.0
	for _, c := range p.Classes {
		if c.Name != class {
			continue
		}
		for _, entry := range p.backends[c.Backend] {
			if entry.usable() {
				parts[entry.name] = float64(entry.weight)
				sum += float64(entry.weight)
			}
		}
	}
	for name := range parts {
		parts[name] /= sum
	}
	return parts
}
