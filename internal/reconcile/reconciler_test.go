package reconcile

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

const (
	simulatedProxies = 3
	simulatedServers = 5
)

// simulation drives a reconciler and fake proxies with randomly drawn orders and faults, and tracks the expected
// state.
type simulation struct {
	t           *rapid.T
	r           *Reconciler
	now         fleet.Time
	startedAt   fleet.Time
	proxies     [simulatedProxies]*fakeProxy
	connected   [simulatedProxies]bool
	weights     map[fleet.TableID]map[fleet.ServerID]float64
	tables      [simulatedProxies]fleet.TableID // of both classes; 0: none assigned
	withdrawn   map[fleet.ServerID]bool
	admission   Admission
	entries     float64 // sent so far
	lastBarrier fleet.BarrierID
	barriers    map[fleet.BarrierID]int // how often each was reached
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t:         t,
		r:         New(testSite()),
		now:       fleet.Second,
		startedAt: fleet.Second,
		weights:   map[fleet.TableID]map[fleet.ServerID]float64{},
		withdrawn: map[fleet.ServerID]bool{},
		barriers:  map[fleet.BarrierID]int{},
	}
	list := fleet.EndpointList{Scope: fleet.ListFull}
	for server := range simulatedServers {
		list.Endpoints = append(list.Endpoints, fleet.Endpoint{Server: fleet.ServerID(server)})
	}
	s.r.SetEndpoints(s.now, list)
	return s
}

func (s *simulation) join(i int) {
	if s.proxies[i] == nil {
		s.proxies[i] = &fakeProxy{entries: map[entryKey]EntryState{}, admissions: map[fleet.ClassID]Admission{}}
		for server := range 3 {
			for class := range 2 {
				key := entryKey{fleet.ServerID(server), fleet.ClassID(class)}
				s.proxies[i].entries[key] = EntryState{Present: true, Weight: 100, State: StateReady}
			}
		}
	}
	s.connected[i] = true
	s.tables[i] = 0
	s.proxies[i].inbox = nil
	s.r.Join(s.now, fleet.ProxyID(i), s.proxies[i].snapshot())
}

func (s *simulation) leave(i int) {
	s.connected[i] = false
	s.r.Leave(fleet.ProxyID(i))
}

// next collects the output of the reconciler and checks its rate.
func (s *simulation) next() {
	messages, events, disconnects, _ := s.r.NextMessages(s.now)
	for _, message := range messages {
		s.proxies[message.Proxy].inbox = append(s.proxies[message.Proxy].inbox, message)
		s.entries += float64(message.Entries)
		if len(message.Changes) == 0 {
			s.t.Fatalf("message to proxy %d has no changes", message.Proxy)
		}
	}
	for _, id := range disconnects {
		s.connected[id] = false
	}
	for _, event := range events {
		if reached, ok := event.(fleet.BarrierReached); ok {
			s.barriers[reached.Barrier]++
		}
	}
	rate := s.r.site.EntriesPerSecond
	limit := (s.now-s.startedAt).Seconds()*rate + 2*maxBurstDuration.Seconds()*rate + 100
	if s.entries > limit {
		s.t.Fatalf("%.0f entries were sent, the rate allows %.0f", s.entries, limit)
	}
}

// deliver applies the next message at a proxy. If limit is below its number of changes, the session ends after that
// many.
func (s *simulation) deliver(i, limit int) {
	proxy := s.proxies[i]
	if !s.connected[i] || len(proxy.inbox) == 0 {
		return
	}
	message := proxy.inbox[0]
	proxy.inbox = proxy.inbox[1:]
	if limit < len(message.Changes) {
		proxy.apply(message, limit)
		s.leave(i)
		return
	}
	s.r.RecordAcknowledgement(s.now, fleet.ProxyID(i), message.Sequence, proxy.apply(message, limit))
}

func (s *simulation) drawTable() fleet.TableID {
	return fleet.TableID(rapid.IntRange(1, 2).Draw(s.t, "table"))
}

// step draws one order or fault.
func (s *simulation) step() {
	s.now += fleet.Time(rapid.IntRange(1, 200).Draw(s.t, "ms")) * fleet.Millisecond
	i := rapid.IntRange(0, simulatedProxies-1).Draw(s.t, "proxy")
	server := fleet.ServerID(rapid.IntRange(0, simulatedServers-1).Draw(s.t, "server"))
	switch rapid.IntRange(0, 9).Draw(s.t, "action") {
	case 0:
		if !s.connected[i] {
			s.join(i)
		}
	case 1:
		if s.connected[i] {
			s.leave(i)
		}
	case 2:
		if s.connected[i] && s.proxies[i] != nil { // changed by other means: detected by errors or the next readback
			delete(s.proxies[i].entries, entryKey{server, 0})
			s.leave(i)
		}
	case 3, 4:
		s.setWeight(server)
	case 5:
		withdrawn := rapid.Bool().Draw(s.t, "withdrawn")
		s.withdrawn[server] = withdrawn
		s.r.Apply(s.now, []fleet.Order{fleet.WithdrawServer{Server: server, Withdrawn: withdrawn}})
	case 6:
		if s.connected[i] {
			s.tables[i] = s.drawTable()
			s.r.Apply(s.now, []fleet.Order{fleet.AssignTable{Proxy: fleet.ProxyID(i), Table: s.tables[i]}})
		}
	case 7:
		s.setAdmission()
	case 8:
		s.deliver(i, rapid.IntRange(0, 4).Draw(s.t, "limit"))
	default:
		s.deliver(i, math.MaxInt)
	}
	s.next()
}

