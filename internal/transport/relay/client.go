// Package relay is the client of the users' relay, which holds the update streams of the proxies. Operations go to
// it as HTTP calls, one in flight at a time; its events about proxies come on an event stream. The package
// maintains order, limits and deadlines and takes no decision. docs/design/platform.md describes what a broken call
// means.
package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/fleet"
)

const (
	// dialTimeout suits a relay on the same network: one that is partitioned away never answers.
	dialTimeout = 250 * time.Millisecond

	// idleConnectionTimeout is shorter than the relay's own, which is some seconds: a call on a connection that the relay
	// closes at that moment would be uncertain.
	idleConnectionTimeout = 1500 * time.Millisecond

	// streamHeaderTimeout bounds the wait for the response header of an event stream.
	streamHeaderTimeout = 1500 * time.Millisecond

	// maxResponseHeaderSize is in bytes.
	maxResponseHeaderSize = 16 << 10

	// maxConnections for calls leaves one besides a connection that is being closed.
	maxConnections = 2

	// logBurst lines of a kind that a faulty relay could repeat are logged within logPeriod.
	logBurst  = 10
	logPeriod = time.Second
)

// Options configure a Client.
type Options struct {
	// Addr is the relay's host:port.
	Addr string
	// Zones and Classes give the names of the fleet's zones and classes; the index is the number.
	Zones   []string
	Classes []string
	// ProxyCount is the number of proxies; their numbers are below it.
	ProxyCount int
	// OnEvent receives the events of the stream in order.
	OnEvent func(StreamEvent)
	// OnUnconfirmed receives operations of which nobody knows whether they were carried out.
	OnUnconfirmed func(Unconfirmed)
	Log           zerolog.Logger
	// Seed of the random part of the backoff between streams.
	Seed uint64
}

// Client sends operations to one relay and follows its event stream.
type Client struct {
	options        Options
	callClient     http.Client
	streamClient   http.Client
	enqueued       chan struct{} // has an element after Enqueue
	addressChanged chan struct{} // has an element after SetAddress
	workers        sync.WaitGroup
	sampledLog     zerolog.Logger

	mu         sync.Mutex
	queue      callQueue
	addr       string
	statistics Statistics
}

// Statistics count calls and streams since the start.
type Statistics struct {
	Calls      uint64
	Operations uint64 // accepted by the relay
	Uncertain  uint64 // calls
	Rejected   uint64 // calls, including malformed ones
	Partial    uint64 // calls of which the relay accepted a part
	Streams    uint64
}

// New returns a client. It opens no connection before Start.
func New(options Options) *Client {
	c := &Client{
		options:        options,
		enqueued:       make(chan struct{}, 1),
		addressChanged: make(chan struct{}, 1),
		sampledLog:     options.Log.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: logPeriod}),
		queue:          callQueue{classes: options.Classes},
		addr:           options.Addr,
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	c.callClient.Transport = &http.Transport{
		DialContext:            dialer.DialContext,
		IdleConnTimeout:        idleConnectionTimeout,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    1,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderSize,
	}
	c.streamClient.Transport = &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		ResponseHeaderTimeout:  streamHeaderTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderSize,
	}
	return c
}

// Start begins to follow the event stream and to send operations, until the context ends.
func (c *Client) Start(ctx context.Context) {
	c.workers.Go(func() { c.sendCalls(ctx) })
	c.workers.Go(func() { newStreamFollower(c).run(ctx) })
}

// Wait waits, once the context of Start has ended, until a call in flight has finished and the streams are closed.
func (c *Client) Wait() { c.workers.Wait() }

// Enqueue adds the operations of a step. It does not block.
func (c *Client) Enqueue(operations []Operation) {
	c.mu.Lock()
	c.queue.add(operations)
	c.mu.Unlock()
	notify(c.enqueued)
}

// ProxyLeft drops the pending assignments of tables to a proxy that has left.
func (c *Client) ProxyLeft(id fleet.ProxyID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.dropProxy(id)
}

// SetAddress moves to another address. The stream at the old one continues until the new one is open.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	c.addr = addr
	c.mu.Unlock()
	notify(c.addressChanged)
	notify(c.enqueued)
}

// Statistics returns the counts of calls and streams since the start.
func (c *Client) Statistics() Statistics {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statistics
}

func (c *Client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr
}

// notify adds an element to a channel of capacity 1 unless there is one.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
