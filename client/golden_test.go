package client_test

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
	servicerpc "cressknot/internal/service/rpc"
	"cressknot/internal/service/rpc/pb"
	"cressknot/internal/service/text"
	"cressknot/internal/tableversion"
)

var update = flag.Bool(
	"update",
	false,
	"rewrite the golden files of version 1.0, and those of 1.9 with parts that are unknown to this version",
)

// messages are the messages that both protocols carry, with the functions that format and parse them.
var messages = []struct {
	name       string
	value      any
	toProto    func(any) proto.Message
	formatText func(any) []byte
	newProto   func() proto.Message
	fromProto  func(proto.Message) any
	parseText  func([]byte) (any, error)
}{
	{
		"update",
		service.Update{
			Controller:      "g-1",
			ListRevision:    7,
			Live:            true,
			Zone:            "a",
			From:            tableversion.Version{Epoch: 3, Count: 4},
			To:              tableversion.Version{Epoch: 3, Count: 6},
			RestrictsToOpen: true,
			OpenServers:     []string{"s1", "s 2"},
			Classes: []service.ClassTable{
				{
					Class:          "look",
					Published:      true,
					AdmissionLimit: -1,
					Retry:          fleet.RetryIfNotExecuted,
					Digest:         0xfeed,
					Endpoints:      []service.Endpoint{{Server: "s1", Addr: "x:1", Weight: 256}, {Server: "s2"}},
				},
				{Class: "book", AdmissionLimit: 500},
			},
		},
		func(v any) proto.Message { u := v.(service.Update); return servicerpc.UpdateToProto(&u) },
		func(v any) []byte { u := v.(service.Update); return text.FormatUpdate(&u) },
		func() proto.Message { return &pb.Update{} },
		func(m proto.Message) any { return servicerpc.UpdateFromProto(m.(*pb.Update)) },
		func(b []byte) (any, error) { return text.ParseUpdate(b) },
	},
	{
		"hello",
		service.Hello{
			Major: 1,
			Name:  "g-1",
			Epoch: 9,
			Zones: []string{"a", "b"},
			Classes: []fleet.RequestClass{
				{
					Name:                "look",
					Idempotency:         fleet.IdempotentWithKey,
					DeduplicationScope:  fleet.DeduplicationZone,
					DeduplicationWindow: 5,
					LatencyObjective:    6,
					Deadline:            7,
				},
			},
		},
		func(v any) proto.Message { return servicerpc.HelloToProto(v.(service.Hello)) },
		func(v any) []byte { return text.FormatHello(v.(service.Hello)) },
		func() proto.Message { return &pb.Hello{} },
		func(m proto.Message) any { return servicerpc.HelloFromProto(m.(*pb.Hello)) },
		func(b []byte) (any, error) { return text.ParseHello(b) },
	},
	{
		"server",
		service.ServerState{
			Name:               "s1",
			Addr:               "x:1",
			Zone:               "a",
			State:              "ready",
			SlowStartRemaining: 5,
			Withdrawn:          true,
			Verdict:            "mute",
			Weights:            []service.ClassWeight{{Zone: "a", Class: "look", Weight: 9}},
			Reasons:            []string{"because; a = b"},
		},
		func(v any) proto.Message { return servicerpc.ServerStateToProto(v.(service.ServerState)) },
		func(v any) []byte { return text.FormatServerState(v.(service.ServerState)) },
		func() proto.Message { return &pb.ServerState{} },
		func(m proto.Message) any { return servicerpc.ServerStateFromProto(m.(*pb.ServerState)) },
		func(b []byte) (any, error) { return text.ParseServerState(b) },
	},
	{
		"history",
		service.History{
			Versions: []service.VersionRow{
				{
					Version:   tableversion.Version{Epoch: 3, Count: 4},
					Digest:    5,
					CreatedAt: -6,
					Entries:   7,
					Reason:    "set by hand",
				},
			},
		},
		func(v any) proto.Message { return servicerpc.HistoryToProto(v.(service.History)) },
		func(v any) []byte { return text.FormatHistory(v.(service.History)) },
		func() proto.Message { return &pb.HistoryReply{} },
		func(m proto.Message) any { return servicerpc.HistoryFromProto(m.(*pb.HistoryReply)) },
		func(b []byte) (any, error) { return text.ParseHistory(b) },
	},
	{
		"summary",
		service.Summary{
			Controller:   "g",
			Program:      "1 2",
			Epoch:        3,
			ListRevision: 4,
			ListAge:      5,
			Live:         true,
			Servers:      6,
			Ready:        5,
			WarmingUp:    4,
			Withdrawn:    3,
			ProxiesUp:    2,
			ProxiesAll:   1,
			Watchers:     9,
		},
		func(v any) proto.Message { return servicerpc.SummaryToProto(v.(service.Summary)) },
		func(v any) []byte { return text.FormatSummary(v.(service.Summary)) },
		func() proto.Message { return &pb.SummaryReply{} },
		func(m proto.Message) any { return servicerpc.SummaryFromProto(m.(*pb.SummaryReply)) },
		func(b []byte) (any, error) { return text.ParseSummary(b) },
	},
}

