package haproxyapi

import (
	"bytes"
	"fmt"
	"strconv"
)

// Texts with which a proxy answers a command that did as told, or why it did not.
const (
	Done          = ""
	Registered    = "New server registered.\n"
	Deleted       = "Server deleted.\n"
	NoBackend     = "No such backend.\n"
	NoServer      = "No such server.\n"
	NeedServer    = "Require 'backend/server'.\n"
	Exists        = "Already exists a server with the same name in backend.\n"
	NotInMaint    = "Only servers in maintenance mode can be deleted.\n"
	HasConns      = "Server still has connections attached to it, cannot remove it.\n"
	NoMap         = "Unknown map identifier. Please use #<id> or <file>.\n"
	NoKey         = "entry not found.\n"
	NoTable       = "No such table.\n"
	BadWeight     = "Absolute weight can only be between 0 and 256 inclusive.\n"
	BadState      = "'set server <srv> state' expects 'ready', 'drain' and 'maint'.\n"
	AddrChanged   = "IP changed"        // what follows tells from which to which
	AddrStays     = "no need to change" // the address stood already
	UnknownPrefix = "Unknown command: "
)

// MaxWeight is the largest weight of a server.
const MaxWeight = 256

// Admin states of a server, as bits of srv_admin_state in "show servers state".
const (
	AdminMaint = 0x01 // SRV_ADMF_FMAINT: forced into maintenance by the socket
	AdminDrain = 0x08 // SRV_ADMF_FDRAIN: forced into draining by the socket
)

// Rows calls each for every line of a text, with the fields of that line; the fields are good until each
// returns. It is the base of the readers below and allocates nothing per line.
func rows(text []byte, sep byte, each func(n int, line []byte, fields [][]byte) error) error {
	var fields [][]byte
	n := 0
	for len(text) > 0 {
		end := bytes.IndexByte(text, '\n')
		line := text
		if end >= 0 {
			line, text = text[:end], text[end+1:]
		} else {
			text = nil
		}
		n++
		fields = fields[:0]
		for rest := line; ; {
			cut := bytes.IndexByte(rest, sep)
			if cut < 0 {
				fields = append(fields, rest)
				break
			}
			fields = append(fields, rest[:cut])
			rest = rest[cut+1:]
		}
		if err := each(n, line, fields); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
	}
	return nil
}

// Stat is a line of "show stat": the counters that a governor reads. Times in milliseconds.
type Stat struct {
	Proxy, Server []byte // pxname, svname; svname is BACKEND for the sum of a backend
	Status        []byte // status: UP, MAINT, DRAIN and others
	Sessions      uint64 // stot
	Held          uint64 // scur
	Denied        uint64 // dreq
	ConnFailed    uint64 // econ
	RespFailed    uint64 // eresp
	Retries       uint64 // wretr
	Weight        uint64
	Errors        uint64 // hrsp_5xx
	Good          uint64 // hrsp_1xx to hrsp_4xx
}

var statColumns = [...]string{"pxname", "svname", "status", "scur", "stot", "dreq", "econ", "eresp", "wretr", "weight",
	"hrsp_1xx", "hrsp_2xx", "hrsp_3xx", "hrsp_4xx", "hrsp_5xx"}

