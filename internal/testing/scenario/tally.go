package scenario

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordedDuration and durationDigits bound the recorded durations and their precision.
	maxRecordedDuration = time.Minute
	durationDigits      = 3
	microsPerMilli      = 1000
)

// classTally counts the outcomes of a class's requests.
type classTally struct {
	requests, inTime, late, rejected, failed int
	durations                                *hdrhistogram.Histogram // microseconds of answered requests; nil: none
}

// tally counts the outcomes of requests as their callers see them.
type tally struct {
	mu      sync.Mutex
	byClass []classTally
}

// count counts a request by the status of its answer.
func (t *tally) count(class, status int, duration, objective time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.byClass[class]
	if c.durations == nil {
		c.durations = hdrhistogram.New(1, int64(maxRecordedDuration/time.Microsecond), durationDigits)
	}
	c.requests++
	switch status {
	case http.StatusOK:
		_ = c.durations.RecordValue(duration.Microseconds())
		if duration <= objective {
			c.inTime++
		} else {
			c.late++
		}
	case http.StatusTooManyRequests:
		c.rejected++
	default:
		c.failed++
	}
}

// sums returns how many requests were answered in time, and how many there were.
func (t *tally) sums() (inTime, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.byClass {
		inTime += c.inTime
		requests += c.requests
	}
	return inTime, requests
}

// summary is a progress line.
func (t *tally) summary() string {
	inTime, requests := t.sums()
	percent := 100 * float64(inTime) / float64(max(1, requests))
	return fmt.Sprintf("%d requests, %.1f%% answered in time", requests, percent)
}

// classes returns the rows of a report.
func (t *tally) classes(spec *Spec) []Class {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []Class
	for i, c := range t.byClass {
		row := Class{
			Name:     spec.Classes[i].Name,
			Requests: c.requests,
			InTime:   c.inTime,
			Late:     c.late,
			Rejected: c.rejected,
			Failed:   c.failed,
		}
		if c.durations != nil {
			row.P50 = float64(c.durations.ValueAtQuantile(50)) / microsPerMilli
			row.P99 = float64(c.durations.ValueAtQuantile(99)) / microsPerMilli
		}
		rows = append(rows, row)
	}
	return rows
}

// quantile returns a quantile of sorted values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
