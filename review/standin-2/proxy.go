package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// proxy is a stand-in for a proxy with HAProxy's runtime API, as its manual describes the commands, set up as
// docs/operate/proxies.md says: a backend for each class, a map, a stick table and its name as node.
type proxy struct {
	rec     *record
	name    string
	path    string // of the runtime socket
	classes []string
	static  []entry // servers of the configuration file

	mu          sync.Mutex
	listener    net.Listener
	backends    map[string][]*entry
	mapKeys     []string
	mapEntries  map[string]string
	sessions    map[net.Conn]string
	lastSession int
	tracked     map[string]*tracked
	requests    map[string]uint64
	unanswered  map[string]uint64
	started     time.Time
	refused     int // requests for which no server could be picked
}

type entry struct {
	name, addr        string
	weight            int
	admin             int // 0 ready, 1 maintenance, 8 drain
	successes, errors uint64
	failuresInARow    int
	avoidedUntil      time.Time
}

type tracked struct{ answers, millis uint64 }

func newProxy(rec *record, dir, name string, classes []string, servers []*server) *proxy {
	p := &proxy{rec: rec, name: name, path: dir + "/" + name + ".sock", classes: classes}
	for _, s := range servers {
		p.static = append(p.static, entry{name: s.name, addr: s.addr, weight: 100})
	}
	return p
}

// start starts the proxy with the servers of its configuration and an empty map.
func (p *proxy) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backends = map[string][]*entry{}
	for _, class := range p.classes {
		for _, configured := range p.static {
			e := configured
			p.backends[class] = append(p.backends[class], &e)
		}
	}
	p.mapKeys, p.mapEntries = nil, map[string]string{}
	p.sessions = map[net.Conn]string{}
	p.tracked = map[string]*tracked{}
	p.requests, p.unanswered = map[string]uint64{}, map[string]uint64{}
	p.started = time.Now()
	_ = os.Remove(p.path)
	listener, err := net.Listen("unix", p.path)
	if err != nil {
		cannotRun("proxy %s: %v", p.name, err)
	}
	p.listener = listener
	go p.accept(listener)
}

// stop ends the proxy as a killed process ends: its sockets are closed and its state is gone.
func (p *proxy) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for conn := range p.sessions {
		_ = conn.Close()
	}
	p.listener = nil
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.lastSession++
		p.sessions[conn] = fmt.Sprintf("0x%08x", p.lastSession)
		p.mu.Unlock()
		go p.serve(conn)
	}
}

func (p *proxy) serve(conn net.Conn) {
	interactive := false
	defer func() {
		conn.Close()
		p.mu.Lock()
		delete(p.sessions, conn)
		p.mu.Unlock()
	}()
	lines := bufio.NewReaderSize(conn, 1<<16)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		var out strings.Builder
		for _, command := range strings.Split(strings.TrimSpace(line), ";") {
			words := strings.Fields(command)
			if len(words) == 0 {
				continue
			}
			if words[0] == "prompt" {
				interactive = true
				out.WriteString("\n")
				continue
			}
			if words[0] == "quit" {
				return
			}
			p.mu.Lock()
			answer := p.execute(words)
			p.mu.Unlock()
			if words[0] != "show" {
				if !strings.Contains(command, "cressknot.lease") {
					p.rec.line("proxy %s: %s -> %q", p.name, strings.TrimSpace(command), answer)
				}
			}
			out.WriteString(answer)
			if answer != "" && !strings.HasSuffix(answer, "\n") {
				out.WriteString("\n")
			}
			out.WriteString("\n")
		}
		if interactive {
			out.WriteString("> ")
		}
		if _, err := conn.Write([]byte(out.String())); err != nil || !interactive {
			return
		}
	}
}

