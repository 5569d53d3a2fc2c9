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
	at := f.File
	if f.Line > 0 {
		at += ":" + strconv.Itoa(f.Line)
	}
	if f.Field != "" {
		at += ": " + f.Field
	}
	return at + ": " + f.Message
}

// FieldErrors are all that is wrong in a file.
type FieldErrors []FieldError

func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// newFaults turns the library's errors into Faults by line, one a field.
func newFaults(path string, rules, own cue.Value, err error) FieldErrors {
	var faults FieldErrors
	for _, e := range cueerrors.Errors(err) {
		fault := newFieldError(path, rules, own, e)
		isSame := func(other FieldError) bool { return other.Field == fault.Field && fault.Field != "" }
		if !slices.ContainsFunc(faults, isSame) {
			faults = append(faults, fault)
		}
	}
	if len(faults) == 0 {
		faults = FieldErrors{{File: path, Message: err.Error()}}
	}
	slices.SortStableFunc(faults, func(a, b FieldError) int { return a.Line - b.Line })
	return faults
}

// newFieldError says, for a value that the schema doesn't take, what it is and what the schema asks for.
func newFieldError(path string, rules, own cue.Value, err cueerrors.Error) FieldError {
	format, args := err.Msg()
	fieldErr := FieldError{
		File:    path,
		Field:   strings.TrimPrefix(strings.Join(err.Path(), "."), "#Settings."),
		Message: fmt.Sprintf(format, args...),
	}
	for _, at := range append(cueerrors.Positions(err), err.InputPositions()...) {
		if at.Filename() == path && at.Line() > 0 {
			fieldErr.Line = at.Line()
			break
		}
	}
	if line := lineOf(own, fieldErr.Field); line > 0 {
		fieldErr.Line = line
	}
	expected := schemaOf(rules, fieldErr.Field)
	if expected == "" {
		return fieldErr
	}
	if value := own.LookupPath(cue.ParsePath(indexedPath(fieldErr.Field))); value.Exists() {
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

// schemaOf prints what the schema asks of a field, "" where it has none or that takes more than a line.
func schemaOf(rules cue.Value, field string) string {
	if field == "" || !rules.Exists() {
		return ""
	}
	value := rules
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

// lineOf gives the line of a field, or of the nearest struct around it that the file has; 0 for none.
func lineOf(own cue.Value, field string) int {
	for field != "" && own.Exists() {
		value := own.LookupPath(cue.ParsePath(indexedPath(field)))
		if value.Exists() && value.Pos().Line() > 0 {
			return value.Pos().Line()
		}
		field = field[:max(0, strings.LastIndexByte(field, '.'))]
	}
	return 0
}

// indexedPath writes a path "proxies.0.zone" as the library reads it, "proxies[0].zone".
func indexedPath(field string) string {
	var b strings.Builder
	for i, part := range strings.Split(field, ".") {
		if _, err := strconv.Atoi(part); err == nil {
			b.WriteString("[" + part + "]")
			continue
		}
		if i > 0 {
			b.WriteByte('.')
		}
		b.WriteString(part)
	}
	return b.String()
}
