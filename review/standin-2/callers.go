package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cressknot/client"
	"cressknot/client/runtime"
)

const settingsCallers = `
name: "governor-1"
zones: ["salt-lake"]
classes: [
    {name: "slot-look", expected: "1500ms", hardStop: "5s", value: 3},
    {name: "slot-book", effect: "keyed", window: "5s", expected: "2s", hardStop: "5s", value: 2},
]
list: path: "%s"
operators: socket: "%s"
service: {text: "%s", visits: 60}
`

// program is one program that sends requests itself, with the project's Go library.
type program struct {
	name   string
	client *client.Client
}

// run sends requests until the context ends.
func (p *program) run(ctx context.Context, l *lab, number *atomic.Uint64, gap time.Duration) {
	for ctx.Err() == nil {
		if class, err := p.client.Class("slot-look"); err == nil {
			id := fmt.Sprint("r", number.Add(1))
			_ = p.client.Do(ctx, class, func(_ context.Context, attempt client.Attempt) client.Result {
				if !send(attempt.Server.Addr, "slot-look", id, p.name) {
					return client.Result{Outcome: client.Failed}
				}
				return client.Result{}
			})
		}
		time.Sleep(gap)
	}
}

// playCallers: forty programs of one zone use the library over the text protocol, without a name of their own. They
// start one after the other. The governor is restarted as planned; then a server drains.
func playCallers(l *lab) (broken bool) {
	const programs = 40
	var servers []*server
	for i := range 6 {
		servers = append(servers, startServer(l.rec, fmt.Sprintf("node-%02d", i+1)))
	}
	list := &listFile{rec: l.rec, path: l.dir + "/servers.json"}
	list.write("six servers ready", listedServers(servers, "ready"))
	text := l.dir + "/service.sock"
	g := newGovernor(l.rec, l.program, l.dir, fmt.Sprintf(settingsCallers, list.path, l.dir+"/op.sock", text))
	l.onEnd(g.stop)
	g.start()
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var number atomic.Uint64
	l.onEnd(func() { cancel(); running.Wait() })
	var all []*program
	for i := range programs {
		p := &program{name: fmt.Sprintf("program-%02d", i+1)}
		c, err := runtime.New(client.Config{Zone: "salt-lake", Controllers: []string{text},
			OnWatch: func(on bool, governor string) { l.rec.line("%s: watches %s: %v", p.name, governor, on) }})
		if err != nil {
			cannotRun("client: %v", err)
		}
		p.client = c
		l.onEnd(func() { _ = c.Close() })
		all = append(all, p)
		ready, stop := context.WithTimeout(ctx, 10*time.Second)
		if err := c.Ready(ready); err != nil {
			cannotRun("%s got no table: %v", p.name, err)
		}
		stop()
		running.Go(func() { p.run(ctx, l, &number, 400*time.Millisecond) })
		time.Sleep(550 * time.Millisecond)
	}
	l.rec.say("%d programs have a table", len(all))
	time.Sleep(2 * time.Second)
	var answered time.Time
	if l.trouble {
		g.stop()
		answered = g.start()
	}
	time.Sleep(time.Second)
	node := servers[len(servers)-1]
	told := list.write(node.name+" drains", listedServers(servers, "draining"))
	from := told.Add(drainGrace + socketSlack)
	if later := answered.Add(firstAnswer + drainGrace + socketSlack); l.trouble && later.After(from) {
		from = later
	}
	time.Sleep(25 * time.Second)
	g.mustAsk("show servers")
	late := node.between(from, time.Now())
	via := map[string]bool{}
	for _, a := range late {
		via[a.via] = true
		l.rec.line("%s got %s of %s from %s, %.1f s after it was told to drain", node.name, a.id, a.class, a.via, a.at.Sub(told).Seconds())
	}
	var names []string
	for name := range via {
		names = append(names, name)
	}
	l.rec.say("%d requests of %d programs went to %s after the grace: %s", len(late), len(names), node.name, strings.Join(names, " "))
	return len(late) > 0
}
