package scenario

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordedDuration is the longest duration that is recorded, durationDigits the precision in decimal digits.
	maxRecordedDuration = time.Minute
	durationDigits      = 3
	microsPerMilli      = 1000
)

// classTally counts the outcomes of a class's requests.
type classTally struct {
	requests, inTime, late, rejected, failed int
	durations                                *hdrhistogram.Histogram // microseconds of successful requests; nil: none
}

// tally counts the outcomes of requests as callers see them. It is safe for concurrent use.
type tally struct {
	mu      sync.Mutex
	byClass []classTally
}

// count counts a request by the status of its response; 0 stands for no response. Objective is the latency up to which
// a success counts as in time.
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

// sums returns the number of requests that were answered in time, and of all requests.
func (t *tally) sums() (inTime, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.byClass {
		inTime += c.inTime
		requests += c.requests
	}
	return inTime, requests
}

// summary returns the text of a progress line.
func (t *tally) summary() string {
	inTime, requests := t.sums()
	percent := 100 * float64(inTime) / float64(max(1, requests))
	return fmt.Sprintf("%d requests, %.1f%% answered in time", requests, percent)
}

// classes returns the results of all classes for the report.
func (t *tally) classes(spec *Spec) []ClassResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []ClassResult
	for i, c := range t.byClass {
		row := ClassResult{
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

// quantile returns a quantile of values in ascending order, 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
