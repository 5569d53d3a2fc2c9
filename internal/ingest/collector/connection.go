package collector

import (
	"bytes"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/lesismal/nbio"

	"cressknot/internal/fleet"
	"cressknot/internal/netlimit"
)

// Limits of one connection.
const (
	// maxFirstMessageSize, in bytes, applies until a connection has registered. A collector's first message contains
	// little more than the name of its zone.
	maxFirstMessageSize = 512

	// maxMessageSize, in bytes, is specified by the platform.
	maxMessageSize = 1 << 20

	// maxConsecutiveMalformed is the number of consecutive malformed messages at which a connection is closed:
	// such a series shows that the connection is of no further use.
	maxConsecutiveMalformed = 16

	// maxPings is the number of pings that one connection may send. Pings are occasional health checks.
	maxPings = 64

	// maxLoggedMessageSize, in bytes, is the size to which messages are truncated in the log.
	maxLoggedMessageSize = 160
)

// Answers of the protocol.
var (
	answerPong     = []byte("pong\r\n")
	answerRejected = []byte("refused\r\n")
)

// Reasons for rejecting a connection.
var (
	errNotRegistered       = fmt.Errorf("not registered within %v", registrationTimeout)
	errTooManyUnregistered = errors.New("too many unregistered connections: oldest one closed")
	errCollectorReplaced   = fmt.Errorf("zone has more than %d collectors: oldest one closed", maxCollectorsPerZone)
	errTooManyPings        = fmt.Errorf("more than %d pings on the connection", maxPings)
	errTooManyMalformed    = errors.New("too many consecutive malformed messages")
	errMessageTooLong      = errors.New("message too long")
)

// connection is one client connection. The registry's lock guards registered, excluded and zone. Only the event loop
// writes registered and zone, so it may read them without the lock. The other fields, except closed, may only be used
// by the event loop.
type connection struct {
	server     *Server
	conn       *nbio.Conn
	registered bool
	excluded   bool // rejected or closed, and unable to register
	zone       fleet.ZoneID
	closed     atomic.Bool
	account    *netlimit.Account // of the process-wide budget

	partial              []byte // beginning of an incomplete message
	scanned              int    // number of bytes of partial known to contain no line end and no binary data
	pings                int
	consecutiveMalformed int
	hasReportedOutcome   bool
}

func newConnection(server *Server, conn *nbio.Conn) *connection {
	c := &connection{server: server, conn: conn}
	closeForLimit := func(reason *netlimit.Error) { c.reject(reason) }
	c.account = server.options.Connections.Open("collector", conn.RemoteAddr(), closeForLimit)
	return c
}

// rejectUnregistered rejects the connection unless it has registered.
func (c *connection) rejectUnregistered(reason error) {
	if c.server.registry.exclude(c) {
		c.reject(reason)
	}
}

// reject sends a rejection and closes the connection. It has no effect on a closed connection.
func (c *connection) reject(reason error) {
	if c.closed.Swap(true) {
		return
	}
	c.server.counters.rejected.Add(1)
	c.server.sampledLog.Info().Err(reason).Str("remote", c.conn.RemoteAddr().String()).Msg("connection rejected")
	_, _ = c.conn.Write(answerRejected) // best effort
	_ = c.conn.Close()
}

// connectionClosed removes the connection from the registry once the socket is closed.
func (c *connection) connectionClosed() {
	c.closed.Store(true)
	c.account.Close()
	c.server.registry.remove(c)
}

// receive handles the messages that the received bytes complete, and saves the rest.
func (c *connection) receive(data []byte) {
	if c.closed.Load() {
		return
	}
	if len(c.partial) > 0 {
		c.partial = append(c.partial, data...)
		data = c.partial
	}
	for {
		text, rest, complete := c.cutMessage(data)
		if !complete {
			break
		}
		data = rest
		if !c.handleMessage(text) {
			return
		}
	}
	c.savePartial(data)
}

// cutMessage splits the data into the first message, without its line end, and the rest. complete is false if the data
// contains no line end.
func (c *connection) cutMessage(data []byte) (text string, rest []byte, complete bool) {
	scanned := min(c.scanned, len(data))
	end := bytes.IndexByte(data[scanned:], '\n')
	if end < 0 {
		return "", data, false
	}
	end += scanned
	c.scanned = 0
	return string(bytes.TrimSuffix(data[:end], []byte{'\r'})), data[end+1:], true
}

