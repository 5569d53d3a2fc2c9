package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

var classes = []string{"look", "book", "issue"}

// desk is a relay's book: what holds for whom. It reads the text of orders, as a relay does.
type desk struct {
	shares   map[string]string // by table and server
	levels   map[string]string
	binds    map[string]string // by proxy and class
	out      map[string]bool
	joined   func(proxy string) bool
	bareness string // a proxy that was bound to an empty table
}

func newDesk() *desk {
	return &desk{shares: map[string]string{}, levels: map[string]string{}, binds: map[string]string{}, out: map[string]bool{},
		joined: func(string) bool { return true }}
}

// carry out orders until one can't be used; tells how many were.
func (d *desk) carryOut(text string) int {
	if text == "" {
		return 0
	}
	for n, op := range strings.Split(text, ";") {
		w := strings.Split(op, ",")
		switch w[0] {
		case "share":
			if weight, err := strconv.ParseFloat(w[3], 32); err != nil || weight < 0 {
				return n
			} else if weight == 0 {
				delete(d.shares, w[1]+" "+w[2])
			} else {
				d.shares[w[1]+" "+w[2]] = w[3]
			}
		case "clear":
			for _, of := range []map[string]string{d.shares, d.levels} {
				for k := range of {
					if strings.HasPrefix(k, w[1]+" ") {
						delete(of, k)
					}
				}
			}
		case "bind":
			if !d.joined(w[1]) {
				return n
			}
			for _, c := range strings.Split(strings.ReplaceAll(w[3], "*", strings.Join(classes, "+")), "+") {
				d.binds[w[1]+" "+c] = w[2]
			}
		case "withdraw":
			d.out[w[1]] = true
		case "restore":
			delete(d.out, w[1])
		case "admit":
			for _, c := range strings.Split(strings.ReplaceAll(w[2], "*", strings.Join(classes, "+")), "+") {
				d.levels[w[1]+" "+c] = w[3] + " " + w[4]
			}
		case "mark":
		default:
			return n
		}
	}
	return strings.Count(text, ";") + 1
}

func (d *desk) String() string { return fmt.Sprint(d.shares, d.levels, d.binds, d.out) }

// anew gives orders after which the thing that an order sets is as the book has it.
func (d *desk) anew(o Operation) (ops []Operation) {
	line := func(table fleet.TableID, server, weight string) {
		w, _ := strconv.ParseFloat(weight, 32)
		ops = append(ops, Operation{Order: fleet.SetWeight{Table: table, Weight: float32(w)}, Server: server})
	}
	level := func(table fleet.TableID, class int) {
		var amount float32
		var retry fleet.RetryMode
		if n, _ := fmt.Sscan(d.levels[fmt.Sprint(table, " ", classes[class])], &amount, &retry); n == 2 {
			ops = append(ops, Operation{Order: fleet.SetAdmission{Table: table, Classes: 1 << class, Limit: amount, Retry: retry}})
		}
	}
	each := func(set fleet.ClassSet, do func(class int)) {
		for class := range classes {
			if set == 0 || set&(1<<class) != 0 {
				do(class)
			}
		}
	}
	switch v := o.Order.(type) {
	case fleet.SetWeight:
		line(v.Table, o.Server, d.shares[fmt.Sprint(v.Table, " ", o.Server)])
	case fleet.WithdrawServer:
		ops = []Operation{{Order: fleet.WithdrawServer{Withdrawn: d.out[o.Server]}, Server: o.Server}}
	case fleet.SetAdmission:
		each(v.Classes, func(class int) { level(v.Table, class) })
	case fleet.AssignTable:
		each(v.Classes, func(class int) {
			table, _ := strconv.Atoi(d.binds[fmt.Sprint(v.Proxy, " ", classes[class])])
			ops = append(ops, Operation{Order: fleet.AssignTable{Proxy: v.Proxy, Table: fleet.TableID(table), Classes: 1 << class}})
		})
	case fleet.ClearTable:
		ops = []Operation{o}
		for k, weight := range d.shares {
			if table, server, _ := strings.Cut(k, " "); table == fmt.Sprint(v.Table) {
				line(v.Table, server, weight)
			}
		}
		each(0, func(class int) { level(v.Table, class) })
	}
	return ops
}

