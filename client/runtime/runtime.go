// Package runtime connects the client library to governors over the text protocol of package runtimeapi, as package service/text
// answers it.
package runtime

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"cressknot/client"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/service"
	"cressknot/internal/service/text"
	"cressknot/internal/tableversion"
)

const readBytes = 64 << 10

// New makes a client whose governors are asked over the text protocol at host:port or a Unix socket's path.
func New(cfg client.Config) (*client.Client, error) { return client.New(cfg, Transport{}) }

// Transport connects over the text protocol.
type Transport struct{}

var _ client.Transport = Transport{}

// conn asks one question at a time on a connection of its own, which is made anew where an answer was not waited for. A watch
// has its own.
type conn struct {
	addr, caller string
	mu           sync.Mutex
	line         *line // nil: to be made
	closed       bool
	hello        string // of this caller, once it has greeted
}

// line is one connection.
type line struct {
	net.Conn
	answers haproxyapi.Answers
	buffer  []byte
	ready   [][]byte
}

func unreachable(err error) error {
	return &service.Error{Code: service.Unreachable, Text: err.Error()}
}

// Dial connects.
func (Transport) Dial(ctx context.Context, addr, caller string) (client.Conn, error) {
	c := &conn{addr: addr, caller: caller}
	l, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	c.line = l
	return c, nil
}

func (c *conn) dial(ctx context.Context) (*line, error) {
	network := "tcp"
	if strings.Contains(c.addr, "/") {
		network = "unix"
	}
	var d net.Dialer
	n, err := d.DialContext(ctx, network, c.addr)
	if err != nil {
		return nil, unreachable(err)
	}
	return &line{Conn: n, buffer: make([]byte, readBytes)}, nil
}

// Close ends it; a question under way fails.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.line != nil {
		return c.line.Close()
	}
	return nil
}

// next reads the next answer.
func (l *line) next() ([]byte, error) {
	for len(l.ready) == 0 {
		n, err := l.Read(l.buffer)
		fed := l.answers.Feed(l.buffer[:n], func(text []byte) error {
			l.ready = append(l.ready, append([]byte(nil), text...))
			return nil
		})
		if fed != nil {
			return nil, &service.Error{Code: service.Malformed, Text: fed.Error()}
		}
		if err != nil && len(l.ready) == 0 {
			if e := net.Error(nil); errors.As(err, &e) && e.Timeout() {
				return nil, &service.Error{Code: service.Busy, Text: "no answer in time"}
			}
			return nil, unreachable(err)
		}
	}
	text := l.ready[0]
	l.ready = l.ready[1:]
	return text, nil
}

// ask sends a request on a line and reads its answer within the context.
func (l *line) ask(ctx context.Context, request []byte) ([]byte, error) {
	deadline, _ := ctx.Deadline()
	_ = l.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = l.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := l.Write(request); err != nil {
		return nil, unreachable(err)
	}
	return l.next()
}

// question asks on the connection for questions. One whose answer was not waited for is closed, as it would be taken for the next
// question's.
func (c *conn) question(ctx context.Context, request []byte) (text []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, unreachable(net.ErrClosed)
	}
	if c.line == nil {
		if c.line, err = c.dial(ctx); err != nil {
			return nil, err
		}
		if c.hello != "" {
			if _, err := c.line.ask(ctx, []byte(c.hello)); err != nil {
				_ = c.line.Close()
				c.line = nil
				return nil, err
			}
		}
	}
	if text, err = c.line.ask(ctx, request); err != nil {
		_ = c.line.Close()
		c.line = nil
	}
	return text, err
}

func request(words ...string) []byte { return append(haproxyapi.AppendCommand(nil, words...), '\n') }

// got reads an answer.
func got[T any](text []byte, err error, read func([]byte) (T, error)) (v T, fault error) {
	if err != nil {
		return v, err
	}
	return read(text)
}

func (c *conn) Greet(ctx context.Context, h service.Hello) (service.Hello, error) {
	name := h.Name
	if name == "" {
		name = "-"
	}
	hello := request("hello", fmt.Sprintf("%d.%d", h.Major, h.Minor), name)
	answer, err := c.question(ctx, hello)
	there, err := got(answer, err, text.ParseHello)
	if err == nil {
		c.mu.Lock()
		c.hello = string(hello)
		c.mu.Unlock()
	}
	return there, err
}

func (c *conn) Table(ctx context.Context, zone string) (service.Update, error) {
	answer, err := c.question(ctx, request("get", "table", zone))
	return got(answer, err, text.ParseUpdate)
}

const payloadEnd = "end-of-batch" // no row reads like it

func (c *conn) Report(ctx context.Context, r *service.Report) (uint64, error) {
	q := haproxyapi.AppendCommand(nil, "report", r.Zone, strconv.FormatUint(r.Session, 16), strconv.FormatUint(r.Sequence, 10))
	q = append(append(q, " <<"+payloadEnd+"\n"...), text.FormatReport(r)...)
	answer, err := c.question(ctx, append(q, payloadEnd+"\n"...))
	return got(answer, err, text.ParseCounted)
}

func (c *conn) Server(ctx context.Context, name string) (service.ServerState, error) {
	answer, err := c.question(ctx, request("get", "server", name))
	return got(answer, err, text.ParseServerState)
}

func (c *conn) History(ctx context.Context, zone, class string, most int) (service.History, error) {
	answer, err := c.question(ctx, request("get", "history", zone, class, strconv.Itoa(most)))
	return got(answer, err, text.ParseHistory)
}

func (c *conn) Summary(ctx context.Context) (service.Summary, error) {
	answer, err := c.question(ctx, request("get", "summary"))
	return got(answer, err, text.ParseSummary)
}

func (c *conn) Watch(ctx context.Context, zone string, holds tableversion.Version, take func(*service.Update) error) error {
	l, err := c.dial(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	c.mu.Lock()
	hello := c.hello
	c.mu.Unlock()
	if hello != "" {
		if _, err := l.ask(ctx, []byte(hello)); err != nil {
			return err
		}
		_ = l.SetDeadline(time.Time{})
	}
	from := "-"
	if holds != tableversion.NoVersion {
		from = holds.String()
	}
	if _, err := l.Write(request("watch", "table", zone, from)); err != nil {
		return unreachable(err)
	}
	for {
		answer, err := l.next()
		if err != nil {
			return err
		}
		u, err := text.ParseUpdate(answer)
		if err != nil {
			return err
		}
		if err := take(&u); err != nil {
			return err
		}
		if _, err := l.Write(request("ack", u.To.String())); err != nil {
			return unreachable(err)
		}
	}
}
