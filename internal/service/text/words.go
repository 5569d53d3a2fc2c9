// Package text puts the service's questions and answers on the text protocol of package runtimeapi: request lines of words, answers that end
// with an empty line. An answer's first line tells what it is, "# KIND key=value ..."; rows follow, "row key=value ...". Readers leave out
// kinds of rows and keys that they don't know. It decides nothing.
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

// out builds an answer.
type out struct{ b []byte }

func (o *out) row(words ...string) *out {
	if len(o.b) > 0 {
		o.b = append(o.b, '\n')
	}
	o.b = append(o.b, strings.Join(words, " ")...)
	return o
}

func (o *out) text(key, value string) *out {
	o.b = append(append(append(o.b, ' '), key...), '=')
	at := len(o.b)
	o.b = haproxyapi.AppendWord(o.b, value)
	for i := at; i < len(o.b); i++ { // a line holds none
		if o.b[i] < ' ' || o.b[i] == 0x7f {
			o.b[i] = '?'
		}
	}
	return o
}

func (o *out) num(key string, value uint64) *out {
	o.b = append(append(append(o.b, ' '), key...), '=')
	o.b = strconv.AppendUint(o.b, value, 10)
	return o
}

func (o *out) flag(key string, value bool) *out {
	if value {
		o.num(key, 1)
	}
	return o
}

func (o *out) bytes() []byte { return append(o.b, '\n') }

func versionText(v tableversion.Version) string {
	if v == tableversion.NoVersion {
		return "-"
	}
	return v.String()
}

// PrintUpdate prints an update.
func PrintUpdate(u *service.Update) []byte {
	o := (&out{make([]byte, 0, 256)}).row("#", "update").num("minor", uint64(u.Minor)).text("governor", u.Controller).num("list_rev", u.ListRevision).flag("live", u.Live).
		text("zone", u.Zone).text("from", versionText(u.From)).text("to", versionText(u.To)).flag("shut", u.RestrictsToOpen).flag("beat", u.Heartbeat)
	for _, c := range u.Classes {
		o.row("class").text("name", c.Class).flag("laid", c.Published).text("amount", strconv.Itoa(c.AdmissionLimit)).num("retry", uint64(c.Retry)).text("digest", c.Digest.String())
		for _, l := range c.Endpoints {
			o.row("line").text("server", l.Server).text("addr", l.Addr).num("weight", uint64(l.Weight))
		}
	}
	for _, s := range u.OpenServers {
		o.row("open").text("server", s)
	}
	return o.bytes()
}

// PrintFault prints a fault.
func PrintFault(f *service.Error) []byte {
	return new(out).row("#", "fault").text("code", string(f.Code)).num("retry_ns", uint64(f.RetryAfter)).text("text", f.Text).bytes()
}

// PrintHello prints a greeting.
func PrintHello(h service.Hello) []byte {
	o := new(out).row("#", "hello").num("major", uint64(h.Major)).num("minor", uint64(h.Minor)).text("name", h.Name).num("epoch", h.Epoch)
	for _, z := range h.Zones {
		o.row("zone").text("name", z)
	}
	for _, c := range h.Classes {
		o.row("class").text("name", c.Name).num("effect", uint64(c.Idempotency)).num("group", uint64(c.DeduplicationScope)).num("window_ns", uint64(c.DeduplicationWindow)).
			num("expected_ns", uint64(c.LatencyObjective)).num("hard_stop_ns", uint64(c.Deadline))
	}
	return o.bytes()
}

// PrintCounted prints the answer to a batch.
func PrintCounted(seq uint64) []byte { return new(out).row("#", "counted").num("seq", seq).bytes() }

// PrintReport prints a batch as rows of a payload.
func PrintReport(r *service.Report) []byte {
	o := new(out)
	for _, m := range r.Outcomes {
		o.row("met").text("server", m.Server).num("tries", m.Attempts).num("failed", m.Failures).num("good", m.Successes).num("good_ms", m.SuccessMillis)
		if len(m.Load) > 0 {
			o.text("load", strings.Trim(strings.Join(strings.Fields(fmt.Sprint(m.Load)), ","), "[]"))
		}
	}
	for _, c := range r.Demands {
		o.row("came").text("class", c.Class).num("visits", c.Requests).num("no_answer", c.Unanswered)
	}
	return o.bytes()
}

// PrintServer prints what is known of a server.
func PrintServer(s service.ServerState) []byte {
	o := new(out).row("#", "server").num("minor", uint64(s.Minor)).text("name", s.Name).text("addr", s.Addr).text("zone", s.Zone).text("state", s.State).
		num("cold_ns", uint64(s.SlowStartRemaining)).flag("withdrawn", s.Withdrawn).text("sight", s.Verdict)
	for _, w := range s.Weights {
		o.row("weight").text("zone", w.Zone).text("class", w.Class).num("weight", uint64(w.Weight))
	}
	for _, y := range s.Reasons {
		o.row("why").text("text", y)
	}
	return o.bytes()
}

