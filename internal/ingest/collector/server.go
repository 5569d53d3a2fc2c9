package collector

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/rs/zerolog"

	"cressknot/internal/fleet"
)

// Bounds of the listening address.
const (
	joinWithin   = 1200 * time.Millisecond // who hasn't joined after 1 s may be closed, and must be before 3 s
	strangerMost = 512                     // bytes of a first message: no collector's is longer than its zone's name
	messageMost  = 1 << 20                 // bytes of a message, by the platform's page
	perZone      = 3                       // collectors of a zone: a new one may come before the old one's end is seen
	readBuffer   = 16 << 10                // bytes read at once: some hundred reports
	backlogShare = 2                       // a part of the descriptors, one in so many, is for those who haven't joined
	spoiltMost   = 16                      // spoilt messages in a row: the connection is of no further use
	tableSpare   = 4096                    // places past the descriptors: a table of 32 KiB
	pongsMost    = 64                      // answers on one connection: a sign of life is asked for now and then
)

// Options of a server.
type Options struct {
	Addr       string
	Vocabulary Vocabulary
	MaxSockets int          // descriptors of the process
	OnReport   func(Report) // hears of each report; must not wait
	Log        zerolog.Logger
}

// Statistics tell what came, for the log.
type Statistics struct{ Reports, Spoilt, Pings, Refused, Collectors uint64 }

// Server is the listening address.
type Server struct {
	opt    Options
	engine *nbio.Engine
	few    zerolog.Logger
	links  sync.Map // *nbio.Conn to *link

	mu         sync.Mutex
	strangers  []*link // not joined, the longest here first
	collectors map[fleet.ZoneID][]*link

	reports, spoilt, pings, refused, joined atomic.Uint64
}

// link is one connection. All but the lists of the server is of its event loop.
type link struct {
	server   *Server
	conn     *nbio.Conn
	joined   bool // under the lock of the server, as others may refuse it
	out      bool // refused or gone, under that lock too: it joins no more
	zone     fleet.ZoneID
	rest     []byte // of a message that has not ended
	seen     int    // bytes of it that are known to be text
	pongs    int
	reported bool // it brought one already
	spoilt   int  // messages in a row
	over     atomic.Bool
}

// Listen begins to serve.
func Listen(opt Options) (*Server, error) {
	logging.SetLevel(logging.LevelNone)                                   // the library's own log; what matters comes as errors
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, opt.MaxSockets+tableSpare) // it keeps a table of this size
	s := &Server{opt: opt, collectors: map[fleet.ZoneID][]*link{},
		few: opt.Log.Sample(&zerolog.BurstSampler{Burst: 5, Period: 5 * time.Second})}
	s.engine = nbio.NewEngine(nbio.Config{Name: "collector", Network: "tcp", Addrs: []string{opt.Addr}, NPoller: 1,
		ReadBufferSize: readBuffer, MaxWriteBufferSize: 4 << 10,
		Listen: func(network, addr string) (net.Listener, error) {
			l, err := net.Listen(network, addr)
			if err == nil {
				s.opt.Addr = l.Addr().String()
			}
			return l, err
		}})
	s.engine.OnOpen(s.open)
	s.engine.OnData(func(c *nbio.Conn, data []byte) {
		if l, ok := s.links.Load(c); ok {
			l.(*link).feed(data)
		}
	})
	s.engine.OnClose(func(c *nbio.Conn, _ error) {
		if l, ok := s.links.LoadAndDelete(c); ok {
			l.(*link).gone()
		}
	})
	if err := s.engine.Start(); err != nil {
		return nil, fmt.Errorf("listen: %s: %w", opt.Addr, err)
	}
	return s, nil
}

// Addr tells where it listens.
func (s *Server) Addr() string { return s.opt.Addr }

// Close ends it.
func (s *Server) Close() { s.engine.Stop() }

// Statistics tell what came.
func (s *Server) Statistics() Statistics {
	return Statistics{s.reports.Load(), s.spoilt.Load(), s.pings.Load(), s.refused.Load(), s.joined.Load()}
}

// open takes in a connection. Where those that have not joined are too many, the one here longest goes: a collector joins at once.
func (s *Server) open(c *nbio.Conn) {
	l := &link{server: s, conn: c}
	s.links.Store(c, l)
	s.mu.Lock()
	s.strangers = append(s.strangers, l)
	var out []*link
	if over := len(s.strangers) - s.opt.MaxSockets/backlogShare; over > 0 {
		out = slices.Clone(s.strangers[:over])
		s.strangers = slices.Delete(s.strangers, 0, over)
	}
	s.mu.Unlock()
	for _, old := range out {
		old.refuseStranger(errors.New("too many that have not joined"))
	}
	time.AfterFunc(joinWithin, func() { l.refuseStranger(errors.New("has not joined")) })
}

