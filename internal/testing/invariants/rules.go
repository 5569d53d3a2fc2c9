// Package invariants judges the five rules from what stand-in proxies and nodes saw on their sockets, and from what the
// list service answered. It never reads a governor's own records. Stand-ins write into a Watch while they run;
// Judge works it out afterwards.
package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Effect says what running a visit twice would do.
type Effect uint8

// The effects.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Class is what the rules know of a class.
type Class struct {
	Name   string
	Effect Effect
	Window time.Duration // keyed
}

// Figures are the numbers behind the rules.
type Figures struct {
	Classes      []Class
	Bare         time.Duration // a joined proxy may lack a line for a class so long
	Grace        time.Duration // for drains, and until a governor counts as knowing of a start
	ColdFor      time.Duration
	ColdFrom     float64
	FallFactor   float64
	FallFor      time.Duration
	LinesPerS    float64 // of each governor's channel
	Backlog      float64
	Head         float64
	Messages     int // to one proxy within MessagesOver; 0: no limit
	MessagesOver time.Duration
	Slack        time.Duration // of a loaded machine: stand-ins look at their clocks that much late
}

// What a node or proxy saw. Times are since the watch's start.
type (
	bareSpan struct {
		proxy, class string
		from, to     time.Duration // to: 0 while it lasts
	}
	session struct {
		proxy    string
		from, to time.Duration
	}
	arrival struct {
		at     time.Duration // sent by the proxy
		node   string
		proxy  string
		class  string
		visit  uint64
		try    int
		mayRan bool // an earlier try of this visit may have run
	}
	run struct {
		at    time.Duration
		node  string
		visit uint64
		class string
	}
	telling struct {
		at       time.Duration
		governor string
		node     string
		state    string // ready, draining, gone
		started  time.Duration
		cold     bool // started tells of a start since the watch began
	}
	message struct {
		at    time.Duration
		proxy string
		lines int
	}
	fall struct {
		at    time.Duration
		node  string
		by    map[string]float64 // work by proxy in the window that pushed it over
		start time.Duration
	}
)

// Watch gathers observations; all its methods may be called from any goroutine.
type Watch struct {
	start    time.Time
	mu       sync.Mutex
	owners   map[string][]ownership // of a proxy, in time
	epochs   map[string]uint64      // of the latest governor whose command a proxy followed
	orders   int
	mixed    []Break // commands of a governor after those of a later one
	versions int
	backs    []Break
	bare     []bareSpan
	open     map[[2]string]int // index of the bare span that lasts
	sessions []session
	live     map[string]int
	arrivals []arrival
	runs     []run
	tellings []telling
	told     map[[2]string]telling
	messages []message
	falls    []fall
	coldWork int // visits at cold nodes
	lookups  int // how often a table was found with or without a line
}

// NewWatch begins a watch.
func NewWatch() *Watch {
	return &Watch{start: time.Now(), owners: map[string][]ownership{}, epochs: map[string]uint64{}, open: map[[2]string]int{}, live: map[string]int{},
		told: map[[2]string]telling{}}
}

func (w *Watch) now() time.Duration { return time.Since(w.start) }

// Owner says which governor serves a proxy.
func (w *Watch) Owner(proxy, governor string) {
	w.mu.Lock()
	w.owners[proxy] = append(w.owners[proxy], ownership{w.now(), governor})
	w.mu.Unlock()
}

type ownership struct {
	at       time.Duration
	governor string
}

// owner gives the governor that served a proxy at a time.
func (w *Watch) owner(proxy string, at time.Duration) (governor string) {
	for i, o := range w.owners[proxy] {
		if i == 0 || o.at <= at {
			governor = o.governor
		}
	}
	return governor
}

// Ordered tells that a proxy followed a command of a governor that serves it since an epoch, where several could.
func (w *Watch) Ordered(proxy, governor string, epoch uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders++
	if last := w.epochs[proxy]; epoch < last {
		w.mixed = append(w.mixed, Break{RuleOne, w.now(), fmt.Sprintf("proxy %s followed governor %s of epoch %d after one of epoch %d", proxy, governor, epoch, last)})
	}
	w.epochs[proxy] = max(w.epochs[proxy], epoch)
}

// Lines tells whether a proxy has a line to pick for a class now.
func (w *Watch) Lines(proxy, class string, hasLine bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lookups++
	k := [2]string{proxy, class}
	i, lasts := w.open[k]
	switch {
	case hasLine && lasts:
		w.bare[i].to = max(w.now(), 1)
		delete(w.open, k)
	case !hasLine && !lasts:
		w.open[k] = len(w.bare)
		w.bare = append(w.bare, bareSpan{proxy: proxy, class: class, from: w.now()})
	}
}