func anyOp(t *rapid.T) Operation {
	table, server := fleet.TableID(rapid.IntRange(0, 2).Draw(t, "table")), fmt.Sprint("s-", rapid.IntRange(0, 3).Draw(t, "server"))
	set := fleet.ClassSet(rapid.IntRange(0, 7).Draw(t, "classes"))
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		return Operation{Order: fleet.ClearTable{Table: table}}
	case 1:
		return Operation{Order: fleet.AssignTable{Proxy: fleet.ProxyID(rapid.IntRange(0, 2).Draw(t, "proxy")), Table: table, Classes: set}}
	case 2:
		return Operation{Order: fleet.WithdrawServer{Withdrawn: rapid.Bool().Draw(t, "out")}, Server: server}
	case 3:
		return Operation{Order: fleet.SetAdmission{Table: table, Classes: set, Limit: rapid.Float32Range(0, 1e6).Draw(t, "amount"), Retry: 2}}
	case 4:
		return Operation{Order: fleet.Barrier{ID: 7}}
	}
	return Operation{Order: fleet.SetWeight{Table: table, Weight: float32(rapid.IntRange(0, 3).Draw(t, "weight"))}, Server: server}
}

// Whatever becomes of calls, in the end what holds is what holds after all orders in turn, if what nobody knows of is ordered again;
// and every order that can't be used costs two calls at most. What is uncertain is told once and never sent again by itself.
func TestQueueEndsWhereTheOrdersEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want, got := newDesk(), newDesk()
		q := Queue{Classes: classes}
		calls, bad := 0, 0
		var again []Operation // as the module does: what should hold of the things that nobody knows of
		done := func(was CallOutcome, taken int) {
			_, told := q.Done(was, taken)
			if was != CallUncertain && len(told) > 0 || was == CallUncertain && len(q.call) > 0 {
				t.Fatalf("%v: %d orders told, %d go again", was, len(told), len(q.call))
			}
			again = append(again, told...)
		}
		call := func(patience int) {
			text, n := q.Next()
			calls++
			switch fate := rapid.IntRange(0, patience).Draw(t, "fate"); fate {
			case 1: // carried out, not answered
				got.carryOut(text)
				done(CallUncertain, 0)
			case 2:
				done(CallUncertain, 0)
			case 3:
				done(CallRefused, 0)
			default:
				taken := got.carryOut(text)
				if taken < n {
					bad++
				}
				done(CallAnswered, taken)
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			ops := rapid.SliceOfN(rapid.Custom(anyOp), 1, 6).Draw(t, "ops")
			if rapid.IntRange(0, 9).Draw(t, "spoil") == 0 {
				ops = append(ops, Operation{Order: fleet.SetWeight{Weight: -1}, Server: "s-9"})
			}
			for _, o := range ops {
				want.carryOut(o.Text(classes))
			}
			q.Put(ops)
			if rapid.Bool().Draw(t, "send") {
				call(5)
			}
		}
		for _, o := range again {
			q.Put(want.anew(o))
		}
		for limit := 0; !q.Empty(); limit++ {
			if limit > 100 {
				t.Fatal("the same call goes for ever")
			}
			call(0)
		}
		if got.String() != want.String() {
			t.Fatalf("holds\n%s, not\n%s", got, want)
		}
	})
}

// What adds stands before what takes away: no table that a proxy is on is empty on the way, also where a call is cut in two.
func TestFoldKeepsATableFilled(t *testing.T) {
	folded := fold([]Operation{
		{Order: fleet.SetWeight{Table: 1, Weight: 0}, Server: "old"}, {Order: fleet.WithdrawServer{Withdrawn: true}, Server: "old"},
		{Order: fleet.Barrier{ID: 1}}, {Order: fleet.SetWeight{Table: 1, Weight: 1}, Server: "new"}, {Order: fleet.Barrier{ID: 2}}})
	var text []string
	for _, o := range folded {
		text = append(text, o.Text(classes))
	}
	if got := strings.Join(text, ";"); got != "share,1,new,1;share,1,old,0;withdraw,old;mark,1,0" {
		t.Errorf("folded to %s", got)
	}
}

