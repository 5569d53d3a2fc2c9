package haproxyapi

import (
	"bytes"
	"fmt"
)

// Prompt is written before each request of an interactive session.
const Prompt = "> "

// AnswerParser parses a stream of answers. An answer consists of lines and ends with an empty line; in interactive
// sessions a prompt precedes it. The zero value is ready for use.
type AnswerParser struct {
	buffer  []byte
	scanned int   // number of leading bytes of buffer known to hold no end of an answer
	offset  int64 // position of the first byte of buffer in the stream
	err     error
}

// Feed parses the next bytes and calls handle for each complete answer, without its final empty line. The text is valid
// until handle returns. Errors, including those of handle, are final: every later call returns the same error.
func (a *AnswerParser) Feed(data []byte, handle func([]byte) error) error {
	if a.err != nil {
		return a.err
	}
	a.buffer = append(a.buffer, data...)
	start := 0
	for a.err == nil {
		body := skipPrompts(a.buffer[start:])
		bodyStart := len(a.buffer) - len(body)
		if len(body) > 0 && body[0] == '\n' { // an answer without text
			a.err = handle(nil)
			start = bodyStart + 1
			a.scanned = start
			continue
		}
		from := max(0, a.scanned-bodyStart-1)
		if from > len(body) {
			from = 0
		}
		end := bytes.Index(body[from:], []byte("\n\n"))
		if end < 0 {
			a.scanned = len(a.buffer)
			break
		}
		a.err = handle(body[:from+end+1])
		start = bodyStart + from + end + 2
		a.scanned = start
	}
	a.offset += int64(start)
	a.buffer = append(a.buffer[:0], a.buffer[start:]...)
	a.scanned = max(0, a.scanned-start)
	if a.err == nil && len(a.buffer) > MaxAnswerLength {
		a.err = &SyntaxError{a.offset + MaxAnswerLength, fmt.Sprintf("answer exceeds %d bytes", MaxAnswerLength)}
	}
	return a.err
}

// Held returns the number of bytes of incomplete answers.
func (a *AnswerParser) Held() int { return len(a.buffer) }

func skipPrompts(text []byte) []byte {
	for {
		rest, found := bytes.CutPrefix(text, []byte(Prompt))
		if !found {
			return text
		}
		text = rest
	}
}

// AppendAnswer appends the text of an answer and the empty line that ends it. Empty lines within the text are omitted,
// since the first one would end the answer.
func AppendAnswer(dst, text []byte) []byte {
	for line := range bytes.Lines(text) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		dst = append(dst, line...)
		dst = append(dst, '\n')
	}
	return append(dst, '\n')
}
