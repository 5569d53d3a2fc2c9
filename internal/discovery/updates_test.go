package discovery

import (
	"context"
	"testing"
	"time"
)

// start starts a source and returns its updates. The source runs until the end of the test.
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

// next receives one element, or ends the test when none comes.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case element := <-from:
		return element
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came within 20 s")
		panic("unreachable")
	}
}
