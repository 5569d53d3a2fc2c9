package platform

import (
	"sync"

	"cressknot/internal/discovery"
	"cressknot/internal/ingest/collector"
	"cressknot/internal/transport/relay"
)

// Bounds of the mailbox.
const (
	// maxMessages is the number of queued messages from which Post blocks.
	maxMessages = 4096
	// maxSeparateReports is the number of queued load reports from which further ones are merged by series.
	maxSeparateReports = 4096
)

// Message is an input of the controller that is never dropped or merged. Only types of this package implement it.
type Message interface{ message() }

// The types of messages.
type (
	// RelayEvent is an event of the relay's event stream.
	RelayEvent struct{ relay.StreamEvent }
	// OperationsUnconfirmed lists operations that the relay may or may not have carried out.
	OperationsUnconfirmed struct{ relay.Unconfirmed }
	// EndpointsChanged is an update of the endpoint list, or reports that an update failed.
	EndpointsChanged struct{ discovery.Update }
)

func (RelayEvent) message()            {}
func (OperationsUnconfirmed) message() {}
func (EndpointsChanged) message()      {}

// Batch is the input of one step: the messages in the order in which they were posted, then the load reports.
type Batch struct {
	Messages []Message
	Reports  []collector.Report
}

// reset empties the batch, keeping its memory for reuse but none of the values that it referenced.
func (b *Batch) reset() {
	clear(b.Messages)
	clear(b.Reports)
	b.Messages = b.Messages[:0]
	b.Reports = b.Reports[:0]
}

// Mailbox is a bounded queue from the goroutines that read from sockets to the control loop. Post blocks while the
// mailbox holds maxMessages messages. PostReport never blocks; it merges reports of the same series once the mailbox
// holds maxSeparateReports reports. Messages are never dropped, merged or reordered. All methods are safe for
// concurrent use, but only one goroutine may call Take.
type Mailbox struct {
	mu          sync.Mutex
	notFull     sync.Cond // signals that messages were taken or the mailbox was closed
	messages    []Message
	reports     []collector.Report
	reportIndex map[collector.SeriesKey]int // position of each series in reports; nil while reports are not merged
	merged      uint64                      // number of reports merged into another one
	closed      bool
	notify      chan struct{} // holds an element while the mailbox may have input
}

// NewMailbox returns an empty, open mailbox.
func NewMailbox() *Mailbox {
	m := &Mailbox{notify: make(chan struct{}, 1)}
	m.notFull.L = &m.mu
	return m
}

// Post adds a message. It blocks while the mailbox is full and not closed.
func (m *Mailbox) Post(message Message) {
	m.mu.Lock()
	for len(m.messages) >= maxMessages && !m.closed {
		m.notFull.Wait()
	}
	m.messages = append(m.messages, message)
	m.mu.Unlock()
	m.wake()
}

// PostReport adds a load report, or merges it into a queued one of the same series. It never blocks on a full mailbox.
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

// merge merges the report into the queued report of the same series. It returns false if there is none; the caller then
// appends the report. The caller holds the lock.
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

// Take moves the content of the mailbox to the end of the batch and unblocks pending calls of Post.
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

// Close unblocks pending and future calls of Post. From then on the number of messages is not bounded.
func (m *Mailbox) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.notFull.Broadcast()
}

// wake tells the loop that the mailbox has input.
func (m *Mailbox) wake() {
	select {
	case m.notify <- struct{}{}:
	default:
	}
}