// savePartial saves an incomplete message until the rest is received. It rejects the connection if the message is
// already too long or binary.
func (c *connection) savePartial(data []byte) {
	maxSize := maxFirstMessageSize
	if c.registered {
		maxSize = maxMessageSize
	}
	if len(data) > maxSize {
		c.reject(fmt.Errorf("%w: got %d bytes without a line end, limit %d", errMessageTooLong, len(data), maxSize))
		return
	}
	if isBinary(data[min(c.scanned, len(data)):]) {
		c.reject(errBinaryData)
		return
	}
	c.partial = append(c.partial[:0], data...)
	c.scanned = len(data)
	if cap(c.partial) > readBufferSize && len(c.partial) < readBufferSize/4 {
		c.partial = bytes.Clone(c.partial) // frees the buffer of a long message
	}
	c.account.Set(int64(cap(c.partial)))
}

// handleMessage handles one message. It returns false if it rejected the connection.
func (c *connection) handleMessage(text string) (open bool) {
	m, err := parseMessage(text)
	switch {
	case err == nil && m.kind == kindPing:
		return c.handlePing()
	case !c.registered:
		return c.handleRegistration(&m, err)
	case errors.Is(err, errBinaryData):
		c.reject(err)
		return false
	case text == "":
		return true
	}
	var report Report
	if err == nil {
		report, err = c.server.options.ReportSchema.parseReport(&m)
	}
	if err != nil {
		return c.handleMalformed(text, err)
	}
	c.handleReport(text, report)
	return true
}

// handlePing answers a ping. It rejects the connection, and returns false, after maxPings.
func (c *connection) handlePing() (open bool) {
	c.server.counters.pings.Add(1)
	c.pings++
	if c.pings > maxPings {
		c.reject(errTooManyPings)
		return false
	}
	_, _ = c.conn.Write(answerPong) // a write error closes the connection
	return true
}

// handleRegistration handles a message of an unregistered connection, which must be a valid registration. err is the
// error of parsing the message. It returns false if it rejected the connection.
func (c *connection) handleRegistration(m *message, err error) (open bool) {
	if err == nil && m.kind != kindRegister {
		err = fmt.Errorf("message of kind %.40q before registration, expected %s", m.kind, kindRegister)
	}
	zone := 0
	if err == nil {
		zone = m.nameIndex("locality", c.server.options.ReportSchema.Zones)
		err = m.fieldErr
	}
	if err != nil {
		c.reject(err)
		return false
	}
	c.register(fleet.ZoneID(zone))
	return true
}

// register makes the connection a collector of the zone, and rejects the zone's oldest collector if there are too many.
func (c *connection) register(zone fleet.ZoneID) {
	surplus, ok := c.server.registry.register(c, zone)
	if !ok {
		return
	}
	c.server.counters.collectors.Add(1)
	c.account.Completed()
	if surplus != nil {
		surplus.reject(errCollectorReplaced)
	}
}

// handleMalformed counts and drops a malformed message. It rejects the connection, and returns false, after
// maxConsecutiveMalformed.
func (c *connection) handleMalformed(text string, err error) (open bool) {
	c.server.counters.malformed.Add(1)
	c.server.sampledLog.Info().Err(err).Str("message", truncateForLog(text)).Msg("malformed message dropped")
	c.consecutiveMalformed++
	if c.consecutiveMalformed >= maxConsecutiveMalformed {
		c.reject(fmt.Errorf("%w: %d", errTooManyMalformed, c.consecutiveMalformed))
		return false
	}
	return true
}

// handleReport passes a report on and logs the first outcome report of the connection.
func (c *connection) handleReport(text string, report Report) {
	c.consecutiveMalformed = 0
	c.server.counters.reports.Add(1)
	if !c.hasReportedOutcome && !report.IsDemand {
		c.hasReportedOutcome = true
		c.server.sampledLog.Info().Str("remote", c.conn.RemoteAddr().String()).Str("message", truncateForLog(text)).
			Msg("first outcome report received on the connection")
	}
	c.server.options.OnReport(report)
}

// truncateForLog returns the first maxLoggedMessageSize bytes of a message.
func truncateForLog(text string) string { return text[:min(len(text), maxLoggedMessageSize)] }
