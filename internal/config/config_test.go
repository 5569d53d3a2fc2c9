package config

import (
	"errors"
	"strings"
	"testing"

	"cressknot/internal/fleet"
)

const small = `name: "g1"
zones: ["a", "b"]
classes: [{name: "look", expected: "1s", hardStop: "4s"}, {name: "issue", effect: "unsafe", expected: "2s", hardStop: "6s"}]
proxies: [{name: "p1", zone: "a", addr: "127.0.0.1:9001"}]
list: path: "servers.json"
`

func TestCueJsonAndYamlGiveTheSame(t *testing.T) {
	json := `{"name": "g1", "zones": ["a", "b"], "classes": [{"name": "look", "expected": "1s", "hardStop": "4s"},
	 {"name": "issue", "effect": "unsafe", "expected": "2s", "hardStop": "6s"}],
	 "proxies": [{"name": "p1", "zone": "a", "addr": "127.0.0.1:9001"}], "list": {"path": "servers.json"}}`
	yaml := "name: g1\nzones: [a, b]\nclasses:\n- {name: look, expected: 1s, hardStop: 4s}\n" +
		"- {name: issue, effect: unsafe, expected: 2s, hardStop: 6s}\nproxies:\n" +
		"- {name: p1, zone: a, addr: \"127.0.0.1:9001\"}\nlist: {path: servers.json}\n"
	var first *Settings
	for name, text := range map[string]string{"g.cue": small, "g.json": json, "g.yaml": yaml} {
		s, err := Parse(name, []byte(text))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if first == nil {
			first = s
		}
		if diff := Unchangeable(first, s); len(diff) > 0 {
			t.Errorf("%s differs in %v", name, diff)
		}
	}
	site := first.Site()
	if site.Classes[1].Idempotency != fleet.NotIdempotent || !site.Classes[1].Writes || site.Classes[0].Deadline != 4*fleet.Second ||
		site.MaxBacklog != 30000 || site.SlowStart.Duration != 15*fleet.Second || first.Backends()[0].Backend != "look" {
		t.Errorf("site %+v", site)
	}
}

func TestEveryErrorNamesFileLineAndField(t *testing.T) {
	text := strings.Replace(small, `zone: "a"`, `zone: "x"`, 1) + `channel: {linesPerS: -1, travel: "fast"}
servers: coldFrom: 1.5
reports: evry: "2s"
`
	_, err := Parse("g.cue", []byte(text))
	var wrong Faults
	if !errors.As(err, &wrong) {
		t.Fatalf("%v", err)
	}
	for _, want := range []string{"g.cue:6: channel.linesPerS:", "g.cue:6: channel.travel:", "g.cue:7: servers.coldFrom:",
		"g.cue:8: reports.evry:"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in\n%v", want, err)
		}
	}
	for text, want := range map[string]string{
		strings.Replace(small, `zone: "a"`, `zone: "x"`, 1):             `g.cue:4: proxies.0.zone: "x" is none of the zones a, b`,
		strings.Replace(small, `name: "issue"`, `name: "look"`, 1):      `g.cue:3: classes.1.name: "look" names two classes`,
		strings.Replace(small, `path: "servers.json"`, `wait: "1s"`, 1): `list.path: is needed`,
		strings.Replace(small, `expected: "1s", `, ``, 1):               `classes.0.expected`,
		small + `front: retryDefault: 2`:                                `front.retryDefault: 2 would run a visit of class issue twice`,
		small + "name: {":                                               `g.cue:6`,
		small + strings.Repeat("// much\n", sizeMost/8+1):               `g.cue: is over`,
	} {
		if _, err := Parse("g.cue", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in\n%v", want, err)
		}
	}
}
