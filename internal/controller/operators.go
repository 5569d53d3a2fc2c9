package controller

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
)

const (
	answerWithin = 2 * time.Second // for a question of staff: some turns of a busy governor
	idleClose    = 10 * time.Minute
)

// Operators serves the operators' socket: the runtime API's text protocol, with the commands that "help" lists.
type Operators struct {
	loop     *Loop
	version  string
	engine   *nbio.Engine
	sessions sync.Map // *nbio.Conn to *runtimeapi.Session
	path     string
}

// ServeOperators listens on a Unix socket of mode 0600, or on host:port.
func ServeOperators(loop *Loop, addr, version string) (*Operators, error) {
	o := &Operators{loop: loop, version: version}
	logging.SetLevel(logging.LevelNone) // the library's own log; what matters comes as errors
	network := "tcp"
	if strings.Contains(addr, "/") {
		network, o.path = "unix", addr
	}
	o.engine = nbio.NewEngine(nbio.Config{Name: "operators", Network: network, Addrs: []string{addr}, NPoller: 1,
		Listen: haproxyapi.Listen})
	o.engine.OnOpen(func(c *nbio.Conn) {
		o.sessions.Store(c, &haproxyapi.Session{Answer: o.answer})
		_ = c.SetReadDeadline(time.Now().Add(idleClose))
	})
	o.engine.OnData(func(c *nbio.Conn, data []byte) {
		held, ok := o.sessions.Load(c)
		if !ok {
			c.Close()
			return
		}
		s := held.(*haproxyapi.Session)
		_ = c.SetReadDeadline(time.Now().Add(idleClose))
		reply, done := s.Feed(data)
		_, _ = c.Write(reply)
		if done {
			c.Close()
		}
	})
	o.engine.OnClose(func(c *nbio.Conn, _ error) { o.sessions.Delete(c) })
	if err := o.engine.Start(); err != nil {
		return nil, fmt.Errorf("operators' socket %s: %w", addr, err)
	}
	return o, nil
}

// Close ends it.
func (o *Operators) Close() {
	o.engine.Stop()
	if o.path != "" {
		os.Remove(o.path)
	}
}

type command struct {
	words []string
	help  string
	do    func(o *Operators, c *Core, args []string) string
	sets  bool // what has to last: the answer waits until it is kept
}

var commands []command

func init() { // "help" reads the table that it stands in
	commands = []command{
		{[]string{"show", "info"}, "the governor: version, clock, counters, time of decisions", (*Operators).showInfo, false},
		{[]string{"show", "servers"}, "listed servers: state, health as the module logged it, weights", (*Operators).showServers, false},
		{[]string{"show", "tables"}, "lines of all tables, with the weight that proxies are sent", (*Operators).showTables, false},
		{[]string{"show", "proxies"}, "proxies: stream, tables, what waits for them", (*Operators).showProxies, false},
		{[]string{"show", "orders"}, "the latest orders, oldest first", (*Operators).showOrders, false},
		{[]string{"show", "doubts"}, "servers of a kept list that the list's source has not confirmed yet", (*Operators).showDoubts, false},
		{[]string{"show", "reports"}, "[stale]: servers as sources: what is made of their silence, age, load, trust", (*Operators).showReports, false},
		{[]string{"show", "intake"}, "where reports went: sums, what was thinned, shed or not believed", (*Operators).showIntake, false},
		{[]string{"show", "series"}, "<server> [minutes]: what proxies met there, a row a minute", (*Operators).showSeries, false},
		{[]string{"top", "servers"}, "age|load|failures [n]: the servers that stand out", (*Operators).topServers, false},
		{[]string{"show", "log"}, "the latest log lines, oldest first", (*Operators).showLog, false},
		{[]string{"explain"}, "<server>: its weights and the reasons that were logged", (*Operators).explain, false},
		{[]string{"get", "weight"}, "<server>: its weight in each table", (*Operators).getWeight, false},
		{[]string{"show", "refusals"}, "what the guard holds back now, and what is set by hand", (*Operators).showRefusals, false},
		{[]string{"set", "weight"}, "<table>/<server> <0-256>: set a line by hand for 5 minutes", (*Operators).setWeight, true},
		{[]string{"clear", "weight"}, "<table>/<server>: let the module's weight count again", (*Operators).clearWeight, true},
		{[]string{"table"}, "history|show|diff|rollback|pin|unpin T ..., proxies: versions of a table", (*Operators).tableCommand, true},
		{[]string{"show", "members"}, "[proxies]: governors that share the proxies, and who serves which", (*Operators).showMembers, false},
		{[]string{"show", "peers"}, "other governors that are heard, and what their news change", (*Operators).showPeers, false},
		{[]string{"take"}, "<proxy> on|off: have a proxy by hand, whoever should by the plan, or end that", (*Operators).take, false},
		{[]string{"retire"}, "on|off: hand all proxies on to other governors, or take its part again", (*Operators).retire, false},
		{[]string{"help"}, "this list", func(o *Operators, c *Core, _ []string) string { return helpText() }, false},
	}
}

