// Package client lets a program send its requests by the tables of cressknot's controllers, as a plain proxy does: it
// watches a zone's tables, picks a server by weight for each request, ejects servers that fail, retries only where no
// effect can happen twice and a budget allows it, and reports outcomes. It watches one controller at a time out of
// several, never goes back to an older endpoint list, and continues with the last valid table while no controller
// answers. Packages rpc and runtime connect it over the two published protocols; the answers are the same.
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
	// dialTimeout bounds connecting to a controller and the exchange of introductions.
	dialTimeout = 2 * fleet.Second
	// queryTimeout bounds a query.
	queryTimeout = 3 * fleet.Second
)

// Transport connects to controllers over one protocol.
type Transport interface {
	Dial(ctx context.Context, addr, caller string) (Conn, error)
}

// Conn is a connection to one controller. Its methods may be called from any goroutine; errors are *service.Error.
type Conn interface {
	// Greet exchanges introductions.
	Greet(ctx context.Context, h service.Hello) (service.Hello, error)
	// Watch passes each update to apply until the context ends, the connection breaks or apply fails; updates that were
	// applied without an error are acknowledged.
	Watch(ctx context.Context, zone string, from tableversion.Version, apply func(*service.Update) error) error
	// Table returns the complete state of a zone.
	Table(ctx context.Context, zone string) (service.Update, error)
	// Report sends a batch of outcomes and returns the number of the newest batch that is counted.
	Report(ctx context.Context, r *service.Report) (uint64, error)
	// Server returns the state of a server.
	Server(ctx context.Context, name string) (service.ServerState, error)
	// History returns the newest versions of a class's table.
	History(ctx context.Context, zone, class string, maxVersions int) (service.History, error)
	// Summary returns the state of the fleet.
	Summary(ctx context.Context) (service.Summary, error)
	// Close closes the connection.
	Close() error
}

// Config configures a client. Governors and Zone are required.
type Config struct {
	Name             string        // of the caller, as controllers see it
	Zone             string        // whose tables are used
	Controllers      []string      // addresses of the controllers, in the transport's form
	Staleness        time.Duration // a table that was confirmed longer ago is not used; 0: any is better than none
	Hedge            bool          // send hedged requests for slow idempotent requests, within the retry budget
	UnboundedRetries bool          // no retry budget: only to measure its effect
	Seed             uint64        // of random choices; 0: a random one

	// OnTable is called with each table that is applied, and with how many endpoints the update had. May be nil; it must
	// not call the client.
	OnTable func(version tableversion.Version, endpoints int)
	// OnWatch is called when a controller's watch begins or ends. May be nil; it must not call the client.
	OnWatch func(up bool, controller string)
	// Clock returns the time, for tests; nil: the system's.
	Clock func() fleet.Time
}

// Errors of picks and requests, beside those of attempts and contexts.
var (
	ErrNoTable  = errors.New("no weight table has been received yet")
	ErrNoClass  = errors.New("unknown class")
	ErrNoServer = errors.New("no server is available for the class")
	ErrRejected = errors.New("request rejected by the admission limit of its class")
	ErrStale    = errors.New("weight table is older than Config.Staleness allows")
	ErrFailed   = errors.New("no attempt succeeded")
	ErrClosed   = errors.New("client is closed")
)

// Client routes requests by the tables of controllers. All methods may be called from any goroutine.
type Client struct {
	config        Config
	transport     Transport
	reportSession uint64 // identifies this client's reports
	ctx           context.Context
	cancel        context.CancelFunc
	background    sync.WaitGroup

	// Routing, read without a lock.
	table      atomic.Pointer[routingTable]
	classes    atomic.Pointer[[]fleet.RequestClass]
	lastUpdate atomic.Int64 // when the table was last confirmed
	budget     *retryBudget

	// Counters since the start, and those since the last report.
	requests atomic.Uint64
	attempts atomic.Uint64
	demand   atomic.Pointer[[]demandCounts]

	picker *controllerPicker // of the watching goroutine

	mu               sync.Mutex
	cache            *tableCache
	servers          map[string]*Server // those of the present table, and those with counts to report
	conn             Conn               // to the controller that is watched; nil: none
	controller       string
	disconnectReason *service.Error // why none is
	ready            chan struct{}  // closed when there is a table
	pendingReports   []*service.Report
	reportSequence   uint64
}

