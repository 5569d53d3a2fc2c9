// Package steer keeps what each proxy should hold, what it was sent and what it has answered, and decides which
// lines leave when. It stands between the module's orders and the fronts that carry them: orders go in by Order,
// what the proxies say goes in by Join, Leave, Answer and Progress, and Next gives the messages that may leave by
// now. It holds no socket, clock or goroutine; the same calls give the same messages. docs/design/governor.md
// tells the ways weighed.
package reconcile

import (
	"cmp"
	"math"
	"slices"

	"cressknot/internal/fleet"
	"cressknot/internal/tableversion"
)

const (
	maxWeight           = 256 // of a server in the runtime API of a proxy
	targetLargestWeight = 128 // of a table's largest line when it is scaled: may double before all lines change
	minLargestWeight    = 64  // of a table's largest line: under it rounding is over 0.8% of that line, so it is scaled anew
	perMille            = 1000
	rateAll             = 1e6                     // visits a second that no proxy reaches: let in all
	maxInFlightMessages = 2                       // messages to a proxy without answers: one applies while one travels
	spareWrites         = 3                       // of the messages that may go to a proxy: kept for what is urgent
	maxBurstDuration    = 50 * fleet.Millisecond  // the pace may be caught up by so much: a timer's delay under load
	slowTravel          = 4                       // mean ways of a message after which a proxy is slow and holds no mark
	slowLeast           = 500 * fleet.Millisecond // the same at least: a turn of a loaded proxy's event loop
	stuckTurns          = 4                       // longest ways without any answer after which a proxy counts as gone
	stuckLeast          = 5 * fleet.Second        // the same at least: a proxy's reload takes some seconds
	retryFirst          = fleet.Second            // wait before a change that was answered with an error is sent again
	retryLast           = 32 * fleet.Second       // the same at most, by doubling
	forgetGone          = 60 * fleet.Second       // a gone server's lines are deleted after so long, when visits have ended
)

// State is what keeps visits from a line, beside its weight.
type State uint8

// The states of a line; the first stands in changes for "as it is".
const (
	StateUnchanged   State = iota
	StateReady             // takes visits by weight
	StateDrain             // finishes what it has
	StateMaintenance       // takes nothing
)

// EntryState is what a proxy holds of a server in one class. Weight is 0 to 256.
type EntryState struct {
	Present      bool
	Unknown      bool // an error left open what it holds
	WrongAddress bool // it sends to another address than the server is listed at
	Weight       int16
	State        State
}

// Admission is what a proxy holds of a class's level.
type Admission struct {
	Known bool
	Limit int32 // thousandths of the visits, or of visits a second; negative: all
	Retry fleet.RetryMode
}

// ChangeKind says what a change is about.
type ChangeKind uint8

// The kinds of changes.
const (
	UpdateEntry     ChangeKind = iota // weight, state or both of a line that is there
	AddEntry                          // a line that the proxy doesn't have
	DeleteEntry                       // a line of a server gone for good
	UpdateAdmission                   // the level of a class
	UpdateVersion                     // the version of the table that a class goes by, told last in a message
)

// Change is one thing that a message changes at a proxy, in absolute values: applied twice it does nothing new.
type Change struct {
	Kind           ChangeKind
	Class          fleet.ClassID
	Server         fleet.ServerID
	Weight         int16 // negative: as it is
	State          State
	AddressChanged bool   // the server's address has to be set, too
	VersionStamp   string // version and digest
	Admission      Admission
}

// Message is what leaves for one proxy at one time. Lines counts as the module does.
type Message struct {
	Proxy    fleet.ProxyID
	Sequence uint64
	Entries  int
	Changes  []Change
}

// FailureKind is how a change was not done.
type FailureKind uint8

// The faults that a front tells apart.
const (
	FailureOther        FailureKind = iota // an error that names none of the below, or an answer that makes no sense
	FailureEntryMissing                    // the line to be set or deleted isn't there
	FailureEntryExists                     // the line to be added is there
	FailureEntryInUse                      // the line to be deleted has visits
)

// Failure tells of one change of a message that was not done.
type Failure struct {
	Index int
	Kind  FailureKind
	Text  string
}

// Snapshot is what a proxy holds when its stream begins, as read back from it.
type Snapshot struct {
	Zone          fleet.ZoneID
	RequestRate   float64 // visits a second that it usually gets
	Fresh         bool    // holds standing tables only
	Entries       []SnapshotEntry
	Admissions    []Admission // by class; may be short
	VersionStamps []string    // by class: the version that it was told last; may be short
}

