package discovery

import (
	"strings"
	"testing"
)

func TestDecodeListStatesThePlaceOfAnError(t *testing.T) {
	for text, want := range map[string]string{
		`{"rev": 1, "servers": [{"name": "a", "addr": "x:1"}`:                                 `byte`,
		`{"rev": 1, "servers": [{"name": "a", "addr": "x:1"}]} {}`:                            `more after its end`,
		`{"rev": 1, "servers": [{"name": "a", "addr": "x:1"}, {"name": "a", "addr": "y:1"}]}`: `servers[1]: "a" stands twice`,
		`{"rev": 1, "servers": [{"addr": "x:1"}]}`:                                            `servers[0]: no name`,
		`{"rev": 1, "servers": [{"name": "a"}]}`:                                              `servers[0]: "a" has no addr`,
		`{"rev": 1, "servers": [{"name": "a", "addr": "x:1", "state": "up"}]}`:                `state "up" is none of`,
		`{"rev": 1, "servers": [{"name": "a", "adr": "x:1"}]}`:                                `unknown field "adr"`,
	} {
		if _, err := decodeList([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}
