// Package push receives the load reports that servers push over HTTP POST in the line protocol of InfluxDB, which most
// agents and client libraries can send. It only decodes and forwards reports; package ingest decides which reports are
// accepted and what the reply to their source is.
package push

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/influxdata/line-protocol/v2/lineprotocol"
	"golang.org/x/sync/semaphore"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest"
	"cressknot/internal/netlimit"
)

const (
	// maxBodySize is the largest size of a batch after decompression, in bytes.
	maxBodySize = 1 << 20

	// maxBytesInFlight is the largest number of bytes of all complete batches that are processed at a time.
	maxBytesInFlight = 16 << 20

	// maxCapacityWait is the longest time that a complete batch waits for its share of maxBytesInFlight.
	maxCapacityWait = 2 * time.Second

	// maxHeaderSize is in bytes.
	maxHeaderSize = 8 << 10

	// writeTimeout starts with the read and leaves time to wait for capacity.
	writeTimeout = netlimit.RequestTimeout + maxCapacityWait + netlimit.UnreadTimeout
	idleTimeout  = 2 * time.Minute

	// busyRetryAfter is the Retry-After of the response to a batch for which there is no capacity.
	busyRetryAfter = fleet.Second
)

// busyMessage is the error message for a batch for which there is no capacity.
var busyMessage = fmt.Sprintf("no capacity to process the batch within %v: at most %d bytes are processed at a time",
	maxCapacityWait, maxBytesInFlight)

// Sink receives records. Its methods are called from several goroutines.
type Sink interface {
	// Now returns the current time of the controller.
	Now() fleet.Time

	// Push takes the records of a batch and returns the reply to its sender. It must not retain the slice.
	Push(records []ingest.Record) ingest.Reply
}

// Counts are counters since the start, for operators.
type Counts struct {
	Batches  uint64 // received batches
	Rejected uint64 // rejected batches, including Busy
	Unknown  uint64 // lines of unknown servers
	Ignored  uint64 // lines of other measurements
	Busy     uint64 // batches for which there was no capacity
}

// Server is the HTTP server for load reports: POST /api/v2/write or /write, ?precision=ns|us|ms|s. GET /health answers
// 204.
type Server struct {
	sink          Sink
	schema        Schema
	http          *http.Server
	bytesInFlight *semaphore.Weighted
	addr          net.Addr
	serving       sync.WaitGroup

	batches  atomic.Uint64
	rejected atomic.Uint64
	unknown  atomic.Uint64
	ignored  atomic.Uint64
	busy     atomic.Uint64
}

// Listen starts a Server at addr, a host:port. Its connections count in the budget, which may be nil. The caller must
// call Close.
func Listen(addr string, sink Sink, schema Schema, budget *netlimit.Budget) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("load report listener: %w", err)
	}
	s := &Server{
		sink:          sink,
		schema:        schema,
		bytesInFlight: semaphore.NewWeighted(maxBytesInFlight),
		addr:          listener.Addr(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/v2/write", s.write)
	mux.HandleFunc("POST /write", s.write)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s.http = &http.Server{
		Handler:           mux,
		ConnContext:       withConnection,
		ReadHeaderTimeout: netlimit.RequestTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderSize,
	}
	limited := netlimit.NewListener(listener, budget, "reports")
	s.serving.Go(func() { _ = s.http.Serve(limited) })
	return s, nil
}

// Addr returns the host:port on which the server listens.
func (s *Server) Addr() string { return s.addr.String() }

// Close stops the server. Batches in flight are completed until the context ends; then their connections are closed.
func (s *Server) Close(ctx context.Context) error {
	defer s.serving.Wait()
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Join(err, s.http.Close())
	}
	return nil
}

// Counts returns the current counters. It may be called from any goroutine.
func (s *Server) Counts() Counts {
	return Counts{
		Batches:  s.batches.Load(),
		Rejected: s.rejected.Load(),
		Unknown:  s.unknown.Load(),
		Ignored:  s.ignored.Load(),
		Busy:     s.busy.Load(),
	}
}

// precisions are the values of the query parameter precision.
var precisions = map[string]lineprotocol.Precision{
	"":   lineprotocol.Nanosecond,
	"ns": lineprotocol.Nanosecond,
	"us": lineprotocol.Microsecond,
	"ms": lineprotocol.Millisecond,
	"s":  lineprotocol.Second,
}

// buffers hold the body and the records of a batch. They are pooled.
type buffers struct {
	body    bytes.Buffer
	records []ingest.Record
}

var bufferPool = sync.Pool{New: func() any { return new(buffers) }}

func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	s.batches.Add(1)
	precision := r.URL.Query().Get("precision")
	unit, ok := precisions[precision]
	if !ok {
		s.reject(w, invalid(http.StatusBadRequest, fmt.Errorf("unknown precision %.10q, want ns, us, ms or s", precision)))
		return
	}
	connection := connectionOf(r)
	pooled := bufferPool.Get().(*buffers)
	defer bufferPool.Put(pooled)
	pooled.body.Reset()
	defer connection.Account.Set(0)
	if err := s.readBatch(&pooled.body, w, r); err != nil {
		s.reject(w, invalid(err.status, err))
		return
	}
	release, ok := s.acquireCapacity(r.Context(), pooled.body.Len())
	if !ok {
		s.busy.Add(1)
		s.reject(w, rejection{
			status:     http.StatusServiceUnavailable,
			code:       "unavailable",
			message:    busyMessage,
			retryAfter: busyRetryAfter,
		})
		return
	}
	defer release()
	records, ignored, err := Decode(pooled.records[:0], pooled.body.Bytes(), &s.schema, unit, s.sink.Now())
	pooled.records = records[:0]
	if err != nil {
		s.reject(w, invalid(http.StatusBadRequest, fmt.Errorf("%w; the whole batch was rejected", err)))
		return
	}
	s.unknown.Add(uint64(ignored.Unknown))
	s.ignored.Add(uint64(ignored.Lines))
	var reply ingest.Reply
	if connection.isUnreachable() {
		return // the answer can't reach the client, so that the batch is not carried out
	}
	if len(records) > 0 {
		reply = s.sink.Push(records)
	}
	connection.Account.Completed()
	s.writeReply(w, reply)
}

// acquireCapacity waits until a complete batch may be processed within maxBytesInFlight. The caller must call release.
// It returns false after maxCapacityWait.
func (s *Server) acquireCapacity(ctx context.Context, batchSize int) (release func(), ok bool) {
	ctx, cancel := context.WithTimeout(ctx, maxCapacityWait)
	defer cancel()
	size := int64(max(1, batchSize))
	if err := s.bytesInFlight.Acquire(ctx, size); err != nil {
		return nil, false
	}
	return func() { s.bytesInFlight.Release(size) }, true
}

func (s *Server) writeReply(w http.ResponseWriter, reply ingest.Reply) {
	switch {
	case reply.UntrustedUntil > 0:
		s.reject(w, rejection{
			status:     http.StatusForbidden,
			code:       "forbidden",
			message:    reply.Text,
			retryAfter: reply.UntrustedUntil - s.sink.Now(),
		})
	case reply.Text != "":
		s.reject(w, rejection{
			status:     http.StatusTooManyRequests,
			code:       "too many requests",
			message:    reply.Text,
			retryAfter: reply.RetryAfter,
		})
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
