package relay

import (
	"fmt"
	"testing"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/testing/await"
)

// expectSnapshot expects a stream to open that is not continuous, with a snapshot of the given number of proxies.
func expectSnapshot(t *testing.T, events chan StreamEvent, stream uint64, proxies int) {
	t.Helper()
	want := []StreamEventKind{StreamOpened}
	for range proxies {
		want = append(want, ProxyEvent)
	}
	for _, kind := range append(want, SnapshotComplete) {
		if e := await.Receive(t, events); e.Kind != kind || e.Stream != stream || e.Continuous {
			t.Fatalf("got event %+v, want kind %v of stream %d, not continuous", e, kind, stream)
		}
	}
}

// expectOpened expects a stream to open.
func expectOpened(t *testing.T, events chan StreamEvent, stream uint64, continuous bool) {
	t.Helper()
	e := await.Receive(t, events)
	if e.Kind != StreamOpened || e.Stream != stream || e.Continuous != continuous {
		t.Fatalf("got event %+v, want stream %d opened, continuous %v", e, stream, continuous)
	}
}

func expectLeft(t *testing.T, events chan StreamEvent, stream uint64) {
	t.Helper()
	e := await.Receive(t, events)
	if e.Kind != ProxyEvent || e.Stream != stream || e.Event != (fleet.ProxyLeft{Proxy: 1}) {
		t.Fatalf("got event %+v, want proxy 1 left on stream %d", e, stream)
	}
}

const leftText = "event: left\ndata: node=1\n\n"

// After a broken connection the stream is reopened. After a change of address the old stream is read until the new one
// is open, so that no event in transit is lost.
func TestStreamIsReopenedAfterABreakAndOverlapsAfterAMove(t *testing.T) {
	old, moved := newFakeRelay(t), newFakeRelay(t)
	client, events, _ := startClient(t, old)
	first := old.openStream(t, 1)
	expectSnapshot(t, events, 1, 1)
	close(first)
	second := old.openStream(t, 1)
	expectSnapshot(t, events, 2, 1)
	client.SetAddress(moved.addr())
	third := await.Receive(t, moved.streams)
	second <- leftText
	expectLeft(t, events, 2)
	expectOpened(t, events, 3, true)
	third <- heartbeatText
}

// If the old stream ends during the overlap with an unreadable event, later events may be lost, so the new stream is
// not continuous. A stream that the relay closed was read to its end, so the new stream is continuous.
func TestNewStreamIsContinuousUnlessTheOldOneFails(t *testing.T) {
	for name, test := range map[string]struct {
		last       string
		continuous bool
	}{
		"unreadable event": {last: "event: joined\ndata: node=999\n\n", continuous: false},
		"close":            {last: closeStream, continuous: true},
	} {
		t.Run(name, func(t *testing.T) {
			old, moved := newFakeRelay(t), newFakeRelay(t)
			client, events, _ := startClient(t, old)
			first := old.openStream(t, 1)
			expectSnapshot(t, events, 1, 1)
			client.SetAddress(moved.addr())
			await.Receive(t, moved.streams)
			awaitStreams(t, client, 2)
			first <- test.last
			expectOpened(t, events, 2, test.continuous)
		})
	}
}

// awaitStreams blocks until the client has opened the given number of streams.
func awaitStreams(t *testing.T, client *Client, count uint64) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for client.Statistics().Streams < count {
		if time.Now().After(deadline) {
			t.Fatalf("%d streams opened within 20 s, want %d", client.Statistics().Streams, count)
		}
		time.Sleep(time.Millisecond)
	}
}

// A snapshot cut off by a broken connection is never reported as complete, and the next stream starts a new one. Only a
// heartbeat completes a snapshot, however long it takes.
func TestSnapshotIsCompletedByAHeartbeatOnly(t *testing.T) {
	relay := newFakeRelay(t)
	_, events, _ := startClient(t, relay)
	texts := await.Receive(t, relay.streams)
	texts <- joinedText(1)
	texts <- "event: joined\ndata: node=2&loc"
	close(texts)
	texts = await.Receive(t, relay.streams)
	texts <- joinedText(1)
	var got []string
	for range 4 {
		e := await.Receive(t, events)
		got = append(got, fmt.Sprint(e.Stream, e.Kind))
	}
	if fmt.Sprint(got) != "[1 opened 1 event 2 opened 2 event]" {
		t.Errorf("events %v", got)
	}
	select {
	case e := <-events:
		t.Errorf("got event %+v before a heartbeat, want none", e)
	case <-time.After(1200 * time.Millisecond): // longer than the relay's heartbeat interval of 1 s
	}
	texts <- heartbeatText
	if e := await.Receive(t, events); e.Kind != SnapshotComplete || e.Stream != 2 {
		t.Errorf("got event %+v, want the snapshot of stream 2 complete", e)
	}
}

// The address changes again before the stream to the second address is active. That stream delivers nothing, and no
// event of the first stream is lost.
func TestSecondMoveReplacesAStreamThatIsNotActive(t *testing.T) {
	old, skipped, last := newFakeRelay(t), newFakeRelay(t), newFakeRelay(t)
	client, events, _ := startClient(t, old)
	first := old.openStream(t)
	expectSnapshot(t, events, 1, 0)
	client.SetAddress(skipped.addr())
	await.Receive(t, skipped.streams)
	client.SetAddress(last.addr())
	await.Receive(t, last.streams)
	first <- leftText
	expectLeft(t, events, 1)
	expectOpened(t, events, 3, true)
}