// Joined and Parted tell when a governor's session at a proxy stands.
func (w *Watch) Joined(proxy string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.part(proxy)
	w.live[proxy] = len(w.sessions)
	w.sessions = append(w.sessions, session{proxy: proxy, from: w.now()})
}

// Parted ends the session that stands.
func (w *Watch) Parted(proxy string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.part(proxy)
}

func (w *Watch) part(proxy string) {
	if i, ok := w.live[proxy]; ok {
		w.sessions[i].to = w.now()
		delete(w.live, proxy)
	}
}

// Unattended gives how long proxies were without a governor's session between two, sorted.
func (w *Watch) Unattended() (gaps []time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := map[string]time.Duration{}
	for _, s := range w.sessions {
		if to, was := last[s.proxy]; was && to > 0 {
			gaps = append(gaps, s.from-to)
		}
		last[s.proxy] = s.to
	}
	slices.Sort(gaps)
	return gaps
}

// Message tells of the lines of one message that a proxy read.
func (w *Watch) Message(proxy string, lines int) {
	w.mu.Lock()
	w.messages = append(w.messages, message{w.now(), proxy, lines})
	w.mu.Unlock()
}

// Sent tells of a try that a proxy sends.
func (w *Watch) Sent(proxy, node, class string, visit uint64, try int, mayHaveRun bool) {
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{w.now(), node, proxy, class, visit, try, mayHaveRun})
	w.mu.Unlock()
}

// Cold tells that a visit came to a cold node.
func (w *Watch) Cold() {
	w.mu.Lock()
	w.coldWork++
	w.mu.Unlock()
}

// Ran tells that a node ran a visit's effect.
func (w *Watch) Ran(node, class string, visit uint64) {
	w.mu.Lock()
	w.runs = append(w.runs, run{w.now(), node, visit, class})
	w.mu.Unlock()
}

// Told tells what the list service answered a governor about a node. Started is zero for long ago.
func (w *Watch) Told(governor, node, state string, started time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := telling{at: w.now(), governor: governor, node: node, state: state}
	if !started.IsZero() {
		t.started, t.cold = started.Sub(w.start), true
	}
	k := [2]string{governor, node}
	if old, ok := w.told[k]; ok && old.state == t.state && old.started == t.started {
		return
	}
	w.told[k] = t
	w.tellings = append(w.tellings, t)
}

// ToldSince gives when a proxy's governor was first told, since a moment, that a node is not ready.
func (w *Watch) ToldSince(proxy, node string, since time.Time) (at time.Time, told bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tellings {
		if t.governor == w.owner(proxy, t.at) && t.node == node && t.state != "ready" && t.at >= since.Sub(w.start) {
			return w.start.Add(t.at), true
		}
	}
	return time.Time{}, false
}

// Fell tells that a cold node was pushed over, and whose work did it.
func (w *Watch) Fell(node string, started time.Time, by map[string]float64) {
	w.mu.Lock()
	w.falls = append(w.falls, fall{w.now(), node, by, started.Sub(w.start)})
	w.mu.Unlock()
}

// Break is one break of a rule.
type Break struct {
	Rule string
	At   time.Duration
	What string
}

// Verdict is a rule, how much it was tried and how it broke.
type Verdict struct {
	Rule   string  `json:"rule"`
	Tried  int     `json:"tried"`  // how often the rule was put to the test
	Seen   string  `json:"seen"`   // the nearest that it came to breaking
	Breaks []Break `json:"breaks"` // none: kept
}

// Names of the rules.
const (
	RuleBare  = "nobody left without a server"
	RuleTwice = "no effect twice"
	RuleDrain = "drains kept"
	RuleCold  = "no cold server pushed over"
	RuleQueue = "a short queue"
	RuleOne   = "one governor at a time" // judged where several may serve a proxy
	RuleBack  = "versions never go back" // of a table at a proxy
)

// Judge judges what was seen until now.
func (w *Watch) Judge(f Figures) []Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := []Verdict{w.judgeBare(f), w.judgeTwice(f), w.judgeDrain(f), w.judgeCold(f), w.judgeQueue(f)}
	if w.orders > 0 {
		all = append(all, Verdict{Rule: RuleOne, Tried: w.orders, Breaks: w.mixed, Seen: fmt.Sprintf("%d commands at %d proxies", w.orders, len(w.epochs))})
	}
	if w.versions > 0 {
		all = append(all, Verdict{Rule: RuleBack, Tried: w.versions, Breaks: w.backs, Seen: fmt.Sprintf("%d versions told", w.versions)})
	}
	return all
}