// PrintHistory prints versions.
func PrintHistory(h service.History) []byte {
	o := new(out).row("#", "history").num("minor", uint64(h.Minor))
	for _, v := range h.Versions {
		o.row("version").text("version", versionText(v.Version)).text("digest", v.Digest.String()).text("at_ns", strconv.FormatInt(int64(v.CreatedAt), 10)).
			num("lines", uint64(v.Entries)).text("why", v.Reason)
	}
	return o.bytes()
}

// PrintSummary prints a summary.
func PrintSummary(m service.Summary) []byte {
	return new(out).row("#", "summary").num("minor", uint64(m.Minor)).text("governor", m.Controller).text("program", m.Program).num("epoch", m.Epoch).
		num("list_rev", m.ListRevision).num("list_age_ns", uint64(m.ListAge)).flag("live", m.Live).num("servers", uint64(m.Servers)).num("ready", uint64(m.Ready)).
		num("cold", uint64(m.WarmingUp)).num("withdrawn", uint64(m.Withdrawn)).num("proxies_up", uint64(m.ProxiesUp)).num("proxies_all", uint64(m.ProxiesAll)).
		num("watchers", uint64(m.Watchers)).bytes()
}

// row is one line taken apart. Reading a value that isn't there gives zero; one that makes no sense is kept as the first error.
type row struct {
	kind   string
	values map[string]string
	line   int
	err    *error
}

func (r row) text(key string) string { return r.values[key] }

func (r row) num(key string, bits int) uint64 {
	v, is := r.values[key]
	if !is {
		return 0
	}
	n, err := strconv.ParseUint(v, 10, bits)
	if err != nil {
		r.bad(key)
	}
	return n
}

func (r row) int(key string) int64 {
	v, is := r.values[key]
	if !is {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		r.bad(key)
	}
	return n
}

func (r row) version(key string) (v tableversion.Version) {
	text, is := r.values[key]
	if !is || text == "-" {
		return tableversion.NoVersion
	}
	v, err := tableversion.ParseVersion(text)
	if err != nil {
		r.bad(key)
	}
	return v
}

func (r row) digest(key string) tableversion.Digest {
	n, err := strconv.ParseUint(r.values[key], 16, 64)
	if err != nil {
		r.bad(key)
	}
	return tableversion.Digest(n)
}

func (r row) bad(key string) {
	if *r.err == nil {
		*r.err = fmt.Errorf("line %d: %s=%.40q makes no sense", r.line, key, r.values[key])
	}
}

// read takes an answer or a payload apart, a row at a time. Errors name the line.
func read(text []byte, each func(row)) (err error) {
	n := 0
	for line := range bytes.Lines(text) {
		n++
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		commands, split := haproxyapi.Split(line, 0)
		if split != nil {
			return fmt.Errorf("line %d: %w", n, split)
		}
		if len(commands) != 1 {
			return fmt.Errorf("line %d: no row", n)
		}
		words := commands[0].Words
		r := row{kind: words[0], values: make(map[string]string, len(words)), line: n, err: &err}
		words = words[1:]
		if r.kind == "#" && len(words) > 0 {
			r.kind, words = "# "+words[0], words[1:]
		}
		for _, w := range words {
			if k, v, is := strings.Cut(w, "="); is {
				r.values[k] = v
			}
		}
		if each(r); err != nil {
			return err
		}
	}
	return err
}

// answer reads an answer of a kind; a fault comes as such, anything else as malformed.
func answer(text []byte, kind string, each func(row)) error {
	first := true
	var fault *service.Error
	err := read(text, func(r row) {
		switch {
		case first && r.kind == "# fault":
			fault = &service.Error{Code: service.Code(r.text("code")), Text: r.text("text"), RetryAfter: fleet.Time(r.num("retry_ns", 63))}
		case first && r.kind != "# "+kind:
			*r.err = fmt.Errorf("line 1: %.40q where an answer of kind %q was to come", r.kind, kind)
		case fault == nil:
			each(r)
		}
		first = false
	})
	if err == nil && first {
		err = errors.New("line 1: an empty answer")
	}
	if err != nil {
		return &service.Error{Code: service.Malformed, Text: err.Error()}
	}
	if fault != nil {
		return fault
	}
	return nil
}

// ReadUpdate reads an update.
func ReadUpdate(text []byte) (u service.Update, err error) {
	err = answer(text, "update", func(r row) {
		switch r.kind {
		case "# update":
			u = service.Update{Minor: uint32(r.num("minor", 32)), Controller: r.text("governor"), ListRevision: r.num("list_rev", 64), Live: r.num("live", 1) == 1, Zone: r.text("zone"),
				From: r.version("from"), To: r.version("to"), RestrictsToOpen: r.num("shut", 1) == 1, Heartbeat: r.num("beat", 1) == 1}
		case "class":
			u.Classes = append(u.Classes, service.ClassTable{Class: r.text("name"), Published: r.num("laid", 1) == 1, AdmissionLimit: int(r.int("amount")), Retry: fleet.RetryMode(r.num("retry", 8)), Digest: r.digest("digest")})
		case "line":
			if n := len(u.Classes); n > 0 {
				c := &u.Classes[n-1]
				c.Endpoints = append(c.Endpoints, service.Endpoint{Server: r.text("server"), Addr: r.text("addr"), Weight: int(r.num("weight", 16))})
			} else {
				*r.err = fmt.Errorf("line %d: a line of no class", r.line)
			}
		case "open":
			u.OpenServers = append(u.OpenServers, r.text("server"))
		}
	})
	return u, err
}

