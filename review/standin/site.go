package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// class is a request class in the settings of a site.
type class struct {
	Name       string  `json:"name"`
	Effect     string  `json:"effect"`
	Group      string  `json:"group"`
	WindowMs   float64 `json:"windowMs"`
	TargetMs   float64 `json:"targetMs"`
	DeadlineMs float64 `json:"deadlineMs"`
	Worth      float64 `json:"worth"`
	LateShare  float64 `json:"lateShare"`

	share  float64
	workMs float64 // on a core of speed 1
	local  bool    // requests may be sent only to servers in the zone of the proxy
}

// site holds the figures of a deployment: those of its site file.
type site struct {
	name       string
	Zones      []string
	Kinds      []string
	Classes    []class
	servers    int
	proxies    int // of each governor
	proxyRate  float64
	standing   int
	cores      float64
	speeds     []float64 // of a core, by kind
	machines   []float64 // factors on the speed of single machines, by number; none: all alike
	load       float64   // of the capacity of the fleet at the start; 0: proxyRate is set
	room       float64   // requests that may wait, by core
	report     string
	cold       time.Duration
	coldFrom   float64
	shun       time.Duration
	discovery  string
	admission  string
	pick       string
	drainGrace time.Duration
	interval   time.Duration
	travel     time.Duration
	head       int
	linesPerS  float64
	backlog    float64
	messages   int
	unservedMs float64
	fallFactor float64
	fallMs     float64
	retry      int
	perS       float64
	outlier    int
	conns      float64
}

func (s *site) classNames() []string {
	var names []string
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	return names
}

// meanWork returns the mean work of a request in seconds.
func (s *site) meanWork() float64 {
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.share * c.workMs / 1000
	}
	return sum
}

// drawClass returns the class for a number that is drawn evenly from 0 to 1.
func (s *site) drawClass(drawn float64) class {
	for _, c := range s.Classes {
		if drawn -= c.share; drawn < 0 {
			return c
		}
	}
	return s.Classes[len(s.Classes)-1]
}

// setRate sets the requests of a proxy so that all together bring the load.
func (s *site) setRate(w *world, proxies int) {
	if s.load == 0 {
		return
	}
	capacity := 0.0
	for _, server := range w.servers {
		capacity += s.cores * server.speed
	}
	s.proxyRate = s.load * capacity / s.meanWork() / float64(proxies)
}

func (s *site) fallSpan() time.Duration { return time.Duration(s.fallMs * float64(time.Millisecond)) }

// bengal is bengal-bookings, whose list is sent on request.
func bengal() *site {
	return &site{
		name:  "bengal-bookings",
		Zones: []string{"salt-lake", "howrah", "kalyani", "durgapur"},
		Kinds: []string{"new-box", "mid-box", "old-box"},
		Classes: []class{
			{"slot-look", "read_like", "all", 5000, 1500, 5000, 3, 0.1, 0.4, 200, false},
			{"slot-book", "idempotency_key", "all", 5000, 2000, 5000, 2, 0.2, 0.4, 330, false},
			{"bag-issue", "non_idempotent", "all", 5000, 3000, 7500, 2, 0.1, 0.2, 490, false},
		},
		servers: 16, proxies: 4, proxyRate: 6, standing: 10, cores: 2, speeds: []float64{1.6, 1, 0.6}, room: 10,
		report: "inline", cold: 18 * time.Second, coldFrom: 0.16, shun: 4 * time.Second,
		discovery: "on_request", admission: "off", pick: "lottery",
		drainGrace: 3000 * time.Millisecond, interval: time.Second, travel: 193 * time.Millisecond,
		head: 6, linesPerS: 15000, backlog: 30000, messages: 20, unservedMs: 5800, fallFactor: 4, fallMs: 2000,
		perS: 500, outlier: 3, conns: 91,
	}
}

// northBengal is north-bengal, whose list is pushed.
func northBengal() *site {
	return &site{
		name:  "north-bengal",
		Zones: []string{"matigara", "sevoke-road", "bagdogra", "jalpaiguri"},
		Kinds: []string{"gen-a", "gen-b"},
		Classes: []class{
			{"donor-lookup", "read_like", "all", 5000, 800, 2500, 1, 0.1, 0.57, 155, false},
			{"bag-record", "non_idempotent", "all", 5000, 800, 2500, 5, 0.2, 0.43, 155, false},
		},
		servers: 20, proxies: 12, proxyRate: 8, standing: 8, cores: 4, speeds: []float64{1, 0.75}, room: 10,
		report: "inline", cold: 18 * time.Second, coldFrom: 0.16, shun: 4 * time.Second,
		discovery: "pushed", admission: "ratio", pick: "wheel",
		drainGrace: 2000 * time.Millisecond, interval: 500 * time.Millisecond, travel: 250 * time.Millisecond,
		head: 4, linesPerS: 5000, backlog: 5000, messages: 0, unservedMs: 5000, fallFactor: 3, fallMs: 2000,
		perS: 100, outlier: 5, conns: 544,
	}
}

