package httpd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"

	"lagooncourse/internal/base/fault"
)

// MaxBodyBytes is the maximum size of a JSON response, and a limit that callers
// may pass to ReadJSON.
const MaxBodyBytes = 8 << 20

const maxIdleConnsPerHost = 64

// problem is an RFC 9457 problem document with the members of fault.Error as
// extensions.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	fault.Error
}

// problemType is the media type of problem documents.
const problemType = "application/problem+json"

func newProblem(e *fault.Error) problem {
	status := e.Status()
	return problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Error: *e}
}

// WriteError writes err as a problem document, with the HTTP status of its code.
func WriteError(w http.ResponseWriter, err error) {
	e := fault.From(err)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(e.RetryAfter))
	}
	w.Header().Set("Content-Type", problemType)
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(newProblem(e))
}

// WriteJSON writes v as JSON with status 200.
func WriteJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// ReadJSON decodes the body of r. Unknown fields, wrong types, bodies of more than
// limit bytes and trailing data are errors, except trailing data that starts with
// "}" or "]".
func ReadJSON[T any](r *http.Request, limit int64) (v T, err error) {
	data, err := ReadBody(r, limit)
	if err != nil {
		return v, err
	}
	return Decode(func() (v T, err error) {
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&v); err != nil {
			return v, jsonError(err)
		}
		if dec.More() {
			return v, fault.InvalidField("body", "", "has data after the JSON value")
		}
		return v, nil
	})
}

// ReadBody reads the whole body of r. A body of more than limit bytes is a
// TooLarge error.
func ReadBody(r *http.Request, limit int64) (data []byte, err error) {
	if r.ContentLength > limit {
		return nil, errTooLarge(limit)
	}
	buf := bytes.NewBuffer(make([]byte, 0, max(r.ContentLength, 0)+bytes.MinRead)) // ReadFrom grows a buffer with less room than that
	if _, err := buf.ReadFrom(io.LimitReader(r.Body, limit+1)); err != nil {
		return nil, bodyError(err)
	}
	if int64(buf.Len()) > limit {
		return nil, errTooLarge(limit)
	}
	return buf.Bytes(), nil
}

// errTooLarge returns the error for a body of more than limit bytes.
func errTooLarge(limit int64) error {
	e := fault.New(fault.TooLarge, fault.NotRun, "body is longer than %d bytes", limit)
	e.Field = bodyField
	return e
}

func jsonError(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return fault.InvalidField(te.Field, te.Value, "must be of type %s", te.Type)
	}
	const unknownFieldPrefix = "json: unknown field "
	if name, ok := strings.CutPrefix(err.Error(), unknownFieldPrefix); ok {
		return fault.InvalidField(strings.Trim(name, `"`), "", "is not a known field")
	}
	return fault.InvalidField("body", "", "is not valid JSON: %v", err)
}

var configureTransportOnce sync.Once

// configureTransport configures http.DefaultTransport, which httpc uses. It raises
// the limit of idle connections per host, because with the default of 2 nearly
// every request would open a new connection. It removes the total limit and
// disables proxies. It also disables go-zero's log, which has a line for every
// request.
func configureTransport() {
	logx.Disable()
	if t, ok := http.DefaultTransport.(*http.Transport); ok {
		t.MaxIdleConnsPerHost = maxIdleConnsPerHost
		t.MaxIdleConns = 0
		t.Proxy = nil
	}
}

// Call sends req as a JSON body, or no body if req is nil, and decodes the
// JSON response.
//
// The error is a *fault.Error. Its outcome is NotRun if no connection was
// established, the outcome in the problem document if the server returned one,
// and Unknown otherwise.
func Call[Resp any](ctx context.Context, method, url string, req any) (resp Resp, err error) {
	return CallWithHeader[Resp](ctx, method, url, nil, req)
}

// CallWithHeader is like Call and also sets request headers.
func CallWithHeader[Resp any](
	ctx context.Context, method, url string, header http.Header, req any,
) (resp Resp, err error) {
	var body io.Reader
	if req != nil {
		data, err := json.Marshal(req)
		if err != nil {
			return resp, fault.New(fault.Internal, fault.NotRun, "encode request: %v", err)
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return resp, fault.New(fault.Internal, fault.NotRun, "%v", err)
	}
	for k, vs := range header {
		r.Header[k] = vs
	}
	r.Header.Set("Content-Type", "application/json")
	httpResp, err := Send(r)
	if err != nil {
		return resp, err
	}
	defer httpResp.Body.Close()
	return decodeResponse[Resp](httpResp)
}

// Send sends one request. The error is a *fault.Error with the outcome NotRun if
// no connection was established, and Unknown otherwise.
func Send(r *http.Request) (*http.Response, error) {
	configureTransportOnce.Do(configureTransport)
	r, connected := TraceConn(r)
	resp, err := httpc.DoRequest(r)
	if err != nil {
		return nil, TransportError(err, *connected)
	}
	return resp, nil
}

// TraceConn returns a copy of r and a pointer to a flag that becomes true when the
// request gets a connection. Read the flag only after the request has ended.
func TraceConn(r *http.Request) (*http.Request, *bool) {
	connected := new(bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { *connected = true }}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace)), connected
}

// TransportError converts the error of a request without a response to a
// *fault.Error.
func TransportError(err error, connected bool) error {
	if !connected {
		return fault.New(fault.Unavailable, fault.NotRun, "%v", err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.New(fault.Timeout, fault.Unknown, "%v", err)
	}
	return fault.New(fault.Unavailable, fault.Unknown, "%v", err)
}

func decodeResponse[Resp any](httpResp *http.Response) (resp Resp, err error) {
	data, err := io.ReadAll(io.LimitReader(httpResp.Body, MaxBodyBytes+1))
	if err != nil {
		return resp, fault.New(fault.Unavailable, fault.Unknown, "read response body: %v", err)
	}
	if len(data) > MaxBodyBytes {
		return resp, fault.New(fault.BadResponse, fault.Unknown, "response is longer than %d bytes", MaxBodyBytes)
	}
	if httpResp.StatusCode >= http.StatusBadRequest {
		return resp, DecodeProblem(httpResp.StatusCode, data)
	}
	if len(data) == 0 {
		return resp, nil
	}
	if err := json.Unmarshal(data, &resp); err != nil {
		return resp, fault.New(fault.BadResponse, fault.Unknown, "response is not valid JSON: %v", err)
	}
	return resp, nil
}

// DecodeProblem returns the error in a problem document, as a *fault.Error. A
// response of another form becomes an Internal error with the outcome Unknown.
func DecodeProblem(status int, data []byte) error {
	var p problem
	if err := json.Unmarshal(data, &p); err != nil || p.Outcome == "" {
		return fault.New(fault.Internal, fault.Unknown, "response has status %d but no problem document", status)
	}
	e := p.Error
	return &e
}
