package haproxy

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/ingest/counters"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// what an answer is to.
type what uint8

const (
	toPrompt what = iota
	toInfo
	toState
	toMap
	toStat
	toTable
	toChange
	toShut    // the end of another session
	toLook    // entries of governors, before anything is taken over
	toBid     // our entry, written
	toRivals  // the sessions there are
	toEntries // entries of governors, with a beat
	toBeat
	toHandOn // our entry, taken away
)

// expectation is one answer that is to come.
type expectation struct {
	what  what
	seq   uint64
	index int  // of the change in its message
	last  bool // of its message
	key   string
}

// session is one connection to a proxy's runtime socket.
type session struct {
	link   *link
	conn   *nbio.Conn
	stream uint64

	mu       sync.Mutex
	answers  haproxyapi.Answers
	expect   []expectation // oldest first
	keys     map[string]bool
	held     reconcile.Snapshot
	reading  *counters.Reading
	failures []reconcile.Failure
	up, over bool
	polling  bool
	out      []byte
	watchdog *time.Timer
	why      error

	before  *session // that began the takeover which this one completes
	looking bool     // steers nothing yet
	again   *time.Timer
	handing bool // hands the proxy on: sends nothing more
}

const (
	steeredKey = "cressknot.steered" // in the map: this proxy has had messages of a governor since its start
)

// begin asks for what the proxy holds. The session is locked.
func (s *session) begin() {
	s.out = append(s.out[:0], "prompt\nshow info\n"...)
	s.expect = append(s.expect, expectation{what: toPrompt}, expectation{what: toInfo})
	switch {
	case s.link.lease == nil:
	case s.before == nil:
		s.looking = true
		s.look()
		s.flush()
		return
	default:
		s.complete()
	}
	s.out = append(s.out, "show servers state\n"...)
	s.out = append(haproxyapi.AppendCommand(s.out, "show", "map", s.link.front.opt.Map), '\n')
	s.expect = append(s.expect, expectation{what: toState}, expectation{what: toMap})
	s.held = reconcile.Snapshot{Zone: s.link.proxy.Zone, RequestRate: s.link.proxy.RequestRate, Fresh: true,
		Admissions: make([]reconcile.Admission, len(s.link.front.opt.Classes)), VersionStamps: make([]string, len(s.link.front.opt.Classes))}
	s.flush()
}

// flush writes what was gathered; a failing write closes the connection, which is told by closed.
func (s *session) flush() {
	if len(s.out) > 0 {
		_, _ = s.conn.Write(s.out)
	}
}

// late ends a session whose reading back or poll has no answer in time.
func (s *session) late() { s.end(errors.New("no answer in time")) }

// end closes the connection; the reason is told by closed.
func (s *session) end(why error) {
	s.mu.Lock()
	if s.why == nil {
		s.why = why
	}
	s.mu.Unlock()
	_ = s.conn.Close()
}

// closed tells the governor and lets the link dial again.
func (s *session) closed(err error) {
	s.mu.Lock()
	if s.over {
		s.mu.Unlock()
		return
	}
	s.over = true
	s.watchdog.Stop()
	if s.again != nil {
		s.again.Stop()
	}
	if s.why != nil {
		err = s.why
	}
	up := s.up
	s.mu.Unlock()
	l := s.link
	l.mu.Lock()
	taken := l.current != s // by a session that completes what this one began
	if !taken {
		l.current = nil
	}
	l.mu.Unlock()
	if s.looking && taken {
		return
	}
	l.over()
	if err == nil {
		err = net.ErrClosed
	}
	switch {
	case up:
		l.front.sink(transport.Disconnected{Proxy: l.proxy.ID, Stream: s.stream, Err: err})
	case !errors.Is(err, errLost):
		l.front.sink(transport.Unreachable{Proxy: l.proxy.ID, Err: err})
	}
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

func (s *session) outstanding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.expect {
		if e.what == toChange || e.what == toHandOn {
			return true
		}
	}
	return false
}

