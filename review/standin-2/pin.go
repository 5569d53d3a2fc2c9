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
func clients(proxies []*proxy, classes []string, perSecond int) (stop func()) {
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

// pinned is the part that the cases with a pinned table share: six ready servers, three proxies, and an operator who pins
// table 0 for 30 minutes. Then the last server drains, and leaves the list 5 s later.
type pinned struct {
	servers  []*server
	node     *server // the one that leaves
	proxies  []*proxy
	governor *governor
	told     time.Time // when the list named the node as draining
}

func startPinned(l *lab) *pinned {
	classes := []string{"slot-look", "slot-book"}
	c := &pinned{}
	for i := range 6 {
		c.servers = append(c.servers, startServer(l.rec, fmt.Sprintf("node-%02d", i+1)))
	}
	c.node = c.servers[len(c.servers)-1]
	var settings []string
	for i := range 3 {
		p := newProxy(l.rec, l.dir, fmt.Sprintf("hall%d", i+1), classes, c.servers)
		p.start()
		c.proxies = append(c.proxies, p)
		settings = append(settings, fmt.Sprintf(`{name: %q, zone: "salt-lake", addr: %q, visits: 20}`, p.name, p.path))
	}
	list := &listFile{rec: l.rec, path: l.dir + "/servers.json"}
	list.write("six servers ready", listedServers(c.servers, "ready"))
	g := newGovernor(l.rec, l.program, l.dir,
		fmt.Sprintf(settingsPin, strings.Join(settings, ", "), list.path, l.dir+"/op.sock", l.dir+"/store"))
	c.governor = g
	l.onEnd(g.stop)
	g.start()
	l.onEnd(clients(c.proxies, classes, 60))
	time.Sleep(8 * time.Second)
	g.mustAsk("table proxies")
	if answer := g.mustAsk("table pin 0 30m"); !strings.Contains(answer, "is pinned") {
		cannotRun("the table was not pinned: %s", answer)
	}
	time.Sleep(time.Second)
	c.told = list.write(c.node.name+" drains", listedServers(c.servers, "draining"))
	time.Sleep(5 * time.Second)
	list.write(c.node.name+" has left the list", listedServers(c.servers, ""))
	return c
}

// listedServers is the list in which the last server has the given state; "" leaves it out.
func listedServers(servers []*server, last string) (all []listed) {
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

// judge counts the requests that reached the node that left since the grace was over.
func (c *pinned) judge(l *lab, from time.Time) (broken bool) {
	c.governor.mustAsk("show servers")
	c.governor.mustAsk("show refusals")
	c.governor.mustAsk("table show 0")
	now := time.Now()
	late := c.node.between(from, now)
	for _, a := range late {
		l.rec.line("%s got %s of %s from %s, %.1f s after it was told to drain",
			c.node.name, a.id, a.class, a.via, a.at.Sub(c.told).Seconds())
	}
	all := 0
	for _, s := range c.servers {
		all += len(s.between(from, now))
	}
	l.rec.say("%d of %d requests went to %s, which drained and left the list, after the grace",
		len(late), all, c.node.name)
	return len(late) > 0
}

// playRestart: after the server has left, the governor is restarted as planned.
func playRestart(l *lab) (broken bool) {
	c := startPinned(l)
	time.Sleep(5 * time.Second)
	from := c.told.Add(drainGrace + socketSlack)
	if early := c.node.between(from, time.Now()); len(early) > 0 {
		l.rec.say("%d requests at %s after the grace, before any disruption", len(early), c.node.name)
	}
	if l.trouble {
		c.governor.stop()
		from = c.governor.start().Add(firstAnswer + drainGrace + socketSlack)
	}
	time.Sleep(20 * time.Second)
	return c.judge(l, from)
}

// proxyDown is within the 1.1 to 3.8 s after which front ends come back (BRIEF, bengal-bookings).
const proxyDown = 3 * time.Second

// playProxyDeath: after the server has left, one of the three proxies dies and comes back with the servers of its
// configuration file.
func playProxyDeath(l *lab) (broken bool) {
	c := startPinned(l)
	time.Sleep(25 * time.Second)
	from := c.told.Add(drainGrace + socketSlack)
	if early := c.node.between(from, time.Now()); len(early) > 0 {
		l.rec.say("%d requests at %s after the grace, before any disruption", len(early), c.node.name)
	}
	if l.trouble {
		l.rec.say("proxy %s dies", c.proxies[0].name)
		c.proxies[0].stop()
		time.Sleep(proxyDown)
		c.proxies[0].start()
		l.rec.say("proxy %s is back", c.proxies[0].name)
		from = time.Now().Add(firstAnswer + drainGrace + socketSlack)
	}
	time.Sleep(20 * time.Second)
	return c.judge(l, from)
}
