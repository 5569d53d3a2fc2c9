package haproxyapi

import (
	"bytes"
	"fmt"
)

// Prompt is what an interactive session shows before each request.
const Prompt = "> "

// Answers takes a stream of answers apart: each is some lines and then an empty one; in interactive
// sessions a prompt goes before it. The zero value is ready for use.
type Answers struct {
	buffer []byte
	seen   int   // of the buffer: holds no end of an answer
	at     int64 // of the buffer's first byte
	failed error
}

// Feed takes the next bytes and calls answer for each complete one, without its empty line. The text is
// good until answer returns. After an error the stream can't be followed any more.
func (a *Answers) Feed(data []byte, answer func([]byte) error) error {
	if a.failed != nil {
		return a.failed
	}
	a.buffer = append(a.buffer, data...)
	start := 0
	for a.failed == nil {
		body := a.buffer[start:]
		skip := 0
		for bytes.HasPrefix(body[skip:], []byte(Prompt)) {
			skip += len(Prompt)
		}
		body = body[skip:]
		if len(body) > 0 && body[0] == '\n' { // an answer without a word
			a.failed = answer(nil)
			start += skip + 1
			a.seen = start
			continue
		}
		from := max(0, a.seen-start-skip-1)
		if from > len(body) {
			from = 0
		}
		end := bytes.Index(body[from:], []byte("\n\n"))
		if end < 0 {
			a.seen = len(a.buffer)
			break
		}
		a.failed = answer(body[:from+end+1])
		start += skip + from + end + 2
		a.seen = start
	}
	a.at += int64(start)
	a.buffer = append(a.buffer[:0], a.buffer[start:]...)
	a.seen = max(0, a.seen-start)
	if a.failed == nil && len(a.buffer) > MaxAnswerLength {
		a.failed = &SyntaxError{a.at + MaxAnswerLength, fmt.Sprintf("an answer of over %d bytes", MaxAnswerLength)}
	}
	return a.failed
}

// AppendAnswer appends an answer's text with the empty line that ends it. Empty lines inside would end it
// early and are left out.
func AppendAnswer(dst, text []byte) []byte {
	for line := range bytes.Lines(text) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 {
			dst = append(append(dst, line...), '\n')
		}
	}
	return append(dst, '\n')
}

// Session is the answering end of one connection: it takes requests apart, has them answered in order and
// keeps the modes that the specification gives a connection.
type Session struct {
	// Answer answers one command; the text needs no empty line at its end.
	Answer      func(Command) []byte
	requests    Requests
	interactive bool
	prompt      bool
	out         []byte
}

// Feed takes the next bytes of the connection and returns what to write; it is good until the next Feed.
// Done: the connection is to be closed after that (one line answered out of interactive mode, "quit", or
// a request that can't be taken apart, which is told).
func (s *Session) Feed(data []byte) (reply []byte, done bool) {
	s.out = s.out[:0]
	err := s.requests.Feed(data, func(commands []Command) error {
		if done {
			return nil
		}
		for _, c := range commands {
			switch c.Words[0] {
			case "quit":
				done = true
				return nil
			case "prompt":
				s.setPrompt(c.Words[1:])
			default:
				s.out = AppendAnswer(s.out, s.Answer(c))
				continue
			}
			s.out = append(s.out, '\n')
		}
		if done = !s.interactive; s.prompt {
			s.out = append(s.out, Prompt...)
		}
		return nil
	})
	if err != nil {
		s.out = AppendAnswer(s.out, fmt.Appendf(nil, "Can't read the request: %v.\n", err))
		done = true
	}
	return s.out, done
}

// setPrompt follows "prompt": without a word it toggles, "n" leaves interactive mode, "i" enters it
// without a prompt, "p" with one.
func (s *Session) setPrompt(words []string) {
	if len(words) == 0 {
		s.interactive = !s.prompt
		s.prompt = s.interactive
		return
	}
	for _, w := range words {
		switch w {
		case "n":
			s.interactive, s.prompt = false, false
		case "i":
			s.interactive, s.prompt = true, false
		case "p":
			s.interactive, s.prompt = true, true
		}
	}
}