func helpText() string {
	var b strings.Builder
	for _, c := range commands {
		fmt.Fprintf(&b, "  %-14s : %s\n", strings.Join(c.words, " "), c.help)
	}
	b.WriteString("  prompt [n|i|p] : leave or enter interactive mode\n  quit           : close the connection\n")
	return b.String()
}

func (o *Operators) answer(c haproxyapi.Command) []byte {
	for _, known := range commands {
		n := len(known.words)
		if len(c.Words) < n || !slices.Equal(c.Words[:n], known.words) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), answerWithin)
		defer cancel()
		var text string
		if err := o.loop.Ask(ctx, func(core *Core) { text = known.do(o, core, c.Words[n:]) }); err != nil {
			return fmt.Appendln(nil, err)
		}
		if known.sets {
			if err := o.loop.Kept(ctx); err != nil {
				text += fmt.Sprintf("It holds while this governor runs, but is not kept on disk: %v.\n", err)
			}
		}
		return []byte(text)
	}
	return fmt.Appendf(nil, "%s'%s'. Known are:\n%s", haproxyapi.UnknownPrefix, strings.Join(c.Words, " "), helpText())
}

func (o *Operators) showInfo(c *Core, _ []string) string {
	lines, messages, changes, folded := c.plane.Counters()
	took, turns := o.loop.Took(50, 99, 100)
	now := o.loop.now()
	passed, stopped := c.guard.Counts()
	versions, changed, whole := 0, 0, 0
	waiting, _ := c.intake.Waiting(now)
	for _, id := range c.plane.TableIDs() {
		if book := c.plane.TableVersions(id); book != nil {
			for _, d := range book.History()[min(1, len(book.History())):] { // the first is the whole
				versions, changed, whole = versions+1, changed+len(d.Entries), whole+book.Len()
			}
		}
	}
	var b strings.Builder
	for _, p := range [][2]any{{"Name", "cressknot"}, {"Version", o.version}, {"Pid", os.Getpid()},
		{"Uptime_sec", int64((now - c.started) / fleet.Second)}, {"Servers", len(c.entries)}, {"List_rev", c.rev},
		{"List_age_ms", int64((now - c.listed) / fleet.Millisecond)}, {"Proxies_up", len(c.streams)},
		{"Proxies_all", len(c.proxies)}, {"Turns", turns}, {"Steps", c.steps}, {"Turn_p50_us", took[0] / 1000},
		{"Turn_p99_us", took[1] / 1000}, {"Turn_most_us", took[2] / 1000}, {"Lines_waiting", int64(c.plane.Backlog())},
		{"Lines_sent", lines}, {"Messages_sent", messages}, {"Changes_sent", changes}, {"Lines_replaced", folded},
		{"Reports_waiting", waiting}, {"Versions", versions}, {"Delta_share_percent", fmt.Sprintf("%.1f", 100*float64(changed)/float64(max(1, whole)))}, {"Guard_passed", passed}, {"Guard_stopped", stopped}, {"Counter_resets", c.intake.Resets()}, {"Readings_folded", o.loop.Folded()}} {
		fmt.Fprintf(&b, "%s: %v\n", p[0], p[1])
	}
	return b.String()
}

var stateWords = map[fleet.ServerState]string{fleet.ServerReady: "ready", fleet.ServerDraining: "draining", fleet.ServerGone: "gone"}

func (o *Operators) showServers(c *Core, _ []string) string {
	var b strings.Builder
	b.WriteString("# name addr zone state age_s withdrawn weights\n")
	weights := map[fleet.ServerID][]string{}
	for _, l := range c.plane.Entries() {
		weights[l.Server] = append(weights[l.Server], fmt.Sprintf("%d=%d", l.Table, l.Published))
	}
	var ids []fleet.ServerID
	for id := range c.entries {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b fleet.ServerID) int {
		x, _ := c.names.Of(a)
		y, _ := c.names.Of(b)
		return strings.Compare(x, y)
	})
	for _, id := range ids {
		e := c.entries[id]
		name, addr := c.names.Of(id)
		age := "-"
		if e.Started > 0 {
			age = strconv.FormatInt(int64((o.loop.now()-e.Started)/fleet.Second), 10)
		}
		fmt.Fprintf(&b, "%s %s %s %s %s %v %s\n", name, addr, c.site.Zones[e.Zone], stateWords[e.State], age,
			c.plane.Withdrawn(id), cmp.Or(strings.Join(weights[id], ","), "-"))
	}
	return b.String()
}

