package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
)

const (
	// reportInterval is the mean time between two reports.
	reportInterval = fleet.Second
	// minReportFraction and reportJitter make each interval 0.9 to 1.1 times the mean, to spread reports of many clients.
	minReportFraction = 0.9
	reportJitter      = 0.2
	// maxReportRows bounds the servers per report: about 14 kB in the text protocol, which limits payloads to 16 kB.
	maxReportRows = 200
	// maxPendingReports bounds the reports waiting for a controller. At the limit, outcomes accumulate in the counters.
	maxPendingReports = 16
)

// sendReports sends load reports until the client is closed.
func (c *Client) sendReports() {
	defer c.background.Done()
	for sleep(c.ctx, reportInterval.Scale(minReportFraction+reportJitter*rand.Float64())) {
		c.mu.Lock()
		conn := c.conn
		if conn != nil && len(c.pendingReports) < maxPendingReports {
			c.collectReports()
		}
		pending := c.pendingReports
		c.mu.Unlock()
		if conn != nil {
			c.sendPending(conn, pending)
		}
	}
}

// sendPending sends reports in order and stops at the first temporary failure. The failed report is sent again later
// with the same sequence number, so that the controller counts it once.
func (c *Client) sendPending(conn Conn, pending []*service.Report) {
	for _, report := range pending {
		ctx, cancel := context.WithTimeout(c.ctx, time.Duration(queryTimeout))
		_, err := conn.Report(ctx, report)
		cancel()
		if err != nil && !isPermanent(err) {
			return
		}
		c.mu.Lock()
		c.pendingReports = c.pendingReports[1:]
		c.mu.Unlock()
	}
}

// isPermanent reports whether sending the same report again cannot succeed.
func isPermanent(err error) bool {
	var serviceError *service.Error
	if !errors.As(err, &serviceError) {
		return false
	}
	switch serviceError.Code {
	case service.BadRequest, service.TooLarge, service.NoServer, service.NoClass, service.NoZone:
		return true
	}
	return false
}

// collectReports moves the counts since the last report into pending reports. The caller must hold mu.
func (c *Client) collectReports() {
	report := &service.Report{}
	for name, server := range c.servers {
		outcome, ok := server.takeOutcome(name)
		if !ok {
			continue
		}
		report.Outcomes = append(report.Outcomes, outcome)
		if len(report.Outcomes) >= maxReportRows {
			c.enqueueReport(report)
			report = &service.Report{}
		}
	}
	report.Demands = c.takeDemands()
	if len(report.Outcomes)+len(report.Demands) > 0 {
		c.enqueueReport(report)
	}
}

func (c *Client) enqueueReport(report *service.Report) {
	c.reportSequence++
	report.Zone = c.config.Zone
	report.Session = c.reportSession
	report.Sequence = c.reportSequence
	c.pendingReports = append(c.pendingReports, report)
}

// takeOutcome returns and resets the counts of a server. recordAttempt counts an attempt before its success or
// failure, so that the attempts counter is never smaller than the sum taken here and does not wrap around.
func (s *Server) takeOutcome(name string) (_ service.ServerOutcome, ok bool) {
	if s.counts.attempts.Load() == 0 {
		return service.ServerOutcome{}, false
	}
	outcome := service.ServerOutcome{
		Server:        name,
		Successes:     s.counts.successes.Swap(0),
		Failures:      s.counts.failures.Swap(0),
		SuccessMillis: s.counts.successMillis.Swap(0),
	}
	outcome.Attempts = outcome.Successes + outcome.Failures
	s.counts.attempts.Add(-outcome.Attempts)
	for i := range s.counts.loadValues.Load() {
		outcome.Load = append(outcome.Load, s.counts.load[i].Load())
	}
	return outcome, outcome.Attempts > 0
}

// takeDemands returns and resets the request counts of the classes with requests.
func (c *Client) takeDemands() []service.ClassDemand {
	classes := c.classes.Load()
	if classes == nil {
		return nil
	}
	var demands []service.ClassDemand
	counts := *c.demand.Load()
	for i, class := range *classes {
		requests := counts[i].requests.Load()
		if requests == 0 {
			continue
		}
		unanswered := min(counts[i].unanswered.Load(), requests)
		counts[i].requests.Add(-requests)
		counts[i].unanswered.Add(-unanswered)
		demands = append(demands, service.ClassDemand{Class: class.Name, Requests: requests, Unanswered: unanswered})
	}
	return demands
}
