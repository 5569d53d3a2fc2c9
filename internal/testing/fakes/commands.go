package fakes

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"cressknot/internal/haproxyapi"
)

// anyArgs allows any number of arguments.
const anyArgs = -1

// initialWeight is the weight of the entries that a proxy starts with.
const initialWeight = 100

// operationalRunning is the value of srv_op_state for a running server; all servers are shown as running.
const operationalRunning = 2

// runtimeCommand is a command of the runtime API: its first words, the allowed number of arguments after them, and its
// handler. Handlers run with the proxy locked.
type runtimeCommand struct {
	prefix  []string
	minArgs int
	maxArgs int
	handle  func(p *Proxy, s *runtimeSession, args []string) []byte
}

// runtimeCommands are the supported commands. The first match handles a command.
var runtimeCommands = []runtimeCommand{
	{[]string{"show", "info"}, 0, anyArgs, showInfo},
	{[]string{"show", "stat"}, 0, anyArgs, showStat},
	{[]string{"show", "sess"}, 0, 0, showSessions},
	{[]string{"shutdown", "session"}, 1, 1, shutdownSession},
	{[]string{"show", "servers", "state"}, 0, anyArgs, showServersState},
	{[]string{"show", "map"}, 1, 1, showMap},
	{[]string{"show", "table"}, 1, 1, showTable},
	{[]string{"set", "map"}, 3, 3, setMap},
	{[]string{"add", "map"}, 3, 3, addMap},
	{[]string{"del", "map"}, 2, 2, deleteMap},
	{[]string{"get", "weight"}, 1, 1, getWeight},
	{[]string{"set", "weight"}, 2, 2, setWeight},
	{[]string{"set", "server"}, 3, anyArgs, setServer},
	{[]string{"add", "server"}, 2, anyArgs, addServer},
	{[]string{"del", "server"}, 1, 1, deleteServer},
}

// match returns the arguments of a command line, and false if it is another command or has too few or too many.
func (c *runtimeCommand) match(words []string) (args []string, ok bool) {
	if len(words) < len(c.prefix) || !slices.Equal(words[:len(c.prefix)], c.prefix) {
		return nil, false
	}
	args = words[len(c.prefix):]
	if len(args) < c.minArgs || c.maxArgs != anyArgs && len(args) > c.maxArgs {
		return nil, false
	}
	return args, true
}

// execute executes one command and returns the answer as HAProxy would give it.
func (p *Proxy) execute(command haproxyapi.Command, s *runtimeSession) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.commands++
	if s.ended { // commands still buffered at the shutdown are not executed
		return nil
	}
	p.logCommand(command.Words)
	for i := range runtimeCommands {
		if args, ok := runtimeCommands[i].match(command.Words); ok {
			return runtimeCommands[i].handle(p, s, args)
		}
	}
	return unknownCommand(command.Words)
}

func unknownCommand(words []string) []byte {
	return fmt.Appendf(nil, "%s'%s'.\n", haproxyapi.UnknownPrefix, strings.Join(words, " "))
}

// logCommand records a command unless it only reads. The oldest ones are dropped beyond maxCommandLog.
func (p *Proxy) logCommand(words []string) {
	if words[0] == "show" || words[0] == "get" {
		return
	}
	p.commandLog = append(p.commandLog, strings.Join(words, " "))
	p.commandLog = p.commandLog[max(0, len(p.commandLog)-maxCommandLog):]
}

// recordChange records that a command changed the server of "backend/server", and extends the proxy's stall by
// EntryDelay. Commands of a session that wrote a lease entry are reported to the watch.
func (p *Proxy) recordChange(s *runtimeSession, target string) {
	_, server, _ := strings.Cut(target, "/")
	s.changedServers[server] = true
	if s.controller != "" {
		p.watch.CommandExecuted(p.Name, s.controller, s.epoch)
	}
	if now := time.Now(); p.stalledUntil.Before(now) {
		p.stalledUntil = now
	}
	p.stalledUntil = p.stalledUntil.Add(p.EntryDelay)
}

// find returns the entry of "backend/server", or nil and the answer that says why there is none.
func (p *Proxy) find(target string) (*proxyEntry, string) {
	backend, server, ok := strings.Cut(target, "/")
	if !ok {
		return nil, haproxyapi.ServerRequired
	}
	entries, known := p.backends[backend]
	if _, configured := p.totals[backend]; !known && !configured {
		return nil, haproxyapi.NoBackend
	}
	for _, entry := range entries {
		if entry.name == server {
			return entry, ""
		}
	}
	return nil, haproxyapi.NoServer
}

