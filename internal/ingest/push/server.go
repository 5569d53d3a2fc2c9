package push

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/influxdata/line-protocol/v2/lineprotocol"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/semaphore"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest"
)

const (
	bodyMost     = 1 << 20  // bytes of a batch, unpacked
	inHandMost   = 16 << 20 // bytes of all batches being read: the rest waits in its sockets
	connsMost    = 2048     // connections at once: more wait to be accepted
	waitMost     = 2 * time.Second
	headMost     = 8 << 10
	readWithin   = 10 * time.Second
	idleWithin   = 2 * time.Minute
	answerWithin = 5 * time.Second
)

// Sink takes records and says what their source is told.
type Sink interface {
	Now() fleet.Time
	Push(records []ingest.Record) ingest.Reply
}

// Counts tell what came, for operators.
type Counts struct{ Batches, Refused, Unknown, Ignored, Busy uint64 }

// Server takes in reports over HTTP: POST /api/v2/write or /write, ?precision=ns|us|ms|s.
type Server struct {
	sink    Sink
	words   Words
	http    *http.Server
	inHand  *semaphore.Weighted
	addr    net.Addr
	batches atomic.Uint64
	refused atomic.Uint64
	unknown atomic.Uint64
	ignored atomic.Uint64
	busy    atomic.Uint64
}

// Listen begins to take in reports at host:port.
func Listen(addr string, sink Sink, words Words) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("reports: %w", err)
	}
	s := &Server{sink: sink, words: words, inHand: semaphore.NewWeighted(inHandMost), addr: l.Addr()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/v2/write", s.write)
	mux.HandleFunc("POST /write", s.write)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: readWithin, ReadTimeout: readWithin, WriteTimeout: readWithin + answerWithin,
		IdleTimeout: idleWithin, MaxHeaderBytes: headMost}
	go func() { _ = s.http.Serve(netutil.LimitListener(l, connsMost)) }()
	return s, nil
}

// Addr tells where it listens.
func (s *Server) Addr() string { return s.addr.String() }

// Close ends it; batches in hand are answered for as long as the context stands.
func (s *Server) Close(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Join(err, s.http.Close())
	}
	return nil
}

// Counts tell what came.
func (s *Server) Counts() Counts {
	return Counts{s.batches.Load(), s.refused.Load(), s.unknown.Load(), s.ignored.Load(), s.busy.Load()}
}

// room is what a batch is read into.
type room struct {
	body    bytes.Buffer
	records []ingest.Record
}

var rooms = sync.Pool{New: func() any { return new(room) }}

func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	s.batches.Add(1)
	unit, ok := units[r.URL.Query().Get("precision")]
	if !ok {
		s.refuse(w, http.StatusBadRequest, "invalid", fmt.Sprintf("precision %.10q: ns, us, ms and s are known", r.URL.Query().Get("precision")), 0)
		return
	}
	// What isn't read yet stays in its socket, and at its source: memory doesn't grow with a flood.
	ctx, cancel := context.WithTimeout(r.Context(), waitMost)
	defer cancel()
	weight := int64(bodyMost)
	if n := r.ContentLength; n >= 0 && n < bodyMost && r.Header.Get("Content-Encoding") == "" {
		weight = max(1, n)
	}
	if s.inHand.Acquire(ctx, weight) != nil {
		s.busy.Add(1)
		s.refuse(w, http.StatusServiceUnavailable, "unavailable", "too much is being read", fleet.Second)
		return
	}
	defer s.inHand.Release(weight)
	in := rooms.Get().(*room)
	defer rooms.Put(in)
	in.body.Reset()
	status, err := readBody(&in.body, r)
	if err != nil {
		s.refuse(w, status, "invalid", err.Error(), 0)
		return
	}
	records, ignored, err := Decode(in.records[:0], in.body.Bytes(), &s.words, unit, s.sink.Now())
	in.records = records[:0]
	if err != nil {
		s.refuse(w, http.StatusBadRequest, "invalid", err.Error()+"; nothing of the batch was taken", 0)
		return
	}
	s.unknown.Add(uint64(ignored.Unknown))
	s.ignored.Add(uint64(ignored.Lines))
	reply := ingest.Reply{}
	if len(records) > 0 {
		reply = s.sink.Push(records)
	}
	switch {
	case reply.Distrust > 0:
		s.refuse(w, http.StatusForbidden, "forbidden", reply.Text, reply.Distrust-s.sink.Now())
	case reply.Text != "":
		s.refuse(w, http.StatusTooManyRequests, "too many requests", reply.Text, reply.Wait)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

var units = map[string]lineprotocol.Precision{"": lineprotocol.Nanosecond, "ns": lineprotocol.Nanosecond, "us": lineprotocol.Microsecond,
	"ms": lineprotocol.Millisecond, "s": lineprotocol.Second}

// readBody reads a batch, packed or not, within its bounds.
func readBody(into *bytes.Buffer, r *http.Request) (status int, err error) {
	body := io.Reader(r.Body)
	switch e := r.Header.Get("Content-Encoding"); e {
	case "", "identity":
	case "gzip":
		z, err := gzip.NewReader(r.Body)
		if err != nil {
			return http.StatusBadRequest, fmt.Errorf("the batch is not packed by gzip: %w", err)
		}
		body = z
	default:
		return http.StatusUnsupportedMediaType, fmt.Errorf("encoding %.20q is not known; gzip is", e)
	}
	n, err := into.ReadFrom(io.LimitReader(body, bodyMost+1))
	switch {
	case err != nil:
		return http.StatusBadRequest, fmt.Errorf("the batch broke off after %d bytes: %w", n, err)
	case n > bodyMost:
		return http.StatusRequestEntityTooLarge, fmt.Errorf("a batch has %d bytes at most", bodyMost)
	}
	return 0, nil
}

func (s *Server) refuse(w http.ResponseWriter, status int, code, text string, wait fleet.Time) {
	s.refused.Add(1)
	h := w.Header()
	if wait > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	h.Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"code": code, "message": strings.ToValidUTF8(text, "?")})
}
