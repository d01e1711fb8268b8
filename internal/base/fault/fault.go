// Package fault defines the errors that cross a boundary of the system: from an
// entry host to a caller, between two entry hosts, or from a platform adapter.
//
// The most important thing an error says is whether the request took effect.
// Three answers exist. NotRun is a promise: the request had no effect and never
// will. Done says that it took effect. Unknown is everything else, and is
// never turned into NotRun later: a sender that cannot prove that no byte of
// its request left has to answer Unknown.
//
// # Usage
//
//	func (c *Client) Load(ctx context.Context) (err error) {
//		defer fault.Note(&err, "load plan %q", c.team)
//		...
//		return fault.New(fault.Unavailable, fault.NotRun, "log does not answer")
//	}
//
// An error that wraps several causes is reduced to its *Error with From.
package fault

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// Outcome says whether a request took effect.
type Outcome string

// The three outcomes. The zero value is not valid on its own and reads as Unknown.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
)

// Code classifies an error. It decides the HTTP status.
type Code string

// The codes, in the order of their HTTP status.
const (
	BadInput    Code = "badInput"    // 400
	NoKey       Code = "noKey"       // 401
	Denied      Code = "denied"      // 403
	NotFound    Code = "notFound"    // 404
	Conflict    Code = "conflict"    // 409
	TooLarge    Code = "tooLarge"    // 413
	Infeasible  Code = "infeasible"  // 422
	Overload    Code = "overload"    // 429
	Internal    Code = "internal"    // 500
	BadAnswer   Code = "badAnswer"   // 502
	Unavailable Code = "unavailable" // 503
	NotOwner    Code = "notOwner"    // 503, between entry hosts only
	Timeout     Code = "timeout"     // 504
)

var statusOf = map[Code]int{
	BadInput: http.StatusBadRequest, NoKey: http.StatusUnauthorized, Denied: http.StatusForbidden,
	NotFound: http.StatusNotFound, Conflict: http.StatusConflict, TooLarge: http.StatusRequestEntityTooLarge,
	Infeasible: http.StatusUnprocessableEntity, Overload: http.StatusTooManyRequests,
	Internal: http.StatusInternalServerError, BadAnswer: http.StatusBadGateway,
	Unavailable: http.StatusServiceUnavailable, NotOwner: http.StatusServiceUnavailable,
	Timeout: http.StatusGatewayTimeout,
}

// Error is a typed error. It is encoded in frames and, as a problem document
// of RFC 9457, in HTTP answers.
type Error struct {
	Code       Code    `json:"code"`
	Ran        Outcome `json:"ran"`
	Detail     string  `json:"detail"`
	Field      string  `json:"field,omitempty"`      // the rejected field of the input
	Value      string  `json:"value,omitempty"`      // the rejected value
	RetryAfter int     `json:"retryAfter,omitempty"` // seconds; 0 gives no advice
}

var _ error = (*Error)(nil)

// Error returns the detail with the field and value that it is about.
func (e *Error) Error() string {
	if e.Field == "" {
		return e.Detail
	}
	return fmt.Sprintf("field %q, value %q: %s", e.Field, e.Value, e.Detail)
}

// Status returns the HTTP status of the error.
func (e *Error) Status() int {
	if s, ok := statusOf[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// WithRetryAfter returns a copy that advises a retry after the given seconds.
func (e *Error) WithRetryAfter(seconds int) *Error {
	c := *e
	c.RetryAfter = seconds
	return &c
}

// New returns an error with the given code, outcome and detail.
func New(code Code, ran Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Ran: ran, Detail: fmt.Sprintf(format, args...)}
}

// Field returns a BadInput error about one field of a request. The request did
// not run.
func Field(field string, value any, format string, args ...any) *Error {
	return &Error{
		Code: BadInput, Ran: NotRun, Field: field,
		Value: fmt.Sprint(value), Detail: fmt.Sprintf(format, args...),
	}
}

// From returns the *Error inside err. An error of another type becomes
// Internal and Unknown, because nothing is known about what it left behind.
// From(nil) is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Ran: Unknown, Detail: err.Error()}
}

// RanOf returns the outcome that err reports; Done for nil.
func RanOf(err error) Outcome {
	if err == nil {
		return Done
	}
	if e := From(err); e.Ran != "" {
		return e.Ran
	}
	return Unknown
}

// Is reports whether err carries the given code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

// Note prefixes *err, if it is set, with what was being done. It is meant for
// one deferred call a function.
func Note(err *error, format string, args ...any) {
	if *err != nil {
		*err = merry.Prependf(*err, format, args...)
	}
}
