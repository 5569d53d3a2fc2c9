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
	"cressknot/internal/netlimit"
	"cressknot/internal/service"
	"cressknot/internal/tableversion"
)

const (
	// commandOverhead and wordOverhead are the memory of a pending command and of each word, in bytes, alongside their
	// text.
	commandOverhead = 128
	wordOverhead    = 16
)

// connection is a connection of a caller. Its commands are answered one after the other, in order.
type connection struct {
	server   *Server
	conn     *nbio.Conn
	parser   haproxyapi.RequestParser
	usage    *netlimit.Usage
	watcher  atomic.Pointer[service.Watcher]
	isClosed atomic.Bool
	waiting  atomic.Bool    // the next command waits until all answers are sent
	caller   service.Caller // only used by the goroutine that answers
	claims   service.Claims // of caller
	rejected bool           // the latest command was rejected; only used by the goroutine that answers
	writeMu  sync.Mutex     // serializes writes

	mu           sync.Mutex
	pending      []haproxyapi.Command // not answered yet
	pendingBytes int                  // their cost
	answering    bool                 // a goroutine is answering pending commands
}

func newConnection(server *Server, conn *nbio.Conn) *connection {
	c := &connection{server: server, conn: conn}
	c.writeMu.Lock() // the budget may close the connection at once, which writes an answer
	defer c.writeMu.Unlock()
	c.usage = netlimit.NewUsage(server.service.Connections.Open("text", conn.RemoteAddr(), c.closeForLimit))
	c.caller = service.Caller{Address: netlimit.AddressOf(conn.RemoteAddr()), Claims: &c.claims}
	return c
}

// receive parses received bytes and queues complete commands. After a syntax error it closes the connection.
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
	c.mu.Lock()
	held := c.parser.Held() + c.pendingBytes
	c.mu.Unlock()
	c.usage.Receive(time.Now(), held, c.parser.Partial())
}

// closeForLimit tells the caller which limit of all connections is exceeded and closes the connection.
func (c *connection) closeForLimit(reason *netlimit.Error) {
	c.answerError(service.Overloaded, "%v", reason)
	_ = c.conn.Close()
}

// closeIfStalled closes the connection if a request or an answer makes no progress.
func (c *connection) closeIfStalled(now time.Time) {
	if stalled := c.usage.Stalled(now); stalled != nil {
		c.answerError(service.TooSlow, "%v", stalled)
		_ = c.conn.Close()
	}
}

// enqueue queues a command for the goroutine that answers, because the event loop serves many connections and must not
// block. On a connection that watches, acknowledgements are handled at once and not answered.
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
	c.pendingBytes += commandCost(command)
	c.startAnswering()
	return nil
}

// commandCost returns the memory of a command, in bytes.
func commandCost(command haproxyapi.Command) int {
	cost := commandOverhead + len(command.Payload)
	for _, word := range command.Words {
		cost += wordOverhead + len(word)
	}
	return cost
}

// startAnswering starts a goroutine that answers, unless one does or nothing can be answered now. The caller must hold
// mu.
func (c *connection) startAnswering() {
	if !c.answering && c.mayAnswer() {
		c.answering = true
		go c.answerAll()
	}
}

// mayAnswer reports whether a command is pending and the answers before it are on their way. As long as the client
// reads none of them, the next command is not carried out: its answer might not reach the client either. The caller
// must hold mu.
func (c *connection) mayAnswer() bool {
	return len(c.pending) > 0 && !c.isClosed.Load() && c.usage.Unsent() == 0
}

// resumeLater continues to answer after all answers are sent, if that had to wait.
func (c *connection) resumeLater() {
	if !c.waiting.Swap(false) {
		return
	}
	go func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.startAnswering()
	}()
}

// acknowledge handles "ack VERSION", the only command on a connection that watches a table.
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

// answerAll answers the pending commands in order until none is left, the caller reads no more or the connection is
// closed. What a caller sent before it left is not carried out, as no answer can reach it.
func (c *connection) answerAll() {
	for {
		command, ok := c.nextCommand()
		if !ok {
			return
		}
		c.rejected = false
		c.execute(command)
		if c.rejected {
			time.Sleep(service.RejectionDelay)
		}
	}
}

func (c *connection) nextCommand() (command haproxyapi.Command, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting.Store(true) // before the check, as the answers may be sent at the same time
	if !c.mayAnswer() || netlimit.HasLeft(c.conn) {
		c.answering = false
		return haproxyapi.Command{}, false
	}
	c.waiting.Store(false)
	command = c.pending[0]
	c.pending = c.pending[1:]
	c.pendingBytes -= commandCost(command)
	return command, true
}

// execute runs the handler of a command.
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

// write writes an answer. The caller must hold writeMu.
func (c *connection) write(text []byte) {
	if !c.isClosed.Load() {
		answer := haproxyapi.AppendAnswer(make([]byte, 0, len(text)+1), text)
		c.usage.Queue(time.Now(), len(answer))
		_, _ = c.conn.Write(answer)
	}
}

// written handles bytes that were sent. It is called while the connection is locked.
func (c *connection) written(bytes int) {
	if c.usage.Sent(time.Now(), bytes) == 0 {
		c.resumeLater()
	}
}

func (c *connection) answerError(code service.Code, format string, args ...any) {
	c.answer(FormatError(&service.Error{Code: code, Text: fmt.Sprintf(format, args...)}))
}

// reject answers the command that is being executed with an error.
func (c *connection) reject(serviceErr *service.Error) {
	c.rejected = true
	c.answer(FormatError(serviceErr))
}

func (c *connection) rejectRequest(format string, args ...any) {
	c.reject(&service.Error{Code: service.BadRequest, Text: fmt.Sprintf(format, args...)})
}

// reply answers with the formatted result of a query, or with its error.
func reply[T any](c *connection, result T, serviceErr *service.Error, format func(T) []byte) {
	if serviceErr != nil {
		c.reject(serviceErr)
		return
	}
	c.usage.Account().Completed()
	c.answer(format(result))
}

// sendUpdates writes all updates that the watcher has to send now. If the watch has ended it writes the reason and
// closes the connection.
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

// encodedUpdate returns the text of an update, which is formatted once for all connections.
func encodedUpdate(update *service.SharedUpdate) []byte {
	text := update.Encoded(service.TextEncoding, func(u *service.Update) any { return FormatUpdate(u) })
	return text.([]byte)
}

// closed ends the watch, if any, after the connection has been closed.
func (c *connection) closed() {
	c.isClosed.Store(true)
	c.usage.Account().Close()
	if watcher := c.watcher.Load(); watcher != nil {
		watcher.Close()
	}
}
