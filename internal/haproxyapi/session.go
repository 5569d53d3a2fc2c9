package haproxyapi

import "fmt"

// Session is the server side of one connection. It parses requests, answers them in order and keeps the mode of the
// connection: interactive or not, with or without a prompt.
type Session struct {
	// Answer returns the answer to one command, without the empty line that ends it.
	Answer func(Command) []byte
	// Flush, unless it is nil, writes the reply so far before the next command is answered. If it returns false, the
	// client can't be reached: the commands that follow are not answered. The slice is valid until it returns.
	Flush       func(reply []byte) bool
	requests    RequestParser
	interactive bool
	prompt      bool
	out         []byte
}

// Feed parses the next bytes of the connection and returns the reply, which is valid until the next Feed. If done is
// true the caller must write the reply and close the connection: a line was answered outside interactive mode, the
// client sent "quit", or a request could not be parsed, which the reply reports.
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
		if !s.flush() {
			return true
		}
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

// flush writes the reply so far. It returns false if the client can't be reached.
func (s *Session) flush() bool {
	if s.Flush == nil || len(s.out) == 0 {
		return true
	}
	reachable := s.Flush(s.out)
	s.out = s.out[:0]
	return reachable
}

// Partial reports whether the input so far ends within a line or a payload.
func (s *Session) Partial() bool { return s.requests.Partial() }

// Held returns the number of bytes that the session holds: incomplete requests and the reply.
func (s *Session) Held() int { return s.requests.Held() + cap(s.out) }

// setPrompt executes "prompt". Without arguments it toggles interactive mode with a prompt; "n" leaves interactive
// mode, "i" enters it without a prompt, "p" with one.
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
