// Package client lets a program send its visits by the tables of cressknot's governors, as a plain proxy does: it follows a zone's tables,
// picks a server by weight for each visit, avoids servers that fail, tries again only where no effect can run twice and a budget allows
// it, and reports what became of visits. It follows one governor at a time out of several, never goes back to what an older one
// knows, and goes on by the last good table while none answers. Packages rpc and runtime connect it over the two published protocols; what
// they answer is the same.
package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
	"cressknot/internal/tableversion"
)

// Transport connects to governors over one protocol.
type Transport interface {
	Dial(ctx context.Context, addr, caller string) (Conn, error)
}

// Conn is a connection to one governor. Its methods may be called from any goroutine; errors are *service.Fault.
type Conn interface {
	Greet(ctx context.Context, h service.Hello) (service.Hello, error)
	// Watch gives each update to take until the context ends, the connection breaks or take fails; what take has returned from well is
	// acknowledged.
	Watch(ctx context.Context, zone string, holds tableversion.Version, take func(*service.Update) error) error
	Table(ctx context.Context, zone string) (service.Update, error)
	Report(ctx context.Context, r *service.Report) (uint64, error)
	Server(ctx context.Context, name string) (service.ServerState, error)
	History(ctx context.Context, zone, class string, most int) (service.History, error)
	Summary(ctx context.Context) (service.Summary, error)
	Close() error
}

// Config says what a client follows. Governors and Zone are needed.
type Config struct {
	Name      string        // of the caller, as governors know it
	Zone      string        // whose tables it goes by
	Governors []string      // addresses, by the transport's form
	Staleness time.Duration // a table whose last word is older is not used; 0: any is better than none
	Hedge     bool          // a second try of safe visits that take long, within the budget
	Unbounded bool          // no budget for further tries: only to measure what it is for
	Seed      uint64        // of chance; 0: drawn

	// OnTable hears of each table that is taken in, with how many lines came; OnStream of the watch, whether a governor is
	// followed. Both may be nil, and must not call back.
	OnTable  func(version tableversion.Version, lines int)
	OnStream func(up bool, governor string)
	Clock    func() fleet.Time // for tests; nil: the system's
}

// Errors of picks and visits, beside those of tries and contexts.
var (
	ErrNoTable = errors.New("no table was heard yet")
	ErrNoClass = errors.New("no such class")
	ErrNobody  = errors.New("the class has no server")
	ErrRefused = errors.New("refused: the fleet can't handle it now")
	ErrStale   = errors.New("the table is older than allowed")
	ErrFailed  = errors.New("no try came to a good answer")
	ErrClosed  = errors.New("the client is closed")
)

// Client is the library. All methods may be called from any goroutine.
type Client struct {
	cfg     Config
	via     Transport
	finder  *Finder // of the watching goroutine
	budget  *Budget
	session uint64
	table   atomic.Pointer[table]
	word    atomic.Int64 // when the last word that counts came
	classes atomic.Pointer[[]fleet.RequestClass]
	came    atomic.Pointer[[]cameCounts]
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu       sync.Mutex
	held     *Held
	nodes    map[string]*Node // those of the present table, and those with counts to report
	conn     Conn             // of the governor that is followed; nil: none
	governor string
	why      *service.Error // why none is
	ready    chan struct{}  // closed when there is a table
	pending  []*service.Report
	seq      uint64
	tries    atomic.Uint64
	visits   atomic.Uint64
}

type cameCounts struct{ visits, noAnswer atomic.Uint64 }

