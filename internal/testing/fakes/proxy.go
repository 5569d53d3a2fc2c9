package fakes

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cressknot/internal/haproxyapi"
	"cressknot/internal/testing/invariants"
)

// ProxyClass is a class as a proxy is set up for it.
type ProxyClass struct {
	Name     string
	Backend  string
	HardStop time.Duration
	PerTry   time.Duration // how long a try that may be followed waits
}

// ProxySetup is a proxy's configuration.
type ProxySetup struct {
	Name       string
	Zone       string
	Classes    []ProxyClass
	Map        string
	Table      string
	ShunAfter  int
	ShunFor    time.Duration
	LineDelay  time.Duration // stands still so long for each line that it reads
	Runtime    string        // path of its runtime socket
	NoneStands bool          // answers no runtime commands at all
	Folder     string        // goes by files in this folder, and has no runtime socket
}

const logMost = 4096 // commands kept for tests

type line struct {
	name, addr string
	weight     int
	admin      uint64
	id         int
	row        haproxyapi.Stat
	inARow     int
	shunned    time.Time
	open       int
}

type past struct {
	at      time.Time
	command string
	text    []byte
}

// Proxy is a plain proxy that obeys its tables: it picks by weight, shuns after failures in a row, stands still for
// each line it reads, tries again only as it is told and refuses by level.
type Proxy struct {
	ProxySetup
	Visit string // address of its visits' socket
	watch *invariants.Watch
	http  http.Client

	mu       sync.Mutex
	rng      *rand.Rand
	standing []Entry
	backends map[string][]*line // by class
	totals   map[string]*haproxyapi.Stat
	levels   map[string]string // the map
	order    []string          // its keys
	tracked  map[string]*haproxyapi.Tracked
	tracks   []string
	started  time.Time
	stall    time.Time // stands still until
	log      []string  // the latest commands that change something
	cutOnce  bool
	nextID   int
	lister   net.Listener
	visits   *http.Server
	conns    map[net.Conn]*control
	controls uint64
	slowRead time.Duration
	files    filesState
	late     time.Duration
	past     []past // what was shown while reports are late
	cut      int    // bytes of requests after which sessions are cut; negative: never
}

// NewProxy makes a proxy that is not up. Standing is what its own configuration lists.
func NewProxy(setup ProxySetup, standing []Entry, watch *invariants.Watch, seed uint64) *Proxy {
	p := &Proxy{ProxySetup: setup, watch: watch, rng: rand.New(rand.NewPCG(seed, 2)), standing: standing, cut: -1}
	p.http.Transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 15 * time.Second, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 400 * time.Millisecond}).DialContext}
	return p
}

// Up starts the proxy with its standing tables.
func (p *Proxy) Up() error {
	var l net.Listener
	var err error
	if p.Folder == "" {
		_ = os.Remove(p.Runtime)
		if l, err = net.Listen("unix", p.Runtime); err != nil {
			return fmt.Errorf("proxy %s: %w", p.Name, err)
		}
	}
	visit := p.Visit
	if visit == "" {
		visit = "127.0.0.1:0"
	}
	v, err := listenAgain(visit)
	if err != nil {
		if l != nil {
			_ = l.Close()
		}
		return fmt.Errorf("proxy %s: %w", p.Name, err)
	}
	p.mu.Lock()
	if p.Visit == "" { // it never changes after
		p.Visit = v.Addr().String()
	}
	p.lister, p.started = l, time.Now()
	p.backends, p.totals, p.levels, p.order = map[string][]*line{}, map[string]*haproxyapi.Stat{}, map[string]string{}, nil
	p.tracked, p.tracks, p.conns = map[string]*haproxyapi.Tracked{}, nil, map[net.Conn]*control{}
	for _, c := range p.Classes {
		p.totals[c.Backend] = &haproxyapi.Stat{Proxy: []byte(c.Backend), Server: []byte("BACKEND")}
		for _, e := range p.standing {
			p.add(c.Backend, e.Name, e.Addr, 100, 0)
		}
	}
	p.visits = &http.Server{Handler: http.HandlerFunc(p.serve)}
	p.look()
	go func(s *http.Server) { _ = s.Serve(v) }(p.visits)
	p.mu.Unlock()
	if p.Folder != "" {
		return p.follow()
	}
	go p.accept(l)
	return nil
}

