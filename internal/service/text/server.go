package text

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"cressknot/internal/haproxyapi"
	"cressknot/internal/service"
	"cressknot/internal/tableversion"
)

// Server is the text front of a service.
type Server struct {
	service *service.Service
	engine  *nbio.Engine
	network string
	addr    string
	links   sync.Map // *nbio.Conn to *link
	pump    pump
}

// link is one connection.
type link struct {
	server   *Server
	conn     *nbio.Conn
	requests haproxyapi.RequestParser
	watcher  atomic.Pointer[service.Watcher]
	closed   atomic.Bool
	sending  sync.Mutex // orders what is written
	name     string     // of the goroutine that answers
	mu       sync.Mutex
	asked    []haproxyapi.Command // not answered yet
	answers  bool                 // a goroutine answers them
}

// pump lets watchers' updates out: hubs wake it and never wait.
type pump struct {
	mu     sync.Mutex
	due    map[*link]bool
	order  []*link
	wake   chan struct{}
	quit   chan struct{}
	done   sync.WaitGroup
	stopOf sync.Once
}

// Listen serves on a Unix socket's path, or on host:port.
func Listen(addr string, s *service.Service) (*Server, error) {
	logging.SetLevel(logging.LevelNone) // the library's own log; what matters comes as errors
	srv := &Server{service: s, network: "tcp", addr: addr}
	if strings.Contains(addr, "/") {
		srv.network = "unix"
	}
	srv.pump = pump{due: map[*link]bool{}, wake: make(chan struct{}, 1), quit: make(chan struct{})}
	srv.engine = nbio.NewEngine(nbio.Config{Name: "service", Network: srv.network, Addrs: []string{addr}, MaxWriteBufferSize: service.MaxUnsentBytes,
		Listen: func(network, addr string) (net.Listener, error) {
			l, err := haproxyapi.Listen(network, addr)
			if err == nil {
				srv.addr = l.Addr().String()
			}
			return l, err
		}})
	srv.engine.OnOpen(func(c *nbio.Conn) {
		srv.links.Store(c, &link{server: srv, conn: c, name: origin(c)})
		_ = c.SetReadDeadline(time.Now().Add(service.IdleTimeout))
	})
	srv.engine.OnData(func(c *nbio.Conn, data []byte) {
		if l, ok := srv.links.Load(c); ok {
			l.(*link).feed(data)
		}
	})
	srv.engine.OnClose(func(c *nbio.Conn, _ error) {
		if l, ok := srv.links.LoadAndDelete(c); ok {
			l.(*link).close()
		}
	})
	if err := srv.engine.Start(); err != nil {
		return nil, fmt.Errorf("service socket %s: %w", addr, err)
	}
	srv.pump.done.Add(1)
	go srv.pump.run()
	return srv, nil
}

// origin names a caller that has not said its name.
func origin(c *nbio.Conn) string {
	if a := c.RemoteAddr(); a != nil {
		if host, _, err := net.SplitHostPort(a.String()); err == nil {
			return host
		}
	}
	return "local"
}

// Addr tells where it listens.
func (s *Server) Addr() string { return s.addr }

// Close ends it.
func (s *Server) Close(context.Context) error {
	s.pump.stopOf.Do(func() { close(s.pump.quit) })
	s.pump.done.Wait()
	s.engine.Stop()
	return nil
}