// withUnknownParts extends an encoded message and its text form as a future minor version might, by a field and a row
// that this version does not know.
func withUnknownParts(encoded, plain []byte) ([]byte, []byte) {
	encoded = protowire.AppendTag(encoded, 1000, protowire.BytesType)
	encoded = protowire.AppendString(encoded, "to come")
	return encoded, append(append([]byte(nil), plain...), "shade server=s1 of=0.5\n"...)
}

// writeGoldenFiles writes a message as version 1.0 encodes it, and with unknown parts as version 1.9.
func writeGoldenFiles(t *testing.T, name string, message proto.Message, plain []byte) {
	t.Helper()
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	writeGoldenFile(t, "1.0", name+".pb", encoded)
	writeGoldenFile(t, "1.0", name+".txt", plain)
	newerEncoded, newerPlain := withUnknownParts(encoded, plain)
	writeGoldenFile(t, "1.9", name+".pb", newerEncoded)
	writeGoldenFile(t, "1.9", name+".txt", newerPlain)
}

func writeGoldenFile(t *testing.T, version, name string, content []byte) {
	t.Helper()
	folder := filepath.Join("testdata", "golden", version)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, name), content, 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestGoldenFilesOfEveryVersionParse checks that messages of every version so far, and of a future one with unknown
// parts, are parsed to the same values over both protocols.
func TestGoldenFilesOfEveryVersionParse(t *testing.T) {
	for _, message := range messages {
		if *update {
			writeGoldenFiles(t, message.name, message.toProto(message.value), message.formatText(message.value))
		}
		files, _ := filepath.Glob("testdata/golden/*/" + message.name + ".pb")
		if len(files) < 2 {
			t.Fatalf("%d golden files of message %s, want at least 2", len(files), message.name)
		}
		for _, path := range files {
			encoded, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			plain, err := os.ReadFile(path[:len(path)-len("pb")] + "txt")
			if err != nil {
				t.Fatal(err)
			}
			decoded := message.newProto()
			if err := proto.Unmarshal(encoded, decoded); err != nil {
				t.Fatal(err)
			}
			fromProto := message.fromProto(decoded)
			fromText, err := message.parseText(plain)
			if err != nil || !reflect.DeepEqual(fromProto, message.value) || !reflect.DeepEqual(fromText, message.value) {
				t.Errorf("%s: text parse error %v\nproto: %+v\ntext:  %+v\nwant:  %+v",
					path, err, fromProto, fromText, message.value)
			}
		}
	}
}

// FuzzAnswers checks that the parser returns an update or an error for any input, and that a parsed update is unchanged
// after formatting and parsing it again.
func FuzzAnswers(f *testing.F) {
	for _, message := range messages {
		f.Add(message.formatText(message.value))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		parsed, err := text.ParseUpdate(input)
		if err != nil {
			return
		}
		reparsed, err := text.ParseUpdate(text.FormatUpdate(&parsed))
		if err != nil || !reflect.DeepEqual(parsed, reparsed) {
			t.Errorf("update %+v, after formatting and parsing %+v (error %v)", parsed, reparsed, err)
		}
	})
}
