package text

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"cressknot/internal/haproxyapi"
	"cressknot/internal/service"
	"cressknot/internal/tableversion"
)

// connection is one connection of a caller.
type connection struct {
	server   *Server
	conn     *nbio.Conn
	parser   haproxyapi.RequestParser
	watcher  atomic.Pointer[service.Watcher]
	isClosed atomic.Bool
	caller   string     // of the goroutine that answers
	writeMu  sync.Mutex // orders what is written

	mu        sync.Mutex
	pending   []haproxyapi.Command // not answered yet
	answering bool                 // a goroutine answers them
}

// receive takes bytes of the caller.
func (c *connection) receive(data []byte) {
	_ = c.conn.SetReadDeadline(time.Now().Add(service.IdleTimeout))
	err := c.parser.Feed(data, func(commands []haproxyapi.Command) error {
		for _, command := range commands {
			if err := c.enqueue(command); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		c.answerError(service.BadRequest, "invalid request: %v", err)
		_ = c.conn.Close()
	}
}

// enqueue puts a command behind those that are being answered: an event loop serves many connections and waits for
// none. An acknowledgement of a watcher needs no answer.
func (c *connection) enqueue(command haproxyapi.Command) error {
	if watcher := c.watcher.Load(); watcher != nil {
		return acknowledge(watcher, command)
	}
	command.Payload = bytes.Clone(command.Payload)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= service.MaxPendingRequests {
		reason := fmt.Sprintf("more than %d commands are pending on this connection", service.MaxPendingRequests)
		return &haproxyapi.SyntaxError{Offset: command.Offset, Reason: reason}
	}
	c.pending = append(c.pending, command)
	if !c.answering {
		c.answering = true
		go c.answerAll()
	}
	return nil
}

// acknowledge handles "ack VERSION", the only command of a connection that watches.
func acknowledge(watcher *service.Watcher, command haproxyapi.Command) error {
	if len(command.Words) == 2 && command.Words[0] == "ack" {
		if version, err := tableversion.ParseVersion(command.Words[1]); err == nil {
			watcher.Ack(version)
			return nil
		}
	}
	const reason = "only 'ack VERSION' is accepted on a connection that watches a table"
	return &haproxyapi.SyntaxError{Offset: command.Offset, Reason: reason}
}

// answerAll answers the waiting commands in order until none is left or the connection is closed.
func (c *connection) answerAll() {
	for {
		command, ok := c.nextCommand()
		if !ok {
			return
		}
		c.execute(command)
	}
}

func (c *connection) nextCommand() (command haproxyapi.Command, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 || c.isClosed.Load() {
		c.answering = false
		return haproxyapi.Command{}, false
	}
	command = c.pending[0]
	c.pending = c.pending[1:]
	return command, true
}

// execute answers one command.
func (c *connection) execute(command haproxyapi.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), service.RequestTimeout)
	defer cancel()
	for i := range handlers {
		if handlers[i].matches(command.Words) {
			handlers[i].handle(ctx, c, command)
			return
		}
	}
	c.answerUnknown(command)
}

func (c *connection) answer(text []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.write(text)
}

// write writes an answer. The caller has locked writing.
func (c *connection) write(text []byte) {
	if !c.isClosed.Load() {
		_, _ = c.conn.Write(haproxyapi.AppendAnswer(make([]byte, 0, len(text)+1), text))
	}
}

func (c *connection) answerError(code service.Code, format string, args ...any) {
	c.answer(FormatError(&service.Error{Code: code, Text: fmt.Sprintf(format, args...)}))
}

// reply answers with the result of a query.
func reply[T any](c *connection, result T, serviceErr *service.Error, format func(T) []byte) {
	if serviceErr != nil {
		c.answer(FormatError(serviceErr))
		return
	}
	c.answer(format(result))
}

// sendUpdates writes what the watcher has.
func (c *connection) sendUpdates() {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	watcher := c.watcher.Load()
	for watcher != nil && !c.isClosed.Load() {
		update, endErr := watcher.Next()
		if endErr != nil {
			c.write(FormatError(endErr))
			_ = c.conn.Close()
			return
		}
		if update == nil {
			return
		}
		c.write(encodedUpdate(update))
	}
}

// encoded returns the text of an update, made once for all connections.
func encodedUpdate(update *service.SharedUpdate) []byte {
	text := update.Encoded(service.TextEncoding, func(u *service.Update) any { return FormatUpdate(u) })
	return text.([]byte)
}

// closed ends the watch after the connection was closed.
func (c *connection) closed() {
	c.isClosed.Store(true)
	if watcher := c.watcher.Load(); watcher != nil {
		watcher.Close()
	}
}
