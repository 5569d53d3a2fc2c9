package push

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/influxdata/line-protocol/v2/lineprotocol"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest"
)

// testServers is the number of known servers, whose names are "node-" and the server ID.
const testServers = 1000

var testSchema = Schema{
	LoadFields: []string{"busy", "held"},
	Lookup: func(name []byte) (fleet.ServerID, bool) {
		var id fleet.ServerID
		n, err := fmt.Sscanf(string(name), "node-%d", &id)
		return id, n == 1 && err == nil && id < testServers
	},
}

// arrival is the time of arrival of all decoded batches.
const arrival fleet.Time = 77

const validLine = "server,name=node-1 tries=1i\n"

func decode(text string) ([]ingest.Record, Ignored, error) {
	return Decode(nil, []byte(text), &testSchema, lineprotocol.Nanosecond, arrival)
}

func TestDecode(t *testing.T) {
	records, ignored, err := decode("# of an agent\n" +
		"cpu,host=x idle=3\n" +
		"server,name=node-7,zone=a started=5i,tries=12i,failed=3u,good=9i,good_ms=1800i,busy=0.5,held=4i,more=\"x\" 99\n" +
		"server,name=other tries=1i\n\n" +
		"server,name=node-8 tries=1i\n")
	if err != nil || len(records) != 2 || ignored != (Ignored{Lines: 1, Unknown: 1}) {
		t.Fatalf("%+v %+v %v", records, ignored, err)
	}
	want := ingest.Record{
		Server:        7,
		Started:       5,
		Stated:        99,
		Arrived:       arrival,
		Attempts:      12,
		Failures:      3,
		Successes:     9,
		SuccessMillis: 1800,
		Load:          [4]float32{0.5, 4},
		HasLoad:       true,
	}
	if records[0] != want {
		t.Errorf("got %+v, want %+v", records[0], want)
	}
	if want := (ingest.Record{Server: 8, Arrived: arrival, Attempts: 1}); records[1] != want {
		t.Errorf("got %+v, want %+v", records[1], want)
	}
}

func TestDecodeReturnsNothingOfAnInvalidBatch(t *testing.T) {
	for text, want := range map[string]string{
		"server tries=1i":                                      "line 2: measurement server requires the tag name",
		"server,name=node-1 tries=-1i":                         "line 2: field tries must be a non-negative integer",
		"server,name=node-1 tries=1.5":                         "line 2: field tries must be a non-negative integer",
		"server,name=node-1 busy=NaN":                          "line 2: byte 25:",
		"server,name=node-1 busy=\"x\"":                        "line 2: field busy must be a number",
		"server,name=node-1 started=\"x\"":                     "line 2: field started must be an integer",
		"server,name=node-1 tries=99999999999999999999i":       "line 2: byte 26:",
		"server,name=node-1":                                   "line 2: byte",
		"server,name=node-1 tries=1i 12x":                      "line 2:",
		"server,name=node-1 tries=1i -5":                       "line 2: invalid time \"-5\"",
		"server,name=node-1 tries=1i 9999999999999999999":      "line 2: invalid time \"9999999999999999999\"",
		"server,name=" + strings.Repeat("x", 65) + " tries=1i": "line 2: tag name must have 1 to 64 bytes",
		strings.Repeat("cpu x=1\n", maxLines):                  "limit of 10000 lines",
	} {
		records, _, err := decode(validLine + text)
		var lineError *LineError
		if err == nil || !strings.Contains(err.Error(), want) || len(records) != 0 || !errors.As(err, &lineError) {
			t.Errorf("%.60q: %v, %d records", text, err, len(records))
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("server,name=node-7 started=5i,tries=12i,busy=0.5 99\n")
	f.Add("server,name=node-7 tries=1u\ncpu x=1\n#\n\\")
	f.Fuzz(func(t *testing.T, text string) {
		records, _, err := decode(text)
		for _, r := range records {
			if err != nil || r.Server >= testServers || r.Arrived != arrival || r.Stated < 0 || r.Started < 0 {
				t.Fatalf("%+v %v", r, err)
			}
		}
	})
}

// BenchmarkDecode measures the decoding of one line.
func BenchmarkDecode(b *testing.B) {
	const lines = 700
	var body bytes.Buffer
	ids := map[string]fleet.ServerID{}
	for i := range lines {
		name := fmt.Sprint("node-", i)
		ids[name] = fleet.ServerID(i)
		fmt.Fprintf(&body, "server,name=%s started=1733071000000000000i,tries=1200i,failed=3i,good=1190i,"+
			"good_ms=238000i,busy=0.61,held=4 1733071234000000000\n", name)
	}
	schema := testSchema
	schema.Lookup = func(name []byte) (fleet.ServerID, bool) {
		id, ok := ids[string(name)]
		return id, ok
	}
	var records []ingest.Record
	b.ReportAllocs()
	for n := 0; n < b.N; n += lines {
		var err error
		records, _, err = Decode(records[:0], body.Bytes(), &schema, lineprotocol.Nanosecond, arrival)
		if err != nil {
			b.Fatal(err)
		}
	}
}
