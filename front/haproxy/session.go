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

	"cressknot/fleet"
	"cressknot/front"
	"cressknot/reports"
	"cressknot/runtimeapi"
	"cressknot/steer"
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
	answers  runtimeapi.Answers
	expect   []expectation // oldest first
	keys     map[string]bool
	held     steer.Snapshot
	reading  *reports.Reading
	failures []steer.Failure
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
	s.out = append(runtimeapi.AppendCommand(s.out, "show", "map", s.link.front.opt.Map), '\n')
	s.expect = append(s.expect, expectation{what: toState}, expectation{what: toMap})
	s.held = steer.Snapshot{Zone: s.link.proxy.Zone, Weight: s.link.proxy.Visits, Fresh: true,
		Levels: make([]steer.Level, len(s.link.front.opt.Classes)), Stamps: make([]string, len(s.link.front.opt.Classes))}
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
	s.conn.Close()
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
		l.front.sink(front.Down{Proxy: l.proxy.ID, Stream: s.stream, Why: err})
	case !errors.Is(err, errLost):
		l.front.sink(front.Unreached{Proxy: l.proxy.ID, Why: err})
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
	var events []front.Event
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
			events = append(events, front.Progress{Proxy: s.link.proxy.ID, Stream: s.stream})
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
func (s *session) take(e expectation, text []byte) (front.Event, error) {
	opt, id := &s.link.front.opt, s.link.proxy.ID
	switch e.what {
	case toPrompt:
		return nil, nil
	case toInfo:
		node := []byte(nil)
		err := runtimeapi.ReadPairs(text, func(name, value []byte) error {
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
		return nil, wrap("show servers state", runtimeapi.ReadServersState(text, func(r *runtimeapi.ServerState) error {
			class, ours := s.link.front.backends[string(r.Backend)]
			if !ours {
				return nil
			}
			held := net.JoinHostPort(string(r.Addr), strconv.FormatUint(r.Port, 10))
			server := opt.Names.Learn(string(r.Server), held)
			_, addr := opt.Names.Of(server)
			cell := steer.Cell{Present: true, Astray: addr != held, Weight: int16(min(r.Weight, runtimeapi.WeightMost)), State: steer.In}
			if r.Admin&runtimeapi.AdminMaint != 0 {
				cell.State = steer.Out
			} else if r.Admin&runtimeapi.AdminDrain != 0 {
				cell.State = steer.Drain
			}
			s.held.Lines = append(s.held.Lines, steer.SnapshotLine{Class: class, Server: server, Cell: cell})
			return nil
		}))
	case toMap:
		if string(text) == runtimeapi.NoMap {
			return nil, fmt.Errorf("the proxy has no map %s", opt.Map)
		}
		err := runtimeapi.ReadMap(text, func(key, value []byte) error { s.readLevel(string(key), value); return nil })
		if err != nil {
			return nil, wrap("show map", err)
		}
		if err := s.took(text); err != nil {
			return nil, err
		}
		s.up = true
		s.link.stood.Store(true)
		return front.Up{Proxy: id, Stream: s.stream, Held: s.held}, nil
	case toStat:
		r, err := reports.ReadCounters(text, s.link.front.backends, len(opt.Classes), opt.Names.Server)
		if s.reading = r; opt.Table == "" && err == nil {
			return s.polled(), nil
		}
		return nil, wrap("show stat", err)
	case toTable:
		if err := s.reading.ReadTracked(text, opt.Names.Server); err != nil {
			return nil, wrap("show table", err)
		}
		return s.polled(), nil
	case toShut, toLook, toBid, toRivals, toEntries, toBeat, toHandOn:
		return s.takeLease(e, text)
	}
	if f, ok := fault(text); !ok {
		s.failures = append(s.failures, steer.Failure{Index: e.index, Fault: f, Text: string(bytes.TrimSpace(text))})
		if string(text) == runtimeapi.NoKey {
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
	return front.Answer{Proxy: id, Stream: s.stream, Seq: e.seq, Failures: failures}, nil
}

func wrap(command string, err error) error {
	if err != nil {
		return fmt.Errorf("answer to %q: %w", command, err)
	}
	return nil
}

// fault tells whether a change was done, and else what kept it.
func fault(text []byte) (steer.Fault, bool) {
	if bytes.HasPrefix(text, []byte(runtimeapi.AddrChanged)) || bytes.HasPrefix(text, []byte(runtimeapi.AddrStays)) {
		return 0, true
	}
	switch string(text) {
	case runtimeapi.Done, runtimeapi.Registered, runtimeapi.Deleted:
		return 0, true
	case runtimeapi.NoServer:
		return steer.NoLine, false
	case runtimeapi.Exists:
		return steer.LineExists, false
	case runtimeapi.NotInMaint, runtimeapi.HasConns:
		return steer.InUse, false
	}
	return steer.OtherFault, false
}

// readLevel takes one entry of the map of levels: "class.share", "class.rate" and "class.retry".
func (s *session) readLevel(key string, value []byte) {
	s.keys[key] = true
	if key == steeredKey {
		s.held.Fresh = false
		return
	}
	if name, is := strings.CutSuffix(key, front.VersionKey); is {
		for c, class := range s.link.front.opt.Classes {
			if class.Name == name {
				s.held.Stamps[c] = string(value)
			}
		}
		return
	}
	n, err := strconv.ParseInt(string(value), 10, 32)
	for c, class := range s.link.front.opt.Classes {
		l := &s.held.Levels[c]
		switch {
		case err != nil:
		case key == s.amountKey(class.Name):
			l.Amount = int32(n)
			if n == int64(s.amountAll()) {
				l.Amount = -1
			}
		case key == class.Name+front.RetryKey:
			l.Retry = fleet.Retry(n)
		}
		l.Known = s.keys[s.amountKey(class.Name)] && s.keys[class.Name+front.RetryKey]
	}
}

func (s *session) amountKey(class string) string {
	return front.AmountKey(s.link.front.opt.Admission, class)
}

func (s *session) amountAll() int32 { return front.AmountAll(s.link.front.opt.Admission) }

func (s *session) polled() front.Event {
	r := s.reading
	s.reading, s.polling = nil, false
	return front.Polled{Proxy: s.link.proxy.ID, Stream: s.stream, Reading: r}
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
		s.out = append(runtimeapi.AppendCommand(s.out, "show", "table", t), '\n')
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
func (s *session) send(m steer.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.over || s.handing {
		return
	}
	s.arm()
	e := encoder{s: s, seq: m.Seq, out: s.out[:0]}
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
