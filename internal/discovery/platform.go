package discovery

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/simwire"
)

// Bounds of the talk with the platform's discovery.
const (
	platformDial   = time.Second             // on one network; a machine that is cut off never answers
	platformHead   = 3 * time.Second         // it handles calls one after another, and turns away what waits some seconds
	platformSilent = 3500 * time.Millisecond // an empty line is due every 2 s; what it has to tell counts as told after 6 s
	platformWhole  = 6 * time.Second         // for one line: what takes longer counts as told before it is read
	platformLine   = 8 << 20                 // bytes of one object: some 50,000 servers
	platformNames  = 512                     // bytes of a name or an address: DNS has 253, and some put a path before it
)

// PlatformSource is the platform's discovery: a whole list for each Fetch, and a watch that lasts until its connection ends. Each
// Watch(true) and each Fetch is answered by exactly one update at first, be it a failure; changes follow in order.
type PlatformSource struct {
	Addr     string   // host:port
	Revision uint64   // of the list held at the start
	Zones    []string // those that an entry may name
	Kinds    []string
	OnError  func(error) // hears of what failed without an update, such as a move; may be nil

	whole   time.Duration // for one line
	sink    func(Update)
	client  http.Client
	kick    chan struct{}
	told    chan said
	mu      sync.Mutex
	asked   bool // to watch, since the last look
	stopped bool // to watch no more
	fetches int
	addr    string
}

// said is what one connection told.
type said struct {
	from *platformWatch // nil: a fetch
	rev  uint64         // of a fetch: what was known when it was asked
	doc  *EndpointList  // nil and no error: a sign of life
	err  error
}

type platformWatch struct {
	cancel context.CancelFunc
	waited bool // its first answer is still owed to the module
}

// Start begins to talk once it is asked.
func (p *PlatformSource) Start(ctx context.Context, sink func(Update)) error {
	p.sink, p.kick, p.told, p.addr = sink, make(chan struct{}, 1), make(chan said), p.Addr
	p.whole = cmp.Or(p.whole, platformWhole)
	dialer := net.Dialer{Timeout: platformDial}
	p.client.Transport = &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true,
		DisableCompression: true, ResponseHeaderTimeout: platformHead, MaxResponseHeaderBytes: 16 << 10}
	go p.run(ctx)
	return nil
}

// Watch asks for changes from now on, or for no more.
func (p *PlatformSource) Watch(on bool) { p.want(func() { p.asked, p.stopped = on, !on }) }

// Fetch asks for the whole list once.
func (p *PlatformSource) Fetch() { p.want(func() { p.fetches = min(p.fetches+1, 4) }) }

// SetAddress goes to another address; a watch goes on at the old one until the new one answers.
func (p *PlatformSource) SetAddress(addr string) { p.want(func() { p.addr = addr }) }

func (p *PlatformSource) want(set func()) {
	p.mu.Lock()
	set()
	p.mu.Unlock()
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// run owns the watches.
func (p *PlatformSource) run(ctx context.Context) {
	var current, next *platformWatch
	addr := p.Addr
	end := func(w *platformWatch) *platformWatch {
		if w != nil {
			w.cancel()
		}
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.kick:
			p.mu.Lock()
			asked, stopped, fetches := p.asked, p.stopped, p.fetches
			moved := p.addr != addr
			addr = p.addr
			p.asked, p.stopped, p.fetches = false, false, 0
			p.mu.Unlock()
			switch {
			case stopped:
				current, next = end(current), end(next)
			case asked:
				end(current)
				next = end(next)
				current = p.open(ctx, addr, true)
			case moved && current != nil:
				end(next)
				next = p.open(ctx, addr, false)
			}
			for ; fetches > 0; fetches-- {
				go p.fetch(ctx, addr, p.Revision)
			}
		case m := <-p.told:
			switch {
			case m.from == nil:
				p.take(m, false)
			case m.from == next && m.err != nil:
				next = end(next)
				p.notice(fmt.Errorf("at the new address: %w", m.err))
				if current == nil { // the old one went in the meantime
					p.sink(Update{Scope: fleet.ListFailed, Err: m.err})
				}
			case m.from == next:
				end(current)
				m.from.waited = current != nil && current.waited
				current, next = next, nil
				p.take(m, true)
			case m.from == current && m.err != nil:
				current = end(current)
				if next == nil {
					p.sink(Update{Scope: fleet.ListFailed, Err: m.err})
				} else {
					next.waited = true
				}
			case m.from == current:
				p.take(m, false)
			}
		}
	}
}

func (p *PlatformSource) notice(err error) {
	if p.OnError != nil {
		p.OnError(err)
	}
}

// take tells what came. At a change of addresses what is known already is told by both: it counts once.
func (p *PlatformSource) take(m said, moved bool) {
	waited := m.from == nil || m.from.waited
	if m.from != nil {
		m.from.waited = false
	} else if m.doc != nil && m.doc.Revision < p.Revision && m.doc.Revision >= m.rev { // a watch told newer things while it was on its way
		m.doc = nil
	}
	switch {
	case m.err != nil:
		p.sink(Update{Scope: fleet.ListFailed, Err: m.err})
	case m.doc != nil && !(m.doc.Revision <= p.Revision && m.doc.Delta) && !(moved && m.doc.Revision < p.Revision):
		p.Revision = m.doc.Revision
		scope := fleet.ListFull
		if m.doc.Delta {
			scope = fleet.ListDelta
		}
		p.sink(Update{Scope: scope, List: *m.doc})
	case waited: // nothing new, which is an answer too
		p.sink(Update{Scope: fleet.ListDelta, List: EndpointList{Revision: p.Revision, Delta: true}})
	default:
		p.sink(Update{Unchanged: true})
	}
}