func (p *Proxy) add(backend, name, addr string, weight int, admin uint64) *line {
	p.nextID++
	l := &line{name: name, addr: addr, weight: weight, admin: admin, id: p.nextID,
		row: haproxyapi.Stat{Proxy: []byte(backend), Server: []byte(name)}}
	p.backends[backend] = append(p.backends[backend], l)
	return l
}

// Down ends the proxy at once.
func (p *Proxy) Down() {
	p.mu.Lock()
	l, v, conns := p.lister, p.visits, p.conns
	p.lister, p.visits, p.conns = nil, nil, nil
	p.mu.Unlock()
	if v == nil {
		return
	}
	if l != nil {
		_ = l.Close()
	} else {
		p.unfollow()
	}
	_ = v.Close()
	for c := range conns {
		_ = c.Close()
	}
	p.http.CloseIdleConnections()
}

// CutSessions breaks all runtime sessions, and each later one after so many bytes; negative: no more.
func (p *Proxy) CutSessions(after int) {
	p.mu.Lock()
	p.cut = after
	conns := make([]net.Conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// CutOnce breaks the next session after so many bytes of requests, and no later one.
func (p *Proxy) CutOnce(after int) {
	p.mu.Lock()
	p.cut, p.cutOnce = after, true
	p.mu.Unlock()
}

// Commands tells how many commands were answered that change something, since the last call.
func (p *Proxy) Commands() (n int, log []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, p.log = p.log, nil
	return len(log), log
}

// Held gives what the proxy holds of a server in a backend, as "weight state".
func (p *Proxy) Held(backend, server string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := p.find(backend + "/" + server)
	if l == nil {
		return strings.TrimSpace(err)
	}
	return fmt.Sprintf("%d %s", l.weight, map[uint64]string{0: "ready", haproxyapi.AdminDrain: "drain", haproxyapi.AdminMaint: "maint"}[l.admin])
}

// Addr gives where a line sends to.
func (p *Proxy) Addr(backend, server string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, _ := p.find(backend + "/" + server); l != nil {
		return l.addr
	}
	return ""
}

// Level gives an entry of the map.
func (p *Proxy) Level(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.levels[key]
}

// ByHand carries out a command as staff would at the proxy itself.
func (p *Proxy) ByHand(words ...string) string {
	return string(p.command(haproxyapi.Command{Words: words}, map[string]bool{}, &control{}))
}

// ReportLate lets it show counters as they were so long ago; 0: no more.
func (p *Proxy) ReportLate(by time.Duration) {
	p.mu.Lock()
	p.late, p.past = by, nil
	p.mu.Unlock()
}

// shown keeps what a command shows and gives what it showed so long ago.
func (p *Proxy) shown(command string, text []byte) []byte {
	if p.late == 0 {
		return text
	}
	now := time.Now()
	p.past = append(p.past, past{now, command, text})
	for _, old := range slices.Backward(p.past) {
		if old.command == command && now.Sub(old.at) >= p.late {
			return old.text
		}
	}
	for _, old := range p.past {
		if old.command == command {
			return old.text
		}
	}
	return text
}

// Stall lets the proxy stand still until then.
func (p *Proxy) Stall(until time.Time) {
	p.mu.Lock()
	p.stall = until
	p.mu.Unlock()
}

// ReadSlowly lets it take so long for each command; 0: no more.
func (p *Proxy) ReadSlowly(each time.Duration) {
	p.mu.Lock()
	p.slowRead = each
	p.mu.Unlock()
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		if p.conns == nil {
			p.mu.Unlock()
			_ = c.Close()
			return
		}
		p.controls++
		of := &control{id: fmt.Sprintf("0x%08x", p.controls), conn: c, since: time.Now()}
		p.conns[c] = of
		p.mu.Unlock()
		go p.talk(c, of)
	}
}

// control is one session of the runtime socket.
type control struct {
	id       string
	conn     net.Conn
	since    time.Time
	calls    int
	ended    bool   // by "shutdown session"
	steers   bool   // it has read back what the proxy holds
	governor string // whose entry it wrote last, and the epoch there
	epoch    uint64
}

// older tells whether a version, EPOCH.COUNT/DIGEST with the epoch in base 36, is older than another one.
func older(version, than string) bool {
	read := func(text string) (epoch, count uint64) {
		e, rest, _ := strings.Cut(text, ".")
		c, _, _ := strings.Cut(rest, "/")
		epoch, _ = strconv.ParseUint(e, 36, 64)
		count, _ = strconv.ParseUint(c, 10, 64)
		return epoch, count
	}
	e, c := read(version)
	te, tc := read(than)
	return e < te || e == te && c < tc
}

// lease notes whose session it is that writes a governor's entry.
func (c *control) lease(key, value string) {
	if g, is := strings.CutPrefix(key, "cressknot.lease."); is {
		epoch, _, _ := strings.Cut(value, ".")
		c.governor = g
		c.epoch, _ = strconv.ParseUint(epoch, 36, 64)
	}
}

// talk answers one runtime session.
func (p *Proxy) talk(c net.Conn, of *control) {
	joined := false
	touched := map[string]bool{}
	defer func() {
		_ = c.Close()
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		if joined {
			p.watch.Parted(p.Name)
		}
	}()
	s := haproxyapi.Session{Answer: func(cmd haproxyapi.Command) []byte {
		if p.NoneStands {
			select {}
		}
		p.mu.Lock()
		slow := p.slowRead
		p.mu.Unlock()
		time.Sleep(slow)
		return p.command(cmd, touched, of)
	}}
	buffer := make([]byte, 1<<16)
	read := 0
	for {
		n, err := c.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		cut := p.cut
		wait := time.Until(p.stall)
		p.mu.Unlock()
		time.Sleep(wait)
		if cut >= 0 && read+n > cut {
			n = max(0, cut-read)
		}
		read += n
		reply, done := s.Feed(buffer[:n])
		if len(touched) > 0 {
			p.watch.Message(p.Name, len(touched))
			clear(touched)
		}
		if cut >= 0 && read >= cut {
			p.mu.Lock()
			if p.cutOnce {
				p.cut = -1
			}
			p.mu.Unlock()
			return
		}
		if _, err := c.Write(reply); err != nil || done {
			return
		}
		if !joined && of.steers && bytes.Contains(buffer[:n], []byte("show map")) {
			if joined = true; of.governor != "" {
				p.watch.Owner(p.Name, of.governor)
			}
			p.watch.Joined(p.Name)
		}
	}
}

// find gives the line of "backend/server".
func (p *Proxy) find(target string) (*line, string) {
	backend, server, ok := strings.Cut(target, "/")
	if !ok {
		return nil, haproxyapi.ServerRequired
	}
	lines, known := p.backends[backend]
	if _, set := p.totals[backend]; !known && !set {
		return nil, haproxyapi.NoBackend
	}
	for _, l := range lines {
		if l.name == server {
			return l, ""
		}
	}
	return nil, haproxyapi.NoServer
}

// command answers one command, under the specification's rules.
func (p *Proxy) command(c haproxyapi.Command, touched map[string]bool, of *control) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	words := c.Words
	if of.calls++; of.ended { // what it had sent before it was ended is not followed
		return nil
	}
	if words[0] != "show" && words[0] != "get" {
		p.log = append(p.log, strings.Join(words, " "))
		p.log = p.log[max(0, len(p.log)-logMost):]
	}
	is := func(of ...string) bool {
		if len(words) >= len(of) && slices.Equal(words[:len(of)], of) {
			words = words[len(of):]
			return true
		}
		return false
	}
	changes := func(target string) {
		_, server, _ := strings.Cut(target, "/")
		touched[server] = true
		if of.governor != "" {
			p.watch.Ordered(p.Name, of.governor, of.epoch)
		}
		if now := time.Now(); p.stall.Before(now) {
			p.stall = now
		}
		p.stall = p.stall.Add(p.LineDelay)
	}
	switch {
	case is("show", "info"):
		return fmt.Appendf(nil, "Name: stand-in\nVersion: 1\nnode: %s\nPid: %d\nUptime_sec: %d\nStart_time_sec: %d\n", p.Name, os.Getpid(),
			int(time.Since(p.started).Seconds()), p.started.Unix())
	case is("show", "stat"):
		return p.shown("stat", p.stat())
	case is("show", "sess") && len(words) == 0:
		var out []byte
		for _, s := range p.conns {
			out = fmt.Appendf(out, "%s: proto=unix_stream src=unix:1 fe=GLOBAL be=<NONE> srv=<none> ts=00 epoch=0 age=%ds calls=%d\n", s.id, int(time.Since(s.since).Seconds()), s.calls)
		}
		return fmt.Appendf(out, "0x0fffffff: proto=tcpv4 src=127.0.0.1:5 fe=visits be=%s srv=none ts=00 age=1s calls=1\n", p.Classes[0].Backend)
	case is("shutdown", "session") && len(words) == 1:
		for conn, s := range p.conns {
			if s.id == words[0] {
				s.ended = true
				_ = conn.Close()
				return nil
			}
		}
		return []byte("No such session (use 'show sess').\n")
	case is("show", "servers", "state"):
		of.steers = true
		out := haproxyapi.AppendServersStateHeader(nil)
		for i, class := range p.Classes {
			for _, l := range p.backends[class.Backend] {
				host, port, _ := net.SplitHostPort(l.addr)
				n, _ := strconv.ParseUint(port, 10, 16)
				out = haproxyapi.AppendServerState(out, i+1, l.id, &haproxyapi.ServerState{Backend: []byte(class.Backend),
					Server: []byte(l.name), Addr: []byte(host), Port: n, Operational: 2, Admin: l.admin, Weight: uint64(l.weight)})
			}
		}
		return out
	case is("show", "map") && len(words) == 1:
		if words[0] != p.Map {
			return []byte(haproxyapi.NoMap)
		}
		var out []byte
		for i, k := range p.order {
			out = fmt.Appendf(out, "0x%08x %s %s\n", i+1, k, p.levels[k])
		}
		return out
	case is("show", "table") && len(words) == 1:
		if words[0] != p.Table {
			return []byte(haproxyapi.NoTable)
		}
		out := fmt.Appendf(nil, "# table: %s, type: string, size:10240, used:%d\n", p.Table, len(p.tracks))
		for i, name := range p.tracks {
			out = haproxyapi.AppendTracked(out, i+1, p.tracked[name])
		}
		return p.shown("table", out)
	case (is("set", "map") || is("add", "map")) && len(words) == 3:
		if words[0] != p.Map {
			return []byte(haproxyapi.NoMap)
		}
		_, known := p.levels[words[1]]
		if !known && c.Words[0] == "set" {
			return []byte(haproxyapi.NoKey)
		}
		if !known {
			p.order = append(p.order, words[1])
		}
		if strings.HasSuffix(words[1], ".version") {
			p.watch.Version(p.Name, words[1], words[2], older(words[2], p.levels[words[1]]))
		}
		p.levels[words[1]] = words[2]
		of.lease(words[1], words[2])
		return nil
	case is("del", "map") && len(words) == 2:
		if _, known := p.levels[words[1]]; !known {
			return []byte(haproxyapi.NoKey)
		}
		delete(p.levels, words[1])
		p.order = slices.DeleteFunc(p.order, func(k string) bool { return k == words[1] })
		return nil
	case is("get", "weight") && len(words) == 1:
		l, err := p.find(words[0])
		if l == nil {
			return []byte(err)
		}
		return fmt.Appendf(nil, "%d (initial 100)\n", l.weight)
	case is("set", "weight") && len(words) == 2, is("set", "server") && len(words) == 3 && words[1] == "weight":
		l, err := p.find(words[0])
		if l == nil {
			return []byte(err)
		}
		n, bad := strconv.Atoi(words[len(words)-1])
		if bad != nil || n < 0 || n > haproxyapi.MaxWeight {
			return []byte(haproxyapi.BadWeight)
		}
		l.weight = n
		changes(words[0])
		p.look()
		return nil
	case len(words) == 3 && words[1] == "state": // "set server" has been taken off
		l, err := p.find(words[0])
		if l == nil {
			return []byte(err)
		}
		admin, ok := map[string]uint64{"ready": 0, "drain": haproxyapi.AdminDrain, "maint": haproxyapi.AdminMaint}[words[2]]
		if !ok {
			return []byte(haproxyapi.BadState)
		}
		l.admin = admin
		changes(words[0])
		p.look()
		return nil
	case len(words) >= 3 && words[1] == "addr":
		l, err := p.find(words[0])
		if l == nil {
			return []byte(err)
		}
		_, port, _ := net.SplitHostPort(l.addr)
		if len(words) == 5 && words[3] == "port" {
			port = words[4]
		}
		to := net.JoinHostPort(words[2], port)
		if to == l.addr {
			return []byte(haproxyapi.AddrUnchanged + " the addr, port\n")
		}
		l.addr = to
		return []byte(haproxyapi.AddrChanged + " by 'stats socket command'\n")
	case is("add", "server") && len(words) >= 2:
		l, err := p.find(words[0])
		if l != nil {
			return []byte(haproxyapi.ServerExists)
		}
		if err != haproxyapi.NoServer {
			return []byte(err)
		}
		weight := 1
		for i := 2; i+1 < len(words); i += 2 {
			if words[i] == "weight" {
				weight, _ = strconv.Atoi(words[i+1])
			}
		}
		backend, server, _ := strings.Cut(words[0], "/")
		p.add(backend, server, words[1], weight, haproxyapi.AdminMaint)
		changes(words[0])
		return []byte(haproxyapi.Registered)
	case is("del", "server") && len(words) == 1:
		l, err := p.find(words[0])
		switch {
		case l == nil:
			return []byte(err)
		case l.admin&haproxyapi.AdminMaint == 0:
			return []byte(haproxyapi.NotInMaintenance)
		case l.open > 0:
			return []byte(haproxyapi.HasConnections)
		}
		backend, _, _ := strings.Cut(words[0], "/")
		p.backends[backend] = slices.DeleteFunc(p.backends[backend], func(o *line) bool { return o == l })
		return []byte(haproxyapi.Deleted)
	}
	return fmt.Appendf(nil, "%s'%s'.\n", haproxyapi.UnknownPrefix, strings.Join(c.Words, " "))
}

