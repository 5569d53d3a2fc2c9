package discovery

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Timeouts and limits of the connections to the platform's discovery service.
const (
	// platformDialTimeout suits a service on the same network. A machine behind a network partition never answers, and a
	// call that began before the end of the partition delays the next one until its timeout.
	platformDialTimeout = 250 * time.Millisecond

	// platformHeaderTimeout allows for a service that handles one request at a time and rejects requests that have been
	// queued for some seconds.
	platformHeaderTimeout = 3 * time.Second

	// platformHeartbeatTimeout ends a watch on which no data arrives. The service sends an empty line every 2 s, and its
	// changes count as known 6 s after it made them.
	platformHeartbeatTimeout = 3500 * time.Millisecond

	// platformLineTimeout ends a watch on which no line is completed: a change counts as known after this time, even if
	// its line has not been read.
	platformLineTimeout = 6 * time.Second

	// maxPlatformListSize is in bytes and suffices for about 50,000 servers.
	maxPlatformListSize = 8 << 20

	// maxPlatformNameSize limits a name or an address, in bytes. DNS allows 253, and some names have a path in front.
	maxPlatformNameSize = 512

	// maxPlatformHeaderSize is in bytes.
	maxPlatformHeaderSize = 16 << 10

	// maxPendingFetches is the maximum number of fetches sent at once; further requests for a fetch are dropped.
	maxPendingFetches = 4
)

// PlatformSource is a client of the discovery service of the users' platform. A Fetch delivers the complete list; a
// watch lasts until its connection ends. Each Watch(true) and each Fetch is first answered by exactly one update, which
// may be a failure; changes follow in order. The exported fields are set before Start.
type PlatformSource struct {
	Addr     string      // host:port
	Revision uint64      // of the list known before Start; changes after it are watched
	Zones    []string    // zones that a list may contain
	Kinds    []string    // server kinds that a list may contain
	OnError  func(error) // receives errors that no update reports, such as a failed change of address; may be nil
	Log      zerolog.Logger

	lineTimeout    time.Duration // 0: platformLineTimeout
	dial           dialFunc      // nil: over TCP
	sink           func(Update)
	client         http.Client
	pendingChanged chan struct{} // has an element when pending has changed
	messages       chan platformMessage

	mu      sync.Mutex
	pending platformRequests

	// From Start on, the goroutine of run owns the fields below, and Revision.
	currentAddr string
	active      *platformWatch // the watch whose updates are delivered; nil: none
	standby     *platformWatch // connects to a new address and replaces active once it receives a message; nil: none
	workers     sync.WaitGroup
}

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// platformRequests holds the requests that run has not yet handled, and the address to use.
type platformRequests struct {
	watch   bool
	stop    bool
	fetches int
	addr    string
}

// platformMessage is a message from a connection to run: a watchMessage or a fetchMessage.
type platformMessage interface{ platformMessage() }

// watchMessage is a message of a watch. It is a heartbeat if neither list nor err is set.
type watchMessage struct {
	watch *platformWatch
	list  *EndpointList
	err   error // why the watch ended
}

// fetchMessage is the result of a fetch: either a list or an error.
type fetchMessage struct {
	list          *EndpointList
	knownRevision uint64 // Revision of the source when the fetch was sent
	err           error
}

func (watchMessage) platformMessage() {}
func (fetchMessage) platformMessage() {}

// platformWatch is one connection that watches the list.
type platformWatch struct {
	cancel     context.CancelFunc
	unanswered bool // the Watch(true) that started it has not been answered yet
}

// stop cancels the watch. It does nothing for a nil watch.
func (w *platformWatch) stop() {
	if w != nil {
		w.cancel()
	}
}

// Start makes the source usable until the context ends. It connects only after Watch or Fetch is called. The returned
// error is always nil.
func (p *PlatformSource) Start(ctx context.Context, sink func(Update)) error {
	p.sink = sink
	p.pendingChanged = make(chan struct{}, 1)
	p.messages = make(chan platformMessage)
	p.pending.addr = p.Addr
	p.currentAddr = p.Addr
	p.lineTimeout = cmp.Or(p.lineTimeout, platformLineTimeout)
	p.client.Transport = &http.Transport{
		DialContext:            p.dialWithTimeout,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		ResponseHeaderTimeout:  platformHeaderTimeout,
		MaxResponseHeaderBytes: maxPlatformHeaderSize,
	}
	go p.run(ctx)
	return nil
}

// dialWithTimeout connects to the service within platformDialTimeout.
func (p *PlatformSource) dialWithTimeout(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, platformDialTimeout)
	defer cancel()
	if p.dial != nil {
		return p.dial(ctx, network, addr)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, addr)
}

// Watch starts a watch, which replaces the running one, or ends the running one.
func (p *PlatformSource) Watch(enabled bool) {
	p.updatePending(func(pending *platformRequests) {
		pending.watch = enabled
		pending.stop = !enabled
	})
}

// Fetch requests the complete list once. At most maxPendingFetches requests are pending; further ones are dropped.
func (p *PlatformSource) Fetch() {
	p.updatePending(func(pending *platformRequests) {
		pending.fetches = min(pending.fetches+1, maxPendingFetches)
	})
}

