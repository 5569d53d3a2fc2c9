// Package text serves package service over a text protocol with the syntax of package haproxyapi: a request is a line
// of words, and an answer ends with an empty line. The first line of an answer, "# KIND key=value ...", states its
// kind; rows follow, "row key=value ...". Readers skip unknown kinds of rows and unknown keys. The package only
// formats and parses, for servers and for clients.
package text

import (
	"strconv"
	"strings"

	"cressknot/internal/haproxyapi"
	"cressknot/internal/service"
	"cressknot/internal/tableversion"
)

// updateBufferSize is the initial size of the buffer for an update, in bytes.
const updateBufferSize = 256

// writer builds an answer or the payload of a report.
type writer struct{ buffer []byte }

// newAnswer starts an answer of the given kind.
func newAnswer(kind string) *writer { return new(writer).row("#", kind) }

// row starts a row.
func (w *writer) row(words ...string) *writer {
	if len(w.buffer) > 0 {
		w.buffer = append(w.buffer, '\n')
	}
	w.buffer = append(w.buffer, strings.Join(words, " ")...)
	return w
}

func (w *writer) key(key string) {
	w.buffer = append(w.buffer, ' ')
	w.buffer = append(w.buffer, key...)
	w.buffer = append(w.buffer, '=')
}

// text appends a key with a text. Control characters, which a line cannot contain, become question marks.
func (w *writer) text(key, value string) *writer {
	w.key(key)
	start := len(w.buffer)
	w.buffer = haproxyapi.AppendWord(w.buffer, value)
	for i := start; i < len(w.buffer); i++ {
		if w.buffer[i] < ' ' || w.buffer[i] == 0x7f {
			w.buffer[i] = '?'
		}
	}
	return w
}

// count appends a key with an unsigned number.
func (w *writer) count(key string, value uint64) *writer {
	w.key(key)
	w.buffer = strconv.AppendUint(w.buffer, value, 10)
	return w
}

// flag appends a key with value 1 for true, and nothing for false.
func (w *writer) flag(key string, value bool) *writer {
	if value {
		w.count(key, 1)
	}
	return w
}

func (w *writer) bytes() []byte { return append(w.buffer, '\n') }

func formatVersion(v tableversion.Version) string {
	if v == tableversion.NoVersion {
		return noVersion
	}
	return v.String()
}

// FormatUpdate formats an update as an answer. Like all Format functions it returns the text without the empty line
// that ends an answer.
func FormatUpdate(u *service.Update) []byte {
	w := (&writer{make([]byte, 0, updateBufferSize)}).row("#", "update").
		count("minor", uint64(u.Minor)).
		text("governor", u.Controller).
		count("list_rev", u.ListRevision).
		flag("live", u.Live).
		text("zone", u.Zone).
		text("from", formatVersion(u.From)).
		text("to", formatVersion(u.To)).
		flag("shut", u.RestrictsToOpen).
		flag("beat", u.Heartbeat)
	for _, class := range u.Classes {
		w.row("class").
			text("name", class.Class).
			flag("laid", class.Published).
			text("amount", strconv.Itoa(class.AdmissionLimit)).
			count("retry", uint64(class.Retry)).
			text("digest", class.Digest.String())
		for _, endpoint := range class.Endpoints {
			w.row("line").
				text("server", endpoint.Server).
				text("addr", endpoint.Addr).
				count("weight", uint64(endpoint.Weight))
		}
	}
	for _, server := range u.OpenServers {
		w.row("open").text("server", server)
	}
	return w.bytes()
}

// FormatError formats an error answer, of kind "fault".
func FormatError(e *service.Error) []byte {
	return newAnswer("fault").
		text("code", string(e.Code)).
		count("retry_ns", uint64(e.RetryAfter)).
		text("text", e.Text).
		bytes()
}

