// Package frame carries requests between entry hosts: msgpack messages in
// length-prefixed frames over one TCP connection a pair of hosts.
//
// A frame is a 4-byte big-endian length and that many bytes of msgpack. Each
// request carries an id and the time that its caller is still prepared to
// wait, and each answer repeats the id. An answer to an id that nobody waits
// for is dropped and counted, so a late answer never reaches another request.
// A connection on which anything unexpected happened is closed, not reused.
//
// The error of a failed Call says truthfully whether the request may have run:
// NotRun as long as no byte of it was handed to the connection, and Unknown
// from then on, unless the peer itself answered.
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
	"io"
	"maps"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"lagooncourse/internal/base/fault"
)

// MaxFrameBytes bounds the body of one frame.
const MaxFrameBytes = 16 << 20

const lengthBytes = 4

// A Method names one request type and the answer that belongs to it.
type Method[Req, Resp any] struct {
	ID   uint16 // unique in the process
	Name string // for errors and metrics
}

// request is the head and body of a request frame.
type request struct {
	ID     uint64
	Method uint16
	WaitMs int64 // milliseconds that the caller still waits
	Body   msgpack.RawMessage
}

// answer is the head and body of an answer frame.
type answer struct {
	ID   uint64
	Err  *fault.Error
	Body msgpack.RawMessage
}

// Encode returns the msgpack form of v, with structs as arrays and compact
// integers. A struct's fields are therefore identified by their place.
func Encode(v any) (data []byte, err error) {
	defer fault.Note(&err, "encode %T", v)
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

// Decode parses the msgpack form of a T and rejects trailing bytes.
func Decode[T any](data []byte) (v T, err error) {
	defer fault.Note(&err, "decode %T", v)
	r := bytes.NewReader(data)
	if err := msgpack.NewDecoder(r).Decode(&v); err != nil {
		return v, merry.Wrap(err)
	}
	if r.Len() > 0 {
		return v, merry.Errorf("%d bytes after the value", r.Len())
	}
	return v, nil
}

// appendFrame returns the frame that carries v.
func appendFrame(v any) (data []byte, err error) {
	body, err := Encode(v)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxFrameBytes {
		return nil, fault.New(fault.TooLarge, fault.NotRun, "frame of %d bytes exceeds %d", len(body), MaxFrameBytes)
	}
	data = binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(body)), uint32(len(body)))
	return append(data, body...), nil
}

// readFrame reads one frame's body. It allocates no more than the bytes that
// have arrived, so a forged length costs nothing.
func readFrame(r io.Reader) (body []byte, err error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int64(binary.BigEndian.Uint32(head[:]))
	if n > MaxFrameBytes {
		return nil, merry.Errorf("frame of %d bytes exceeds %d", n, int64(MaxFrameBytes))
	}
	var buf bytes.Buffer
	if _, err := io.CopyN(&buf, r, n); err != nil {
		return nil, merry.Wrap(err)
	}
	return buf.Bytes(), nil
}

// Traffic counts the bytes of one side of the protocol, by method.
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

// ByMethod returns the bytes so far, by method id.
func (t *Traffic) ByMethod() map[uint16]Bytes {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.byMethod)
}
