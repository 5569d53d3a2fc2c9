package main

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// message is what one reply sends to one proxy.
type message struct {
	arrives time.Time
	apply   []func(p *proxy)
	marks   []string
	sent    time.Time
	lines   int
}

// relay keeps the tables of one governor and carries its orders to the proxies.
type relay struct {
	w  *world
	g  *governor
	mu sync.Mutex

	tables    map[string]map[string]float64 // by table, then by server
	withdrawn map[string]bool
	joined    map[int]*proxy
	bound     map[int]map[string]string // by proxy, then by class
	streams   map[chan string]bool
	chanFree  time.Time // when the channel has sent all that waits
	started   bool

	// fault draws what happens to a call: "" for nothing, or one of the call faults.
	fault func() string
	// silent: nothing passes between the governor and the relay, on open connections.
	silent bool
}

// Faults of a call, after the names of the protocol page: carried out or not, and what the governor sees.
const (
	callLost      = "not carried out, connection reset"
	callReset     = "carried out, connection reset"
	callGarbled   = "carried out, answer unreadable"
	callSilent    = "carried out, no answer"
	callForgotten = "not carried out, no answer"
)

func newRelay(w *world, g *governor) *relay {
	return &relay{
		w: w, g: g,
		tables: map[string]map[string]float64{}, withdrawn: map[string]bool{},
		joined: map[int]*proxy{}, bound: map[int]map[string]string{}, streams: map[chan string]bool{},
	}
}

func (r *relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	switch {
	case request.Method == http.MethodGet && request.URL.Path == "/api/stream":
		r.serveStream(w, request)
	case request.Method == http.MethodPost && request.URL.Path == "/api/":
		r.serveCall(w, request)
	default:
		http.NotFound(w, request)
	}
}

// serveStream shows all joined proxies and then what changes, with a sign of life each second.
func (r *relay) serveStream(w http.ResponseWriter, request *http.Request) {
	events := make(chan string, 4096)
	r.mu.Lock()
	var text strings.Builder
	for _, id := range sortedIDs(r.joined) {
		text.WriteString(joinedEvent(r.joined[id]))
	}
	r.streams[events] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.streams, events)
		r.mu.Unlock()
	}()
	r.w.logf("%s: event stream opened", r.g.name)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	_, _ = fmt.Fprint(w, text.String()+":\n")
	flusher.Flush()
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for {
		select {
		case <-request.Context().Done():
			return
		case <-beat.C:
			if r.isSilent() {
				continue
			}
			_, _ = fmt.Fprint(w, ":\n")
		case event := <-events:
			if event == resetStream {
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprint(w, event)
		}
		flusher.Flush()
	}
}

func (r *relay) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent
}

func (r *relay) setSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
}

// resetStream, sent to a stream, resets its connection.
const resetStream = "reset"

func (r *relay) resetStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.logf("%s: event stream is reset", r.g.name)
	r.publish(resetStream)
}

func joinedEvent(p *proxy) string {
	cold := 0
	if len(p.classTable) == 0 {
		cold = 1
	}
	return fmt.Sprintf("event: joined\ndata: node=%d&locality=%s&w=%.1f&cold=%d\n\n", p.id, p.zone, p.rate, cold)
}

// publish sends an event to all open streams. The caller holds the lock.
func (r *relay) publish(event string) {
	for stream := range r.streams {
		select {
		case stream <- event:
		default:
		}
	}
}

func (r *relay) join(p *proxy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started = true
	r.joined[p.id] = p
	r.bound[p.id] = map[string]string{}
	p.mu.Lock()
	p.left = false
	p.joinedAt = time.Now()
	p.bareSince = map[string]time.Time{}
	p.mu.Unlock()
	r.publish(joinedEvent(p))
}

// forget drops the tables, withdrawals and the channel, as a governor has died.
func (r *relay) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tables = map[string]map[string]float64{}
	r.withdrawn = map[string]bool{}
	r.chanFree = time.Time{}
}

