package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/fleet"
	"cressknot/internal/testing/fakes"
)

// serveStream answers a request for the event stream with one proxy, and keeps the stream open.
func serveStream(request *http.Request) (*http.Response, error) {
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.Copy(writer, strings.NewReader("event: joined\ndata: node=1&locality=a&w=5&cold=1\n\n:\n"))
		<-request.Context().Done()
		_ = writer.Close() // always succeeds
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: reader, Request: request}, nil
}

// Guards against a drain that is missed after an outage of the relay: proxies that join as the relay is back must be
// known within what the drain timeout leaves, whatever the length of the outage and the random numbers are.
func TestStreamIsOpenedWithinRetryIntervalAfterOutage(t *testing.T) {
	const maxRetryInterval = 440 * fleet.Millisecond
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			backAt := time.Now().Add(time.Duration(1000+100*seed) * time.Millisecond)
			opened := make(chan time.Time, 1)
			client := New(Options{
				Zones:            []string{"a"},
				ProxyCount:       10,
				Log:              zerolog.Nop(),
				Seed:             seed * 0x9e3779b97f4a7c15,
				MaxRetryInterval: maxRetryInterval,
				OnEvent: func(event StreamEvent) {
					if event.Kind == StreamOpened {
						opened <- time.Now()
					}
				},
			})
			client.streamClient.Transport = &fakes.RecoveringTransport{BackAt: backAt, Serve: serveStream}
			ctx, cancel := context.WithCancel(context.Background())
			client.Start(ctx)
			if wait := (<-opened).Sub(backAt); wait > time.Duration(maxRetryInterval) {
				t.Errorf("seed %d: opened %v after the relay was back, want at most %v",
					seed, wait, time.Duration(maxRetryInterval))
			}
			cancel()
			client.Wait()
		})
	}
}