// New makes a client and begins to follow.
func New(cfg Config, via Transport) (*Client, error) {
	if cfg.Zone == "" || len(cfg.Governors) == 0 {
		return nil, errors.New("client: a zone and at least one governor are needed")
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	if cfg.Clock == nil {
		began := time.Now()
		cfg.Clock = func() fleet.Time { return fleet.Time(began.UnixNano()) + fleet.Time(time.Since(began)) }
	}
	if cfg.OnTable == nil {
		cfg.OnTable = func(tableversion.Version, int) {}
	}
	if cfg.OnStream == nil {
		cfg.OnStream = func(bool, string) {}
	}
	c := &Client{cfg: cfg, via: via, finder: NewFinder(len(cfg.Governors), cfg.Seed), budget: NewBudget(), session: rand.Uint64(), held: NewHeld(),
		nodes: map[string]*Node{}, ready: make(chan struct{}), why: &service.Error{Code: service.Unreachable, Text: "no governor was asked yet"}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.done.Add(2)
	go c.follow()
	go c.report()
	return c, nil
}

// Close ends all that it began and waits for it. What was not reported is lost.
func (c *Client) Close() error {
	c.cancel()
	c.done.Wait()
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
		return fmt.Errorf("%w: %w", ctx.Err(), c.why)
	case <-c.ctx.Done():
		return ErrClosed
	}
}

func sleep(ctx context.Context, d fleet.Time) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(time.Duration(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// asFault makes a fault of any error.
func asFault(err error) *service.Error {
	var f *service.Error
	if errors.As(err, &f) {
		return f
	}
	return &service.Error{Code: service.Unreachable, Text: err.Error()}
}

// errBehind ends the watch of a governor that knows less than was known.
var errBehind = errors.New("behind")

// follow follows one governor after the other.
func (c *Client) follow() {
	defer c.done.Done()
	for {
		at, wait := c.finder.Next(c.cfg.Clock())
		if !sleep(c.ctx, wait) {
			return
		}
		err := c.attend(at)
		if c.ctx.Err() != nil {
			return
		}
		now, why := c.cfg.Clock(), asFault(err)
		if errors.Is(err, errBehind) {
			c.finder.Behind(now, at)
		} else {
			c.finder.Failed(now, at, why)
		}
		c.mu.Lock()
		c.why = why
		c.mu.Unlock()
	}
}

// attend follows one governor for as long as it serves.
func (c *Client) attend(at int) error {
	dial, cancel := context.WithTimeout(c.ctx, time.Duration(dialWithin))
	defer cancel()
	conn, err := c.via.Dial(dial, c.cfg.Governors[at], c.cfg.Name)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	hello, err := conn.Greet(dial, service.Hello{Major: service.Major, Minor: service.Minor, Name: c.cfg.Name})
	if err != nil {
		return err
	}
	if hello.Major != service.Major {
		return &service.Error{Code: service.OtherMajor, Text: fmt.Sprintf("governor %s speaks version %d.%d", hello.Name, hello.Major, hello.Minor)}
	}
	if !slices.Contains(hello.Zones, c.cfg.Zone) {
		return &service.Error{Code: service.NoZone, Text: fmt.Sprintf("governor %s does not serve zone %q", hello.Name, c.cfg.Zone)}
	}
	c.learn(hello.Classes)
	c.mu.Lock()
	holds := c.held.Asks(hello.Name)
	c.conn, c.governor = conn, hello.Name
	c.mu.Unlock()
	up := false
	defer func() {
		c.mu.Lock()
		c.conn = nil
		c.mu.Unlock()
		if up {
			c.cfg.OnStream(false, hello.Name)
		}
	}()
	ctx, stop := context.WithCancelCause(c.ctx)
	defer stop(nil)
	silent := time.AfterFunc(time.Duration(silentAfter), func() {
		stop(&service.Error{Code: service.Unreachable, Text: fmt.Sprintf("governor %s is silent", hello.Name)})
	})
	defer silent.Stop()
	err = conn.Watch(ctx, c.cfg.Zone, holds, func(u *service.Update) error {
		silent.Reset(time.Duration(silentAfter))
		if err := c.take(u); err != nil {
			return err
		}
		if !up {
			up = true
			c.finder.Stood(at)
			c.cfg.OnStream(true, hello.Name)
		}
		return nil
	})
	if cause := context.Cause(ctx); cause != nil && c.ctx.Err() == nil {
		return cause
	}
	return err
}

// learn takes over what the governor says of classes. Their order stays: positions are what callers pick by.
func (c *Client) learn(told []fleet.RequestClass) {
	var all []fleet.RequestClass
	if old := c.classes.Load(); old != nil {
		all = slices.Clone(*old)
	}
	for _, k := range told {
		if at := slices.IndexFunc(all, func(o fleet.RequestClass) bool { return o.Name == k.Name }); at >= 0 {
			all[at] = k
		} else {
			all = append(all, k)
		}
	}
	came := make([]cameCounts, len(all))
	if old := c.came.Load(); old != nil && len(*old) == len(all) {
		came = *old
	} else if old != nil {
		for i := range *old {
			came[i].visits.Add((*old)[i].visits.Load())
			came[i].noAnswer.Add((*old)[i].noAnswer.Load())
		}
	}
	c.came.Store(&came)
	c.classes.Store(&all)
}

// take takes an update in, and lays a new table where it changed anything.
func (c *Client) take(u *service.Update) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	verdict, why := c.held.Update(now, u)
	switch verdict {
	case Same:
		c.word.Store(int64(now))
		return nil
	case Taken:
	case Resync:
		c.held.Forget()
		return &service.Error{Code: service.Malformed, Text: why}
	case Behind:
		return fmt.Errorf("%w: %s", errBehind, why)
	default:
		return &service.Error{Code: service.Malformed, Text: why}
	}
	c.word.Store(int64(now))
	lines := 0
	for _, t := range u.Classes {
		lines += len(t.Endpoints)
	}
	c.lay(now)
	c.cfg.OnTable(u.To, lines)
	return nil
}

func (c *Client) lay(now fleet.Time) {
	t := &table{at: now}
	used, hasEndpoints := map[*Node]bool{}, false
	node := func(name, addr string) *Node {
		n := c.nodes[name]
		if n == nil || n.Addr != addr {
			n = &Node{Name: name, Addr: addr}
			if old := c.nodes[name]; old != nil { // its counts go on under its name
				move(&old.counts, &n.counts)
			}
			c.nodes[name] = n
		}
		used[n] = true
		return n
	}
	for _, class := range *c.classes.Load() {
		lines, amount, retry, known := c.held.Lines(class.Name)
		if !known {
			t.classes = append(t.classes, classTable{})
			continue
		}
		hasEndpoints = hasEndpoints || len(lines) > 0
		t.classes = append(t.classes, newClassTable(lines, amount, retry, node))
	}
	for name, n := range c.nodes {
		if !used[n] && n.counts.tries.Load() == 0 {
			delete(c.nodes, name)
		}
	}
	if !hasEndpoints && c.table.Load() == nil {
		return
	}
	c.table.Store(t)
	select {
	case <-c.ready:
	default:
		close(c.ready)
	}
}

func move(from, to *counts) {
	to.tries.Add(from.tries.Swap(0))
	to.failed.Add(from.failed.Swap(0))
	to.good.Add(from.good.Swap(0))
	to.goodMs.Add(from.goodMs.Swap(0))
}

// Class gives the position of a class by its name.
func (c *Client) Class(name string) (int, error) {
	if all := c.classes.Load(); all != nil {
		if at := slices.IndexFunc(*all, func(k fleet.RequestClass) bool { return k.Name == name }); at >= 0 {
			return at, nil
		}
	}
	return 0, fmt.Errorf("%w: %q", ErrNoClass, name)
}

func (c *Client) nowNs() int64 { return int64(c.cfg.Clock()) }

// lookup gives the table of a class as it stands.
func (c *Client) lookup(class int) (*classTable, error) {
	t := c.table.Load()
	switch {
	case t == nil:
		return nil, ErrNoTable
	case class < 0 || class >= len(t.classes) || !t.classes[class].known:
		return nil, ErrNoClass
	case c.cfg.Staleness > 0 && c.Age() > c.cfg.Staleness:
		return nil, ErrStale
	}
	k := &t.classes[class]
	if len(k.nodes) == 0 {
		return nil, ErrNobody
	}
	return k, nil
}

// Pick gives a server for a visit of a class, by its position. It counts nothing: Do is the whole.
func (c *Client) Pick(class int) (*Node, error) {
	k, err := c.lookup(class)
	if err != nil {
		return nil, err
	}
	return k.pick(c.nowNs, nil), nil
}

// Age tells how long ago a governor's word of the table came.
func (c *Client) Age() time.Duration {
	at := c.word.Load()
	if at == 0 {
		return 1<<63 - 1
	}
	return time.Duration(c.nowNs() - at)
}

// State is what a client goes by.
type State struct {
	Governor string // whose table it is
	Version  tableversion.Version
	ListRev  uint64
	Up       bool  // a governor is followed now
	Why      error // why none is
	Newer    bool  // governors speak a newer version of the protocol
	Age      time.Duration
}

// State tells what it goes by.
func (c *Client) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := State{Up: c.conn != nil, ListRev: c.held.ListRev(), Newer: c.held.Newer(), Age: c.Age()}
	if s.Governor, s.Version = c.held.Holds(); !s.Up {
		s.Why = c.why
	}
	return s
}

// Lines gives what a class's visits go by.
func (c *Client) Lines(class string) []service.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	lines, _, _, _ := c.held.Lines(class)
	return lines
}

