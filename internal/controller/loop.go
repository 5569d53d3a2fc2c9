package controller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"cressknot/internal/discovery"
	"cressknot/internal/discovery/verification"
	"cressknot/internal/eventlog"
	"cressknot/internal/fleet"
	"cressknot/internal/gossip"
	"cressknot/internal/ingest"
	"cressknot/internal/ingest/timeseries"
	"cressknot/internal/reconcile"
	"cressknot/internal/service"
	"cressknot/internal/store"
	"cressknot/internal/transport"
)

const (
	tookMost  = int64(time.Hour)      // of the histogram of turns
	probeBody = 1 << 12               // bytes read of a probe's answer
	moreGap   = 5 * fleet.Millisecond // before a turn that takes what the last one had no room for: urgent inputs come between
	loadUnit  = 1000                  // load figures stand in thousandths, as proxies keep whole numbers
)

// Loop runs a Core: one goroutine that owns it, a mailbox, a clock and a timer.
type Loop struct {
	core    *Core
	names   *Names
	front   transport.Transport
	source  discovery.EndpointSource
	log     zerolog.Logger
	name    string
	facts   func(service.PublishedState)
	sharing transport.LeaseTransport
	tell    func(gossip.Message)
	wall    time.Time // at the start; the clock goes on by the monotonic one
	cache   string
	probe   string // path of probes
	prove   string // how servers of a kept list are asked

	mu     sync.Mutex
	mail   []Input                    // lists, joins, leaves, answers, probes: never shed, never folded
	polled []transport.CountersPolled // readings, at most one of each proxy, oldest first
	place  map[fleet.ProxyID]int
	box    *ingest.Queue // what servers pushed
	pushed []ingest.Record
	inputs []Input
	folded uint64
	news   map[string]gossip.Message // of other governors, by name
	shed   uint64                    // of them, those that were not heard
	notify chan struct{}
	asks   chan func(*Core)

	recMu   sync.Mutex
	records *eventlog.Writer
	recFile io.Closer

	series Series       // may be nil
	store  *store.Store // may be nil
	took   *hdrhistogram.Histogram
	tookMu sync.Mutex
	turns  uint64
	ctx    context.Context
}

// Options are what a loop is made of.
type Options struct {
	Core             *Core
	Names            *Names
	Transport        transport.Transport
	Source           discovery.EndpointSource
	Log              zerolog.Logger
	CachePath        string            // file that keeps the last list; "" for none
	CachedList       *discovery.Update // a kept list to start from, if any
	VerificationMode string            // how servers of it are asked: "connect", "probe", "answers" (not at all)
	ProbePath        string
	Series           Series                       // of reports, for operators; may be nil
	Store            *store.Store                 // what must last; may be nil
	SendGossip       func(gossip.Message)         // carries news to other governors; may be nil
	Leases           transport.LeaseTransport     // where other governors may serve the same proxies; else nil
	Name             string                       // of the governor
	OnPublishedState func(service.PublishedState) // hears what callers of the service are told; may be nil
}

// Series keeps what proxies met over time.
type Series interface {
	Add(ingest.CounterDelta)
	Read(server fleet.ServerID, from fleet.Time) (points []timeseries.Point, damaged int, err error)
}

// NewLoop makes a loop that Run runs.
func NewLoop(p Options) *Loop {
	l := &Loop{core: p.Core, names: p.Names, front: p.Transport, source: p.Source, log: p.Log, wall: time.Now(),
		cache: p.CachePath, probe: p.ProbePath, place: map[fleet.ProxyID]int{}, news: map[string]gossip.Message{}, box: &ingest.Queue{}, notify: make(chan struct{}, 1),
		asks: make(chan func(*Core)), took: hdrhistogram.New(1000, tookMost, 3)}
	l.sharing, l.tell = p.Leases, p.SendGossip
	l.store, l.name, l.facts = p.Store, p.Name, p.OnPublishedState
	if l.series = p.Series; l.series != nil {
		l.core.intake.Keep(l.series.Add)
	}
	if l.prove = p.VerificationMode; l.prove == "answers" {
		l.core.AnswersOnly()
	}
	if p.CachedList != nil {
		l.post(*p.CachedList)
	}
	return l
}