func (s *simulation) setWeight(server fleet.ServerID) {
	table := s.drawTable()
	weight := float32(rapid.Float64Range(0, 1.5).Draw(s.t, "weight"))
	if s.weights[table] == nil {
		s.weights[table] = map[fleet.ServerID]float64{}
	}
	s.weights[table][server] = float64(weight)
	s.lastBarrier++
	s.r.Apply(s.now, []fleet.Order{
		fleet.SetWeight{Table: table, Server: server, Weight: weight},
		fleet.Barrier{ID: s.lastBarrier},
	})
}

func (s *simulation) setAdmission() {
	limit := float32(int32(rapid.IntRange(1, 999).Draw(s.t, "limit"))) / 1000
	s.r.Apply(s.now, []fleet.Order{fleet.SetAdmission{Table: fleet.AllTables, Limit: limit}})
	s.admission = Admission{Known: true, Limit: int32(perMille * float64(limit))}
}

// heal connects all proxies and delivers messages for long enough that all proxies must be in sync.
func (s *simulation) heal() {
	joinMissing := func() {
		for i := range simulatedProxies {
			if !s.connected[i] {
				s.join(i)
			}
		}
	}
	joinMissing()
	for range 400 {
		s.now += 50 * fleet.Millisecond
		s.next()
		for i := range simulatedProxies {
			if !s.connected[i] {
				s.join(i)
			}
			s.deliver(i, math.MaxInt)
		}
	}
}

// checkProxy compares the state of a proxy with the expected one.
func (s *simulation) checkProxy(i int, proxy *fakeProxy) {
	if proxy.violation != "" {
		s.t.Error(proxy.violation)
	}
	for server := range fleet.ServerID(simulatedServers) {
		for class := range fleet.ClassID(2) {
			got := proxy.entries[entryKey{server, class}]
			withdrawn, ordered := s.withdrawn[server]
			if ordered && got.Present && withdrawn != (got.State != StateReady) {
				s.t.Errorf("proxy %d, server %d: withdrawn is %v, entry is %+v", i, server, withdrawn, got)
			}
			if s.tables[i] == 0 {
				continue
			}
			want := Round(s.weights[s.tables[i]][server], s.r.tables[s.tables[i]].scale)
			if got.Weight != want {
				s.t.Errorf("proxy %d, server %d: weight %d, want %d", i, server, got.Weight, want)
			}
		}
	}
	if s.admission.Known && proxy.admissions[0] != s.admission {
		s.t.Errorf("proxy %d: admission %+v, want %+v", i, proxy.admissions[0], s.admission)
	}
}

// TestEveryProxyReachesDesiredState guards against proxies that stay out of sync after faults: lost sessions, partly
// applied messages, late acknowledgements and entries changed by other means. After any sequence of orders and
// faults, each connected proxy reaches the desired state, messages keep to the rate limit, and each proxy reaches
// each barrier at most once.
func TestEveryProxyReachesDesiredState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.step()
		}
		s.heal()
		if !s.r.Idle() || s.r.Backlog() != 0 {
			t.Fatalf("reconciler is not idle: backlog of %.0f entries", s.r.Backlog())
		}
		for i, proxy := range s.proxies {
			s.checkProxy(i, proxy)
		}
		for barrier, count := range s.barriers {
			if count > simulatedProxies {
				t.Errorf("barrier %d reached %d times by %d proxies", barrier, count, simulatedProxies)
			}
		}
	})
}

// TestRoundKeepsProportions guards against rounding that distorts a table: a positive weight never becomes 0, and the
// error is at most half a unit, or up to one unit for the smallest weights.
func TestRoundKeepsProportions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.01, 1), 1, 50).Draw(t, "weights")
		largest := 0.0
		for _, weight := range weights {
			largest = max(largest, weight)
		}
		for scale := minLargestWeight / largest; scale <= maxWeight/largest; scale *= 1.3 {
			for _, weight := range weights {
				rounded := float64(Round(weight, scale))
				roundingError := math.Abs(rounded - weight*scale)
				if rounded < 1 || roundingError > max(0.5, 1-weight*scale)+1e-9 || rounded > maxWeight {
					t.Fatalf("weight %v at scale %v is rounded to %v", weight, scale, rounded)
				}
			}
		}
	})
	for weight, want := range map[float64]int16{0: 0, -1: 0, 1e-9: 1, 1e9: 256, 0.5: 64} {
		if got := Round(weight, 128); got != want {
			t.Errorf("Round(%v, 128) = %d, want %d", weight, got, want)
		}
	}
}