func (l *link) feed(data []byte) {
	_ = l.conn.SetReadDeadline(time.Now().Add(service.IdleTimeout))
	err := l.requests.Feed(data, func(commands []haproxyapi.Command) error {
		for _, c := range commands {
			if err := l.ask(c); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		l.answer(PrintFault(&service.Error{Code: service.BadRequest, Text: "can't read the request: " + err.Error()}))
		_ = l.conn.Close()
	}
}

// ask puts a command behind those that are being answered: an event loop serves many connections and waits for none. What a
// watcher acknowledges needs no answer.
func (l *link) ask(c haproxyapi.Command) error {
	if w := l.watcher.Load(); w != nil {
		if len(c.Words) == 2 && c.Words[0] == "ack" {
			if v, err := tableversion.ParseVersion(c.Words[1]); err == nil {
				w.Ack(v)
				return nil
			}
		}
		return &haproxyapi.SyntaxError{Offset: c.Offset, Reason: "a connection that watches takes 'ack VERSION' only"}
	}
	c.Payload = bytes.Clone(c.Payload)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.asked) >= service.MaxPendingRequests {
		return &haproxyapi.SyntaxError{Offset: c.Offset, Reason: fmt.Sprintf("over %d commands wait for their answers", service.MaxPendingRequests)}
	}
	if l.asked = append(l.asked, c); !l.answers {
		l.answers = true
		go l.answerAll()
	}
	return nil
}

// answerAll answers what was asked, in order, until nothing is left.
func (l *link) answerAll() {
	for {
		l.mu.Lock()
		if len(l.asked) == 0 || l.closed.Load() {
			l.answers = false
			l.mu.Unlock()
			return
		}
		c := l.asked[0]
		l.asked = l.asked[1:]
		l.mu.Unlock()
		l.command(c)
	}
}

func (l *link) answer(text []byte) {
	l.sending.Lock()
	defer l.sending.Unlock()
	l.write(text)
}

func (l *link) write(text []byte) {
	if !l.closed.Load() {
		_, _ = l.conn.Write(haproxyapi.AppendAnswer(make([]byte, 0, len(text)+1), text))
	}
}

func (l *link) fault(code service.Code, format string, args ...any) {
	l.answer(PrintFault(&service.Error{Code: code, Text: fmt.Sprintf(format, args...)}))
}

// reply answers with what a question gave.
func reply[T any](l *link, v T, f *service.Error, format func(T) []byte) {
	if f != nil {
		l.answer(PrintFault(f))
		return
	}
	l.answer(format(v))
}

// command carries one command out.
func (l *link) command(c haproxyapi.Command) {
	words, name := c.Words, l.name
	is := func(form ...string) bool { // a word in capitals stands for any
		if len(words) != len(form) {
			return false
		}
		for i, f := range form {
			if f != strings.ToUpper(f) && f != words[i] {
				return false
			}
		}
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), service.RequestTimeout)
	defer cancel()
	s := l.server.service
	switch {
	case is("hello", "VERSION", "NAME"):
		l.hello(words[1], words[2], c.Offset)
	case is("get", "table", "ZONE"):
		u, f := s.Table(name, words[2])
		if f != nil {
			l.answer(PrintFault(f))
			return
		}
		l.answer(u.Encoded(service.TextEncoding, func(u *service.Update) any { return PrintUpdate(u) }).([]byte))
	case is("watch", "table", "ZONE"), is("watch", "table", "ZONE", "VERSION"):
		l.watch(words[2:], c.Offset)
	case is("report", "ZONE", "SESSION", "SEQ"):
		session, err := strconv.ParseUint(words[2], 16, 64)
		seq, err2 := strconv.ParseUint(words[3], 10, 64)
		if err != nil || err2 != nil {
			l.fault(service.BadRequest, "byte %d: 'report' expects a zone, a session in hexadecimal and a number", c.Offset)
			return
		}
		r := &service.Report{Zone: words[1], Session: session, Sequence: seq}
		if err := ReadReport(c.Payload, r); err != nil {
			l.fault(service.BadRequest, "byte %d: payload, %v", c.Offset, err)
			return
		}
		counted, f := s.Report(name, r)
		reply(l, counted, f, PrintCounted)
	case is("get", "server", "NAME"):
		st, f := s.Server(ctx, name, words[2])
		reply(l, st, f, PrintServer)
	case is("get", "history", "ZONE", "CLASS", "MOST"):
		most, err := strconv.Atoi(words[4])
		if err != nil {
			l.fault(service.BadRequest, "byte %d: %.40q is no number", c.Offset, words[4])
			return
		}
		h, f := s.History(ctx, name, words[2], words[3], most)
		reply(l, h, f, PrintHistory)
	case is("get", "summary"):
		m, f := s.Summary(ctx, name)
		reply(l, m, f, PrintSummary)
	case is("prompt", "MODE"): // a connection stays open after an answer in any case
		l.answer(nil)
	case is("quit"):
		_ = l.conn.Close()
	default:
		l.fault(service.BadRequest, "byte %d: no such command: %.200q; known are hello VERSION NAME, get table Z, watch table Z [VERSION], report Z SESSION SEQ, get server S, get history Z CLASS N, get summary, quit",
			c.Offset, strings.Join(words, " "))
	}
}

func (l *link) hello(version, name string, at int64) {
	major, minor, ok := strings.Cut(version, ".")
	a, err := strconv.ParseUint(major, 10, 32)
	b, err2 := strconv.ParseUint(minor, 10, 32)
	if !ok || err != nil || err2 != nil {
		l.fault(service.BadRequest, "byte %d: %.40q is no version: it reads as MAJOR.MINOR", at, version)
		return
	}
	h, f := l.server.service.Greet(service.Hello{Major: uint32(a), Minor: uint32(b), Name: name})
	if f == nil {
		l.name = name
	}
	reply(l, h, f, PrintHello)
}

func (l *link) watch(words []string, at int64) {
	holds := tableversion.NoVersion
	if len(words) == 2 && words[1] != "-" {
		var err error
		if holds, err = tableversion.ParseVersion(words[1]); err != nil {
			l.fault(service.BadRequest, "byte %d: %v", at, err)
			return
		}
	}
	w, f := l.server.service.Watch(l.name, words[0], holds, func() { l.server.pump.put(l) })
	if f != nil {
		l.answer(PrintFault(f))
		return
	}
	l.watcher.Store(w)
	if l.closed.Load() {
		w.Close()
		return
	}
	l.server.pump.put(l)
}

// send lets out what the watcher has.
func (l *link) send() {
	l.sending.Lock()
	defer l.sending.Unlock()
	for w := l.watcher.Load(); w != nil && !l.closed.Load(); {
		u, f := w.Next()
		if f != nil {
			l.write(PrintFault(f))
			_ = l.conn.Close()
			return
		}
		if u == nil {
			return
		}
		form := u.Encoded(service.TextEncoding, func(u *service.Update) any { return PrintUpdate(u) }).([]byte)
		l.write(form)
	}
}

func (l *link) close() {
	l.closed.Store(true)
	if w := l.watcher.Load(); w != nil {
		w.Close()
	}
}

func (p *pump) put(l *link) {
	p.mu.Lock()
	if !p.due[l] {
		p.due[l] = true
		p.order = append(p.order, l)
	}
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *pump) run() {
	defer p.done.Done()
	for {
		select {
		case <-p.wake:
		case <-p.quit:
			return
		}
		p.mu.Lock()
		due := p.order
		p.order = nil
		clear(p.due)
		p.mu.Unlock()
		for _, l := range due {
			l.send()
		}
	}
}