// FormatHello formats the answer to a hello command.
func FormatHello(h service.Hello) []byte {
	w := newAnswer("hello").
		count("major", uint64(h.Major)).
		count("minor", uint64(h.Minor)).
		text("name", h.Name).
		count("epoch", h.Epoch)
	for _, zone := range h.Zones {
		w.row("zone").text("name", zone)
	}
	for _, class := range h.Classes {
		w.row("class").
			text("name", class.Name).
			count("effect", uint64(class.Idempotency)).
			count("group", uint64(class.DeduplicationScope)).
			count("window_ns", uint64(class.DeduplicationWindow)).
			count("expected_ns", uint64(class.LatencyObjective)).
			count("hard_stop_ns", uint64(class.Deadline))
	}
	return w.bytes()
}

// FormatReportReply formats the answer to a report: the sequence number of the newest batch that was counted.
func FormatReportReply(sequence uint64) []byte {
	return newAnswer("counted").count("seq", sequence).bytes()
}

// FormatReport formats the rows of a report as the payload of a report command, which itself names the zone, the
// session and the sequence number.
func FormatReport(r *service.Report) []byte {
	w := new(writer)
	for _, outcome := range r.Outcomes {
		w.row("met").
			text("server", outcome.Server).
			count("tries", outcome.Attempts).
			count("failed", outcome.Failures).
			count("good", outcome.Successes).
			count("good_ms", outcome.SuccessMillis)
		if len(outcome.Load) > 0 {
			w.text("load", formatLoads(outcome.Load))
		}
	}
	for _, demand := range r.Demands {
		w.row("came").text("class", demand.Class).count("visits", demand.Requests).count("no_answer", demand.Unanswered)
	}
	return w.bytes()
}

// formatLoads joins load values with commas.
func formatLoads(loads []uint32) string {
	var text []byte
	for i, load := range loads {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendUint(text, uint64(load), 10)
	}
	return string(text)
}

// FormatServerState formats the state of a server as an answer.
func FormatServerState(s service.ServerState) []byte {
	w := newAnswer("server").
		count("minor", uint64(s.Minor)).
		text("name", s.Name).
		text("addr", s.Addr).
		text("zone", s.Zone).
		text("state", s.State).
		count("cold_ns", uint64(s.SlowStartRemaining)).
		flag("withdrawn", s.Withdrawn).
		text("sight", s.Verdict)
	for _, weight := range s.Weights {
		w.row("weight").text("zone", weight.Zone).text("class", weight.Class).count("weight", uint64(weight.Weight))
	}
	for _, reason := range s.Reasons {
		w.row("why").text("text", reason)
	}
	return w.bytes()
}

// FormatHistory formats versions of a table as an answer.
func FormatHistory(h service.History) []byte {
	w := newAnswer("history").count("minor", uint64(h.Minor))
	for _, row := range h.Versions {
		w.row("version").
			text("version", formatVersion(row.Version)).
			text("digest", row.Digest.String()).
			text("at_ns", strconv.FormatInt(int64(row.CreatedAt), 10)).
			count("lines", uint64(row.Entries)).
			text("why", row.Reason)
	}
	return w.bytes()
}

// FormatSummary formats a summary as an answer.
func FormatSummary(m service.Summary) []byte {
	return newAnswer("summary").
		count("minor", uint64(m.Minor)).
		text("governor", m.Controller).
		text("program", m.Program).
		count("epoch", m.Epoch).
		count("list_rev", m.ListRevision).
		count("list_age_ns", uint64(m.ListAge)).
		flag("live", m.Live).
		count("servers", uint64(m.Servers)).
		count("ready", uint64(m.Ready)).
		count("cold", uint64(m.WarmingUp)).
		count("withdrawn", uint64(m.Withdrawn)).
		count("proxies_up", uint64(m.ProxiesUp)).
		count("proxies_all", uint64(m.ProxiesAll)).
		count("watchers", uint64(m.Watchers)).
		bytes()
}
