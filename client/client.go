// Package client is a client-side load balancer for programs that send requests to the servers of a fleet without a
// proxy. A client watches the weight tables of its zone at a cressknot controller, picks a server by weight for each
// request, ejects servers that fail repeatedly, retries only where the effect of a request cannot be applied twice and
// a retry budget allows it, and reports outcomes to the controller.
//
// It watches one of several controllers at a time and continues with the last valid table while none is reachable. A
// table decided by an older endpoint list than the one in use is rejected, unless no update was applied for 10 s.
// Packages rpc and runtime connect the client over the two published protocols, gRPC and the text protocol; both give
// the same results.
package client

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
	"cressknot/internal/tableversion"
)

const (
	// dialTimeout bounds dialing a controller, including the handshake.
	dialTimeout = 2 * fleet.Second
	// queryTimeout bounds a query or a load report.
	queryTimeout = 3 * fleet.Second
)

// Transport connects to controllers over one protocol.
type Transport interface {
	// Dial connects to the controller at addr, whose form depends on the transport. It must return when ctx ends. The
	// caller is Config.Name; controllers identify the client by it.
	Dial(ctx context.Context, addr, caller string) (Conn, error)
}

// Conn is a connection to one controller. Its methods may be called concurrently. Errors are *service.Error, except
// that Watch returns an error of apply unchanged.
type Conn interface {
	// Greet performs the handshake: it sends the caller's protocol version and name, and returns the controller's, with
	// its zones and classes.
	Greet(ctx context.Context, h service.Hello) (service.Hello, error)
	// Watch subscribes to the tables of a zone from the given version, NoVersion for the complete state. It calls apply
	// for each update, in order, and acknowledges the update if apply succeeds. It returns when the context ends, the
	// connection breaks or apply fails; the error is never nil.
	Watch(ctx context.Context, zone string, from tableversion.Version, apply func(*service.Update) error) error
	// Table returns the complete state of a zone as an update from NoVersion.
	Table(ctx context.Context, zone string) (service.Update, error)
	// Report sends a load report and returns the sequence number of the newest report that the controller has counted.
	Report(ctx context.Context, r *service.Report) (uint64, error)
	// Server returns the controller's state of a server by name.
	Server(ctx context.Context, name string) (service.ServerState, error)
	// History returns the newest versions of the weight table of a class, at most maxVersions.
	History(ctx context.Context, zone, class string, maxVersions int) (service.History, error)
	// Summary returns a summary of the fleet.
	Summary(ctx context.Context) (service.Summary, error)
	// Close closes the connection. Depending on the transport, queries in flight fail or are awaited.
	Close() error
}

// Config configures a client. Zone and Controllers are required.
type Config struct {
	Name        string   // name of the caller, shown by controllers; may be empty
	Zone        string   // zone whose weight tables are used
	Controllers []string // addresses of the controllers; their form depends on the transport

	// Staleness is the maximal age of a table in use: requests fail with ErrStale if the last confirmation by a
	// controller is longer ago. 0 sets no limit.
	Staleness time.Duration
	// Hedge enables hedged requests: a second attempt of a request of an idempotent class, sent to another server if the
	// first has not finished after half of the class's latency objective. Hedged requests use the retry budget, and are
	// not sent while the controller forbids retries.
	Hedge bool
	// UnboundedRetries disables the retry budget. It serves to measure the budget's effect.
	UnboundedRetries bool
	// Seed seeds the choice of the controller and the jitter of reconnects. 0 selects a random seed.
	Seed uint64

	// OnTable is called after an update other than a heartbeat has been applied, with the version of the table and the
	// number of endpoints in the update. It must not call the client. May be nil.
	OnTable func(version tableversion.Version, endpoints int)
	// OnWatch is called with up set after the first update of a watch has been applied, and with up unset when that
	// watch ends. It must not call the client. May be nil.
	OnWatch func(up bool, controller string)
	// Clock returns the current time in nanoseconds, counted from any epoch and greater than 0. It is called concurrently.
	// Tests may set it; nil selects the system's clock.
	Clock func() fleet.Time
}

// Errors of the client's methods, to be matched with errors.Is. ErrFailed wraps the error of the last attempt, if it
// had one, or that of the context.
var (
	ErrNoTable  = errors.New("no weight table has been received yet")
	ErrNoClass  = errors.New("unknown class")
	ErrNoServer = errors.New("no server is available for the class")
	ErrRejected = errors.New("request rejected by the admission limit of its class")
	ErrStale    = errors.New("weight table is older than Config.Staleness allows")
	ErrFailed   = errors.New("no attempt succeeded")
	ErrClosed   = errors.New("client is closed")
)