// ReadStat reads the CSV of "show stat" by its header, whatever further columns it has.
func ReadStat(text []byte, each func(*Stat) error) error {
	var at [len(statColumns)]int
	var row Stat
	return rows(text, ',', func(n int, line []byte, fields [][]byte) error {
		if n == 1 {
			if len(line) < 2 || line[0] != '#' {
				return fmt.Errorf("no header of \"show stat\" (%.40q)", line)
			}
			fields[0] = bytes.TrimLeft(fields[0], "# ")
			for c, name := range statColumns {
				at[c] = -1
				for i, f := range fields {
					if string(f) == name {
						at[c] = i
					}
				}
				if at[c] < 0 {
					return fmt.Errorf("no column %q", name)
				}
			}
			return nil
		}
		var v [len(statColumns)]uint64
		for c := range statColumns {
			if at[c] >= len(fields) {
				return fmt.Errorf("column %q is missing", statColumns[c])
			}
			if c < 3 {
				continue
			}
			var ok bool
			if v[c], ok = number(fields[at[c]]); !ok {
				return fmt.Errorf("column %q: %.40q is no count", statColumns[c], fields[at[c]])
			}
		}
		row = Stat{Proxy: fields[at[0]], Server: fields[at[1]], Status: fields[at[2]], Held: v[3], Sessions: v[4], Denied: v[5],
			ConnFailed: v[6], RespFailed: v[7], Retries: v[8], Weight: v[9],
			Good: v[10] + v[11] + v[12] + v[13], Errors: v[14]}
		return each(&row)
	})
}

// number reads a count; an empty field is 0, as columns that don't apply are empty.
func number(text []byte) (uint64, bool) {
	if len(text) > 19 {
		return 0, false
	}
	n := uint64(0)
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, true
}

// AppendStatHeader and AppendStat print "show stat".
func AppendStatHeader(dst []byte) []byte {
	dst = append(dst, "# "...)
	for _, name := range statColumns {
		dst = append(append(dst, name...), ',')
	}
	return append(dst, '\n')
}

// AppendStat prints one line. Good answers all count as 2xx.
func AppendStat(dst []byte, s *Stat) []byte {
	dst = append(append(dst, s.Proxy...), ',')
	dst = append(append(dst, s.Server...), ',')
	dst = append(append(dst, s.Status...), ',')
	for _, v := range [...]uint64{s.Held, s.Sessions, s.Denied, s.ConnFailed, s.RespFailed, s.Retries, s.Weight,
		0, s.Good, 0, 0, s.Errors} {
		dst = append(strconv.AppendUint(dst, v, 10), ',')
	}
	return append(dst, '\n')
}

// ServerState is a line of "show servers state".
type ServerState struct {
	Backend, Server, Addr []byte
	Port                  uint64
	Operational           uint64 // 0: stopped, 2: running
	Admin                 uint64 // Admin bits
	Weight                uint64 // srv_uweight: the user-visible weight
}

var stateColumns = [...]string{"be_name", "srv_name", "srv_addr", "srv_op_state", "srv_admin_state", "srv_uweight",
	"srv_port"}

// ReadServersState reads "show servers state": a line with the format's version, 1, a header and a line a
// server.
func ReadServersState(text []byte, each func(*ServerState) error) error {
	var at [len(stateColumns)]int
	var row ServerState
	return rows(text, ' ', func(n int, line []byte, fields [][]byte) error {
		switch n {
		case 1:
			if string(line) != "1" {
				return fmt.Errorf("format %.40q of \"show servers state\" is not known, only 1 is", line)
			}
			return nil
		case 2:
			if string(fields[0]) != "#" {
				return fmt.Errorf("no header of \"show servers state\" (%.40q)", line)
			}
			for c, name := range stateColumns {
				at[c] = -1
				for i, f := range fields[1:] {
					if string(f) == name {
						at[c] = i
					}
				}
				if at[c] < 0 {
					return fmt.Errorf("no column %q", name)
				}
			}
			return nil
		}
		var v [len(stateColumns)]uint64
		for c := range stateColumns {
			if at[c] >= len(fields) {
				return fmt.Errorf("column %q is missing", stateColumns[c])
			}
			if c < 3 {
				continue
			}
			var ok bool
			if v[c], ok = number(fields[at[c]]); !ok {
				return fmt.Errorf("column %q: %.40q is no number", stateColumns[c], fields[at[c]])
			}
		}
		row = ServerState{Backend: fields[at[0]], Server: fields[at[1]], Addr: fields[at[2]], Operational: v[3],
			Admin: v[4], Weight: v[5], Port: v[6]}
		return each(&row)
	})
}

