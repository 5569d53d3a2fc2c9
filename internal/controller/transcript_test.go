package controller

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

const goldenTranscript = "testdata/operators.golden"

// variableParts are the parts of answers that differ between runs, with the placeholders that replace them.
var variableParts = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z`), "TIME"},
	{
		regexp.MustCompile(`(?m)^((?:Pid|Uptime_sec|List_age_ms|Turns|Steps|Turn_\w+_us|Reports_waiting|Messages_sent|` +
			`Lines_sent|Changes_sent|Lines_waiting|Versions|Delta_share_percent|Lines_replaced|Guard_passed): ).*$`),
		"${1}N",
	},
	{regexp.MustCompile(`\b[0-9a-z]{10,13}\.(\d+)`), "EPOCH.$1"},
	{regexp.MustCompile(`(?m)^(p0 a  up look=0 \d+) \d+ \d+ \d+ \d+\.\d$`), "${1} N N N MS"},
	{regexp.MustCompile(`(?m)^(n\d well) .* (yes|no)$`), "${1} N ${2}"},
}

// TestOperatorsAnswersAreStable compares the answers to all commands, with valid and invalid arguments, with the golden
// transcript, so that no change to the code alters what operators' scripts read by accident.
func TestOperatorsAnswersAreStable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "g.sock")
	loop := testLoop(t)
	o, err := ServeOperators(loop, path, "1.2")
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	defer startLoop(t, loop)()
	ask := func(text string) string {
		t.Helper()
		return askOperators(t, path, text+"\n", 20*time.Second)
	}
	loop.receiveTransport(transport.Connected{Proxy: 0, Stream: 1, Snapshot: reconcile.Snapshot{}})
	for end := time.Now().Add(30 * time.Second); !strings.Contains(ask("show proxies"), "look=") ||
		!strings.Contains(ask("table proxies"), "/"); {
		if time.Now().After(end) {
			t.Fatalf("no proxy has a table after 30 s: %s", ask("show proxies"))
		}
		loop.acknowledge()
		time.Sleep(50 * time.Millisecond)
	}
	loop.receiveEndpoints(discovery.Update{
		Scope: fleet.ListFull,
		List: discovery.EndpointList{Revision: 5, Endpoints: []discovery.Endpoint{
			{Name: "n1", Addr: "127.0.0.1:1", Zone: "a"}, {Name: "n3", Addr: "127.0.0.1:3", Zone: "a", State: "draining"}}},
	})
	for end := time.Now().Add(30 * time.Second); !strings.Contains(ask("show servers"), "n3 127.0.0.1:3 a draining"); {
		if time.Now().After(end) {
			t.Fatalf("the new endpoint list is not in use after 30 s: %s", ask("show servers"))
		}
	}
	loop.acknowledge()
	var b strings.Builder
	for _, text := range []string{
		"show info",
		"show servers",
		"show tables",
		"show proxies",
		"show doubts",
		"show reports",
		"show reports stale",
		"show reports odd",
		"show intake",
		"show series",
		"show series n1",
		"show series n1 x",
		"show series n9",
		"top servers",
		"top servers age",
		"top servers load 2",
		"top servers odd",
		"explain",
		"explain n1",
		"explain n3",
		"explain n9",
		"get weight",
		"get weight n1",
		"get weight n9",
		"show refusals",
		"set weight",
		"set weight 0/n1 7",
		"set weight 0/n1 300",
		"set weight x/n1 7",
		"set weight 9/n1 7",
		"set weight 0/n9 7",
		"show refusals",
		"clear weight 0/n1",
		"clear weight 0/n1",
		"clear weight",
		"table",
		"table proxies",
		"table history x",
		"table history 9",
		"table show 0",
		"table show 0 x.y",
		"table show 0 zz.9",
		"table diff 0",
		"table diff 0 zz.9",
		"table pin 0 nonsense",
		"table pin 0 25h",
		"table pin 0 1m",
		"table unpin 0",
		"table unpin 0",
		"table rollback 0 zz.9",
		"table rollback 0",
		"show members",
		"show members proxies",
		"show members odd",
		"show peers",
		"take",
		"take p0 on",
		"take p9 on",
		"take p0 maybe",
		"retire",
		"retire on",
		"retire odd",
		"help",
		"show",
		"odd command",
		"show \x01",
	} {
		b.WriteString("> " + text + "\n" + ask(text))
	}
	answers := b.String()
	for _, v := range variableParts {
		answers = v.pattern.ReplaceAllString(answers, v.replacement)
	}
	if *writeFixtures {
		if err := os.WriteFile(goldenTranscript, []byte(answers), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenTranscript)
	if err != nil {
		t.Fatal(err)
	}
	if answers != string(want) {
		got := strings.Split(answers, "\n")
		wanted := strings.Split(string(want), "\n")
		for i := range min(len(got), len(wanted)) {
			if got[i] != wanted[i] {
				t.Fatalf("line %d: got %q, want %q", i+1, got[i], wanted[i])
			}
		}
		t.Errorf("got %d lines, want %d", len(got), len(wanted))
	}
}
