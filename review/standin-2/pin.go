package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// Limits of the pages: drainGrace (docs/operate/settings.md and the schema, 3 s), 0.3 s more, counted no sooner than
// 1 s after the governor first answered (PROTOCOL.md).
const (
	drainGrace  = 3 * time.Second
	socketSlack = 300 * time.Millisecond
	firstAnswer = time.Second
)

const settingsPin = `
name: "governor-1"
zones: ["salt-lake"]
classes: [
    {name: "slot-look", expected: "1500ms", hardStop: "5s", value: 3},
    {name: "slot-book", effect: "keyed", window: "5s", expected: "2s", hardStop: "5s", value: 2},
]
proxies: [%s]
list: path: "%s"
operators: socket: "%s"
store: folder: "%s"
`

// clients sends requests of both classes through the proxies until stopped.
func clients(rec *record, proxies []*proxy, classes []string, perSecond int) (stop func()) {
	done := make(chan struct{})
	var number atomic.Uint64
	go func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				n := number.Add(1)
				go proxies[n%uint64(len(proxies))].request(classes[n/uint64(len(proxies))%uint64(len(classes))], fmt.Sprint("r", n))
			}
		}
	}()
	return func() { close(done) }
}

// playPin: an operator pins a table; a server of that table is drained and leaves the list; then the governor is
// restarted as planned. No proxy may send to that server once the grace is over.
func playPin(l *lab) (broken bool) {
	classes := []string{"slot-look", "slot-book"}
	var servers []*server
	for i := range 6 {
		s := startServer(l.rec, fmt.Sprintf("node-%02d", i+1))
		servers = append(servers, s)
	}
	var proxies []*proxy
	var settings []string
	for i := range 3 {
		p := newProxy(l.rec, l.dir, fmt.Sprintf("hall%d", i+1), classes, servers)
		p.start()
		proxies = append(proxies, p)
		settings = append(settings, fmt.Sprintf(`{name: %q, zone: "salt-lake", addr: %q, visits: 20}`, p.name, p.path))
	}
	list := &listFile{rec: l.rec, path: l.dir + "/servers.json"}
	entries := func(last string) (all []listed) {
		for i, s := range servers {
			state := "ready"
			if i == len(servers)-1 {
				state = last
			}
			if state != "" {
				all = append(all, listed{Name: s.name, Addr: s.addr, Zone: "salt-lake", State: state})
			}
		}
		return all
	}
	list.write("six servers ready", entries("ready"))
	g := newGovernor(l.rec, l.program, l.dir,
		fmt.Sprintf(settingsPin, strings.Join(settings, ", "), list.path, l.dir+"/op.sock", l.dir+"/store"))
	l.onEnd(g.stop)
	g.start()
	l.onEnd(clients(l.rec, proxies, classes, 60))
	time.Sleep(8 * time.Second)
	g.mustAsk("table proxies")
	if answer := g.mustAsk("table pin 0 30m"); !strings.Contains(answer, "is pinned") {
		cannotRun("the table was not pinned: %s", answer)
	}
	time.Sleep(time.Second)

	node := servers[len(servers)-1]
	told := list.write(node.name+" drains", entries("draining"))
	time.Sleep(5 * time.Second)
	list.write(node.name+" has left the list", entries(""))
	time.Sleep(5 * time.Second)
	if early := node.between(told.Add(drainGrace+socketSlack), time.Now()); len(early) > 0 {
		l.rec.say("%d requests at %s after the grace, before any disruption", len(early), node.name)
	}
	from := told.Add(drainGrace + socketSlack)
	if l.trouble {
		g.stop()
		answered := g.start()
		if later := answered.Add(firstAnswer + drainGrace + socketSlack); later.After(from) {
			from = later
		}
	}
	time.Sleep(20 * time.Second)
	g.mustAsk("show servers")
	g.mustAsk("show refusals")
	g.mustAsk("table show 0")
	late := node.between(from, time.Now())
	for _, a := range late {
		l.rec.line("%s got %s of %s from %s, %.1f s after it was told to drain", node.name, a.id, a.class, a.via, a.at.Sub(told).Seconds())
	}
	answeredCount := 0
	for _, s := range servers {
		answeredCount += len(s.between(from, time.Now()))
	}
	l.rec.say("%d of %d requests went to %s, which drained and left the list, after the grace", len(late), answeredCount, node.name)
	return len(late) > 0
}