// Client routes requests by the weight tables of a controller. It is created by New and must be closed. Its methods may
// be called concurrently.
type Client struct {
	config        Config
	transport     Transport
	reportSession uint64 // random; identifies the reports of this client instance
	ctx           context.Context
	cancel        context.CancelFunc
	background    sync.WaitGroup

	// Routing state, read without holding mu.
	table      atomic.Pointer[routingTable]
	classes    atomic.Pointer[[]fleet.RequestClass]
	lastUpdate atomic.Int64 // time of the last applied update or heartbeat; 0: none
	budget     *retryBudget

	// Counters since the start; demand counts since the last report.
	requests atomic.Uint64
	attempts atomic.Uint64
	demand   atomic.Pointer[[]demandCounts]

	picker *controllerPicker // used only by the watch goroutine

	mu               sync.Mutex
	cache            *tableCache
	servers          map[string]*Server // by name: servers of the current table, and others with counts to report
	conn             Conn               // to the watched controller; nil while disconnected
	controller       string
	disconnectReason *service.Error // set while conn is nil
	ready            chan struct{}  // closed once there is a routing table
	pendingReports   []*service.Report
	reportSequence   uint64
}

// demandCounts are the requests of a class, and those without a successful attempt, since the last report.
type demandCounts struct{ requests, unanswered atomic.Uint64 }

// New returns a client that connects to the controllers in the background over the given transport. It does not wait
// for a table; see Ready. The error says which required field of the configuration is missing.
func New(config Config, transport Transport) (*Client, error) {
	if config.Zone == "" || len(config.Controllers) == 0 {
		return nil, fmt.Errorf(
			"client: Config.Zone and Config.Controllers are required: got zone %q and %d controllers",
			config.Zone, len(config.Controllers),
		)
	}
	config.setDefaults()
	c := &Client{
		config:           config,
		transport:        transport,
		picker:           newControllerPicker(len(config.Controllers), config.Seed),
		budget:           newRetryBudget(),
		reportSession:    rand.Uint64(),
		cache:            newTableCache(),
		servers:          map[string]*Server{},
		ready:            make(chan struct{}),
		disconnectReason: &service.Error{Code: service.Unreachable, Text: "no controller has been contacted yet"},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.background.Add(2)
	go c.watch()
	go c.sendReports()
	return c, nil
}

func (config *Config) setDefaults() {
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	if config.Clock == nil {
		start := time.Now()
		config.Clock = func() fleet.Time { return fleet.Time(start.UnixNano()) + fleet.Time(time.Since(start)) }
	}
	if config.OnTable == nil {
		config.OnTable = func(tableversion.Version, int) {}
	}
	if config.OnWatch == nil {
		config.OnWatch = func(bool, string) {}
	}
}

// Close stops the client's goroutines and waits for them. Outcomes that have not been reported are lost. The error is
// always nil.
func (c *Client) Close() error {
	c.cancel()
	c.background.Wait()
	return nil
}

// Ready waits until there is a routing table. It returns the context's error, wrapped with the reason why no
// controller is connected, if the context ends first, and ErrClosed if the client is closed.
func (c *Client) Ready(ctx context.Context) error {
	select {
	case <-c.ready:
		return nil
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		return fmt.Errorf("%w: %w", ctx.Err(), c.disconnectReason)
	case <-c.ctx.Done():
		return ErrClosed
	}
}

// sleep waits for the duration. It returns false if the context ends first.
func sleep(ctx context.Context, duration fleet.Time) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(time.Duration(duration))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Client) nowNanos() int64 { return int64(c.config.Clock()) }

// Class returns the index of the class with a name, for calls of Pick and Do. Indexes stay valid until the client is
// closed. The error wraps ErrNoClass, also while no controller has been connected yet.
func (c *Client) Class(name string) (int, error) {
	if classes := c.classes.Load(); classes != nil {
		position := slices.IndexFunc(*classes, func(class fleet.RequestClass) bool { return class.Name == name })
		if position >= 0 {
			return position, nil
		}
	}
	return 0, fmt.Errorf("%w: %q", ErrNoClass, name)
}

// lookup returns the current table of a class, which has at least one server.
func (c *Client) lookup(class int) (*classTable, error) {
	table := c.table.Load()
	switch {
	case table == nil:
		return nil, ErrNoTable
	case class < 0 || class >= len(table.classes) || !table.classes[class].known:
		return nil, ErrNoClass
	case c.config.Staleness > 0 && c.Age() > c.config.Staleness:
		return nil, ErrStale
	}
	found := &table.classes[class]
	if len(found.servers) == 0 {
		return nil, ErrNoServer
	}
	return found, nil
}