func (p *proxy) find(target string) *entry {
	backend, name, _ := strings.Cut(target, "/")
	for _, e := range p.backends[backend] {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (p *proxy) execute(words []string) string {
	two := words[0]
	if len(words) > 1 {
		two += " " + words[1]
	}
	switch two {
	case "show info":
		return fmt.Sprintf("Name: stand-in\nVersion: 3.0\nnode: %s\nUptime_sec: %d\n", p.name,
			int(time.Since(p.started).Seconds()))
	case "show servers":
		return p.showServersState()
	case "show stat":
		return p.showStat()
	case "show table":
		return p.showTable()
	case "show map":
		var out strings.Builder
		for i, key := range p.mapKeys {
			fmt.Fprintf(&out, "0x%08x %s %s\n", i+1, key, p.mapEntries[key])
		}
		return out.String()
	case "show sess":
		var out strings.Builder
		for _, id := range p.sessions {
			fmt.Fprintf(&out, "%s: proto=unix_stream src=unix:1 fe=GLOBAL be=<NONE> srv=<none> ts=00 age=1s calls=1\n", id)
		}
		return out.String()
	case "shutdown session":
		for conn, id := range p.sessions {
			if len(words) > 2 && id == words[2] {
				conn.Close()
			}
		}
		return ""
	case "add map", "set map":
		if len(words) != 5 {
			return "Missing arguments.\n"
		}
		if _, known := p.mapEntries[words[3]]; !known {
			if words[0] == "set" {
				return "entry not found.\n"
			}
			p.mapKeys = append(p.mapKeys, words[3])
		}
		p.mapEntries[words[3]] = words[4]
		return ""
	case "set server":
		return p.setServer(words[2:])
	case "add server":
		return p.addServer(words[2:])
	case "del server":
		e := p.find(words[2])
		if e == nil {
			return "No such server.\n"
		}
		if e.admin != 1 {
			return "Only servers in maintenance mode can be deleted.\n"
		}
		backend, _, _ := strings.Cut(words[2], "/")
		var kept []*entry
		for _, other := range p.backends[backend] {
			if other != e {
				kept = append(kept, other)
			}
		}
		p.backends[backend] = kept
		return "Server deleted.\n"
	}
	return "Unknown command: '" + strings.Join(words, " ") + "'.\n"
}

func (p *proxy) setServer(args []string) string {
	if len(args) < 3 {
		return "Require 'backend/server'.\n"
	}
	e := p.find(args[0])
	if e == nil {
		return "No such server.\n"
	}
	switch args[1] {
	case "weight":
		weight, err := strconv.Atoi(args[2])
		if err != nil || weight < 0 || weight > 256 {
			return "Absolute weight can only be between 0 and 256 inclusive.\n"
		}
		e.weight = weight
	case "state":
		admin, known := map[string]int{"ready": 0, "maint": 1, "drain": 8}[args[2]]
		if !known {
			return "'set server <srv> state' expects 'ready', 'drain' and 'maint'.\n"
		}
		e.admin = admin
	case "addr":
		before := e.addr
		host, port, _ := net.SplitHostPort(e.addr)
		host = args[2]
		if len(args) == 5 && args[3] == "port" {
			port = args[4]
		}
		e.addr = net.JoinHostPort(host, port)
		if e.addr == before {
			return "no need to change the addr, port\n"
		}
		return "IP changed from '" + before + "' to '" + e.addr + "' by 'stats socket command'\n"
	}
	return ""
}

func (p *proxy) addServer(args []string) string {
	if len(args) < 2 {
		return "Require 'backend/server'.\n"
	}
	if p.find(args[0]) != nil {
		return "Already exists a server with the same name in backend.\n"
	}
	if _, _, err := net.SplitHostPort(args[1]); err != nil {
		return "Invalid address.\n"
	}
	backend, name, _ := strings.Cut(args[0], "/")
	e := &entry{name: name, addr: args[1], weight: 1, admin: 1}
	for i := 2; i+1 < len(args); i += 2 {
		if args[i] == "weight" {
			e.weight, _ = strconv.Atoi(args[i+1])
		}
	}
	p.backends[backend] = append(p.backends[backend], e)
	return "New server registered.\n"
}

func (p *proxy) showServersState() string {
	var out strings.Builder
	out.WriteString("1\n# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_iweight srv_port\n")
	for i, class := range p.classes {
		for k, e := range p.backends[class] {
			host, port, _ := net.SplitHostPort(e.addr)
			fmt.Fprintf(&out, "%d %s %d %s %s 2 %d %d 100 %s\n", i+1, class, k+1, e.name, host, e.admin, e.weight, port)
		}
	}
	return out.String()
}

func (p *proxy) showStat() string {
	var out strings.Builder
	out.WriteString("# pxname,svname,status,scur,stot,dreq,econ,eresp,wretr,weight,hrsp_1xx,hrsp_2xx,hrsp_3xx,hrsp_4xx,hrsp_5xx\n")
	for _, class := range p.classes {
		for _, e := range p.backends[class] {
			status := map[int]string{0: "UP", 1: "MAINT", 8: "DRAIN"}[e.admin]
			fmt.Fprintf(&out, "%s,%s,%s,0,%d,0,%d,0,0,%d,0,%d,0,0,0\n", class, e.name, status,
				e.successes+e.errors, e.errors, e.weight, e.successes)
		}
		fmt.Fprintf(&out, "%s,BACKEND,UP,0,%d,0,%d,0,0,0,0,%d,0,0,0\n", class, p.requests[class], p.unanswered[class],
			p.requests[class]-p.unanswered[class])
	}
	return out.String()
}

func (p *proxy) showTable() string {
	var out strings.Builder
	out.WriteString("# table: nodes, type: string, size:10240, used:1\n")
	i := 0
	for name, t := range p.tracked {
		i++
		fmt.Fprintf(&out, "0x%08x: key=%s use=0 exp=0 shard=0 gpt0=100 gpt1=1000 gpt2=8000 gpc0=%d gpc1=%d\n", i, name, t.millis, t.answers)
	}
	return out.String()
}

// pick picks a usable server by weight, and keeps away for 4 s from one that failed three times in a row.
func (p *proxy) pick(class string) *entry {
	now := time.Now()
	for _, avoid := range []bool{true, false} {
		sum := 0
		for _, e := range p.backends[class] {
			if e.admin == 0 && !(avoid && now.Before(e.avoidedUntil)) {
				sum += e.weight
			}
		}
		if sum == 0 {
			continue
		}
		draw := rand.IntN(sum)
		for _, e := range p.backends[class] {
			if e.admin == 0 && !(avoid && now.Before(e.avoidedUntil)) {
				if draw -= e.weight; draw < 0 {
					return e
				}
			}
		}
	}
	return nil
}

// request forwards one request of a client.
func (p *proxy) request(class, id string) bool {
	p.mu.Lock()
	if p.listener == nil {
		p.mu.Unlock()
		return false
	}
	p.requests[class]++
	e := p.pick(class)
	if e == nil {
		p.refused++
		p.unanswered[class]++
		p.mu.Unlock()
		return false
	}
	addr := e.addr
	p.mu.Unlock()
	began := time.Now()
	ok := send(addr, class, id, p.name)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		e.errors++
		p.unanswered[class]++
		if e.failuresInARow++; e.failuresInARow >= 3 {
			e.failuresInARow = 0
			e.avoidedUntil = time.Now().Add(4 * time.Second)
		}
		return false
	}
	e.failuresInARow = 0
	e.successes++
	t := p.tracked[e.name]
	if t == nil {
		t = &tracked{}
		p.tracked[e.name] = t
	}
	t.answers++
	t.millis += uint64(time.Since(began).Milliseconds())
	return true
}