// Version tells that a proxy was told a version, and whether it is older than the one before.
func (w *Watch) Version(proxy, key, version string, older bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.versions++; older {
		w.backs = append(w.backs, Break{RuleBack, w.now(), fmt.Sprintf("proxy %s: %s went back to %s", proxy, key, version)})
	}
}

// history gives what a governor was told of a node, in order.
func (w *Watch) history(governor, node string) []telling {
	var h []telling
	for _, t := range w.tellings {
		if t.governor == governor && t.node == node {
			h = append(h, t)
		}
	}
	return h
}

// warmReady gives the stretches of [from, to) in which the governor's list showed a warm, ready node.
func (w *Watch) warmReady(governor string, from, to time.Duration, f Figures) (longest time.Duration) {
	nodes := map[string]bool{}
	for _, t := range w.tellings {
		if t.governor == governor {
			nodes[t.node] = true
		}
	}
	const step = 50 * time.Millisecond
	covered := time.Duration(0)
	histories := [][]telling{}
	for n := range nodes {
		histories = append(histories, w.history(governor, n))
	}
	for at := from; at < to; at += step {
		found := false
		for _, h := range histories {
			i, _ := slices.BinarySearchFunc(h, at, func(t telling, at time.Duration) int { return cmp.Compare(t.at, at) })
			if i == 0 {
				continue
			}
			t := h[i-1]
			if t.state == "ready" && (!t.cold || at >= t.started+f.ColdFor) {
				found = true
				break
			}
		}
		if covered += step; !found {
			covered = 0
		}
		longest = max(longest, covered)
	}
	return longest
}

func (w *Watch) judgeBare(f Figures) Verdict {
	v := Verdict{Rule: RuleBare, Tried: w.lookups}
	end, most, where := w.now(), time.Duration(0), ""
	for _, b := range w.bare {
		to := cmp.Or(b.to, end)
		for _, s := range w.sessions {
			if s.proxy != b.proxy {
				continue
			}
			from, until := max(b.from, s.from), min(to, cmp.Or(s.to, end))
			if until <= from {
				continue
			}
			lacked := w.warmReady(w.owner(b.proxy, from), from, until, f)
			if lacked > most {
				most, where = lacked, fmt.Sprintf(" (%s, %s, at %.2f s)", b.proxy, b.class, from.Seconds())
			}
			if lacked > f.Bare+f.Slack {
				v.Breaks = append(v.Breaks, Break{v.Rule, from, fmt.Sprintf(
					"proxy %s had no line for %s for %.2f s while a warm server was listed", b.proxy, b.class, lacked.Seconds())})
			}
		}
	}
	v.Seen = fmt.Sprintf("longest without a line %.3f s of %.2f s%s; %d spans", most.Seconds(), f.Bare.Seconds(), where, len(w.bare))
	return v
}

func (w *Watch) judgeTwice(f Figures) Verdict {
	v := Verdict{Rule: RuleTwice}
	class := map[string]Class{}
	for _, c := range f.Classes {
		class[c.Name] = c
	}
	first := map[uint64]run{}
	again := 0
	for _, r := range w.runs {
		c := class[r.class]
		if c.Effect == Safe {
			continue
		}
		v.Tried++
		old, seen := first[r.visit]
		if !seen {
			first[r.visit] = r
			continue
		}
		again++
		if c.Effect == Unsafe || r.at > old.at+c.Window {
			v.Breaks = append(v.Breaks, Break{v.Rule, r.at, fmt.Sprintf("visit %d of class %s ran at %s and again at %s %.2f s later",
				r.visit, r.class, old.node, r.node, (r.at - old.at).Seconds())})
		}
	}
	repeats := 0
	sent := map[uint64]time.Duration{}
	for _, a := range w.arrivals {
		c := class[a.class]
		if a.try == 0 && c.Effect == Keyed {
			sent[a.visit] = a.at
		}
		if a.try == 0 {
			continue
		}
		repeats++
		if c.Effect == Unsafe && a.mayRan || c.Effect == Keyed && a.mayRan && a.at > sent[a.visit]+c.Window {
			v.Breaks = append(v.Breaks, Break{v.Rule, a.at, fmt.Sprintf(
				"proxy %s sent visit %d of class %s again after a try that may have run", a.proxy, a.visit, a.class)})
		}
	}
	v.Seen = fmt.Sprintf("%d effects, %d repeated tries, %d effects again inside their window", len(first), repeats, again)
	return v
}