func (l *link) refuseStranger(why error) {
	s := l.server
	s.mu.Lock()
	stranger := !l.joined && !l.out
	l.out = l.out || stranger
	s.mu.Unlock()
	if stranger {
		l.refuse(why)
	}
}

// refuse tells a connection that it is refused, and ends it.
func (l *link) refuse(why error) {
	if l.over.Swap(true) {
		return
	}
	l.server.refused.Add(1)
	l.server.few.Info().Str("from", l.conn.RemoteAddr().String()).Str("why", why.Error()).Msg("refused")
	_, _ = l.conn.Write([]byte("refused\r\n"))
	_ = l.conn.Close()
}

// gone takes a closed connection off the server's lists.
func (l *link) gone() {
	l.over.Store(true)
	s := l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	l.out = true
	without := func(of []*link) []*link {
		return slices.DeleteFunc(of, func(x *link) bool { return x == l })
	}
	if s.strangers = without(s.strangers); l.joined {
		s.collectors[l.zone] = without(s.collectors[l.zone])
	}
}

// feed takes bytes in, whole messages at a time.
func (l *link) feed(data []byte) {
	if l.over.Load() {
		return
	}
	if len(l.rest) > 0 {
		l.rest = append(l.rest, data...)
		data = l.rest
	}
	for {
		seen := min(l.seen, len(data)) // no end of a message was in that
		end := bytes.IndexByte(data[seen:], '\n')
		if end < 0 {
			break
		}
		end += seen
		text := string(bytes.TrimSuffix(data[:end], []byte{'\r'}))
		l.seen = 0
		if data = data[end+1:]; !l.message(text) {
			return
		}
	}
	most := strangerMost
	if l.joined {
		most = messageMost
	}
	if len(data) > most {
		l.refuse(fmt.Errorf("a message of over %d bytes", most))
		return
	}
	if unreadable(data[min(l.seen, len(data)):]) {
		l.refuse(errBinary)
		return
	}
	l.rest, l.seen = append(l.rest[:0], data...), len(data)
	if cap(l.rest) > readBuffer && len(l.rest) < readBuffer/4 { // after a long message
		l.rest = bytes.Clone(l.rest)
	}
}

// message takes in one message; false ends the connection.
func (l *link) message(text string) bool {
	s := l.server
	msg, err := split(text)
	switch {
	case msg.kind == "ping" && err == nil:
		s.pings.Add(1)
		if l.pongs++; l.pongs > pongsMost {
			l.refuse(errors.New("too many pings"))
			return false
		}
		_, _ = l.conn.Write([]byte("pong\r\n"))
		return true
	case !l.joined:
		zone := 0
		if err == nil && msg.kind == "collector" {
			zone = msg.word("locality", s.opt.Vocabulary.Zones)
			err = msg.err
		} else if err == nil {
			err = fmt.Errorf("kind %.40q before joining", msg.kind)
		}
		if err != nil {
			l.refuse(err)
			return false
		}
		l.join(fleet.ZoneID(zone))
		return true
	case errors.Is(err, errBinary): // it goes on with what can't be read
		l.refuse(err)
		return false
	case text == "":
		return true
	}
	var r Report
	if err == nil {
		r, err = s.opt.Vocabulary.report(&msg)
	}
	if err != nil {
		s.Spoilt(text, err)
		if l.spoilt++; l.spoilt >= spoiltMost {
			l.refuse(fmt.Errorf("%d spoilt messages in a row", l.spoilt))
			return false
		}
		return true
	}
	l.spoilt = 0
	if s.reports.Add(1); !l.reported && !r.IsDemand {
		l.reported = true
		s.few.Info().Str("from", l.conn.RemoteAddr().String()).Str("line", text[:min(len(text), 160)]).Msg("first report")
	}
	s.opt.OnReport(r)
	return true
}

// Spoilt counts a report that can't be used.
func (s *Server) Spoilt(text string, err error) {
	s.spoilt.Add(1)
	s.few.Info().Str("line", text[:min(len(text), 160)]).Str("why", err.Error()).Msg("report dropped")
}

// join makes a connection a collector's. Of one zone there are few: the oldest goes.
func (l *link) join(zone fleet.ZoneID) {
	s := l.server
	s.mu.Lock()
	if l.out { // refused in the same instant
		s.mu.Unlock()
		return
	}
	s.joined.Add(1)
	l.joined, l.zone = true, zone
	s.strangers = slices.DeleteFunc(s.strangers, func(x *link) bool { return x == l })
	var old *link
	if s.collectors[zone] = append(s.collectors[zone], l); len(s.collectors[zone]) > perZone {
		old = s.collectors[zone][0]
	}
	s.mu.Unlock()
	if old != nil {
		old.refuse(errors.New("another collector of its zone has come"))
	}
}