// ReadHello reads a greeting.
func ReadHello(text []byte) (h service.Hello, err error) {
	err = answer(text, "hello", func(r row) {
		switch r.kind {
		case "# hello":
			h = service.Hello{Major: uint32(r.num("major", 32)), Minor: uint32(r.num("minor", 32)), Name: r.text("name"), Epoch: r.num("epoch", 64)}
		case "zone":
			h.Zones = append(h.Zones, r.text("name"))
		case "class":
			h.Classes = append(h.Classes, fleet.RequestClass{Name: r.text("name"), Idempotency: fleet.Idempotency(r.num("effect", 8)), DeduplicationScope: fleet.DeduplicationScope(r.num("group", 8)), DeduplicationWindow: fleet.Time(r.num("window_ns", 63)),
				LatencyObjective: fleet.Time(r.num("expected_ns", 63)), Deadline: fleet.Time(r.num("hard_stop_ns", 63))})
		}
	})
	return h, err
}

// ReadCounted reads the answer to a batch.
func ReadCounted(text []byte) (seq uint64, err error) {
	err = answer(text, "counted", func(r row) { seq = r.num("seq", 64) })
	return seq, err
}

// ReadReport reads the rows of a batch.
func ReadReport(payload []byte, into *service.Report) error {
	return read(payload, func(r row) {
		switch r.kind {
		case "met":
			m := service.ServerOutcome{Server: r.text("server"), Attempts: r.num("tries", 64), Failures: r.num("failed", 64), Successes: r.num("good", 64), SuccessMillis: r.num("good_ms", 64)}
			for _, f := range strings.Split(r.text("load"), ",") {
				if f == "" {
					continue
				}
				v, err := strconv.ParseUint(f, 10, 32)
				if err != nil {
					r.bad("load")
				}
				m.Load = append(m.Load, uint32(v))
			}
			into.Outcomes = append(into.Outcomes, m)
		case "came":
			into.Demands = append(into.Demands, service.ClassDemand{Class: r.text("class"), Requests: r.num("visits", 64), Unanswered: r.num("no_answer", 64)})
		}
	})
}

// ReadServer reads what is known of a server.
func ReadServer(text []byte) (s service.ServerState, err error) {
	err = answer(text, "server", func(r row) {
		switch r.kind {
		case "# server":
			s = service.ServerState{Minor: uint32(r.num("minor", 32)), Name: r.text("name"), Addr: r.text("addr"), Zone: r.text("zone"), State: r.text("state"),
				SlowStartRemaining: fleet.Time(r.num("cold_ns", 63)), Withdrawn: r.num("withdrawn", 1) == 1, Verdict: r.text("sight")}
		case "weight":
			s.Weights = append(s.Weights, service.ClassWeight{Zone: r.text("zone"), Class: r.text("class"), Weight: int(r.num("weight", 16))})
		case "why":
			s.Reasons = append(s.Reasons, r.text("text"))
		}
	})
	return s, err
}

// ReadHistory reads versions.
func ReadHistory(text []byte) (h service.History, err error) {
	err = answer(text, "history", func(r row) {
		switch r.kind {
		case "# history":
			h.Minor = uint32(r.num("minor", 32))
		case "version":
			h.Versions = append(h.Versions, service.VersionRow{Version: r.version("version"), Digest: r.digest("digest"), CreatedAt: fleet.Time(r.int("at_ns")), Entries: int(r.num("lines", 31)), Reason: r.text("why")})
		}
	})
	return h, err
}

// ReadSummary reads a summary.
func ReadSummary(text []byte) (m service.Summary, err error) {
	err = answer(text, "summary", func(r row) {
		if r.kind != "# summary" {
			return
		}
		n := func(key string) int { return int(r.num(key, 31)) }
		m = service.Summary{Minor: uint32(r.num("minor", 32)), Controller: r.text("governor"), Program: r.text("program"), Epoch: r.num("epoch", 64), ListRevision: r.num("list_rev", 64),
			ListAge: fleet.Time(r.num("list_age_ns", 63)), Live: r.num("live", 1) == 1, Servers: n("servers"), Ready: n("ready"), WarmingUp: n("cold"), Withdrawn: n("withdrawn"),
			ProxiesUp: n("proxies_up"), ProxiesAll: n("proxies_all"), Watchers: n("watchers")}
	})
	return m, err
}
