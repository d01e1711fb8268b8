// Package fault defines the errors that cross a boundary of the system: from an
// entry host to a client, between two entry hosts, or from a platform adapter.
//
// Each error reports whether the request took effect. NotRun guarantees that the
// request had no effect and never will. Done means that it took effect. Unknown
// covers every other case and is never changed to NotRun later. A client reports
// NotRun only if the server cannot have received a complete request. A server
// reports NotRun only if it refused the request without any effect.
//
// # Usage
//
//	func (c *Client) Load(ctx context.Context) (err error) {
//		defer fault.Annotate(&err, "load plan %q", c.team)
//		...
//		return fault.New(fault.Unavailable, fault.NotRun, "log does not respond")
//	}
//
// From extracts the *Error from a wrapped error.
package fault

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// Outcome reports whether a request took effect. Its JSON key is "ran".
type Outcome string

// Outcomes of a request. OutcomeOf reports an empty outcome as Unknown.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
)

// Code classifies an error and determines the HTTP status.
type Code string

// Error codes, in the order of their HTTP status.
const (
	BadInput        Code = "badInput"    // 400
	Unauthenticated Code = "noKey"       // 401
	Denied          Code = "denied"      // 403, the caller lacks the permission
	NotFound        Code = "notFound"    // 404
	Conflict        Code = "conflict"    // 409
	TooLarge        Code = "tooLarge"    // 413
	Infeasible      Code = "infeasible"  // 422
	Overload        Code = "overload"    // 429
	Internal        Code = "internal"    // 500
	BadResponse     Code = "badAnswer"   // 502
	Unavailable     Code = "unavailable" // 503
	NotOwner        Code = "notOwner"    // 503, only between entry hosts
	Timeout         Code = "timeout"     // 504
)

var statusOf = map[Code]int{
	BadInput: http.StatusBadRequest, Unauthenticated: http.StatusUnauthorized, Denied: http.StatusForbidden,
	NotFound: http.StatusNotFound, Conflict: http.StatusConflict, TooLarge: http.StatusRequestEntityTooLarge,
	Infeasible: http.StatusUnprocessableEntity, Overload: http.StatusTooManyRequests,
	Internal: http.StatusInternalServerError, BadResponse: http.StatusBadGateway,
	Unavailable: http.StatusServiceUnavailable, NotOwner: http.StatusServiceUnavailable,
	Timeout: http.StatusGatewayTimeout,
}

// Error is an error with a code and an outcome. It is sent in frames and, as an
// RFC 9457 problem document, in HTTP responses.
type Error struct {
	Code       Code    `json:"code"`
	Outcome    Outcome `json:"ran"`
	Detail     string  `json:"detail"`
	Field      string  `json:"field,omitempty"`      // the rejected field of the input
	Value      string  `json:"value,omitempty"`      // the rejected value
	RetryAfter int     `json:"retryAfter,omitempty"` // seconds; 0 means unspecified
}

var _ error = (*Error)(nil)

// Error returns the detail, prefixed with the rejected field and value if set.
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

// WithRetryAfter returns a copy of e that asks the caller to retry after the given
// number of seconds.
func (e *Error) WithRetryAfter(seconds int) *Error {
	c := *e
	c.RetryAfter = seconds
	return &c
}

// New returns an error with the given code, outcome and detail.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: outcome, Detail: fmt.Sprintf(format, args...)}
}

// InvalidField returns a BadInput error for one field of the input, with the outcome
// NotRun.
func InvalidField(field string, value any, format string, args ...any) *Error {
	return &Error{
		Code: BadInput, Outcome: NotRun, Field: field,
		Value: fmt.Sprint(value), Detail: fmt.Sprintf(format, args...),
	}
}

// From returns the *Error that err wraps. For any other error it returns an
// Internal error with the outcome Unknown, because the request may have taken
// effect. From(nil) is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Outcome: Unknown, Detail: err.Error()}
}

// OutcomeOf returns the outcome that err reports, and Done for nil.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Done
	}
	if e := From(err); e.Outcome != "" {
		return e.Outcome
	}
	return Unknown
}

// HasCode reports whether err wraps an *Error with the given code.
func HasCode(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

// Annotate prefixes a non-nil *err with a description of the failed operation. It is
// meant to be deferred once per function.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = merry.Prependf(*err, format, args...)
	}
}
