package fakes

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"cressknot/internal/haproxyapi"
)

const (
	// readBufferSize is the size in bytes of a session's read buffer.
	readBufferSize = 1 << 16
	// epochBase is the numeral base of epochs in versions and lease entries.
	epochBase = 36
)

// runtimeSession is a connection to the runtime socket.
type runtimeSession struct {
	id             string
	conn           net.Conn
	since          time.Time
	commands       int
	ended          bool            // closed by "shutdown session"
	stateRead      bool            // has executed "show servers state"
	changedServers map[string]bool // by the commands since the last read
	controller     string          // name in the last lease entry written
	epoch          uint64          // of that lease entry
}

// accept serves sessions until the listener is closed.
func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		if p.conns == nil {
			p.mu.Unlock()
			_ = conn.Close()
			return
		}
		p.lastSession++
		s := &runtimeSession{
			id:             fmt.Sprintf("0x%08x", p.lastSession),
			conn:           conn,
			since:          time.Now(),
			changedServers: map[string]bool{},
		}
		p.conns[conn] = s
		p.mu.Unlock()
		go p.serveSession(s)
	}
}

// serveSession answers the commands of a session until it ends. A controller counts as connected once it has read the
// servers' state and the map.
func (p *Proxy) serveSession(s *runtimeSession) {
	connected := false
	defer func() {
		_ = s.conn.Close()
		p.mu.Lock()
		delete(p.conns, s.conn)
		p.mu.Unlock()
		if connected {
			p.watch.Disconnected(p.Name)
		}
	}()
	protocol := haproxyapi.Session{Answer: func(command haproxyapi.Command) []byte { return p.answer(command, s) }}
	buffer := make([]byte, readBufferSize)
	read := 0
	for {
		n, err := s.conn.Read(buffer)
		if err != nil {
			return
		}
		cutAfter := p.waitWhileStalled()
		if cutAfter >= 0 && read+n > cutAfter {
			n = max(0, cutAfter-read)
		}
		read += n
		reply, done := protocol.Feed(buffer[:n])
		if len(s.changedServers) > 0 {
			p.watch.Message(p.Name, len(s.changedServers))
			clear(s.changedServers)
		}
		if cutAfter >= 0 && read >= cutAfter {
			p.finishCut()
			return
		}
		if _, err := s.conn.Write(reply); err != nil || done {
			return
		}
		if !connected && s.stateRead && bytes.Contains(buffer[:n], []byte("show map")) {
			connected = true
			if s.controller != "" {
				p.watch.Owner(p.Name, s.controller)
			}
			p.watch.Connected(p.Name)
		}
	}
}

// answer executes a command after the configured delay and returns the answer. An unresponsive proxy never returns.
func (p *Proxy) answer(command haproxyapi.Command, s *runtimeSession) []byte {
	if p.Unresponsive {
		select {}
	}
	p.mu.Lock()
	delay := p.readDelay
	p.mu.Unlock()
	time.Sleep(delay)
	return p.execute(command, s)
}

// waitWhileStalled waits until the proxy's stall ends, and returns the number of bytes after which the session must be
// closed, negative for never.
func (p *Proxy) waitWhileStalled() (cutAfter int) {
	p.mu.Lock()
	cutAfter = p.cutAfter
	wait := time.Until(p.stalledUntil)
	p.mu.Unlock()
	time.Sleep(wait)
	return cutAfter
}

// finishCut disables further cuts if only one was requested.
func (p *Proxy) finishCut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutOnce {
		p.cutAfter = -1
	}
}

// isOlderVersion reports whether a version, EPOCH.COUNT/DIGEST with the epoch in base 36, precedes another one.
func isOlderVersion(version, than string) bool {
	epoch, count := parseVersion(version)
	otherEpoch, otherCount := parseVersion(than)
	return epoch < otherEpoch || epoch == otherEpoch && count < otherCount
}

func parseVersion(version string) (epoch, count uint64) {
	epochText, rest, _ := strings.Cut(version, ".")
	countText, _, _ := strings.Cut(rest, "/")
	epoch, _ = strconv.ParseUint(epochText, epochBase, 64)
	count, _ = strconv.ParseUint(countText, 10, 64)
	return epoch, count
}

// recordLease takes the session's controller and epoch from a lease entry that it writes. Other map entries are
// ignored.
func (s *runtimeSession) recordLease(key, value string) {
	controller, ok := strings.CutPrefix(key, "cressknot.lease.")
	if !ok {
		return
	}
	epoch, _, _ := strings.Cut(value, ".")
	s.controller = controller
	s.epoch, _ = strconv.ParseUint(epoch, epochBase, 64)
}
