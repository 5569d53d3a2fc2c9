package haproxyapi

import "fmt"

// Split parses one request line, without its line end, into commands. The offset, in bytes, is that of the line in its
// stream.
func Split(line []byte, offset int64) ([]Command, error) {
	s := splitter{offset: offset}
	for i := 0; i < len(line); i++ {
		char := line[i]
		escaped := char == '\\' && i+1 < len(line)
		if escaped {
			i++
			char = line[i]
		}
		switch {
		case char < ' ' || char == 0x7f: // not allowed even if escaped: AppendWord could not write it
			return nil, &SyntaxError{offset + int64(i), fmt.Sprintf("invalid control character %#02x", char)}
		case char == ' ' && !escaped:
			s.endWord()
		case char == ';' && !escaped:
			s.endCommand()
		default:
			s.word = append(s.word, char)
			s.inWord = true
		}
		if s.tooManyWords {
			return nil, tooManyWords(offset + int64(i))
		}
	}
	s.endCommand()
	if s.tooManyWords {
		return nil, tooManyWords(offset + int64(len(line)))
	}
	return s.commands, nil
}

// splitter holds the state of Split.
type splitter struct {
	offset       int64 // of the line
	commands     []Command
	words        []string // of the current command
	word         []byte   // the current word, unescaped
	inWord       bool
	tooManyWords bool
}

func (s *splitter) endWord() {
	if s.inWord {
		s.words = append(s.words, string(s.word))
		s.tooManyWords = s.tooManyWords || len(s.words) > MaxWords
	}
	s.word = s.word[:0]
	s.inWord = false
}

func (s *splitter) endCommand() {
	s.endWord()
	if len(s.words) > 0 {
		s.commands = append(s.commands, Command{Words: s.words, Offset: s.offset})
	}
	s.words = nil
}

func tooManyWords(offset int64) error {
	return &SyntaxError{offset, fmt.Sprintf("command exceeds %d words", MaxWords)}
}

// AppendWord appends a word and escapes spaces, semicolons and backslashes.
func AppendWord(dst []byte, word string) []byte {
	for i := range len(word) {
		if c := word[i]; c == ' ' || c == ';' || c == '\\' {
			dst = append(dst, '\\')
		}
		dst = append(dst, word[i])
	}
	return dst
}

// AppendCommand appends words as one command, without a trailing separator or line end.
func AppendCommand(dst []byte, words ...string) []byte {
	for i, word := range words {
		if i > 0 {
			dst = append(dst, ' ')
		}
		dst = AppendWord(dst, word)
	}
	return dst
}
