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
	// maxCommandLog is the largest number of commands kept for Commands.
	maxCommandLog = 4096
	// proxyRandomStream separates a proxy's random numbers from those of other parts with the same seed.
	proxyRandomStream = 2
	// maxIdleConnections, per node, and idleConnectionTimeout bound the idle connections to nodes.
	maxIdleConnections    = 64
	idleConnectionTimeout = 15 * time.Second
	// nodeDialTimeout is the timeout of connecting to a node.
	nodeDialTimeout = 400 * time.Millisecond
	// anyLoopbackPort is the listen address for a free loopback port.
	anyLoopbackPort = "127.0.0.1:0"
)

// ProxyClass is the configuration of a request class at a proxy.
type ProxyClass struct {
	Name           string
	Backend        string
	Deadline       time.Duration // deadline of a request
	AttemptTimeout time.Duration // of an attempt that may be retried whatever its outcome
}

// ProxySetup is the configuration of a proxy.
type ProxySetup struct {
	Name              string
	Zone              string
	Classes           []ProxyClass
	Map               string        // name of its map, in runtime commands
	Table             string        // name of its stick table, in runtime commands
	EjectionThreshold int           // consecutive failures after which a server is ejected; 0: never
	EjectionDuration  time.Duration // how long a server stays ejected
	EntryDelay        time.Duration // stall for each entry that a command or file changes
	Runtime           string        // path of the runtime socket
	Unresponsive      bool          // accepts runtime commands but never answers them
	Folder            string        // folder of the files that it exchanges with controllers; empty: runtime socket
}

// proxyEntry is the table entry of a server in a backend.
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

// pastOutput is an earlier output of counters.
type pastOutput struct {
	at      time.Time
	command string
	text    []byte
}

// Proxy is a simulated proxy with HAProxy's runtime API. It picks servers by weight, ejects them after consecutive
// failures, stalls for each entry that changes, retries according to its map and enforces admission limits. Its methods
// other than Start and Stop may be called from any goroutine.
type Proxy struct {
	ProxySetup
	RequestAddr string // address for callers; empty before the first Start
	watch       *invariants.Watch
	http        http.Client // to nodes

	mu             sync.Mutex
	rng            *rand.Rand
	initialEntries []ListedServer
	nextID         int
	started        time.Time
	requestServer  *http.Server

	backends     map[string][]*proxyEntry
	totals       map[string]*haproxyapi.Stat // by backend
	mapEntries   map[string]string
	mapKeys      []string                          // in order of addition
	tracked      map[string]*haproxyapi.StickEntry // by server
	trackedNames []string

	runtimeListener net.Listener
	conns           map[net.Conn]*runtimeSession
	lastSession     uint64
	commandLog      []string // the latest commands other than show and get
	files           fileTransport

	// Faults.
	stalledUntil time.Time
	readDelay    time.Duration // of each command
	cutAfter     int           // bytes read after which a session is closed; negative: never
	cutOnce      bool
	outputDelay  time.Duration // age of the counters that are shown
	pastOutputs  []pastOutput
}

// NewProxy returns a proxy that has not been started. It has the initial entries in each backend after every start, as
// from its own configuration file.
func NewProxy(setup ProxySetup, initial []ListedServer, watch *invariants.Watch, seed uint64) *Proxy {
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

// Start starts the proxy with its initial entries, an empty map and zero counters. The request address is kept across
// restarts.
func (p *Proxy) Start() error {
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
	if p.RequestAddr == "" { // later starts listen on the same address
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

// Stop ends the proxy at once and closes all its connections. It does nothing if the proxy is down.
func (p *Proxy) Stop() {
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

// CutSessions closes all runtime sessions, and each later session after it has read a number of bytes. With a negative
// number, later sessions are not closed.
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

// CutOnce closes the first runtime session that has read a number of bytes, and no later one.
func (p *Proxy) CutOnce(after int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAfter = after
	p.cutOnce = true
}

// Commands returns the commands other than show and get since the last call, and their number. At most maxCommandLog
// are kept.
func (p *Proxy) Commands() (n int, log []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log = p.commandLog
	p.commandLog = nil
	return len(log), log
}

// EntryState returns the weight and state of a server in a backend, such as "100 ready". Without such an entry it
// returns the answer that a runtime command would get.
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

// Addr returns the address of a server in a backend, "" if there is no such entry.
func (p *Proxy) Addr(backend, server string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, _ := p.find(backend + "/" + server)
	if entry == nil {
		return ""
	}
	return entry.addr
}

// MapEntry returns the value of a key of the map, "" if there is none.
func (p *Proxy) MapEntry(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mapEntries[key]
}

// Execute executes a runtime command outside any controller's session, as an operator at the proxy would, and returns
// the answer.
func (p *Proxy) Execute(words ...string) string {
	s := &runtimeSession{changedServers: map[string]bool{}}
	return string(p.execute(haproxyapi.Command{Words: words}, s))
}

// DelayCounters sets the age of the counters that the proxy shows; 0: the present ones. Counters from before the call
// are not available.
func (p *Proxy) DelayCounters(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outputDelay = delay
	p.pastOutputs = nil
}

// delayedOutput records the output of a command and returns the latest one that is at least outputDelay old, or the
// oldest one if none is. The caller holds the lock.
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

// StallUntil delays the handling of all commands and requests until the given time.
func (p *Proxy) StallUntil(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalledUntil = until
}

// ReadSlowly sets the delay before each command, and before the acknowledgement of tables from files; 0: none.
func (p *Proxy) ReadSlowly(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDelay = delay
}

// Weights returns the weights of a class's usable servers as fractions of their sum.
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