func showInfo(p *Proxy, _ *runtimeSession, _ []string) []byte {
	uptime := int(time.Since(p.started).Seconds())
	return fmt.Appendf(nil, "Name: stand-in\nVersion: 1\nnode: %s\nPid: %d\nUptime_sec: %d\nStart_time_sec: %d\n",
		p.Name, os.Getpid(), uptime, p.started.Unix())
}

func showStat(p *Proxy, _ *runtimeSession, _ []string) []byte {
	return p.delayedOutput("stat", p.stat())
}

// stat formats the counters of all entries and backends as "show stat" does. The caller holds the lock.
func (p *Proxy) stat() []byte {
	statusByAdmin := map[uint64]string{0: "UP", haproxyapi.AdminDrain: "DRAIN", haproxyapi.AdminMaint: "MAINT"}
	out := haproxyapi.AppendStatHeader(nil)
	for _, class := range p.Classes {
		for _, entry := range p.backends[class.Backend] {
			entry.stat.Weight = uint64(entry.weight)
			entry.stat.Status = []byte(statusByAdmin[entry.admin])
			out = haproxyapi.AppendStat(out, &entry.stat)
		}
		out = haproxyapi.AppendStat(out, p.totals[class.Backend])
	}
	return out
}

// showSessions lists the sessions of the runtime socket and one session of a client request, which controllers must
// leave alone.
func showSessions(p *Proxy, _ *runtimeSession, _ []string) []byte {
	var out []byte
	for _, s := range p.conns {
		out = fmt.Appendf(out,
			"%s: proto=unix_stream src=unix:1 fe=GLOBAL be=<NONE> srv=<none> ts=00 epoch=0 age=%ds calls=%d\n",
			s.id, int(time.Since(s.since).Seconds()), s.commands)
	}
	return fmt.Appendf(out, "0x0fffffff: proto=tcpv4 src=127.0.0.1:5 fe=visits be=%s srv=none ts=00 age=1s calls=1\n",
		p.Classes[0].Backend)
}

func shutdownSession(p *Proxy, _ *runtimeSession, args []string) []byte {
	for conn, s := range p.conns {
		if s.id == args[0] {
			s.ended = true
			_ = conn.Close()
			return nil
		}
	}
	return []byte("No such session (use 'show sess').\n")
}

func showServersState(p *Proxy, s *runtimeSession, _ []string) []byte {
	s.stateRead = true
	out := haproxyapi.AppendServersStateHeader(nil)
	for i, class := range p.Classes {
		for _, entry := range p.backends[class.Backend] {
			host, portText, _ := net.SplitHostPort(entry.addr)
			port, _ := strconv.ParseUint(portText, 10, 16)
			out = haproxyapi.AppendServerState(out, i+1, entry.id, &haproxyapi.ServerState{
				Backend:     []byte(class.Backend),
				Server:      []byte(entry.name),
				Addr:        []byte(host),
				Port:        port,
				Operational: operationalRunning,
				Admin:       entry.admin,
				Weight:      uint64(entry.weight),
			})
		}
	}
	return out
}

func showMap(p *Proxy, _ *runtimeSession, args []string) []byte {
	if args[0] != p.Map {
		return []byte(haproxyapi.NoMap)
	}
	var out []byte
	for i, key := range p.mapKeys {
		out = fmt.Appendf(out, "0x%08x %s %s\n", i+1, key, p.mapEntries[key])
	}
	return out
}

func showTable(p *Proxy, _ *runtimeSession, args []string) []byte {
	if args[0] != p.Table {
		return []byte(haproxyapi.NoTable)
	}
	return p.delayedOutput("table", p.trackedTable(p.Table))
}

// trackedTable formats the stick table with the counters of successful answers by server.
func (p *Proxy) trackedTable(name string) []byte {
	out := fmt.Appendf(nil, "# table: %s, type: string, size:10240, used:%d\n", name, len(p.trackedNames))
	for i, server := range p.trackedNames {
		out = haproxyapi.AppendStickEntry(out, i+1, p.tracked[server])
	}
	return out
}

func setMap(p *Proxy, s *runtimeSession, args []string) []byte {
	if args[0] == p.Map && !p.hasKey(args[1]) {
		return []byte(haproxyapi.NoKey)
	}
	return addMap(p, s, args)
}

func addMap(p *Proxy, s *runtimeSession, args []string) []byte {
	name, key, value := args[0], args[1], args[2]
	if name != p.Map {
		return []byte(haproxyapi.NoMap)
	}
	if !p.hasKey(key) {
		p.mapKeys = append(p.mapKeys, key)
	}
	if strings.HasSuffix(key, ".version") {
		p.watch.VersionReceived(p.Name, key, value, isOlderVersion(value, p.mapEntries[key]))
	}
	p.mapEntries[key] = value
	s.recordLease(key, value)
	return nil
}

