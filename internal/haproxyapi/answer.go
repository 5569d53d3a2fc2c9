package haproxyapi

import (
	"bytes"
	"fmt"
)

// Prompt is what an interactive session shows before each request.
const Prompt = "> "

// AnswerParser parses a stream of answers: each is some lines followed by an empty one; in interactive sessions a
// prompt goes before it. The zero value is ready for use.
type AnswerParser struct {
	buffer  []byte
	scanned int   // length of the buffer's beginning that has no end of an answer
	offset  int64 // of the buffer's first byte in the stream
	err     error
}

// Feed takes the next bytes and calls handle for each complete answer, without its empty line. The text is valid until
// handle returns. After an error the stream can't be followed any more.
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

func skipPrompts(text []byte) []byte {
	for {
		rest, found := bytes.CutPrefix(text, []byte(Prompt))
		if !found {
			return text
		}
		text = rest
	}
}

// AppendAnswer appends an answer's text with the empty line that ends it. Empty lines inside would end it early and are
// left out.
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
