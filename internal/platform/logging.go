package platform

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/transport/relay"
)

const (
	// estimateLogInterval is the minimum time between two log lines with the balancer's estimates.
	estimateLogInterval = 2 * fleet.Second
	// maxLoggedEndpoints limits the endpoints of a list that one log line names.
	maxLoggedEndpoints = 12
)

// DescribeEstimates returns one text per server with the balancer's estimates: health factor, failures and attempts,
// utilization, latency in ms, request rate and capacity in requests per second, and the weight in each table in
// thousandths. It may only be called by the goroutine that steps the controller.
func (c *Controller) DescribeEstimates() []string {
	var descriptions []string
	for _, estimate := range c.balancer.Estimates() {
		descriptions = append(descriptions, describeEstimate(c.servers.names[estimate.Server], estimate))
	}
	return descriptions
}

func describeEstimate(name string, estimate fleet.ServerEstimate) string {
	var weights []string
	for _, fraction := range estimate.TableFractions {
		weights = append(weights, strconv.Itoa(int(1000*fraction+0.5)))
	}
	flags := ""
	if estimate.WarmingUp {
		flags += ", warming up"
	}
	if estimate.Withdrawn {
		flags += ", withdrawn"
	}
	const format = "%s health %.2f, failures %.0f of %.0f attempts, utilization %.2f, latency %.0f ms, " +
		"rate %.1f of %.1f requests/s, table weights %s per mille%s"
	return fmt.Sprintf(format,
		name, estimate.HealthFactor, estimate.Failures, estimate.Attempts, estimate.Utilization,
		estimate.Latency.Seconds()*1000, estimate.RequestRate, estimate.Capacity, strings.Join(weights, "/"), flags)
}

// logMessages logs the endpoint lists among the messages of a step, and the state changes of the relay's event stream.
func (l *loop) logMessages(now fleet.Time, messages []Message) {
	for _, message := range messages {
		switch m := message.(type) {
		case EndpointsChanged:
			l.logEndpoints(now, m.Update)
		case RelayEvent:
			if m.Kind != relay.ProxyEvent {
				l.Log.Info().Uint64("stream", m.Stream).Stringer("kind", m.Kind).
					Int("joined", l.Controller.JoinedProxies()).Msg("relay event stream state changed")
			}
		}
	}
}

// logEndpoints logs the failure of an update, or the content of a changed endpoint list.
func (l *loop) logEndpoints(now fleet.Time, update discovery.Update) {
	if update.Err != nil {
		l.Log.Warn().Err(update.Err).Dur("next_request_in", time.Duration(l.Controller.untilListRequest(now))).
			Msg("endpoint list update failed")
	}
	if update.Unchanged || update.Scope == fleet.ListFailed {
		return
	}
	endpoints := update.List.Endpoints
	var first []string
	for _, endpoint := range endpoints[:min(len(endpoints), maxLoggedEndpoints)] {
		first = append(first, describeEndpoint(now, endpoint))
	}
	l.Log.Info().Uint64("revision", update.List.Revision).Bool("delta", update.List.Delta).
		Int("servers", len(endpoints)).Strs("first", first).Msg("endpoint list received")
}

// describeEndpoint returns the endpoint's name, state and, if its start is known, the time since its start.
func describeEndpoint(now fleet.Time, endpoint discovery.Endpoint) string {
	text := endpoint.Name + " " + endpoint.State
	if !endpoint.Started.IsZero() {
		age := now - fleet.Time(endpoint.Started.UnixNano())
		text += fmt.Sprintf(" up %.1f s", age.Seconds())
	}
	return text
}

// logStep logs the balancer's messages of a step and the number of dropped reports, and its estimates every
// estimateLogInterval.
func (l *loop) logStep(now fleet.Time, effects Effects) {
	l.logWithdrawals(effects.Withdrawals)
	for _, applied := range effects.AppliedWithdrawals {
		l.Log.Info().Strs("servers", applied.Servers).Int("proxies", applied.Proxies).
			Dur("after", time.Duration(applied.Duration)).Msg("withdrawals applied by proxies")
	}
	for _, text := range effects.LogMessages {
		l.Log.Info().Msg(text)
	}
	if now >= l.lastEstimateLog+estimateLogInterval {
		l.lastEstimateLog = now
		l.Log.Info().Strs("servers", l.Controller.DescribeEstimates()).Msg("server estimates")
	}
	if effects.UnknownServerReports > 0 {
		l.Log.Debug().Int("reports", effects.UnknownServerReports).
			Msg("load reports dropped: server not in the endpoint list")
	}
}

// logWithdrawals logs the withdrawals and readmissions of a step, one line for each cause.
func (l *loop) logWithdrawals(withdrawals []Withdrawal) {
	serversByCause := map[fleet.WithdrawalCause][]string{}
	for _, withdrawal := range withdrawals {
		serversByCause[withdrawal.Cause] = append(serversByCause[withdrawal.Cause], withdrawal.Server)
	}
	for _, withdrawal := range withdrawals {
		servers := serversByCause[withdrawal.Cause]
		if servers == nil {
			continue // logged with the first withdrawal of the cause
		}
		delete(serversByCause, withdrawal.Cause)
		message := "servers readmitted"
		if withdrawal.Withdrawn {
			message = "servers withdrawn"
		}
		l.Log.Info().Stringer("cause", withdrawal.Cause).Strs("servers", servers).
			Int("joined", l.Controller.JoinedProxies()).Msg(message)
	}
}