// SetAddress changes the address (host:port) of the service. A running watch continues at the old address until the new
// one answers.
func (p *PlatformSource) SetAddress(addr string) {
	p.updatePending(func(pending *platformRequests) { pending.addr = addr })
}

// updatePending changes the pending requests and wakes run.
func (p *PlatformSource) updatePending(change func(*platformRequests)) {
	p.mu.Lock()
	change(&p.pending)
	p.mu.Unlock()
	select {
	case p.pendingChanged <- struct{}{}:
	default:
	}
}

// takeRequests returns the pending requests and clears them.
func (p *PlatformSource) takeRequests() platformRequests {
	p.mu.Lock()
	defer p.mu.Unlock()
	requests := p.pending
	p.pending = platformRequests{addr: requests.addr}
	return requests
}

// run handles requests and messages until the context ends, then waits for the connections to end.
func (p *PlatformSource) run(ctx context.Context) {
	defer p.workers.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.pendingChanged:
			p.handleRequests(ctx, p.takeRequests())
		case message := <-p.messages:
			switch message := message.(type) {
			case fetchMessage:
				p.handleFetch(message)
			case watchMessage:
				p.handleWatch(message)
			}
		}
	}
}

// handleRequests starts and ends watches, opens a standby watch after a change of address, and starts fetches.
func (p *PlatformSource) handleRequests(ctx context.Context, requests platformRequests) {
	moved := requests.addr != p.currentAddr
	p.currentAddr = requests.addr
	switch {
	case requests.stop:
		p.stopActive()
		p.stopStandby()
	case requests.watch:
		p.stopActive()
		p.stopStandby()
		p.active = p.openWatch(ctx, true)
	case moved && p.active != nil:
		p.stopStandby()
		p.standby = p.openWatch(ctx, false)
	}
	for range requests.fetches {
		p.openFetch(ctx)
	}
}

func (p *PlatformSource) stopActive() {
	p.active.stop()
	p.active = nil
}

func (p *PlatformSource) stopStandby() {
	p.standby.stop()
	p.standby = nil
}

// handleFetch delivers a fetched list, or an empty delta if the list is stale: a watch delivered newer changes while
// the fetch was in progress.
func (p *PlatformSource) handleFetch(message fetchMessage) {
	if message.err != nil {
		p.sink(failedUpdate(message.err))
		return
	}
	list := message.list
	stale := list.Revision < p.Revision && list.Revision >= message.knownRevision
	if stale || p.alreadyDelivered(list) {
		p.sink(emptyDelta(p.Revision))
		return
	}
	p.deliver(list)
}

// handleWatch handles a message of the active or the standby watch and ignores those of watches that were stopped.
func (p *PlatformSource) handleWatch(message watchMessage) {
	switch message.watch {
	case p.active:
		if message.err != nil {
			p.activeFailed(message.err)
			return
		}
		p.deliverWatched(message, false)
	case p.standby:
		if message.err != nil {
			p.standbyFailed(message.err)
			return
		}
		p.activateStandby()
		p.deliverWatched(message, true)
	}
}

// activeFailed ends the active watch. Instead of delivering the failure it leaves the answer to the standby watch, if
// there is one.
func (p *PlatformSource) activeFailed(err error) {
	p.stopActive()
	if p.standby != nil {
		p.standby.unanswered = true
		return
	}
	p.sink(failedUpdate(err))
}

// standbyFailed ends a change of address that failed. The active watch continues at the old address. If it has ended in
// the meantime, the failure is delivered.
func (p *PlatformSource) standbyFailed(err error) {
	p.stopStandby()
	if p.OnError != nil {
		p.OnError(fmt.Errorf("connecting to the new address: %w", err))
	}
	if p.active == nil {
		p.sink(failedUpdate(err))
	}
}

// activateStandby replaces the active watch by the standby watch.
func (p *PlatformSource) activateStandby() {
	p.standby.unanswered = p.active != nil && p.active.unanswered
	p.stopActive()
	p.active = p.standby
	p.standby = nil
}

// deliverWatched delivers a message of the active watch. After a change of address (moved) the new address may repeat
// changes that the old one already sent; these are not delivered again.
func (p *PlatformSource) deliverWatched(message watchMessage, moved bool) {
	unanswered := message.watch.unanswered
	message.watch.unanswered = false
	list := message.list
	outdated := moved && list != nil && list.Revision < p.Revision
	switch {
	case list != nil && !outdated && !p.alreadyDelivered(list):
		p.deliver(list)
	case unanswered:
		p.sink(emptyDelta(p.Revision))
	default:
		p.sink(Update{Unchanged: true})
	}
}

// alreadyDelivered reports whether the list is a delta up to a revision that has already been delivered.
func (p *PlatformSource) alreadyDelivered(list *EndpointList) bool {
	return list.Delta && list.Revision <= p.Revision
}

// deliver passes a list to the sink and records its revision.
func (p *PlatformSource) deliver(list *EndpointList) {
	p.Revision = list.Revision
	p.sink(Update{Scope: list.scope(), List: *list})
}
