package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// HTTPSource long-polls a list service. The service answers GET URL?rev=N&wait=S with a list, or with status 304 if
// nothing has changed since revision N within S seconds. The exported fields are set before Start.
type HTTPSource struct {
	URL       string
	Wait      fleet.Time // how long the service may delay its answer until a change
	OnRequest bool       // watch only from Watch(true) until a poll fails
	// MaxRetryInterval is the longest delay between two polls of a watch that fail. 0: that of reconcile.DialBackoff.
	MaxRetryInterval fleet.Time

	ctx    context.Context // passed to Start; ends watches and fetches
	sink   func(Update)
	client http.Client

	mu          sync.Mutex
	revision    uint64
	cancelWatch context.CancelFunc // nil if no watch is running
}

// Start starts a watch unless OnRequest is set. It returns an error if URL is invalid.
func (h *HTTPSource) Start(ctx context.Context, sink func(Update)) error {
	if _, err := url.Parse(h.URL); err != nil {
		return fmt.Errorf("endpoint list: %w", err)
	}
	h.ctx = ctx
	h.sink = sink
	if h.client.Transport == nil {
		h.client.Transport = newListTransport()
	}
	if !h.OnRequest {
		h.startWatch(ctx)
	}
	return nil
}

// newListTransport returns the default HTTP transport with a bounded time to connect. Without the bound, the system
// sends SYN packets at growing intervals, which last longer than an outage.
func newListTransport() http.RoundTripper {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	dialer := net.Dialer{Timeout: time.Duration(reconcile.ConnectTimeout)}
	transport.DialContext = dialer.DialContext
	return transport
}

// Watch starts a watch, which replaces the running one, or ends the running one. After a failure a watch retries with a
// backoff; if OnRequest is set, the failure ends the watch.
func (h *HTTPSource) Watch(enabled bool) {
	if enabled {
		h.startWatch(h.ctx)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopWatch()
}

// startWatch starts a watch, which replaces the running one, if any.
func (h *HTTPSource) startWatch(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopWatch()
	ctx, h.cancelWatch = context.WithCancel(ctx)
	go h.watch(ctx)
}

// stopWatch cancels the running watch, if any. The caller holds mu.
func (h *HTTPSource) stopWatch() {
	if h.cancelWatch != nil {
		h.cancelWatch()
		h.cancelWatch = nil
	}
}

// Fetch requests the complete list once and delivers it, or the failure.
func (h *HTTPSource) Fetch() {
	go func() {
		if err := h.fetch(h.ctx); err != nil && h.ctx.Err() == nil {
			h.sink(failedUpdate(err))
		}
	}()
}

func (h *HTTPSource) fetch(ctx context.Context) error {
	list, changed, err := h.request(ctx, 0, 0)
	if err != nil || !changed {
		return err
	}
	h.deliver(list)
	return nil
}

// watch polls until the context ends. The first poll returns at once, without waiting for a change.
func (h *HTTPSource) watch(ctx context.Context) {
	backoff := reconcile.NewDialBackoff(uint64(time.Now().UnixNano()), h.MaxRetryInterval)
	first := true
	for ctx.Err() == nil {
		err := h.poll(ctx, first)
		if err == nil {
			first = false
			backoff.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		h.sink(failedUpdate(err))
		if h.OnRequest {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(backoff.Next())):
		}
	}
}

// poll sends one request and delivers its result. The first poll of a watch delivers a list in any case, an empty delta
// if nothing has changed.
func (h *HTTPSource) poll(ctx context.Context, first bool) error {
	h.mu.Lock()
	revision := h.revision
	h.mu.Unlock()
	wait := h.Wait
	if first {
		wait = 0
	}
	list, changed, err := h.request(ctx, revision, wait)
	if err != nil {
		return err
	}
	switch {
	case changed:
		h.deliver(list)
	case first:
		h.sink(emptyDelta(revision))
	default:
		h.sink(Update{Unchanged: true})
	}
	return nil
}

func (h *HTTPSource) deliver(list EndpointList) {
	h.mu.Lock()
	h.revision = list.Revision
	h.mu.Unlock()
	h.sink(Update{Scope: list.scope(), List: list})
}

// request requests the changes since the revision; revision 0 requests the complete list. changed is false for the
// answer 304.
func (h *HTTPSource) request(
	ctx context.Context, revision uint64, wait fleet.Time,
) (list EndpointList, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(wait+reconcile.AnswerTimeout))
	defer cancel()
	request, err := h.newRequest(ctx, revision, wait)
	if err != nil {
		return EndpointList{}, false, fmt.Errorf("endpoint list: %w", err)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return EndpointList{}, false, fmt.Errorf("endpoint list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return EndpointList{}, false, nil
	case http.StatusOK:
	default:
		return EndpointList{}, false, fmt.Errorf("endpoint list: %w", &statusError{status: response.Status})
	}
	text, err := readAll(response.Body, maxListSize)
	if err != nil {
		return EndpointList{}, false, fmt.Errorf("endpoint list: response body: %w", err)
	}
	list, err = decodeList(text)
	return list, true, err
}

func (h *HTTPSource) newRequest(ctx context.Context, revision uint64, wait fleet.Time) (*http.Request, error) {
	target, err := url.Parse(h.URL)
	if err != nil {
		return nil, err
	}
	query := target.Query()
	query.Set("rev", strconv.FormatUint(revision, 10))
	query.Set("wait", strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	target.RawQuery = query.Encode()
	return http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
}
