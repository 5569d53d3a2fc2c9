package haproxyapi

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// feed parses a stream of requests in two pieces, split at the given byte, and returns the words of each command.
func feed(t *testing.T, text string, cut int) (lines [][]string, err error) {
	t.Helper()
	var r RequestParser
	for _, piece := range []string{text[:cut], text[cut:]} {
		err = r.Feed([]byte(piece), func(commands []Command) error {
			for _, c := range commands {
				words := append([]string(nil), c.Words...)
				if c.Payload != nil {
					words = append(words, "payload="+string(c.Payload))
				}
				lines = append(lines, words)
			}
			return nil
		})
	}
	return lines, err
}

func TestRequestParserAcceptsAnySplit(t *testing.T) {
	text := "show stat; set weight be/n1 12\r\n\n add map #1 a\\ b c\\;d\\\\ <<\nk1 v 1\nk2 ;v2\n\n" +
		"set map m k <<END\nx\n\ny\nEND\nquit\n"
	want := [][]string{{"show", "stat"}, {"set", "weight", "be/n1", "12"},
		{"add", "map", "#1", "a b", "c;d\\", "payload=k1 v 1\nk2 ;v2\n"},
		{"set", "map", "m", "k", "payload=x\n\ny\n"}, {"quit"}}
	for cut := range len(text) + 1 {
		if got, err := feed(t, text, cut); err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("split at byte %d: error %v, commands %q", cut, err, got)
		}
	}
}

func TestRequestParserReportsOffsetOfBadByte(t *testing.T) {
	for text, at := range map[string]int64{
		"show info\nset\x01 weight\n":                                  13,
		"ab\n" + strings.Repeat("x", MaxLineLength+1):                  3 + MaxLineLength,
		"x" + strings.Repeat(" y", MaxWords+1) + "\n":                  1 + 2*MaxWords,
		"a b <<\n" + strings.Repeat(strings.Repeat("z", 8000)+"\n", 3): 7 + 2*8001,
	} {
		_, err := feed(t, text, len(text)/2)
		var syntax *SyntaxError
		if !errors.As(err, &syntax) || syntax.Offset != at {
			t.Errorf("%.20q: error %v, want one at byte %d", text, err, at)
		}
	}
}

func TestAnswersAcceptAnySplit(t *testing.T) {
	stream := "\n> New server registered.\n\n> \n> # a,b\n1,2\n\n> > \n"
	want := []string{"", "New server registered.\n", "", "# a,b\n1,2\n", ""}
	for cut := range len(stream) + 1 {
		for second := cut; second <= len(stream); second += 3 {
			var a AnswerParser
			var got []string
			for _, piece := range []string{stream[:cut], stream[cut:second], stream[second:]} {
				if err := a.Feed([]byte(piece), func(b []byte) error { got = append(got, string(b)); return nil }); err != nil {
					t.Fatal(err)
				}
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("split at bytes %d and %d: answers %q, want %q", cut, second, got, want)
			}
		}
	}
}

func TestSessionFollowsPromptModes(t *testing.T) {
	echo := func(c Command) []byte { return []byte(strings.Join(c.Words, "+") + "\n") }
	for _, c := range []struct {
		in, out string
		done    bool
	}{
		{"show info;show stat\n", "show+info\n\nshow+stat\n\n", true},
		{"prompt\nshow info\n", "\n> show+info\n\n> ", false},
		{"prompt i\nshow info\nquit\nshow info\n", "\nshow+info\n\n", true},
		{"prompt\nset\x02\n", "\n> Invalid request: byte 10: invalid control character 0x02.\n\n", true},
	} {
		s := Session{Answer: echo}
		var out []byte
		done := false
		for _, b := range []byte(c.in) {
			reply, end := s.Feed([]byte{b})
			if out = append(out, reply...); end {
				done = true
				break
			}
		}
		if string(out) != c.out || done != c.done {
			t.Errorf("%q: reply %q, done %v; want %q, %v", c.in, out, done, c.out, c.done)
		}
	}
}