func TestOrdersPrint(t *testing.T) {
	for want, op := range map[string]Operation{
		"share,4,s-5,1.5":              {Order: fleet.SetWeight{Table: 4, Weight: 1.5}, Server: "s-5"},
		"share,4,s-5,0.00000012345679": {Order: fleet.SetWeight{Table: 4, Weight: 1.2345679e-7}, Server: "s-5"},
		"bind,17,4,look+issue":         {Order: fleet.AssignTable{Proxy: 17, Table: 4, Classes: 5}},
		"admit,*,*,1000000,1":          {Order: fleet.SetAdmission{Table: fleet.AllTables, Limit: 1e6, Retry: fleet.RetryIfNotExecuted}},
		"mark,905,1":                   {Order: fleet.Barrier{ID: 905, AllProxies: true}},
		"restore,s-5":                  {Order: fleet.WithdrawServer{}, Server: "s-5"},
		"admit,4,book,0.9,2":           {Order: fleet.SetAdmission{Table: 4, Classes: 2, Limit: 0.9, Retry: 2}},
		"share,65534,s-5,340282350000000000000000000000000000000": {Order: fleet.SetWeight{Table: 65534, Weight: 3.4028235e38}, Server: "s-5"},
	} {
		if got := op.Text(classes); got != want {
			t.Errorf("printed %s, not %s", got, want)
		}
	}
}

func TestAnswersAreRead(t *testing.T) {
	const head = `<?xml version="1.0"?><Response><entries><item>`
	const tail = `</item></entries></Response>`
	for text, want := range map[string]CallOutcome{
		head + "<accepted>2</accepted>" + tail:                       CallAnswered,
		head + "<accepted> 0 </accepted>" + tail:                     CallAnswered,
		head + "<accepted>3</accepted>" + tail:                       CallUncertain, // of two
		head + "<accepted>-1</accepted>" + tail:                      CallUncertain,
		head + "<accepted>x</accepted>" + tail:                       CallUncertain,
		head + "<accepted>1</accepted><accepted>2</accepted>" + tail: CallUncertain,
		head + "<accepted>2</accep":                                  CallUncertain,
		"":                                                           CallUncertain,
		"\x00\x01":                                                   CallUncertain,
		"<Response><error>limit</error></Response>":                  CallRefused,
		"<Response><errors><e><code>malformed</code></e></errors></Response>": CallMalformed,
	} {
		if was, _, err := Read([]byte(text), 2); was != want || (err == nil) != (want == CallAnswered) {
			t.Errorf("%q: %v, %v", text, was, err)
		}
	}
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`<Response><entries><item><accepted>2</accepted></item></entries></Response>`))
	f.Add([]byte(`</a><accepted>`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if was, taken, _ := Read(text, 3); was == CallAnswered && (taken < 0 || taken > 3) {
			t.Errorf("%d of 3 taken", taken)
		}
	})
}

func TestNewsAreRead(t *testing.T) {
	zones := []string{"a", "b"}
	e, err := event("joined", "node=17&locality=b&w=21.5&cold=1", zones, 20)
	if want := (fleet.ProxyJoined{Proxy: 17, Zone: 1, RequestRate: 21.5, Fresh: true}); err != nil || e != want {
		t.Errorf("%v, %v", e, err)
	}
	for _, data := range []string{"node=20&locality=a&w=1&cold=0", "node=1&locality=c&w=1&cold=0", "node=1&locality=a&w=NaN&cold=0", "locality=a", "%zz"} {
		if e, err := event("joined", data, zones, 20); err == nil {
			t.Errorf("%s gives %v", data, e)
		}
	}
}

// cleanEnd lets a stream of the stand-in end as a closed address does, not by a reset.
const cleanEnd = "end"

// standin is a relay on loopback that does as its script says, a call at a time.
type standin struct {
	*httptest.Server
	mu      sync.Mutex
	desk    *desk
	script  []string
	calls   []string
	seen    chan string
	streams chan chan string // of what a stream is to tell; closed: break it
	gate    chan struct{}    // if there is one, each call waits there for its answer
}

func newStandin(t *testing.T, script ...string) *standin {
	s := &standin{desk: newDesk(), script: script, seen: make(chan string, 100), streams: make(chan chan string, 10)}
	s.Server = httptest.NewServer(s)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s
}

func (s *standin) addr() string { return s.Listener.Addr().String() }

