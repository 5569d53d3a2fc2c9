// Package haproxyapi implements the text protocol of HAProxy's runtime API as described in its management guide
// ("9.3. Unix Socket commands"): request lines with commands separated by ";", words separated by spaces, backslashes
// that escape a space or a semicolon, a payload after "<<", answers that end with an empty line, and the tables in
// such answers. Except for Listen it performs no I/O: callers pass received bytes, split anywhere, to Feed and send the
// bytes that the Append functions produce.
package haproxyapi

import (
	"bytes"
	"fmt"
	"strings"
)

const (
	// MaxLineLength is the maximum length of a request line in bytes. HAProxy stores a line in one buffer of 16 kB
	// (tune.bufsize).
	MaxLineLength = 16384
	// MaxPayloadLength is the maximum length of a payload in bytes, limited by the same buffer.
	MaxPayloadLength = 16384
	// MaxAnswerLength is the maximum length of one answer in bytes. "show stat" of 700 servers in 16 classes takes
	// about 5 MB.
	MaxAnswerLength = 64 << 20
	// MaxWords is the maximum number of words of a command, as in HAProxy (MAX_CLI_ARGS).
	MaxWords = 64
)

// payloadPrefix begins the last word of a line that is followed by a payload. The rest of that word is the terminator:
// the line that ends the payload.
const payloadPrefix = "<<"

// Command is one command of a request line. Words and Payload are valid until the next Feed.
type Command struct {
	Words   []string
	Payload []byte
	Offset  int64 // position in the stream at which the line of the command begins, in bytes
}

// SyntaxError reports the position in bytes at which a stream could not be parsed, and why.
type SyntaxError struct {
	Offset int64
	Reason string
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("byte %d: %s", e.Offset, e.Reason) }

// RequestParser parses a stream of requests. The zero value is ready for use.
type RequestParser struct {
	buffer     []byte
	offset     int64 // position of the first byte of buffer in the stream
	err        error
	inPayload  bool
	commands   []Command // commands of the line whose payload is being read
	terminator []byte    // line that ends the payload
	payload    []byte
}

// Feed parses the next bytes and calls handle once for every request line that is complete, including its payload.
// Errors, including those of handle, are final: every later call returns the same error.
func (p *RequestParser) Feed(data []byte, handle func([]Command) error) error {
	if p.err != nil {
		return p.err
	}
	p.buffer = append(p.buffer, data...)
	start := 0
	for {
		end := bytes.IndexByte(p.buffer[start:], '\n')
		if end < 0 {
			break
		}
		line := bytes.TrimSuffix(p.buffer[start:start+end], []byte("\r"))
		if err := p.parseLine(line, p.offset+int64(start), handle); err != nil {
			p.err = err
			return err
		}
		start += end + 1
	}
	p.offset += int64(start)
	p.buffer = append(p.buffer[:0], p.buffer[start:]...)
	if len(p.buffer) > MaxLineLength {
		p.err = lineTooLong(p.offset)
	}
	return p.err
}

// Partial reports whether the input so far ends within a line or a payload.
func (p *RequestParser) Partial() bool { return len(p.buffer) > 0 || p.inPayload }

// Held returns the number of bytes of incomplete requests that the parser holds.
func (p *RequestParser) Held() int { return cap(p.buffer) + cap(p.payload) }

// parseLine parses one line, which begins at the given offset of the stream.
func (p *RequestParser) parseLine(line []byte, offset int64, handle func([]Command) error) error {
	if len(line) > MaxLineLength {
		return lineTooLong(offset)
	}
	if p.inPayload {
		return p.parsePayloadLine(line, offset, handle)
	}
	commands, err := Split(line, offset)
	if err != nil || len(commands) == 0 {
		return err
	}
	last := &commands[len(commands)-1]
	terminator, hasPayload := strings.CutPrefix(last.Words[len(last.Words)-1], payloadPrefix)
	if len(last.Words) == 1 || !hasPayload {
		return handle(commands)
	}
	last.Words = last.Words[:len(last.Words)-1]
	p.inPayload = true
	p.commands = commands
	p.payload = p.payload[:0]
	p.terminator = append(p.terminator[:0], terminator...)
	return nil
}

func (p *RequestParser) parsePayloadLine(line []byte, offset int64, handle func([]Command) error) error {
	if bytes.Equal(line, p.terminator) {
		p.inPayload = false
		p.commands[len(p.commands)-1].Payload = p.payload
		return handle(p.commands)
	}
	if len(p.payload)+len(line) >= MaxPayloadLength {
		return &SyntaxError{offset, fmt.Sprintf("payload exceeds %d bytes", MaxPayloadLength)}
	}
	p.payload = append(p.payload, line...)
	p.payload = append(p.payload, '\n')
	return nil
}

func lineTooLong(offset int64) error {
	return &SyntaxError{offset + MaxLineLength, fmt.Sprintf("line exceeds %d bytes", MaxLineLength)}
}
