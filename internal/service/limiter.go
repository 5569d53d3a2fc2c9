package service

import (
	"container/list"
	"math"

	"cressknot/internal/fleet"
)

// QueryKind distinguishes queries that are limited separately.
type QueryKind uint8

// The kinds of queries, in falling priority.
const (
	WatchQuery QueryKind = iota
	ReportQuery
	TableQuery
	ServerQuery
	SummaryQuery
	HistoryQuery
	queryKindCount
)

// queryPolicy limits the queries of one kind.
type queryPolicy struct {
	ratePerSecond       float64 // token rate of one caller
	burst               float64 // bucket size of one caller
	concurrencyFraction float64 // fraction of the concurrency limit up to which the kind is admitted
}

// queryPolicies prefer queries that the routing of requests depends on to those that operators make.
var queryPolicies = [queryKindCount]queryPolicy{
	WatchQuery:   {2, 10, 1},     // allows for a reconnect and several controller restarts in a row
	ReportQuery:  {10, 40, 0.95}, // allows for one report per second, split into several batches
	TableQuery:   {5, 20, 0.9},
	ServerQuery:  {20, 40, 0.7},
	SummaryQuery: {5, 10, 0.6},
	HistoryQuery: {2, 5, 0.5},
}

const (
	// maxCallers bounds the number of callers whose rates are tracked, maxCallersPerAddress those of one address.
	maxCallers           = 20_000
	maxCallersPerAddress = maxCallers / 8
	// callerRetention is how long a caller is tracked after its last query.
	callerRetention = 60 * fleet.Second
	// sweepInterval is the interval at which inactive callers are removed, minSweepInterval that at maxCallers.
	minSweepInterval = fleet.Second
	sweepInterval    = callerRetention / 4

	// initialConcurrency is the concurrency limit before the first measurement.
	initialConcurrency = 64.0
	// minConcurrency is the lowest concurrency limit; it admits some queries of each kind.
	minConcurrency = 8.0
	// maxConcurrency is the highest concurrency limit; above it memory, not latency, is the bottleneck.
	maxConcurrency = 4096.0
	// adjustInterval is the minimum time between two adjustments of the limit.
	adjustInterval = 100 * fleet.Millisecond
	// minAnswersToAdjust is the minimum number of answers for an adjustment; the mean of fewer is too noisy.
	minAnswersToAdjust = 10
	// durationTolerance is the ratio of mean to best duration above which the limit falls.
	durationTolerance = 2.0
	// bestDurationDecay divides the best duration at each adjustment, so that an outdated one fades within about ten
	// seconds.
	bestDurationDecay = 0.99
	// quickDuration, in seconds, is a mean duration that never lowers the limit, however short the best one is.
	quickDuration = 0.005
	// minGradient limits by how much one adjustment can lower the limit.
	minGradient = 0.5
	// minMeanDuration, in seconds, avoids a division by zero.
	minMeanDuration = 1e-9
	// limitSmoothing is the weight of the newest measurement in the moving average of the limit.
	limitSmoothing = 0.2

	// minRetryAfter and maxRetryAfter bound the retry delay of a rejected caller.
	minRetryAfter = 100 * fleet.Millisecond
	maxRetryAfter = 5 * fleet.Second
)

// tokenBucket limits the rate of one caller for one kind of query.
type tokenBucket struct {
	tokens  float64
	updated fleet.Time
}

// refill adds the tokens that have accrued since the last update.
func (b *tokenBucket) refill(now fleet.Time, policy queryPolicy) {
	b.tokens = min(policy.burst, b.tokens+(now-b.updated).Seconds()*policy.ratePerSecond)
	b.updated = max(b.updated, now)
}

type callerState struct {
	buckets   [queryKindCount]tokenBucket
	lastQuery fleet.Time
	address   *addressState
	element   *list.Element // in address.callers
}

// QueryLimiter decides which queries are admitted. It limits the rate of each caller, the rate at which new names of
// callers come from a connection and from an address, and the total number of queries in flight with a limit that
// adapts to the duration of answers; queries of low priority are rejected first. It does no I/O and reads no clock.
// It is not safe for concurrent use.
type QueryLimiter struct {
	callers   map[callerKey]*callerState
	addresses map[string]*addressState
	lastSwept fleet.Time

	concurrency  float64 // limit of queries in flight
	inFlight     int
	bestDuration float64 // seconds; 0: not measured yet
	meanDuration float64 // seconds, at the last adjustment

	// Since the last adjustment.
	lastAdjusted fleet.Time
	durationSum  float64 // seconds
	answers      int
	peakInFlight int

	Admitted       uint64
	Rejected       uint64
	RejectedByRate uint64 // those of Rejected that exceeded the rate of their caller
}

// NewQueryLimiter returns a limiter with the initial concurrency limit.
func NewQueryLimiter() *QueryLimiter {
	return &QueryLimiter{
		callers:     map[callerKey]*callerState{},
		addresses:   map[string]*addressState{},
		concurrency: initialConcurrency,
	}
}

// Admit returns nil if it admits a query, or an error with code Overloaded and the delay after which to retry. Release
// must be called for each admitted query when it ends.
func (l *QueryLimiter) Admit(now fleet.Time, caller Caller, kind QueryKind) *Error {
	l.sweep(now)
	state, rejected := l.caller(now, caller)
	if rejected != nil {
		l.Rejected++
		return rejected
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

func boundRetryAfter(wait fleet.Time) fleet.Time { return max(minRetryAfter, min(maxRetryAfter, wait)) }

// Release ends an admitted query that took the given duration.
func (l *QueryLimiter) Release(now, duration fleet.Time) {
	l.inFlight--
	l.durationSum += duration.Seconds()
	l.answers++
	if l.answers >= minAnswersToAdjust && now >= l.lastAdjusted+adjustInterval {
		l.adjust(now)
	}
}

// adjust scales the concurrency limit by the ratio of the best to the mean duration, so that queries do not queue
// behind each other, and adds its square root as headroom to probe for a higher limit.
func (l *QueryLimiter) adjust(now fleet.Time) {
	mean := l.durationSum / float64(l.answers)
	if l.bestDuration == 0 || mean < l.bestDuration {
		l.bestDuration = mean
	}
	l.bestDuration = min(mean, l.bestDuration/bestDurationDecay)
	tolerated := max(quickDuration, durationTolerance*l.bestDuration)
	gradient := min(1, max(minGradient, tolerated/max(mean, minMeanDuration)))
	next := l.concurrency*gradient + math.Sqrt(l.concurrency)
	// With few queries in flight the durations say nothing about a higher limit.
	used := float64(l.peakInFlight) >= l.concurrency/2
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

// Concurrency returns the limit of queries in flight and their current number.
func (l *QueryLimiter) Concurrency() (limit float64, inFlight int) { return l.concurrency, l.inFlight }
