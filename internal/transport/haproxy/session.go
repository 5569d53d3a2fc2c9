package haproxy

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"cressknot/internal/haproxyapi"
	"cressknot/internal/ingest/counters"
	"cressknot/internal/netlimit"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// managedKey is present in the map of a proxy that a controller has sent messages to since the proxy's start.
const managedKey = "cressknot.steered"

// session is one connection to a proxy's runtime socket.
type session struct {
	link   *link
	conn   *nbio.Conn
	stream uint64

	mu          sync.Mutex
	established bool // the proxy's state was read
	ended       bool
	endReason   error // why this controller closed the connection, nil if it did not
	watchdog    *time.Timer

	usage    *netlimit.Usage // of the process-wide budget
	answers  haproxyapi.AnswerParser
	expected []expectedAnswer // answers to come, oldest first
	out      []byte           // commands to write
	mapKeys  map[string]bool  // keys present in the proxy's map
	failures []reconcile.Failure
	snapshot reconcile.Snapshot
	reading  *counters.Reading
	polling  bool

	predecessor  *session // the session that began the takeover that this one completes; nil for none
	observing    bool     // reads lease entries only; the lease is not held
	observeTimer *time.Timer
	handingOver  bool // the lease is being released; nothing more is sent
}

func (s *session) options() *Options { return &s.link.transport.options }

// begin requests the proxy's state or, if the proxy is shared, first the lease entries. The caller holds the lock.
func (s *session) begin() {
	s.out = append(s.out[:0], "prompt\nshow info\n"...)
	s.expect(promptAnswer)
	s.expect(infoAnswer)
	if s.link.lease != nil {
		if s.predecessor == nil {
			s.observing = true
			s.requestMap(observedEntriesAnswer)
			s.flush()
			return
		}
		s.completeTakeover()
	}
	s.out = append(s.out, "show servers state\n"...)
	s.expect(serversStateAnswer)
	s.requestMap(mapAnswer)
	classes := len(s.options().Classes)
	s.snapshot = reconcile.Snapshot{
		Zone:          s.link.proxy.Zone,
		RequestRate:   s.link.proxy.RequestRate,
		Fresh:         true,
		Admissions:    make([]reconcile.Admission, classes),
		VersionStamps: make([]string, classes),
	}
	s.flush()
}

func (s *session) expect(kind answerKind) {
	s.expected = append(s.expected, expectedAnswer{kind: kind})
}

// flush sends the buffered commands. A failed write closes the connection, which connectionClosed reports.
func (s *session) flush() {
	if len(s.out) > 0 {
		s.usage.Queue(time.Now(), len(s.out))
		_, _ = s.conn.Write(s.out)
	}
}

// closeForLimit closes the connection because all connections of the process together hold too much.
func (s *session) closeForLimit(reason *netlimit.Error) { s.close(reason) }

// startWatchdog starts the answer timeout unless an answer is expected already.
func (s *session) startWatchdog() {
	if len(s.expected) == 0 {
		s.watchdog.Reset(s.link.transport.answerTimeout)
	}
}

func (s *session) answerTimedOut() {
	s.close(fmt.Errorf("no answer within %v", s.link.transport.answerTimeout))
}

// close closes the connection. Of several reasons, connectionClosed reports the first.
func (s *session) close(reason error) {
	s.mu.Lock()
	if s.endReason == nil {
		s.endReason = reason
	}
	s.mu.Unlock()
	_ = s.conn.Close()
}

// connectionClosed posts the end of the session and makes the link dial again.
func (s *session) connectionClosed(err error) {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.ended = true
	s.usage.Account().Close()
	s.watchdog.Stop()
	if s.observeTimer != nil {
		s.observeTimer.Stop()
	}
	if s.endReason != nil {
		err = s.endReason
	}
	established := s.established
	s.mu.Unlock()

	l := s.link
	l.mu.Lock()
	superseded := l.current != s // by the session that completes its takeover
	if !superseded {
		l.current = nil
	}
	l.mu.Unlock()
	if s.observing && superseded {
		return
	}
	l.dropLease()
	if err == nil {
		err = net.ErrClosed
	}
	switch {
	case established:
		l.transport.sink(transport.Disconnected{Proxy: l.proxy.ID, Stream: s.stream, Err: err})
	case !errors.Is(err, errLeaseLost):
		l.transport.sink(transport.Unreachable{Proxy: l.proxy.ID, Err: err})
	}
	select {
	case l.sessionEnded <- struct{}{}:
	default:
	}
}

// hasUnansweredChanges reports whether answers to changes or to the release of the lease are outstanding.
func (s *session) hasUnansweredChanges() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range s.expected {
		if expected.kind == changeAnswer || expected.kind == handOverAnswer {
			return true
		}
	}
	return false
}

// serving reports whether the session accepts messages for the proxy.
func (s *session) serving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptsRequests()
}

// acceptsRequests returns the same as serving. The caller holds the lock.
func (s *session) acceptsRequests() bool { return s.established && !s.ended && !s.handingOver }

// receive processes bytes from the proxy and posts the resulting events.
func (s *session) receive(data []byte) {
	s.mu.Lock()
	var events []transport.Event
	progress := false
	err := s.answers.Feed(data, func(text []byte) error {
		if len(s.expected) == 0 {
			return fmt.Errorf("unexpected answer without an outstanding command: %.60q", text)
		}
		expected := s.expected[0]
		s.expected = s.expected[1:]
		progress = true
		event, err := s.handleAnswer(expected, text)
		if event != nil {
			events = append(events, event)
		}
		return err
	})
	s.usage.Receive(time.Now(), s.answers.Held(), false)
	if err == nil && progress {
		s.watchdog.Reset(s.link.transport.answerTimeout)
		if len(s.expected) == 0 {
			s.watchdog.Stop()
			s.expected = nil
		}
		if s.established {
			events = append(events, transport.Progress{Proxy: s.link.proxy.ID, Stream: s.stream})
		}
	}
	s.mu.Unlock()
	for _, event := range events {
		s.link.transport.sink(event)
	}
	if err != nil {
		s.close(err)
	}
}

// poll requests the counters, unless the answer to an earlier poll is outstanding.
func (s *session) poll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.acceptsRequests() || s.polling {
		return
	}
	s.polling = true
	s.startWatchdog()
	s.out = s.out[:0]
	s.writeHeartbeat()
	s.out = append(s.out, "show stat\n"...)
	s.expect(statAnswer)
	if table := s.options().Table; table != "" {
		s.out = append(haproxyapi.AppendCommand(s.out, "show", "table", table), '\n')
		s.expect(tableAnswer)
	}
	s.flush()
}

// send sends a message as commands, as many in a line as the protocol allows.
func (s *session) send(m reconcile.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.acceptsRequests() {
		return
	}
	s.startWatchdog()
	e := encoder{session: s, sequence: m.Sequence, out: s.out[:0]}
	for i := range m.Changes {
		e.changeIndex = i
		e.appendChange(&m.Changes[i])
	}
	if !s.mapKeys[managedKey] { // after the first message the proxy's tables are no longer its initial ones
		e.changeIndex = -1
		e.appendMapEntry(managedKey, "1")
	}
	if len(s.expected) == 0 || e.commands == 0 {
		return // the message has no changes, which package reconcile never sends
	}
	s.expected[len(s.expected)-1].last = true
	s.out = append(e.out, '\n')
	s.flush()
}
