package controller

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
)

const (
	commandTimeout     = 2 * time.Second // long enough for several steps of a busy controller
	sessionIdleTimeout = 10 * time.Minute
)

// Operators serves the operators' socket. It speaks the text protocol of HAProxy's runtime API with the commands that
// "help" lists. Commands wait for the loop's goroutine for up to 2 s.
type Operators struct {
	loop       *Loop
	version    string
	engine     *nbio.Engine
	sessions   sync.Map // *haproxyapi.Session by *nbio.Conn
	socketPath string   // "" for a TCP listener
}

// ServeOperators starts to serve commands to a loop. An address with a slash is the path of a Unix socket, which gets
// mode 0600; any other is host:port. The version is that of the program, for "show info". An address that another
// process listens on is an error; a Unix socket that no process listens on is replaced.
func ServeOperators(loop *Loop, addr, version string) (*Operators, error) {
	o := &Operators{loop: loop, version: version}
	logging.SetLevel(logging.LevelNone) // nbio reports what matters as errors, too
	network := "tcp"
	if strings.Contains(addr, "/") {
		network = "unix"
		o.socketPath = addr
	}
	o.engine = nbio.NewEngine(nbio.Config{
		Name:    "operators",
		Network: network,
		Addrs:   []string{addr},
		NPoller: 1,
		Listen:  haproxyapi.Listen,
	})
	o.engine.OnOpen(o.openSession)
	o.engine.OnData(o.feedSession)
	o.engine.OnClose(func(conn *nbio.Conn, _ error) { o.sessions.Delete(conn) })
	if err := o.engine.Start(); err != nil {
		return nil, fmt.Errorf("listen on operators' socket %s: %w", addr, err)
	}
	return o, nil
}

func (o *Operators) openSession(conn *nbio.Conn) {
	o.sessions.Store(conn, &haproxyapi.Session{Answer: o.answer})
	_ = conn.SetReadDeadline(time.Now().Add(sessionIdleTimeout)) // fails only on a closed connection
}

func (o *Operators) feedSession(conn *nbio.Conn, data []byte) {
	value, ok := o.sessions.Load(conn)
	if !ok {
		_ = conn.Close()
		return
	}
	session := value.(*haproxyapi.Session)
	_ = conn.SetReadDeadline(time.Now().Add(sessionIdleTimeout)) // fails only on a closed connection
	reply, done := session.Feed(data)
	_, _ = conn.Write(reply) // a write error closes the connection, and OnClose ends the session
	if done {
		_ = conn.Close()
	}
}

// Close stops listening, closes all connections and removes the Unix socket.
func (o *Operators) Close() {
	o.engine.Stop()
	if o.socketPath != "" {
		_ = os.Remove(o.socketPath) // the listener may have removed it
	}
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
