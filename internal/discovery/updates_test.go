package discovery

import (
	"context"
	"testing"
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
