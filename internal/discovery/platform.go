package discovery

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits of the communication with the platform's discovery service.
const (
	// platformDialTimeout suits a service on the same network: a machine that is partitioned away never answers.
	platformDialTimeout = time.Second

	// platformHeaderTimeout allows for a service that handles requests one after another and rejects those that have
	// waited for some seconds.
	platformHeaderTimeout = 3 * time.Second

	// platformHeartbeatTimeout ends a watch that sends nothing. An empty line is due every 2 s, and what the service has
	// to say counts as known after 6 s.
	platformHeartbeatTimeout = 3500 * time.Millisecond

	// platformLineTimeout ends a watch on which no line ends: what takes longer counts as known before it is read.
	platformLineTimeout = 6 * time.Second

	// maxPlatformListSize, in bytes, takes some 50,000 servers.
	maxPlatformListSize = 8 << 20

	// maxPlatformNameSize, in bytes, holds for a name or an address: DNS allows 253, and some put a path before it.
	maxPlatformNameSize = 512

	// maxPlatformHeaderSize is in bytes.
	maxPlatformHeaderSize = 16 << 10

	// maxPendingFetches is how many fetches are sent at once, however many were requested.
	maxPendingFetches = 4
)

// PlatformSource is the discovery service of the users' platform. It gives the complete list for each Fetch, and a
// watch that lasts until its connection ends. Each Watch(true) and each Fetch is first answered by exactly one
// update, which may be a failure; changes follow in order. The exported fields are set before Start.
type PlatformSource struct {
	Addr     string      // host:port
	Revision uint64      // of the list that is known at the start
	Zones    []string    // the zones that an endpoint may name
	Kinds    []string    // the kinds that an endpoint may name
	OnError  func(error) // receives failures without an update, such as that of a move; may be nil

	lineTimeout    time.Duration // 0: platformLineTimeout
	sink           func(Update)
	client         http.Client
	pendingChanged chan struct{} // has an element after a change of pending
	messages       chan platformMessage

	mu      sync.Mutex
	pending platformRequests

	// The goroutine of run owns these, and Revision from Start on.
	currentAddr string
	active      *platformWatch // its updates are delivered
	standby     *platformWatch // connects to a new address; its first message makes it the active one
	workers     sync.WaitGroup
}

// platformRequests are what was requested since run last looked, and the address to use.
type platformRequests struct {
	watch   bool
	stop    bool
	fetches int
	addr    string
}

// platformMessage is what a connection delivers to run. The set of messages is closed.
type platformMessage interface{ platformMessage() }

// watchMessage comes from a watch. It is a heartbeat where neither list nor err is set.
type watchMessage struct {
	watch *platformWatch
	list  *EndpointList
	err   error // ends the watch
}

// fetchMessage is the result of a fetch: either a list or an error.
type fetchMessage struct {
	list          *EndpointList
	knownRevision uint64 // when the fetch was sent
	err           error
}

func (watchMessage) platformMessage() {}
func (fetchMessage) platformMessage() {}

// platformWatch is one connection that watches the list.
type platformWatch struct {
	cancel     context.CancelFunc
	unanswered bool // the Watch(true) that it serves has not been answered
}

// stop cancels the watch; nil is none.
func (w *platformWatch) stop() {
	if w != nil {
		w.cancel()
	}
}

// Start makes the source ready until the context ends. It connects once Watch or Fetch is called.
func (p *PlatformSource) Start(ctx context.Context, sink func(Update)) error {
	p.sink = sink
	p.pendingChanged = make(chan struct{}, 1)
	p.messages = make(chan platformMessage)
	p.pending.addr = p.Addr
	p.currentAddr = p.Addr
	p.lineTimeout = cmp.Or(p.lineTimeout, platformLineTimeout)
	dialer := net.Dialer{Timeout: platformDialTimeout}
	p.client.Transport = &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		ResponseHeaderTimeout:  platformHeaderTimeout,
		MaxResponseHeaderBytes: maxPlatformHeaderSize,
	}
	go p.run(ctx)
	return nil
}

// Watch starts a watch in place of the one that runs, or ends it.
func (p *PlatformSource) Watch(enabled bool) {
	p.updatePending(func(pending *platformRequests) {
		pending.watch = enabled
		pending.stop = !enabled
	})
}

// Fetch requests the complete list once.
func (p *PlatformSource) Fetch() {
	p.updatePending(func(pending *platformRequests) {
		pending.fetches = min(pending.fetches+1, maxPendingFetches)
	})
}

// SetAddress moves to another address. A watch continues at the old one until the new one answers.
func (p *PlatformSource) SetAddress(addr string) {
	p.updatePending(func(pending *platformRequests) { pending.addr = addr })
}

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

// run owns the watches until the context ends.
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

// handleFetch delivers a fetched list. It is stale where a watch delivered newer changes while it was on its way.
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

// handleWatch handles a message of the active or the standby watch; those of other watches come too late.
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

func (p *PlatformSource) activeFailed(err error) {
	p.stopActive()
	if p.standby != nil {
		p.standby.unanswered = true
		return
	}
	p.sink(failedUpdate(err))
}

// standbyFailed ends a move. The active watch stays at the old address; where it has ended in the meantime, its
// failure is delivered now.
func (p *PlatformSource) standbyFailed(err error) {
	p.stopStandby()
	if p.OnError != nil {
		p.OnError(fmt.Errorf("at the new address: %w", err))
	}
	if p.active == nil {
		p.sink(failedUpdate(err))
	}
}

func (p *PlatformSource) activateStandby() {
	p.standby.unanswered = p.active != nil && p.active.unanswered
	p.stopActive()
	p.active = p.standby
	p.standby = nil
}

// deliverWatched delivers what the active watch sent. After a move both addresses send what is known already; it is
// delivered once.
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

// alreadyDelivered reports whether the list holds only changes up to the revision that was delivered last.
func (p *PlatformSource) alreadyDelivered(list *EndpointList) bool {
	return list.Delta && list.Revision <= p.Revision
}

func (p *PlatformSource) deliver(list *EndpointList) {
	p.Revision = list.Revision
	p.sink(Update{Scope: list.scope(), List: *list})
}
