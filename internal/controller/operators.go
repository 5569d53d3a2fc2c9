package controller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/netlimit"
)

const (
	commandTimeout     = 2 * time.Second // long enough for several steps of a busy controller
	sessionIdleTimeout = 10 * time.Minute
	// sessionReadSize and sessionWriteSize are the sizes in bytes of what is read and written at a time.
	sessionReadSize  = 4 << 10
	sessionWriteSize = 64 << 10
	// acceptRetryDelay is the delay after a connection could not be accepted.
	acceptRetryDelay = 50 * time.Millisecond
)

// Operators serves the operators' socket. It speaks the text protocol of HAProxy's runtime API with the commands that
// "help" lists. Each connection has a goroutine, which answers one command after the other. Commands wait for the
// loop's goroutine for up to 2 s.
type Operators struct {
	loop     *Loop
	version  string
	listener net.Listener
	sessions sync.WaitGroup

	mu     sync.Mutex
	closed bool
	conns  map[*netlimit.Conn]struct{}
}

// ServeOperators starts to serve commands to a loop. An address with a slash is the path of a Unix socket, which gets
// mode 0600; any other is host:port. The version is that of the program, for "show info". An address that another
// process listens on is an error; a Unix socket that no process listens on is replaced. The connections count in the
// budget of the loop.
func ServeOperators(loop *Loop, addr, version string) (*Operators, error) {
	network := "tcp"
	if strings.Contains(addr, "/") {
		network = "unix"
	}
	listener, err := haproxyapi.Listen(network, addr)
	if err != nil {
		return nil, fmt.Errorf("listen on operators' socket %s: %w", addr, err)
	}
	o := &Operators{
		loop:     loop,
		version:  version,
		listener: netlimit.NewListener(listener, loop.connections, "operators"),
		conns:    map[*netlimit.Conn]struct{}{},
	}
	o.sessions.Go(o.accept)
	return o, nil
}

// accept starts a session for each connection until the listener is closed.
func (o *Operators) accept() {
	for {
		conn, err := o.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // such as too many open files
			time.Sleep(acceptRetryDelay)
			continue
		}
		limited := conn.(*netlimit.Conn)
		if !o.add(limited) {
			_ = limited.Close()
			return
		}
		o.sessions.Go(func() {
			defer o.remove(limited)
			newOperatorSession(limited, o.answer).serve()
		})
	}
}

// add adds a connection, and returns false if the server is closed.
func (o *Operators) add(conn *netlimit.Conn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.closed {
		o.conns[conn] = struct{}{}
	}
	return !o.closed
}

// remove closes a connection.
func (o *Operators) remove(conn *netlimit.Conn) {
	_ = conn.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, conn)
}

// Close stops listening, closes all connections and removes the Unix socket. It waits until commands in progress have
// ended.
func (o *Operators) Close() {
	_ = o.listener.Close() // removes the Unix socket
	o.mu.Lock()
	o.closed = true
	for conn := range o.conns {
		_ = conn.Close()
	}
	o.mu.Unlock()
	o.sessions.Wait()
}

// answer runs the command that a request names and returns the answer.
func (o *Operators) answer(request haproxyapi.Command) []byte {
	for _, candidate := range commands() {
		n := len(candidate.words)
		if len(request.Words) < n || !slices.Equal(request.Words[:n], candidate.words) {
			continue
		}
		return o.run(candidate, request.Words[n:])
	}
	words := strings.Join(request.Words, " ")
	return fmt.Appendf(nil, "%s'%s'. Known commands:\n%s", haproxyapi.UnknownPrefix, words, helpText())
}

// run handles a command in the loop's goroutine and, where the command requires it, waits until its effect is on disk.
func (o *Operators) run(cmd command, args []string) []byte {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	var text string
	err := o.loop.Do(ctx, func(core *Core) {
		q := &query{core: core, loop: o.loop, version: o.version, now: o.loop.Now(), args: args}
		answer, err := cmd.handle(q)
		if err != nil {
			answer = err.Error()
		}
		text = answer
	})
	if err != nil {
		return fmt.Appendln(nil, err)
	}
	if cmd.persists {
		if err := o.loop.WaitPersisted(ctx); err != nil {
			text += fmt.Sprintf("Manual changes are in effect but not on disk, "+
				"and a restart of this controller may lose them: %v.\n", err)
		}
	}
	return []byte(text)
}

// formatTime formats a time in UTC with milliseconds.
func formatTime(t fleet.Time) string {
	return time.Unix(0, int64(t)).UTC().Format("2006-01-02T15:04:05.000Z")
}

// formatSeconds formats a duration in seconds with one decimal; 0 and less is "-".
func formatSeconds(t fleet.Time) string {
	if t <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", t.Seconds())
}
