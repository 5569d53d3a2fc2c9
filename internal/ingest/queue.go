package ingest

import (
	"fmt"
	"sync"

	"cressknot/internal/fleet"
)

const (
	// sourceRate is the accepted number of records per second of one source, sourceBurst the number at once.
	sourceRate  = 4
	sourceBurst = 8

	// totalRate is the accepted number of records per second of all sources, totalBurst the number at once. Processing
	// them takes a fifth of a core.
	totalRate  = 2e5
	totalBurst = 2e4

	// minSourceGrowth is the least number of entries by which the table of sources grows.
	minSourceGrowth = 64
)

// Queue holds pushed records until a step of the control loop takes them. It keeps the newest record of each source, so
// that its size is bounded by the number of servers; no counts are lost, as counters are cumulative. Records are taken
// in the order in which their sources were queued, so that a source that sends more doesn't starve others. Queue is
// safe for concurrent use and reads no clock.
type Queue struct {
	mu      sync.Mutex
	sources []queuedSource   // by server
	order   []fleet.ServerID // queued sources, oldest first; those before head were taken
	head    int
	bucket  tokenBucket
	records uint64 // received since the start
	dropped uint64 // records dropped because they exceeded a rate limit
}

// queuedSource is the state of a source in a Queue.
type queuedSource struct {
	record         Record
	queued         bool
	bucket         tokenBucket
	untrustedUntil fleet.Time
}

// Reply is the result of adding a batch, for its sender. Text explains a rejection and is empty otherwise.
type Reply struct {
	Accepted       int
	Dropped        int        // records that exceeded a rate limit
	RetryAfter     fleet.Time // delay before the sender retries; 0: none
	UntrustedUntil fleet.Time // records of a source in the batch are ignored until then; 0: none are
	Text           string
}

// Put adds a batch of records, except those over the rate limits.
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
	if source.untrustedUntil > now {
		reply.UntrustedUntil = max(reply.UntrustedUntil, source.untrustedUntil)
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

// olderThan reports whether the record is not newer than the other one of the same source.
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

// Take removes up to limit records from the queue and appends them to records, in the order in which their sources were
// queued.
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

// compact removes the taken sources from the order, once they are more than half of it.
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

// SetUntrusted makes the replies to batches of a source state that its records are ignored until the given time. They
// are queued nevertheless.
func (q *Queue) SetUntrusted(id fleet.ServerID, until fleet.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if int(id) < len(q.sources) {
		q.sources[id].untrustedUntil = until
	}
}

// Stats returns the number of queued sources, and the numbers of records received and dropped since the start.
func (q *Queue) Stats() (sources int, records, dropped uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.order) - q.head, q.records, q.dropped
}
