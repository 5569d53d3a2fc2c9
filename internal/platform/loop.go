package platform

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/ingest/collector"
	"cressknot/internal/transport/relay"
)

// Bounds of the mailbox.
const (
	urgentMost = 4096             // lists, joins, leaves, answers: whoever brings more waits
	beliefs    = 2 * fleet.Second // what the module believes goes into the log so often
	reportMost = 4096             // reports that wait apart; of more, those of the same line are added up
	listMost   = 12               // servers of a list that are named in the log
)

// Mailbox takes what I/O goroutines hand in. Lists, joins and leaves are never folded: their bringers wait when it is full.
type Mailbox struct {
	mu      sync.Mutex
	room    sync.Cond
	urgent  []Input
	reports []collector.Report
	place   map[collector.SeriesKey]int // of the last report of a line, once they are many
	folded  uint64
	closed  bool
	notify  chan struct{}
}

// NewMailbox makes an empty one.
func NewMailbox() *Mailbox {
	m := &Mailbox{notify: make(chan struct{}, 1)}
	m.room.L = &m.mu
	return m
}

func (m *Mailbox) wake() {
	select {
	case m.notify <- struct{}{}:
	default:
	}
}

// Post puts in what must not be lost.
func (m *Mailbox) Post(in Input) {
	m.mu.Lock()
	for len(m.urgent) >= urgentMost && !m.closed {
		m.room.Wait()
	}
	m.urgent = append(m.urgent, in)
	m.mu.Unlock()
	m.wake()
}

// Report puts a report in; it never waits. Where too many do, it is added to one of the same line.
func (m *Mailbox) Report(r collector.Report) {
	m.mu.Lock()
	if len(m.reports) >= reportMost {
		if m.place == nil {
			m.place = make(map[collector.SeriesKey]int, reportMost)
			for i := range m.reports {
				m.place[m.reports[i].Key()] = i
			}
		}
		if at, waits := m.place[r.Key()]; waits {
			m.reports[at].Merge(r)
			m.folded++
			m.mu.Unlock()
			return
		}
		m.place[r.Key()] = len(m.reports)
	}
	m.reports = append(m.reports, r)
	m.mu.Unlock()
	m.wake()
}

// Take empties it: first what is urgent, then the reports.
func (m *Mailbox) Take(into []Input) []Input {
	m.mu.Lock()
	defer m.mu.Unlock()
	into = append(into, m.urgent...)
	for _, r := range m.reports {
		into = append(into, r)
	}
	clear(m.urgent)
	clear(m.reports)
	m.urgent, m.reports, m.place = m.urgent[:0], m.reports[:0], nil
	m.room.Broadcast()
	return into
}

// Close lets nobody wait any more.
func (m *Mailbox) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.room.Broadcast()
}

// Options are what a loop works with.
type Options struct {
	Core    *Core
	Mailbox *Mailbox
	Relay   interface {
		Enqueue([]relay.Operation)
		ProxyLeft(fleet.ProxyID)
	}
	Source discovery.EndpointSource
	Tick   fleet.Time // shortest time between two turns
	Log    zerolog.Logger
}

// Clock is the wall clock at its start, going on by the monotonic one: boots of servers are told in Unix time.
type Clock struct{ began time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now tells the time.
func (c Clock) Now() fleet.Time {
	return fleet.Time(c.began.UnixNano() + time.Since(c.began).Nanoseconds())
}

// Run turns the core until the context ends.
func Run(ctx context.Context, p Options, clock Clock) {
	defer p.Mailbox.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var inputs []Input
	believed := clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Mailbox.notify:
		case <-timer.C:
		}
		now := clock.Now()
		inputs = p.Mailbox.Take(inputs[:0])
		fx := p.Core.Turn(now, inputs)
		for _, in := range inputs {
			switch v := in.(type) {
			case discovery.Update:
				tellList(p.Log, now, v)
			case relay.StreamEvent:
				if v.Kind != relay.ProxyEvent {
					p.Log.Info().Uint64("stream", v.Stream).Str("what", v.Kind.String()).Int("joined", p.Core.Joined()).Msg("news")
				}
			}
		}
		clear(inputs)
		for _, id := range fx.Left {
			p.Relay.ProxyLeft(id)
		}
		if len(fx.Orders) > 0 {
			p.Relay.Enqueue(fx.Orders)
		}
		for _, on := range fx.Watches {
			p.Source.Watch(on)
		}
		for range fx.Fetches {
			p.Source.Fetch()
		}
		for _, text := range fx.Logs {
			p.Log.Info().Msg(text)
		}
		if now >= believed+beliefs {
			believed = now
			p.Log.Info().Strs("servers", p.Core.Beliefs()).Msg("believes")
		}
		if fx.Unknown > 0 {
			p.Log.Debug().Int("reports", fx.Unknown).Msg("of servers that are not known")
		}
		wait := time.Hour
		if fx.Alarm > 0 {
			wait = max(0, time.Duration(fx.Alarm-clock.Now()))
		}
		timer.Reset(wait)
		// What comes meanwhile is one turn's.
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(p.Tick) - time.Duration(clock.Now()-now)):
		}
	}
}

// tellList writes down what the list said.
func tellList(log zerolog.Logger, now fleet.Time, u discovery.Update) {
	if u.Err != nil {
		log.Warn().Err(u.Err).Msg("list")
	}
	if u.Unchanged || u.Scope == fleet.ListFailed {
		return
	}
	var told []string
	for _, s := range u.List.Endpoints[:min(len(u.List.Endpoints), listMost)] {
		text := s.Name + " " + s.State
		if !s.Started.IsZero() {
			text += fmt.Sprintf(" up %.1f s", (now - fleet.Time(s.Started.UnixNano())).Seconds())
		}
		told = append(told, text)
	}
	log.Info().Uint64("rev", u.List.Revision).Bool("changes", u.List.Delta).Int("servers", len(u.List.Endpoints)).Strs("first", told).Msg("list")
}