// AppendServersStateHeader prints the first two lines of "show servers state".
func AppendServersStateHeader(dst []byte) []byte {
	return append(dst, "1\n# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight "+
		"srv_iweight srv_time_since_last_change srv_check_status srv_check_result srv_check_health "+
		"srv_check_state srv_agent_state bk_f_forced_id srv_f_forced_id srv_fqdn srv_port srvrecord srv_use_ssl "+
		"srv_check_port srv_check_addr srv_agent_addr srv_agent_port\n"...)
}

// AppendServerState prints one line of "show servers state".
func AppendServerState(dst []byte, backendID, serverID int, s *ServerState) []byte {
	return fmt.Appendf(dst, "%d %s %d %s %s %d %d %d %d 0 1 0 0 0 0 0 0 - %d - 0 0 - - 0\n", backendID, s.Backend,
		serverID, s.Server, s.Addr, s.Operational, s.Admin, s.Weight, s.Weight, s.Port)
}

// ReadPairs reads "show info": "Name: value" lines.
func ReadPairs(text []byte, each func(name, value []byte) error) error {
	return rows(text, '\n', func(n int, line []byte, _ [][]byte) error {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			return fmt.Errorf("%.40q is no \"name: value\"", line)
		}
		return each(name, bytes.TrimSpace(value))
	})
}

// ReadMap reads "show map <map>": a reference, a key and a value a line.
func ReadMap(text []byte, each func(key, value []byte) error) error {
	return rows(text, ' ', func(n int, line []byte, fields [][]byte) error {
		if len(fields) < 3 || !bytes.HasPrefix(fields[0], []byte("0x")) {
			return fmt.Errorf("%.40q is no entry of a map", line)
		}
		value := line[len(fields[0])+len(fields[1])+2:]
		return each(fields[1], value)
	})
}

// Tracked is an entry of "show table": what a proxy keeps of a server's answers. The operators' page tells
// how a real proxy is made to keep them.
type Tracked struct {
	Key     []byte
	GoodMs  uint64    // gpc0: sum of the times of good answers, milliseconds
	Good    uint64    // gpc1: how many those were
	Load    [4]uint64 // gpt0 to gpt3: the load figures of the newest answer, in thousandths
	HasLoad bool      // gpt0 stood in the entry
}

// ReadTable reads "show table <name>".
func ReadTable(text []byte, each func(*Tracked) error) error {
	var row Tracked
	return rows(text, ' ', func(n int, line []byte, fields [][]byte) error {
		if len(line) == 0 || line[0] == '#' {
			return nil
		}
		if !bytes.HasPrefix(fields[0], []byte("0x")) {
			return fmt.Errorf("%.40q is no entry of a table", line)
		}
		row = Tracked{}
		for _, f := range fields[1:] {
			name, value, ok := bytes.Cut(f, []byte("="))
			if !ok {
				continue
			}
			if string(name) == "key" {
				row.Key = value
				continue
			}
			var into *uint64
			switch string(name) {
			case "gpc0":
				into = &row.GoodMs
			case "gpc1":
				into = &row.Good
			case "gpt0", "gpt1", "gpt2", "gpt3":
				into = &row.Load[name[3]-'0']
				row.HasLoad = true
			default:
				continue
			}
			if *into, ok = number(value); !ok {
				return fmt.Errorf("%s: %.40q is no count", name, value)
			}
		}
		if row.Key == nil {
			return fmt.Errorf("%.40q has no key", line)
		}
		return each(&row)
	})
}

// AppendTracked prints one entry of "show table".
func AppendTracked(dst []byte, ref int, t *Tracked) []byte {
	dst = fmt.Appendf(dst, "0x%06x: key=%s use=0 exp=0 shard=0", ref, t.Key)
	if t.HasLoad {
		for i, v := range t.Load {
			dst = fmt.Appendf(dst, " gpt%d=%d", i, v)
		}
	}
	return fmt.Appendf(dst, " gpc0=%d gpc1=%d\n", t.GoodMs, t.Good)
}