func (p *Proxy) stat() []byte {
	out := haproxyapi.AppendStatHeader(nil)
	for _, class := range p.Classes {
		for _, l := range p.backends[class.Backend] {
			l.row.Weight = uint64(l.weight)
			l.row.Status = []byte(map[uint64]string{0: "UP", haproxyapi.AdminDrain: "DRAIN", haproxyapi.AdminMaint: "MAINT"}[l.admin])
			out = haproxyapi.AppendStat(out, &l.row)
		}
		out = haproxyapi.AppendStat(out, p.totals[class.Backend])
	}
	return out
}

func (l *line) usable() bool { return l.weight > 0 && l.admin == 0 }

// look tells the watch for which classes there is a line to pick.
func (p *Proxy) look() {
	for _, c := range p.Classes {
		p.watch.Lines(p.Name, c.Name, slices.ContainsFunc(p.backends[c.Backend], (*line).usable))
	}
}

// pick draws a line at random by weight; shunned ones only where there is no other.
func (p *Proxy) pick(backend string, not *line) *line {
	now := time.Now()
	for _, shunned := range []bool{false, true} {
		sum := 0
		for _, l := range p.backends[backend] {
			if l.usable() && l != not && (shunned || now.After(l.shunned)) {
				sum += l.weight
			}
		}
		if sum == 0 {
			continue
		}
		n := p.rng.IntN(sum)
		for _, l := range p.backends[backend] {
			if l.usable() && l != not && (shunned || now.After(l.shunned)) {
				if n -= l.weight; n < 0 {
					return l
				}
			}
		}
	}
	return nil
}

