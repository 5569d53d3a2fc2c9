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

// stream is a connection of the text protocol that splits received bytes into answers.
type stream struct {
	net.Conn
	parser haproxyapi.AnswerParser
	buffer []byte
	queued [][]byte // received answers that have not been returned yet
}

func unreachableError(err error) error {
	return &service.Error{Code: service.Unreachable, Text: err.Error()}
}

// dial connects to host:port, or to a Unix socket if the address contains a slash.
func dial(ctx context.Context, addr string) (*stream, error) {
	network := "tcp"
	if strings.Contains(addr, "/") {
		network = "unix"
	}
	dialer := net.Dialer{Timeout: service.ClientDialTimeout}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, unreachableError(err)
	}
	return &stream{Conn: conn, buffer: make([]byte, readBufferSize)}, nil
}

// exchange sends a request and reads its answer. It fails when the context ends.
func (s *stream) exchange(ctx context.Context, request []byte) ([]byte, error) {
	deadline, _ := ctx.Deadline()
	_ = s.SetDeadline(deadline)
	// A deadline in the past ends reads at once.
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := s.Write(request); err != nil {
		return nil, unreachableError(err)
	}
	return s.nextAnswer()
}

// nextAnswer returns the next answer, and reads from the connection if none is queued.
func (s *stream) nextAnswer() ([]byte, error) {
	for len(s.queued) == 0 {
		if err := s.receive(); err != nil {
			return nil, err
		}
	}
	answer := s.queued[0]
	s.queued = s.queued[1:]
	return answer, nil
}

// receive reads once from the connection and queues the answers that are complete. It returns a read error only if no
// answer is queued.
func (s *stream) receive() error {
	n, err := s.Read(s.buffer)
	malformed := s.parser.Feed(s.buffer[:n], func(answer []byte) error {
		s.queued = append(s.queued, bytes.Clone(answer))
		return nil
	})
	if malformed != nil {
		return &service.Error{Code: service.Malformed, Text: malformed.Error()}
	}
	if err == nil || len(s.queued) > 0 {
		return nil
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return &service.Error{Code: service.Busy, Text: "no answer from the controller before the deadline"}
	}
	return unreachableError(err)
}
