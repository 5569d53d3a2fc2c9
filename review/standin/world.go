// Program standin plays the platform of a small deployment to real governors: relay, discovery, proxies, servers and
// collectors, all on loopback. It starts the governors, plays one case and judges one rule.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// slack is what the protocol page adds to the time limits of the rules on sockets.
const slack = 300 * time.Millisecond

// world holds all that one run consists of.
type world struct {
	site   *site
	root   string // of the repository
	temp   string
	began  time.Time
	disco  *discovery
	govs   []*governor
	stop   chan struct{}
	mu     sync.Mutex
	record *os.File
	served map[string]*load // by server

	servers map[string]*server
	falls   []fall
	breaks  map[string]int     // by rule
	worst   map[string]float64 // by rule: the nearest to its limit, 1 at the limit
}

// load is the work that a server has had.
type load struct {
	tries int // since the last report to a collector, by all proxies
	rate  float64
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// governor is one real governor with all that is set aside for it.
type governor struct {
	w             *world
	name          string
	index         int
	zone          string
	seed          string
	listen        string
	config        string
	relay         *relay
	access        *access
	relayAt       string
	relayListener *gatedListener
	spoilt        func(field string) string // draws a spoilt number of a report, "" for none; nil: none
	knownList     string                    // the list in the configuration; empty: the present one
	startTold     map[string]time.Time      // by server: when discovery wrote its latest start to the governor
	proxies       []*proxy
	command       *exec.Cmd
	exited        chan error
}

// proxy is a proxy of the platform. It does as its tables say.
type proxy struct {
	w    *world
	g    *governor
	id   int
	zone string
	rate float64 // requests per second

	mu         sync.Mutex
	random     *rand.Rand
	standing   map[string]float64
	tables     map[string]map[string]float64 // by table
	classTable map[string]string             // by class; none: the standing table
	withdrawn  map[string]bool
	waiting    []*message
	joinedAt   time.Time
	bareSince  map[string]time.Time // by class: since when it has no line to pick
	left       bool                 // it has no stream
	dead       bool
	lastSent   time.Time          // when the governor sent the last message that has arrived
	sentAt     []time.Time        // messages to it since it joined, in the span of the limit
	met        map[string][2]int  // tries and failures by server since the last report
	asked      map[string]int     // requests by class since the last report
	lost       map[string]int     // of these, those without a good answer
	spent      map[string]float64 // ms of the good answers by server since the last report
	failing    map[string]int     // failures in a row by server
	shunned    map[string]time.Time
	credit     map[string]float64 // of the wheel, by server
	admitted   map[string]float64 // by class: the level, as ordered
	tokens     map[string]float64 // by class, where the level is a rate
	tokensAt   time.Time
	tries      map[string]int // by server, in all
	late       []lateTry
}

// lateTry is a try at a server after the time limit of the rule on draining.
type lateTry struct {
	at     time.Time
	server string
	over   time.Duration
}

func (p *proxy) receive(m *message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = append(p.waiting, m)
	now := time.Now()
	p.sentAt = append(p.sentAt, now)
	for now.Sub(p.sentAt[0]) > messageSpan {
		p.sentAt = p.sentAt[1:]
	}
	if limit := p.w.site.messages; limit > 0 {
		p.w.near("messages", float64(len(p.sentAt))/float64(limit))
	}
	if limit := p.w.site.messages; limit > 0 && len(p.sentAt) > limit {
		p.w.broken("messages", "%d messages to proxy %d within 10 s", len(p.sentAt), p.id)
	}
}

// messageSpan is the span of the limit on messages to a proxy.
const messageSpan = 10 * time.Second

// checkBare judges the rule that no proxy is left without a server.
func (p *proxy) checkBare(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update(now)
	if p.left {
		return
	}
	for _, c := range p.w.site.Classes {
		lines := p.standing
		if table, bound := p.classTable[c.Name]; bound {
			lines = p.tables[table]
		}
		free := 0
		for uid := range lines {
			if !p.withdrawn[uid] {
				free++
			}
		}
		if free > 0 {
			delete(p.bareSince, c.Name)
			continue
		}
		if p.bareSince[c.Name].IsZero() {
			p.bareSince[c.Name] = now
		}
		limit := time.Duration(p.w.site.unservedMs*float64(time.Millisecond)) + slack
		p.w.near("bare", now.Sub(p.bareSince[c.Name]).Seconds()/limit.Seconds())
		if bare := now.Sub(p.bareSince[c.Name]); bare > limit {
			p.w.broken("bare", "proxy %d has no line for %s for %.1f s", p.id, c.Name, bare.Seconds())
		}
	}
}

// near records how near a rule is to its limit.
func (w *world) near(rule string, part float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.worst[rule] = max(w.worst[rule], part)
}

// broken records a broken rule.
func (w *world) broken(rule, format string, args ...any) {
	w.mu.Lock()
	w.breaks[rule]++
	first := w.breaks[rule] <= 3
	w.mu.Unlock()
	if first {
		w.logf("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
	}
}

// update applies the messages that have arrived. The caller holds the lock.
func (p *proxy) update(now time.Time) {
	for len(p.waiting) > 0 && !p.waiting[0].arrives.After(now) {
		p.lastSent = p.waiting[0].sent
		for _, apply := range p.waiting[0].apply {
			apply(p)
		}
		p.waiting = p.waiting[1:]
	}
}

func (p *proxy) tryNow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update(time.Now())
}

// request sends one request of a class by the table.
func (p *proxy) request(c class) {
	now := time.Now()
	p.mu.Lock()
	if p.dead {
		p.mu.Unlock()
		return
	}
	p.update(now)
	p.asked[c.Name]++
	if !p.admits(c.Name, now) {
		p.mu.Unlock()
		return
	}
	lines := p.standing
	if table, bound := p.classTable[c.Name]; bound {
		lines = p.tables[table]
	}
	uid := p.pick(lines, now)
	if uid == "" {
		p.lost[c.Name]++
		p.mu.Unlock()
		return
	}
	p.tries[uid]++
	lastSent := p.lastSent
	p.mu.Unlock()
	p.w.arrived(p, uid, now)
	good, took := p.w.server(uid).receive(c.workMs/1000, p.g.knew(uid, lastSent, now))
	time.AfterFunc(took, func() { p.ended(c.Name, uid, good, took) })
}

// ended counts the outcome of a try.
func (p *proxy) ended(class, uid string, good bool, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	met := p.met[uid]
	met[0]++
	if good {
		p.spent[uid] += float64(took.Microseconds()) / 1000
		p.failing[uid] = 0
	} else {
		met[1]++
		p.lost[class]++
		if p.failing[uid]++; p.failing[uid] >= p.w.site.outlier {
			p.failing[uid] = 0
			p.shunned[uid] = time.Now().Add(p.w.site.shun)
		}
	}
	p.met[uid] = met
}

// unlimited is the level from which a proxy lets in everything, whatever the level means.
const unlimited = 1e5

// admits applies the level that the governor has ordered. The caller holds the lock.
func (p *proxy) admits(class string, now time.Time) bool {
	level, ordered := p.admitted[class]
	if !ordered || level >= unlimited || p.w.site.admission == "off" {
		return true
	}
	if p.w.site.admission == "ratio" {
		return p.random.Float64() < level
	}
	for name, limit := range p.admitted {
		p.tokens[name] = min(max(1, limit), p.tokens[name]+limit*now.Sub(p.tokensAt).Seconds())
	}
	p.tokensAt = now
	if p.tokens[class] < 1 {
		return false
	}
	p.tokens[class]--
	return true
}

// pick picks a line by weight among those that are not withdrawn or shunned: at random, or in turn on a wheel.
func (p *proxy) pick(lines map[string]float64, now time.Time) string {
	var uids []string
	total := 0.0
	for uid, weight := range lines {
		if !p.withdrawn[uid] && now.After(p.shunned[uid]) {
			uids = append(uids, uid)
			total += weight
		}
	}
	if len(uids) == 0 {
		return ""
	}
	sort.Strings(uids)
	if p.w.site.pick == "wheel" {
		best := uids[0]
		for _, uid := range uids {
			p.credit[uid] += lines[uid] / total
			if p.credit[uid] > p.credit[best] {
				best = uid
			}
		}
		p.credit[best]--
		return best
	}
	point := p.random.Float64() * total
	for _, uid := range uids {
		if point -= lines[uid]; point <= 0 {
			return uid
		}
	}
	return uids[len(uids)-1]
}

// arrived counts a try at a server and judges the rule on draining.
func (w *world) arrived(p *proxy, uid string, now time.Time) {
	w.mu.Lock()
	if w.served[uid] == nil {
		w.served[uid] = &load{}
	}
	w.served[uid].tries++
	w.mu.Unlock()
	p.mu.Lock()
	joinedAt, left := p.joinedAt, p.left
	p.mu.Unlock()
	deadline, drains := p.g.deadline(uid, joinedAt)
	if drains && !left {
		grace := w.site.drainGrace + slack
		w.near("drain", (now.Sub(deadline)+grace).Seconds()/grace.Seconds())
	}
	if left || !drains || now.Before(deadline) {
		return
	}
	p.mu.Lock()
	p.late = append(p.late, lateTry{now, uid, now.Sub(deadline)})
	first := len(p.late) == 1
	p.mu.Unlock()
	w.mu.Lock()
	w.breaks["drain"]++
	w.mu.Unlock()
	if first {
		w.logf("BROKEN: proxy %d of %s sends to %s, %.2f s after the limit", p.id, p.g.name, uid, now.Sub(deadline).Seconds())
	}
}

// run sends requests until the end.
func (p *proxy) run() {
	for {
		p.mu.Lock()
		wait := time.Duration(p.random.ExpFloat64() / p.rate * float64(time.Second))
		c := p.w.site.drawClass(p.random.Float64())
		p.mu.Unlock()
		select {
		case <-p.w.stop:
			return
		case <-time.After(wait):
			p.request(c)
		}
	}
}

// collect forwards what the proxies of the governor met, once an interval.
func (g *governor) collect() {
	conn, err := net.Dial("tcp", g.listen)
	if err != nil {
		g.w.logf("%s: collector cannot connect: %v", g.name, err)
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "collector locality=%s\r\n", g.zone)
	interval := g.w.site.interval
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-g.w.stop:
			return
		case <-tick.C:
		}
		if _, err := conn.Write([]byte(g.reports())); err != nil {
			g.w.logf("%s: collector's connection broke: %v", g.name, err)
			return
		}
	}
}

