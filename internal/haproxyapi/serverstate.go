package haproxyapi

import "fmt"

// ServerState is one row of "show servers state".
type ServerState struct {
	Backend     []byte
	Server      []byte
	Addr        []byte
	Port        uint64
	Operational uint64 // 0: stopped, 2: running
	Admin       uint64 // bits: AdminMaint, AdminDrain
	Weight      uint64 // srv_uweight: the user-visible weight
}

// Indexes of stateColumns.
const (
	stateBackend = iota
	stateServer
	stateAddr
	stateOperational
	stateAdmin
	stateWeight
	statePort

	stateTextColumns = stateAddr + 1
)

var stateColumns = []string{
	"be_name", "srv_name", "srv_addr", "srv_op_state", "srv_admin_state", "srv_uweight", "srv_port",
}

// stateFormat is the supported format version of "show servers state".
const stateFormat = "1"

// ReadServersState parses the answer to "show servers state" (a line with the format version, a header and a row per
// server) and calls handle for each row, which is valid until handle returns.
func ReadServersState(text []byte, handle func(*ServerState) error) error {
	table := columnReader{names: stateColumns, textColumns: stateTextColumns}
	var row ServerState
	return forEachRow(text, ' ', func(number int, line []byte, fields [][]byte) error {
		switch number {
		case 1:
			if string(line) != stateFormat {
				return fmt.Errorf("unsupported format version %.40q of \"show servers state\", want %s",
					line, stateFormat)
			}
			return nil
		case 2:
			return readStateHeader(&table, line, fields)
		}
		if err := table.read(fields); err != nil {
			return err
		}
		row = ServerState{
			Backend:     fields[table.positions[stateBackend]],
			Server:      fields[table.positions[stateServer]],
			Addr:        fields[table.positions[stateAddr]],
			Operational: table.counts[stateOperational],
			Admin:       table.counts[stateAdmin],
			Weight:      table.counts[stateWeight],
			Port:        table.counts[statePort],
		}
		return handle(&row)
	})
}

// readStateHeader locates the columns. The first field of the header is "#", which has no counterpart in the rows.
func readStateHeader(table *columnReader, line []byte, fields [][]byte) error {
	if string(fields[0]) != "#" {
		return fmt.Errorf("expected the header of \"show servers state\", got %.40q", line)
	}
	return table.locate(fields[1:])
}

// AppendServersStateHeader appends the first two lines of "show servers state": the format version and the header.
func AppendServersStateHeader(dst []byte) []byte {
	return append(dst, stateFormat+"\n# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight "+
		"srv_iweight srv_time_since_last_change srv_check_status srv_check_result srv_check_health "+
		"srv_check_state srv_agent_state bk_f_forced_id srv_f_forced_id srv_fqdn srv_port srvrecord srv_use_ssl "+
		"srv_check_port srv_check_addr srv_agent_addr srv_agent_port\n"...)
}

// AppendServerState appends one row of "show servers state". Columns that ServerState lacks get constant values.
func AppendServerState(dst []byte, backendID, serverID int, s *ServerState) []byte {
	return fmt.Appendf(dst, "%d %s %d %s %s %d %d %d %d 0 1 0 0 0 0 0 0 - %d - 0 0 - - 0\n", backendID, s.Backend,
		serverID, s.Server, s.Addr, s.Operational, s.Admin, s.Weight, s.Weight, s.Port)
}
