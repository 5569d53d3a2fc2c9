package fakes

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// reportInterval is the time between two load reports of a node.
	reportInterval = time.Second
	// reportTimeout is the timeout of sending a report.
	reportTimeout = 3 * time.Second
)

// nodeCounters are counters of requests since the start of a node.
type nodeCounters struct{ attempts, failures, successes, successMillis int64 }

func (c *nodeCounters) add(success bool, millis int64) {
	c.attempts++
	if success {
		c.successes++
		c.successMillis += millis
	} else {
		c.failures++
	}
}

func (n *Node) countOutcome(success bool, millis int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counters.add(success, millis)
}

// StopReports stops a node's load reports, or with false resumes them. The node serves requests all the while.
func (n *Node) StopReports(stop bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reportsStopped = stop
}

var reportClient = &http.Client{
	Timeout:   reportTimeout,
	Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections},
}

// Report sends load reports to the URLs every reportInterval until the context ends. It sends none while the node is
// down, paused or overloaded, or its reports are stopped.
func (n *Node) Report(ctx context.Context, urls []string) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		report, due := n.report()
		if !due {
			continue
		}
		for _, url := range urls {
			_, _ = postReport(ctx, url, report)
		}
	}
}

// report formats a load report as a line of the Influx line protocol, and returns whether the node sends one now.
func (n *Node) report() (line []byte, due bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateBusy()
	c := n.counters
	line = fmt.Appendf(nil,
		"server,name=%s started=%di,tries=%di,failed=%di,good=%di,good_ms=%di,busy=%.3f,held=%di,service=%.1f %d\n",
		n.Name, n.processStarted.UnixNano(), c.attempts, c.failures, c.successes, c.successMillis,
		n.busyFraction, n.inFlight, n.serviceMillis, time.Now().UnixNano())
	return line, n.server != nil && !n.reportsStopped && !n.paused()
}

func (n *Node) paused() bool { return n.resume != nil || n.overloaded }

func postReport(ctx context.Context, url string, body []byte) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	res, err := reportClient.Do(req)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Body.Close()
}

// Flood sends false load reports: half of them for one server, some for unknown servers, some with counts out of all
// bounds, some malformed, some on new connections. The counters are in report lines; Failed is in batches that got no
// answer.
type Flood struct{ Accepted, Rejected, Failed atomic.Int64 }

const (
	floodBatch         = 200 // report lines in a batch
	floodSenders       = 8
	floodUnknownNames  = 5000
	floodMaxAgeSeconds = 60
	// One of this many batches, on average, ends with a malformed line or closes idle connections before it is sent.
	floodMalformedOneOf     = 20
	floodNewConnectionOneOf = 4
)

// Run starts senders that post a number of report lines per second to a controller's URL until the context ends. Names
// are those of real servers; it must not be empty.
func (f *Flood) Run(ctx context.Context, url string, names []string, linesPerSecond int, seed uint64) {
	interval := time.Second * floodBatch * floodSenders / time.Duration(linesPerSecond)
	for sender := range floodSenders {
		rng := rand.New(rand.NewPCG(seed, uint64(sender)))
		go f.send(ctx, url, names, interval, rng)
	}
}

func (f *Flood) send(ctx context.Context, url string, names []string, interval time.Duration, rng *rand.Rand) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var body bytes.Buffer
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		body.Reset()
		for range floodBatch {
			writeFalseReport(&body, names, rng)
		}
		if rng.IntN(floodMalformedOneOf) == 0 {
			body.WriteString("server,name= broken")
		}
		if rng.IntN(floodNewConnectionOneOf) == 0 {
			reportClient.CloseIdleConnections()
		}
		status, err := postReport(ctx, url, body.Bytes())
		switch {
		case err != nil:
			f.Failed.Add(1)
		case status >= http.StatusMultipleChoices:
			f.Rejected.Add(floodBatch)
		default:
			f.Accepted.Add(floodBatch)
		}
	}
}

// writeFalseReport writes a report line with random counts, for the first name, a random name or an unknown server.
func writeFalseReport(body *bytes.Buffer, names []string, rng *rand.Rand) {
	name := names[0]
	attempts := int64(rng.Uint32())
	switch rng.IntN(6) {
	case 0:
		name = fmt.Sprintf("nobody-%d", rng.IntN(floodUnknownNames))
	case 1:
		name = names[rng.IntN(len(names))]
		attempts = rng.Int64() // out of all bounds
	case 2:
		name = names[rng.IntN(len(names))]
	}
	failures := rng.Int64N(1 + attempts)
	busy := rng.Float64() * 3
	at := time.Now().Add(-time.Duration(rng.IntN(floodMaxAgeSeconds)) * time.Second)
	fmt.Fprintf(
		body,
		"server,name=%s tries=%di,failed=%di,busy=%.2f %d\n",
		name,
		attempts,
		failures,
		busy,
		at.UnixNano(),
	)
}
