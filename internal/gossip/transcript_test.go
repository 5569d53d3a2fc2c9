package gossip

import (
	"encoding/json"
	"reflect"
	"testing"

	"cressknot/internal/fleet"
)

// TestMessageEncodingIsStable checks the JSON encoding of messages, which controllers of different versions exchange.
func TestMessageEncodingIsStable(t *testing.T) {
	for text, message := range map[string]Message{
		`{"g":"g-1","e":9,"q":3,"r":41,"l":true,` +
			`"s":[{"n":"s-1","s":1},{"n":"s-2","t":5000000000},{"n":"s-3","s":2}],"v":[{"n":"s-4","t":9,"f":7}]}`: {
			Controller: "g-1", Epoch: 9, Sequence: 3, ListRevision: 41, Live: true,
			Servers: []ServerStatus{
				{Name: "s-1", State: fleet.ServerDraining},
				{Name: "s-2", Started: 5 * fleet.Second},
				{Name: "s-3", State: fleet.ServerGone},
			},
			Observations: []Observation{{Name: "s-4", Attempts: 9, Failures: 7}},
		},
		`{"g":"g-1","e":0,"q":0,"r":0,"l":false}`: {Controller: "g-1"},
	} {
		encoded, err := json.Marshal(message)
		if err != nil || string(encoded) != text {
			t.Errorf("encoded as %s, %v; want %s", encoded, err, text)
		}
		var decoded Message
		if err := json.Unmarshal([]byte(text), &decoded); err != nil || !reflect.DeepEqual(decoded, message) {
			t.Errorf("decoded as %+v, %v; want %+v", decoded, err, message)
		}
	}
}
