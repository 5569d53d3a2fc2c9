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
	commandTimeout     = 2 * time.Second // of an operator's command: some steps of a busy controller
	sessionIdleTimeout = 10 * time.Minute
)

// Operators serves the operators' socket: the runtime API's text protocol, with the commands that "help" lists.
type Operators struct {
	loop       *Loop
	version    string
	engine     *nbio.Engine
	sessions   sync.Map // *nbio.Conn to *haproxyapi.Session
	socketPath string   // "" for a TCP listener
}

// ServeOperators listens on a Unix socket of mode 0600, or on host:port.
func ServeOperators(loop *Loop, addr, version string) (*Operators, error) {
	o := &Operators{loop: loop, version: version}
	logging.SetLevel(logging.LevelNone) // the library's own log; what matters comes as errors
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
	_ = conn.SetReadDeadline(time.Now().Add(sessionIdleTimeout)) // fails on a closed connection alone
}

func (o *Operators) feedSession(conn *nbio.Conn, data []byte) {
	value, ok := o.sessions.Load(conn)
	if !ok {
		_ = conn.Close()
		return
	}
	session := value.(*haproxyapi.Session)
	_ = conn.SetReadDeadline(time.Now().Add(sessionIdleTimeout)) // fails on a closed connection alone
	reply, done := session.Feed(data)
	_, _ = conn.Write(reply) // the session ends with the connection
	if done {
		_ = conn.Close()
	}
}

// Close ends all sessions and removes the Unix socket.
func (o *Operators) Close() {
	o.engine.Stop()
	if o.socketPath != "" {
		_ = os.Remove(o.socketPath) // the listener may have removed it
	}
}

// answer runs one command and gives what the session writes.
func (o *Operators) answer(c haproxyapi.Command) []byte {
	for _, known := range commands() {
		n := len(known.words)
		if len(c.Words) < n || !slices.Equal(c.Words[:n], known.words) {
			continue
		}
		return o.run(known, c.Words[n:])
	}
	words := strings.Join(c.Words, " ")
	return fmt.Appendf(nil, "%s'%s'. Known commands:\n%s", haproxyapi.UnknownPrefix, words, helpText())
}

// run runs a command in the loop's goroutine.
func (o *Operators) run(known command, args []string) []byte {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	var text string
	err := o.loop.Do(ctx, func(core *Core) {
		q := &query{core: core, loop: o.loop, version: o.version, now: o.loop.Now(), args: args}
		answer, err := known.handle(q)
		if err != nil {
			answer = err.Error()
		}
		text = answer
	})
	if err != nil {
		return fmt.Appendln(nil, err)
	}
	if known.persists {
		if err := o.loop.WaitPersisted(ctx); err != nil {
			text += fmt.Sprintf("Manual changes are in effect but not on disk, "+
				"and a restart of this controller may lose them: %v.\n", err)
		}
	}
	return []byte(text)
}

// formatTime gives a time as operators see it.
func formatTime(t fleet.Time) string {
	return time.Unix(0, int64(t)).UTC().Format("2006-01-02T15:04:05.000Z")
}

// formatSeconds gives a positive duration in seconds, and "-" for none.
func formatSeconds(t fleet.Time) string {
	if t <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", t.Seconds())
}
