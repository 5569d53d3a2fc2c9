package service

import (
	"fmt"
	"math"

	"cressknot/internal/fleet"
)

// QueryKind is a kind of query.
type QueryKind uint8

// The kinds, in falling priority.
const (
	WatchQuery QueryKind = iota
	ReportQuery
	TableQuery
	ServerQuery
	SummaryQuery
	HistoryQuery
	queryKindCount
)

// queryPolicy is how queries of a kind are limited.
type queryPolicy struct {
	ratePerSecond       float64 // of one caller
	burst               float64 // of one caller
	concurrencyFraction float64 // of the concurrency up to which the kind is admitted
}

// queryPolicies put queries that requests depend on before those that people look at.
var queryPolicies = [queryKindCount]queryPolicy{
	WatchQuery:   {2, 10, 1},     // a reconnect, and some controllers' restarts in a row
	ReportQuery:  {10, 40, 0.95}, // a report each second in some pieces
	TableQuery:   {5, 20, 0.9},
	ServerQuery:  {20, 40, 0.7},
	SummaryQuery: {5, 10, 0.6},
	HistoryQuery: {2, 5, 0.5},
}

const (
	// maxCallers bounds the callers whose rates are remembered.
	maxCallers = 20_000
	// callerRetention is how long a caller is remembered after its last query.
	callerRetention = 60 * fleet.Second
	// minSweepInterval and sweepInterval bound how often callers are looked through: the first with too many callers.
	minSweepInterval = fleet.Second
	sweepInterval    = callerRetention / 4

	// initialConcurrency is the limit before anything is measured.
	initialConcurrency = 64.0
	// minConcurrency admits some queries of each kind whatever is measured.
	minConcurrency = 8.0
	// maxConcurrency is where memory, not time, bounds the queries.
	maxConcurrency = 4096.0
	// adjustInterval is the shortest time between two adjustments of the limit.
	adjustInterval = 100 * fleet.Millisecond
	// minAnswersToAdjust is the number of answers that an adjustment needs: fewer are chance.
	minAnswersToAdjust = 10
	// durationTolerance is how many times the best duration answers may take before the limit falls.
	durationTolerance = 2.0
	// bestDurationDecay raises the best duration at each adjustment: it is forgotten within ten seconds.
	bestDurationDecay = 0.99
	// quickDuration, in seconds, is what never lowers the limit, however quick the best answers were.
	quickDuration = 0.005
	// minGradient bounds how much one adjustment lowers the limit.
	minGradient = 0.5
	// minMeanDuration, in seconds, avoids a division by zero.
	minMeanDuration = 1e-9
	// limitSmoothing is the weight of the newest measurement.
	limitSmoothing = 0.2

	// minRetryAfter and maxRetryAfter bound when a rejected caller is asked to retry.
	minRetryAfter = 100 * fleet.Millisecond
	maxRetryAfter = 5 * fleet.Second
)

// tooManyCallers is the text of the error for a caller beyond maxCallers. It is formatted once, because it answers
// floods.
var tooManyCallers = fmt.Sprintf("limit of %d concurrent callers reached", maxCallers)

// tokenBucket limits the rate of one caller for one kind.
type tokenBucket struct {
	tokens  float64
	updated fleet.Time
}

// refill adds what the rate gives since the last update.
func (b *tokenBucket) refill(now fleet.Time, policy queryPolicy) {
	b.tokens = min(policy.burst, b.tokens+(now-b.updated).Seconds()*policy.ratePerSecond)
	b.updated = max(b.updated, now)
}

type callerState struct {
	buckets   [queryKindCount]tokenBucket
	lastQuery fleet.Time
}

// QueryLimiter decides which queries are admitted: it bounds the rate of each caller, and the number of queries in
// flight by how long answers take, lowest priority rejected first. It does no I/O and reads no clock.
type QueryLimiter struct {
	callers   map[string]*callerState
	lastSwept fleet.Time

	concurrency  float64 // limit of the queries in flight
	inFlight     int
	bestDuration float64 // seconds
	meanDuration float64 // seconds, at the last adjustment

	// Since the last adjustment.
	lastAdjusted fleet.Time
	durationSum  float64 // seconds
	answers      int
	peakInFlight int

	Admitted       uint64
	Rejected       uint64
	RejectedByRate uint64 // part of Rejected
}

