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
	// heartbeatTimeout is how long a stream may send no line; the relay sends one at least every second.
	heartbeatTimeout = 2600 * time.Millisecond

	// The buffer for a line of the stream grows from initialLineSize to maxLineSize, in bytes.
	initialLineSize = 4 << 10
	maxLineSize     = 64 << 10
)

// errHeartbeatTimeout reports a stream that sent no line for heartbeatTimeout.
var errHeartbeatTimeout = errors.New("no event or heartbeat on the relay event stream")

// statusError reports an HTTP status other than 200 in the answer to the request for the event stream.
type statusError struct {
	addr   string // host:port of the relay
	status string // such as "503 Service Unavailable"
}

func (e *statusError) Error() string {
	return "relay " + e.addr + " answered the event stream request with HTTP status " + e.status
}

// readStream opens one stream and delivers its events until it ends. The error is never nil; io.ErrUnexpectedEOF
// reports that the relay closed the connection.
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

// requestStream requests the event stream and returns the body of the response, which the caller closes.
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

// eventDecoder decodes the lines of a stream of server-sent events.
type eventDecoder struct {
	zones      []string
	proxyCount int
	stream     uint64
	deliver    func(StreamEvent)

	name             string // name of the event being read; "" between events
	data             string // data of the event being read
	snapshotComplete bool
}

// addLine decodes one line. An empty line ends an event. A comment is a heartbeat; the first one ends the snapshot.
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

// endEvent parses and delivers the event that was read, if any.
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

// endSnapshot reports the snapshot as complete, once.
func (d *eventDecoder) endSnapshot() {
	if d.snapshotComplete {
		return
	}
	d.snapshotComplete = true
	d.deliver(StreamEvent{Stream: d.stream, Kind: SnapshotComplete})
}
