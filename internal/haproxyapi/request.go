// Package haproxyapi is the text protocol of a proxy's runtime socket, in the manner of HAProxy's, as the
// management guide of that program publishes it ("9.3. Unix Socket commands"): request lines with commands
// separated by ";", words separated by spaces, backslashes that keep a space or a semicolon, a payload
// after "<<", answers that end with an empty line, and the tables that such answers hold. But for Listen it does no I/O:
// bytes come in by Feed in whatever pieces they arrive, bytes go out by the Append functions.
package haproxyapi

import (
	"bytes"
	"fmt"
)

const (
	// MaxLineLength is the most bytes of a request line: the specification keeps a line in one buffer of
	// 16 kB (tune.bufsize).
	MaxLineLength = 16384
	// MaxPayloadLength is the most bytes of a payload: the same buffer.
	MaxPayloadLength = 16384
	// MaxAnswerLength is the most bytes of one answer: 700 servers in 16 classes take some 5 MB of "show stat".
	MaxAnswerLength = 64 << 20
	// MaxWords is the most words of a command, as in the specification (MAX_CLI_ARGS).
	MaxWords = 64
)

// Command is one command of a request line. Words and Payload are good until the next Feed.
type Command struct {
	Words   []string
	Payload []byte
	Offset  int64 // the byte of the stream at which the command's line began
}

// SyntaxError tells which byte of a stream could not be taken, and why.
type SyntaxError struct {
	Offset int64
	Reason string
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("byte %d: %s", e.Offset, e.Reason) }

// Requests takes a stream of requests apart. The zero value is ready for use.
type Requests struct {
	buffer  []byte
	at      int64 // of the buffer's first byte
	open    []Command
	pattern []byte // ends the payload being read
	payload []byte
	inside  bool // reads a payload
	failed  error
}

// Feed takes the next bytes and calls line once for every request line that is complete with its payload.
// After an error the stream can't be followed any more; every further call returns the same error.
func (r *Requests) Feed(data []byte, line func([]Command) error) error {
	if r.failed != nil {
		return r.failed
	}
	r.buffer = append(r.buffer, data...)
	start := 0
	for {
		end := bytes.IndexByte(r.buffer[start:], '\n')
		if end < 0 {
			break
		}
		text := bytes.TrimSuffix(r.buffer[start:start+end], []byte("\r"))
		if err := r.line(text, r.at+int64(start), line); err != nil {
			r.failed = err
			return err
		}
		start += end + 1
	}
	r.at += int64(start)
	r.buffer = append(r.buffer[:0], r.buffer[start:]...)
	if len(r.buffer) > MaxLineLength {
		r.failed = &SyntaxError{r.at + MaxLineLength, fmt.Sprintf("a line of over %d bytes", MaxLineLength)}
	}
	return r.failed
}

// Partial tells whether a line or a payload is begun and not complete.
func (r *Requests) Partial() bool { return len(r.buffer) > 0 || r.inside }

func (r *Requests) line(text []byte, at int64, emit func([]Command) error) error {
	if len(text) > MaxLineLength {
		return &SyntaxError{at + MaxLineLength, fmt.Sprintf("a line of over %d bytes", MaxLineLength)}
	}
	if r.inside {
		if !bytes.Equal(text, r.pattern) {
			if len(r.payload)+len(text) >= MaxPayloadLength {
				return &SyntaxError{at, fmt.Sprintf("a payload of over %d bytes", MaxPayloadLength)}
			}
			r.payload = append(append(r.payload, text...), '\n')
			return nil
		}
		r.inside = false
		r.open[len(r.open)-1].Payload = r.payload
		return emit(r.open)
	}
	commands, err := Split(text, at)
	if err != nil || len(commands) == 0 {
		return err
	}
	last := &commands[len(commands)-1]
	if word := last.Words[len(last.Words)-1]; len(last.Words) > 1 && len(word) >= 2 && word[:2] == "<<" {
		last.Words = last.Words[:len(last.Words)-1]
		r.open, r.inside, r.payload, r.pattern = commands, true, r.payload[:0], append(r.pattern[:0], word[2:]...)
		return nil
	}
	return emit(commands)
}

// Split takes one request line apart, without its line end. At is the byte of the stream at which it begins.
func Split(text []byte, at int64) ([]Command, error) {
	var commands []Command
	var words []string
	word, begun, over := []byte(nil), false, false
	endWord := func() {
		if begun {
			words = append(words, string(word))
			over = over || len(words) > MaxWords
		}
		word, begun = word[:0], false
	}
	endCommand := func() {
		if endWord(); len(words) > 0 {
			commands = append(commands, Command{Words: words, Offset: at})
		}
		words = nil
	}
	for i := 0; i < len(text); i++ {
		c := text[i]
		kept := c == '\\' && i+1 < len(text)
		if kept {
			i++
			c = text[i]
		}
		switch {
		case c < ' ' || c == 0x7f: // kept or not: no word printed again could carry it
			return nil, &SyntaxError{at + int64(i), fmt.Sprintf("the control character %#02x", c)}
		case kept:
			word, begun = append(word, c), true
		case c == ' ':
			endWord()
		case c == ';':
			endCommand()
		default:
			word, begun = append(word, c), true
		}
		if over {
			return nil, &SyntaxError{at + int64(i), fmt.Sprintf("a command of over %d words", MaxWords)}
		}
	}
	if endCommand(); over {
		return nil, &SyntaxError{at + int64(len(text)), fmt.Sprintf("a command of over %d words", MaxWords)}
	}
	return commands, nil
}

// AppendWord appends a word with what must be kept from being read as syntax.
func AppendWord(dst []byte, word string) []byte {
	for i := range len(word) {
		if c := word[i]; c == ' ' || c == ';' || c == '\\' {
			dst = append(dst, '\\')
		}
		dst = append(dst, word[i])
	}
	return dst
}

// AppendCommand appends words as one command, without separator or line end.
func AppendCommand(dst []byte, words ...string) []byte {
	for i, word := range words {
		if i > 0 {
			dst = append(dst, ' ')
		}
		dst = AppendWord(dst, word)
	}
	return dst
}
