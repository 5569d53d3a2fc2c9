package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// Bounds of the talk with the relay.
const (
	dialWithin   = 250 * time.Millisecond  // on one network; a relay cut off never answers
	answerWithin = 300 * time.Millisecond  // it answers within 50 ms or never; we may have to wait for our part of a core
	idleMost     = 1500 * time.Millisecond // it closes what is idle for some seconds, and a call into that is uncertain
	answerMost   = 64 << 10                // bytes of an answer
	lifeWithin   = 2600 * time.Millisecond // a sign of life is due every second
	openedWithin = 1500 * time.Millisecond // answer to the asking for news
	overlap      = 200 * time.Millisecond  // that an old stream is read on once a new one stands: news that was on its way
	lineMost     = 64 << 10                // bytes of a line of news
	limitPause   = 150 * time.Millisecond  // before a call refused by 'limit' goes again
	againFirst   = 20 * time.Millisecond   // between an uncertain call and the next; doubled each time
	againMost    = 500 * time.Millisecond  // and no more than this: rules wait 0.5 s for a broken call
)

// Options of a front.
type Options struct {
	Addr          string
	Zones         []string
	Classes       []string
	ProxyCount    int
	OnEvent       func(StreamEvent)
	OnUnconfirmed func(Unconfirmed) // hears of orders of which nobody knows whether they were carried out
	Log           zerolog.Logger
	Seed          uint64
}

// Client talks with one relay.
type Client struct {
	opt   Options
	calls http.Client
	news  http.Client
	kick  chan struct{}
	moved chan struct{}
	done  sync.WaitGroup
	few   zerolog.Logger // for what a bad relay could repeat

	mu     sync.Mutex
	queue  Queue
	addr   string
	counts Statistics
}

// Statistics tell what became of calls, for the log.
type Statistics struct{ Calls, Orders, Uncertain, Refused, Partial, Streams uint64 }

// New makes a front; nothing is dialed before Start.
func New(opt Options) *Client {
	f := &Client{opt: opt, kick: make(chan struct{}, 1), moved: make(chan struct{}, 1), queue: Queue{Classes: opt.Classes}, addr: opt.Addr,
		few: opt.Log.Sample(&zerolog.BurstSampler{Burst: 10, Period: time.Second})}
	dialer := net.Dialer{Timeout: dialWithin}
	f.calls.Transport = &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleMost, MaxConnsPerHost: 2,
		MaxIdleConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: 16 << 10}
	f.news.Transport = &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		ResponseHeaderTimeout: openedWithin, MaxResponseHeaderBytes: 16 << 10}
	return f
}

// Start begins to ask for news and to send what is put.
func (f *Client) Start(ctx context.Context) {
	f.done.Add(2)
	go f.send(ctx)
	go f.follow(ctx)
}

// Wait waits until a call in the air is done, once the context of Start has ended.
func (f *Client) Wait() { f.done.Wait() }

// Enqueue hands over the orders of a step.
func (f *Client) Enqueue(ops []Operation) {
	f.mu.Lock()
	f.queue.Put(ops)
	f.mu.Unlock()
	wake(f.kick)
}

// ProxyLeft tells that a proxy has gone.
func (f *Client) ProxyLeft(id fleet.ProxyID) {
	f.mu.Lock()
	f.queue.Left(id)
	f.mu.Unlock()
}

// SetAddress goes to another address. The stream at the old one goes on until a new one stands.
func (f *Client) SetAddress(addr string) {
	f.mu.Lock()
	f.addr = addr
	f.mu.Unlock()
	wake(f.moved)
	wake(f.kick)
}

// Statistics tell what became of calls.
func (f *Client) Statistics() Statistics {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (f *Client) at() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addr
}

