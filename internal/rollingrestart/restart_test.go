package rollingrestart

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"cressknot/internal/haproxyapi"
)

// fakeController answers commands at a socket as a controller with one peer does, and records them.
type fakeController struct {
	address  string
	unserved int
	stuck    bool // never hands its proxies over

	mu       sync.Mutex
	commands []string
	retired  bool
}

func (c *fakeController) answer(command haproxyapi.Command) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := strings.Join(command.Words, " ")
	c.commands = append(c.commands, text)
	switch text {
	case "show members":
		own := 5
		if c.retired && !c.stuck {
			own = 0
		}
		return fmt.Appendf(nil, "# governor proxies beat\ng-1(this) %d 3\n(nobody) %d -\ng-2 4 7\n", own, c.unserved)
	case "retire on", "retire off":
		c.retired = text == "retire on"
		return []byte("Done.\n")
	}
	return []byte(haproxyapi.UnknownPrefix + text + "'.\n")
}

// recorded returns the commands received so far, and whether the controller is retired.
func (c *fakeController) recorded() (commands []string, retired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.commands...), c.retired
}

// start serves a fake controller at a socket until the test ends.
func (c *fakeController) start(t *testing.T) *fakeController {
	t.Helper()
	c.address = filepath.Join(t.TempDir(), "g.sock")
	listener, err := net.Listen("unix", c.address)
	if err != nil {
		t.Fatal(err)
	}
	var connections sync.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close() // ends the accept loop below
		connections.Wait()
	})
	connections.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Go(func() { c.serve(connection) })
		}
	})
	return c
}

// serve answers the commands of one connection until the client closes it.
func (c *fakeController) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	session := haproxyapi.Session{Answer: c.answer}
	buffer := make([]byte, 1<<10)
	for {
		n, err := connection.Read(buffer)
		if err != nil {
			return
		}
		reply, done := session.Feed(buffer[:n])
		if _, err := connection.Write(reply); err != nil || done {
			return
		}
	}
}

func TestParseMembersReadsCounts(t *testing.T) {
	members, err := ParseMembers("# governor proxies beat\ng-1(this) 5 3\ng-2 4 7\n(nobody) 1 -\n")
	want := Members{Own: 5, Unserved: 1, Others: map[string]int{"g-2": 4}}
	if err != nil || !reflect.DeepEqual(members, want) {
		t.Errorf("members %+v, error %v; want %+v", members, err, want)
	}
	if members.AllServed() == nil {
		t.Error("no error for a proxy without a controller")
	}
	if members.HandedOver() == nil {
		t.Error("no error for a controller that still serves proxies")
	}
	if (Members{Own: 1}).HandedOver() != nil {
		t.Error("error for a controller without others to hand over to")
	}
}

func TestParseMembersNamesBadLine(t *testing.T) {
	for text, want := range map[string]string{
		"":              "line 1 has 0 fields, want 3",
		"# only a head": "answer lists no controller",
		"g-1 x 3":       `line 1: proxy count "x" is not a number`,
		"# a\ng-1 1":    "line 2 has 2 fields, want 3",
	} {
		if _, err := ParseMembers(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one with %q", text, err, want)
		}
	}
}

func TestAskReturnsRefusalsAsErrors(t *testing.T) {
	controller := (&fakeController{}).start(t)
	if text, err := Ask(controller.address, "show", "members"); err != nil || !strings.Contains(text, "g-2 4 7") {
		t.Errorf("answer %q, error %v", text, err)
	}
	_, err := Ask(controller.address, "odd words")
	if err == nil || !strings.HasPrefix(err.Error(), strings.TrimSpace(haproxyapi.UnknownPrefix)) {
		t.Errorf("unknown command: error %v", err)
	}
	_, err = Ask(filepath.Join(t.TempDir(), "none.sock"), "show", "members")
	if err == nil || !strings.Contains(err.Error(), "connect to controller: ") {
		t.Errorf("socket that does not exist: error %v", err)
	}
}

// TestRestartGoesStepByStep checks that each controller hands its proxies over before it is restarted, and that the
// next one is restarted only after all proxies were reported to have a controller.
func TestRestartGoesStepByStep(t *testing.T) {
	first := (&fakeController{}).start(t)
	second := (&fakeController{}).start(t)
	sockets := []string{first.address, second.address}
	var restarted []string
	err := Restart(context.Background(), sockets, 10*time.Second, func(_ context.Context, socket string) error {
		restarted = append(restarted, socket)
		return nil
	})
	if err != nil || !reflect.DeepEqual(restarted, sockets) {
		t.Errorf("restarted %v, error %v; want %v", restarted, err, sockets)
	}
	commands, _ := first.recorded()
	want := []string{"show members", "retire on", "show members", "show members"}
	if !reflect.DeepEqual(commands, want) {
		t.Errorf("commands %q, want %q", commands, want)
	}
}

// TestRestartEndsWithFailedStep checks that each failing step ends the restart with its own error, and that a
// controller that could not hand over is told to serve proxies again.
func TestRestartEndsWithFailedStep(t *testing.T) {
	errRestart := errors.New("no such unit")
	failingRestart := func(context.Context, string) error { return errRestart }
	stuck := (&fakeController{stuck: true}).start(t)
	for want, controller := range map[string]*fakeController{
		"before the restart: ": (&fakeController{unserved: 2}).start(t),
		"hand over proxies: ":  stuck,
		"no such unit":         (&fakeController{}).start(t),
	} {
		err := Restart(context.Background(), []string{controller.address}, 50*time.Millisecond, failingRestart)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one with %q", err, want)
		}
	}
	if commands, retired := stuck.recorded(); retired || commands[len(commands)-1] != "retire off" {
		t.Errorf("a controller that could not hand over stays retired; commands %q", commands)
	}
}

func TestUntilEndsWithContext(t *testing.T) {
	controller := (&fakeController{unserved: 2}).start(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := WaitFor(ctx, controller.address, time.Minute, Members.AllServed); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
}
