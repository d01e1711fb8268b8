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

// MaxBodyBytes bounds a JSON body in either direction.
const MaxBodyBytes = 8 << 20

const idleConnsPerHost = 64

// problem is an error document of RFC 9457 with the extension members of fault.Error.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	fault.Error
}

// WriteError answers with the problem document of err.
func WriteError(w http.ResponseWriter, err error) {
	e := fault.From(err)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(e.RetryAfter))
	}
	status := e.Status()
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Error: *e,
	})
}

// WriteJSON answers 200 with the JSON form of v.
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

// ReadJSON decodes the body of r. An unknown field, a wrong type, trailing
// data or a body of more than limit bytes is an error that names the field.
func ReadJSON[T any](r *http.Request, limit int64) (v T, err error) {
	data, err := ReadBody(r, limit)
	if err != nil {
		return v, err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return v, jsonError(err)
	}
	if dec.More() {
		return v, fault.Field("body", "", "has data after the JSON value")
	}
	return v, nil
}

// ReadBody reads the whole body of r, of at most limit bytes.
func ReadBody(r *http.Request, limit int64) (data []byte, err error) {
	data, err = io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, fault.New(fault.BadInput, fault.NotRun, "body ends early: %v", err)
	}
	if int64(len(data)) > limit {
		e := fault.New(fault.TooLarge, fault.NotRun, "body is longer than %d bytes", limit)
		e.Field = "body"
		return nil, e
	}
	return data, nil
}

func jsonError(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return fault.Field(te.Field, te.Value, "must be of type %s", te.Type)
	}
	const unknown = "json: unknown field "
	if name, ok := strings.CutPrefix(err.Error(), unknown); ok {
		return fault.Field(strings.Trim(name, `"`), "", "is not a known field")
	}
	return fault.Field("body", "", "is not valid JSON: %v", err)
}

var tuneOnce sync.Once

// tuneTransport raises the idle connections that httpc's client keeps for each
// host. The default of two would open a connection for nearly every request.
// It also silences the client's line per request.
func tuneTransport() {
	logx.Disable()
	if t, ok := http.DefaultTransport.(*http.Transport); ok {
		t.MaxIdleConnsPerHost = idleConnsPerHost
		t.MaxIdleConns = 0
		t.Proxy = nil
	}
}

// Exchange sends req as JSON, or no body for nil, and decodes the answer.
//
// The error is a *fault.Error. It is NotRun when no connection was made, the
// server's own word when the server answered with a problem document, and
// Unknown in every other case.
func Exchange[Resp any](ctx context.Context, method, url string, req any) (resp Resp, err error) {
	return ExchangeHeader[Resp](ctx, method, url, nil, req)
}

// ExchangeHeader is Exchange with request headers.
func ExchangeHeader[Resp any](
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
	answer, err := Send(r)
	if err != nil {
		return resp, err
	}
	defer answer.Body.Close()
	return decodeAnswer[Resp](answer)
}

// Send sends one request. The error is a *fault.Error: NotRun when no
// connection was made, and Unknown otherwise.
func Send(r *http.Request) (*http.Response, error) {
	tuneOnce.Do(tuneTransport)
	r, connected := Traced(r)
	answer, err := httpc.DoRequest(r)
	if err != nil {
		return nil, TransportError(err, *connected)
	}
	return answer, nil
}

// Traced returns the request with a note of whether it got a connection. The
// note is valid once the request has ended.
func Traced(r *http.Request) (*http.Request, *bool) {
	connected := new(bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { *connected = true }}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace)), connected
}

// TransportError returns the error of a request that got no answer.
func TransportError(err error, connected bool) error {
	if !connected {
		return fault.New(fault.Unavailable, fault.NotRun, "%v", err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.New(fault.Timeout, fault.Unknown, "%v", err)
	}
	return fault.New(fault.Unavailable, fault.Unknown, "%v", err)
}

func decodeAnswer[Resp any](answer *http.Response) (resp Resp, err error) {
	data, err := io.ReadAll(io.LimitReader(answer.Body, MaxBodyBytes+1))
	if err != nil {
		return resp, fault.New(fault.Unavailable, fault.Unknown, "answer ends early: %v", err)
	}
	if len(data) > MaxBodyBytes {
		return resp, fault.New(fault.BadAnswer, fault.Unknown, "answer is longer than %d bytes", MaxBodyBytes)
	}
	if answer.StatusCode >= http.StatusBadRequest {
		return resp, DecodeProblem(answer.StatusCode, data)
	}
	if len(data) == 0 {
		return resp, nil
	}
	if err := json.Unmarshal(data, &resp); err != nil {
		return resp, fault.New(fault.BadAnswer, fault.Unknown, "answer is not valid JSON: %v", err)
	}
	return resp, nil
}

// DecodeProblem returns the error in a problem document.
func DecodeProblem(status int, data []byte) error {
	var p problem
	if err := json.Unmarshal(data, &p); err != nil || p.Ran == "" {
		return fault.New(fault.Internal, fault.Unknown, "answer with status %d and no problem document", status)
	}
	e := p.Error
	return &e
}
