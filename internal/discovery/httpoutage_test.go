package discovery

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/testing/fakes"
)

// servePoll answers a poll at once with revision 2, and holds further polls.
func servePoll(request *http.Request) (*http.Response, error) {
	if request.URL.Query().Get("rev") == "2" {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	body := io.NopCloser(strings.NewReader(`{"rev":2,"servers":[{"name":"a","addr":"x:1","state":"draining"}]}`))
	return &http.Response{StatusCode: http.StatusOK, Body: body, Request: request}, nil
}

// Guards against a drain that is missed after an outage of the list service: the list must arrive within what the drain
// timeout leaves, whatever the length of the outage and the random numbers are.
func TestHTTPSourcePollsWithinRetryIntervalAfterOutage(t *testing.T) {
	const maxRetryInterval = 440 * fleet.Millisecond
	for play := range 60 {
		synctest.Test(t, func(t *testing.T) {
			time.Sleep(time.Duration(play) * 137 * time.Microsecond) // the jitter depends on the time of the start
			backAt := time.Now().Add(time.Duration(1000+100*play) * time.Millisecond)
			listed := make(chan time.Time, 1)
			source := &HTTPSource{URL: "http://list:1/", Wait: 20 * fleet.Second, MaxRetryInterval: maxRetryInterval}
			source.client.Transport = &fakes.RecoveringTransport{BackAt: backAt, Serve: servePoll}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			err := source.Start(ctx, func(update Update) {
				if update.Scope == fleet.ListFull {
					listed <- time.Now()
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			if wait := (<-listed).Sub(backAt); wait > time.Duration(maxRetryInterval) {
				t.Errorf("listed %v after the service was back, want at most %v", wait, time.Duration(maxRetryInterval))
			}
		})
	}
}
