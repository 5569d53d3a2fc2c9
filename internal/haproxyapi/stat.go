package haproxyapi

import (
	"bytes"
	"fmt"
	"strconv"
)

// Stat is one row of "show stat", reduced to the columns that a controller reads.
type Stat struct {
	Proxy           []byte // pxname
	Server          []byte // svname; BACKEND in the row with the totals of a backend
	Status          []byte // status: UP, MAINT, DRAIN, ...
	Sessions        uint64 // stot
	CurrentSessions uint64 // scur
	Denied          uint64 // dreq
	ConnectErrors   uint64 // econ
	ResponseErrors  uint64 // eresp
	Retries         uint64 // wretr
	Weight          uint64
	ServerErrors    uint64 // hrsp_5xx
	Successes       uint64 // hrsp_1xx to hrsp_4xx
}

// Indexes of statColumns.
const (
	statProxy = iota
	statServer
	statStatus
	statCurrentSessions
	statSessions
	statDenied
	statConnectErrors
	statResponseErrors
	statRetries
	statWeight
	stat1xx
	stat2xx
	stat3xx
	stat4xx
	stat5xx

	statTextColumns = statStatus + 1
)

var statColumns = []string{
	"pxname", "svname", "status", "scur", "stot", "dreq", "econ", "eresp", "wretr", "weight",
	"hrsp_1xx", "hrsp_2xx", "hrsp_3xx", "hrsp_4xx", "hrsp_5xx",
}

// ReadStat parses the CSV answer to "show stat" and calls handle for each row, which is valid until handle returns.
// Columns are located by the header; unknown ones are ignored.
func ReadStat(text []byte, handle func(*Stat) error) error {
	table := columnReader{names: statColumns, textColumns: statTextColumns}
	var row Stat
	return forEachRow(text, ',', func(number int, line []byte, fields [][]byte) error {
		if number == 1 {
			if len(line) < 2 || line[0] != '#' {
				return fmt.Errorf("expected the header of \"show stat\", got %.40q", line)
			}
			fields[0] = bytes.TrimLeft(fields[0], "# ")
			return table.locate(fields)
		}
		if err := table.read(fields); err != nil {
			return err
		}
		counts := &table.counts
		row = Stat{
			Proxy:           fields[table.positions[statProxy]],
			Server:          fields[table.positions[statServer]],
			Status:          fields[table.positions[statStatus]],
			CurrentSessions: counts[statCurrentSessions],
			Sessions:        counts[statSessions],
			Denied:          counts[statDenied],
			ConnectErrors:   counts[statConnectErrors],
			ResponseErrors:  counts[statResponseErrors],
			Retries:         counts[statRetries],
			Weight:          counts[statWeight],
			Successes:       counts[stat1xx] + counts[stat2xx] + counts[stat3xx] + counts[stat4xx],
			ServerErrors:    counts[stat5xx],
		}
		return handle(&row)
	})
}

// AppendStatHeader appends the header of "show stat", with the columns that AppendStat writes.
func AppendStatHeader(dst []byte) []byte {
	dst = append(dst, "# "...)
	for _, name := range statColumns {
		dst = append(dst, name...)
		dst = append(dst, ',')
	}
	return append(dst, '\n')
}

// AppendStat appends one row of "show stat". All successful responses are written as hrsp_2xx.
func AppendStat(dst []byte, s *Stat) []byte {
	for _, text := range [...][]byte{s.Proxy, s.Server, s.Status} {
		dst = append(dst, text...)
		dst = append(dst, ',')
	}
	counts := [...]uint64{
		s.CurrentSessions, s.Sessions, s.Denied, s.ConnectErrors, s.ResponseErrors, s.Retries, s.Weight,
		0, s.Successes, 0, 0, s.ServerErrors,
	}
	for _, count := range counts {
		dst = strconv.AppendUint(dst, count, 10)
		dst = append(dst, ',')
	}
	return append(dst, '\n')
}
