// Package runtime connects the client library to controllers over the text protocol, which has the syntax of HAProxy's
// runtime API (package haproxyapi) and is served by package service/text.
package runtime

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"cressknot/client"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/service"
	"cressknot/internal/service/text"
	"cressknot/internal/tableversion"
)

const (
	// anonymousCaller is sent as the name of a caller whose name is empty.
	anonymousCaller = "-"
	// noVersion requests the complete state.
	noVersion = "-"
	// payloadEnd terminates the payload of a report; no row of a report equals it.
	payloadEnd = "end-of-batch"
)

// New returns a client that connects to controllers over the text protocol. Config.Controllers are host:port, or paths
// of Unix sockets, which must contain a slash.
func New(cfg client.Config) (*client.Client, error) { return client.New(cfg, Transport{}) }

// Transport connects over the text protocol. The zero value is ready to use.
type Transport struct{}

var _ client.Transport = Transport{}

// conn sends queries one at a time over one connection, and reconnects after a query that ended without an answer. Each
// watch uses a connection of its own.
type conn struct {
	addr   string
	mu     sync.Mutex
	stream *stream // nil after a query without an answer, until the next one reconnects
	closed bool
	hello  []byte // handshake command, resent on each new connection; empty before the first successful Greet
}

// Dial connects to addr, which is host:port or the path of a Unix socket with at least one slash. Errors are
// *service.Error with the code Unreachable.
func (Transport) Dial(ctx context.Context, addr, _ string) (client.Conn, error) {
	s, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &conn{addr: addr, stream: s}, nil
}

// Close closes the connection for queries, after a query in flight has ended. Watches end with their contexts.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.stream != nil {
		return c.stream.Close()
	}
	return nil
}

// query sends a query and returns its answer. A connection on which an answer is still outstanding is closed, because
// that answer would be taken for the answer to the next query.
func (c *conn) query(ctx context.Context, request []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, unreachableError(net.ErrClosed)
	}
	if c.stream == nil {
		if err := c.reconnect(ctx); err != nil {
			return nil, err
		}
	}
	return c.exchange(ctx, request)
}

// reconnect opens a new connection and repeats the handshake. The caller must hold c.mu.
func (c *conn) reconnect(ctx context.Context) error {
	s, err := dial(ctx, c.addr)
	if err != nil {
		return err
	}
	c.stream = s
	if len(c.hello) == 0 {
		return nil
	}
	_, err = c.exchange(ctx, c.hello)
	return err
}

// exchange sends a request and returns its answer. It closes the connection after a failure. The caller must hold c.mu.
func (c *conn) exchange(ctx context.Context, request []byte) ([]byte, error) {
	answer, err := c.stream.exchange(ctx, request)
	if err != nil {
		_ = c.stream.Close()
		c.stream = nil
	}
	return answer, err
}

func formatRequest(words ...string) []byte {
	return append(haproxyapi.AppendCommand(nil, words...), '\n')
}

// parse returns the parsed answer, or err if it is not nil.
func parse[T any](answer []byte, err error, parseAnswer func([]byte) (T, error)) (T, error) {
	if err != nil {
		var none T
		return none, err
	}
	return parseAnswer(answer)
}

// Greet performs the handshake, which is repeated on each later connection.
func (c *conn) Greet(ctx context.Context, h service.Hello) (service.Hello, error) {
	name := h.Name
	if name == "" {
		name = anonymousCaller
	}
	hello := formatRequest("hello", fmt.Sprintf("%d.%d", h.Major, h.Minor), name)
	answer, err := c.query(ctx, hello)
	greeting, err := parse(answer, err, text.ParseHello)
	if err == nil {
		c.mu.Lock()
		c.hello = hello
		c.mu.Unlock()
	}
	return greeting, err
}

// Table returns the complete state of a zone.
func (c *conn) Table(ctx context.Context, zone string) (service.Update, error) {
	answer, err := c.query(ctx, formatRequest("get", "table", zone))
	return parse(answer, err, text.ParseUpdate)
}

// Report sends a load report and returns the sequence number of the newest report that the controller has counted.
func (c *conn) Report(ctx context.Context, r *service.Report) (uint64, error) {
	session := strconv.FormatUint(r.Session, 16)
	sequence := strconv.FormatUint(r.Sequence, 10)
	message := haproxyapi.AppendCommand(nil, "report", r.Zone, session, sequence)
	message = append(message, " <<"+payloadEnd+"\n"...)
	message = append(message, text.FormatReport(r)...)
	message = append(message, payloadEnd+"\n"...)
	answer, err := c.query(ctx, message)
	return parse(answer, err, text.ParseReportReply)
}

// Server returns the state of a server by name.
func (c *conn) Server(ctx context.Context, name string) (service.ServerState, error) {
	answer, err := c.query(ctx, formatRequest("get", "server", name))
	return parse(answer, err, text.ParseServerState)
}

// History returns the newest versions of the weight table of a class, at most maxVersions.
func (c *conn) History(ctx context.Context, zone, class string, maxVersions int) (service.History, error) {
	answer, err := c.query(ctx, formatRequest("get", "history", zone, class, strconv.Itoa(maxVersions)))
	return parse(answer, err, text.ParseHistory)
}

// Summary returns a summary of the fleet.
func (c *conn) Summary(ctx context.Context) (service.Summary, error) {
	answer, err := c.query(ctx, formatRequest("get", "summary"))
	return parse(answer, err, text.ParseSummary)
}

// Watch opens a connection, calls apply for each update and acknowledges those that were applied. It returns when the
// context ends, the connection breaks or apply fails.
func (c *conn) Watch(
	ctx context.Context,
	zone string,
	from tableversion.Version,
	apply func(*service.Update) error,
) error {
	s, err := dial(ctx, c.addr)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	c.mu.Lock()
	hello := c.hello
	c.mu.Unlock()
	if len(hello) > 0 {
		if _, err := s.exchange(ctx, hello); err != nil {
			return err
		}
		_ = s.SetDeadline(time.Time{})
	}
	version := noVersion
	if from != tableversion.NoVersion {
		version = from.String()
	}
	if _, err := s.Write(formatRequest("watch", "table", zone, version)); err != nil {
		return unreachableError(err)
	}
	for {
		answer, err := s.nextAnswer()
		if err != nil {
			return err
		}
		update, err := text.ParseUpdate(answer)
		if err != nil {
			return err
		}
		if err := apply(&update); err != nil {
			return err
		}
		if _, err := s.Write(formatRequest("ack", update.To.String())); err != nil {
			return unreachableError(err)
		}
	}
}
