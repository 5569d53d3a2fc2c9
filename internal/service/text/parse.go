package text

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/service"
	"cressknot/internal/tableversion"
)

// row is a parsed line. The methods that read a value return zero for a missing key; the first invalid value is
// recorded in err.
type row struct {
	kind   string
	values map[string]string
	number int // of the line, from 1
	err    *error
}

func (r row) text(key string) string { return r.values[key] }

func (r row) flag(key string) bool { return r.count(key, 1) == 1 }

func (r row) duration(key string) fleet.Time { return fleet.Time(r.count(key, 63)) }

// count reads an unsigned number of at most the given number of bits.
func (r row) count(key string, bits int) uint64 {
	text, ok := r.values[key]
	if !ok {
		return 0
	}
	number, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		r.failValue(key)
	}
	return number
}

func (r row) integer(key string) int64 {
	text, ok := r.values[key]
	if !ok {
		return 0
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		r.failValue(key)
	}
	return number
}

func (r row) version(key string) tableversion.Version {
	text, ok := r.values[key]
	if !ok || text == noVersion {
		return tableversion.NoVersion
	}
	version, err := tableversion.ParseVersion(text)
	if err != nil {
		r.failValue(key)
	}
	return version
}

// digest reads a digest. A missing one is an error.
func (r row) digest(key string) tableversion.Digest {
	digest, err := strconv.ParseUint(r.values[key], 16, 64)
	if err != nil {
		r.failValue(key)
	}
	return tableversion.Digest(digest)
}

func (r row) failValue(key string) {
	r.fail("invalid value: %s=%.40q", key, r.values[key])
}

// fail records an error with the line number, unless there is one already.
func (r row) fail(format string, args ...any) {
	if *r.err == nil {
		*r.err = fmt.Errorf("line %d: %s", r.number, fmt.Sprintf(format, args...))
	}
}

// parseRows parses an answer or a payload and calls handle for each row. It stops at the first error, which contains
// the line number.
func parseRows(text []byte, handle func(row)) error {
	number := 0
	for line := range bytes.Lines(text) {
		number++
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		var invalid error
		r, err := parseRow(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		r.number = number
		r.err = &invalid
		handle(r)
		if invalid != nil {
			return invalid
		}
	}
	return nil
}

var errNotOneRow = errors.New("want one row per line, without an unescaped semicolon")

func parseRow(line []byte) (row, error) {
	commands, err := haproxyapi.Split(line, 0)
	if err != nil {
		return row{}, err
	}
	if len(commands) != 1 {
		return row{}, errNotOneRow
	}
	words := commands[0].Words
	r := row{kind: words[0], values: make(map[string]string, len(words))}
	words = words[1:]
	if r.kind == "#" && len(words) > 0 {
		r.kind = "# " + words[0]
		words = words[1:]
	}
	for _, word := range words {
		if key, value, ok := strings.Cut(word, "="); ok {
			r.values[key] = value
		}
	}
	return r, nil
}

// parseAnswer parses an answer of the given kind and calls handle for each of its rows. The error is always a
// *service.Error: that of an error answer, or one with code Malformed.
func parseAnswer(text []byte, kind string, handle func(row)) error {
	first := true
	var errorAnswer *service.Error
	err := parseRows(text, func(r row) {
		switch {
		case first && r.kind == "# fault":
			errorAnswer = &service.Error{
				Code:       service.Code(r.text("code")),
				Text:       r.text("text"),
				RetryAfter: r.duration("retry_ns"),
			}
		case first && r.kind != "# "+kind:
			r.fail("answer begins with %.40q, want %q", r.kind, "# "+kind)
		case errorAnswer == nil:
			handle(r)
		}
		first = false
	})
	if err == nil && first {
		err = errors.New("line 1: empty answer")
	}
	if err != nil {
		return &service.Error{Code: service.Malformed, Text: err.Error()}
	}
	if errorAnswer != nil {
		return errorAnswer
	}
	return nil
}

// ParseUpdate parses an update. Like all functions that parse an answer, it returns a *service.Error: the error that
// was answered, or one with code Malformed that contains the line number.
func ParseUpdate(text []byte) (u service.Update, err error) {
	err = parseAnswer(text, "update", func(r row) {
		switch r.kind {
		case "# update":
			u = service.Update{
				Minor:           uint32(r.count("minor", 32)),
				Controller:      r.text("governor"),
				ListRevision:    r.count("list_rev", 64),
				Live:            r.flag("live"),
				Zone:            r.text("zone"),
				From:            r.version("from"),
				To:              r.version("to"),
				RestrictsToOpen: r.flag("shut"),
				Heartbeat:       r.flag("beat"),
			}
		case "class":
			u.Classes = append(u.Classes, service.ClassTable{
				Class:          r.text("name"),
				Published:      r.flag("laid"),
				AdmissionLimit: int(r.integer("amount")),
				Retry:          fleet.RetryMode(r.count("retry", 8)),
				Digest:         r.digest("digest"),
			})
		case "line":
			if len(u.Classes) == 0 {
				r.fail("row 'line' before the first row 'class'")
				return
			}
			class := &u.Classes[len(u.Classes)-1]
			class.Endpoints = append(class.Endpoints, service.Endpoint{
				Server: r.text("server"),
				Addr:   r.text("addr"),
				Weight: int(r.count("weight", 16)),
			})
		case "open":
			u.OpenServers = append(u.OpenServers, r.text("server"))
		}
	})
	return u, err
}

// ParseHello parses the answer to a hello command.
func ParseHello(text []byte) (h service.Hello, err error) {
	err = parseAnswer(text, "hello", func(r row) {
		switch r.kind {
		case "# hello":
			h = service.Hello{
				Major: uint32(r.count("major", 32)),
				Minor: uint32(r.count("minor", 32)),
				Name:  r.text("name"),
				Epoch: r.count("epoch", 64),
			}
		case "zone":
			h.Zones = append(h.Zones, r.text("name"))
		case "class":
			h.Classes = append(h.Classes, fleet.RequestClass{
				Name:                r.text("name"),
				Idempotency:         fleet.Idempotency(r.count("effect", 8)),
				DeduplicationScope:  fleet.DeduplicationScope(r.count("group", 8)),
				DeduplicationWindow: r.duration("window_ns"),
				LatencyObjective:    r.duration("expected_ns"),
				Deadline:            r.duration("hard_stop_ns"),
			})
		}
	})
	return h, err
}

// ParseReportReply parses the answer to a report: the sequence number of the newest batch that was counted.
func ParseReportReply(text []byte) (sequence uint64, err error) {
	err = parseAnswer(text, "counted", func(r row) { sequence = r.count("seq", 64) })
	return sequence, err
}

// ParseReport parses the payload of a report command and appends its rows to a report. The error contains the line
// number.
func ParseReport(payload []byte, report *service.Report) error {
	return parseRows(payload, func(r row) {
		switch r.kind {
		case "met":
			report.Outcomes = append(report.Outcomes, service.ServerOutcome{
				Server:        r.text("server"),
				Attempts:      r.count("tries", 64),
				Failures:      r.count("failed", 64),
				Successes:     r.count("good", 64),
				SuccessMillis: r.count("good_ms", 64),
				Load:          r.loads("load"),
			})
		case "came":
			report.Demands = append(report.Demands, service.ClassDemand{
				Class:      r.text("class"),
				Requests:   r.count("visits", 64),
				Unanswered: r.count("no_answer", 64),
			})
		}
	})
}

// loads reads load values separated by commas.
func (r row) loads(key string) []uint32 {
	var loads []uint32
	for _, text := range strings.Split(r.text(key), ",") {
		if text == "" {
			continue
		}
		load, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			r.failValue(key)
		}
		loads = append(loads, uint32(load))
	}
	return loads
}

