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

// answerKind identifies the command that an answer belongs to.
type answerKind uint8

const (
	promptAnswer answerKind = iota
	infoAnswer
	serversStateAnswer
	mapAnswer
	statAnswer
	tableAnswer
	changeAnswer
	shutdownSessionAnswer // another session was shut down
	observedEntriesAnswer // lease entries, read while another controller may hold the lease
	leaseEntryAnswer      // this controller's lease entry was written for a takeover
	sessionsAnswer        // sessions at the proxy
	heldEntriesAnswer     // lease entries, read with each heartbeat
	heartbeatAnswer       // a heartbeat or a request for the lease was written
	handOverAnswer        // this controller's lease entry was released
)

// expectedAnswer describes the answer to a command that was sent.
type expectedAnswer struct {
	kind        answerKind
	sequence    uint64 // sequence number of the message
	changeIndex int    // index of the change in its message
	last        bool   // the last answer to its message
	key         string // key of the map entry that the command writes, "" for none
}

// handleAnswer processes one answer and returns the event to post, nil for none. The caller holds the session's lock.
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

// checkName returns an error if "show info" reports a name other than the configured one. A missing name is accepted.
func (s *session) checkName(text []byte) error {
	var node []byte
	err := haproxyapi.ReadInfo(text, func(name, value []byte) error {
		if string(name) == "node" || string(name) == "Node" {
			node = append(node, value...)
		}
		return nil
	})
	if err == nil && len(node) > 0 && string(node) != s.link.proxy.Name {
		err = fmt.Errorf("proxy at %s reports the name %.40q, want %q", s.link.proxy.Addr, node, s.link.proxy.Name)
	}
	return err
}

// addSnapshotEntry adds a server entry of the proxy to the snapshot. Entries of unknown backends are ignored.
func (s *session) addSnapshotEntry(row *haproxyapi.ServerState) error {
	class, known := s.link.transport.classByBackend[string(row.Backend)]
	if !known {
		return nil
	}
	presentAddr := net.JoinHostPort(string(row.Addr), strconv.FormatUint(row.Port, 10))
	server := s.options().Names.GetOrAssign(string(row.Server), presentAddr)
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

// handleMap completes the snapshot from the map entries and thereby establishes the session.
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

// readMapEntry adds an entry of the map to the snapshot, if it belongs there: "class.share", "class.rate",
// "class.retry", "class.version" or managedKey.
func (s *session) readMapEntry(key string, value []byte) {
	s.mapKeys[key] = true
	if key == managedKey {
		s.snapshot.Fresh = false
		return
	}
	if name, ok := strings.CutSuffix(key, transport.VersionKeySuffix); ok {
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
		retryKey := class.Name + transport.RetryKeySuffix
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

// handleChange records the result of one command of a message. It returns an event for the last one, otherwise nil.
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

// changeFailure reports whether the answer to a change means that it failed, and the kind of the failure.
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

// answerError adds the command to an error in its answer. It returns nil if err is nil.
func answerError(command string, err error) error {
	if err != nil {
		return fmt.Errorf("answer to %q: %w", command, err)
	}
	return nil
}
