package haproxy

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/lease"
	"cressknot/internal/transport"
)

// Controllers that share a proxy use a lease at the proxy to determine which one serves it. Package lease makes the
// decisions, and this file executes them by commands of the runtime API. The lease entries are in the proxy's map,
// those of each controller under its own keys. "show sess" lists the sessions of the runtime socket and "shutdown
// session" ends them.

const (
	// leaseKeyPrefix is followed by the controller's name in the key of its lease entry.
	leaseKeyPrefix = "cressknot.lease."
	// requestKeyPrefix is followed by the controller's name in the key of its request for the lease.
	requestKeyPrefix = "cressknot.want."
	// runtimeSessionField marks a session of the runtime socket in "show sess".
	runtimeSessionField = "fe=GLOBAL"
)

var (
	errLeaseLost  = errors.New("another controller holds the lease")
	errHandedOver = errors.New("lease released for another controller")
)

// readEntries parses the entries of the proxy's HAProxy map and returns the lease entries of all controllers, and the
// keys of that map that hold a lease entry or a request for the lease.
func readEntries(text []byte) (entries []lease.Entry, keys map[string]bool, err error) {
	keys = map[string]bool{}
	requests := map[string]string{}
	err = haproxyapi.ReadMap(text, func(key, value []byte) error {
		name := string(key)
		if controller, ok := strings.CutPrefix(name, leaseKeyPrefix); ok {
			entries = append(entries, lease.ParseEntry(controller, string(value)))
			keys[name] = true
		} else if controller, ok := strings.CutPrefix(name, requestKeyPrefix); ok {
			requests[controller] = string(value)
			keys[name] = true
		}
		return nil
	})
	for i := range entries {
		entry := &entries[i]
		entry.RequestCount, entry.ManualRequest = lease.ParseRequest(requests[entry.Controller])
		delete(requests, entry.Controller)
	}
	for controller, request := range requests {
		entry := lease.Entry{Controller: controller}
		entry.RequestCount, entry.ManualRequest = lease.ParseRequest(request)
		entries = append(entries, entry)
	}
	return entries, keys, answerError("show map", err)
}

// writeMapEntry appends the command that adds or replaces an entry of the map. The kind is that of the expected answer.
func (s *session) writeMapEntry(key, value string, kind answerKind) {
	verb := "add"
	if s.mapKeys[key] {
		verb = "set"
	}
	s.mapKeys[key] = true
	s.out = append(haproxyapi.AppendCommand(s.out, verb, "map", s.options().Map, key, value), '\n')
	s.expected = append(s.expected, expectedAnswer{kind: kind, key: key})
}

func (s *session) requestMap(kind answerKind) {
	s.out = append(haproxyapi.AppendCommand(s.out, "show", "map", s.options().Map), '\n')
	s.expect(kind)
}

func (s *session) ownLeaseKey() string { return leaseKeyPrefix + s.options().Controller }

// observeAgain requests the lease entries again.
func (s *session) observeAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.link.transport.stopping.Load() {
		return
	}
	s.startWatchdog()
	s.out = s.out[:0]
	s.requestMap(observedEntriesAnswer)
	s.flush()
}

// completeTakeover appends the commands that shut down the sessions that existed when this controller's lease entry was
// written, and write the entry again.
func (s *session) completeTakeover() {
	l := s.link
	l.leaseMutex.Lock()
	next := l.lease.NextHeartbeat()
	staleSessions := l.staleSessions
	l.staleSessions = nil
	l.leaseMutex.Unlock()
	for _, id := range staleSessions {
		s.out = append(haproxyapi.AppendCommand(s.out, "shutdown", "session", id), '\n')
		s.expect(shutdownSessionAnswer)
	}
	s.mapKeys[s.ownLeaseKey()] = true
	s.writeMapEntry(s.ownLeaseKey(), next.String(), leaseEntryAnswer)
}

// confirmLease checks the lease entries that were read after the other sessions were shut down. It returns errLeaseLost
// if another controller holds the lease.
func (s *session) confirmLease(text []byte) error {
	l := s.link
	if l.lease == nil {
		return nil
	}
	entries, _, err := readEntries(text)
	if err != nil {
		return err
	}
	l.leaseMutex.Lock()
	defer l.leaseMutex.Unlock()
	if !l.lease.ConfirmTakeover(l.transport.options.Clock(), entries) {
		return errLeaseLost
	}
	return nil
}

// handleLeaseAnswer processes the answer to a command of the lease protocol.
func (s *session) handleLeaseAnswer(expected expectedAnswer, text []byte) (transport.Event, error) {
	l := s.link
	l.leaseMutex.Lock()
	defer l.leaseMutex.Unlock()
	now := l.transport.options.Clock()
	s.out = s.out[:0]
	var err error
	switch expected.kind {
	case observedEntriesAnswer:
		err = s.handleObservedEntries(now, text)
	case sessionsAnswer:
		err = s.beginTakeover(text)
	case heldEntriesAnswer:
		err = s.handleHeldEntries(now, text)
	case leaseEntryAnswer, heartbeatAnswer:
		err = s.handleEntryWritten(expected, text)
	case handOverAnswer:
		err = errHandedOver
	}
	if err != nil {
		return nil, err
	}
	s.flush()
	return nil, nil
}