// now is the governor's clock: the wall clock at the start, going on by the monotonic one, in nanoseconds.
func (l *Loop) now() fleet.Time {
	return fleet.Time(l.wall.UnixNano() + time.Since(l.wall).Nanoseconds())
}

// post puts an input into the mailbox. Nothing is lost: a reading that still waits is replaced by a newer one of the
// same stream, as counters are sums.
func (l *Loop) post(in Input) {
	l.mu.Lock()
	if p, ok := in.(transport.CountersPolled); ok {
		p.Reading.At = l.now()
		if at, waits := l.place[p.Proxy]; waits && l.polled[at].Stream == p.Stream {
			l.polled[at].Reading.Release()
			l.polled[at] = p
			l.folded++
		} else {
			l.place[p.Proxy] = len(l.polled)
			l.polled = append(l.polled, p)
		}
	} else {
		l.mail = append(l.mail, in)
	}
	l.mu.Unlock()
	l.wake()
}

func (l *Loop) wake() {
	select {
	case l.notify <- struct{}{}:
	default:
	}
}

// Push takes in what servers pushed, and says what they are to be told.
func (l *Loop) Push(records []ingest.Record) ingest.Reply {
	reply := l.box.Put(l.now(), records)
	l.wake()
	return reply
}

// Peer takes in what another governor tells. Of each only the newest waits, and of so many governors: a flood fills no mailbox.
func (l *Loop) Peer(n gossip.Message) {
	l.mu.Lock()
	if old, waits := l.news[n.Controller]; waits && n.Epoch == old.Epoch && n.Sequence < old.Sequence || !waits && len(l.news) >= gossip.MaxControllers {
		l.shed++
	} else {
		l.news[n.Controller] = n
	}
	l.mu.Unlock()
	l.wake()
}

// Note puts a line into the log.
func (l *Loop) Note(level, from, text string) { l.say(Line{l.now(), level, from, text}) }

// Now is the governor's clock.
func (l *Loop) Now() fleet.Time { return l.now() }

// collect gives what the next turn takes in: all that is urgent, then readings and pushed records as far as there is room
// for them in a turn. More tells that some wait.
func (l *Loop) collect(pushed, rows int) (inputs []Input, more bool) {
	l.mu.Lock()
	inputs, l.mail = append(l.inputs[:0], l.mail...), l.mail[:0]
	n := 0
	for n < len(l.polled) && rows > 0 {
		rows -= max(1, len(l.polled[n].Reading.Rows))
		inputs = append(inputs, l.polled[n])
		n++
	}
	if n == len(l.polled) {
		l.polled = l.polled[:0]
		clear(l.place)
	} else {
		l.polled = l.polled[:copy(l.polled, l.polled[n:])]
		clear(l.place)
		for i := range l.polled {
			l.place[l.polled[i].Proxy] = i
		}
	}
	more = len(l.polled) > 0
	for _, g := range slices.Sorted(maps.Keys(l.news)) {
		inputs = append(inputs, l.news[g])
		delete(l.news, g)
	}
	l.mu.Unlock()
	if l.pushed = l.box.Take(pushed, l.pushed[:0]); len(l.pushed) > 0 {
		inputs = append(inputs, Pushed(l.pushed))
	}
	l.inputs = inputs
	waits, _, _ := l.box.Waiting()
	return inputs, more || waits > 0
}

// Ask runs a question in the loop's goroutine, between two turns.
func (l *Loop) Ask(ctx context.Context, question func(*Core)) error {
	done := make(chan struct{})
	select {
	case l.asks <- func(c *Core) { question(c); close(done) }:
	case <-ctx.Done():
		return fmt.Errorf("the governor is busy: %w", ctx.Err())
	}
	<-done
	return nil
}