func (w *Watch) judgeDrain(f Figures) Verdict {
	v := Verdict{Rule: RuleDrain}
	type span struct{ from, to time.Duration }
	shut := map[[2]string][]span{}
	end := w.now()
	for _, t := range w.tellings {
		k := [2]string{t.governor, t.node}
		spans := shut[k]
		if open := len(spans) > 0 && spans[len(spans)-1].to == 0; t.state == "ready" && open {
			spans[len(spans)-1].to = t.at
		} else if t.state != "ready" && !open {
			spans = append(spans, span{from: t.at})
			v.Tried++
		}
		shut[k] = spans
	}
	joined := map[string][]session{}
	for _, s := range w.sessions {
		joined[s.proxy] = append(joined[s.proxy], s)
	}
	latest := time.Duration(0)
	for _, a := range w.arrivals {
		for _, sp := range shut[[2]string{w.owner(a.proxy, a.at), a.node}] {
			if a.at < sp.from || a.at >= cmp.Or(sp.to, end) {
				continue
			}
			for _, s := range joined[a.proxy] {
				if a.at < s.from || a.at >= cmp.Or(s.to, end) {
					continue
				}
				late := a.at - max(sp.from, s.from)
				latest = max(latest, late)
				if late > f.Grace+f.Slack {
					v.Breaks = append(v.Breaks, Break{v.Rule, a.at, fmt.Sprintf("proxy %s sent to %s %.2f s after its governor knew",
						a.proxy, a.node, late.Seconds())})
				}
			}
		}
	}
	v.Seen = fmt.Sprintf("%d drains and losses told; last visit %.2f s after, of %.2f s", v.Tried, latest.Seconds(), f.Grace.Seconds())
	return v
}

func (w *Watch) judgeCold(f Figures) Verdict {
	v := Verdict{Rule: RuleCold, Tried: w.coldWork}
	for _, fall := range w.falls {
		all, knowing := 0.0, 0.0
		for proxy, work := range fall.by {
			all += work
			last := time.Duration(-1) // message to this proxy
			for _, m := range w.messages {
				if m.proxy == proxy && m.at <= fall.at {
					last = m.at
				}
			}
			for _, t := range w.history(w.owner(proxy, fall.at), fall.node) {
				if t.cold && t.started >= fall.start-time.Millisecond && (t.at+f.Grace <= fall.at || last > t.at) {
					knowing += work
					break
				}
			}
		}
		if knowing > all*2/3 {
			v.Breaks = append(v.Breaks, Break{v.Rule, fall.at, fmt.Sprintf("%s fell over %.1f s after its start, %.0f%% of the work by proxies whose governor knew",
				fall.node, (fall.at - fall.start).Seconds(), 100*knowing/all)})
		}
	}
	v.Seen = fmt.Sprintf("%d visits at cold servers, %d fell over", w.coldWork, len(w.falls))
	return v
}

// judgeQueue finds a queue that was too long by how long a channel ran at its full pace: more than the backlog's
// worth at one go had to wait somewhere. It counts messages to a proxy where they are limited.
func (w *Watch) judgeQueue(f Figures) Verdict {
	v := Verdict{Rule: RuleQueue, Tried: len(w.messages)}
	by, each := map[string][]message{}, map[string][]message{}
	for _, m := range w.messages {
		governor := w.owner(m.proxy, m.at)
		by[governor] = append(by[governor], m)
		each[m.proxy] = append(each[m.proxy], m)
	}
	longest := 0.0
	for governor, all := range by {
		// A queue that empties at the stated pace, and takes in what comes: its height is what must have waited had all
		// been ordered when the busy stretch began.
		busy, lines := time.Duration(-1), 0.0
		for i, m := range all {
			if i > 0 && (m.at-all[i-1].at).Seconds()*f.LinesPerS > 4*(f.Head+float64(m.lines))+f.LinesPerS/10 {
				busy, lines = -1, 0
			}
			if busy < 0 {
				busy = m.at
			}
			lines += f.Head + float64(m.lines)
			longest = max(longest, lines)
			if lines > f.Backlog && lines > (m.at-busy).Seconds()*f.LinesPerS/2 {
				v.Breaks = append(v.Breaks, Break{v.Rule, m.at, fmt.Sprintf("%.0f lines left governor %s in one go of %.2f s, %.0f may wait",
					lines, governor, (m.at - busy).Seconds(), f.Backlog)})
				busy, lines = -1, 0
			}
		}
	}
	most := 0
	for proxy, all := range each {
		for i, m := range all {
			n := 0
			for j := i; j >= 0 && all[j].at > m.at-f.MessagesOver; j-- {
				n++
			}
			if most = max(most, n); f.Messages > 0 && n > f.Messages {
				v.Breaks = append(v.Breaks, Break{v.Rule, m.at, fmt.Sprintf("%d messages to proxy %s within %s, %d may be", n, proxy, f.MessagesOver, f.Messages)})
				break
			}
		}
	}
	v.Seen = fmt.Sprintf("most lines in one go %.0f of %.0f; most messages to a proxy in %s: %d", longest, f.Backlog, f.MessagesOver, most)
	return v
}