// leave ends the stream of a proxy, which keeps what it holds. Messages on their way are lost.
func (r *relay) leave(p *proxy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.joined, p.id)
	delete(r.bound, p.id)
	p.mu.Lock()
	p.update(time.Now())
	p.waiting = nil
	p.sentAt = nil
	p.left = true
	p.mu.Unlock()
	r.publish(fmt.Sprintf("event: left\ndata: node=%d\n\n", p.id))
}

// serveCall carries out the orders of one call, up to the first that is unusable.
func (r *relay) serveCall(w http.ResponseWriter, request *http.Request) {
	if err := request.ParseForm(); err != nil || request.Form.Get("Action") != "CommitChanges" {
		_, _ = fmt.Fprint(w, "<Response><error>malformed</error></Response>")
		return
	}
	ops := request.Form.Get("ops")
	r.mu.Lock()
	if !r.started {
		r.mu.Unlock()
		_, _ = fmt.Fprint(w, "<Response><error>limit</error></Response>")
		return
	}
	fault := ""
	if r.silent {
		fault = callForgotten
	} else if r.fault != nil {
		fault = r.fault()
	}
	accepted := 0
	if fault != callLost && fault != callForgotten {
		accepted = r.carryOut(ops)
	}
	r.mu.Unlock()
	if fault != "" {
		r.w.logf("%s: call %s: %s", r.g.name, fault, shorten(ops))
	}
	switch fault {
	case callLost, callReset:
		panic(http.ErrAbortHandler)
	case callGarbled:
		_, _ = fmt.Fprint(w, "<?xml version=\"1.0\"?>\n<Response><entries><item><accepted>x</accepted></item>")
		return
	case callSilent, callForgotten:
		<-request.Context().Done()
		return
	}
	r.w.logf("%s: call, %d orders taken: %s", r.g.name, accepted, shorten(ops))
	_, _ = fmt.Fprintf(w, "<?xml version=\"1.0\"?>\n<Response><entries><item><accepted>%d</accepted></item></entries></Response>",
		accepted)
}

func (r *relay) carryOut(ops string) (accepted int) {
	batch := map[int]*message{}
	concern := func(p *proxy, lines int, apply func(p *proxy)) {
		m := batch[p.id]
		if m == nil {
			m = &message{sent: time.Now(), lines: r.w.site.head}
			batch[p.id] = m
		}
		m.lines += lines
		m.apply = append(m.apply, apply)
	}
	var marks []string
	for _, op := range strings.Split(ops, ";") {
		f := strings.Split(op, ",")
		if f[0] == "mark" && len(f) == 3 {
			marks = append(marks, f[1])
			if f[2] == "1" {
				for _, p := range r.joined {
					concern(p, 0, func(*proxy) {})
				}
			}
		} else if !r.carryOutOne(f, concern) {
			break
		}
		accepted++
	}
	r.send(batch, marks)
	return accepted
}