// SnapshotEntry is one line of a snapshot.
type SnapshotEntry struct {
	Class  fleet.ClassID
	Server fleet.ServerID
	State  EntryState
}

// key names what a line changes: a server in all classes, or a class's level (server is then noServer).
type key struct {
	server int32
	class  fleet.ClassID
}

const noServer int32 = -1

// Reconciler holds it all for one governor.
type Reconciler struct {
	site    fleet.Site
	index   map[fleet.ServerID]int32
	servers []server
	tables  map[fleet.TableID]*table
	every   []level // by class, for all tables
	proxies map[fleet.ProxyID]*proxy
	order   []*proxy // by id, so that what is emitted is the same each time

	queue     []*parcel // waits for the pace, first out first; those before head have left
	head      int
	seq       uint64
	open      []*parcel // by seq: left the queue or not, not answered; done ones are cut from the front
	credit    float64   // lines that may leave now
	paced     fleet.Time
	events    []fleet.Event
	drops     []fleet.ProxyID
	alarms    []Notice
	waiting   float64 // lines in the queue, heads included
	paces     paces
	judge     SafetyCheck // may be nil
	scratch   UpdatePlan  // of the message being written; kept for its room
	coldOnes  []int32
	heardList bool
	refused   map[refusalOf]*Refusal
	pushes    map[push]pushed
	epoch     uint64
	name      tableversion.NameFunc // nil: tables have no versions
	lines     []tableversion.Entry
	changed   map[fleet.TableID]bool // by the orders of this step
	deferrals uint64
	swept     fleet.Time
}

type server struct {
	id        fleet.ServerID
	listed    bool
	state     fleet.ServerState
	started   fleet.Time
	gone      fleet.Time // since when, 0: not
	withdrawn bool
	ordered   bool    // a withdrawal or its end was ordered
	less      float64 // what is taken off its weights in all tables, 0 to 1
}

type table struct {
	weights []float64 // by server index
	scale   float64   // weight of the runtime API for a weight of 1; 0: not laid
	levels  []level   // by class
	book    *tableversion.Table
	pin     *pin // nil: goes by the module
}

type level struct {
	set    bool
	amount float64
	retry  fleet.RetryMode
}

type proxy struct {
	id       fleet.ProxyID
	zone     fleet.ZoneID
	on       []fleet.TableID // by class
	bound    []bool          // by class
	fresh    bool
	lines    []int    // by class: usable lines of ready servers in sent
	sums     []int    // by class: their weights
	stamped  []string // by class: the version that it was told
	seen     []uint32 // by line: the look that showed it last
	looks    uint32
	held     map[key]string // held back by the judge, and why
	againAt  fleet.Time     // when those are tried again
	wrote    []fleet.Time   // messages within the time that they are counted over
	deferred bool           // its lines wait outside the full channel
	sent     []EntryState   // by server index times classes, then class: what it holds once all is answered
	own      []EntryState   // the same as it was at the join, for classes that are not bound
	levels   []Admission
	urgent   []key // dirty, in the order of their lines; in pending
	ordinary []key
	pending  map[key]bool // true: urgent
	allowed  int          // lines whose time in the channel has come
	flying   []*parcel    // without answers, oldest first
	due      []*parcel    // left the queue, wait for the window
	heard    fleet.Time   // last progress, or last time that something began to fly
	backoff  fleet.Time   // after errors
	retryAt  fleet.Time
	failed   []key
	queued   int     // its messages in the queue
	last     *parcel // the latest that was put into the queue
	writes   int     // messages written in all
	took     fleet.Time
}

type parcel struct {
	proxy   *proxy
	seq     uint64
	lines   int
	ordered fleet.Time
	left    fleet.Time // left the queue
	mark    fleet.BarrierID
	marked  bool
	before  uint64 // mark: all parcels of a lower seq have to be done
	waits   bool   // answered, its mark is not yet
	done    bool
	gone    bool // its proxy left
	changes []Change
	keys    []key
}

// paces counts what left, for operators.
type paces struct{ lines, messages, changes, folded uint64 }

// Notice is something that staff should hear of.
type Notice struct {
	Proxy   fleet.ProxyID
	Text    string
	Refused *Refusal // what was held back, if that is it
	Table   bool     // it is about no proxy
}