// demandCounts are the requests of a class since the last report.
type demandCounts struct{ requests, unanswered atomic.Uint64 }

// New makes a client and begins to watch.
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

// Close ends the client's goroutines and waits for them. Outcomes that were not reported are lost.
func (c *Client) Close() error {
	c.cancel()
	c.background.Wait()
	return nil
}

// Ready waits until there is a table.
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

// sleep waits; it returns false if the context ends before.
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

// Class returns the position of a class by its name.
func (c *Client) Class(name string) (int, error) {
	if classes := c.classes.Load(); classes != nil {
		position := slices.IndexFunc(*classes, func(class fleet.RequestClass) bool { return class.Name == name })
		if position >= 0 {
			return position, nil
		}
	}
	return 0, fmt.Errorf("%w: %q", ErrNoClass, name)
}

// lookup returns the present table of a class.
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

// Pick returns a server for a request of a class, by its position. It counts nothing; Do sends a complete request.
func (c *Client) Pick(class int) (*Server, error) {
	table, err := c.lookup(class)
	if err != nil {
		return nil, err
	}
	return table.pick(c.nowNanos, nil), nil
}

// Age returns how long ago a controller confirmed the table.
func (c *Client) Age() time.Duration {
	at := c.lastUpdate.Load()
	if at == 0 {
		return math.MaxInt64
	}
	return time.Duration(c.nowNanos() - at)
}

// State describes the table that a client uses.
type State struct {
	Controller    string // whose table it is
	Version       tableversion.Version
	ListRevision  uint64
	Connected     bool  // a controller is watched now
	Err           error // why none is
	NewerProtocol bool  // controllers speak a newer version of the protocol
	Age           time.Duration
}

// State returns the state of the client.
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

// Endpoints returns what a class's requests may use.
func (c *Client) Endpoints(class string) []service.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	found, _ := c.cache.endpoints(class)
	return found.endpoints
}

// Counts are counters since the client's start.
type Counts struct {
	Requests      uint64
	Attempts      uint64
	DeniedRetries uint64 // retries and hedged requests that the budget did not allow
}

// Counts returns the client's counters.
func (c *Client) Counts() Counts {
	return Counts{
		Requests:      c.requests.Load(),
		Attempts:      c.attempts.Load(),
		DeniedRetries: c.budget.deniedCount(),
	}
}

// query asks the controller that is watched.
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

// Server returns the state of a server, and the reasons for it.
func (c *Client) Server(ctx context.Context, name string) (service.ServerState, error) {
	return query(ctx, c, func(ctx context.Context, conn Conn) (service.ServerState, error) {
		return conn.Server(ctx, name)
	})
}

// History returns the newest versions of a class's table, at most maxVersions.
func (c *Client) History(ctx context.Context, class string, maxVersions int) (service.History, error) {
	return query(ctx, c, func(ctx context.Context, conn Conn) (service.History, error) {
		return conn.History(ctx, c.config.Zone, class, maxVersions)
	})
}

// Summary returns the state of the fleet.
func (c *Client) Summary(ctx context.Context) (service.Summary, error) {
	return query(ctx, c, func(ctx context.Context, conn Conn) (service.Summary, error) {
		return conn.Summary(ctx)
	})
}

// Table returns the complete state of the zone, independently of the watch.
func (c *Client) Table(ctx context.Context) (service.Update, error) {
	return query(ctx, c, func(ctx context.Context, conn Conn) (service.Update, error) {
		return conn.Table(ctx, c.config.Zone)
	})
}
