package ingest

import (
	"fmt"
	"sync"

	"cressknot/internal/fleet"
)

const (
	sourcePerS = 4   // records a second of one source that are taken: one each period, with room for some at once
	sourceMost = 8   // at once
	allPerS    = 2e5 // records a second of all that are taken: a fifth of a core
	allMost    = 2e4 // at once
)

// Queue holds what was pushed until a turn takes it: of each source the newest record only, so that its size is that of the
// fleet and not that of the flood, and nothing of the sums is lost. Turns take sources in the order in which they came, so
// that none is starved by another one that sends more. It may be called from any goroutine; time is an input.
type Queue struct {
	mu      sync.Mutex
	slots   []slot
	order   []fleet.ServerID // sources with a record, the longest waiting first; those before head were taken
	head    int
	credit  float64
	paid    fleet.Time
	records uint64
	thinned uint64
	begun   bool
}

type slot struct {
	record   Record
	waits    bool
	credit   float64
	paid     fleet.Time
	begun    bool
	distrust fleet.Time
}

// Reply is what a source is told.
type Reply struct {
	Taken, Thinned int
	Wait           fleet.Time // before it sends again, 0: go on as before
	Distrust       fleet.Time // until then it is not believed
	Text           string
}

// Put takes a batch of records and says what its source is to be told.
func (b *Queue) Put(now fleet.Time, records []Record) (r Reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records += uint64(len(records))
	refill(&b.credit, &b.paid, &b.begun, now, allPerS, allMost)
	for i := range records {
		rec := &records[i]
		for int(rec.Server) >= len(b.slots) {
			b.slots = append(b.slots, make([]slot, max(64, int(rec.Server)+1-len(b.slots)))...)
		}
		s := &b.slots[rec.Server]
		if s.distrust > now {
			r.Distrust = max(r.Distrust, s.distrust)
		}
		refill(&s.credit, &s.paid, &s.begun, now, sourcePerS, sourceMost)
		if s.credit < 1 || b.credit < 1 {
			r.Thinned++
			if s.credit < 1 {
				r.Wait = max(r.Wait, fleet.Second.Scale((1-s.credit)/sourcePerS))
			} else {
				r.Wait = max(r.Wait, fleet.Second.Scale((1-b.credit)/allPerS))
			}
			continue
		}
		s.credit, b.credit = s.credit-1, b.credit-1
		r.Taken++
		if s.waits && (rec.Started < s.record.Started || rec.Started == s.record.Started && rec.Stated > 0 && rec.Stated <= s.record.Stated) {
			continue // overtaken on its way
		}
		s.record = *rec
		if !s.waits {
			s.waits = true
			b.order = append(b.order, rec.Server)
		}
	}
	b.thinned += uint64(r.Thinned)
	switch {
	case r.Distrust > 0:
		r.Text = "not believed for now: its counters or clock made no sense"
	case r.Taken == 0 && r.Thinned > 0:
		r.Text = fmt.Sprintf("more than %d records a second of one source", sourcePerS)
	}
	return r
}

func refill(credit *float64, paid *fleet.Time, begun *bool, now fleet.Time, perS, most float64) {
	if !*begun {
		*credit, *begun = most, true
	}
	*credit = min(most, *credit+max(0, (now-*paid).Seconds())*perS)
	*paid = max(*paid, now)
}

// Take gives up to so many records, those of the sources that have waited longest.
func (b *Queue) Take(most int, into []Record) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	for ; b.head < len(b.order) && most > 0; most-- {
		s := &b.slots[b.order[b.head]]
		s.waits = false
		into = append(into, s.record)
		b.head++
	}
	if b.head == len(b.order) {
		b.order, b.head = b.order[:0], 0
	} else if b.head > len(b.order)/2 {
		b.order = b.order[:copy(b.order, b.order[b.head:])]
		b.head = 0
	}
	return into
}

// Distrust lets a source be told that it is not believed.
func (b *Queue) Distrust(id fleet.ServerID, until fleet.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if int(id) < len(b.slots) {
		b.slots[id].distrust = until
	}
}

// Waiting tells how many sources wait to be heard, and how many records came and were thinned out.
func (b *Queue) Waiting() (sources int, records, thinned uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.order) - b.head, b.records, b.thinned
}
