package ingest

import (
	"fmt"
	"sync"

	"cressknot/internal/fleet"
)

const (
	// sourceRate is the number of records per second that are accepted of one source, with sourceBurst at once.
	sourceRate  = 4
	sourceBurst = 8

	// totalRate is the number of records per second that are accepted of all sources, with totalBurst at once. They take a
	// fifth of a core.
	totalRate  = 2e5
	totalBurst = 2e4

	// minSourceGrowth is the least number of sources by which the table grows.
	minSourceGrowth = 64
)

// Queue holds pushed records until a turn of the control loop takes them: the newest one of each source, so that
// its size is bounded by the fleet and nothing of the sums is lost. Turns take the sources in the order of their
// arrival, so that a source that sends more doesn't starve another one. It may be called from any goroutine; time
// is an input.
type Queue struct {
	mu      sync.Mutex
	sources []queuedSource   // by server
	order   []fleet.ServerID // sources with a record, in the order of arrival; those before head were taken
	head    int
	bucket  tokenBucket
	records uint64
	dropped uint64
}

// queuedSource is what a Queue knows of a source.
type queuedSource struct {
	record          Record
	queued          bool
	bucket          tokenBucket
	distrustedUntil fleet.Time
}

// Reply is what the source of a batch is answered.
type Reply struct {
	Accepted       int
	Dropped        int        // dropped records
	RetryAfter     fleet.Time // before it sends again; 0: none
	UntrustedUntil fleet.Time // until then its records don't count
	Text           string
}

// Put adds a batch of records.
func (q *Queue) Put(now fleet.Time, records []Record) Reply {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.records += uint64(len(records))
	q.bucket.refill(now, totalRate, totalBurst)
	var reply Reply
	for i := range records {
		q.put(now, &records[i], &reply)
	}
	q.dropped += uint64(reply.Dropped)
	switch {
	case reply.UntrustedUntil > 0:
		reply.Text = "load reports are ignored for now: earlier ones had invalid counters, loads or times"
	case reply.Accepted == 0 && reply.Dropped > 0:
		reply.Text = fmt.Sprintf("rate limit exceeded: at most %d records per second of a server, %d of all servers",
			sourceRate, int(totalRate))
	}
	return reply
}

func (q *Queue) put(now fleet.Time, record *Record, reply *Reply) {
	source := q.source(record.Server)
	if source.distrustedUntil > now {
		reply.UntrustedUntil = max(reply.UntrustedUntil, source.distrustedUntil)
	}
	source.bucket.refill(now, sourceRate, sourceBurst)
	switch {
	case source.bucket.tokens < 1:
		reply.Dropped++
		reply.RetryAfter = max(reply.RetryAfter, source.bucket.timeToToken(sourceRate))
		return
	case q.bucket.tokens < 1:
		reply.Dropped++
		reply.RetryAfter = max(reply.RetryAfter, q.bucket.timeToToken(totalRate))
		return
	}
	source.bucket.tokens--
	q.bucket.tokens--
	reply.Accepted++
	if source.queued && record.olderThan(&source.record) {
		return
	}
	source.record = *record
	if !source.queued {
		source.queued = true
		q.order = append(q.order, record.Server)
	}
}

// olderThan reports whether the record was overtaken by the other one of the same source.
func (r *Record) olderThan(other *Record) bool {
	if r.Started != other.Started {
		return r.Started < other.Started
	}
	return r.Stated > 0 && r.Stated <= other.Stated
}

func (q *Queue) source(id fleet.ServerID) *queuedSource {
	if missing := int(id) + 1 - len(q.sources); missing > 0 {
		q.sources = append(q.sources, make([]queuedSource, max(minSourceGrowth, missing))...)
	}
	return &q.sources[id]
}

// Take appends up to limit records to those given, in the order of their sources' arrival.
func (q *Queue) Take(limit int, records []Record) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	for ; q.head < len(q.order) && limit > 0; limit-- {
		source := &q.sources[q.order[q.head]]
		source.queued = false
		records = append(records, source.record)
		q.head++
	}
	q.compact()
	return records
}

// compact frees the places of the sources that were taken, once they are more than half.
func (q *Queue) compact() {
	switch {
	case q.head == len(q.order):
		q.order = q.order[:0]
		q.head = 0
	case q.head > len(q.order)/2:
		remaining := copy(q.order, q.order[q.head:])
		q.order = q.order[:remaining]
		q.head = 0
	}
}

// Distrust lets a source be answered that its records don't count until then.
func (q *Queue) Distrust(id fleet.ServerID, until fleet.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if int(id) < len(q.sources) {
		q.sources[id].distrustedUntil = until
	}
}

// Waiting returns how many sources are queued, and how many records came and were dropped.
func (q *Queue) Waiting() (sources int, records, dropped uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.order) - q.head, q.records, q.dropped
}