func (p *PlatformSource) open(ctx context.Context, addr string, waited bool) *platformWatch {
	ctx, cancel := context.WithCancel(ctx)
	w := &platformWatch{cancel: cancel, waited: waited}
	url := fmt.Sprintf("http://%s/v1/endpoints?watch=1&after=%d", addr, p.Revision)
	go func() {
		err := p.follow(ctx, url, func(doc *EndpointList) { p.say(ctx, said{from: w, doc: doc}) })
		p.say(ctx, said{from: w, err: fmt.Errorf("list: watch at %s: %w", addr, err)})
	}()
	return w
}

func (p *PlatformSource) say(ctx context.Context, m said) {
	select {
	case p.told <- m:
	case <-ctx.Done():
	}
}

func (p *PlatformSource) fetch(ctx context.Context, addr string, rev uint64) {
	within, cancel := context.WithTimeout(ctx, platformHead+platformSilent)
	defer cancel()
	var doc *EndpointList
	body, err := p.get(within, "http://"+addr+"/v1/endpoints")
	if err == nil {
		var text []byte
		text, err = io.ReadAll(io.LimitReader(body, platformLine+1))
		body.Close()
		if err == nil && len(text) > platformLine {
			err = fmt.Errorf("an answer of over %d bytes", platformLine)
		}
		if err == nil {
			doc, err = p.Decode(text)
		}
	}
	if err != nil {
		err = fmt.Errorf("list: %s: %w", addr, err)
	}
	p.say(ctx, said{doc: doc, err: err, rev: rev})
}

func (p *PlatformSource) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := p.client.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, errors.New(res.Status)
	}
	return res.Body, nil
}

// follow reads a watch until it ends, falls silent or can't be read.
func (p *PlatformSource) follow(ctx context.Context, url string, tell func(*EndpointList)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	body, err := p.get(ctx, url)
	if err != nil {
		return err
	}
	defer body.Close()
	watchdog := time.AfterFunc(platformSilent, func() { cancel(fmt.Errorf("silent for %v", platformSilent)) })
	defer watchdog.Stop()
	whole := time.AfterFunc(p.whole, func() { cancel(fmt.Errorf("no line ended within %v", p.whole)) })
	defer whole.Stop()
	lines := bufio.NewScanner(readerFunc(func(to []byte) (int, error) {
		n, err := body.Read(to)
		watchdog.Reset(platformSilent)
		return n, err
	}))
	lines.Buffer(make([]byte, 0, 4<<10), platformLine)
	lines.Split(wholeLines)
	for lines.Scan() {
		whole.Reset(p.whole)
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			tell(nil)
			continue
		}
		doc, err := p.Decode(text)
		if err != nil {
			return err
		}
		tell(doc)
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// wholeLines gives lines that ended: what a break cut short is no object.
func wholeLines(data []byte, atEOF bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(to []byte) (int, error) { return f(to) }

var platformStates = map[string]string{"in_service": "ready", "terminating": "draining", "terminated": "gone"}

// Decode reads one object of discovery. Errors name the byte or the entry.
func (p *PlatformSource) Decode(text []byte) (*EndpointList, error) {
	var o struct {
		Rev     *uint64 `json:"rev"`
		All     *bool   `json:"all"`
		Targets []struct {
			UID      string  `json:"uid"`
			Endpoint string  `json:"endpoint"`
			Az       string  `json:"az"`
			Model    string  `json:"model"`
			PodGroup uint16  `json:"pod_group"`
			State    string  `json:"state"`
			Hint     float64 `json:"capacity_hint"`
			BootMs   float64 `json:"boot_ms"`
		} `json:"targets"`
	}
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, simwire.JSONFault(err)
	}
	switch {
	case o.Rev == nil:
		return nil, errors.New("key rev is missing")
	case o.All == nil:
		return nil, errors.New("key all is missing")
	case len(o.Targets) > serversMost:
		return nil, fmt.Errorf("key targets: %d servers, %d are the most", len(o.Targets), serversMost)
	}
	doc := &EndpointList{Revision: *o.Rev, Delta: !*o.All}
	seen := make(map[string]bool, len(o.Targets))
	for i, t := range o.Targets {
		state, known := platformStates[t.State]
		what := ""
		switch {
		case t.UID == "" || len(t.UID) > platformNames || len(t.Endpoint) > platformNames:
			what = "uid or endpoint is empty or too long"
		case seen[t.UID]:
			what = fmt.Sprintf("uid %q stands twice", t.UID)
		case !known:
			what = fmt.Sprintf("state %.40q is unknown", t.State)
		case state != "gone" && !slices.Contains(p.Zones, t.Az):
			what = fmt.Sprintf("az %.40q is unknown", t.Az)
		case state != "gone" && !slices.Contains(p.Kinds, t.Model):
			what = fmt.Sprintf("model %.40q is unknown", t.Model)
		case !(t.BootMs >= 0 && t.BootMs < math.MaxInt64/2e6):
			what = fmt.Sprintf("boot_ms %g is out of range", t.BootMs)
		case !(t.Hint >= 0):
			what = fmt.Sprintf("capacity_hint %g is out of range", t.Hint)
		}
		if what != "" {
			return nil, fmt.Errorf("targets[%d]: %s", i, what)
		}
		seen[t.UID] = true
		s := Endpoint{Name: t.UID, Addr: t.Endpoint, Zone: t.Az, Kind: t.Model, Cell: t.PodGroup, State: state, Weight: t.Hint}
		if t.BootMs > 0 {
			s.Started = time.Unix(0, int64(math.Round(t.BootMs*1e6)))
		}
		doc.Endpoints = append(doc.Endpoints, s)
	}
	return doc, nil
}
