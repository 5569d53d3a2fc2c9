package service

import (
	"fmt"

	"cressknot/internal/fleet"
)

// Code is the kind of an error answer. Codes are the same in both protocols and never change.
type Code string

// The codes.
const (
	Unready     Code = "unready"     // nothing to answer yet: the controller has just started
	NoZone      Code = "no-zone"     // the controller does not serve the zone
	NoClass     Code = "no-class"    // the class does not exist
	NoServer    Code = "no-server"   // the server is not known
	BadRequest  Code = "bad-request" // the query is invalid; the text names the place
	TooLarge    Code = "too-large"   // over a bound, which the text names
	Overloaded  Code = "overloaded"  // too many queries, of this caller or of all: retry after RetryAfter
	Busy        Code = "busy"        // no answer in time
	OtherMajor  Code = "other-major" // the caller speaks a version that this controller does not
	Closing     Code = "closing"     // the controller stops: ask another one
	TooSlow     Code = "too-slow"    // a watcher that acknowledged nothing for long
	Unreachable Code = "unreachable" // no controller answers; only client libraries return it
	Malformed   Code = "malformed"   // an answer that can't be parsed; only client libraries return it
)

// Error is an error answer.
type Error struct {
	Code       Code
	Text       string
	RetryAfter fleet.Time
}

func (e *Error) Error() string { return string(e.Code) + ": " + e.Text }

func errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}
