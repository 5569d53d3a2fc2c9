package discovery

import (
	"context"
	"testing"
	"time"
)

// startSource starts a source, which runs until the end of the test, and returns a channel with its updates.
func startSource(t *testing.T, source EndpointSource) chan Update {
	t.Helper()
	updates := make(chan Update, 1024)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	if err := source.Start(ctx, func(u Update) { updates <- u }); err != nil {
		t.Fatal(err)
	}
	return updates
}

// receive returns the next element of the channel. It ends the test if none arrives within 20 s.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case element := <-from:
		return element
	case <-time.After(20 * time.Second):
		t.Fatal("no element received within 20 s")
		panic("unreachable")
	}
}
