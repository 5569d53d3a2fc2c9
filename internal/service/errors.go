package service

import (
	"fmt"

	"cressknot/internal/fleet"
)

// Code identifies the kind of an error answer. Codes are the same in both protocols and never change, because clients
// match them; the text of an error may change.
type Code string

// The codes of error answers.
const (
	Unready     Code = "unready"     // the controller has just started and has no table yet; retry after RetryAfter
	NoZone      Code = "no-zone"     // the controller does not serve the zone
	NoClass     Code = "no-class"    // the class is not configured
	NoServer    Code = "no-server"   // the controller has never seen the server
	BadRequest  Code = "bad-request" // the request is invalid; the text names the place
	TooLarge    Code = "too-large"   // the request exceeds a limit, which the text names
	Overloaded  Code = "overloaded"  // too many queries by this caller or in total; retry after RetryAfter
	Busy        Code = "busy"        // the controller did not answer in time
	OtherMajor  Code = "other-major" // the caller uses a major protocol version that this controller does not support
	Closing     Code = "closing"     // the controller is shutting down or the watch was closed; use another controller
	TooSlow     Code = "too-slow"    // the watch ended because updates were not acknowledged in time
	Unreachable Code = "unreachable" // no controller could be reached; returned by client libraries only
	Malformed   Code = "malformed"   // the answer could not be parsed; returned by client libraries only
)

// Error is an error answer of the service.
type Error struct {
	Code       Code
	Text       string     // for people; not stable
	RetryAfter fleet.Time // how long the caller should wait before a retry; 0: not specified
}

func (e *Error) Error() string { return string(e.Code) + ": " + e.Text }

func errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}
