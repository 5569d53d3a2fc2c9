package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// HTTPSource long-polls a list service. GET URL?rev=N&wait=S answers with a list, or with status 304 where nothing has
// changed since revision N within S seconds.
type HTTPSource struct {
	URL       string
	Wait      fleet.Time // how long a poll waits for a change
	OnRequest bool       // watch only after Watch(true), and until a poll fails

	ctx    context.Context // of Start: it ends what Watch and Fetch begin
	sink   func(Update)
	client http.Client

	mu          sync.Mutex
	revision    uint64
	cancelWatch context.CancelFunc // nil: no watch runs
}

// Start begins to watch the service, unless OnRequest is set.
func (h *HTTPSource) Start(ctx context.Context, sink func(Update)) error {
	if _, err := url.Parse(h.URL); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	h.ctx = ctx
	h.sink = sink
	if !h.OnRequest {
		h.startWatch(ctx)
	}
	return nil
}

// Watch starts a watch in place of the one that runs, or ends it. After a failure a watch polls again with a backoff,
// unless OnRequest is set: then the failure ends it.
func (h *HTTPSource) Watch(enabled bool) {
	if enabled {
		h.startWatch(h.ctx)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopWatch()
}

// startWatch replaces the watch that runs, if any.
func (h *HTTPSource) startWatch(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopWatch()
	ctx, h.cancelWatch = context.WithCancel(ctx)
	go h.watch(ctx)
}

// stopWatch cancels the watch that runs, if any. The caller holds the lock.
func (h *HTTPSource) stopWatch() {
	if h.cancelWatch != nil {
		h.cancelWatch()
		h.cancelWatch = nil
	}
}

// Fetch requests the complete list once.
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

// watch polls until the context ends. The first poll does not wait for a change.
func (h *HTTPSource) watch(ctx context.Context) {
	backoff := reconcile.NewDialBackoff(uint64(time.Now().UnixNano()))
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

// poll polls once. The first poll of a watch is answered by an update with a list even where nothing has changed.
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

// request asks the service for what has changed since the revision.
func (h *HTTPSource) request(
	ctx context.Context, revision uint64, wait fleet.Time,
) (list EndpointList, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(wait+reconcile.AnswerTimeout))
	defer cancel()
	request, err := h.newRequest(ctx, revision, wait)
	if err != nil {
		return EndpointList{}, false, fmt.Errorf("list: %w", err)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return EndpointList{}, false, fmt.Errorf("list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return EndpointList{}, false, nil
	case http.StatusOK:
	default:
		return EndpointList{}, false, fmt.Errorf("list: %w", &statusError{status: response.Status})
	}
	text, err := readAll(response.Body, maxListSize)
	if err != nil {
		return EndpointList{}, false, fmt.Errorf("list: answer: %w", err)
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