// carryOutOne carries out one order. It returns false if the order is unusable.
func (r *relay) carryOutOne(f []string, concern func(*proxy, int, func(*proxy))) bool {
	switch {
	case f[0] == "share" && len(f) == 4:
		weight, err := strconv.ParseFloat(f[3], 64)
		if err != nil || weight < 0 || !r.w.disco.knows(f[2]) {
			return false
		}
		table, uid := f[1], f[2]
		setLine(r.tables, table, uid, weight)
		for id, p := range r.joined {
			if usesTable(r.bound[id], table) {
				concern(p, 1, func(p *proxy) { setLine(p.tables, table, uid, weight) })
			}
		}
	case f[0] == "clear" && len(f) == 2:
		table := f[1]
		delete(r.tables, table)
		for id, p := range r.joined {
			if usesTable(r.bound[id], table) {
				concern(p, 1, func(p *proxy) { delete(p.tables, table) })
			}
		}
	case f[0] == "bind" && len(f) == 4:
		id, err := strconv.Atoi(f[1])
		p := r.joined[id]
		if err != nil || p == nil {
			return false
		}
		r.bind(p, f[2], f[3], concern)
	case (f[0] == "withdraw" || f[0] == "restore") && len(f) == 2:
		uid, out := f[1], f[0] == "withdraw"
		if !r.w.disco.knows(uid) {
			return false
		}
		r.withdrawn[uid] = out
		for _, p := range r.joined {
			concern(p, 1, func(p *proxy) { p.withdrawn[uid] = out })
		}
	case f[0] == "admit" && len(f) == 5:
		level, err := strconv.ParseFloat(f[3], 64)
		if err != nil || level < 0 {
			return false
		}
		names := strings.Split(f[2], "+")
		if f[2] == "*" {
			names = r.w.site.classNames()
		}
		for _, p := range r.joined { // all orders of the program are for all tables
			concern(p, 1, func(p *proxy) {
				for _, name := range names {
					p.admitted[name] = level
				}
			})
		}
	default:
		return false
	}
	return true
}

// bind sends a whole table. A proxy that is bound follows only the withdrawals of this governor.
func (r *relay) bind(p *proxy, table, classes string, concern func(*proxy, int, func(*proxy))) {
	names := strings.Split(classes, "+")
	if classes == "*" {
		names = r.w.site.classNames()
	}
	lines := map[string]float64{}
	for uid, weight := range r.tables[table] {
		lines[uid] = weight
	}
	out := map[string]bool{}
	for uid, withdrawn := range r.withdrawn {
		out[uid] = withdrawn
	}
	for _, name := range names {
		r.bound[p.id][name] = table
	}
	concern(p, 1+len(lines), func(p *proxy) {
		p.tables[table] = lines
		p.withdrawn = out
		for _, name := range names {
			p.classTable[name] = table
		}
	})
}

// send puts the messages into the channel, one after the other, and on their way.
func (r *relay) send(batch map[int]*message, marks []string) {
	for _, id := range sortedIDs(batch) {
		m := batch[id]
		m.lines += len(marks)
		m.marks = marks
		if now := time.Now(); r.chanFree.Before(now) {
			r.chanFree = now
		}
		r.chanFree = r.chanFree.Add(time.Duration(float64(m.lines) / r.w.site.linesPerS * float64(time.Second)))
		m.arrives = r.chanFree.Add(r.w.site.travel)
		p := r.joined[id]
		waiting := r.chanFree.Sub(time.Now()).Seconds() * r.w.site.linesPerS
		r.w.near("backlog", waiting/r.w.site.backlog)
		if waiting > r.w.site.backlog {
			r.w.broken("backlog", "%.0f lines wait in the channel of %s", waiting, r.g.name)
		}
		p.receive(m)
		time.AfterFunc(time.Until(m.arrives), func() { r.applied(p, m) })
	}
}

func (r *relay) applied(p *proxy, m *message) {
	p.tryNow()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, mark := range m.marks {
		r.publish(fmt.Sprintf("event: applied\ndata: node=%d&nonce=%s&latency=%.1f\n\n",
			p.id, mark, float64(time.Since(m.sent).Microseconds())/1000))
	}
}

func setLine(tables map[string]map[string]float64, table, uid string, weight float64) {
	if tables[table] == nil {
		tables[table] = map[string]float64{}
	}
	if weight == 0 {
		delete(tables[table], uid)
		return
	}
	tables[table][uid] = weight
}

func usesTable(bound map[string]string, table string) bool {
	for _, used := range bound {
		if used == table {
			return true
		}
	}
	return false
}

func sortedIDs[T any](m map[int]T) []int {
	var ids []int
	for id := range m {
		ids = append(ids, id)
	}
	sort.Ints(ids)
	return ids
}

func shorten(text string) string {
	const limit = 400
	if len(text) > limit {
		return text[:limit] + fmt.Sprintf("... (%d bytes)", len(text))
	}
	return text
}
