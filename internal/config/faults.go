package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cuelang.org/go/cue"
	cueerrors "cuelang.org/go/cue/errors"
	cueformat "cuelang.org/go/cue/format"
)

// FieldError is one thing that is wrong in a file.
type FieldError struct {
	File    string
	Line    int // 0: not at one line, as for a field that is missing
	Field   string
	Message string
}

func (f FieldError) Error() string {
	location := f.File
	if f.Line > 0 {
		location += ":" + strconv.Itoa(f.Line)
	}
	if f.Field != "" {
		location += ": " + f.Field
	}
	return location + ": " + f.Message
}

// FieldErrors are all that is wrong in a file.
type FieldErrors []FieldError

func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, fieldErr := range f {
		lines[i] = fieldErr.Error()
	}
	return strings.Join(lines, "\n")
}

// convertErrors turns the library's errors into Faults by line, one a field.
func convertErrors(path string, schema, document cue.Value, err error) FieldErrors {
	var fieldErrors FieldErrors
	for _, e := range cueerrors.Errors(err) {
		fieldErr := convertError(path, schema, document, e)
		hasSameField := func(other FieldError) bool { return other.Field == fieldErr.Field && fieldErr.Field != "" }
		if !slices.ContainsFunc(fieldErrors, hasSameField) {
			fieldErrors = append(fieldErrors, fieldErr)
		}
	}
	if len(fieldErrors) == 0 {
		fieldErrors = FieldErrors{{File: path, Message: err.Error()}}
	}
	slices.SortStableFunc(fieldErrors, func(a, b FieldError) int { return a.Line - b.Line })
	return fieldErrors
}

// convertError says, for a value that the schema doesn't take, what it is and what the schema asks for.
func convertError(path string, schema, document cue.Value, err cueerrors.Error) FieldError {
	format, args := err.Msg()
	fieldErr := FieldError{
		File:    path,
		Field:   strings.TrimPrefix(strings.Join(err.Path(), "."), "#Settings."),
		Message: fmt.Sprintf(format, args...),
	}
	for _, position := range append(cueerrors.Positions(err), err.InputPositions()...) {
		if position.Filename() == path && position.Line() > 0 {
			fieldErr.Line = position.Line()
			break
		}
	}
	if line := findLine(document, fieldErr.Field); line > 0 {
		fieldErr.Line = line
	}
	expected := describeSchema(schema, fieldErr.Field)
	if expected == "" {
		return fieldErr
	}
	if value := document.LookupPath(cue.ParsePath(cuePath(fieldErr.Field))); value.Exists() {
		fieldErr.Message = fmt.Sprintf("is %v; expected %s", value, expected)
	} else {
		fieldErr.Message = "is missing; expected " + expected
	}
	return fieldErr
}

// typeDescriptions replaces the names of the schema's types in error messages.
var typeDescriptions = strings.NewReplacer(
	"#Time", `a duration such as "2s" or "500ms"`,
	"#Name", `a name of 1 to 64 letters, digits, ".", "_" or "-"`,
	"#Share", "a number from 0 to 1",
)

// describeSchema prints what the schema asks of a field, "" where it has none or that takes more than a line.
func describeSchema(schema cue.Value, field string) string {
	if field == "" || !schema.Exists() {
		return ""
	}
	value := schema
	for _, part := range strings.Split(field, ".") {
		selector := cue.Str(part).Optional()
		if _, err := strconv.Atoi(part); err == nil {
			selector = cue.AnyIndex
		}
		next := value.LookupPath(cue.MakePath(selector))
		if !next.Exists() && selector != cue.AnyIndex { // a field that is not optional
			next = value.LookupPath(cue.ParsePath(strings.TrimSuffix(selector.String(), "?")))
		}
		if !next.Exists() {
			return ""
		}
		value = next
	}
	text, err := cueformat.Node(value.Syntax(cue.Raw()))
	if err != nil || strings.Contains(string(text), "\n") {
		return ""
	}
	return typeDescriptions.Replace(string(text))
}

// findLine gives the line of a field, or of the nearest struct around it that the file has; 0 for none.
func findLine(document cue.Value, field string) int {
	for field != "" && document.Exists() {
		value := document.LookupPath(cue.ParsePath(cuePath(field)))
		if value.Exists() && value.Pos().Line() > 0 {
			return value.Pos().Line()
		}
		field = field[:max(0, strings.LastIndexByte(field, '.'))]
	}
	return 0
}

// cuePath writes a path "proxies.0.zone" as the library reads it, "proxies[0].zone".
func cuePath(field string) string {
	var path strings.Builder
	for i, part := range strings.Split(field, ".") {
		if _, err := strconv.Atoi(part); err == nil {
			path.WriteString("[" + part + "]")
			continue
		}
		if i > 0 {
			path.WriteByte('.')
		}
		path.WriteString(part)
	}
	return path.String()
}