func (o *Operators) showTables(c *Core, _ []string) string {
	var b strings.Builder
	b.WriteString("# table server weight published withdrawn\n")
	for _, l := range c.plane.Entries() {
		name, _ := c.names.Of(l.Server)
		fmt.Fprintf(&b, "%d %s %.4f %d %v\n", l.Table, name, l.Weight, l.Published, l.Withdrawn)
	}
	return b.String()
}

func (o *Operators) showProxies(c *Core, _ []string) string {
	var b strings.Builder
	b.WriteString("# name zone addr stream tables lines_held lines_waiting messages_unanswered messages_written answered_ms\n")
	up := map[fleet.ProxyID]bool{}
	for _, v := range c.plane.Proxies() {
		up[v.ID] = true
		var on []string
		for i, t := range v.Tables {
			if v.Assigned[i] {
				on = append(on, fmt.Sprintf("%s=%d", c.site.Classes[i].Name, t))
			}
		}
		p := c.proxies[v.ID]
		fmt.Fprintf(&b, "%s %s %s up %s %d %d %d %d %.1f\n", p.Name, c.site.Zones[v.Zone], p.Addr,
			cmp.Or(strings.Join(on, ","), "own"), v.Entries, v.Waiting, v.InFlight, v.Written,
			float64(v.AnswerDelay)/float64(fleet.Millisecond))
	}
	var down []string
	for id, p := range c.proxies {
		if !up[id] {
			down = append(down, fmt.Sprintf("%s %s %s down - - - - - -\n", p.Name, c.site.Zones[p.Zone], p.Addr))
		}
	}
	slices.Sort(down)
	return b.String() + strings.Join(down, "")
}

func stamp(t fleet.Time) string {
	return time.Unix(0, int64(t)).UTC().Format("2006-01-02T15:04:05.000Z")
}

func (o *Operators) showOrders(c *Core, _ []string) string {
	var b strings.Builder
	for _, l := range c.orders {
		fmt.Fprintf(&b, "%s %s\n", stamp(l.At), l.Text)
	}
	return b.String()
}

func (o *Operators) showLog(c *Core, _ []string) string {
	var b strings.Builder
	for _, l := range c.logs {
		fmt.Fprintf(&b, "%s %s %s: %s\n", stamp(l.At), l.Level, l.From, l.Text)
	}
	return b.String()
}

func (o *Operators) explain(c *Core, args []string) string {
	if len(args) != 1 {
		return "'explain' expects one server's name.\n"
	}
	id, ok := c.names.Server(args[0])
	if !ok {
		return haproxyapi.NoServer
	}
	var b strings.Builder
	name, addr := c.names.Of(id)
	e, listed := c.entries[id]
	switch {
	case !listed:
		fmt.Fprintf(&b, "%s (%s) is not listed: visits are kept from it.\n", name, addr)
	default:
		fmt.Fprintf(&b, "%s (%s) is listed as %s in %s.\n", name, addr, stateWords[e.State], c.site.Zones[e.Zone])
		if warm := e.Started + c.site.SlowStart.Duration; e.Started > 0 && o.loop.now() < warm {
			fmt.Fprintf(&b, "It is cold for %.1f s more and bounded to what a cold server surely can do.\n",
				(warm - o.loop.now()).Seconds())
		}
	}
	if c.plane.Withdrawn(id) {
		b.WriteString("It is withdrawn from all proxies.\n")
	}
	lines := 0
	for _, l := range c.plane.Entries() {
		if l.Server == id {
			lines++
			fmt.Fprintf(&b, "Table %d: weight %.4f, sent as %d.\n", l.Table, l.Weight, l.Published)
		}
	}
	if lines == 0 {
		b.WriteString("It stands in no table.\n")
	}
	tries, failed := c.intake.Heard(id)
	fmt.Fprintf(&b, "Reports that wait to be heard: %d tries, %d without a good answer.\n", tries, failed)
	reasons := c.reasons(name)
	for _, l := range reasons {
		fmt.Fprintf(&b, "%s %s: %s\n", stamp(l.At), l.From, l.Text)
	}
	if len(reasons) == 0 {
		b.WriteString("No line of the log names it.\n")
	}
	return b.String()
}

func (o *Operators) getWeight(c *Core, args []string) string {
	if len(args) != 1 {
		return "'get weight' expects one server's name.\n"
	}
	id, ok := c.names.Server(args[0])
	if !ok {
		return haproxyapi.NoServer
	}
	var b strings.Builder
	for _, l := range c.plane.Entries() {
		if l.Server == id {
			fmt.Fprintf(&b, "%d: %d (initial 1)\n", l.Table, l.Published)
		}
	}
	return cmp.Or(b.String(), "In no table.\n")
}
