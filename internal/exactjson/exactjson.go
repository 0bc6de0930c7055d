// Package exactjson decodes JSON in which the names of object members are matched with struct fields byte for
// byte, as RFC 8259 defines their comparison. Package encoding/json matches them regardless of case, so that
// an unknown member such as "Id" replaces the value of the field "id". All JSON that the process receives or
// reads back is decoded by this package; the linter rejects the decoders of encoding/json.
package exactjson

import (
	"io"

	"sigs.k8s.io/json"
)

// Unmarshal decodes a single JSON value, which only white space may surround, into the value that into points
// to. It behaves like the function of the same name in encoding/json and returns its error types, except that:
//   - a member whose name differs from the names of all fields, if only in case, is ignored;
//   - an integer that is decoded into an interface becomes an int64 if it is in its range;
//   - syntax errors are not of the type encoding/json.SyntaxError.
//
// A type that implements encoding/json.Unmarshaler has to use this package in its UnmarshalJSON method too.
func Unmarshal(data []byte, into any) error {
	return json.UnmarshalCaseSensitivePreserveInts(data, into)
}

// Decode reads the next JSON value from a stream and decodes it like Unmarshal. It may read beyond the value.
func Decode(r io.Reader, into any) error {
	return json.NewDecoderCaseSensitivePreserveInts(r).Decode(into)
}
