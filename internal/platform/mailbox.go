package platform

import (
	"sync"

	"cressknot/internal/discovery"
	"cressknot/internal/ingest/collector"
	"cressknot/internal/transport/relay"
)

// Bounds of the mailbox.
const (
	// maxMessages is how many messages may wait before Post blocks.
	maxMessages = 4096
	// maxSeparateReports is how many load reports may wait before further ones are merged by series.
	maxSeparateReports = 4096
)

// Message is an input of the controller that is never dropped or merged. The set of messages is closed.
type Message interface{ message() }

// The messages.
type (
	// RelayEvent is an event of the relay's stream.
	RelayEvent struct{ relay.StreamEvent }
	// OperationsUnconfirmed names operations that the relay may or may not have carried out.
	OperationsUnconfirmed struct{ relay.Unconfirmed }
	// EndpointsChanged is an update of the endpoint list, or says that one failed.
	EndpointsChanged struct{ discovery.Update }
)

func (RelayEvent) message()            {}
func (OperationsUnconfirmed) message() {}
func (EndpointsChanged) message()      {}

// Batch is what a step takes in: the messages in the order in which they were posted, then the load reports.
type Batch struct {
	Messages []Message
	Reports  []collector.Report
}

// reset empties the batch and drops what it points at. Its memory is reused.
func (b *Batch) reset() {
	clear(b.Messages)
	clear(b.Reports)
	b.Messages = b.Messages[:0]
	b.Reports = b.Reports[:0]
}

// Mailbox hands inputs from the goroutines that read from sockets to the loop. It is bounded: Post waits while
// maxMessages messages are in it, PostReport never waits and merges reports of the same series once
// maxSeparateReports are in it. Messages are neither dropped, merged nor reordered. All methods are safe for
// concurrent use; only one goroutine may Take.
type Mailbox struct {
	mu          sync.Mutex
	notFull     sync.Cond // messages were taken, or the mailbox was closed
	messages    []Message
	reports     []collector.Report
	reportIndex map[collector.SeriesKey]int // the position in reports of each series; nil while reports are not merged
	merged      uint64                      // reports that were merged into another one
	closed      bool
	notify      chan struct{} // has an element while the mailbox may hold something
}

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox {
	m := &Mailbox{notify: make(chan struct{}, 1)}
	m.notFull.L = &m.mu
	return m
}

// Post adds a message. It waits while the mailbox is full, unless that was closed.
func (m *Mailbox) Post(message Message) {
	m.mu.Lock()
	for len(m.messages) >= maxMessages && !m.closed {
		m.notFull.Wait()
	}
	m.messages = append(m.messages, message)
	m.mu.Unlock()
	m.wake()
}

// PostReport adds a load report. It never waits.
func (m *Mailbox) PostReport(report collector.Report) {
	m.mu.Lock()
	if len(m.reports) >= maxSeparateReports && m.merge(report) {
		m.mu.Unlock()
		return
	}
	m.reports = append(m.reports, report)
	m.mu.Unlock()
	m.wake()
}

// merge adds a report to the one of its series that waits, and returns false if there is none. The caller holds the
// lock, and appends the report in that case.
func (m *Mailbox) merge(report collector.Report) bool {
	if m.reportIndex == nil {
		m.reportIndex = make(map[collector.SeriesKey]int, maxSeparateReports)
		for i := range m.reports {
			m.reportIndex[m.reports[i].Key()] = i
		}
	}
	key := report.Key()
	i, waiting := m.reportIndex[key]
	if !waiting {
		m.reportIndex[key] = len(m.reports)
		return false
	}
	m.reports[i].Merge(report)
	m.merged++
	return true
}

// Take moves everything from the mailbox to the end of the batch and lets those who wait in Post go on.
func (m *Mailbox) Take(batch *Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch.Messages = append(batch.Messages, m.messages...)
	batch.Reports = append(batch.Reports, m.reports...)
	clear(m.messages)
	clear(m.reports)
	m.messages = m.messages[:0]
	m.reports = m.reports[:0]
	m.reportIndex = nil
	m.notFull.Broadcast()
}

// Close lets those who wait in Post go on, now and later. The mailbox is not bounded any more.
func (m *Mailbox) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.notFull.Broadcast()
}

func (m *Mailbox) wake() {
	select {
	case m.notify <- struct{}{}:
	default:
	}
}