func (p *Proxy) hasKey(key string) bool {
	_, known := p.mapEntries[key]
	return known
}

// deleteMap deletes a key. It ignores the name of the map, as there is only one.
func deleteMap(p *Proxy, _ *runtimeSession, args []string) []byte {
	key := args[1]
	if !p.hasKey(key) {
		return []byte(haproxyapi.NoKey)
	}
	delete(p.mapEntries, key)
	p.mapKeys = slices.DeleteFunc(p.mapKeys, func(k string) bool { return k == key })
	return nil
}

func getWeight(p *Proxy, _ *runtimeSession, args []string) []byte {
	entry, failure := p.find(args[0])
	if entry == nil {
		return []byte(failure)
	}
	return fmt.Appendf(nil, "%d (initial %d)\n", entry.weight, initialWeight)
}

func setWeight(p *Proxy, s *runtimeSession, args []string) []byte {
	target, value := args[0], args[1]
	entry, failure := p.find(target)
	if entry == nil {
		return []byte(failure)
	}
	weight, err := strconv.Atoi(value)
	if err != nil || weight < 0 || weight > haproxyapi.MaxWeight {
		return []byte(haproxyapi.BadWeight)
	}
	entry.weight = weight
	p.recordChange(s, target)
	p.reportUsability()
	return nil
}

// setServer answers "set server backend/server weight|state|addr ...".
func setServer(p *Proxy, s *runtimeSession, args []string) []byte {
	target, property, values := args[0], args[1], args[2:]
	switch {
	case property == "weight" && len(values) == 1:
		return setWeight(p, s, []string{target, values[0]})
	case property == "state" && len(values) == 1:
		return setState(p, s, target, values[0])
	case property == "addr":
		return setAddr(p, target, values)
	}
	return unknownCommand(append([]string{"set", "server"}, args...))
}

func setState(p *Proxy, s *runtimeSession, target, state string) []byte {
	entry, failure := p.find(target)
	if entry == nil {
		return []byte(failure)
	}
	adminByState := map[string]uint64{"ready": 0, "drain": haproxyapi.AdminDrain, "maint": haproxyapi.AdminMaint}
	admin, ok := adminByState[state]
	if !ok {
		return []byte(haproxyapi.BadState)
	}
	entry.admin = admin
	p.recordChange(s, target)
	p.reportUsability()
	return nil
}

// setAddr changes the address of a server. The values are an address, or an address, "port" and a port.
func setAddr(p *Proxy, target string, values []string) []byte {
	entry, failure := p.find(target)
	if entry == nil {
		return []byte(failure)
	}
	_, port, _ := net.SplitHostPort(entry.addr)
	if len(values) == 3 && values[1] == "port" {
		port = values[2]
	}
	addr := net.JoinHostPort(values[0], port)
	if addr == entry.addr {
		return []byte(haproxyapi.AddrUnchanged + " the addr, port\n")
	}
	entry.addr = addr
	return []byte(haproxyapi.AddrChanged + " by 'stats socket command'\n")
}

func addServer(p *Proxy, s *runtimeSession, args []string) []byte {
	target, addr, options := args[0], args[1], args[2:]
	entry, failure := p.find(target)
	if entry != nil {
		return []byte(haproxyapi.ServerExists)
	}
	if failure != haproxyapi.NoServer {
		return []byte(failure)
	}
	weight := 1
	for i := 0; i+1 < len(options); i += 2 {
		if options[i] == "weight" {
			weight, _ = strconv.Atoi(options[i+1])
		}
	}
	backend, server, _ := strings.Cut(target, "/")
	p.add(backend, server, addr, weight, haproxyapi.AdminMaint)
	p.recordChange(s, target)
	return []byte(haproxyapi.Registered)
}

func deleteServer(p *Proxy, _ *runtimeSession, args []string) []byte {
	entry, failure := p.find(args[0])
	switch {
	case entry == nil:
		return []byte(failure)
	case entry.admin&haproxyapi.AdminMaint == 0:
		return []byte(haproxyapi.NotInMaintenance)
	case entry.inFlight > 0:
		return []byte(haproxyapi.HasConnections)
	}
	backend, _, _ := strings.Cut(args[0], "/")
	p.backends[backend] = slices.DeleteFunc(p.backends[backend], func(e *proxyEntry) bool { return e == entry })
	return []byte(haproxyapi.Deleted)
}
