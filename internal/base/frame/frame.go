// Package frame is the RPC protocol between entry hosts: msgpack messages in
// length-prefixed frames over TCP. Each host opens one connection to each peer
// that it calls.
//
// A frame is a 4-byte big-endian length followed by that many bytes of msgpack.
// A request carries an ID and the remaining time until its caller's deadline;
// the response carries the same ID. A response without a pending call is dropped
// and counted, so a late response is never delivered to another call. A
// connection is closed after a read, write or decoding error.
//
// The error of a failed Call reports whether the request may have run: NotRun if
// no byte was written to the connection, Unknown once any byte was written. An
// error that the peer returned carries the peer's own outcome.
//
// # Usage
//
//	var ping = frame.Method[Ping, Pong]{ID: 1, Name: "ping"}
//
//	srv := frame.NewServer(frame.ServerConfig{Addr: "127.0.0.1:0"})
//	frame.Handle(srv, ping, func(ctx context.Context, p Ping) (Pong, error) { ... })
//	pool := frame.NewPool(frame.PoolConfig{})
//	pong, err := frame.Call(ctx, pool, addr, ping, Ping{})
package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"maps"
	"reflect"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"lagooncourse/internal/base/fault"
)

// MaxFrameBytes is the maximum size of a frame body.
const MaxFrameBytes = 16 << 20

const lengthPrefixBytes = 4

// Method identifies an RPC method and its request and response types.
type Method[Req, Resp any] struct {
	ID   uint16 // unique in the process
	Name string // for errors and metrics
}

// request is the content of a request frame.
type request struct {
	ID        uint64
	Method    uint16
	TimeoutMs int64 // milliseconds until the caller's deadline; 0 means no deadline
	Body      msgpack.RawMessage
}

// response is the content of a response frame.
type response struct {
	ID   uint64
	Err  *fault.Error
	Body msgpack.RawMessage
}

// Encode returns the msgpack encoding of v, with structs as arrays and numbers
// in their shortest form. A struct field is therefore identified by its position.
func Encode(v any) (data []byte, err error) {
	defer fault.Annotate(&err, "encode %T", v)
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	enc.UseCompactFloats(true)
	if err := enc.Encode(v); err != nil {
		return nil, merry.Wrap(err)
	}
	return buf.Bytes(), nil
}

// Decode parses a msgpack-encoded T of any version and rejects trailing bytes.
func Decode[T any](data []byte) (v T, err error) {
	defer fault.Annotate(&err, "decode %T", v)
	r := bytes.NewReader(data)
	err = msgpack.NewDecoder(r).Decode(&v)
	if errors.Is(err, errFieldCount) {
		var raw msgpack.RawMessage
		r.Reset(data)
		if err = msgpack.NewDecoder(r).Decode(&raw); err == nil {
			err = decodeOtherVersion(raw, reflect.ValueOf(&v).Elem())
		}
	}
	if err != nil {
		return v, merry.Wrap(err)
	}
	if r.Len() > 0 {
		return v, merry.Errorf("%d trailing bytes after the msgpack value", r.Len())
	}
	return v, nil
}

// encodeFrame returns v as a frame.
func encodeFrame(v any) (data []byte, err error) {
	body, err := Encode(v)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxFrameBytes {
		return nil, fault.New(fault.TooLarge, fault.NotRun, "frame of %d bytes exceeds the maximum of %d bytes", len(body), MaxFrameBytes)
	}
	data = binary.BigEndian.AppendUint32(make([]byte, 0, lengthPrefixBytes+len(body)), uint32(len(body)))
	return append(data, body...), nil
}

// readFrame reads the body of one frame. Its buffer grows as bytes arrive, so a
// forged length does not cause a large allocation.
func readFrame(r io.Reader) (body []byte, err error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	n := int64(binary.BigEndian.Uint32(prefix[:]))
	if n > MaxFrameBytes {
		return nil, merry.Errorf("frame of %d bytes exceeds the maximum of %d bytes", n, int64(MaxFrameBytes))
	}
	var buf bytes.Buffer
	if _, err := io.CopyN(&buf, r, n); err != nil {
		return nil, merry.Wrap(err)
	}
	return buf.Bytes(), nil
}

// Traffic counts the bytes that a client or server sent and received, by method.
type Traffic struct {
	mu       sync.Mutex
	byMethod map[uint16]Bytes
}

// Bytes is a number of bytes in each direction.
type Bytes struct {
	In  int64 `json:"in"`
	Out int64 `json:"out"`
}

// Plus returns b + o.
func (b Bytes) Plus(o Bytes) Bytes { return Bytes{In: b.In + o.In, Out: b.Out + o.Out} }

func (t *Traffic) add(method uint16, b Bytes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byMethod == nil {
		t.byMethod = map[uint16]Bytes{}
	}
	t.byMethod[method] = t.byMethod[method].Plus(b)
}

// ByMethod returns the bytes counted so far, by method ID.
func (t *Traffic) ByMethod() map[uint16]Bytes {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.byMethod)
}
