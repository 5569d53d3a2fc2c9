// Package relay is the client of the platform's relay, which forwards settings to the proxies on their update streams.
// Operations are sent to the relay in HTTP calls, one in flight at a time; events about proxies are received on an
// event stream. The package enforces order, size limits and deadlines; what to send is decided by its callers.
// docs/design/platform.md describes the handling of a call whose outcome is unknown.
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
	// dialTimeout suits a relay on the same network. A relay behind a network partition never answers.
	dialTimeout = 250 * time.Millisecond

	// idleConnectionTimeout is shorter than the relay's own timeout of some seconds: a call sent while the relay closes
	// the connection would have an unknown outcome.
	idleConnectionTimeout = 1500 * time.Millisecond

	// streamHeaderTimeout bounds the wait for the response header of an event stream.
	streamHeaderTimeout = 1500 * time.Millisecond

	// maxResponseHeaderSize is in bytes.
	maxResponseHeaderSize = 16 << 10

	// maxConnections is the number of connections for calls: one in use and one that is being closed.
	maxConnections = 2

	// At most logBurst warnings are logged per logPeriod, since a faulty relay could cause any number of them.
	logBurst  = 10
	logPeriod = time.Second
)

// Options configure a Client.
type Options struct {
	// Addr is the relay's host:port.
	Addr string
	// Zones and Classes are the names of the fleet's zones and classes, indexed by ID.
	Zones   []string
	Classes []string
	// ProxyCount is the number of proxies; their IDs are below it.
	ProxyCount int
	// OnEvent receives the events of the stream in order. It is called by the goroutine that reads the stream.
	OnEvent func(StreamEvent)
	// OnUnconfirmed receives operations that the relay may or may not have carried out. It is called by the goroutine
	// that sends calls.
	OnUnconfirmed func(Unconfirmed)
	Log           zerolog.Logger
	// Seed initialises the jitter of the backoff between streams.
	Seed uint64
	// MaxRetryInterval is the longest delay between two attempts to open a stream.
	MaxRetryInterval fleet.Time
}

// Client sends operations to one relay and reads its event stream. Its methods are safe for concurrent use, except that
// Start must be called once.
type Client struct {
	options        Options
	callClient     http.Client
	streamClient   http.Client
	enqueued       chan struct{} // holds an element after Enqueue
	addressChanged chan struct{} // holds an element after SetAddress
	workers        sync.WaitGroup
	sampledLog     zerolog.Logger

	mu         sync.Mutex
	queue      callQueue
	addr       string
	statistics Statistics
}

// Statistics are counts of calls and streams since New.
type Statistics struct {
	Calls      uint64
	Operations uint64 // operations accepted by the relay
	Uncertain  uint64 // calls with an unknown outcome
	Rejected   uint64 // rejected calls, including malformed ones
	Partial    uint64 // calls of which the relay accepted only the first operations
	Streams    uint64 // event streams opened
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

// Start starts reading the event stream and sending operations. Both stop when the context is cancelled.
func (c *Client) Start(ctx context.Context) {
	c.workers.Go(func() { c.sendCalls(ctx) })
	c.workers.Go(func() { newStreamFollower(c).run(ctx) })
}

// Wait blocks until the call in flight has finished and the streams are closed. It returns only after the context of
// Start has been cancelled.
func (c *Client) Wait() { c.workers.Wait() }

// Enqueue queues the operations of one step for sending. It does not wait for the relay. Operations that are sent
// together with earlier ones may replace them and be reordered, with the same final result.
func (c *Client) Enqueue(operations []Operation) {
	c.mu.Lock()
	c.queue.add(operations)
	c.mu.Unlock()
	notify(c.enqueued)
}

// DropAssignments drops the queued assignments of tables to a proxy that has left.
func (c *Client) DropAssignments(id fleet.ProxyID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.dropProxy(id)
}

// SetAddress changes the relay's host:port. The stream to the old address is read until the new one is open.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	c.addr = addr
	c.mu.Unlock()
	notify(c.addressChanged)
	notify(c.enqueued)
}

// Statistics returns the current counts.
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

// notify adds an element to a channel of capacity 1 if it is empty.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
