package relay

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"cressknot/internal/reconcile"
)

// streamOverlap is how long the old stream is still read after a new one was opened, to receive events in transit.
const streamOverlap = 200 * time.Millisecond

// stream is one connection to the relay's event stream.
type stream struct {
	id     uint64
	cancel context.CancelFunc
	// activate receives one element when delivery of the stream's events may begin: whether the stream is continuous,
	// that is, no event was lost since its predecessor.
	activate chan bool
}

// streamEnd reports the end of a stream and its cause.
type streamEnd struct {
	stream *stream
	err    error
}

// streamFollower keeps an event stream open. A stream passes through three states, and at most one stream is in each:
//   - connecting: until the relay answers the request;
//   - standby: while the predecessor is still read, which happens only after a change of address;
//   - active: from the delivery of its first event until it ends.
//
// Only the goroutine of run may use the fields, except for the channels.
type streamFollower struct {
	client     *Client
	readers    sync.WaitGroup
	opened     chan *stream
	ended      chan streamEnd
	lastID     uint64
	connecting *stream
	standby    *stream
	active     *stream
	// overlapElapsed reports that the active stream was read for the whole streamOverlap.
	overlapElapsed bool
	overlapEnd     <-chan time.Time
	retry          <-chan time.Time
	backoff        reconcile.DialBackoff
}

func newStreamFollower(client *Client) *streamFollower {
	return &streamFollower{
		client:  client,
		opened:  make(chan *stream),
		ended:   make(chan streamEnd),
		backoff: reconcile.NewDialBackoff(client.options.Seed, client.options.MaxRetryInterval),
	}
}

// run keeps a stream open until the context is cancelled, and returns when all streams are closed.
func (f *streamFollower) run(ctx context.Context) {
	defer f.readers.Wait()
	f.connect(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.client.addressChanged:
			f.reconnect(ctx)
		case <-f.retry:
			f.retry = nil
			if f.connecting == nil {
				f.connect(ctx)
			}
		case opened := <-f.opened:
			f.handleStreamOpened(opened)
		case <-f.overlapEnd:
			f.overlapEnd = nil
			f.overlapElapsed = true
			f.active.cancel()
		case end := <-f.ended:
			f.handleStreamEnded(end)
		}
	}
}

// connect starts a new stream in the connecting state.
func (f *streamFollower) connect(ctx context.Context) {
	f.lastID++
	streamCtx, cancel := context.WithCancel(ctx)
	s := &stream{id: f.lastID, cancel: cancel, activate: make(chan bool, 1)}
	f.connecting = s
	f.readers.Go(func() {
		err := f.readStream(streamCtx, s)
		select {
		case f.ended <- streamEnd{stream: s, err: err}:
		case <-ctx.Done():
		}
	})
}

// reconnect cancels the streams that are not active yet and connects to the new address.
func (f *streamFollower) reconnect(ctx context.Context) {
	if f.connecting != nil {
		f.connecting.cancel()
	}
	if f.standby != nil {
		f.standby.cancel()
		f.clearStandby()
	}
	f.connect(ctx)
}

func (f *streamFollower) clearStandby() {
	f.standby = nil
	f.overlapEnd = nil
}

// handleStreamOpened activates the stream, or puts it on standby while its predecessor is still read, so that the last
// events of the predecessor are delivered before the snapshot of the new stream.
func (f *streamFollower) handleStreamOpened(opened *stream) {
	if opened != f.connecting {
		return
	}
	f.connecting = nil
	f.backoff.Reset()
	f.client.countStream()
	if f.active == nil {
		f.active = opened
		opened.activate <- false
		return
	}
	f.standby = opened
	f.overlapElapsed = false
	f.overlapEnd = time.After(streamOverlap)
}

// handleStreamEnded activates the stream on standby, or schedules a reconnection. It ignores the end of a stream that
// was replaced.
func (f *streamFollower) handleStreamEnded(end streamEnd) {
	end.stream.cancel()
	switch end.stream {
	case f.active:
		f.active = nil
		if f.standby != nil {
			// A connection reset may lose events that were not read yet; a regular close does not.
			closed := errors.Is(end.err, io.ErrUnexpectedEOF)
			f.activateStandby(f.overlapElapsed || closed)
			return
		}
	case f.standby:
		f.clearStandby()
	case f.connecting:
		f.connecting = nil
	default:
		return
	}
	f.client.sampledLog.Warn().Err(end.err).Uint64("stream", end.stream.id).Msg("relay event stream ended")
	f.retry = time.After(time.Duration(f.backoff.Next()))
}

func (f *streamFollower) activateStandby(continuous bool) {
	f.active = f.standby
	f.clearStandby()
	f.active.activate <- continuous
}

// awaitActivation reports a stream as opened and blocks until it may deliver its events. The goroutine that reads the
// stream calls it. It returns whether the stream is continuous, or an error if the stream was replaced before it became
// active.
func (f *streamFollower) awaitActivation(ctx context.Context, s *stream) (continuous bool, err error) {
	select {
	case f.opened <- s:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	select {
	case continuous := <-s.activate:
		return continuous, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func (c *Client) countStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statistics.Streams++
}
