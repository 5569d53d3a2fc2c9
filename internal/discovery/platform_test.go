package discovery

import (
	"context"
	"errors"
	"testing"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/testing/await"
)

// expectUpdate checks that the next update has the scope and the revision, and an error only if it is a failure.
func expectUpdate(t *testing.T, updates chan Update, scope fleet.ListScope, revision uint64) {
	t.Helper()
	update := await.Receive(t, updates)
	failed := scope == fleet.ListFailed
	if update.Unchanged || update.Scope != scope || update.List.Revision != revision || (update.Err != nil) != failed {
		t.Fatalf("%+v, want scope %v and revision %d", update, scope, revision)
	}
}

func TestPlatformSourceAnswersEachWatchOnce(t *testing.T) {
	service := newFakePlatform(t)
	source := service.source()
	updates := startSource(t, source)

	source.Watch(true)
	await.Receive(t, service.watches).lines <- rejectWatch
	expectUpdate(t, updates, fleet.ListFailed, 0)

	source.Watch(true)
	watch := await.Receive(t, service.watches)
	if watch.query != "watch=1&after=40" {
		t.Errorf("query %s", watch.query)
	}
	watch.lines <- heartbeatLine
	expectUpdate(t, updates, fleet.ListDelta, 40)
	change := listText(41, false, targetText("s-1", "in_service", 0))
	watch.lines <- change[:30] // a line may arrive in several parts
	watch.lines <- change[30:] + "\n"
	expectUpdate(t, updates, fleet.ListDelta, 41)
	watch.lines <- "{\"rev\":42,"
	close(watch.lines)
	expectUpdate(t, updates, fleet.ListFailed, 0)

	source.Watch(true)
	await.Receive(t, service.watches).lines <- listText(42, true) + "\n"
	expectUpdate(t, updates, fleet.ListFull, 42)
	source.Fetch()
	expectUpdate(t, updates, fleet.ListFull, 50)
}

func TestPlatformSourceLosesAndRepeatsNothingInAMove(t *testing.T) {
	service, moved := newFakePlatform(t), newFakePlatform(t)
	source := service.source()
	updates := startSource(t, source)
	source.Watch(true)
	watch := await.Receive(t, service.watches)
	watch.lines <- listText(42, true) + "\n"
	expectUpdate(t, updates, fleet.ListFull, 42)

	source.SetAddress(moved.addr())
	newWatch := await.Receive(t, moved.watches)
	if newWatch.query != "watch=1&after=42" {
		t.Errorf("query %s", newWatch.query)
	}
	watch.lines <- listText(43, false) + "\n"
	expectUpdate(t, updates, fleet.ListDelta, 43)
	newWatch.lines <- listText(43, false) + "\n" // already delivered
	if update := await.Receive(t, updates); !update.Unchanged {
		t.Errorf("delivered twice: %+v", update)
	}
	newWatch.lines <- listText(44, false) + "\n"
	expectUpdate(t, updates, fleet.ListDelta, 44)
	source.Fetch()
	expectUpdate(t, updates, fleet.ListFull, 50)
}

// A service that keeps sending bytes without ever completing a line resets the heartbeat timeout each time. The line
// timeout must end such a watch, and its Watch is answered by one failure.
func TestPlatformSourceEndsAWatchWithoutAnEndOfLine(t *testing.T) {
	service := newFakePlatform(t)
	source := &PlatformSource{Addr: service.addr(), lineTimeout: 300 * time.Millisecond}
	updates := startSource(t, source)
	source.Watch(true)
	sendUntilUpdate(t, await.Receive(t, service.watches), updates)
	source.Watch(true)
	await.Receive(t, service.watches).lines <- heartbeatLine
	if update := await.Receive(t, updates); update.Scope != fleet.ListDelta || len(updates) > 0 {
		t.Errorf("%+v and %d further updates, want one empty delta", update, len(updates))
	}
}

// sendUntilUpdate sends bytes without a newline until the source delivers an update, which must be a failure.
func sendUntilUpdate(t *testing.T, watch *fakeWatch, updates chan Update) {
	t.Helper()
	deadline := time.After(20 * time.Second)
	for {
		select {
		case watch.lines <- "{":
		case update := <-updates:
			if update.Scope != fleet.ListFailed || update.Err == nil {
				t.Errorf("%+v, want a failure", update)
			}
			return
		case <-deadline:
			t.Fatal("the watch has not ended within 20 s")
		}
	}
}

// The watch delivers newer changes while a fetch is in progress, so the fetched list is stale: it answers the Fetch but
// must not revert those changes.
func TestPlatformSourceDropsAFetchedListThatIsStale(t *testing.T) {
	service := newFakePlatform(t)
	service.holdFetches()
	source := service.source()
	updates := startSource(t, source)
	source.Watch(true)
	watch := await.Receive(t, service.watches)
	watch.lines <- listText(41, true) + "\n"
	expectUpdate(t, updates, fleet.ListFull, 41)
	source.Fetch()
	await.Receive(t, service.fetched)
	watch.lines <- listText(42, false) + "\n"
	expectUpdate(t, updates, fleet.ListDelta, 42)
	service.fetches <- listText(41, true, targetText("s-1", "in_service", 0))
	update := await.Receive(t, updates)
	if update.Scope != fleet.ListDelta || update.List.Revision != 42 || len(update.List.Endpoints) > 0 {
		t.Errorf("%+v, want an empty delta", update)
	}
}

func TestPlatformSourceKeepsTheOldAddressWhereTheNewOneFails(t *testing.T) {
	service := newFakePlatform(t)
	failures := make(chan error, 10)
	source := &PlatformSource{Addr: service.addr(), OnError: func(err error) { failures <- err }}
	updates := startSource(t, source)
	source.Watch(true)
	watch := await.Receive(t, service.watches)
	watch.lines <- listText(1, true) + "\n"
	await.Receive(t, updates)
	source.SetAddress("127.0.0.1:1")
	if err := await.Receive(t, failures); err == nil || errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	watch.lines <- listText(2, false) + "\n"
	expectUpdate(t, updates, fleet.ListDelta, 2)
}