// saltLake is salt-lake-apheresis, whose servers report their load to probes only.
func saltLake() *site {
	return &site{
		name:  "salt-lake-apheresis",
		Zones: []string{"ground-floor", "first-floor"},
		Kinds: []string{"kind-a", "kind-b"},
		Classes: []class{
			{"chair-lookup", "read_like", "all", 1500, 1200, 4000, 1, 0.1, 0.61, 190, false},
			{"session-booking", "idempotency_key", "zone", 1500, 1000, 2500, 5, 0.1, 0.21, 190, true},
			{"kit-issue", "non_idempotent", "all", 1500, 2000, 6000, 3, 0.2, 0.18, 290, false},
		},
		servers: 10, proxies: 3, load: 1.1, standing: 6, cores: 4, speeds: []float64{1, 0.75}, room: 10,
		machines: []float64{1.1, 0.9, 1.25, 0.7, 1, 0.8, 1.3, 0.75, 1.2, 1, 0.9, 1.3, 1, 1.2, 0.7, 1.1, 1.25, 0.75, 0.8, 0.75},
		report:   "on_probe", cold: 15 * time.Second, coldFrom: 0.21, shun: 5 * time.Second,
		discovery: "on_request", admission: "rps", pick: "wheel",
		drainGrace: 2000 * time.Millisecond, interval: 500 * time.Millisecond, travel: 200 * time.Millisecond,
		head: 3, linesPerS: 2700, backlog: 2700, messages: 0, unservedMs: 5000, fallFactor: 3, fallMs: 1500,
		perS: 300, outlier: 8, conns: 180, retry: 1,
	}
}

// addServers fills the list of discovery: servers that have run for long, dealt evenly to zones. A third of them are
// of the last kind.
func (s *site) addServers(w *world) {
	for i := range s.servers {
		s.addServer(w, i, i, 0)
	}
}

// addServer lists the server of a number, in the place of the fleet that tells its zone, kind and speed.
func (s *site) addServer(w *world, number, place int, bootMs float64) *target {
	kind := place / len(s.Zones) % len(s.Kinds)
	if len(s.Kinds) == 2 {
		kind = 0
		if place%3 == 0 {
			kind = 1
		}
	}
	t := &target{
		UID:      fmt.Sprintf("s-%08x", 0x5be2a07c+number*0x01f31d05),
		Endpoint: fmt.Sprintf("127.1.0.%d:7070", number+1),
		Zone:     s.Zones[place%len(s.Zones)], Model: s.Kinds[kind], Group: place / 4,
		State: "in_service", Hint: 1, BootMs: bootMs,
	}
	speed := s.speeds[kind]
	if len(s.machines) > 0 {
		speed *= s.machines[number%len(s.machines)]
	}
	w.addServer(t, speed)
	w.disco.add(t)
	return t
}

// fields returns the names of the values of a load report.
func (s *site) fields() []string {
	if s.report == "on_probe" {
		return []string{"busy"}
	}
	return []string{"busy", "rif", "lat_ms"}
}

// settings returns the settings of a governor, as an instance gets them in the simulator's first message.
func (s *site) settings(g *governor) json.RawMessage {
	all := 0
	for _, other := range g.w.govs {
		all += len(other.proxies)
	}
	zone := 0
	for i, name := range s.Zones {
		if name == g.zone {
			zone = i
		}
	}
	writes := make([]bool, len(s.Classes))
	local := make([]bool, len(s.Classes))
	for i, c := range s.Classes {
		writes[i] = c.Effect != "read_like"
		local[i] = c.local
	}
	object := map[string]any{
		"az": zone, "balancers": len(g.w.govs), "me": g.index, "dcs": s.Zones, "kinds": s.Kinds,
		"costs":     map[string]any{"connection": 0.02, "crossZone": 0.04, "handshake": 0.02, "lateFail": 0.05, "waste": 0.08},
		"discovery": s.discovery,
		"familyInfo": map[string]any{
			"admission": s.admission, "agents": all, "bootstrap": s.standing, "byZone": true, "classWrites": writes,
			"costPerLine": 0.02, "countedOverMs": 10000.0, "egressPerS": s.linesPerS, "envelope": float64(s.head),
			"exclusive": false, "holdMs": 300.0, "inFlightMaxMs": 7520.0, "intervalMs": float64(s.interval.Milliseconds()),
			"mostWaiting": s.backlog, "movePrice": 0.01, "outlierAfter": s.outlier, "perTry": 0.8, "pick": s.pick,
			"propagationMs": float64(s.travel.Milliseconds()), "pushDelayMaxMs": 2.5 * float64(s.travel.Milliseconds()),
			"reloadsMax": s.messages, "reportsPerS": s.perS, "retryDefault": s.retry, "shards": 0, "smallestConnTable": s.conns,
			"staysLocal": local, "tenureMs": 2500.0, "unservedMaxMs": s.unservedMs, "warmKeys": true,
		},
		"goal":   map[string]any{"tail": 0.2, "tailMiss": 0.1, "whole": 0.5, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.2},
		"grades": s.Classes, "kindOfService": "control",
		"limits": map[string]any{"connIdleMs": 15000.0, "connectTimeoutMs": 400.0, "cpuUsPerS": 621874, "peers": false,
			"probes": s.report == "on_probe", "streamsPerConn": 100},
		"report": map[string]any{"fields": s.fields(), "how": s.report},
		"rules": map[string]any{"askWithinMs": 10000.0, "coldFrom": s.coldFrom, "coldMs": float64(s.cold.Milliseconds()),
			"drainGraceMs": float64(s.drainGrace.Milliseconds()), "fallMs": s.fallMs, "overloadFactor": s.fallFactor},
		"tickMs": 4.0, "valueBy": "request", "weightSource": "off",
	}
	text, err := json.Marshal(object)
	if err != nil {
		panic(err) // the object holds nothing that JSON lacks
	}
	return text
}
