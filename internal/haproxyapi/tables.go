package haproxyapi

import (
	"bytes"
	"fmt"
)

// entryPrefix begins each entry of a map or a stick table: a reference in hexadecimal.
const entryPrefix = "0x"

// ReadInfo reads "show info": lines of the form "name: value".
func ReadInfo(text []byte, handle func(name, value []byte) error) error {
	return forEachRow(text, '\n', func(_ int, line []byte, _ [][]byte) error {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			return fmt.Errorf("expected \"name: value\", got %.40q", line)
		}
		return handle(name, bytes.TrimSpace(value))
	})
}

// ReadMap reads "show map <map>": a line with a reference, a key and a value for each entry.
func ReadMap(text []byte, handle func(key, value []byte) error) error {
	return forEachRow(text, ' ', func(_ int, line []byte, fields [][]byte) error {
		if len(fields) < 3 || !bytes.HasPrefix(fields[0], []byte(entryPrefix)) {
			return fmt.Errorf("invalid map entry %.40q", line)
		}
		value := line[len(fields[0])+len(fields[1])+2:]
		return handle(fields[1], value)
	})
}

// StickEntry is an entry of "show table": what a proxy counts of a server's answers. The operators' manual describes
// how a real proxy is configured to count it.
type StickEntry struct {
	Key           []byte
	SuccessMillis uint64    // gpc0: sum of the times of successful answers, milliseconds
	Successes     uint64    // gpc1: number of successful answers
	Load          [4]uint64 // gpt0 to gpt3: the load values of the newest answer, in thousandths
	HasLoad       bool      // the entry has load values
}

// ReadTable reads "show table <name>". The row is valid until handle returns.
func ReadTable(text []byte, handle func(*StickEntry) error) error {
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

// readField takes one "name=value" of an entry; fields of other names are skipped.
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

// AppendTracked writes one entry of "show table".
func AppendTracked(dst []byte, reference int, t *StickEntry) []byte {
	dst = fmt.Appendf(dst, "%s%06x: key=%s use=0 exp=0 shard=0", entryPrefix, reference, t.Key)
	if t.HasLoad {
		for i, load := range t.Load {
			dst = fmt.Appendf(dst, " gpt%d=%d", i, load)
		}
	}
	return fmt.Appendf(dst, " gpc0=%d gpc1=%d\n", t.SuccessMillis, t.Successes)
}
