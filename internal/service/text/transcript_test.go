package text

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/service"
	"cressknot/internal/tableversion"
	"cressknot/internal/transport"
)

// names are the names of servers by id. All have the same address.
type names []string

func (n names) Server(name string) (fleet.ServerID, bool) {
	for i, known := range n {
		if known == name {
			return fleet.ServerID(i), true
		}
	}
	return 0, false
}

func (n names) GetOrAssign(name, _ string) fleet.ServerID {
	id, _ := n.Server(name)
	return id
}

func (n names) Lookup(id fleet.ServerID) (string, string) { return n[id], "127.0.0.1:80" }

// fixedQueries answers every query with fixed values.
type fixedQueries struct{}

func (fixedQueries) Server(_ context.Context, name string) (service.ServerState, error) {
	if name != "s1" {
		return service.ServerState{}, &service.Error{Code: service.NoServer, Text: `no server "s9" is known`}
	}
	return service.ServerState{
		Name:    "s1",
		Addr:    "x:1",
		Zone:    "a",
		State:   "ready",
		Verdict: "well",
		Weights: []service.ClassWeight{
			{Zone: "a", Class: "look", Weight: 12},
		},
		Reasons: []string{"draining; set by the endpoint list"},
	}, nil
}

func (fixedQueries) History(context.Context, string, string, int) ([]service.VersionRow, error) {
	return []service.VersionRow{
		{Version: tableversion.Version{Epoch: 9, Count: 1}, Digest: 5, CreatedAt: 7, Entries: 3, Reason: "by hand"},
	}, nil
}

func (fixedQueries) Summary(context.Context) (service.Summary, error) {
	return service.Summary{
		Controller:   "g",
		Program:      "p",
		Epoch:        9,
		ListRevision: 4,
		ListAge:      5,
		Live:         true,
		Servers:      6,
		Ready:        5,
		ProxiesAll:   4,
	}, nil
}

// TestSessionAnswersTheseBytes checks the answers to all commands, and to invalid ones, byte by byte against a
// transcript, because clients of other versions parse them.
func TestSessionAnswersTheseBytes(t *testing.T) {
	hub := service.NewHub(
		service.HubOptions{Controller: "g-1", Epoch: 9, Zones: []service.Zone{{Name: "a"}}, Names: names{"s0", "s1"},
			Classes: []fleet.RequestClass{{Name: "look", LatencyObjective: fleet.Second, Deadline: 2 * fleet.Second}},
			Now:     func() fleet.Time { return 50 * fleet.Second }},
	)
	if err := hub.Start(context.Background(), func(transport.Event) {}); err != nil {
		t.Fatal(err)
	}
	server, err := Listen("127.0.0.1:0", service.New(hub, fixedQueries{}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = hub.Stop(context.Background()); _ = server.Close(context.Background()) })
	hub.Send(reconcile.Message{
		Sequence: 1,
		Changes:  []reconcile.Change{{Kind: reconcile.AddEntry, Server: 1, Weight: 100, State: reconcile.StateReady}},
	})
	c, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	requests := []string{
		"hello 1.0 shop",
		"hello odd shop",
		"get server s1",
		"get server s9",
		"get history a look 5",
		"get history a look x",
		"get summary",
		"get table zz",
		"report a 1f 3 <<\nmet server=s1 tries=3 failed=1 good=2 good_ms=90\ncame class=look visits=4 no_answer=1\n",
		"report a zz 3",
		"odd",
		"quit",
	}
	if _, err := io.WriteString(c, strings.Join(requests, "\n")+"\n"); err != nil {
		t.Fatal(err)
	}
	answers, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/session.txt")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(answers, want) {
		t.Errorf("got answers\n%s\nwant\n%s", answers, want)
	}
}
