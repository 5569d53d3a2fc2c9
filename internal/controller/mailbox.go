package controller

import (
	"maps"
	"slices"
	"sync"

	"cressknot/internal/fleet"
	"cressknot/internal/gossip"
	"cressknot/internal/ingest"
	"cressknot/internal/transport"
)

// mailbox collects the inputs of the next step from any goroutine. Endpoint lists, connections, answers and probe
// results are never dropped or merged. Memory for the rest is bounded without loss of information: of the counters,
// which are sums, only the newest reading of a stream is kept; of gossip, only the newest message of each controller;
// ingest.Queue bounds pushed reports.
type mailbox struct {
	notify chan struct{} // capacity 1; signalled while inputs wait
	pushed *ingest.Queue

	mu               sync.Mutex
	urgent           []Input
	readings         []CountersPolled // oldest first
	readingIndex     map[fleet.ProxyID]int
	gossip           map[string]gossip.Message // by name of the controller
	replacedReadings uint64

	// Buffers that collect reuses; only one goroutine calls it.
	inputs  []Input
	records []ingest.Record
}

func newMailbox() *mailbox {
	return &mailbox{
		notify:       make(chan struct{}, 1),
		pushed:       &ingest.Queue{},
		readingIndex: map[fleet.ProxyID]int{},
		gossip:       map[string]gossip.Message{},
	}
}

// wake signals the loop to take a step. It never blocks.
func (m *mailbox) wake() {
	select {
	case m.notify <- struct{}{}:
	default:
	}
}

// put adds an input that is never dropped.
func (m *mailbox) put(in Input) {
	m.mu.Lock()
	m.urgent = append(m.urgent, in)
	m.mu.Unlock()
	m.wake()
}

// putReading adds a reading. It replaces a reading of the same stream that no step has handled yet.
func (m *mailbox) putReading(reading transport.CountersPolled) {
	m.mu.Lock()
	at, waiting := m.readingIndex[reading.Proxy]
	if waiting && m.readings[at].Stream == reading.Stream {
		m.readings[at].Reading.Release()
		m.readings[at] = CountersPolled(reading)
		m.replacedReadings++
	} else {
		m.readingIndex[reading.Proxy] = len(m.readings)
		m.readings = append(m.readings, CountersPolled(reading))
	}
	m.mu.Unlock()
	m.wake()
}

// putGossip adds a message. It replaces an older one of the same controller. Messages of more than
// gossip.MaxControllers controllers are dropped to bound memory use during a flood.
func (m *mailbox) putGossip(message gossip.Message) {
	m.mu.Lock()
	old, waiting := m.gossip[message.Controller]
	outdated := waiting && message.Epoch == old.Epoch && message.Sequence < old.Sequence
	full := !waiting && len(m.gossip) >= gossip.MaxControllers
	if !outdated && !full {
		m.gossip[message.Controller] = message
	}
	m.mu.Unlock()
	m.wake()
}

// collect returns the inputs of the next step: all urgent inputs, readings up to a total of maxRows rows, all gossip
// messages, and at most maxPushed pushed records. more reports that some inputs remain. The slice is valid until the
// next call.
func (m *mailbox) collect(maxPushed, maxRows int) (inputs []Input, more bool) {
	m.mu.Lock()
	inputs = append(m.inputs[:0], m.urgent...)
	m.urgent = m.urgent[:0]
	inputs = m.collectReadings(inputs, maxRows)
	more = len(m.readings) > 0
	for _, controller := range slices.Sorted(maps.Keys(m.gossip)) {
		inputs = append(inputs, GossipMessage(m.gossip[controller]))
		delete(m.gossip, controller)
	}
	m.mu.Unlock()
	m.records = m.pushed.Take(maxPushed, m.records[:0])
	if len(m.records) > 0 {
		inputs = append(inputs, PushedRecords(m.records))
	}
	m.inputs = inputs
	waiting, _, _ := m.pushed.Stats()
	return inputs, more || waiting > 0
}

// collectReadings moves readings to the inputs until maxRows rows are reached; each reading counts as at least one row.
// The caller must hold mu.
func (m *mailbox) collectReadings(inputs []Input, maxRows int) []Input {
	taken := 0
	for taken < len(m.readings) && maxRows > 0 {
		maxRows -= max(1, len(m.readings[taken].Reading.Rows))
		inputs = append(inputs, m.readings[taken])
		taken++
	}
	m.readings = m.readings[:copy(m.readings, m.readings[taken:])]
	clear(m.readingIndex)
	for i := range m.readings {
		m.readingIndex[m.readings[i].Proxy] = i
	}
	return inputs
}

// replaced returns how many readings were replaced by newer ones before a step handled them.
func (m *mailbox) replaced() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replacedReadings
}
