package discovery

import (
	"strings"
	"testing"
)

func TestDecodeListStatesThePlaceOfAnError(t *testing.T) {
	const duplicateName = `{"rev": 1, "servers": [{"name": "a", "addr": "x:1"}, {"name": "a", "addr": "y:1"}]}`
	for text, want := range map[string]string{
		`{"rev": 1, "servers": [{"name": "a", "addr": "x:1"}`:      `byte`,
		`{"rev": 1, "servers": [{"name": "a", "addr": "x:1"}]} {}`: `trailing data after the list`,
		duplicateName: `servers[1]: duplicate name "a"`,
		`{"rev": 1, "servers": [{"addr": "x:1"}]}`:                             `servers[0]: name is missing`,
		`{"rev": 1, "servers": [{"name": "a"}]}`:                               `servers[0]: "a": addr is missing`,
		`{"rev": 1, "servers": [{"name": "a", "addr": "x:1", "state": "up"}]}`: `state "up" is not one of`,
		`{"rev": 1, "servers": [{"name": "a", "adr": "x:1"}]}`:                 `unknown field "adr"`,
	} {
		if _, err := decodeList([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}
