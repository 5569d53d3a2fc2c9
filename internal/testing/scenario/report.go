package scenario

import (
	"io"
	"net"
	"slices"
	"time"

	"cressknot/internal/testing/invariants"
)

const (
	// commandDialTimeout and commandTimeout bound a command to a controller's operators' socket.
	commandDialTimeout = time.Second
	commandTimeout     = 3 * time.Second
)

// Report is the result of a scenario. Fields of faults that the scenario doesn't have are empty. Times are in seconds.
type Report struct {
	Scenario    string                  `json:"day"`
	Length      float64                 `json:"length_s"`
	Rules       []invariants.RuleResult `json:"rules"`
	Classes     []ClassResult           `json:"classes"`
	Weights     []WeightSample          `json:"weights"`
	Controllers []ControllerUsage       `json:"governors"`
	Withdrawals Withdrawals             `json:"falls"`
	// Flood counts the load reports of a flood: accepted, rejected, and batches lost.
	Flood [3]int64 `json:"flood,omitempty"`
	// SilenceDetections are the times from the end of a server's load reports until a controller showed it as a silent
	// reporter rather than a dead server.
	SilenceDetections []float64 `json:"mutes_s,omitempty"`
	// UndetectedSilences counts the pairs of a silent server and a controller that did not detect it.
	UndetectedSilences int `json:"unnoticed,omitempty"`
	// Rollbacks are the times from a rollback command until a proxy had the version, sorted.
	Rollbacks []float64 `json:"backs_s,omitempty"`
	// UnservedGaps are the times that proxies had no controller between two sessions, sorted. Only set for scenarios in
	// which controllers share the proxies.
	UnservedGaps []float64 `json:"unattended_s,omitempty"`
	// RollingRestart is the duration of a rolling restart of all controllers; 0: there was none.
	RollingRestart  float64               `json:"rolled_s,omitempty"`
	ClientPrograms  []ClientProgramResult `json:"libraries,omitempty"`
	DiscoveryOutage *DiscoveryOutage      `json:"dark,omitempty"`
	// Versions counts the proxies by their last version of the first class's table.
	Versions map[string]int `json:"versions"`
	// PushesAccepted and PushesRejected count the commands that set a weight by hand.
	PushesAccepted int `json:"PushesTaken"`
	PushesRejected int `json:"PushesRefused"`
	// Problems are errors of the scenario itself, as opposed to violations by a controller. With any, the figures of the
	// run are not valid.
	Problems []string `json:"troubles,omitempty"`
}

// ClassResult counts the outcomes of a class's requests as callers see them. P50 and P99 are latencies of successful
// requests in milliseconds.
type ClassResult struct {
	Name     string  `json:"name"`
	Requests int     `json:"visits"`
	InTime   int     `json:"in_time"`
	Late     int     `json:"late"`
	Rejected int     `json:"refused"`
	Failed   int     `json:"failed"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

// WeightSample holds the servers' weights of the first class at a time in seconds, as means over all proxies. 1 is an
// equal share of the requests.
type WeightSample struct {
	At    float64            `json:"at_s"`
	Share map[string]float64 `json:"share"`
}

// ControllerUsage holds the CPU time in seconds, the peak memory in MiB and the counters of a controller. Info holds
// the fields of "show info" and "show intake" by name.
type ControllerUsage struct {
	Name string            `json:"name"`
	CPU  float64           `json:"cpu_s"`
	RSS  float64           `json:"rss_mib"`
	Info map[string]string `json:"info"`
}

// Withdrawals holds the sorted times in seconds until a proxy had withdrawn a crashed server, from the crash and from
// the notification by the endpoint list. FromNotification leaves out withdrawals before the notification.
type Withdrawals struct {
	FromCrash        []float64 `json:"from_fall_s"`
	FromNotification []float64 `json:"from_told_s"`
}

// DiscoveryOutage is the result of a start of all controllers without the endpoint source, from cached lists that are a
// day old.
type DiscoveryOutage struct {
	// Served are the times from the controllers' start until a proxy had tables, sorted.
	Served []float64 `json:"served_s"`
	// NeverServed counts the proxies that got no tables while the source was down.
	NeverServed int `json:"unheld"`
	// InTimeFraction is the fraction of requests that were answered in time, from ten seconds after the start until the
	// endpoint source returned.
	InTimeFraction float64 `json:"in_time"`
	// StaleEntries counts the entries of servers that no longer exist in the proxies' tables ten seconds after the start.
	StaleEntries int `json:"ghosts"`
	// LiveAfter are the times from the return of the endpoint source until a controller used its list, sorted.
	LiveAfter []float64 `json:"live_s"`
	// MaxShift is the maximum fraction of all requests that moved to other servers within a second, in the ten seconds
	// after all controllers used the list.
	MaxShift float64 `json:"moved"`
	// MaxGain is the maximum gain of one server within a second, in the same ten seconds. 1 is an equal share of the
	// requests.
	MaxGain float64 `json:"moved_one"`
}

// Passed reports whether all invariants held and the scenario itself had no problems.
func (r *Report) Passed() bool {
	broken := slices.ContainsFunc(r.Rules, func(v invariants.RuleResult) bool { return len(v.Violations) > 0 })
	return len(r.Problems) == 0 && !broken
}

// sendCommand sends one line, which must end with a line break, to a controller's operators' socket and returns the
// answer.
func sendCommand(socket, line string) (string, error) {
	conn, err := net.DialTimeout("unix", socket, commandDialTimeout)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(commandTimeout))
	if _, err := io.WriteString(conn, line); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(conn)
	return string(answer), err
}
