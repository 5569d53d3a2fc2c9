package scenario

import (
	"io"
	"net"
	"slices"
	"time"

	"cressknot/internal/testing/invariants"
)

const (
	// askDialTimeout and askTimeout bound a question to a controller's operators' socket.
	askDialTimeout = time.Second
	askTimeout     = 3 * time.Second
)

// Report is the result of a scenario.
type Report struct {
	Scenario    string               `json:"day"`
	Length      float64              `json:"length_s"`
	Rules       []invariants.Verdict `json:"rules"`
	Classes     []Class              `json:"classes"`
	Weights     []Weights            `json:"weights"`
	Controllers []ControllerUsage    `json:"governors"`
	Withdrawals Withdrawals          `json:"falls"`
	// Flood counts unexpected load reports: accepted, rejected, and batches lost.
	Flood [3]int64 `json:"flood,omitempty"`
	// SilenceDetections are the times from the end of a node's reports until a controller distinguished it from a dead
	// one.
	SilenceDetections []float64 `json:"mutes_s,omitempty"`
	// UndetectedSilences counts those that a controller did not detect.
	UndetectedSilences int `json:"unnoticed,omitempty"`
	// Rollbacks are the times from a rollback until a proxy had the version, sorted.
	Rollbacks []float64 `json:"backs_s,omitempty"`
	// UnservedGaps are the times that proxies were without a controller's session between two, sorted.
	UnservedGaps []float64 `json:"unattended_s,omitempty"`
	// RollingRestart is the duration of a rolling restart of all controllers.
	RollingRestart  float64            `json:"rolled_s,omitempty"`
	ClientPrograms  []ClientProgramRow `json:"libraries,omitempty"`
	DiscoveryOutage *DiscoveryOutage   `json:"dark,omitempty"`
	// Versions counts the proxies by the last version of the first class's table.
	Versions map[string]int `json:"versions"`
	// PushesAccepted and PushesRejected count weights that were set by hand.
	PushesAccepted int `json:"PushesTaken"`
	PushesRejected int `json:"PushesRefused"`
	// Problems are those of the scenario itself: such a run does not count.
	Problems []string `json:"troubles,omitempty"`
}

// Class counts the outcomes of a class's requests.
type Class struct {
	Name     string  `json:"name"`
	Requests int     `json:"visits"`
	InTime   int     `json:"in_time"`
	Late     int     `json:"late"`
	Rejected int     `json:"refused"`
	Failed   int     `json:"failed"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

// Weights is a sample of the nodes' weights of the first class; 1 is an equal part.
type Weights struct {
	At    float64            `json:"at_s"`
	Share map[string]float64 `json:"share"`
}

// ControllerUsage is what a controller used and counted.
type ControllerUsage struct {
	Name string            `json:"name"`
	CPU  float64           `json:"cpu_s"`
	RSS  float64           `json:"rss_mib"`
	Info map[string]string `json:"info"`
}

// Withdrawals are the times in seconds until a proxy had withdrawn a dead node, sorted: from its crash, and from the
// list's notification.
type Withdrawals struct {
	FromCrash        []float64 `json:"from_fall_s"`
	FromNotification []float64 `json:"from_told_s"`
}

// DiscoveryOutage is the result of controllers that started without the endpoint source, from lists of a day before.
type DiscoveryOutage struct {
	// Served are the times from the start until each proxy had tables, sorted.
	Served []float64 `json:"served_s"`
	// NeverServed counts the proxies that got none while the source was down.
	NeverServed int `json:"unheld"`
	// InTimeFraction is the part of requests answered in time, from ten seconds after the start until the source's return.
	InTimeFraction float64 `json:"in_time"`
	// StaleEntries counts entries of servers that are gone, in tables of proxies ten seconds after the start.
	StaleEntries int `json:"ghosts"`
	// LiveAfter are the times from the source's return until a controller used its list.
	LiveAfter []float64 `json:"live_s"`
	// MaxShift is the largest part of all requests that moved within a second, in the ten seconds after that.
	MaxShift float64 `json:"moved"`
	// MaxGain is the largest gain of one server within a second, in equal parts.
	MaxGain float64 `json:"moved_one"`
}

// Passed reports whether all rules held and the scenario itself went well.
func (r *Report) Passed() bool {
	broken := slices.ContainsFunc(r.Rules, func(v invariants.Verdict) bool { return len(v.Breaks) > 0 })
	return len(r.Problems) == 0 && !broken
}

// ask sends one line to a controller's operators' socket.
func ask(socket, line string) (string, error) {
	conn, err := net.DialTimeout("unix", socket, askDialTimeout)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(askTimeout))
	if _, err := io.WriteString(conn, line); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(conn)
	return string(answer), err
}
