// Package await waits for events in tests, with a limit that only a failure reaches.
package await

import (
	"testing"
	"time"
)

// limit is long enough for a busy machine.
const limit = 20 * time.Second

// Receive returns the next element of the channel. It ends the test if none arrives within 20 s.
func Receive[T any](t testing.TB, from <-chan T) T {
	t.Helper()
	select {
	case element := <-from:
		return element
	case <-time.After(limit):
		t.Fatalf("no element received within %v", limit)
		panic("unreachable")
	}
}
