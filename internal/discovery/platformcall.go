package discovery

import (
	"time"

	"github.com/rs/zerolog"
)

// Kinds of calls to the platform's discovery service, for the log.
const (
	watchCall = "watch"
	fetchCall = "fetch"
)

// platformCall logs one call to the platform's discovery service: its start, the header of its response and its end.
// Only the goroutine that makes the call may use it.
type platformCall struct {
	log      zerolog.Logger
	url      string
	began    time.Time
	answered bool
}

// startCall logs the start of a call.
func (p *PlatformSource) startCall(kind, addr, url string) *platformCall {
	call := &platformCall{
		log:   p.Log.With().Str("call", kind).Str("discovery", addr).Logger(),
		url:   url,
		began: time.Now(),
	}
	call.log.Info().Str("url", url).Msg("discovery call started")
	return call
}

// markAnswered logs that the response has begun with status 200.
func (c *platformCall) markAnswered() {
	c.answered = true
	c.log.Info().Dur("after", time.Since(c.began)).Msg("discovery call answered")
}

// end logs why the call ended; err is nil for a fetch that was answered completely.
func (c *platformCall) end(err error) {
	c.log.Info().Err(err).Bool("answered", c.answered).Dur("after", time.Since(c.began)).Msg("discovery call ended")
}
