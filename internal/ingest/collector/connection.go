package collector

import (
	"bytes"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/lesismal/nbio"

	"cressknot/internal/fleet"
)

// Limits of one connection.
const (
	// maxFirstMessageSize, in bytes, holds until a connection has registered: a collector's first message is not longer
	// than the name of its zone.
	maxFirstMessageSize = 512

	// maxMessageSize is in bytes and given by the users' platform.
	maxMessageSize = 1 << 20

	// maxConsecutiveMalformed malformed messages show that the connection is of no further use.
	maxConsecutiveMalformed = 16

	// maxPings of one connection, which is pinged now and then.
	maxPings = 64

	// maxLoggedMessageSize is in bytes.
	maxLoggedMessageSize = 160
)

// Answers of the protocol.
var (
	answerPong     = []byte("pong\r\n")
	answerRejected = []byte("refused\r\n")
)

// Reasons for which a connection is rejected.
var (
	errNotRegistered       = fmt.Errorf("not registered within %v", registrationTimeout)
	errTooManyUnregistered = errors.New("too many unregistered connections: oldest one closed")
	errCollectorReplaced   = fmt.Errorf("zone has more than %d collectors: oldest one closed", maxCollectorsPerZone)
	errTooManyPings        = fmt.Errorf("more than %d pings on the connection", maxPings)
	errTooManyMalformed    = errors.New("too many consecutive malformed messages")
	errMessageTooLong      = errors.New("message too long")
)

// connection is one client of the listening address. The registry's lock guards registered, excluded and zone, of
// which registered and zone are written by the event loop alone, which may thus read them without the lock. The
// event loop owns the rest but for closed.
type connection struct {
	server     *Server
	conn       *nbio.Conn
	registered bool
	excluded   bool // rejected or closed: it can't register any more
	zone       fleet.ZoneID
	closed     atomic.Bool

	partial              []byte // the beginning of a message
	scanned              int    // bytes of partial that are known to hold neither an end of message nor binary data
	pings                int
	consecutiveMalformed int
	hasReportedOutcome   bool
}

// rejectUnregistered rejects the connection unless it has registered.
func (c *connection) rejectUnregistered(reason error) {
	if c.server.registry.exclude(c) {
		c.reject(reason)
	}
}

// reject answers that the connection is rejected, and closes it.
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
	c.server.registry.remove(c)
}

// receive takes in bytes and handles the messages that they complete.
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

// cutMessage cuts the first message off the data.
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

// savePartial saves the beginning of a message until the rest comes, unless it shows already that the message is
// invalid.
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
}

// handle handles one message. It returns false where the connection was rejected.
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
		report, err = c.server.options.Vocabulary.parseReport(&m)
	}
	if err != nil {
		return c.handleMalformed(text, err)
	}
	c.handleReport(text, report)
	return true
}

func (c *connection) handlePing() (open bool) {
	c.server.counters.pings.Add(1)
	c.pings++
	if c.pings > maxPings {
		c.reject(errTooManyPings)
		return false
	}
	_, _ = c.conn.Write(answerPong) // a failure closes the connection
	return true
}

func (c *connection) handleRegistration(m *message, err error) (open bool) {
	if err == nil && m.kind != kindRegister {
		err = fmt.Errorf("message of kind %.40q before registration, expected %s", m.kind, kindRegister)
	}
	zone := 0
	if err == nil {
		zone = m.nameIndex("locality", c.server.options.Vocabulary.Zones)
		err = m.fieldErr
	}
	if err != nil {
		c.reject(err)
		return false
	}
	c.register(fleet.ZoneID(zone))
	return true
}

// register makes the connection a collector of the zone, and rejects the zone's oldest one where they are too many.
func (c *connection) register(zone fleet.ZoneID) {
	surplus, ok := c.server.registry.register(c, zone)
	if !ok {
		return
	}
	c.server.counters.collectors.Add(1)
	if surplus != nil {
		surplus.reject(errCollectorReplaced)
	}
}

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

// beginning returns what of a message goes into the log.
func truncateForLog(text string) string { return text[:min(len(text), maxLoggedMessageSize)] }
