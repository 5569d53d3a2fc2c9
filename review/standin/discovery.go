package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// target is a server in the list of discovery.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	BootMs   float64 `json:"boot_ms"`

	rev int
}

// discovery is the one list of servers that all governors share.
type discovery struct {
	w        *world
	mu       sync.Mutex
	rev      int
	targets  []*target
	changed  chan struct{} // closed and replaced at each change
	writtenA map[string]time.Time
}

func newDiscovery(w *world) *discovery {
	return &discovery{w: w, rev: 41, changed: make(chan struct{}), writtenA: map[string]time.Time{}}
}

func (d *discovery) knows(uid string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		if t.UID == uid {
			return true
		}
	}
	return false
}

// add lists a server. It is a change if the list has been given to anyone.
func (d *discovery) add(t *target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.BootMs > 0 {
		d.rev++
		t.rev = d.rev
		d.w.logf("discovery: rev %d lists %s as in_service, started just now", d.rev, t.UID)
		close(d.changed)
		d.changed = make(chan struct{})
	}
	d.targets = append(d.targets, t)
}

func (d *discovery) set(uid, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, t := range d.targets {
		if t.UID == uid {
			t.State = state
			t.rev = d.rev
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.w.logf("discovery: rev %d lists %s as %s", d.rev, uid, state)
}

// started lists a server as in service since a start.
func (d *discovery) started(uid string, at time.Time) {
	d.mu.Lock()
	for _, t := range d.targets {
		if t.UID == uid {
			t.BootMs = float64(at.UnixMilli())
		}
	}
	d.mu.Unlock()
	d.set(uid, "in_service")
}

// readyIn returns the servers of a zone that are listed as in service.
func (d *discovery) readyIn(zone string) (uids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		if t.Zone == zone && t.State == "in_service" {
			uids = append(uids, t.UID)
		}
	}
	return uids
}

// object returns the list as JSON: the whole list, or what has changed after a revision ("" if nothing has).
func (d *discovery) object(after int, whole bool) (text string, rev int, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	shown := []*target{}
	for _, t := range d.targets {
		if whole && t.State != "terminated" || !whole && t.rev > after {
			shown = append(shown, t)
		}
	}
	if !whole && len(shown) == 0 {
		return "", d.rev, d.changed
	}
	body, _ := json.Marshal(struct {
		Rev     int       `json:"rev"`
		All     bool      `json:"all"`
		Targets []*target `json:"targets"`
	}{d.rev, whole, shown})
	return string(body), d.rev, d.changed
}

// access is the address of discovery that is set aside for one governor, with the network between the two.
type access struct {
	d        *discovery
	g        *governor
	listener *gatedListener
	cutUntil chan struct{} // not nil while the network is cut: closed when it is whole again
	mu       sync.Mutex
	askedAt  time.Time                  // when the governor last had a watch or asked
	watching int                        // number of open watches
	written  map[string]map[string]bool // by server, then by state: discovery has written it to the governor
}

func (a *access) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/v1/endpoints" {
		http.NotFound(w, request)
		return
	}
	a.d.w.logf("%s: asks discovery: %s", a.g.name, request.URL.RequestURI())
	flusher := w.(http.Flusher)
	w.Header().Set("Content-Type", "application/json")
	if request.URL.Query().Get("watch") != "1" {
		text, _, _ := a.d.object(0, true)
		_, _ = fmt.Fprintln(w, text)
		return
	}
	after, _ := strconv.Atoi(request.URL.Query().Get("after"))
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for {
		text, rev, changed := a.d.object(after, false)
		if text != "" {
			a.d.w.noteWritten(a.g)
			a.noteStarts(after)
			a.write(w, text+"\n")
			a.d.w.logf("%s: discovery has written: %s", a.g.name, shorten(text))
			after = rev
		}
		select {
		case <-request.Context().Done():
			a.d.w.logf("%s: watch ended", a.g.name)
			return
		case <-changed:
		case <-beat.C:
			a.write(w, "\n")
		}
	}
}

// noteStarts records the starts that are written to the governor: those changed after a revision.
func (a *access) noteStarts(after int) {
	a.d.mu.Lock()
	var uids []string
	for _, t := range a.d.targets {
		if t.rev > after && t.BootMs > 0 {
			uids = append(uids, t.UID)
		}
	}
	a.d.mu.Unlock()
	a.d.w.mu.Lock()
	defer a.d.w.mu.Unlock()
	for _, uid := range uids {
		if _, known := a.g.startTold[uid]; !known {
			a.g.startTold[uid] = time.Now()
		}
	}
}

// write writes to the governor. While the network is cut, the bytes wait in it.
func (a *access) write(w http.ResponseWriter, text string) {
	a.mu.Lock()
	cut := a.cutUntil
	a.mu.Unlock()
	if cut != nil {
		<-cut
	}
	_, _ = fmt.Fprint(w, text)
	w.(http.Flusher).Flush()
}

// cut makes the network to this governor silent: open connections stay open, new ones do not come up.
func (a *access) cut() error {
	a.mu.Lock()
	a.cutUntil = make(chan struct{})
	a.mu.Unlock()
	a.d.w.logf("network between %s and discovery is cut", a.g.name)
	return a.listener.block()
}

func (a *access) heal() {
	a.listener.unblock()
	a.mu.Lock()
	close(a.cutUntil)
	a.cutUntil = nil
	a.mu.Unlock()
	a.d.w.logf("network between %s and discovery is whole again", a.g.name)
}

// gatedListener is a listener that can stop taking connections, so that new ones do not come up: its queue is kept full
// by connections of its own, and the system then ignores further ones.
type gatedListener struct {
	*net.TCPListener
	mu      sync.Mutex
	gate    chan struct{} // not nil while blocked
	fillers []net.Conn
	conns   []net.Conn
}

// resetAll resets all connections.
func (l *gatedListener) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	l.conns = nil
}

func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.TCPListener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		gate := l.gate
		l.mu.Unlock()
		if gate == nil {
			l.mu.Lock()
			l.conns = append(l.conns, conn)
			l.mu.Unlock()
			return conn, nil
		}
		<-gate
		_ = conn.Close()
	}
}

const fullQueue = 4096

func (l *gatedListener) setQueue(length int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), length) }); err != nil {
		return err
	}
	return listenErr
}

func (l *gatedListener) block() error {
	l.mu.Lock()
	l.gate = make(chan struct{})
	l.mu.Unlock()
	if err := l.setQueue(0); err != nil {
		return err
	}
	for range 8 {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), 30*time.Millisecond)
		if err != nil {
			return nil
		}
		l.fillers = append(l.fillers, conn)
	}
	return fmt.Errorf("the queue of %s does not fill", l.Addr())
}

func (l *gatedListener) unblock() {
	for _, conn := range l.fillers {
		_ = conn.Close()
	}
	l.fillers = nil
	_ = l.setQueue(fullQueue)
	l.mu.Lock()
	close(l.gate)
	l.gate = nil
	l.mu.Unlock()
}
