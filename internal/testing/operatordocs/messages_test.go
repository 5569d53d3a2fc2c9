// Package operatordocs compares the pages in docs/operate with the program.
package operatordocs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	repositoryRoot = "../../.."
	// minMessages is the number of quoted messages below which the pages were not parsed as intended.
	minMessages = 80
	// minPieceBytes is the length below which a piece of a message between two values is too short to identify it.
	minPieceBytes = 4
	// value replaces the verbs of a format.
	value = "\x00"
)

// messageColumns are the first words of the headers of table columns whose code spans quote messages.
var messageColumns = []string{"line", "log line", "message", "reason", "symptom"}

var (
	codeSpan = regexp.MustCompile("`([^`]+)`")
	// separator matches what stands between two pieces of a quoted message: a value (an ellipsis, a word in capitals, a
	// number or a boolean), or the colon at which the program joins two texts.
	separator = regexp.MustCompile(`…|\b[A-Z]+\b|\b\d+\b|\b(?:true|false)\b|:( |$)`)
	// formatVerb matches a verb of package fmt.
	formatVerb = regexp.MustCompile(`%[-+# 0]*[0-9]*(\.[0-9]+)?[a-zA-Z]`)
)

// quotedMessage is a message that a page tells operators to look for.
type quotedMessage struct{ place, text string }

// programTexts are the strings of the program outside tests, with concatenations joined and verbs replaced by value.
type programTexts struct {
	all   string // separated by newlines
	words map[string]bool
}

// TestQuotedMessagesExist guards against pages that tell operators to search for a text that the program no longer
// writes: each piece of a quoted message between two values must be in a string of the program.
func TestQuotedMessagesExist(t *testing.T) {
	var messages []quotedMessage
	pages, err := filepath.Glob(filepath.Join(repositoryRoot, "docs/operate/*.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range pages {
		messages = append(messages, readMessages(t, page)...)
	}
	if len(messages) < minMessages {
		t.Errorf("found %d quoted messages, want at least %d", len(messages), minMessages)
	}
	texts := readProgramTexts(t)
	for _, message := range messages {
		for _, piece := range separator.Split(message.text, -1) {
			piece = strings.Trim(piece, ` ,()"`)
			if len(piece) >= minPieceBytes && !texts.contain(piece) {
				t.Errorf("%s: %q is in no string of the program (message %q)", message.place, piece, message.text)
			}
		}
	}
}

// TestUnknownMessageIsDetected checks that the search does not find every text.
func TestUnknownMessageIsDetected(t *testing.T) {
	texts := readProgramTexts(t)
	for piece, want := range map[string]bool{
		"disconnected":               true,
		"is mute":                    true, // "server %s is %s: %s" with a verdict
		"is mutes":                   false,
		"disconnected from the moon": false,
	} {
		if got := texts.contain(piece); got != want {
			t.Errorf("%q found: %v, want %v", piece, got, want)
		}
	}
}

// contain reports whether a piece of a message is in a text of the program. Its last word may be a value, which must
// be a text of the program by itself.
func (p programTexts) contain(piece string) bool {
	if strings.Contains(p.all, piece) {
		return true
	}
	space := strings.LastIndex(piece, " ")
	return space > 0 && p.words[piece[space+1:]] && strings.Contains(p.all, piece[:space+1]+value)
}

// readMessages returns the messages in the tables of a page.
func readMessages(t *testing.T, page string) (messages []quotedMessage) {
	content, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var columns []int // with messages, in the current table
	inTable := false
	for i, line := range strings.Split(string(content), "\n") {
		if !strings.HasPrefix(line, "|") {
			inTable = false
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), " | ")
		if !inTable {
			inTable = true
			columns = findMessageColumns(cells)
			continue
		}
		for _, column := range columns {
			if column >= len(cells) {
				continue
			}
			for _, span := range codeSpan.FindAllStringSubmatch(cells[column], -1) {
				place := filepath.Base(page) + ":" + strconv.Itoa(i+1)
				messages = append(messages, quotedMessage{place, span[1]})
			}
		}
	}
	return messages
}

// findMessageColumns returns the indices of the columns with messages, by the header of a table.
func findMessageColumns(header []string) (columns []int) {
	for i, cell := range header {
		if slices.ContainsFunc(messageColumns, func(name string) bool {
			return strings.HasPrefix(strings.TrimSpace(cell), name)
		}) {
			columns = append(columns, i)
		}
	}
	return columns
}

// readProgramTexts parses the program's source.
func readProgramTexts(t *testing.T) programTexts {
	var texts []string
	for _, folder := range []string{"cmd", "internal", "client"} {
		root := filepath.Join(repositoryRoot, folder)
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			texts = append(texts, fileTexts(file)...)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	words := map[string]bool{}
	for _, text := range texts {
		words[text] = true
	}
	return programTexts{all: strings.Join(texts, "\n"), words: words}
}

// fileTexts returns the strings in a file.
func fileTexts(file *ast.File) (texts []string) {
	ast.Inspect(file, func(node ast.Node) bool {
		expression, isExpression := node.(ast.Expr)
		if !isExpression {
			return true
		}
		text, isText := constantText(expression)
		if isText {
			texts = append(texts, formatVerb.ReplaceAllString(text, value))
		}
		return !isText
	})
	return texts
}

// constantText returns the text of a string literal or of a concatenation of string literals.
func constantText(expression ast.Expr) (text string, ok bool) {
	switch e := expression.(type) {
	case *ast.BasicLit:
		if e.Kind != token.STRING {
			return "", false
		}
		text, err := strconv.Unquote(e.Value)
		return text, err == nil
	case *ast.BinaryExpr:
		left, leftOK := constantText(e.X)
		right, rightOK := constantText(e.Y)
		return left + right, e.Op == token.ADD && leftOK && rightOK
	}
	return "", false
}
