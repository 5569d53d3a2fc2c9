package relay

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"cressknot/internal/reconcile"
)

// streamOverlap is how long the predecessor of a newly opened stream is still read, for the events that were under way.
const streamOverlap = 200 * time.Millisecond

// stream is one connection for events.
type stream struct {
	id     uint64
	cancel context.CancelFunc
	// activate gets one element when the events of the stream are to be delivered: whether none was lost since its
	// predecessor.
	activate chan bool
}

// streamEnd reports the end of a stream.
type streamEnd struct {
	stream *stream
	err    error
}

// streamFollower maintains a stream of events. A stream passes through three states, each of which at most one stream
// is in: connecting, until the relay answers; standby, while the predecessor is still read, which is so only after a
// change of address; active, from when its events are delivered until it ends. The goroutine of run owns the fields,
// except the channels.
type streamFollower struct {
	client     *Client
	readers    sync.WaitGroup
	opened     chan *stream
	ended      chan streamEnd
	lastID     uint64
	connecting *stream
	standby    *stream
	active     *stream
	// drained reports that the active stream was read until the end of the overlap.
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
		backoff: reconcile.NewDialBackoff(client.options.Seed),
	}
}

// run follows streams until the context ends, and returns when all of them are closed.
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

// connect starts a stream in the connecting state.
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

// reconnect connects to the new address in place of streams that are not active yet.
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

// handleStreamOpened makes the stream active, or puts it on standby while its predecessor is still read: the last
// events of the predecessor come before the snapshot of the new stream.
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

// handleStreamEnded activates the stream on standby, or schedules another attempt. The end of a stream that was
// replaced changes nothing.
func (f *streamFollower) handleStreamEnded(end streamEnd) {
	end.stream.cancel()
	switch end.stream {
	case f.active:
		f.active = nil
		if f.standby != nil {
			// A connection that is reset may lose events that were not read yet; one that is closed does not.
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

// awaitActivation is called by the reader of a stream that the relay has answered. It returns whether no event was lost
// since the predecessor, or an error where the stream was replaced before it became active.
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