// feed takes bytes from the proxy.
func (s *session) feed(data []byte) {
	s.mu.Lock()
	var events []transport.Event
	progress := false
	err := s.answers.Feed(data, func(text []byte) error {
		if len(s.expect) == 0 {
			return fmt.Errorf("an answer to nothing: %.60q", text)
		}
		e := s.expect[0]
		s.expect = s.expect[1:]
		progress = true
		ev, err := s.take(e, text)
		if ev != nil {
			events = append(events, ev)
		}
		return err
	})
	if err == nil && progress {
		s.watchdog.Reset(s.link.front.answerWithin)
		if len(s.expect) == 0 {
			s.watchdog.Stop()
			s.expect = nil
		}
		if s.up {
			events = append(events, transport.Progress{Proxy: s.link.proxy.ID, Stream: s.stream})
		}
	}
	s.mu.Unlock()
	for _, ev := range events {
		s.link.front.sink(ev)
	}
	if err != nil {
		s.end(err)
	}
}

// take makes of one answer what it is to.
func (s *session) take(e expectation, text []byte) (transport.Event, error) {
	opt, id := &s.link.front.opt, s.link.proxy.ID
	switch e.what {
	case toPrompt:
		return nil, nil
	case toInfo:
		node := []byte(nil)
		err := haproxyapi.ReadInfo(text, func(name, value []byte) error {
			if string(name) == "node" || string(name) == "Node" {
				node = append(node, value...)
			}
			return nil
		})
		if err == nil && len(node) > 0 && string(node) != s.link.proxy.Name {
			err = fmt.Errorf("the proxy there calls itself %.40q", node)
		}
		return nil, wrap("show info", err)
	case toState:
		return nil, wrap("show servers state", haproxyapi.ReadServersState(text, func(r *haproxyapi.ServerState) error {
			class, ours := s.link.front.backends[string(r.Backend)]
			if !ours {
				return nil
			}
			held := net.JoinHostPort(string(r.Addr), strconv.FormatUint(r.Port, 10))
			server := opt.Names.Learn(string(r.Server), held)
			_, addr := opt.Names.Of(server)
			cell := reconcile.EntryState{Present: true, WrongAddress: addr != held, Weight: int16(min(r.Weight, haproxyapi.MaxWeight)), State: reconcile.StateReady}
			if r.Admin&haproxyapi.AdminMaint != 0 {
				cell.State = reconcile.StateMaintenance
			} else if r.Admin&haproxyapi.AdminDrain != 0 {
				cell.State = reconcile.StateDrain
			}
			s.held.Entries = append(s.held.Entries, reconcile.SnapshotEntry{Class: class, Server: server, State: cell})
			return nil
		}))
	case toMap:
		if string(text) == haproxyapi.NoMap {
			return nil, fmt.Errorf("the proxy has no map %s", opt.Map)
		}
		err := haproxyapi.ReadMap(text, func(key, value []byte) error { s.readLevel(string(key), value); return nil })
		if err != nil {
			return nil, wrap("show map", err)
		}
		if err := s.took(text); err != nil {
			return nil, err
		}
		s.up = true
		s.link.stood.Store(true)
		return transport.Connected{Proxy: id, Stream: s.stream, Snapshot: s.held}, nil
	case toStat:
		r, err := counters.ParseCounters(text, s.link.front.backends, len(opt.Classes), opt.Names.Server)
		if s.reading = r; opt.Table == "" && err == nil {
			return s.polled(), nil
		}
		return nil, wrap("show stat", err)
	case toTable:
		if err := s.reading.AddTracked(text, opt.Names.Server); err != nil {
			return nil, wrap("show table", err)
		}
		return s.polled(), nil
	case toShut, toLook, toBid, toRivals, toEntries, toBeat, toHandOn:
		return s.takeLease(e, text)
	}
	if f, ok := fault(text); !ok {
		s.failures = append(s.failures, reconcile.Failure{Index: e.index, Kind: f, Text: string(bytes.TrimSpace(text))})
		if string(text) == haproxyapi.NoKey {
			delete(s.keys, e.key)
		}
	} else if e.key != "" {
		s.keys[e.key] = true
	}
	if !e.last {
		return nil, nil
	}
	failures := s.failures
	s.failures = nil
	return transport.Answered{Proxy: id, Stream: s.stream, Sequence: e.seq, Failures: failures}, nil
}

