// Package golden compares the serialized form of messages and records with golden files that an earlier
// version of the code wrote. Identifiers may be renamed, but the wire and storage formats must not change.
package golden

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// maxDepth bounds the recursion into types that contain themselves.
const maxDepth = 6

// Fill returns a pointer to a value of T whose exported fields are set to non-zero values, with a distinct one
// for each number and string. The values depend only on the order of the fields, so that a renamed field
// keeps its value. Slices get two elements, maps one.
func Fill[T any]() *T {
	value := new(T)
	f := filler{}
	f.fill(reflect.ValueOf(value).Elem(), 0)
	return value
}

// Form is a value whose JSON encoding is compared with the golden file NAME.json.
type Form struct {
	Name  string
	Value any
}

// CheckForms compares the JSON encoding of each form with its golden file, in a subtest named after the form.
func CheckForms(t *testing.T, forms []Form) {
	t.Helper()
	for _, form := range forms {
		t.Run(form.Name, func(t *testing.T) {
			got, err := json.Marshal(form.Value)
			if err != nil {
				t.Fatal(err)
			}
			Check(t, form.Name+".json", got)
		})
	}
}

// Check compares got with the golden file testdata/golden/NAME. With GOLDEN_UPDATE=1 in the environment it
// writes the file instead, which is meant only for forms that are new.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if os.Getenv("GOLDEN_UPDATE") == "1" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: the serialized form changed\n got %q\nwant %q", name, got, want)
	}
}

// filler sets values by reflection; count is the last number that it used.
type filler struct{ count int }

// next returns the next unused number.
func (f *filler) next() int {
	f.count++
	return f.count
}

// fill sets v and what it contains to non-zero values.
func (f *filler) fill(v reflect.Value, depth int) {
	if depth > maxDepth || !v.CanSet() {
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.next()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text%d", f.next()))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), depth+1)
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i), depth+1)
		}
	case reflect.Slice:
		f.fillSlice(v, depth)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), depth+1)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key, depth+1)
		f.fill(value, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	default: // functions, channels and interfaces are not serialized
	}
}

// fillSlice sets v to a slice of two elements, or to the digits of the next number if v is a byte slice.
func (f *filler) fillSlice(v reflect.Value, depth int) {
	if depth >= maxDepth {
		return
	}
	if v.Type() == reflect.TypeFor[[]byte]() || v.Type().Elem().Kind() == reflect.Uint8 {
		v.SetBytes(fmt.Appendf(nil, "%d", f.next())) // a number is also valid as raw JSON
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 2, 2))
	for i := range v.Len() {
		f.fill(v.Index(i), depth+1)
	}
}
