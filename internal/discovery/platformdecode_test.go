package discovery

import (
	"fmt"
	"strings"
	"testing"
)

// targetText returns a target in the platform's JSON format.
func targetText(uid, state string, startTime int64) string {
	return fmt.Sprintf(`{"uid":"%s","endpoint":"10.1.0.18:7070","az":"a","model":"m2","pod_group":3,"state":"%s",`+
		`"capacity_hint":1.0,"boot_ms":%d}`, uid, state, startTime)
}

// listText returns a list in the platform's JSON format.
func listText(revision int, complete bool, targets ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, revision, complete, strings.Join(targets, ","))
}

func newDecoder() *PlatformSource {
	return &PlatformSource{Zones: []string{"a"}, Kinds: []string{"m2"}}
}

func TestPlatformDecode(t *testing.T) {
	text := listText(41, false, targetText("s-1", "terminating", 0), targetText("s-2", "in_service", 1_700_000_000_123))
	list, err := newDecoder().Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if list.Revision != 41 || !list.Delta || len(list.Endpoints) != 2 {
		t.Fatalf("%+v", list)
	}
	draining, ready := list.Endpoints[0], list.Endpoints[1]
	if draining.State != "draining" || !draining.Started.IsZero() {
		t.Errorf("%+v", draining)
	}
	if ready.Started.UnixMilli() != 1_700_000_000_123 {
		t.Errorf("%+v", ready)
	}
}

func TestPlatformDecodeRejectsInvalidLists(t *testing.T) {
	valid := listText(41, true, targetText("s-1", "in_service", 0))
	for from, to := range map[string]string{
		`"rev":41,`:    "",
		`"all":true,`:  "",
		`"az":"a"`:     `"az":"z"`,
		`"model":"m2"`: `"model":"m9"`,
		`in_service`:   `resting`,
		`"uid":"s-1"`:  `"uid":""`,
		`"boot_ms":0`:  `"boot_ms":-1`,
		`"rev":41`:     `"rev":"x"`,
		`]}`:           ``,
	} {
		if list, err := newDecoder().Decode([]byte(strings.Replace(valid, from, to, 1))); err == nil {
			t.Errorf("%s in place of %s is accepted as %+v", to, from, list)
		}
	}
}

func TestPlatformDecodeNamesTheRepeatedEntry(t *testing.T) {
	target := targetText("s-1", "in_service", 0)
	_, err := newDecoder().Decode([]byte(listText(1, true, target, target)))
	if err == nil || !strings.Contains(err.Error(), "targets[1]") {
		t.Errorf("%v, want an error with the index of the repeated entry", err)
	}
}

func FuzzPlatformDecode(f *testing.F) {
	f.Add([]byte(listText(41, true, targetText("s-1", "in_service", 7))))
	decoder := newDecoder()
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := decoder.Decode(text)
		if err != nil {
			return
		}
		for _, endpoint := range list.Endpoints {
			if endpoint.Name == "" {
				t.Errorf("an endpoint without a name in %q", text)
			}
		}
	})
}
