package client

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
)

// watchTimeout is the time without an update after which a watch ends: three heartbeats were missed.
const watchTimeout = 3 * fleet.Second

// errOutdated ends the watch of a controller that sent older state than was applied before.
var errOutdated = errors.New("outdated update")

// asServiceError returns the service error in err, or err as one with the code Unreachable.
func asServiceError(err error) *service.Error {
	var serviceError *service.Error
	if errors.As(err, &serviceError) {
		return serviceError
	}
	return &service.Error{Code: service.Unreachable, Text: err.Error()}
}

// watch watches one controller at a time until the client is closed, and switches to another one when a watch ends.
func (c *Client) watch() {
	defer c.background.Done()
	for {
		controller, wait := c.picker.pick(c.config.Clock())
		if !sleep(c.ctx, wait) {
			return
		}
		err := c.watchController(controller)
		if c.ctx.Err() != nil {
			return
		}
		now := c.config.Clock()
		reason := asServiceError(err)
		if errors.Is(err, errOutdated) {
			c.picker.recordOutdated(now, controller)
		} else {
			c.picker.recordFailure(now, controller, reason)
		}
		c.mu.Lock()
		c.disconnectReason = reason
		c.mu.Unlock()
	}
}

// watchController connects to a controller and watches it. It returns the reason for the end of the watch.
func (c *Client) watchController(controller int) error {
	dialCtx, cancel := context.WithTimeout(c.ctx, time.Duration(dialTimeout))
	defer cancel()
	conn, err := c.transport.Dial(dialCtx, c.config.Controllers[controller], c.config.Name)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	hello, err := c.greet(dialCtx, conn)
	if err != nil {
		return err
	}
	c.updateClasses(hello.Classes)
	c.mu.Lock()
	from := c.cache.watchFrom(hello.Name)
	c.conn = conn
	c.controller = hello.Name
	c.mu.Unlock()
	applied := false
	defer func() {
		c.mu.Lock()
		c.conn = nil
		c.mu.Unlock()
		if applied {
			c.config.OnWatch(false, hello.Name)
		}
	}()
	ctx, stop := context.WithCancelCause(c.ctx)
	defer stop(nil)
	timeout := time.AfterFunc(time.Duration(watchTimeout), func() {
		reason := fmt.Sprintf("no update from controller %s within %.0f s", hello.Name, watchTimeout.Seconds())
		stop(&service.Error{Code: service.Unreachable, Text: reason})
	})
	defer timeout.Stop()
	err = conn.Watch(ctx, c.config.Zone, from, func(u *service.Update) error {
		timeout.Reset(time.Duration(watchTimeout))
		if err := c.applyUpdate(u); err != nil {
			return err
		}
		if !applied {
			applied = true
			c.picker.recordSuccess(controller)
			c.config.OnWatch(true, hello.Name)
		}
		return nil
	})
	if cause := context.Cause(ctx); cause != nil && c.ctx.Err() == nil {
		return cause
	}
	return err
}

// greet performs the handshake and checks that the controller supports the protocol version and serves the zone.
func (c *Client) greet(ctx context.Context, conn Conn) (service.Hello, error) {
	own := service.Hello{Major: service.Major, Minor: service.Minor, Name: c.config.Name}
	hello, err := conn.Greet(ctx, own)
	if err != nil {
		return service.Hello{}, err
	}
	if hello.Major != service.Major {
		reason := fmt.Sprintf("controller %s uses protocol version %d.%d, this client supports version %d only",
			hello.Name, hello.Major, hello.Minor, service.Major)
		return service.Hello{}, &service.Error{Code: service.OtherMajor, Text: reason}
	}
	if !slices.Contains(hello.Zones, c.config.Zone) {
		reason := fmt.Sprintf("controller %s does not serve zone %q", hello.Name, c.config.Zone)
		return service.Hello{}, &service.Error{Code: service.NoZone, Text: reason}
	}
	return hello, nil
}

// updateClasses adopts the classes of a controller. Known classes keep their positions, because callers use positions
// returned by Class.
func (c *Client) updateClasses(received []fleet.RequestClass) {
	var classes []fleet.RequestClass
	if known := c.classes.Load(); known != nil {
		classes = slices.Clone(*known)
	}
	for _, class := range received {
		position := slices.IndexFunc(classes, func(known fleet.RequestClass) bool { return known.Name == class.Name })
		if position >= 0 {
			classes[position] = class
		} else {
			classes = append(classes, class)
		}
	}
	c.extendDemand(len(classes))
	c.classes.Store(&classes)
}

// extendDemand extends the demand counts to the given number of classes.
func (c *Client) extendDemand(classes int) {
	known := c.demand.Load()
	if known != nil && len(*known) == classes {
		return
	}
	demand := make([]demandCounts, classes)
	if known != nil {
		for i := range *known {
			demand[i].requests.Add((*known)[i].requests.Load())
			demand[i].unanswered.Add((*known)[i].unanswered.Load())
		}
	}
	c.demand.Store(&demand)
}

// applyUpdate applies an update to the cache, and rebuilds the routing table unless the update is a heartbeat.
func (c *Client) applyUpdate(u *service.Update) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock()
	verdict, reason := c.cache.update(now, u)
	switch verdict {
	case updateApplied, updateHeartbeat:
		c.lastUpdate.Store(int64(now))
	case updateOutOfSync:
		c.cache.requestComplete()
		return &service.Error{Code: service.Malformed, Text: reason}
	case updateOutdated:
		return fmt.Errorf("%w: %s", errOutdated, reason)
	default:
		return &service.Error{Code: service.Malformed, Text: reason}
	}
	if verdict == updateHeartbeat {
		return nil
	}
	endpoints := 0
	for _, class := range u.Classes {
		endpoints += len(class.Endpoints)
	}
	c.buildTable()
	c.config.OnTable(u.To, endpoints)
	return nil
}

// buildTable builds the routing table from the cache, and drops servers that are neither in it nor have counts to
// report. Until there is a table with endpoints, none is installed. The caller must hold mu.
func (c *Client) buildTable() {
	table := &routingTable{}
	used := map[*Server]bool{}
	hasEndpoints := false
	resolve := func(name, addr string) *Server {
		server := c.resolveServer(name, addr)
		used[server] = true
		return server
	}
	for _, class := range *c.classes.Load() {
		found, known := c.cache.endpoints(class.Name)
		if !known {
			table.classes = append(table.classes, classTable{})
			continue
		}
		hasEndpoints = hasEndpoints || len(found.endpoints) > 0
		table.classes = append(table.classes, newClassTable(found, resolve))
	}
	for name, server := range c.servers {
		if !used[server] && server.counts.attempts.Load() == 0 {
			delete(c.servers, name)
		}
	}
	if !hasEndpoints && c.table.Load() == nil {
		return
	}
	c.table.Store(table)
	select {
	case <-c.ready:
	default:
		close(c.ready)
	}
}

// resolveServer returns the Server for a name and address. If the address has changed, it returns a new one, which
// takes over the counts that were not reported yet. The caller must hold mu.
func (c *Client) resolveServer(name, addr string) *Server {
	known := c.servers[name]
	if known != nil && known.Addr == addr {
		return known
	}
	server := &Server{Name: name, Addr: addr}
	if known != nil {
		moveCounts(&known.counts, &server.counts)
	}
	c.servers[name] = server
	return server
}