// New makes an empty plane.
func New(site fleet.Site) *Reconciler {
	return &Reconciler{site: site, index: map[fleet.ServerID]int32{}, tables: map[fleet.TableID]*table{}, refused: map[refusalOf]*Refusal{}, pushes: map[push]pushed{}, changed: map[fleet.TableID]bool{},
		every: make([]level, len(site.Classes)), proxies: map[fleet.ProxyID]*proxy{}, paced: -1}
}

// UseSafetyCheck lets a judge have its say on each message from here on.
func (p *Reconciler) UseSafetyCheck(j SafetyCheck) { p.judge = j }

func (p *Reconciler) classes() int { return len(p.site.Classes) }

func (p *Reconciler) server(id fleet.ServerID) int32 {
	if i, ok := p.index[id]; ok {
		return i
	}
	i := int32(len(p.servers))
	p.index[id] = i
	p.servers = append(p.servers, server{id: id})
	for _, t := range p.tables {
		t.weights = append(t.weights, 0)
	}
	for _, x := range p.order {
		x.sent = append(x.sent, make([]EntryState, p.classes())...)
		x.own = append(x.own, make([]EntryState, p.classes())...)
	}
	return i
}

func (p *Reconciler) table(id fleet.TableID) *table {
	t := p.tables[id]
	if t == nil {
		t = &table{weights: make([]float64, len(p.servers)), levels: make([]level, p.classes())}
		p.tables[id] = t
	}
	return t
}

// SetEndpoints hears what the list says, so that a drain can be told from a server that is gone, and a cold one from a
// warm one.
func (p *Reconciler) SetEndpoints(now fleet.Time, l fleet.EndpointList) {
	if l.Scope == fleet.ListFailed {
		return
	}
	listed, anew := map[int32]bool{}, false
	if !p.heardList { // from here on those that are not listed don't count
		for i := range p.servers {
			p.recount(int32(i), -1)
		}
		p.heardList = true
	}
	for _, e := range l.Endpoints {
		i := p.server(e.Server)
		s := &p.servers[i]
		listed[i] = true
		changed := s.state != e.State && s.withdrawn
		was := p.ready(i)
		anew = anew || s.started != e.Started && p.judge != nil
		s.state, s.started, s.listed = e.State, e.Started, true
		if is := p.ready(i); is != was {
			sign := 1
			if was {
				sign = -1
			}
			p.recount(i, sign)
		}
		if p.cold(s, now) && !slices.Contains(p.coldOnes, i) {
			p.coldOnes = append(p.coldOnes, i)
		}
		if e.State == fleet.ServerGone {
			s.gone = cmp.Or(s.gone, now)
		} else {
			s.gone = 0
		}
		if changed {
			p.touchAll(i, true)
		}
	}
	if anew { // proxies may hold lines of what is cold now
		defer func() {
			for _, x := range p.order {
				p.judge.ProxyAcknowledged(now, p.draft(now, x))
			}
		}()
	}
	if l.Scope == fleet.ListDelta {
		return
	}
	for i := range p.servers {
		if s := &p.servers[i]; !listed[int32(i)] && s.state != fleet.ServerGone {
			if p.ready(int32(i)) {
				p.recount(int32(i), -1)
			}
			s.state, s.gone = fleet.ServerGone, now
		}
	}
}

// AddressChanged tells that a server is listed at another address than before: every line of it has to follow.
func (p *Reconciler) AddressChanged(id fleet.ServerID) {
	i := p.server(id)
	for _, x := range p.order {
		for c := range p.classes() {
			if at := int(i)*p.classes() + c; x.sent[at].Present {
				x.sent[at].WrongAddress = true
				p.touch(x, key{server: i}, true)
				x.allowed++
			}
		}
	}
}

func (p *Reconciler) cold(s *server, now fleet.Time) bool {
	return s.started > 0 && now < s.started+p.site.SlowStart.Duration
}

