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

// FieldError is one error in a settings file.
type FieldError struct {
	File    string
	Line    int    // from 1; 0 if there is no single line, as for a missing field
	Field   string // path of the key with list indexes from 0, as "classes.1.name"; "" for errors of the whole file
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

// FieldErrors are all errors found in a settings file. The text of Error has one line for each.
type FieldErrors []FieldError

func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, fieldErr := range f {
		lines[i] = fieldErr.Error()
	}
	return strings.Join(lines, "\n")
}

// convertErrors converts errors of the CUE library into FieldErrors, sorted by line. Of several errors of one field it
// keeps the first.
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

// convertError converts one error of the CUE library. If the schema has a short description of the field, the message
// states the value found and the value expected; otherwise it is the library's message.
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

// describeSchema returns the schema's constraint for a field. It returns "" if the schema does not have the field or
// the constraint takes more than one line.
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
		if !next.Exists() && selector != cue.AnyIndex { // the field is not optional
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

// findLine returns the line of a field or, if the file lacks it, of its nearest enclosing struct; 0 if there is none.
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

// cuePath converts a field path to the syntax of cue.ParsePath: "proxies.0.zone" becomes "proxies[0].zone".
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
