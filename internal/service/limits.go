package service

import (
	"math"

	"cressknot/internal/fleet"
)

// Kind is a kind of question.
type Kind uint8

// The kinds, from the one that is worth most down.
const (
	AskWatch Kind = iota
	AskReport
	AskTable
	AskServer
	AskSummary
	AskHistory
	kindCount
)

// kinds is what differs by kind: what a caller may ask a second and at once, and up to which part of what can be answered at a time it
// is taken. What keeps visits on their way goes before what people look at.
var kinds = [kindCount]struct{ perS, burst, share float64 }{
	AskWatch:   {2, 10, 1},     // a reconnect, and some governors' restarts in a row
	AskReport:  {10, 40, 0.95}, // a batch a second in some pieces
	AskTable:   {5, 20, 0.9},
	AskServer:  {20, 40, 0.7},
	AskSummary: {5, 10, 0.6},
	AskHistory: {2, 5, 0.5},
}

const (
	callersMost       = 20_000                  // callers whose asking is remembered
	limitFirst        = 64.0                    // questions at a time, before anything is measured
	limitLeast        = 8.0                     // some for each kind whatever is measured
	limitMost         = 4096.0                  // memory, not time, bounds beyond
	lookEvery         = 100 * fleet.Millisecond // between two looks at how long answers take
	lookLeast         = 10                      // answers that make a look: fewer are chance
	tolerance         = 2.0                     // times the best time that answers may take before fewer are taken at a time
	bestKeeps         = 0.99                    // by which the best time of answers fades up at each look: it is forgotten in ten seconds
	quickEnough       = 0.005                   // seconds: answers that take less never mean too much, however quick the best was
	smoothing         = 0.2                     // part of a look that counts
	retryLeast        = 100 * fleet.Millisecond // before an overloaded governor is asked again
	retryMost         = 5 * fleet.Second
	watchersMost      = 8192             // of a governor
	slowWatcherDelay  = fleet.Second     // without word of what a watcher was sent: it gets the newest only
	watcherTimeout    = 3 * fleet.Second // the same: its stream is ended, as a table that is not followed is none
	heartbeatInterval = fleet.Second     // signs of life to a watcher that gets nothing else
	forgetCaller      = 60 * fleet.Second
)

type bucket struct {
	tokens float64
	at     fleet.Time
}

type caller struct {
	buckets [kindCount]bucket
	at      fleet.Time
}

// Limits decide which questions are taken. Some callers ask too often, whatever there is room for; and all together may ask no more
// at a time than answers stay quick, least worth refused first. It is pure.
type Limits struct {
	callers  map[string]*caller
	limit    float64 // questions at a time
	flying   int
	best     float64 // seconds
	sum      float64 // of answers since the last look
	answers  int
	peak     int // most at a time since the last look
	looked   fleet.Time
	swept    fleet.Time
	mean     float64
	Taken    uint64
	Refused  uint64
	Repeated uint64 // refused for asking too often
}

// NewLimits makes limits that nothing is known of.
func NewLimits() *Limits { return &Limits{callers: map[string]*caller{}, limit: limitFirst} }

// Ask takes a question, or refuses it with a time after which to ask again. Each taken one ends with Done.
func (l *Limits) Ask(now fleet.Time, who string, k Kind) *Error {
	l.sweep(now)
	c := l.callers[who]
	if c == nil {
		if len(l.callers) >= callersMost {
			l.Refused++
			return &Error{Overloaded, "too many callers", retryMost}
		}
		c = &caller{}
		for i := range c.buckets {
			c.buckets[i] = bucket{kinds[i].burst, now}
		}
		l.callers[who] = c
	}
	c.at = now
	b, kind := &c.buckets[k], kinds[k]
	b.tokens, b.at = min(kind.burst, b.tokens+(now-b.at).Seconds()*kind.perS), max(b.at, now)
	if b.tokens < 1 {
		l.Refused, l.Repeated = l.Refused+1, l.Repeated+1
		return &Error{Overloaded, "this caller asks too often", bound(fleet.Second.Scale((1 - b.tokens) / kind.perS))}
	}
	if float64(l.flying) >= l.limit*kind.share {
		l.Refused++
		return &Error{Overloaded, "too many questions at a time", bound(fleet.Second.Scale(l.mean * float64(l.flying) / l.limit))}
	}
	b.tokens--
	l.flying++
	l.peak = max(l.peak, l.flying)
	l.Taken++
	return nil
}

func bound(wait fleet.Time) fleet.Time { return max(retryLeast, min(retryMost, wait)) }

// Done ends a question that was taken, after a time.
func (l *Limits) Done(now, took fleet.Time) {
	l.flying--
	l.sum, l.answers = l.sum+took.Seconds(), l.answers+1
	if l.answers < lookLeast || now < l.looked+lookEvery {
		return
	}
	mean := l.sum / float64(l.answers)
	if l.best == 0 || mean < l.best {
		l.best = mean
	}
	l.best = min(mean, l.best/bestKeeps)
	// By the gradient of time over the best time: as many at a time as don't wait for each other, and room to find out about more.
	gradient := min(1, max(0.5, max(quickEnough, tolerance*l.best)/max(mean, 1e-9)))
	if next := l.limit*gradient + math.Sqrt(l.limit); gradient < 1 || float64(l.peak) >= l.limit/2 { // idle times tell nothing of more
		l.limit = min(limitMost, max(limitLeast, (1-smoothing)*l.limit+smoothing*next))
	}
	l.mean, l.sum, l.answers, l.peak, l.looked = mean, 0, 0, l.flying, now
}

// sweep forgets callers that were not heard of for a while.
func (l *Limits) sweep(now fleet.Time) {
	if now < l.swept+forgetCaller/4 && len(l.callers) < callersMost || now < l.swept+fleet.Second {
		return
	}
	l.swept = now
	for who, c := range l.callers {
		if now >= c.at+forgetCaller {
			delete(l.callers, who)
		}
	}
}

// Limit tells how many questions are taken at a time, and how many are being answered.
func (l *Limits) Limit() (limit float64, flying int) { return l.limit, l.flying }

// Patience is what is made of a watcher that has not said that it took in what it was sent.
type Patience uint8

// The kinds of patience.
const (
	Waits Patience = iota
	Slow           // gets the newest only, and nobody waits for it
	Cut            // is to be ended
)

// Judge says what is made of a watcher: since is when it was sent the oldest update that it has not acknowledged, 0 for none.
func Judge(now, since fleet.Time) Patience {
	switch {
	case since == 0 || now < since+slowWatcherDelay:
		return Waits
	case now < since+watcherTimeout:
		return Slow
	}
	return Cut
}
