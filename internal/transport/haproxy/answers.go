package haproxy

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/ingest/counters"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// answerKind says which command an answer belongs to.
type answerKind uint8

const (
	promptAnswer answerKind = iota
	infoAnswer
	serversStateAnswer
	mapAnswer
	statAnswer
	tableAnswer
	changeAnswer
	shutdownSessionAnswer // the end of another session
	observedEntriesAnswer // lease entries, before a takeover
	leaseEntryAnswer      // this controller's lease entry was written for a takeover
	sessionsAnswer        // the sessions at the proxy
	heldEntriesAnswer     // lease entries, with a heartbeat
	heartbeatAnswer
	handOverAnswer // this controller's lease entry was given up
)

// expectedAnswer is one answer that is to come.
type expectedAnswer struct {
	kind        answerKind
	sequence    uint64 // of the message
	changeIndex int    // of the change in its message
	last        bool   // of its message
	key         string // of the map entry that was written
}

// handleAnswer handles one answer; it returns the event to report, nil for none. The session is locked.
func (s *session) handleAnswer(expected expectedAnswer, text []byte) (transport.Event, error) {
	switch expected.kind {
	case promptAnswer:
		return nil, nil
	case infoAnswer:
		return nil, answerError("show info", s.checkName(text))
	case serversStateAnswer:
		return nil, answerError("show servers state", haproxyapi.ReadServersState(text, s.addSnapshotEntry))
	case mapAnswer:
		return s.handleMap(text)
	case statAnswer:
		return s.handleStat(text)
	case tableAnswer:
		return s.handleTable(text)
	case changeAnswer:
		return s.handleChange(expected, text), nil
	default:
		return s.handleLeaseAnswer(expected, text)
	}
}

// checkName fails if the proxy states another name than the configured one; it may state none.
func (s *session) checkName(text []byte) error {
	var node []byte
	err := haproxyapi.ReadInfo(text, func(name, value []byte) error {
		if string(name) == "node" || string(name) == "Node" {
			node = append(node, value...)
		}
		return nil
	})
	if err == nil && len(node) > 0 && string(node) != s.link.proxy.Name {
		err = fmt.Errorf("proxy at %s reports the name %.40q", s.link.proxy.Addr, node)
	}
	return err
}

// addSnapshotEntry adds a server of the proxy to the snapshot.
func (s *session) addSnapshotEntry(row *haproxyapi.ServerState) error {
	class, known := s.link.transport.classByBackend[string(row.Backend)]
	if !known {
		return nil
	}
	presentAddr := net.JoinHostPort(string(row.Addr), strconv.FormatUint(row.Port, 10))
	server := s.options().Names.Learn(string(row.Server), presentAddr)
	_, wantedAddr := s.options().Names.Lookup(server)
	entry := reconcile.EntryState{
		Present:      true,
		WrongAddress: wantedAddr != presentAddr,
		Weight:       int16(min(row.Weight, haproxyapi.MaxWeight)),
		State:        reconcile.StateReady,
	}
	switch {
	case row.Admin&haproxyapi.AdminMaint != 0:
		entry.State = reconcile.StateMaintenance
	case row.Admin&haproxyapi.AdminDrain != 0:
		entry.State = reconcile.StateDrain
	}
	s.snapshot.Entries = append(s.snapshot.Entries, reconcile.SnapshotEntry{Class: class, Server: server, State: entry})
	return nil
}

// handleMap completes the snapshot and so establishes the session.
func (s *session) handleMap(text []byte) (transport.Event, error) {
	if string(text) == haproxyapi.NoMap {
		return nil, s.noMapError()
	}
	err := haproxyapi.ReadMap(text, func(key, value []byte) error {
		s.readMapEntry(string(key), value)
		return nil
	})
	if err != nil {
		return nil, answerError("show map", err)
	}
	if err := s.confirmLease(text); err != nil {
		return nil, err
	}
	s.established = true
	s.link.established.Store(true)
	return transport.Connected{Proxy: s.link.proxy.ID, Stream: s.stream, Snapshot: s.snapshot}, nil
}

func (s *session) noMapError() error { return fmt.Errorf("proxy has no map %s", s.options().Map) }

