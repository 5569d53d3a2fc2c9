package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// platformPath is the path of the endpoint list. With watchQuery and a known revision, the request is a watch.
const (
	platformPath = "/v1/endpoints"
	watchQuery   = "?watch=1&after=%d"
)

// initialLineSize is the initial size of a watch's line buffer in bytes. The buffer grows up to maxPlatformListSize.
const initialLineSize = 4 << 10

// Timeouts that end a watch.
var (
	errHeartbeatTimeout = errors.New("no data received")
	errLineTimeout      = errors.New("no complete line received")
)

// openWatch starts a watch at the current address.
func (p *PlatformSource) openWatch(ctx context.Context, unanswered bool) *platformWatch {
	ctx, cancel := context.WithCancel(ctx)
	watch := &platformWatch{cancel: cancel, unanswered: unanswered}
	addr := p.currentAddr
	url := "http://" + addr + platformPath + fmt.Sprintf(watchQuery, p.Revision)
	p.workers.Go(func() {
		call := p.startCall(watchCall, addr, url)
		err := p.readWatch(ctx, call, func(list *EndpointList) {
			p.send(ctx, watchMessage{watch: watch, list: list})
		})
		call.end(err)
		p.send(ctx, watchMessage{watch: watch, err: fmt.Errorf("endpoint list: watch at %s: %w", addr, err)})
	})
	return watch
}

// openFetch starts a fetch at the current address.
func (p *PlatformSource) openFetch(ctx context.Context) {
	addr := p.currentAddr
	knownRevision := p.Revision
	p.workers.Go(func() {
		call := p.startCall(fetchCall, addr, "http://"+addr+platformPath)
		list, err := p.fetch(ctx, call)
		call.end(err)
		if err != nil {
			err = fmt.Errorf("endpoint list: fetch from %s: %w", addr, err)
		}
		p.send(ctx, fetchMessage{list: list, knownRevision: knownRevision, err: err})
	})
}

// send passes a message to run unless the context ends first.
func (p *PlatformSource) send(ctx context.Context, message platformMessage) {
	select {
	case p.messages <- message:
	case <-ctx.Done():
	}
}

// fetch requests the complete list.
func (p *PlatformSource) fetch(ctx context.Context, call *platformCall) (*EndpointList, error) {
	ctx, cancel := context.WithTimeout(ctx, platformHeaderTimeout+platformHeartbeatTimeout)
	defer cancel()
	body, err := p.get(ctx, call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	text, err := readAll(body, maxPlatformListSize)
	if err != nil {
		return nil, err
	}
	return p.Decode(text)
}

// get returns the response body, which the caller closes. Any status other than 200 is a *statusError.
func (p *PlatformSource) get(ctx context.Context, call *platformCall) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, call.url, nil)
	if err != nil {
		return nil, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, &statusError{status: response.Status}
	}
	call.markAnswered()
	return response.Body, nil
}

// readWatch reads a watch until the connection ends, a timeout expires or a line can't be decoded. It calls receive
// with each list, and with nil for each heartbeat. The returned error is never nil.
func (p *PlatformSource) readWatch(
	ctx context.Context, call *platformCall, receive func(*EndpointList),
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	body, err := p.get(ctx, call)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	heartbeat := time.AfterFunc(platformHeartbeatTimeout, func() {
		cancel(fmt.Errorf("%w within %v", errHeartbeatTimeout, platformHeartbeatTimeout))
	})
	defer heartbeat.Stop()
	line := time.AfterFunc(p.lineTimeout, func() {
		cancel(fmt.Errorf("%w within %v", errLineTimeout, p.lineTimeout))
	})
	defer line.Stop()

	lines := bufio.NewScanner(&watchdogReader{reader: body, watchdog: heartbeat, timeout: platformHeartbeatTimeout})
	lines.Buffer(make([]byte, 0, initialLineSize), maxPlatformListSize)
	lines.Split(splitCompleteLines)
	for lines.Scan() {
		line.Reset(p.lineTimeout)
		list, err := p.decodeLine(lines.Bytes())
		if err != nil {
			return err
		}
		receive(list)
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// decodeLine decodes one line of a watch. It returns nil for an empty line, which is a heartbeat.
func (p *PlatformSource) decodeLine(line []byte) (*EndpointList, error) {
	text := bytes.TrimSpace(line)
	if len(text) == 0 {
		return nil, nil
	}
	return p.Decode(text)
}

// watchdogReader restarts a watchdog timer after each read.
type watchdogReader struct {
	reader   io.Reader
	watchdog *time.Timer
	timeout  time.Duration
}

// Read reads from the underlying reader and restarts the watchdog timer, also after an error.
func (r *watchdogReader) Read(buffer []byte) (int, error) {
	n, err := r.reader.Read(buffer)
	r.watchdog.Reset(r.timeout)
	return n, err
}

// splitCompleteLines is a bufio.SplitFunc for lines that end with a newline. A last line without one is an error: the
// connection broke off within it.
func splitCompleteLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}