func wrap(command string, err error) error {
	if err != nil {
		return fmt.Errorf("answer to %q: %w", command, err)
	}
	return nil
}

// fault tells whether a change was done, and else what kept it.
func fault(text []byte) (reconcile.FailureKind, bool) {
	if bytes.HasPrefix(text, []byte(haproxyapi.AddrChanged)) || bytes.HasPrefix(text, []byte(haproxyapi.AddrUnchanged)) {
		return 0, true
	}
	switch string(text) {
	case haproxyapi.Success, haproxyapi.Registered, haproxyapi.Deleted:
		return 0, true
	case haproxyapi.NoServer:
		return reconcile.FailureEntryMissing, false
	case haproxyapi.ServerExists:
		return reconcile.FailureEntryExists, false
	case haproxyapi.NotInMaintenance, haproxyapi.HasConnections:
		return reconcile.FailureEntryInUse, false
	}
	return reconcile.FailureOther, false
}

// readLevel takes one entry of the map of levels: "class.share", "class.rate" and "class.retry".
func (s *session) readLevel(key string, value []byte) {
	s.keys[key] = true
	if key == steeredKey {
		s.held.Fresh = false
		return
	}
	if name, is := strings.CutSuffix(key, transport.VersionKey); is {
		for c, class := range s.link.front.opt.Classes {
			if class.Name == name {
				s.held.VersionStamps[c] = string(value)
			}
		}
		return
	}
	n, err := strconv.ParseInt(string(value), 10, 32)
	for c, class := range s.link.front.opt.Classes {
		l := &s.held.Admissions[c]
		switch {
		case err != nil:
		case key == s.amountKey(class.Name):
			l.Limit = int32(n)
			if n == int64(s.amountAll()) {
				l.Limit = -1
			}
		case key == class.Name+transport.RetryKey:
			l.Retry = fleet.RetryMode(n)
		}
		l.Known = s.keys[s.amountKey(class.Name)] && s.keys[class.Name+transport.RetryKey]
	}
}

func (s *session) amountKey(class string) string {
	return transport.AdmissionKey(s.link.front.opt.Admission, class)
}

func (s *session) amountAll() int32 { return transport.UnlimitedAdmission(s.link.front.opt.Admission) }

func (s *session) polled() transport.Event {
	r := s.reading
	s.reading, s.polling = nil, false
	return transport.CountersPolled{Proxy: s.link.proxy.ID, Stream: s.stream, Reading: r}
}

// poll asks for the counters; an earlier poll without answer is not repeated.
func (s *session) poll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.over || s.polling || s.handing {
		return
	}
	s.polling = true
	s.arm()
	s.out = s.beat(s.out[:0])
	s.out = append(s.out, "show stat\n"...)
	s.expect = append(s.expect, expectation{what: toStat})
	if t := s.link.front.opt.Table; t != "" {
		s.out = append(haproxyapi.AppendCommand(s.out, "show", "table", t), '\n')
		s.expect = append(s.expect, expectation{what: toTable})
	}
	s.flush()
}

func (s *session) arm() {
	if len(s.expect) == 0 {
		s.watchdog.Reset(s.link.front.answerWithin)
	}
}

// send writes a message as commands, several in a line as far as the protocol's line goes.
func (s *session) send(m reconcile.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.over || s.handing {
		return
	}
	s.arm()
	e := encoder{s: s, seq: m.Sequence, out: s.out[:0]}
	for i := range m.Changes {
		e.index = i
		e.change(&m.Changes[i])
	}
	if !s.keys[steeredKey] { // the last of the first message: from here on its tables are not the standing ones
		e.index = -1
		e.pair(steeredKey, "1")
	}
	if len(s.expect) == 0 || e.n == 0 {
		return // nothing to say; steer sends no such message
	}
	s.expect[len(s.expect)-1].last = true
	s.out = append(e.out, '\n')
	s.flush()
}
