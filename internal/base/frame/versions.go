package frame

// Values of other versions. Hosts are replaced one after another, and records outlive
// the version that wrote them, so a value may have fewer or more fields than its type
// has here. Fields are only ever added at the end of a struct: missing ones get their
// zero value, and unknown ones are ignored. The msgpack package rejects both, so such a
// value is decoded a second time, field by field.

import (
	"bytes"
	"reflect"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// errFieldCount is the error of the msgpack package for a struct with fewer or more
// fields, which it does not export.
var errFieldCount = msgpack.Unmarshal([]byte{msgpackArray1, msgpackNil}, new(struct{ A, B int }))

// Encodings of nil and of the header of an array of length 1.
const (
	msgpackNil    = 0xc0
	msgpackArray1 = 0x91
)

var (
	rawType     = reflect.TypeFor[msgpack.RawMessage]()
	decoderType = reflect.TypeFor[msgpack.CustomDecoder]() // its types decode themselves, RawMessage among them
)

// decodeOtherVersion decodes data, a single msgpack value, into v.
func decodeOtherVersion(data []byte, v reflect.Value) error {
	t := v.Type()
	switch {
	case len(data) == 0 || data[0] == msgpackNil: // a nil inside of an array or a map has no bytes
		v.SetZero()
		return nil
	case reflect.PointerTo(t).Implements(decoderType):
		return decodeStrict(data, v)
	case t.Kind() == reflect.Pointer:
		v.Set(reflect.New(t.Elem()))
		return decodeOtherVersion(data, v.Elem())
	case t.Kind() == reflect.Struct:
		return decodeFields(data, v)
	case t.Kind() == reflect.Slice && t.Elem().Kind() != reflect.Uint8:
		return decodeElements(data, v)
	case t.Kind() == reflect.Map:
		return decodeEntries(data, v)
	}
	return decodeStrict(data, v)
}

// decodeStrict decodes a value whose type is the same in all versions.
func decodeStrict(data []byte, v reflect.Value) error {
	return merry.Wrap(msgpack.NewDecoder(bytes.NewReader(data)).DecodeValue(v))
}

// decodeFields decodes an array into the fields of a struct.
func decodeFields(data []byte, v reflect.Value) error {
	var parts []msgpack.RawMessage
	if err := msgpack.Unmarshal(data, &parts); err != nil {
		return merry.Wrap(err)
	}
	next := 0
	for i := range v.NumField() {
		if f := v.Type().Field(i); !f.IsExported() || f.Tag.Get("msgpack") == "-" {
			continue
		}
		if next == len(parts) {
			return nil
		}
		if err := decodeOtherVersion(parts[next], v.Field(i)); err != nil {
			return err
		}
		next++
	}
	return nil
}

// decodeElements decodes an array into a slice.
func decodeElements(data []byte, v reflect.Value) error {
	var parts []msgpack.RawMessage
	if err := msgpack.Unmarshal(data, &parts); err != nil {
		return merry.Wrap(err)
	}
	v.Set(reflect.MakeSlice(v.Type(), len(parts), len(parts)))
	for i, part := range parts {
		if err := decodeOtherVersion(part, v.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

// decodeEntries decodes a map.
func decodeEntries(data []byte, v reflect.Value) error {
	parts := reflect.New(reflect.MapOf(v.Type().Key(), rawType))
	if err := msgpack.Unmarshal(data, parts.Interface()); err != nil {
		return merry.Wrap(err)
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), parts.Elem().Len()))
	for it := parts.Elem().MapRange(); it.Next(); {
		value := reflect.New(v.Type().Elem()).Elem()
		if err := decodeOtherVersion(it.Value().Bytes(), value); err != nil {
			return err
		}
		v.SetMapIndex(it.Key(), value)
	}
	return nil
}