// spoil returns a number of a report, which may be out of range.
func (g *governor) spoil(field string, number int) string {
	if g.spoilt != nil {
		if text := g.spoilt(field); text != "" {
			return text
		}
	}
	return strconv.Itoa(number)
}

// reports returns the lines of one interval.
func (g *governor) reports() string {
	interval := float64(g.w.site.interval.Milliseconds())
	met := map[string][2]int{}
	spent := map[string]float64{}
	var text strings.Builder
	for _, p := range g.proxies {
		p.mu.Lock()
		for uid, counts := range p.met {
			sum := met[uid]
			sum[0] += counts[0]
			sum[1] += counts[1]
			met[uid] = sum
			spent[uid] += p.spent[uid]
		}
		for class, count := range p.asked {
			fmt.Fprintf(&text, "usage node=%d route=%s total=%s errors=%d interval=%s\r\n",
				p.id, class, g.spoil("total", count), p.lost[class], g.spoil("interval", int(interval)))
		}
		p.met = map[string][2]int{}
		p.asked = map[string]int{}
		p.lost = map[string]int{}
		p.spent = map[string]float64{}
		p.mu.Unlock()
	}
	for uid, counts := range met {
		fmt.Fprintf(&text, "heard locality=%s endpoint=%s total=%s errors=%d", g.zone, uid, g.spoil("total", counts[0]), counts[1])
		if good := counts[0] - counts[1]; good > 0 {
			fmt.Fprintf(&text, " rtt=%.1f", spent[uid]/float64(good))
		}
		fmt.Fprintf(&text, " interval=%s", g.spoil("interval", int(interval)))
		if g.w.site.report == "inline" {
			busy := g.w.busy(uid)
			fmt.Fprintf(&text, " metrics=busy:%.3f,rif:%.1f,lat_ms:%.1f", busy, busy*g.w.site.cores, 1000*g.w.site.meanWork())
		}
		text.WriteString("\r\n")
	}
	return text.String()
}