// readMapEntry takes an entry of the map that belongs to the snapshot: "class.share", "class.rate", "class.retry" or
// "class.version".
func (s *session) readMapEntry(key string, value []byte) {
	s.mapKeys[key] = true
	if key == managedKey {
		s.snapshot.Fresh = false
		return
	}
	if name, ok := strings.CutSuffix(key, transport.VersionKey); ok {
		for i, class := range s.options().Classes {
			if class.Name == name {
				s.snapshot.VersionStamps[i] = string(value)
			}
		}
		return
	}
	number, err := strconv.ParseInt(string(value), 10, 32)
	for i, class := range s.options().Classes {
		admission := &s.snapshot.Admissions[i]
		limitKey := s.admissionKey(class.Name)
		retryKey := class.Name + transport.RetryKey
		switch {
		case err != nil:
		case key == limitKey:
			admission.Limit = int32(number)
			if admission.Limit == s.unlimitedAdmission() {
				admission.Limit = -1
			}
		case key == retryKey:
			admission.Retry = fleet.RetryMode(number)
		}
		admission.Known = s.mapKeys[limitKey] && s.mapKeys[retryKey]
	}
}

func (s *session) admissionKey(class string) string {
	return transport.AdmissionKey(s.options().Admission, class)
}

func (s *session) unlimitedAdmission() int32 {
	return transport.UnlimitedAdmission(s.options().Admission)
}

func (s *session) handleStat(text []byte) (transport.Event, error) {
	options := s.options()
	classByBackend := s.link.transport.classByBackend
	reading, err := counters.ParseCounters(text, classByBackend, len(options.Classes), options.Names.Server)
	s.reading = reading
	if options.Table == "" && err == nil {
		return s.countersPolled(), nil
	}
	return nil, answerError("show stat", err)
}

func (s *session) handleTable(text []byte) (transport.Event, error) {
	if err := s.reading.AddTracked(text, s.options().Names.Server); err != nil {
		return nil, answerError("show table", err)
	}
	return s.countersPolled(), nil
}

func (s *session) countersPolled() transport.Event {
	reading := s.reading
	s.reading = nil
	s.polling = false
	return transport.CountersPolled{Proxy: s.link.proxy.ID, Stream: s.stream, Reading: reading}
}

// handleChange records the outcome of one command of a message; it returns an event for the last one.
func (s *session) handleChange(expected expectedAnswer, text []byte) transport.Event {
	if kind, failed := changeFailure(text); failed {
		s.failures = append(s.failures, reconcile.Failure{
			Index: expected.changeIndex,
			Kind:  kind,
			Text:  string(bytes.TrimSpace(text)),
		})
		if string(text) == haproxyapi.NoKey {
			delete(s.mapKeys, expected.key)
		}
	} else if expected.key != "" {
		s.mapKeys[expected.key] = true
	}
	if !expected.last {
		return nil
	}
	failures := s.failures
	s.failures = nil
	return transport.Answered{
		Proxy:    s.link.proxy.ID,
		Stream:   s.stream,
		Sequence: expected.sequence,
		Failures: failures,
	}
}

// changeFailure reports whether a change failed, and of which kind the failure is.
func changeFailure(text []byte) (kind reconcile.FailureKind, failed bool) {
	if bytes.HasPrefix(text, []byte(haproxyapi.AddrChanged)) || bytes.HasPrefix(text, []byte(haproxyapi.AddrUnchanged)) {
		return 0, false
	}
	switch string(text) {
	case haproxyapi.Success, haproxyapi.Registered, haproxyapi.Deleted:
		return 0, false
	case haproxyapi.NoServer:
		return reconcile.FailureEntryMissing, true
	case haproxyapi.ServerExists:
		return reconcile.FailureEntryExists, true
	case haproxyapi.NotInMaintenance, haproxyapi.HasConnections:
		return reconcile.FailureEntryInUse, true
	}
	return reconcile.FailureOther, true
}

// answerError wraps an error of an answer with the command; nil stays nil.
func answerError(command string, err error) error {
	if err != nil {
		return fmt.Errorf("answer to %q: %w", command, err)
	}
	return nil
}