func (s *standin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/stream" {
		tell := make(chan string)
		w.Header().Set("Content-Type", "text/event-stream")
		w.(http.Flusher).Flush()
		s.streams <- tell
		for {
			select {
			case text, more := <-tell:
				if !more {
					panic(http.ErrAbortHandler)
				}
				if text == cleanEnd {
					return
				}
				fmt.Fprint(w, text)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}
	_ = r.ParseForm()
	ops := r.Form.Get("ops")
	s.mu.Lock()
	defer s.mu.Unlock()
	fate := ""
	if len(s.script) > 0 {
		fate, s.script = s.script[0], s.script[1:]
	}
	s.calls = append(s.calls, ops)
	s.seen <- fate + ": " + ops
	if s.gate != nil {
		<-s.gate
	}
	switch fate {
	case "limit":
		fmt.Fprint(w, "<Response><error>limit</error></Response>")
		return
	case "malformed":
		fmt.Fprint(w, "<Response><error>malformed</error></Response>")
		return
	case "break": // carried out, then broken
		s.desk.carryOut(ops)
		panic(http.ErrAbortHandler)
	case "drop": // broken, not carried out
		panic(http.ErrAbortHandler)
	case "spoil":
		s.desk.carryOut(ops)
		fmt.Fprint(w, "<Response><entries><item><accep")
		return
	}
	fmt.Fprintf(w, "<Response><entries><item><accepted>%d</accepted></item></entries></Response>", s.desk.carryOut(ops))
}

func started(t *testing.T, s *standin) (*Client, chan StreamEvent) {
	news := make(chan StreamEvent, 1000)
	f := New(Options{Addr: s.addr(), Zones: []string{"a"}, Classes: classes, ProxyCount: 10, Log: zerolog.Nop(),
		OnEvent: func(n StreamEvent) { news <- n }})
	ctx, cancel := context.WithCancel(context.Background())
	f.Start(ctx)
	t.Cleanup(func() { cancel(); f.Wait() })
	return f, news
}

func next[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

// A call refused by limit goes again. One that breaks is never sent again by itself: what nobody knows of is told, once, but for
// what a newer order that waits sets anyway; and the newer orders go.
func TestBrokenCallsAreToldNotRepeated(t *testing.T) {
	s := newStandin(t, "limit", "break", "drop", "spoil", "")
	s.gate = make(chan struct{}, 10)
	unsure := make(chan Unconfirmed, 10)
	f := New(Options{Addr: s.addr(), Zones: []string{"a"}, Classes: classes, ProxyCount: 10, Log: zerolog.Nop(),
		OnEvent: func(StreamEvent) {}, OnUnconfirmed: func(u Unconfirmed) { unsure <- u }})
	ctx, cancel := context.WithCancel(context.Background())
	f.Start(ctx)
	t.Cleanup(func() { cancel(); f.Wait() })
	x := func(weight float32) Operation {
		return Operation{Order: fleet.SetWeight{Table: 1, Weight: weight}, Server: "x"}
	}
	y := Operation{Order: fleet.SetWeight{Table: 1, Weight: 4}, Server: "y"}
	f.Enqueue([]Operation{x(1), y})
	for _, fate := range []string{"limit", "break"} {
		if got := next(t, s.seen); got != fate+": share,1,x,1;share,1,y,4" {
			t.Errorf("call %q", got)
		}
		if fate == "break" {
			f.Enqueue([]Operation{x(2)}) // while nobody knows
		}
		s.gate <- struct{}{}
	}
	if got := next(t, unsure); fmt.Sprint(got.Operations) != fmt.Sprint([]Operation{y}) {
		t.Errorf("told %v of a call whose first order has a newer one", got.Operations)
	}
	for i, fate := range []string{"drop", "spoil"} {
		weight := float32(2 + i)
		if got := next(t, s.seen); got != fmt.Sprintf("%s: share,1,x,%.0f", fate, weight) {
			t.Errorf("call %q", got)
		}
		s.gate <- struct{}{}
		if got := next(t, unsure); fmt.Sprint(got.Operations) != fmt.Sprint([]Operation{x(weight)}) {
			t.Errorf("told %v", got.Operations)
		}
		f.Enqueue([]Operation{x(weight + 1)})
	}
	if got := next(t, s.seen); got != ": share,1,x,4" {
		t.Errorf("call %q", got)
	}
	s.gate <- struct{}{}
	if len(unsure) > 0 || f.Statistics().Uncertain != 3 {
		t.Errorf("told more: %d, %+v", len(unsure), f.Statistics())
	}
}

// An order that can't be used is left out; what follows it goes.
func TestUnusableOrderIsLeftOut(t *testing.T) {
	s := newStandin(t)
	s.desk.joined = func(p string) bool { return p != "3" }
	f, _ := started(t, s)
	f.Enqueue([]Operation{{Order: fleet.AssignTable{Proxy: 2, Table: 1}}, {Order: fleet.AssignTable{Proxy: 3, Table: 1}}, {Order: fleet.AssignTable{Proxy: 4, Table: 1}}})
	for _, want := range []string{": bind,2,1,*;bind,3,1,*;bind,4,1,*", ": bind,3,1,*;bind,4,1,*", ": bind,4,1,*"} {
		if got := next(t, s.seen); got != want {
			t.Errorf("call %q, not %q", got, want)
		}
	}
}

func (s *standin) open(t *testing.T, shows ...int) chan string {
	tell := next(t, s.streams)
	for _, p := range shows {
		tell <- fmt.Sprintf("event: joined\ndata: node=%d&locality=a&w=1&cold=0\n\n", p)
	}
	tell <- ":\n"
	return tell
}

// A broken stream is dialed again. One that is moved overlaps the old one, whose news comes first.
func TestStreamsFollowEachOther(t *testing.T) {
	old, moved := newStandin(t), newStandin(t)
	f, news := started(t, old)
	first := old.open(t, 1)
	for _, want := range []StreamEventKind{StreamOpened, ProxyEvent, SnapshotComplete} {
		if n := next(t, news); n.Kind != want || n.Stream != 1 || n.Continuous {
			t.Fatalf("%+v, not %v", n, want)
		}
	}
	close(first) // breaks
	second := old.open(t, 1)
	for _, want := range []StreamEventKind{StreamOpened, ProxyEvent, SnapshotComplete} {
		if n := next(t, news); n.Kind != want || n.Stream != 2 || n.Continuous {
			t.Fatalf("%+v, not %v of the second", n, want)
		}
	}
	f.SetAddress(moved.addr())
	tell := next(t, moved.streams)
	second <- "event: left\ndata: node=1\n\n"
	if n := next(t, news); n.Kind != ProxyEvent || n.Stream != 2 || n.Event != (fleet.ProxyLeft{Proxy: 1}) {
		t.Fatalf("%+v, not what the old stream told last", n)
	}
	if n := next(t, news); n.Kind != StreamOpened || n.Stream != 3 || !n.Continuous {
		t.Fatalf("%+v, not a whole opening", n)
	}
	tell <- ":\n"
}

// The old stream ends within the overlap by what can't be read: news may be lost with it, so the new opening is not whole. One that ends
// cleanly was read to its end.
func TestOldStreamEndsInTheOverlap(t *testing.T) {
	for _, spoilt := range []bool{true, false} {
		old, moved := newStandin(t), newStandin(t)
		f, news := started(t, old)
		first := old.open(t, 1)
		for _, want := range []StreamEventKind{StreamOpened, ProxyEvent, SnapshotComplete} {
			if n := next(t, news); n.Kind != want {
				t.Fatalf("%+v, not %v", n, want)
			}
		}
		f.SetAddress(moved.addr())
		next(t, moved.streams)
		for late := time.Now().Add(20 * time.Second); f.Statistics().Streams < 2; time.Sleep(time.Millisecond) { // until it stands
			if time.Now().After(late) {
				t.Fatal("the new stream does not stand")
			}
		}
		if spoilt {
			first <- "event: joined\ndata: node=999\n\n"
		} else {
			first <- cleanEnd
		}
		if n := next(t, news); n.Kind != StreamOpened || n.Stream != 2 || n.Continuous == spoilt {
			t.Errorf("spoilt %v: %+v", spoilt, n)
		}
	}
}

// A break during an opening: nobody is settled by it, and the next stream opens anew. Only a sign of life ends an opening, however long it takes.
func TestBreakDuringTheOpening(t *testing.T) {
	s := newStandin(t)
	_, news := started(t, s)
	tell := next(t, s.streams)
	tell <- "event: joined\ndata: node=1&locality=a&w=1&cold=0\n\n"
	tell <- "event: joined\ndata: node=2&loc"
	close(tell)
	tell = next(t, s.streams)
	tell <- "event: joined\ndata: node=1&locality=a&w=1&cold=0\n\n"
	var got []string
	for range 4 {
		n := next(t, news)
		got = append(got, fmt.Sprint(n.Stream, n.Kind))
	}
	if fmt.Sprint(got) != "[1 opened 1 told 2 opened 2 told]" {
		t.Errorf("news %v", got)
	}
	select {
	case n := <-news:
		t.Errorf("%+v before a sign of life", n)
	case <-time.After(1200 * time.Millisecond): // longer than the relay's second
	}
	tell <- ":\n"
	if n := next(t, news); n.Kind != SnapshotComplete || n.Stream != 2 {
		t.Errorf("%+v", n)
	}
}

// A call that the relay can't read is told as unconfirmed at the third time, and what is behind it goes; a refusal by limit keeps all.
func TestMalformedCallsLetOthersPass(t *testing.T) {
	s := newStandin(t, "malformed", "malformed", "malformed", "limit", "")
	unsure := make(chan Unconfirmed, 10)
	f := New(Options{Addr: s.addr(), Classes: classes, ProxyCount: 10, Log: zerolog.Nop(), OnEvent: func(StreamEvent) {}, OnUnconfirmed: func(u Unconfirmed) { unsure <- u }})
	s.gate = make(chan struct{}, 10)
	ctx, cancel := context.WithCancel(context.Background())
	f.Start(ctx)
	t.Cleanup(func() { cancel(); f.Wait() })
	f.Enqueue([]Operation{{Order: fleet.WithdrawServer{Withdrawn: true}, Server: "x"}})
	next(t, s.seen)
	f.Enqueue([]Operation{{Order: fleet.WithdrawServer{Withdrawn: true}, Server: "y"}})
	for range 5 {
		s.gate <- struct{}{}
	}
	for _, want := range []string{"malformed: withdraw,x", "malformed: withdraw,x", "limit: withdraw,y", ": withdraw,y"} {
		if got := next(t, s.seen); got != want {
			t.Errorf("call %q, not %q", got, want)
		}
	}
	if u := next(t, unsure); len(u.Operations) != 1 || u.Operations[0].Server != "x" {
		t.Errorf("told %v", u)
	}
}

// Moved again before a new stream was let on: that one tells nothing, and news of the old one are not lost.
func TestTwoMovesAtOnce(t *testing.T) {
	old, passed, last := newStandin(t), newStandin(t), newStandin(t)
	f, news := started(t, old)
	first := old.open(t)
	for _, want := range []StreamEventKind{StreamOpened, SnapshotComplete} {
		if n := next(t, news); n.Kind != want {
			t.Fatalf("%+v, not %v", n, want)
		}
	}
	f.SetAddress(passed.addr())
	next(t, passed.streams)
	f.SetAddress(last.addr())
	next(t, last.streams)
	first <- "event: left\ndata: node=1\n\n"
	if n := next(t, news); n.Kind != ProxyEvent || n.Stream != 1 {
		t.Fatalf("%+v, not what the old stream told", n)
	}
	if n := next(t, news); n.Kind != StreamOpened || n.Stream != 3 || !n.Continuous {
		t.Fatalf("%+v, not the whole opening of the last", n)
	}
}

// Nobody listens: the front waits between dials, and what waits stays bounded.
func TestUnreachableRelayBoundsWhatWaits(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	f := New(Options{Addr: addr, Classes: classes, ProxyCount: 10, Log: zerolog.Nop(), OnEvent: func(StreamEvent) {}})
	for i := range 10_000 {
		f.Enqueue([]Operation{{Order: fleet.SetWeight{Table: 1, Weight: float32(i)}, Server: fmt.Sprint(i % 7)}, {Order: fleet.Barrier{ID: fleet.BarrierID(i % 9)}}})
	}
	if n := len(f.queue.waiting); n > 8 {
		t.Errorf("%d orders wait, of seven lines and a mark", n)
	}
}
