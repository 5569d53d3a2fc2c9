package config

import (
	"errors"
	"strings"
	"testing"

	"cressknot/internal/fleet"
)

// minimalSettings is a settings file without optional fields.
const minimalSettings = `name: "g1"
zones: ["a", "b"]
classes: [{name: "look", expected: "1s", hardStop: "4s"}, ` +
	`{name: "issue", effect: "unsafe", expected: "2s", hardStop: "6s"}]
proxies: [{name: "p1", zone: "a", addr: "127.0.0.1:9001"}]
list: path: "servers.json"
`

// The same settings in each syntax must be equal, with the schema's defaults applied.
func TestCueJSONAndYAMLGiveSameSettings(t *testing.T) {
	json := `{"name": "g1", "zones": ["a", "b"], "classes": [{"name": "look", "expected": "1s", "hardStop": "4s"},
	 {"name": "issue", "effect": "unsafe", "expected": "2s", "hardStop": "6s"}],
	 "proxies": [{"name": "p1", "zone": "a", "addr": "127.0.0.1:9001"}], "list": {"path": "servers.json"}}`
	yaml := "name: g1\nzones: [a, b]\nclasses:\n- {name: look, expected: 1s, hardStop: 4s}\n" +
		"- {name: issue, effect: unsafe, expected: 2s, hardStop: 6s}\nproxies:\n" +
		"- {name: p1, zone: a, addr: \"127.0.0.1:9001\"}\nlist: {path: servers.json}\n"
	var first *Settings
	for name, text := range map[string]string{"g.cue": minimalSettings, "g.json": json, "g.yaml": yaml} {
		settings, err := Parse(name, []byte(text))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if first == nil {
			first = settings
		}
		if fields := FieldsRequiringRestart(first, settings); len(fields) > 0 {
			t.Errorf("%s differs in %v", name, fields)
		}
	}
	site := first.Site()
	if site.Classes[1].Idempotency != fleet.NotIdempotent ||
		!site.Classes[1].Writes ||
		site.Classes[0].Deadline != 4*fleet.Second ||
		site.MaxBacklog != 30000 ||
		site.SlowStart.Duration != 15*fleet.Second ||
		first.TransportClasses()[0].Backend != "look" {
		t.Errorf("site %+v", site)
	}
}

// Errors of several fields, two of them on one line, are reported together, not only the first.
func TestAllErrorsOfFileAreReported(t *testing.T) {
	text := strings.Replace(minimalSettings, `zone: "a"`, `zone: "x"`, 1) + `channel: {linesPerS: -1, travel: "fast"}
servers: coldFrom: 1.5
reports: evry: "2s"
`
	_, err := Parse("g.cue", []byte(text))
	var fieldErrors FieldErrors
	if !errors.As(err, &fieldErrors) {
		t.Fatalf("%v", err)
	}
	for _, want := range []string{
		"g.cue:6: channel.linesPerS:",
		"g.cue:6: channel.travel:",
		"g.cue:7: servers.coldFrom:",
		"g.cue:8: reports.evry:",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in\n%v", want, err)
		}
	}
}

// Each replacement makes the minimal settings invalid, by the schema or by a rule between fields.
func TestErrorNamesFileLineAndField(t *testing.T) {
	for _, c := range []struct {
		old, replacement string // of the minimal settings
		add              string
		want             string
	}{
		{
			old:         `zone: "a"`,
			replacement: `zone: "x"`,
			want:        `g.cue:4: proxies.0.zone: is "x"; expected one of the zones a, b`,
		},
		{
			old:         `name: "issue"`,
			replacement: `name: "look"`,
			want:        `g.cue:3: classes.1.name: duplicate class name "look"; expected a unique name`,
		},
		{
			old:         `path: "servers.json"`,
			replacement: `wait: "1s"`,
			want:        `list.path: is empty; expected the path of the list file`,
		},
		{old: `expected: "1s", `, want: `classes.0.expected`},
		{
			add:  `front: retryDefault: 2`,
			want: `front.retryDefault: is 2; expected 0 or 1: class issue has effect "unsafe"`,
		},
		{add: "name: {", want: `g.cue:6`},
		{add: strings.Repeat("// much\n", maxFileBytes/8+1), want: `g.cue: file is larger than the limit of 8388608 bytes`},
	} {
		text := strings.Replace(minimalSettings, c.old, c.replacement, 1) + c.add
		if _, err := Parse("g.cue", []byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("no %q in\n%v", c.want, err)
		}
	}
}
