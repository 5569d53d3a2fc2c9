package haproxyapi

import (
	"bytes"
	"fmt"
)

// forEachRow calls handle for every line of a text, with the line number, counted from 1, and the fields of the line,
// which are valid until handle returns. An error of handle ends the loop and is returned with the line number. It
// allocates nothing per line.
func forEachRow(text []byte, separator byte, handle func(number int, line []byte, fields [][]byte) error) error {
	var fields [][]byte
	number := 0
	for len(text) > 0 {
		line := text
		if end := bytes.IndexByte(text, '\n'); end >= 0 {
			line = text[:end]
			text = text[end+1:]
		} else {
			text = nil
		}
		number++
		fields = splitFields(fields[:0], line, separator)
		if err := handle(number, line, fields); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
	return nil
}

func splitFields(fields [][]byte, line []byte, separator byte) [][]byte {
	for {
		end := bytes.IndexByte(line, separator)
		if end < 0 {
			break
		}
		fields = append(fields, line[:end])
		line = line[end+1:]
	}
	return append(fields, line)
}

// maxColumns is the maximum number of columns that a columnReader reads.
const maxColumns = 16

// columnReader reads the named columns of a table, at the positions given by its header. The first textColumns names
// are columns of text, the others of counts.
type columnReader struct {
	names       []string
	textColumns int
	positions   [maxColumns]int    // index in a row, by index in names
	counts      [maxColumns]uint64 // of the latest row, by index in names; 0 for text
}

// locate finds the positions of all columns in the header.
func (c *columnReader) locate(header [][]byte) error {
	for i, name := range c.names {
		c.positions[i] = -1
		for position, field := range header {
			if string(field) == name {
				c.positions[i] = position
			}
		}
		if c.positions[i] < 0 {
			return fmt.Errorf("header has no column %q", name)
		}
	}
	return nil
}

// read checks that a row has all columns, and parses its counts.
func (c *columnReader) read(fields [][]byte) error {
	for i := range c.names {
		position := c.positions[i]
		if position >= len(fields) {
			return fmt.Errorf("row has %d fields: column %q is missing", len(fields), c.names[i])
		}
		if i < c.textColumns {
			continue
		}
		count, ok := parseCount(fields[position])
		if !ok {
			return fmt.Errorf("column %q: invalid count %.40q", c.names[i], fields[position])
		}
		c.counts[i] = count
	}
	return nil
}

// maxCountDigits is the number of decimal digits that always fit a uint64.
const maxCountDigits = 19

// parseCount parses a decimal count. An empty field counts as 0, since HAProxy leaves inapplicable columns empty.
func parseCount(text []byte) (count uint64, ok bool) {
	if len(text) > maxCountDigits {
		return 0, false
	}
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		count = count*10 + uint64(digit-'0')
	}
	return count, true
}
