package runtime

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"time"

	"cressknot/internal/haproxyapi"
	"cressknot/internal/service"
)

// readBufferSize is the size in bytes of a stream's read buffer.
const readBufferSize = 64 << 10

// stream is one connection of the text protocol.
type stream struct {
	net.Conn
	answers haproxyapi.AnswerParser
	buffer  []byte
	ready   [][]byte // answers that were received and not returned yet
}

func unreachable(err error) error {
	return &service.Error{Code: service.Unreachable, Text: err.Error()}
}

// dial connects to host:port or a Unix socket's path.
func dial(ctx context.Context, addr string) (*stream, error) {
	network := "tcp"
	if strings.Contains(addr, "/") {
		network = "unix"
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, unreachable(err)
	}
	return &stream{Conn: conn, buffer: make([]byte, readBufferSize)}, nil
}

// ask sends a request and reads its answer within the context.
func (s *stream) ask(ctx context.Context, request []byte) ([]byte, error) {
	deadline, _ := ctx.Deadline()
	_ = s.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Unix(1, 0)) }) // in the past: ends reads at once
	defer stop()
	if _, err := s.Write(request); err != nil {
		return nil, unreachable(err)
	}
	return s.next()
}

// next reads the next answer.
func (s *stream) next() ([]byte, error) {
	for len(s.ready) == 0 {
		if err := s.receive(); err != nil {
			return nil, err
		}
	}
	answer := s.ready[0]
	s.ready = s.ready[1:]
	return answer, nil
}

// receive reads some bytes and collects the answers that they complete. An error of the connection counts only if
// none was completed.
func (s *stream) receive() error {
	n, err := s.Read(s.buffer)
	malformed := s.answers.Feed(s.buffer[:n], func(answer []byte) error {
		s.ready = append(s.ready, bytes.Clone(answer))
		return nil
	})
	if malformed != nil {
		return &service.Error{Code: service.Malformed, Text: malformed.Error()}
	}
	if err == nil || len(s.ready) > 0 {
		return nil
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return &service.Error{Code: service.Busy, Text: "no answer from the controller before the deadline"}
	}
	return unreachable(err)
}
