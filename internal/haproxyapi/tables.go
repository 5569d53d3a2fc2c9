package haproxyapi

import (
	"bytes"
	"fmt"
)

// entryPrefix begins each entry of a map or a stick table: the hexadecimal reference of the entry.
const entryPrefix = "0x"

// ReadInfo parses the answer to "show info" and calls handle for each line "name: value".
func ReadInfo(text []byte, handle func(name, value []byte) error) error {
	return forEachRow(text, '\n', func(_ int, line []byte, _ [][]byte) error {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			return fmt.Errorf("expected \"name: value\", got %.40q", line)
		}
		return handle(name, bytes.TrimSpace(value))
	})
}

// ReadMap parses the answer to "show map <map>" and calls handle for each entry, a line "<reference> <key> <value>".
func ReadMap(text []byte, handle func(key, value []byte) error) error {
	return forEachRow(text, ' ', func(_ int, line []byte, fields [][]byte) error {
		if len(fields) < 3 || !bytes.HasPrefix(fields[0], []byte(entryPrefix)) {
			return fmt.Errorf("invalid map entry %.40q: want \"0x<reference> <key> <value>\"", line)
		}
		value := line[len(fields[0])+len(fields[1])+2:]
		return handle(fields[1], value)
	})
}

// StickEntry is an entry of "show table": the counters of one server's responses at a proxy. The operators' manual
// describes the HAProxy configuration that maintains them.
type StickEntry struct {
	Key           []byte
	SuccessMillis uint64    // gpc0: sum of the response times of successful responses, in milliseconds
	Successes     uint64    // gpc1: number of successful responses
	Load          [4]uint64 // gpt0 to gpt3: load values of the latest response, in thousandths
	HasLoad       bool      // the entry has load values
}

// ReadStickTable parses the answer to "show table <name>" and calls handle for each entry, which is valid until handle
// returns.
func ReadStickTable(text []byte, handle func(*StickEntry) error) error {
	var row StickEntry
	return forEachRow(text, ' ', func(_ int, line []byte, fields [][]byte) error {
		if len(line) == 0 || line[0] == '#' {
			return nil
		}
		if !bytes.HasPrefix(fields[0], []byte(entryPrefix)) {
			return fmt.Errorf("invalid stick table entry %.40q", line)
		}
		row = StickEntry{}
		for _, field := range fields[1:] {
			if err := row.readField(field); err != nil {
				return err
			}
		}
		if row.Key == nil {
			return fmt.Errorf("stick table entry %.40q has no key", line)
		}
		return handle(&row)
	})
}

// readField parses one "name=value" field of an entry. Fields with other names are ignored.
func (t *StickEntry) readField(field []byte) error {
	name, value, ok := bytes.Cut(field, []byte("="))
	if !ok {
		return nil
	}
	var count *uint64
	switch string(name) {
	case "key":
		t.Key = value
		return nil
	case "gpc0":
		count = &t.SuccessMillis
	case "gpc1":
		count = &t.Successes
	case "gpt0", "gpt1", "gpt2", "gpt3":
		count = &t.Load[name[3]-'0']
		t.HasLoad = true
	default:
		return nil
	}
	*count, ok = parseCount(value)
	if !ok {
		return fmt.Errorf("%s: invalid count %.40q", name, value)
	}
	return nil
}

// AppendStickEntry appends one entry of "show table".
func AppendStickEntry(dst []byte, reference int, t *StickEntry) []byte {
	dst = fmt.Appendf(dst, "%s%06x: key=%s use=0 exp=0 shard=0", entryPrefix, reference, t.Key)
	if t.HasLoad {
		for i, load := range t.Load {
			dst = fmt.Appendf(dst, " gpt%d=%d", i, load)
		}
	}
	return fmt.Appendf(dst, " gpc0=%d gpc1=%d\n", t.SuccessMillis, t.Successes)
}