// Pick returns a server for a request of the class with the given index, as returned by Client.Class. Ejected servers
// are returned only if all servers of the class are ejected. Pick does not count or report anything; use Do to send a
// request with retries. The error is ErrNoTable, ErrNoClass, ErrStale or ErrNoServer.
func (c *Client) Pick(class int) (*Server, error) {
	table, err := c.lookup(class)
	if err != nil {
		return nil, err
	}
	return table.pick(c.nowNanos, nil), nil
}

// Age returns the time since a controller last confirmed the table by an update or a heartbeat, or the largest
// duration if none ever did.
func (c *Client) Age() time.Duration {
	at := c.lastUpdate.Load()
	if at == 0 {
		return math.MaxInt64
	}
	return time.Duration(c.nowNanos() - at)
}

// State describes the table that a client uses, and its connection.
type State struct {
	Controller    string               // name of the controller that sent the table; "" before the first one
	Version       tableversion.Version // version of the table; NoVersion before the first one or out of sync
	ListRevision  uint64               // revision of the endpoint list that the table was decided by
	Connected     bool                 // a controller is connected
	Err           error                // why none is connected; nil if Connected
	NewerProtocol bool                 // a controller has used a newer minor version of the protocol
	Age           time.Duration        // as returned by Client.Age
}

// State returns a snapshot of the client's state.
func (c *Client) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := State{
		Connected:     c.conn != nil,
		ListRevision:  c.cache.listRevision(),
		NewerProtocol: c.cache.newerProtocol(),
		Age:           c.Age(),
	}
	state.Controller, state.Version = c.cache.current()
	if !state.Connected {
		state.Err = c.disconnectReason
	}
	return state
}

// Endpoints returns the endpoints that requests of a class may use, ordered by server name; nil for an unknown class.
func (c *Client) Endpoints(class string) []service.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	found, _ := c.cache.endpoints(class)
	return found.endpoints
}

// Counts are counters since the client was created.
type Counts struct {
	Requests      uint64 // calls of Do that found a usable table, including those rejected by an admission limit
	Attempts      uint64 // attempts sent, including retries and hedged requests
	DeniedRetries uint64 // retries and hedged requests denied by the retry budget
}

// Counts returns the current values of the counters. They are not read atomically as a group.
func (c *Client) Counts() Counts {
	return Counts{
		Requests:      c.requests.Load(),
		Attempts:      c.attempts.Load(),
		DeniedRetries: c.budget.deniedCount(),
	}
}

// query sends a query to the watched controller.
func query[T any](ctx context.Context, c *Client, call func(context.Context, Conn) (T, error)) (T, error) {
	c.mu.Lock()
	conn := c.conn
	reason := c.disconnectReason
	c.mu.Unlock()
	if conn == nil {
		var none T
		return none, &service.Error{Code: service.Unreachable, Text: reason.Text}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(queryTimeout))
	defer cancel()
	return call(ctx, conn)
}

// Server returns the watched controller's state of a server by name, with the reasons for it. Like the other queries it
// takes at most 3 s; errors are *service.Error, with the code Unreachable if no controller is connected.
func (c *Client) Server(ctx context.Context, name string) (service.ServerState, error) {
	return query(ctx, c, func(ctx context.Context, conn Conn) (service.ServerState, error) {
		return conn.Server(ctx, name)
	})
}

// History returns the newest versions of the weight table of a class in the client's zone, at most maxVersions.
func (c *Client) History(ctx context.Context, class string, maxVersions int) (service.History, error) {
	return query(ctx, c, func(ctx context.Context, conn Conn) (service.History, error) {
		return conn.History(ctx, c.config.Zone, class, maxVersions)
	})
}

// Summary returns the watched controller's summary of the fleet.
func (c *Client) Summary(ctx context.Context) (service.Summary, error) {
	return query(ctx, c, func(ctx context.Context, conn Conn) (service.Summary, error) {
		return conn.Summary(ctx)
	})
}

// Table queries the complete state of the client's zone. It does not change the table that the client uses.
func (c *Client) Table(ctx context.Context) (service.Update, error) {
	return query(ctx, c, func(ctx context.Context, conn Conn) (service.Update, error) {
		return conn.Table(ctx, c.config.Zone)
	})
}