// handleObservedEntries begins a takeover, requests the lease or keeps observing, as the lease decides. The caller
// holds the locks of the session and of the lease; the same applies to the other handlers.
func (s *session) handleObservedEntries(now fleet.Time, text []byte) error {
	if string(text) == haproxyapi.NoMap {
		return s.noMapError()
	}
	entries, keys, err := readEntries(text)
	if err != nil {
		return err
	}
	s.mapKeys = keys
	proxyLease := s.link.lease
	action, observeAt := proxyLease.Check(now, entries)
	switch action {
	case lease.ActionClaim:
		own := proxyLease.BeginTakeover(now, entries)
		s.writeMapEntry(s.ownLeaseKey(), own.String(), leaseEntryAnswer)
		s.out = append(s.out, "show sess\n"...)
		s.expect(sessionsAnswer)
		return nil
	case lease.ActionRequest:
		s.writeMapEntry(requestKeyPrefix+s.options().Controller, proxyLease.NextRequest(), heartbeatAnswer)
	}
	s.observeTimer = time.AfterFunc(time.Duration(max(1, observeAt-now)), s.observeAgain)
	return nil
}

// beginTakeover records the sessions to shut down and opens the session that completes the takeover.
func (s *session) beginTakeover(text []byte) error {
	ids, err := readSessions(text)
	if err != nil {
		return err
	}
	s.link.staleSessions = ids
	go s.link.takeOver(s)
	return nil
}

// handleHeldEntries renews the lease. It returns errLeaseLost if another controller has taken the lease over.
func (s *session) handleHeldEntries(now fleet.Time, text []byte) error {
	entries, _, err := readEntries(text)
	if err != nil {
		return err
	}
	t := s.link.transport
	t.movesMutex.Lock()
	action := s.link.lease.Renew(now, entries, &t.handovers)
	t.movesMutex.Unlock()
	switch action {
	case lease.ActionYield:
		return errLeaseLost
	case lease.ActionRelease:
		s.releaseLease(s.link.lease.ReleaseEntry(false))
	}
	return nil
}

// handleEntryWritten returns errLeaseLost if another controller has removed this controller's entry.
func (s *session) handleEntryWritten(expected expectedAnswer, text []byte) error {
	if string(text) != haproxyapi.NoKey {
		return nil
	}
	delete(s.mapKeys, expected.key)
	if expected.kind == leaseEntryAnswer || s.established {
		return errLeaseLost
	}
	return nil
}

// readSessions returns the ids of the sessions of the runtime socket in the answer to "show sess".
func readSessions(text []byte) (ids []string, err error) {
	number := 0
	for line := range bytes.Lines(text) {
		number++
		id, fields, ok := strings.Cut(string(bytes.TrimSpace(line)), ": ")
		if !ok || !strings.HasPrefix(id, "0x") {
			return nil, fmt.Errorf("answer to \"show sess\": line %d: expected a session, got %.60q", number, line)
		}
		for _, field := range strings.Fields(fields) {
			if field == runtimeSessionField {
				ids = append(ids, id)
			}
		}
	}
	return ids, nil
}

// writeHeartbeat appends the commands that write the next heartbeat and read all lease entries. Every poll includes it.
func (s *session) writeHeartbeat() {
	l := s.link
	if l.lease == nil {
		return
	}
	l.leaseMutex.Lock()
	next := l.lease.NextHeartbeat()
	l.leaseMutex.Unlock()
	s.writeMapEntry(s.ownLeaseKey(), next.String(), heartbeatAnswer)
	s.requestMap(heldEntriesAnswer)
}

// releaseLease appends the command that releases the lease. The session sends nothing after it, and the proxy executes
// all earlier commands first.
func (s *session) releaseLease(entry lease.Entry) {
	s.handingOver = true
	s.writeMapEntry(s.ownLeaseKey(), entry.String(), handOverAnswer)
}

// handOver releases the lease because this controller stops, so that another one can take the proxy over.
func (s *session) handOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.acceptsRequests() {
		return
	}
	s.startWatchdog()
	s.out = s.out[:0]
	s.link.leaseMutex.Lock()
	entry := s.link.lease.ReleaseEntry(true)
	s.link.leaseMutex.Unlock()
	s.releaseLease(entry)
	s.flush()
}

// Retire hands over all proxies, a limited number at a time, if on is true, and ends that otherwise.
func (t *Transport) Retire(on bool) {
	for _, l := range t.links {
		if l.lease != nil {
			l.leaseMutex.Lock()
			l.lease.SetRetired(on)
			l.leaseMutex.Unlock()
		}
	}
}

// Take assigns a proxy to this controller regardless of the plan if on is true, and ends that otherwise. It returns
// false if the proxy is unknown or not shared.
func (t *Transport) Take(id fleet.ProxyID, on bool) bool {
	l := t.links[id]
	if l == nil || l.lease == nil {
		return false
	}
	l.leaseMutex.Lock()
	defer l.leaseMutex.Unlock()
	l.lease.SetManual(on)
	return true
}

// Holders returns the lease holder of each shared proxy, sorted by the proxies' ids.
func (t *Transport) Holders() []transport.LeaseHolder {
	var holders []transport.LeaseHolder
	for id, l := range t.links {
		if l.lease == nil {
			continue
		}
		l.leaseMutex.Lock()
		entry, lastHeartbeat := l.lease.LastHolder()
		l.leaseMutex.Unlock()
		s := t.currentSession(id)
		holders = append(holders, transport.LeaseHolder{
			Proxy:         id,
			Controller:    entry.Controller,
			Epoch:         entry.Epoch,
			LastHeartbeat: lastHeartbeat,
			Own:           s != nil && s.serving(),
		})
	}
	slices.SortFunc(holders, func(a, b transport.LeaseHolder) int { return cmp.Compare(a.Proxy, b.Proxy) })
	return holders
}
