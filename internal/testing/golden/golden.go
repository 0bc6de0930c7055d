// Package golden compares the serialized form of messages and records with files that earlier
// sources wrote, for tests. A name in the code may change; what is on the wire or stored may not.
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

// maxDepth bounds how deep types that contain themselves are filled.
const maxDepth = 6

// Fill returns a pointer to a value of T each exported field of which differs from its zero value and
// from every other field. The values follow from the order of the fields alone, so that renamed fields
// get the same ones. Slices get two elements, maps one.
func Fill[T any]() *T {
	value := new(T)
	f := filler{}
	f.fill(reflect.ValueOf(value).Elem(), 0)
	return value
}

// Form is a value whose JSON is compared with the file NAME.json.
type Form struct {
	Name  string
	Value any
}

// CheckForms compares the JSON of each form with its file, in a subtest of its name.
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

// Check compares got with the file testdata/golden/NAME. With GOLDEN_UPDATE=1 in the environment
// the file is written instead: only where a serialized form is new.
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

type filler struct{ count int }

func (f *filler) next() int {
	f.count++
	return f.count
}

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

func (f *filler) fillSlice(v reflect.Value, depth int) {
	if depth >= maxDepth {
		return
	}
	if v.Type() == reflect.TypeFor[[]byte]() || v.Type().Elem().Kind() == reflect.Uint8 {
		v.SetBytes(fmt.Appendf(nil, "%d", f.next())) // also valid as JSON that is passed on
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 2, 2))
	for i := range v.Len() {
		f.fill(v.Index(i), depth+1)
	}
}
