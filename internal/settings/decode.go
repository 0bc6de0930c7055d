package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// decode decodes the platform's file. Keys are matched with fields byte for byte, as TOML defines. Errors name the
// field.
func (s *Settings) decode(platform []byte) error {
	var table map[string]any
	if err := toml.Unmarshal(platform, &table); err != nil {
		return locate(err, platform)
	}
	// Where no name is equal, the decoder takes a field whose name differs from the key in case alone.
	if !removeInexactKeys(table, reflect.TypeFor[Settings]()) {
		return locate(toml.Unmarshal(platform, s), platform)
	}
	exact, err := toml.Marshal(table)
	if err != nil {
		return err
	}
	if err := toml.Unmarshal(exact, s); err != nil {
		return fmt.Errorf("in the file without fields that differ from known ones in case: %w", locate(err, exact))
	}
	return nil
}

// removeInexactKeys removes the keys of a table, and of the tables in it, that differ in case from the name of a field
// and equal none. It reports whether there were any.
func removeInexactKeys(table map[string]any, structType reflect.Type) bool {
	removed := false
	for key, value := range table {
		field, exact := findField(structType, key)
		switch {
		case field == nil:
		case exact:
			removed = removeInexactKeysIn(value, field) || removed
		default:
			delete(table, key)
			removed = true
		}
	}
	return removed
}

// removeInexactKeysIn is like removeInexactKeys for a value of any kind, which is decoded into a field of a type.
func removeInexactKeysIn(value any, fieldType reflect.Type) bool {
	switch fieldType.Kind() {
	case reflect.Pointer:
		return removeInexactKeysIn(value, fieldType.Elem())
	case reflect.Slice:
		removed := false
		elements, _ := value.([]any)
		for _, element := range elements {
			removed = removeInexactKeysIn(element, fieldType.Elem()) || removed
		}
		return removed
	case reflect.Struct:
		table, _ := value.(map[string]any)
		return removeInexactKeys(table, fieldType)
	}
	return false
}

// findField returns the type of the field that a key matches regardless of case, and whether it matches exactly; an
// exact match is preferred. It returns nil if there is no such field.
func findField(structType reflect.Type, key string) (fieldType reflect.Type, exact bool) {
	for i := range structType.NumField() {
		field := structType.Field(i)
		name := field.Tag.Get("toml") // all fields have one
		if name == key {
			return field.Type, true
		}
		if strings.EqualFold(name, key) {
			fieldType = field.Type
		}
	}
	return fieldType, false
}

// locate adds the line and the field to an error of the decoder.
func locate(err error, document []byte) error {
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		return err
	}
	row, _ := decodeErr.Position()
	return fmt.Errorf("line %d: field %s: %w", row, fieldOnLine(document, row), decodeErr)
}

// fieldOnLine returns the name of the field that is set on a line. The decoder's errors lack the name if a value has
// the wrong type.
func fieldOnLine(file []byte, row int) string {
	lines := strings.Split(string(file), "\n")
	if row < 1 || row > len(lines) {
		return ""
	}
	name, _, _ := strings.Cut(lines[row-1], "=")
	return strings.TrimSpace(name)
}