// ParseServerState parses an answer with the state of a server.
func ParseServerState(text []byte) (s service.ServerState, err error) {
	err = parseAnswer(text, "server", func(r row) {
		switch r.kind {
		case "# server":
			s = service.ServerState{
				Minor:              uint32(r.count("minor", 32)),
				Name:               r.text("name"),
				Addr:               r.text("addr"),
				Zone:               r.text("zone"),
				State:              r.text("state"),
				SlowStartRemaining: r.duration("cold_ns"),
				Withdrawn:          r.flag("withdrawn"),
				Verdict:            r.text("sight"),
			}
		case "weight":
			s.Weights = append(s.Weights, service.ClassWeight{
				Zone:   r.text("zone"),
				Class:  r.text("class"),
				Weight: int(r.count("weight", 16)),
			})
		case "why":
			s.Reasons = append(s.Reasons, r.text("text"))
		}
	})
	return s, err
}

// ParseHistory parses an answer with versions of a table.
func ParseHistory(text []byte) (h service.History, err error) {
	err = parseAnswer(text, "history", func(r row) {
		switch r.kind {
		case "# history":
			h.Minor = uint32(r.count("minor", 32))
		case "version":
			h.Versions = append(h.Versions, service.VersionRow{
				Version:   r.version("version"),
				Digest:    r.digest("digest"),
				CreatedAt: fleet.Time(r.integer("at_ns")),
				Entries:   int(r.count("lines", 31)),
				Reason:    r.text("why"),
			})
		}
	})
	return h, err
}

// ParseSummary parses an answer with a summary.
func ParseSummary(text []byte) (m service.Summary, err error) {
	err = parseAnswer(text, "summary", func(r row) {
		if r.kind != "# summary" {
			return
		}
		size := func(key string) int { return int(r.count(key, 31)) }
		m = service.Summary{
			Minor:        uint32(r.count("minor", 32)),
			Controller:   r.text("governor"),
			Program:      r.text("program"),
			Epoch:        r.count("epoch", 64),
			ListRevision: r.count("list_rev", 64),
			ListAge:      r.duration("list_age_ns"),
			Live:         r.flag("live"),
			Servers:      size("servers"),
			Ready:        size("ready"),
			WarmingUp:    size("cold"),
			Withdrawn:    size("withdrawn"),
			ProxiesUp:    size("proxies_up"),
			ProxiesAll:   size("proxies_all"),
			Watchers:     size("watchers"),
		}
	})
	return m, err
}
