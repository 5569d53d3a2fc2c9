package haproxyapi

import "fmt"

// Session is the answering end of one connection: it parses requests, has them answered in order and applies the
// modes that the specification gives a connection.
type Session struct {
	// Answer answers one command; the text needs no empty line at its end.
	Answer      func(Command) []byte
	requests    RequestParser
	interactive bool
	prompt      bool
	out         []byte
}

// Feed takes the next bytes of the connection and returns what to write; that is valid until the next Feed.
// Done means that the connection is to be closed after that: one line was answered out of interactive mode, the caller
// sent "quit", or a request could not be parsed, which the reply reports.
func (s *Session) Feed(data []byte) (reply []byte, done bool) {
	s.out = s.out[:0]
	err := s.requests.Feed(data, func(commands []Command) error {
		if !done {
			done = s.answerLine(commands)
		}
		return nil
	})
	if err != nil {
		s.out = AppendAnswer(s.out, fmt.Appendf(nil, "Invalid request: %v.\n", err))
		done = true
	}
	return s.out, done
}

// answerLine answers the commands of one line and reports whether the connection is to be closed.
func (s *Session) answerLine(commands []Command) (done bool) {
	for _, command := range commands {
		switch command.Words[0] {
		case "quit":
			return true
		case "prompt":
			s.setPrompt(command.Words[1:])
			s.out = append(s.out, '\n')
		default:
			s.out = AppendAnswer(s.out, s.Answer(command))
		}
	}
	if s.prompt {
		s.out = append(s.out, Prompt...)
	}
	return !s.interactive
}

// setPrompt carries out "prompt": without a word it toggles, "n" leaves interactive mode, "i" enters it without a
// prompt, "p" with one.
func (s *Session) setPrompt(words []string) {
	if len(words) == 0 {
		s.interactive = !s.prompt
		s.prompt = s.interactive
		return
	}
	for _, word := range words {
		switch word {
		case "n":
			s.interactive = false
			s.prompt = false
		case "i":
			s.interactive = true
			s.prompt = false
		case "p":
			s.interactive = true
			s.prompt = true
		}
	}
}