// Run decides until the context ends; then orders in hand leave for as long as stop allows, and streams close.
func (l *Loop) Run(ctx context.Context, stop time.Duration) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	l.ctx = inner
	if err := l.front.Start(inner, func(e transport.Event) { l.post(e) }); err != nil {
		return fmt.Errorf("front: %w", err)
	}
	if err := l.source.Start(inner, func(u discovery.Update) { l.post(u) }); err != nil {
		return errors.Join(err, l.front.Stop(inner))
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			continue
		case ask := <-l.asks:
			ask(l.core)
			continue
		case <-l.notify:
		case <-timer.C:
		}
		wake := l.turn()
		timer.Reset(max(0, time.Duration(wake-l.now())))
	}
	return l.stop(inner, stop)
}

func (l *Loop) turn() fleet.Time {
	inputs, more := l.collect(l.core.intake.Room())
	now := l.now()
	out := l.core.Turn(now, inputs)
	took := l.now() - now
	l.core.intake.Took(now, took)
	l.tookMu.Lock()
	l.turns++
	_ = l.took.RecordValue(min(tookMost, max(1000, int64(took))))
	l.tookMu.Unlock()
	for _, id := range out.Distrust {
		l.box.Distrust(id, l.core.intake.Distrusted(id))
	}
	if more {
		out.Wake = now + moreGap
	}
	for _, id := range out.Drops {
		l.front.Drop(id)
	}
	for _, m := range out.Messages {
		l.front.Send(m)
	}
	for _, id := range out.Polls {
		l.front.Poll(id)
	}
	for _, id := range out.Probes {
		go l.ask(id)
	}
	for _, id := range out.Proves {
		go l.proof(id)
	}
	if out.Watch != nil {
		l.source.Watch(*out.Watch)
	}
	if out.Fetch {
		l.source.Fetch()
	}
	for _, line := range out.Logs {
		l.say(line)
	}
	if out.List != nil && l.cache != "" {
		if err := discovery.WriteCache(l.cache, *out.List, out.ListAt); err != nil {
			l.log.Error().Err(err).Msg("the list was not kept; the governor goes on without")
		}
	}
	if out.News != nil && l.tell != nil {
		l.tell(*out.News)
	}
	if out.Facts != nil && l.facts != nil {
		l.facts(*out.Facts)
	}
	if out.Stepped {
		l.record(now, out)
	}
	l.keep(out.Keep, nil)
	return out.Wake
}

// keep hands what must last to the store, which never makes the loop wait.
func (l *Loop) keep(changes []store.Change, done func(error)) {
	if l.store == nil || len(changes) == 0 && done == nil {
		return
	}
	if err := l.store.Put(changes, done); err != nil {
		l.log.Error().Err(err).Msg("not kept")
		if done != nil {
			done(err)
		}
	}
}

// Kept waits until all that was decided so far is on disk, and tells what keeps it from that.
func (l *Loop) Kept(ctx context.Context) error {
	if l.store == nil {
		return nil
	}
	done := make(chan error, 1)
	if err := l.Ask(ctx, func(c *Core) { l.keep(c.keep(), func(err error) { done <- err }) }); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errBehind
	}
}

func (l *Loop) say(line Line) {
	var e *zerolog.Event
	switch line.Level {
	case "warn":
		e = l.log.Warn()
	case "error":
		e = l.log.Error()
	default:
		e = l.log.Info()
	}
	e.Str("from", line.From).Time("at", time.Unix(0, int64(line.At))).Msg(line.Text)
}

// ask probes a server over HTTP; the load figures stand in the answer's X-Load header, in thousandths,
// separated by commas.
func (l *Loop) ask(id fleet.ServerID) {
	_, addr := l.names.Of(id)
	began := time.Now()
	ctx, cancel := context.WithTimeout(l.ctx, time.Duration(reconcile.DialTimeout))
	defer cancel()
	p := fleet.ProbeResult{Server: id, Outcome: fleet.ProbeUnreachable}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+l.probe, nil)
	if err == nil {
		var res *http.Response
		if res, err = http.DefaultClient.Do(req); err == nil {
			_, _ = io.CopyN(io.Discard, res.Body, probeBody)
			res.Body.Close()
			switch {
			case res.StatusCode == http.StatusOK:
				p.Outcome, p.Load = fleet.ProbeAnswered, readLoad(res.Header.Get("X-Load"))
			case res.StatusCode == http.StatusServiceUnavailable:
				p.Outcome = fleet.ProbeRejected
			default:
				p.Outcome = fleet.ProbeFailed
			}
		} else if ctx.Err() != nil {
			p.Outcome = fleet.ProbeTimedOut
		}
	}
	p.Duration = fleet.Time(time.Since(began))
	l.post(p)
}

