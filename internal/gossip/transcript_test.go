package gossip

import (
	"encoding/json"
	"reflect"
	"testing"

	"cressknot/internal/fleet"
)

// TestNewsKeepTheirBytes holds the text that governors tell each other.
func TestNewsKeepTheirBytes(t *testing.T) {
	for text, news := range map[string]News{
		`{"g":"g-1","e":9,"q":3,"r":41,"l":true,"s":[{"n":"s-1","s":1},{"n":"s-2","t":5000000000},{"n":"s-3","s":2}],"v":[{"n":"s-4","t":9,"f":7}]}`: {
			Governor: "g-1", Epoch: 9, Seq: 3, ListRev: 41, Live: true,
			Servers: []Server{{Name: "s-1", State: fleet.ServerDraining}, {Name: "s-2", Started: 5 * fleet.Second}, {Name: "s-3", State: fleet.ServerGone}},
			Views:   []View{{Name: "s-4", Tries: 9, Failed: 7}}},
		`{"g":"g-1","e":0,"q":0,"r":0,"l":false}`: {Governor: "g-1"},
	} {
		written, err := json.Marshal(news)
		if err != nil || string(written) != text {
			t.Errorf("written as %s, %v; want %s", written, err, text)
		}
		var read News
		if err := json.Unmarshal([]byte(text), &read); err != nil || !reflect.DeepEqual(read, news) {
			t.Errorf("read as %+v, %v", read, err)
		}
	}
}