func TestTablesRoundTrip(t *testing.T) {
	stat := Stat{
		Proxy:           []byte("look"),
		Server:          []byte("n1"),
		Status:          []byte("UP"),
		Sessions:        12,
		CurrentSessions: 2,
		Denied:          1,
		ConnectErrors:   3,
		ResponseErrors:  4,
		Retries:         5,
		Weight:          256,
		Successes:       6,
		ServerErrors:    7,
	}
	text := AppendStat(AppendStatHeader(nil), &stat)
	if err := ReadStat(text, func(s *Stat) error {
		if !reflect.DeepEqual(*s, stat) {
			t.Errorf("stat %+v, want %+v", *s, stat)
		}
		return nil
	}); err != nil {
		t.Error(err)
	}
	state := ServerState{Backend: []byte("look"), Server: []byte("n1"), Addr: []byte("127.0.0.1"), Port: 8001,
		Operational: 2, Admin: AdminDrain, Weight: 17}
	text = AppendServerState(AppendServersStateHeader(nil), 3, 1, &state)
	if err := ReadServersState(text, func(s *ServerState) error {
		if !reflect.DeepEqual(*s, state) {
			t.Errorf("state %+v, want %+v", *s, state)
		}
		return nil
	}); err != nil {
		t.Error(err)
	}
	tracked := StickEntry{
		Key:           []byte("n1"),
		SuccessMillis: 1234,
		Successes:     9,
		Load:          [4]uint64{1, 2, 3, 4},
		HasLoad:       true,
	}
	if err := ReadStickTable(AppendStickEntry([]byte("# table: nodes, type: string, size:1024, used:1\n"), 7, &tracked),
		func(row *StickEntry) error {
			if !reflect.DeepEqual(*row, tracked) {
				t.Errorf("entry %+v, want %+v", *row, tracked)
			}
			return nil
		}); err != nil {
		t.Error(err)
	}
}

func TestReadersReportLineAndColumnOfGarbage(t *testing.T) {
	stat := string(AppendStatHeader(nil))
	for _, c := range []struct {
		read func() error
		want string
	}{
		{func() error { return ReadStat([]byte("<html>\n"), nil) }, `line 1: expected the header of "show stat"`},
		{func() error { return ReadStat([]byte(stat+"a,b,UP,-1\n"), nil) }, `line 2: column "scur": invalid count "-1"`},
		{
			func() error { return ReadStat([]byte(stat+"a,b,UP,1\n"), nil) },
			`line 2: row has 4 fields: column "stot" is missing`,
		},
		{func() error { return ReadStat([]byte("# pxname,svname,status\n"), nil) }, `line 1: header has no column "scur"`},
		{func() error { return ReadServersState([]byte("2\n"), nil) }, "line 1: unsupported format version"},
		{func() error { return ReadServersState([]byte("1\n# a b\n"), nil) }, `line 2: header has no column "be_name"`},
		{func() error { return ReadMap([]byte("0x1 a b\nnonsense\n"), func(_, _ []byte) error { return nil }) }, "line 2:"},
		{func() error { return ReadStickTable([]byte("0x1: key=a gpc0=x\n"), nil) }, "line 1: gpc0"},
		{func() error { return ReadInfo([]byte("no pair\n"), nil) }, "line 1:"},
	} {
		if err := c.read(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("error %v, want one with %q", err, c.want)
		}
	}
}

// FuzzRequests checks that a stream parses the same in one piece and in two, and that a command written by
// AppendCommand parses to the same words.
func FuzzRequests(f *testing.F) {
	f.Add([]byte("show stat;set weight a/b 3\n"), 3)
	f.Add([]byte("add map #1 <<\nk v\n\nprompt\n"), 14)
	f.Add([]byte("a\\\\\\ b;;; c\\;\n\x00"), 5)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		cut = max(0, min(len(text), cut))
		complete, completeErr := feed(t, string(text), len(text))
		pieces, piecesErr := feed(t, string(text), cut)
		if !reflect.DeepEqual(complete, pieces) || fmt.Sprint(completeErr) != fmt.Sprint(piecesErr) {
			t.Fatalf("in one piece: %q (%v); split at byte %d: %q (%v)", complete, completeErr, cut, pieces, piecesErr)
		}
		for _, words := range complete {
			line := AppendCommand(nil, words...)
			if bytes.ContainsAny(line, "\n\x00") || len(words) > MaxWords {
				continue // a payload
			}
			again, err := Split(line, 0)
			if err != nil || len(again) != 1 || !reflect.DeepEqual(again[0].Words, words) {
				t.Fatalf("%q, written as %q, parses to %v (%v)", words, line, again, err)
			}
		}
	})
}

func BenchmarkReadStat(b *testing.B) {
	text := AppendStatHeader(nil)
	for i := range 2100 {
		text = AppendStat(text, &Stat{Proxy: []byte("slot-look"), Server: fmt.Appendf(nil, "node-%03d", i),
			Sessions: uint64(i) * 977, Successes: uint64(i) * 960, Weight: 100})
	}
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if err := ReadStat(text, func(*Stat) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}
