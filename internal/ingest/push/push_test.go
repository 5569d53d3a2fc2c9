package push

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/influxdata/line-protocol/v2/lineprotocol"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest"
)

var words = Words{Loads: []string{"busy", "held"}, Lookup: func(name []byte) (fleet.ServerID, bool) {
	var id fleet.ServerID
	n, err := fmt.Sscanf(string(name), "node-%d", &id)
	return id, n == 1 && err == nil && id < 1000
}}

func decode(text string) ([]ingest.Record, Ignored, error) {
	return Decode(nil, []byte(text), &words, lineprotocol.Nanosecond, 77)
}

func TestDecode(t *testing.T) {
	records, ignored, err := decode("# of an agent\ncpu,host=x idle=3\nserver,name=node-7,zone=a started=5i,tries=12i,failed=3u,good=9i,good_ms=1800i,busy=0.5,held=4i,more=\"x\" 99\n" +
		"server,name=other tries=1i\n\nserver,name=node-8 tries=1i\n")
	want := ingest.Record{Server: 7, Started: 5, Stated: 99, Arrived: 77, Attempts: 12, Failures: 3, Successes: 9, SuccessMillis: 1800, Load: [4]float32{0.5, 4}, HasLoad: true}
	if err != nil || len(records) != 2 || records[0] != want || records[1] != (ingest.Record{Server: 8, Arrived: 77, Attempts: 1}) || ignored != (Ignored{1, 1}) {
		t.Errorf("%+v %+v %v", records, ignored, err)
	}
	good := "server,name=node-1 tries=1i\n"
	for text, want := range map[string]string{
		"server tries=1i":                                      "line 2: a line of server needs the tag name",
		"server,name=node-1 tries=-1i":                         "line 2: field tries is a sum",
		"server,name=node-1 tries=1.5":                         "line 2: field tries is a sum",
		"server,name=node-1 busy=NaN":                          "line 2: byte 25:",
		"server,name=node-1 busy=\"x\"":                        "line 2: field busy is a load figure",
		"server,name=node-1 started=\"x\"":                     "line 2: field started is a time",
		"server,name=node-1 tries=99999999999999999999i":       "line 2: byte 26:",
		"server,name=node-1":                                   "line 2: byte",
		"server,name=node-1 tries=1i 12x":                      "line 2:",
		"server,name=node-1 tries=1i -5":                       "line 2: \"-5\" is no time",
		"server,name=node-1 tries=1i 9999999999999999999":      "line 2: \"9999999999999999999\" is no time",
		"server,name=" + strings.Repeat("x", 65) + " tries=1i": "line 2: a name has 1 to 64 bytes",
		strings.Repeat("cpu x=1\n", linesMost):                 "lines are the most",
	} {
		records, _, err := decode(good + text)
		var at *LineError
		if err == nil || !strings.Contains(err.Error(), want) || len(records) != 0 || !errors.As(err, &at) {
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
			if err != nil || r.Server >= 1000 || r.Arrived != 77 || r.Stated < 0 || r.Started < 0 {
				t.Fatalf("%+v %v", r, err)
			}
		}
	})
}

// sink stands for a governor.
type sink struct {
	mu      sync.Mutex
	reply   ingest.Reply
	records int
	hold    chan struct{}
}