// Join begins a proxy's stream with what it was found to hold.
func (p *Reconciler) Join(now fleet.Time, id fleet.ProxyID, snap Snapshot) {
	p.Leave(id)
	n := p.classes()
	x := &proxy{id: id, zone: snap.Zone, on: make([]fleet.TableID, n), bound: make([]bool, n),
		pending: map[key]bool{}, levels: make([]Admission, n), heard: now, fresh: snap.Fresh, lines: make([]int, n),
		sums: make([]int, n), held: map[key]string{}, stamped: make([]string, n)}
	copy(x.stamped, snap.VersionStamps)
	for _, l := range snap.Entries {
		p.server(l.Server)
	}
	x.sent = make([]EntryState, len(p.servers)*n)
	for _, l := range snap.Entries {
		if int(l.Class) < n {
			l.State.Present = true
			p.set(x, int(p.index[l.Server])*n+int(l.Class), l.State)
		}
	}
	copy(x.levels, snap.Admissions)
	x.own = slices.Clone(x.sent)
	p.verify(x, snap.Entries)
	p.proxies[id] = x
	at, _ := slices.BinarySearchFunc(p.order, id, func(x *proxy, id fleet.ProxyID) int { return cmp.Compare(x.id, id) })
	p.order = slices.Insert(p.order, at, x)
	// It may have missed withdrawals while it was away; the wanted state has them, whoever counted their lines.
	for i := range p.servers {
		if p.servers[i].ordered {
			p.touch(x, key{server: int32(i)}, p.servers[i].withdrawn)
		} else if p.differs(x, int32(i)) { // astray
			p.touch(x, key{server: int32(i)}, true)
		}
	}
	for c := range n {
		if p.every[c].set {
			p.touch(x, key{noServer, fleet.ClassID(c)}, false)
		}
	}
	if p.judge != nil {
		p.judge.ProxyJoined(now, p.draft(now, x))
	}
	p.send(now, x, len(x.pending), nil)
	p.events = append(p.events, fleet.ProxyJoined{Proxy: id, Zone: snap.Zone, RequestRate: snap.RequestRate, Fresh: snap.Fresh})
}

// Leave ends a proxy's stream: what waits or travels is lost.
func (p *Reconciler) Leave(id fleet.ProxyID) {
	x := p.proxies[id]
	if x == nil {
		return
	}
	delete(p.proxies, id)
	p.order = slices.DeleteFunc(p.order, func(o *proxy) bool { return o == x })
	for _, b := range p.open {
		if b.proxy == x {
			b.gone, b.done = true, true
		}
	}
	for _, b := range p.queue[p.head:] {
		if b.proxy == x {
			p.waiting -= p.cost(b)
		}
	}
	for k := range x.held {
		p.allow(x, k)
	}
	if p.judge != nil {
		p.judge.ProxyLeft(id)
	}
	p.events = append(p.events, fleet.ProxyLeft{Proxy: id})
	p.settle()
}

// touch marks a line of a proxy as to be worked out and sent. A line that waits already is not sent twice.
func (p *Reconciler) touch(x *proxy, k key, urgent bool) {
	was, waits := x.pending[k]
	if waits {
		p.paces.folded++
	}
	if waits && (was || !urgent) {
		return
	}
	x.pending[k] = urgent
	if urgent {
		x.urgent = append(x.urgent, k)
	} else {
		x.ordinary = append(x.ordinary, k)
	}
}

func (p *Reconciler) touchAll(i int32, urgent bool) {
	for _, x := range p.order {
		p.touch(x, key{server: i}, urgent)
		x.allowed++
	}
}

// Apply takes the orders of one step; each proxy that they concern gets one message.
func (p *Reconciler) Apply(now fleet.Time, orders []fleet.Order) {
	lines := map[*proxy]int{}
	var mark *fleet.Barrier
	for _, o := range orders {
		switch o := o.(type) {
		case fleet.SetWeight:
			p.share(now, o, lines)
		case fleet.ClearTable:
			t := p.table(o.Table)
			for i, w := range t.weights {
				if w > 0 {
					t.weights[i] = 0
					p.users(o.Table, func(x *proxy) { p.touch(x, key{server: int32(i)}, false) })
				}
			}
			p.changed[o.Table] = true
			t.scale, t.levels = 0, make([]level, p.classes())
			p.users(o.Table, func(x *proxy) {
				lines[x]++
				for c := range x.on {
					p.touch(x, key{noServer, fleet.ClassID(c)}, false)
				}
			})
		case fleet.WithdrawServer:
			i := p.server(o.Server)
			s := &p.servers[i]
			s.withdrawn, s.ordered = o.Withdrawn, true
			for _, x := range p.order {
				p.touch(x, key{server: i}, o.Withdrawn)
				lines[x]++
			}
		case fleet.AssignTable:
			if x := p.proxies[o.Proxy]; x != nil {
				lines[x] += p.bind(x, o)
			}
		case fleet.SetAdmission:
			p.level(o, lines)
		case fleet.Barrier:
			mark = &o
		}
	}
	for _, id := range p.tableIDs() {
		if p.changed[id] {
			p.note(now, id, p.tables[id], "")
		}
	}
	clear(p.changed)
	first := p.seq + 1
	for _, x := range p.order {
		n := lines[x]
		if n == 0 && (mark == nil || !mark.AllProxies) {
			continue
		}
		if b := p.send(now, x, n, mark); b.seq >= first {
			b.before = first
		}
	}
}