// Counts tells how many visits there were, how many tries, and how many further ones the budget kept back.
func (c *Client) Counts() (visits, tries, denied uint64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.visits.Load(), c.tries.Load(), c.budget.Denied
}

// question asks the governor that is followed.
func question[T any](c *Client, ctx context.Context, ask func(context.Context, Conn) (T, error)) (T, error) {
	c.mu.Lock()
	conn, why := c.conn, c.why
	c.mu.Unlock()
	if conn == nil {
		var none T
		return none, &service.Error{Code: service.Unreachable, Text: why.Text}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(callWithin))
	defer cancel()
	return ask(ctx, conn)
}

// Server tells of a server and why it stands as it does.
func (c *Client) Server(ctx context.Context, name string) (service.ServerState, error) {
	return question(c, ctx, func(ctx context.Context, conn Conn) (service.ServerState, error) { return conn.Server(ctx, name) })
}

// History tells of the versions of a class's table, the newest so many.
func (c *Client) History(ctx context.Context, class string, most int) (service.History, error) {
	return question(c, ctx, func(ctx context.Context, conn Conn) (service.History, error) {
		return conn.History(ctx, c.cfg.Zone, class, most)
	})
}

// Summary tells how the fleet stands.
func (c *Client) Summary(ctx context.Context) (service.Summary, error) {
	return question(c, ctx, func(ctx context.Context, conn Conn) (service.Summary, error) { return conn.Summary(ctx) })
}

// Table asks for the whole, beside the watch.
func (c *Client) Table(ctx context.Context) (service.Update, error) {
	return question(c, ctx, func(ctx context.Context, conn Conn) (service.Update, error) { return conn.Table(ctx, c.cfg.Zone) })
}