// send carries out calls, one at a time.
func (f *Client) send(ctx context.Context) {
	defer f.done.Done()
	again := againFirst
	for {
		f.mu.Lock()
		empty := f.queue.Empty()
		f.mu.Unlock()
		if empty {
			select {
			case <-ctx.Done():
				return
			case <-f.kick:
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.mu.Lock()
		text, orders := f.queue.Next()
		addr := f.addr
		f.mu.Unlock()
		began := time.Now()
		was, taken, err := f.call(addr, text, orders)
		f.mu.Lock()
		out, unconfirmed := f.queue.Done(was, taken)
		c := &f.counts
		c.Calls, c.Orders = c.Calls+1, c.Orders+uint64(taken)
		switch {
		case was == CallUncertain:
			c.Uncertain++
		case was != CallAnswered:
			c.Refused++
		case taken < orders:
			c.Partial++
		}
		f.mu.Unlock()
		if len(unconfirmed) > 0 {
			f.opt.OnUnconfirmed(Unconfirmed{unconfirmed})
		}
		for _, o := range out {
			f.few.Warn().Str("order", o).Msg("left out: the relay can't use it")
		}
		if was == CallAnswered {
			f.opt.Log.Debug().Int("orders", orders).Int("taken", taken).Dur("took", time.Since(began)).Msg("call")
			again = againFirst
			continue
		}
		f.few.Warn().Err(err).Int("orders", orders).Int("unconfirmed", len(unconfirmed)).Dur("took", time.Since(began)).
			Msg("call failed")
		pause := limitPause
		if was == CallUncertain {
			pause, again = again, min(againMost, 2*again)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// call sends one call and makes out what became of it. It ends by itself, so that an end of the program needs not cut it.
func (f *Client) call(addr, text string, orders int) (CallOutcome, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), answerWithin)
	defer cancel()
	form := url.Values{"Action": {"CommitChanges"}, "ops": {text}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/api/", strings.NewReader(form.Encode()))
	if err != nil {
		return CallRefused, 0, err
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	res, err := f.calls.Do(req)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return CallRefused, 0, err
		}
		return CallUncertain, 0, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, answerMost+1))
	if err != nil {
		return CallUncertain, 0, fmt.Errorf("answer: %w", err)
	}
	was, taken, err := Read(body, orders)
	if was == CallUncertain { // where answers can't be read, the next one comes on a new connection
		f.calls.CloseIdleConnections()
	}
	return was, taken, err
}

// ended is a stream's end, by its number.
type ended struct {
	stream uint64
	err    error
}

// follow keeps a stream of news. After a move the old stream goes on until the new one stands.
func (f *Client) follow(ctx context.Context) {
	defer f.done.Done()
	redial := reconcile.NewDialBackoff(f.opt.Seed)
	var last, current, dialing uint64
	stop := map[uint64]context.CancelFunc{}
	opened, over := make(chan opening), make(chan ended)
	var next opening // stands, and waits for the end of the one before it
	var read bool    // the one before it was read to the end of the overlap
	var wait <-chan time.Time
	open := func() {
		last++
		dialing = last
		within, cancel := context.WithCancel(ctx)
		stop[last] = cancel
		go func(n uint64) {
			err := f.read(within, n, func() (whole bool, err error) {
				o := opening{n, make(chan bool, 1)}
				select {
				case opened <- o:
				case <-within.Done():
					return false, within.Err()
				}
				select {
				case whole := <-o.begin:
					return whole, nil
				case <-within.Done():
					return false, within.Err()
				}
			})
			select {
			case over <- ended{n, err}:
			case <-ctx.Done():
			}
		}(last)
	}
	open()
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.moved:
			if dialing != 0 {
				stop[dialing]()
			}
			if next.stream != 0 { // moved again before it was let on
				stop[next.stream]()
				next, wait = opening{}, nil
			}
			open()
		case <-retry:
			if retry = nil; dialing == 0 {
				open()
			}
		case n := <-opened:
			if n.stream != dialing {
				continue
			}
			dialing = 0
			redial.Reset()
			f.mu.Lock()
			f.counts.Streams++
			f.mu.Unlock()
			if current == 0 {
				current = n.stream
				n.begin <- false
			} else { // what the old one still has to tell comes before what the new one shows
				next, read, wait = n, false, time.After(overlap)
			}
		case <-wait:
			wait, read = nil, true
			stop[current]()
		case e := <-over:
			stop[e.stream]()
			delete(stop, e.stream)
			switch e.stream {
			case current:
				if current = 0; next.stream != 0 {
					current = next.stream
					next.begin <- read || errors.Is(e.err, io.ErrUnexpectedEOF) // a reset may take with it what was not read yet
					next, wait = opening{}, nil
					continue
				}
			case next.stream:
				next, wait = opening{}, nil
			case dialing:
				dialing = 0
			default:
				continue
			}
			f.few.Warn().Err(e.err).Uint64("stream", e.stream).Msg("no news from the relay: dials again")
			if current == 0 && dialing == 0 || e.stream > current {
				retry = time.After(time.Duration(redial.Next()))
			}
		}
	}
}

// opening is a stream that stands and waits to be let on. Its news counts from then.
type opening struct {
	stream uint64
	begin  chan bool // whole: the one before it stood until now
}

// read follows one stream until it ends.
func (f *Client) read(ctx context.Context, stream uint64, opened func() (whole bool, err error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	addr := f.at()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/api/stream", nil)
	if err != nil {
		return err
	}
	res, err := f.news.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", addr, res.Status)
	}
	whole, err := opened()
	if err != nil { // given up before it was let on: it tells nothing
		return err
	}
	f.opt.OnEvent(StreamEvent{Stream: stream, Kind: StreamOpened, Continuous: whole})
	settled := sync.OnceFunc(func() { f.opt.OnEvent(StreamEvent{Stream: stream, Kind: SnapshotComplete}) }) // a sign of life is due within a second
	watchdog := time.AfterFunc(lifeWithin, func() { cancel(fmt.Errorf("silent for %v", lifeWithin)) })
	defer watchdog.Stop()
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(make([]byte, 0, 4<<10), lineMost)
	var name, data string
	for lines.Scan() {
		watchdog.Reset(lifeWithin)
		line := lines.Text()
		switch field, value, _ := strings.Cut(line, ":"); {
		case line == "" && name != "":
			e, err := event(name, data, f.opt.Zones, f.opt.ProxyCount)
			if err != nil {
				return err
			}
			if e != nil {
				f.opt.OnEvent(StreamEvent{Stream: stream, Kind: ProxyEvent, Event: e})
			}
			name, data = "", ""
		case line == "":
		case field == "":
			settled()
		case field == "event":
			name = strings.TrimSpace(value)
		case field == "data":
			data = strings.TrimSpace(value)
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}
