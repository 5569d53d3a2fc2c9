package relay

import (
	"testing"

	"cressknot/internal/fleet"
)

func TestParseEvent(t *testing.T) {
	zones := []string{"a", "b"}
	event, err := parseEvent("joined", "node=17&locality=b&w=21.5&cold=1", zones, 20)
	if want := (fleet.ProxyJoined{Proxy: 17, Zone: 1, RequestRate: 21.5, Fresh: true}); err != nil || event != want {
		t.Errorf("got %v, %v, want %v", event, err, want)
	}
	for name, data := range map[string]string{
		"proxy out of range":    "node=20&locality=a&w=1&cold=0",
		"unknown zone":          "node=1&locality=c&w=1&cold=0",
		"rate is not a number":  "node=1&locality=a&w=NaN&cold=0",
		"missing fields":        "locality=a",
		"broken percent escape": "%zz",
	} {
		t.Run(name, func(t *testing.T) {
			if event, err := parseEvent("joined", data, zones, 20); err == nil {
				t.Errorf("parseEvent(%q) = %v, want an error", data, event)
			}
		})
	}
}
