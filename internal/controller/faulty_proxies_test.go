package controller_test

import (
	"context"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/testing/invariants"
	"cressknot/internal/transport"
	"cressknot/internal/transport/haproxy"
)

// TestFaultyProxiesAreReportedByReason connects to proxies that send garbage, report another proxy's name or lack the
// map, and to one that does not exist. Each must be reported with its reason, and a working proxy next to them must be
// served.
func TestFaultyProxiesAreReportedByReason(t *testing.T) {
	dir := t.TempDir()
	scriptedProxy := func(name, answer string) transport.Proxy {
		path := filepath.Join(dir, name+".sock")
		l, err := net.Listen("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = c.Close() }()
					if answer == "" {
						_, _ = c.Read(make([]byte, 1))
						time.Sleep(time.Minute)
						return
					}
					_, _ = c.Write([]byte(answer))
					_, _ = c.Read(make([]byte, 1<<16))
					<-time.After(time.Second)
				}()
			}
		}()
		return transport.Proxy{Name: name, Addr: path}
	}
	working := newProxy(t, dir, "sound", invariants.NewWatch(), 3)
	if err := working.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(working.Stop)
	state := "1\n# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_port\n\n"
	proxies := []transport.Proxy{
		scriptedProxy("garbage", "\n> HTTP/1.1 400 Bad request\n\n"),
		scriptedProxy("half", "\n> node: half\n\n> 1\n# be_id srv_id\n\n"),
		scriptedProxy("twin", "\n> node: sound\n\n"),
		scriptedProxy("bare", "\n> node: bare\n\n> "+state+"> Unknown map identifier. Please use #<id> or <file>.\n\n"),
		scriptedProxy("chatty", "\n> node: chatty\n\n> "+state+"> \n> what\n\n"),
		{Name: "sound", Addr: working.Runtime},
		{Name: "nobody", Addr: filepath.Join(dir, "nobody.sock")},
	}
	for i := range proxies {
		proxies[i].ID = fleet.ProxyID(i)
	}
	sim := newSimulatedFleet(t)
	sim.transport = haproxy.New(haproxy.Options{
		Proxies: proxies,
		Classes: []transport.Class{{Name: backend, Backend: backend}},
		Map:     "cressknot",
		Names:   sim.names,
	})
	if err := sim.transport.Start(context.Background(), func(e transport.Event) { sim.events <- e }); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = sim.transport.Stop(context.Background()) }()
	want := map[fleet.ProxyID]string{0: "expected \"name: value\"", 1: "header has no column \"be_name\"",
		2: "reports the name \"sound\", want \"twin\"", 3: "has no map cressknot",
		4: "unexpected answer without an outstanding command", 6: "no such file"}
	if p := proxies[0]; p.Name != "garbage" {
		t.Fatal(p)
	}
	want[0] = "answer to" // the rest of the text depends on which part is read first
	sim.waitUntil("each reported", func() bool {
		for id, text := range want {
			if !strings.Contains(sim.lastErrors[id], text) {
				return false
			}
		}
		return sim.joins[5] == 1
	})
	if got := working.EntryState(backend, "n1"); got != "100 ready" {
		t.Errorf("the working proxy holds %q for n1, want \"100 ready\"", got)
	}
}
