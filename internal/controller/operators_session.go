package controller

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"cressknot/internal/haproxyapi"
	"cressknot/internal/netlimit"
)

// operatorSession is one connection to the operators' socket.
type operatorSession struct {
	conn         *netlimit.Conn
	protocol     haproxyapi.Session
	partialSince time.Time // zero: no request is incomplete
}

func newOperatorSession(conn *netlimit.Conn, answer func(haproxyapi.Command) []byte) *operatorSession {
	s := &operatorSession{conn: conn}
	s.protocol.Answer = answer
	s.protocol.Flush = s.flush
	conn.InterruptBeforeClose()
	return s
}

// serve answers commands until the connection is to be closed.
func (s *operatorSession) serve() {
	buffer := make([]byte, sessionReadSize)
	for {
		_ = s.conn.SetReadDeadline(s.readDeadline()) // fails only on a closed connection
		if s.conn.LimitError() != nil {
			s.tellEnd(s.conn.LimitError())
			return
		}
		n, err := s.conn.Read(buffer)
		if n > 0 && !s.handle(buffer[:n]) {
			return
		}
		if err != nil {
			s.handleReadError(err)
			return
		}
	}
}

// readDeadline returns until when the next bytes must arrive.
func (s *operatorSession) readDeadline() time.Time {
	if s.partialSince.IsZero() {
		return time.Now().Add(sessionIdleTimeout)
	}
	return s.partialSince.Add(netlimit.RequestTimeout)
}

// handle answers the commands that the received bytes complete. It returns false if the connection is to be closed.
func (s *operatorSession) handle(data []byte) bool {
	reply, done := s.protocol.Feed(data)
	s.conn.Account.Set(int64(s.protocol.Held()))
	if !s.write(reply) || done {
		return false
	}
	s.conn.Account.Completed()
	switch {
	case !s.protocol.Partial():
		s.partialSince = time.Time{}
	case s.partialSince.IsZero():
		s.partialSince = time.Now()
	}
	return true
}

// flush writes the answer to a command before the next one is carried out. It returns false if the client has left, so
// that what it sent after that has no effect.
func (s *operatorSession) flush(reply []byte) bool {
	s.conn.Account.Set(int64(s.protocol.Held()))
	if !s.write(reply) {
		return false
	}
	raw, ok := s.conn.Conn.(syscall.Conn)
	return !ok || !netlimit.IsUnreachable(raw)
}

// write writes a reply in parts, each of which the client must read within netlimit.UnreadTimeout. It returns false if
// that fails.
func (s *operatorSession) write(reply []byte) bool {
	for len(reply) > 0 {
		_ = s.conn.SetWriteDeadline(time.Now().Add(netlimit.UnreadTimeout)) // as in serve
		n, err := s.conn.Write(reply[:min(len(reply), sessionWriteSize)])
		if err != nil {
			return false
		}
		reply = reply[n:]
	}
	return true
}

// handleReadError tells a client why its connection is closed, if the reason is not that it has left.
func (s *operatorSession) handleReadError(err error) {
	switch {
	case s.conn.LimitError() != nil:
		s.tellEnd(s.conn.LimitError())
	case errors.Is(err, os.ErrDeadlineExceeded) && !s.partialSince.IsZero():
		s.tellEnd(&netlimit.StallError{Timeout: netlimit.RequestTimeout})
	}
}

func (s *operatorSession) tellEnd(reason error) {
	s.write(haproxyapi.AppendAnswer(nil, fmt.Appendf(nil, "%v.\n", reason)))
}
