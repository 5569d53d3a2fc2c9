package fakes

import (
	"net/http"
	"syscall"
	"time"
)

// RecoveringTransport is an HTTP transport to a server that refuses connections until a time.
type RecoveringTransport struct {
	BackAt time.Time
	Serve  func(*http.Request) (*http.Response, error) // answers requests from BackAt on
}

// RoundTrip implements http.RoundTripper.
func (r *RecoveringTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if time.Now().Before(r.BackAt) {
		return nil, syscall.ECONNREFUSED
	}
	return r.Serve(request)
}