// proof asks a server of a kept list whether it is there: by a connection, or by a probe whose answer may say in X-Server who answers.
func (l *Loop) proof(id fleet.ServerID) {
	name, addr := l.names.Of(id)
	ctx, cancel := context.WithTimeout(l.ctx, time.Duration(reconcile.DialTimeout))
	defer cancel()
	p := Proof{Server: id}
	if l.prove != "probe" {
		var dialer net.Dialer
		if conn, err := dialer.DialContext(ctx, "tcp", addr); err == nil {
			conn.Close()
			p.Of = verification.Someone
		}
	} else if req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+l.probe, nil); err == nil {
		if res, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.CopyN(io.Discard, res.Body, probeBody)
			res.Body.Close()
			switch says := res.Header.Get("X-Server"); {
			case says == name:
				p.Of = verification.Itself
			case says != "":
				p.Of = verification.Another
			default:
				p.Of = verification.Someone
			}
		}
	}
	l.post(p)
}

func readLoad(text string) (load []float32) {
	for _, f := range strings.Split(text, ",") {
		v, err := strconv.ParseUint(f, 10, 32)
		if err != nil {
			break
		}
		load = append(load, float32(v)/loadUnit)
	}
	return load
}

// rest gives what is left for a governor that stops.
func (l *Loop) rest() []Input {
	inputs, _ := l.collect(0, math.MaxInt)
	return inputs
}

func (l *Loop) stop(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for ctx.Err() == nil {
		messages, wake, idle := l.core.Settle(l.now(), l.rest())
		for _, m := range messages {
			l.front.Send(m)
		}
		if idle {
			break
		}
		timer := time.NewTimer(max(0, time.Duration(wake-l.now())))
		select {
		case <-l.notify:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return errors.Join(l.front.Stop(ctx), l.closeRecords())
}

// RecordTo begins to record steps to a file made by open, or ends it with nil. Replay needs the start of the
// governor, so that recording begun later serves to read, not to replay.
func (l *Loop) RecordTo(path string, start eventlog.Header) error {
	if err := l.closeRecords(); err != nil {
		l.log.Error().Err(err).Msg("records were not closed")
	}
	if path == "" {
		return nil
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("records: %w", err)
	}
	w, err := eventlog.NewWriter(f, start)
	if err != nil {
		f.Close()
		return fmt.Errorf("records: %s: %w", path, err)
	}
	l.recMu.Lock()
	l.records, l.recFile = w, f
	l.recMu.Unlock()
	return nil
}

func (l *Loop) record(now fleet.Time, out Output) {
	l.recMu.Lock()
	defer l.recMu.Unlock()
	if l.records == nil {
		return
	}
	l.records.Step(now, out.Events, out.Orders, l.names.Count(), func(id fleet.ServerID) string {
		name, _ := l.names.Of(id)
		return name
	})
	if err := l.records.Flush(); err != nil {
		l.log.Error().Err(err).Msg("records end here; the governor goes on without")
		l.recFile.Close()
		l.records, l.recFile = nil, nil
	}
}

func (l *Loop) closeRecords() error {
	l.recMu.Lock()
	defer l.recMu.Unlock()
	if l.records == nil {
		return nil
	}
	err := errors.Join(l.records.Flush(), l.recFile.Close())
	l.records, l.recFile = nil, nil
	return err
}

// Took gives how long turns took, in nanoseconds at the quantiles asked for (0 to 100), and how many there were.
func (l *Loop) Took(quantiles ...float64) (ns []int64, turns uint64) {
	l.tookMu.Lock()
	defer l.tookMu.Unlock()
	for _, q := range quantiles {
		ns = append(ns, l.took.ValueAtQuantile(q))
	}
	return ns, l.turns
}

// Folded tells how many readings were replaced by newer ones before they were heard.
func (l *Loop) Folded() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.folded
}