func (s *sink) Now() fleet.Time { return 77 }
func (s *sink) Push(r []ingest.Record) ingest.Reply {
	if s.hold != nil {
		<-s.hold
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records += len(r)
	return s.reply
}

// TestAnswers: what a source is told, by the status codes of the published interface; nothing of a refused batch is taken.
func TestAnswers(t *testing.T) {
	k := &sink{}
	s, err := Listen("127.0.0.1:0", k, words)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close(context.Background())
	good := "server,name=node-1 tries=1i\n"
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	_, _ = io.WriteString(z, good)
	z.Close()
	var bomb bytes.Buffer
	z = gzip.NewWriter(&bomb)
	_, _ = z.Write(make([]byte, 8*bodyMost))
	z.Close()
	for _, c := range []struct {
		path, body, encoding string
		reply                ingest.Reply
		status, records      int
		text, wait           string
	}{
		{"/api/v2/write?bucket=x&precision=ms", good, "", ingest.Reply{}, 204, 1, "", ""},
		{"/write", packed.String(), "gzip", ingest.Reply{}, 204, 1, "", ""},
		{"/write", good + "server x", "", ingest.Reply{}, 400, 0, "line 2: ", ""},
		{"/write?precision=h", good, "", ingest.Reply{}, 400, 0, "precision", ""},
		{"/write", good, "br", ingest.Reply{}, 415, 0, "encoding", ""},
		{"/write", good, "gzip", ingest.Reply{}, 400, 0, "not packed", ""},
		{"/write", bomb.String(), "gzip", ingest.Reply{}, 413, 0, "1048576 bytes at most", ""},
		{"/write", strings.Repeat("#", bodyMost+1), "", ingest.Reply{}, 413, 0, "bytes at most", ""},
		{"/write", good, "", ingest.Reply{Text: "too many", Wait: fleet.Second / 4}, 429, 1, "too many", "1"},
		{"/write", good, "", ingest.Reply{Text: "not believed", Distrust: 77 + 30*fleet.Second}, 403, 1, "not believed", "30"},
		{"/elsewhere", good, "", ingest.Reply{}, 404, 0, "", ""},
	} {
		k.reply, k.records = c.reply, 0
		req, _ := http.NewRequest(http.MethodPost, "http://"+s.Addr()+c.path, strings.NewReader(c.body))
		if c.encoding != "" {
			req.Header.Set("Content-Encoding", c.encoding)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(res.Body)
		res.Body.Close()
		if res.StatusCode != c.status || k.records != c.records || !strings.Contains(string(text), c.text) || res.Header.Get("Retry-After") != c.wait {
			t.Errorf("%s %.30q: %d %q, %d records, wait %q", c.path, c.body, res.StatusCode, text, k.records, res.Header.Get("Retry-After"))
		}
	}
	if n := s.Counts(); n.Batches != 10 || n.Refused != 8 {
		t.Errorf("%+v", n)
	}
}

// TestReadsPauseBeforeMemoryGrows: while as much is in hand as may be, further batches are not read, and are refused plainly
// when that lasts; once there is room all goes on.
func TestReadsPauseBeforeMemoryGrows(t *testing.T) {
	k := &sink{hold: make(chan struct{})}
	s, err := Listen("127.0.0.1:0", k, words)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close(context.Background())
	body := strings.Repeat("#", bodyMost-40) + "\nserver,name=node-1 tries=1i\n"
	const senders = 2 * inHandMost / bodyMost
	status := make(chan int, senders)
	for range senders {
		go func() {
			res, err := http.Post("http://"+s.Addr()+"/write", "text/plain", strings.NewReader(body))
			if err != nil {
				status <- 0
				return
			}
			res.Body.Close()
			status <- res.StatusCode
		}()
	}
	for range senders - inHandMost/bodyMost {
		if got := <-status; got != http.StatusServiceUnavailable {
			t.Errorf("a batch past what may be in hand got %d", got)
		}
	}
	close(k.hold)
	for range inHandMost / bodyMost {
		if got := <-status; got != http.StatusNoContent {
			t.Errorf("a batch in hand got %d", got)
		}
	}
	if k.records != inHandMost/bodyMost {
		t.Errorf("%d records", k.records)
	}
}

func BenchmarkDecode(b *testing.B) { // one op is a line
	var body bytes.Buffer
	for i := range 700 {
		fmt.Fprintf(&body, "server,name=node-%d started=1733071000000000000i,tries=1200i,failed=3i,good=1190i,good_ms=238000i,busy=0.61,held=4 1733071234000000000\n", i)
	}
	w := words
	ids := map[string]fleet.ServerID{}
	for i := range 700 {
		ids[fmt.Sprint("node-", i)] = fleet.ServerID(i)
	}
	w.Lookup = func(name []byte) (fleet.ServerID, bool) { id, ok := ids[string(name)]; return id, ok }
	var records []ingest.Record
	b.ReportAllocs()
	for n := 0; n < b.N; n += 700 {
		var err error
		if records, _, err = Decode(records[:0], body.Bytes(), &w, lineprotocol.Nanosecond, 77); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkWrite(b *testing.B) { // batches of 100 lines over loopback; one op is a line
	k := &sink{}
	s, err := Listen("127.0.0.1:0", k, words)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close(context.Background())
	body := strings.Repeat("server,name=node-1 started=1733071000000000000i,tries=1200i,failed=3i,good=1190i,good_ms=238000i,busy=0.61 1733071234000000000\n", 100)
	b.RunParallel(func(pb *testing.PB) {
		for n := 0; pb.Next(); n++ {
			if n%100 != 0 {
				continue
			}
			res, err := http.Post("http://"+s.Addr()+"/write", "text/plain", strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			res.Body.Close()
		}
	})
}