// NewQueryLimiter makes a limiter that has measured nothing yet.
func NewQueryLimiter() *QueryLimiter {
	return &QueryLimiter{callers: map[string]*callerState{}, concurrency: initialConcurrency}
}

// Admit admits a query, or rejects it with a time after which to retry. Each admitted one ends with Release.
func (l *QueryLimiter) Admit(now fleet.Time, caller string, kind QueryKind) *Error {
	l.sweep(now)
	state := l.caller(now, caller)
	if state == nil {
		l.Rejected++
		return &Error{Overloaded, tooManyCallers, maxRetryAfter}
	}
	state.lastQuery = now
	policy := queryPolicies[kind]
	bucket := &state.buckets[kind]
	bucket.refill(now, policy)
	if bucket.tokens < 1 {
		l.Rejected++
		l.RejectedByRate++
		wait := fleet.Second.Scale((1 - bucket.tokens) / policy.ratePerSecond)
		return &Error{Overloaded, "caller exceeded its rate limit for this kind of query", boundRetryAfter(wait)}
	}
	if float64(l.inFlight) >= l.concurrency*policy.concurrencyFraction {
		l.Rejected++
		wait := fleet.Second.Scale(l.meanDuration * float64(l.inFlight) / l.concurrency)
		return &Error{Overloaded, "too many queries in flight", boundRetryAfter(wait)}
	}
	bucket.tokens--
	l.inFlight++
	l.peakInFlight = max(l.peakInFlight, l.inFlight)
	l.Admitted++
	return nil
}

// caller returns the state of a caller, nil if there are too many.
func (l *QueryLimiter) caller(now fleet.Time, name string) *callerState {
	state := l.callers[name]
	if state != nil {
		return state
	}
	if len(l.callers) >= maxCallers {
		return nil
	}
	state = &callerState{}
	for kind := range state.buckets {
		state.buckets[kind] = tokenBucket{queryPolicies[kind].burst, now}
	}
	l.callers[name] = state
	return state
}

func boundRetryAfter(wait fleet.Time) fleet.Time { return max(minRetryAfter, min(maxRetryAfter, wait)) }

// Release ends an admitted query after the given duration.
func (l *QueryLimiter) Release(now, duration fleet.Time) {
	l.inFlight--
	l.durationSum += duration.Seconds()
	l.answers++
	if l.answers >= minAnswersToAdjust && now >= l.lastAdjusted+adjustInterval {
		l.adjust(now)
	}
}

// adjust moves the limit by the gradient of the mean duration over the best one: as many queries in flight as don't
// wait for each other, and room to find out about more.
func (l *QueryLimiter) adjust(now fleet.Time) {
	mean := l.durationSum / float64(l.answers)
	if l.bestDuration == 0 || mean < l.bestDuration {
		l.bestDuration = mean
	}
	l.bestDuration = min(mean, l.bestDuration/bestDurationDecay)
	tolerated := max(quickDuration, durationTolerance*l.bestDuration)
	gradient := min(1, max(minGradient, tolerated/max(mean, minMeanDuration)))
	next := l.concurrency*gradient + math.Sqrt(l.concurrency)
	used := float64(l.peakInFlight) >= l.concurrency/2 // idle times show nothing about a higher limit
	if gradient < 1 || used {
		smoothed := (1-limitSmoothing)*l.concurrency + limitSmoothing*next
		l.concurrency = min(maxConcurrency, max(minConcurrency, smoothed))
	}
	l.meanDuration = mean
	l.durationSum = 0
	l.answers = 0
	l.peakInFlight = l.inFlight
	l.lastAdjusted = now
}

// sweep forgets callers that have not asked for a while.
func (l *QueryLimiter) sweep(now fleet.Time) {
	interval := sweepInterval
	if len(l.callers) >= maxCallers {
		interval = minSweepInterval
	}
	if now < l.lastSwept+interval {
		return
	}
	l.lastSwept = now
	for name, state := range l.callers {
		if now >= state.lastQuery+callerRetention {
			delete(l.callers, name)
		}
	}
}

// Concurrency returns the limit of queries in flight, and how many are.
func (l *QueryLimiter) Concurrency() (limit float64, inFlight int) { return l.concurrency, l.inFlight }
