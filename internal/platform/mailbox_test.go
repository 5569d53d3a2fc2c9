package platform

import (
	"testing"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/collector"
	"cressknot/internal/transport/relay"
)

// A full mailbox may merge reports but must keep all attempts that they count, and must keep every message in order.
func TestMailboxMergesReportsOnly(t *testing.T) {
	const posted = 100
	m := NewMailbox()
	for range 3 * maxSeparateReports {
		m.PostReport(collector.Report{Server: "s", Outcome: fleet.OutcomeReport{Attempts: 1, Interval: 1}})
	}
	for i := range posted {
		m.Post(RelayEvent{relay.StreamEvent{Stream: uint64(i)}})
	}
	var batch Batch
	m.Take(&batch)
	for i, message := range batch.Messages {
		if stream := message.(RelayEvent).Stream; stream != uint64(i) {
			t.Fatalf("message %d has stream %d, want %d", i, stream, i)
		}
	}
	attempts := 0
	for _, report := range batch.Reports {
		attempts += int(report.Outcome.Attempts)
	}
	if attempts != 3*maxSeparateReports || len(batch.Messages) != posted {
		t.Errorf("got %d attempts and %d messages, want %d and %d",
			attempts, len(batch.Messages), 3*maxSeparateReports, posted)
	}
	if len(batch.Reports) > maxSeparateReports+posted || m.merged == 0 {
		t.Errorf("got %d reports, limit %d; %d merged", len(batch.Reports), maxSeparateReports+posted, m.merged)
	}
}

// Post must block on a full mailbox instead of dropping, reordering or piling up messages.
func TestFullMailboxBlocksPostAndLosesNothing(t *testing.T) {
	m := NewMailbox()
	posted := make(chan struct{})
	go func() {
		for i := range 2*maxMessages + 1 {
			m.Post(RelayEvent{relay.StreamEvent{Stream: uint64(i)}})
		}
		close(posted)
	}()
	var batch Batch
	for len(batch.Messages) < 2*maxMessages+1 {
		<-m.notify
		before := len(batch.Messages)
		m.Take(&batch)
		if taken := len(batch.Messages) - before; taken > maxMessages {
			t.Fatalf("mailbox held %d messages, limit %d", taken, maxMessages)
		}
	}
	<-posted
	for i, message := range batch.Messages {
		if stream := message.(RelayEvent).Stream; stream != uint64(i) {
			t.Fatalf("message %d has stream %d, want %d", i, stream, i)
		}
	}
}

// Close must unblock a pending Post: after the loop has ended no goroutine calls Take, so the poster would hang.
func TestClosedMailboxBlocksNobody(t *testing.T) {
	m := NewMailbox()
	for range maxMessages {
		m.Post(RelayEvent{})
	}
	posted := make(chan struct{})
	go func() {
		m.Post(RelayEvent{})
		close(posted)
	}()
	m.Close()
	select {
	case <-posted:
	case <-time.After(20 * time.Second):
		t.Fatal("Post still blocks after Close")
	}
}
