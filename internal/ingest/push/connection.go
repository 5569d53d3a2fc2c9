package push

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"cressknot/internal/netlimit"
)

// bufferGrowth is the ratio of the size of a buffer to its content, as it doubles when it is full.
const bufferGrowth = 2

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// connection is a connection of a client. Its account is nil if it has none.
type connection struct{ *netlimit.Conn }

// withConnection adds the connection to the context of its requests.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	limited, ok := conn.(*netlimit.Conn)
	if !ok {
		return ctx
	}
	limited.InterruptBeforeClose()
	return context.WithValue(ctx, connectionKey{}, limited)
}

func connectionOf(r *http.Request) connection {
	if limited, ok := r.Context().Value(connectionKey{}).(*netlimit.Conn); ok {
		return connection{limited}
	}
	return connection{&netlimit.Conn{}}
}

// isUnreachable reports whether no answer can reach the client any more.
func (c connection) isUnreachable() bool {
	raw, ok := c.Conn.Conn.(syscall.Conn)
	return ok && netlimit.IsUnreachable(raw)
}

// countingReader adds what it reads to an account.
type countingReader struct {
	io.Reader
	account *netlimit.Account
}

func (r countingReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	r.account.Add(int64(n) * bufferGrowth)
	return n, err
}

// readBatch reads the body of a request within netlimit.RequestTimeout. What is read counts as held by the connection.
func (s *Server) readBatch(buffer *bytes.Buffer, w http.ResponseWriter, r *http.Request) *bodyError {
	// Fails only on a closed connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(netlimit.RequestTimeout))
	connection := connectionOf(r)
	err := readBody(buffer, r, connection.Account)
	switch {
	case err == nil:
		return nil
	case connection.LimitError() != nil:
		w.Header().Set("Connection", "close")
		return &bodyError{http.StatusServiceUnavailable, connection.LimitError()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return &bodyError{
			http.StatusRequestTimeout,
			fmt.Errorf("batch not complete after %v: %d bytes received", netlimit.RequestTimeout, buffer.Len()),
		}
	}
	return err
}
