package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// heartbeatTimeout ends a stream without a line; the relay sends one at least every second.
	heartbeatTimeout = 2600 * time.Millisecond

	// The buffer for a line of the stream grows from initialLineSize to maxLineSize, in bytes.
	initialLineSize = 4 << 10
	maxLineSize     = 64 << 10
)

// errHeartbeatTimeout is the cause of the end of a stream that sent nothing for heartbeatTimeout.
var errHeartbeatTimeout = errors.New("no event or heartbeat on the relay event stream")

// statusError is an HTTP status other than 200.
type statusError struct {
	addr   string
	status string
}

func (e *statusError) Error() string {
	return "relay " + e.addr + " answered the event stream request with HTTP status " + e.status
}

// readStream reads one stream and delivers its events until it ends. It never returns nil; io.ErrUnexpectedEOF
// reports a connection that the relay closed.
func (f *streamFollower) readStream(ctx context.Context, s *stream) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	body, err := f.client.requestStream(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	continuous, err := f.awaitActivation(ctx, s)
	if err != nil {
		return err
	}
	deliver := f.client.options.OnEvent
	deliver(StreamEvent{Stream: s.id, Kind: StreamOpened, Continuous: continuous})

	watchdog := time.AfterFunc(heartbeatTimeout, func() {
		cancel(fmt.Errorf("%w for %v", errHeartbeatTimeout, heartbeatTimeout))
	})
	defer watchdog.Stop()
	decoder := eventDecoder{
		zones:      f.client.options.Zones,
		proxyCount: f.client.options.ProxyCount,
		stream:     s.id,
		deliver:    deliver,
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, initialLineSize), maxLineSize)
	for lines.Scan() {
		watchdog.Reset(heartbeatTimeout)
		if err := decoder.addLine(lines.Text()); err != nil {
			return err
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// requestStream asks the relay for its events and returns the body of the answer.
func (c *Client) requestStream(ctx context.Context) (io.ReadCloser, error) {
	addr := c.address()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/api/stream", nil)
	if err != nil {
		return nil, err
	}
	response, err := c.streamClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, &statusError{addr: addr, status: response.Status}
	}
	return response.Body, nil
}

// eventDecoder assembles the lines of a stream of server-sent events into events.
type eventDecoder struct {
	zones      []string
	proxyCount int
	stream     uint64
	deliver    func(StreamEvent)

	name             string // of the event that is being read
	data             string
	snapshotComplete bool
}

// addLine takes in one line. An empty line ends an event; a comment is a heartbeat, the first of which ends the
// snapshot.
func (d *eventDecoder) addLine(line string) error {
	if line == "" {
		return d.endEvent()
	}
	field, value, _ := strings.Cut(line, ":")
	switch field {
	case "":
		d.endSnapshot()
	case "event":
		d.name = strings.TrimSpace(value)
	case "data":
		d.data = strings.TrimSpace(value)
	}
	return nil
}

func (d *eventDecoder) endEvent() error {
	if d.name == "" {
		return nil
	}
	event, err := parseEvent(d.name, d.data, d.zones, d.proxyCount)
	if err != nil {
		return err
	}
	if event != nil {
		d.deliver(StreamEvent{Stream: d.stream, Kind: ProxyEvent, Event: event})
	}
	d.name = ""
	d.data = ""
	return nil
}

func (d *eventDecoder) endSnapshot() {
	if d.snapshotComplete {
		return
	}
	d.snapshotComplete = true
	d.deliver(StreamEvent{Stream: d.stream, Kind: SnapshotComplete})
}