func (w *world) busy(uid string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.served[uid] == nil {
		return 0
	}
	return min(1, w.served[uid].rate*w.site.meanWork()/(w.site.cores*w.servers[uid].speed))
}

// count works out the rate of tries at each server, once a second, and records it.
func (w *world) count() {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
		var texts []string
		w.mu.Lock()
		for uid, l := range w.served {
			l.rate = 0.6*l.rate + 0.4*float64(l.tries)
			texts = append(texts, fmt.Sprintf("%s %d", uid, l.tries))
			l.tries = 0
		}
		w.mu.Unlock()
		sort.Strings(texts)
		w.logf("tries in this second: %s", strings.Join(texts, ", "))
	}
}

// listenOn listens on a free loopback port and serves a handler there.
func listenOn(handler http.Handler) (*gatedListener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	gated := &gatedListener{TCPListener: listener.(*net.TCPListener)}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(gated) }()
	return gated, nil
}

// addGovernor prepares a governor, with its proxies, without starting it.
func (w *world) addGovernor(zone, seed string, proxies int) (*governor, error) {
	g := &governor{w: w, index: len(w.govs), zone: zone, seed: seed, exited: make(chan error, 1), startTold: map[string]time.Time{}}
	g.name = fmt.Sprintf("n%d", g.index)
	g.relay = newRelay(w, g)
	var err error
	if g.relayListener, err = listenOn(g.relay); err != nil {
		return nil, err
	}
	g.relayAt = g.relayListener.Addr().String()
	g.access = &access{d: w.disco, g: g, written: map[string]map[string]bool{}}
	if g.access.listener, err = listenOn(g.access); err != nil {
		return nil, err
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g.listen = free.Addr().String()
	_ = free.Close()
	g.config = filepath.Join(w.temp, g.name+".json")
	for range proxies {
		id := 0
		for _, other := range w.govs {
			id += len(other.proxies)
		}
		g.addProxy(id + len(g.proxies))
	}
	w.govs = append(w.govs, g)
	return g, nil
}

func (g *governor) addProxy(id int) {
	p := &proxy{
		w: g.w, g: g, id: id, zone: g.zone, rate: g.w.site.proxyRate,
		random:   rand.New(rand.NewSource(int64(1000 + id))),
		standing: map[string]float64{}, tables: map[string]map[string]float64{},
		classTable: map[string]string{}, withdrawn: map[string]bool{},
		met: map[string][2]int{}, asked: map[string]int{}, tries: map[string]int{}, lost: map[string]int{},
		spent: map[string]float64{}, failing: map[string]int{}, shunned: map[string]time.Time{},
		credit: map[string]float64{}, admitted: map[string]float64{}, tokens: map[string]float64{},
	}
	for _, t := range g.w.disco.targets { // the servers of its zone, as listed at its start
		if t.Zone == g.zone && len(p.standing) < g.w.site.standing {
			p.standing[t.UID] = 1
		}
	}
	g.proxies = append(g.proxies, p)
}

// knew reports whether a try counts as sent with knowledge of the start of a server: the proxy's last message was sent
// after discovery had told its governor, or the governor has known for the grace.
func (g *governor) knew(uid string, lastSent, now time.Time) bool {
	g.w.mu.Lock()
	defer g.w.mu.Unlock()
	told, known := g.startTold[uid]
	return known && (lastSent.After(told) || now.Sub(told) > g.w.site.drainGrace)
}

// die ends a proxy.
func (p *proxy) die() {
	p.g.relay.leave(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
}

// restart starts a proxy again, with a standing table of the servers of its zone as they are listed now.
func (p *proxy) restart() {
	listed := p.w.disco.readyIn(p.zone)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = false
	p.standing = map[string]float64{}
	for _, uid := range listed[:min(len(listed), p.w.site.standing)] {
		p.standing[uid] = 1
	}
	p.tables = map[string]map[string]float64{}
	p.classTable = map[string]string{}
	p.withdrawn = map[string]bool{}
	p.failing = map[string]int{}
	p.shunned = map[string]time.Time{}
}

// kill ends a governor at once, and with it the streams of its proxies and what waits in its channel.
func (g *governor) kill() {
	g.w.logf("%s is killed", g.name)
	_ = g.command.Process.Kill()
	<-g.exited
	for _, p := range g.proxies {
		g.relay.leave(p)
	}
	g.relay.forget()
}

// writeConfig writes the configuration of the governor.
func (g *governor) writeConfig() error {
	known := g.knownList
	if known == "" {
		known, _, _ = g.w.disco.object(0, true)
	}
	body, err := json.Marshal(map[string]any{
		"name": g.name, "listen": g.listen, "discovery": g.access.listener.Addr().String(), "seed": g.seed,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"store":    map[string]any{"address": g.relayAt},
		"known":    json.RawMessage(known),
		"settings": json.RawMessage(g.w.site.settings(g)),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(g.config, body, 0o600)
}

// start starts the governor with the run line of the deploy file and waits until it has answered a ping.
func (g *governor) start() error {
	if err := g.writeConfig(); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(g.w.temp, g.name+".log"))
	if err != nil {
		return err
	}
	g.command = exec.Command("/bin/sh", "-c", "exec bin/cressknot node")
	g.command.Dir = g.w.root
	g.command.Stdout, g.command.Stderr = log, log
	g.command.Env = append(os.Environ(), "RELAY_NAME="+g.name, "RELAY_LISTEN="+g.listen,
		"RELAY_DISCOVERY="+g.access.listener.Addr().String(), "RELAY_CONFIG="+g.config, "TMPDIR="+g.w.temp)
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	g.w.logf("%s: started, process %d, listen %s", g.name, g.command.Process.Pid, g.listen)
	go func() { g.exited <- g.command.Wait() }()
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		if g.ping() {
			g.w.logf("%s: has answered a ping", g.name)
			return nil
		}
	}
	return fmt.Errorf("%s has not answered a ping within 30 s", g.name)
}

func (g *governor) ping() bool {
	conn, err := net.DialTimeout("tcp", g.listen, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprint(conn, "ping\r\n")
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line) == "pong"
}

// serve lets the proxies join and the clients come.
func (g *governor) serve() {
	go g.collect()
	for _, p := range g.proxies {
		g.relay.join(p)
		go p.run()
	}
	g.w.logf("%s: %d proxies of %s have joined", g.name, len(g.proxies), g.zone)
}

// lateTries returns all tries after a limit, in order of time.
func (w *world) lateTries() (all []lateTry) {
	for _, g := range w.govs {
		for _, p := range g.proxies {
			p.mu.Lock()
			all = append(all, p.late...)
			p.mu.Unlock()
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	return all
}
