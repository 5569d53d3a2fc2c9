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

// governor answers on a socket as its script says, and notes what it was asked.
type governor struct {
	addr    string
	mu      sync.Mutex
	asked   []string
	retired bool
	alone   bool // nobody else is there
	nobody  int
	stuck   bool // hands nothing on
}

func (g *governor) answer(c haproxyapi.Command) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	text := strings.Join(c.Words, " ")
	g.asked = append(g.asked, text)
	switch text {
	case "show members":
		own := 5
		if g.retired && !g.stuck {
			own = 0
		}
		members := fmt.Sprintf("# governor proxies beat\ng-1(this) %d 3\n(nobody) %d -\n", own, g.nobody)
		if !g.alone {
			members += "g-2 4 7\n"
		}
		return []byte(members)
	case "retire on", "retire off":
		g.retired = text == "retire on"
		return []byte("Done.\n")
	}
	return []byte(haproxyapi.UnknownPrefix + text + "'.\n")
}

func serve(t *testing.T, g *governor) *governor {
	t.Helper()
	g.addr = filepath.Join(t.TempDir(), "g.sock")
	l, err := net.Listen("unix", g.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				s := haproxyapi.Session{Answer: g.answer}
				buffer := make([]byte, 1<<10)
				for {
					n, err := conn.Read(buffer)
					if err != nil {
						return
					}
					reply, done := s.Feed(buffer[:n])
					if _, err := conn.Write(reply); err != nil || done {
						return
					}
				}
			}()
		}
	}()
	return g
}

func TestMembersAreRead(t *testing.T) {
	m, err := Read("# governor proxies beat\ng-1(this) 5 3\ng-2 4 7\n(nobody) 1 -\n")
	if want := (Members{Own: 5, Nobody: 1, Others: map[string]int{"g-2": 4}}); err != nil || !reflect.DeepEqual(m, want) {
		t.Errorf("%+v, %v", m, err)
	}
	if m.Attended() == nil || m.HandedOn() == nil || (Members{Own: 1}).HandedOn() != nil {
		t.Error("who serves proxies, and who could, is not told")
	}
	for text, want := range map[string]string{"": "line 1", "# only a head": "no line of a governor", "g-1 x 3": `line 1: "x" is no number`,
		"# a\ng-1 1": "line 2"} {
		if _, err := Read(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

func TestRefusalsAreErrors(t *testing.T) {
	g := serve(t, &governor{})
	if text, err := Ask(g.addr, "show", "members"); err != nil || !strings.Contains(text, "g-2 4 7") {
		t.Errorf("%q, %v", text, err)
	}
	if _, err := Ask(g.addr, "odd words"); err == nil || !strings.HasPrefix(err.Error(), strings.TrimSpace(haproxyapi.UnknownPrefix)) {
		t.Errorf("%v", err)
	}
	if _, err := Ask(filepath.Join(t.TempDir(), "none.sock"), "show", "members"); err == nil || !strings.Contains(err.Error(), "no governor answers") {
		t.Errorf("%v", err)
	}
}

// TestRestartGoesStepByStep: each governor hands on, is restarted, and the next one's turn comes when all proxies have a governor.
func TestRestartGoesStepByStep(t *testing.T) {
	first, second := serve(t, &governor{}), serve(t, &governor{})
	var order []string
	err := Restart(context.Background(), []string{first.addr, second.addr}, 10*time.Second, func(_ context.Context, addr string) error {
		order = append(order, addr)
		return nil
	})
	if err != nil || !reflect.DeepEqual(order, []string{first.addr, second.addr}) {
		t.Errorf("%v, %v", order, err)
	}
	if want := []string{"show members", "retire on", "show members", "show members"}; !reflect.DeepEqual(first.asked, want) {
		t.Errorf("asked %q, want %q", first.asked, want)
	}
}

// TestRestartEndsWithTheStepThatFails, and a governor that was not restarted takes its part again.
func TestRestartEndsWithTheStepThatFails(t *testing.T) {
	broken := errors.New("no such unit")
	never := func(context.Context, string) error { return broken }
	unattended, stuck, fails := serve(t, &governor{nobody: 2}), serve(t, &governor{stuck: true}), serve(t, &governor{})
	for _, c := range []struct {
		g    *governor
		want string
	}{{unattended, "before its turn"}, {stuck, "handing on"}, {fails, "no such unit"}} {
		if err := Restart(context.Background(), []string{c.g.addr}, 50*time.Millisecond, never); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %q", err, c.want)
		}
	}
	if n := len(stuck.asked); stuck.retired || stuck.asked[n-1] != "retire off" {
		t.Errorf("a governor that could not hand on stays retired: %q", stuck.asked)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := Until(ctx, unattended.addr, time.Minute, Members.Attended); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
}