func (p *Proxy) number(key string, otherwise int) int {
	if n, err := strconv.Atoi(p.levels[key]); err == nil {
		return n
	}
	return otherwise
}

// serve takes one visit.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request) {
	name := r.Header.Get("X-Class")
	at := slices.IndexFunc(p.Classes, func(c ProxyClass) bool { return c.Name == name })
	if at < 0 {
		http.Error(w, "no such class", http.StatusBadRequest)
		return
	}
	class := p.Classes[at]
	visit, _ := strconv.ParseUint(r.Header.Get("X-Visit"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), class.HardStop)
	defer cancel()
	p.mu.Lock()
	wait := time.Until(p.stall)
	p.mu.Unlock()
	time.Sleep(wait)

	p.mu.Lock()
	total := p.totals[class.Backend]
	total.Sessions++
	retry := p.number(name+".retry", 0)
	if p.rng.IntN(1000) >= p.number(name+".share", 1000) {
		total.Denied++
		p.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	p.mu.Unlock()
	var last *line
	mayHaveRun := false
	for try := 0; ; try++ {
		p.mu.Lock()
		l := p.pick(class.Backend, last)
		if l == nil {
			p.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		l.open++
		l.row.Sessions++
		l.row.CurrentSessions++
		p.mu.Unlock()
		within := ctx
		if most := map[int]int{2: 1, 3: 2}[retry]; try < most {
			var stop context.CancelFunc
			within, stop = context.WithTimeout(ctx, class.PerTry)
			defer stop()
		}
		good, neverRan := p.try(within, l, class, visit, try, mayHaveRun)
		mayHaveRun = mayHaveRun || !good && !neverRan
		last = l
		again := !good && ctx.Err() == nil && (retry == 1 && try == 0 && neverRan || retry >= 2 && try < retry-1)
		if again {
			continue
		}
		p.mu.Lock()
		if good {
			total.Good++
		} else {
			total.Errors++
		}
		p.mu.Unlock()
		if good {
			w.Header().Set("X-Node", l.name)
			return
		}
		w.WriteHeader(http.StatusBadGateway)
		return
	}
}

// try sends a visit to a node.
func (p *Proxy) try(ctx context.Context, l *line, class ProxyClass, visit uint64, n int, mayHaveRun bool) (good, neverRan bool) {
	p.watch.Sent(p.Name, l.name, class.Name, visit, n, mayHaveRun)
	began := time.Now()
	good, neverRan, load, err := SendVisit(ctx, &p.http, l.addr, p.Name, class.Name, visit)
	p.mu.Lock()
	defer p.mu.Unlock()
	l.open--
	l.row.CurrentSessions--
	switch {
	case good:
		l.row.Good++
		l.inARow = 0
		t := p.tracked[l.name]
		if t == nil {
			t = &haproxyapi.Tracked{Key: []byte(l.name)}
			p.tracked[l.name] = t
			p.tracks = append(p.tracks, l.name)
		}
		t.GoodMs += uint64(time.Since(began).Milliseconds())
		t.Good++
		for i, f := range strings.Split(load, ",") {
			if v, err := strconv.ParseUint(f, 10, 32); err == nil && i < len(t.Load) {
				t.Load[i], t.HasLoad = v, true
			}
		}
	case err == nil:
		l.row.Errors++
	case neverRan:
		l.row.ConnFailed++
	default:
		l.row.RespFailed++
	}
	if !good {
		if l.inARow++; p.ShunAfter > 0 && l.inARow >= p.ShunAfter {
			l.inARow, l.shunned = 0, time.Now().Add(p.ShunFor)
		}
	}
	return good, neverRan
}

// SendVisit sends a visit to a node in the name of a proxy. NeverRan: there is proof that it did nothing.
func SendVisit(ctx context.Context, over *http.Client, addr, proxy, class string, visit uint64) (good, neverRan bool, load string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/visit", nil)
	if err != nil {
		return false, true, "", err
	}
	req.Header.Set("X-Class", class)
	req.Header.Set("X-Proxy", proxy)
	req.Header.Set("X-Visit", strconv.FormatUint(visit, 10))
	res, err := over.Do(req)
	if err != nil {
		return false, isDialError(err), "", err
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK, res.Header.Get("X-Never-Ran") != "", res.Header.Get("X-Load"), nil
}

// isDialError tells whether an error is that of a dial: the request was never sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Weights gives the shares of a class's lines.
func (p *Proxy) Weights(class string) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	shares, sum := map[string]float64{}, 0.0
	for _, c := range p.Classes {
		if c.Name != class {
			continue
		}
		for _, l := range p.backends[c.Backend] {
			if l.usable() {
				shares[l.name] = float64(l.weight)
				sum += float64(l.weight)
			}
		}
	}
	for n := range shares {
		shares[n] /= sum
	}
	return shares
}