func (p *Reconciler) tableIDs() []fleet.TableID {
	ids := make([]fleet.TableID, 0, len(p.tables))
	for id := range p.tables {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// users calls each proxy that has a class on the table.
func (p *Reconciler) users(id fleet.TableID, each func(*proxy)) {
	for _, x := range p.order {
		for c, on := range x.on {
			if x.bound[c] && on == id {
				each(x)
				break
			}
		}
	}
}

func (p *Reconciler) share(now fleet.Time, o fleet.SetWeight, lines map[*proxy]int) {
	t, i := p.table(o.Table), p.server(o.Server)
	p.changed[o.Table] = true
	before := t.weights[i]
	t.weights[i] = float64(o.Weight)
	most := slices.Max(t.weights)
	if rescale := most*t.scale > maxWeight || most*t.scale < minLargestWeight; most > 0 && rescale {
		t.scale = targetLargestWeight / most
		p.users(o.Table, func(x *proxy) {
			for j, w := range t.weights {
				if w > 0 {
					p.touch(x, key{server: int32(j)}, false)
					lines[x]++
				}
			}
		})
	}
	// A cold server's lines go down before others move: nothing may push it over meanwhile.
	urgent := float64(o.Weight) < before && p.cold(&p.servers[i], now)
	p.users(o.Table, func(x *proxy) {
		p.touch(x, key{server: i}, urgent)
		lines[x]++
	})
}

func (p *Reconciler) bind(x *proxy, o fleet.AssignTable) int {
	n, touched := 1, 0
	for c := range x.on {
		if o.Classes == 0 || o.Classes&(1<<c) != 0 {
			touched++
			x.on[c], x.bound[c] = o.Table, true
			p.touch(x, key{noServer, fleet.ClassID(c)}, false)
		}
	}
	t := p.table(o.Table)
	for i := range p.servers {
		if p.differs(x, int32(i)) {
			touched++
			p.touch(x, key{server: int32(i)}, p.servers[i].withdrawn)
		}
		if t.weights[i] > 0 || p.servers[i].withdrawn {
			n++
		}
	}
	return max(n, touched)
}

func (p *Reconciler) level(o fleet.SetAdmission, lines map[*proxy]int) {
	levels := p.every
	if o.Table != fleet.AllTables {
		levels = p.table(o.Table).levels
	}
	for c := range levels {
		if o.Classes != 0 && o.Classes&(1<<c) == 0 {
			continue
		}
		levels[c] = level{true, float64(o.Limit), o.Retry}
		for _, x := range p.order {
			if o.Table == fleet.AllTables || x.bound[c] && x.on[c] == o.Table {
				p.touch(x, key{noServer, fleet.ClassID(c)}, false)
			}
		}
	}
	for _, x := range p.order {
		if o.Table == fleet.AllTables || slices.Contains(x.on, o.Table) {
			lines[x]++
		}
	}
}

// desiredEntry works out what a proxy should hold of a server in a class.
func (p *Reconciler) desiredEntry(x *proxy, i int32, c int) EntryState {
	s, at := &p.servers[i], int(i)*p.classes()+c
	own := x.own[at]
	if own.WrongAddress = false; !x.bound[c] {
		if s.ordered && own.Present {
			own.State = p.stateOf(s)
		}
		return own
	}
	t := p.tables[x.on[c]]
	want := EntryState{State: p.stateOf(s), Weight: p.published(x.on[c], t, i)}
	if want.Present = want.Weight > 0 || x.sent[at].Present; !want.Present {
		return EntryState{}
	}
	return want
}

func (p *Reconciler) stateOf(s *server) State {
	switch {
	case !s.withdrawn:
		return StateReady
	case s.state == fleet.ServerDraining:
		return StateDrain
	}
	return StateMaintenance
}

// Round gives the weight of the runtime API for a weight of a table: a positive one never becomes 0, and none
// passes the most that the API takes. The error is half a unit, or up to one for the smallest.
func Round(weight, scale float64) int16 {
	if weight <= 0 {
		return 0
	}
	return int16(min(maxWeight, max(1, math.Round(weight*scale))))
}

func (p *Reconciler) wantLevel(x *proxy, c int) Admission {
	l := p.every[c]
	if x.bound[c] {
		if own := p.tables[x.on[c]].levels[c]; own.set {
			if l.set {
				own.amount = min(own.amount, l.amount)
			}
			l = own
		}
	}
	if !l.set {
		return Admission{}
	}
	want := Admission{Known: true, Limit: -1, Retry: l.retry}
	if p.site.Admission == fleet.AdmissionFraction && l.amount < 1 || p.site.Admission == fleet.AdmissionRate && l.amount < rateAll {
		if want.Limit = int32(perMille * l.amount); l.amount > 0 {
			want.Limit = max(1, want.Limit)
		}
	}
	return want
}

func (p *Reconciler) differs(x *proxy, i int32) bool {
	for c := range p.classes() {
		if have := x.sent[int(i)*p.classes()+c]; have != p.desiredEntry(x, i, c) {
			return true
		}
	}
	return false
}

// propose adds to a draft what brings a line of a proxy to what is wanted.
func (p *Reconciler) propose(now fleet.Time, d *UpdatePlan, x *proxy, k key, urgent bool) {
	if k.server == noServer {
		if want := p.wantLevel(x, int(k.class)); want.Known && x.levels[k.class] != want {
			d.Proposals = append(d.Proposals, Proposal{Change: Change{Kind: UpdateAdmission, Class: k.class, Admission: want}, Urgent: urgent, key: k})
		} else {
			p.allow(x, k)
		}
		return
	}
	for c := range p.classes() {
		at := int(k.server)*p.classes() + c
		have, want := x.sent[at], p.desiredEntry(x, k.server, c)
		if have == want || !want.Present && !have.Present {
			continue
		}
		d.Proposals = append(d.Proposals, Proposal{Change: changeTo(fleet.ClassID(c), p.servers[k.server].id, have, want), Have: have,
			Want: want, Ready: p.ready(k.server), Warming: p.cold(&p.servers[k.server], now), Urgent: urgent, key: k, at: at})
	}
	if _, was := x.held[k]; was && !p.differs(x, k.server) {
		p.allow(x, k)
	}
}

// changeTo gives the change that takes a line from what is held to what is wanted.
func changeTo(class fleet.ClassID, server fleet.ServerID, have, want EntryState) Change {
	ch := Change{Class: class, Server: server, Weight: want.Weight, State: want.State, AddressChanged: have.WrongAddress && have.Present}
	switch {
	case !have.Present && !have.Unknown:
		ch.Kind = AddEntry
	case !have.Unknown:
		if have.Weight == want.Weight {
			ch.Weight = -1
		}
		if have.State == want.State {
			ch.State = StateUnchanged
		}
	}
	return ch
}

// LowerWeight gives a proposal less weight than was wanted.
func (p *Proposal) LowerWeight(weight int16, why string) {
	p.Want.Weight = weight
	p.Change, p.LowerReason = changeTo(p.Class, p.Server, p.Have, p.Want), why
}

// set changes what a proxy holds of a line, and the sums that go with it.
func (p *Reconciler) set(x *proxy, at int, cell EntryState) {
	c, i := at%p.classes(), int32(at/p.classes())
	if old := x.sent[at]; p.ready(i) {
		x.sums[c] += weightIn(cell) - weightIn(old)
		if old.Usable() {
			x.lines[c]--
		}
		if cell.Usable() {
			x.lines[c]++
		}
	}
	x.sent[at] = cell
}

// ready tells whether the list has a server as one that may take visits. Before any list all count.
func (p *Reconciler) ready(i int32) bool {
	return p.servers[i].state == fleet.ServerReady && (p.servers[i].listed || !p.heardList)
}

// recount changes the sums of all proxies when a server is listed as ready or no longer.
func (p *Reconciler) recount(i int32, sign int) {
	for _, x := range p.order {
		for c := range p.classes() {
			if cell := x.sent[int(i)*p.classes()+c]; cell.Usable() {
				x.sums[c] += sign * int(cell.Weight)
				x.lines[c] += sign
			}
		}
	}
}

// Backlog tells how many lines wait in the channel, heads included: what the queue rule bounds.
func (p *Reconciler) Backlog() float64 { return p.waiting }
